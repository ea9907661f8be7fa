"""Logs, metrics and traces of a process."""
