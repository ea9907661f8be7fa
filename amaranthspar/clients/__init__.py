"""Calls to gateways and controllers."""
