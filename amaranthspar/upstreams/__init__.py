"""Calls to upstreams and workers, and their stand-ins."""
