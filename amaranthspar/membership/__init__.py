"""Leases, membership and configuration as held by a process."""
