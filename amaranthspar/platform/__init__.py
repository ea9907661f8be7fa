"""Adapter to the users' platform: translates its formats and calls, decides nothing."""
