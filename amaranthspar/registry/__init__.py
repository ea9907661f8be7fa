"""Replicated state of the controllers, and the handling of requests for it."""
