"""Decisions of a gateway: admission, queueing, routing and answers."""
