"""Raft consensus of the controllers: one replicated log, elections and snapshots."""
