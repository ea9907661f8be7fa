"""Benchmarks of the roles and of the decisions."""
