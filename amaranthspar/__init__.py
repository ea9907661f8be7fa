"""Dispatcher for tasks of under a second."""

__version__ = "0.1.0"
