"""Adapter to the users' platform, which translates formats and calls only."""
