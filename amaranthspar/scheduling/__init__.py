"""Scheduling of jobs whose tasks share upstream capacity, without I/O or a clock."""
