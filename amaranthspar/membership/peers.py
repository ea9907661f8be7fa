"""Processes that a process without controllers asks for what they have heard."""

import collections

MAX_PEERS = 16
"""Number of processes that are kept; asked in turn, all of them are asked within 5 s."""


class RecentPeers:
    """Addresses of the processes that were heard last.

    They are kept for any time: after an absence, these are the ones to ask.
    """

    def __init__(self) -> None:
        self._addresses: collections.deque[str] = collections.deque()

    def note(self, address: str) -> None:
        """Note that a message of a process was received.

        Args:
            address: Address at which the process listens.
        """
        if address in self._addresses:
            return
        self._addresses.append(address)
        if len(self._addresses) > MAX_PEERS:
            self._addresses.popleft()

    def choose_next(self) -> str:
        """Return the address to ask next; empty if no process was heard yet."""
        if not self._addresses:
            return ""
        self._addresses.rotate(-1)
        return self._addresses[-1]
