"""Decisions of a sidecar: which tasks start, run and end."""
