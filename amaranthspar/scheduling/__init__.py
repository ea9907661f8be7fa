"""Decisions on jobs whose tasks need room on shared upstreams; no I/O and no clock."""
