"""Clients of gateways and controllers."""
