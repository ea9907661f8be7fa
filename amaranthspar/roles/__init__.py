"""Roles of processes: each connects decision logic to input and output."""
