"""Decisions on what clients may send: bytes, time, connections and chunks."""
