"""What a sidecar knows of the gateways that it works for."""

import collections
from collections.abc import Iterator

import attrs

from amaranthspar.execution import deliveries, slots, starts

SILENT_MS = 5000
IDLE_SILENT_MS = 20000


@attrs.define(slots=True)
class Peer:
    """What the sidecar knows of the newest incarnation of one gateway.

    The sequences outlive a silence of the gateway, so that a start message
    which was under way for long starts nothing.

    Attributes:
        name: Process name.
        incarnation: Newest incarnation.
        address: Address at which it listens.
        heard_ms: Monotonic time at which it was last heard.
        results: Results that it has not acknowledged.
        last_sequence: Newest start sequence; at or below it nothing starts.
        received: Start sequence up to which every task is accounted for.
        started: Tasks started for it.
        parted: Its share of the slots while it is silent; none otherwise.
    """

    name: str
    incarnation: int
    address: str
    heard_ms: int
    results: deliveries.Deliveries
    last_sequence: int = 0
    received: int = 0
    started: starts.TaskMemory = attrs.field(factory=starts.TaskMemory)
    parted: slots.Share | None = None


class Peers:
    """Gateways by process name.

    Args:
        shared: Slots, in which each gateway that is heard has a share.
        counts: Counters of the process.
    """

    def __init__(self, shared: slots.Slots, counts: collections.Counter[str]) -> None:
        self._slots = shared
        self._counts = counts
        self._peers: dict[str, Peer] = {}

    def __iter__(self) -> Iterator[Peer]:
        """Return the newest incarnation of each gateway."""
        return iter(self._peers.values())

    def __getitem__(self, name: str) -> Peer:
        """Return the newest incarnation of a gateway."""
        return self._peers[name]

    def hear(
        self, name: str, incarnation: int, address: str, now_ms: int
    ) -> Peer | None:
        """Return the gateway that sent a message, none for an old incarnation.

        Args:
            name: Process name.
            incarnation: Incarnation that sent it.
            address: Address at which it listens.
            now_ms: Monotonic time in ms.
        """
        peer = self._peers.get(name)
        if peer is not None and incarnation < peer.incarnation:
            self._counts["messages.stale"] += 1
            return None
        if peer is None or incarnation > peer.incarnation:
            results = deliveries.Deliveries(incarnation)
            peer = Peer(name, incarnation, address, now_ms, results)
            self._peers[name] = peer
            self._slots.add_gateway(name)
        if peer.parted is not None:
            self._slots.shares[name] = peer.parted
            peer.parted = None
        peer.heard_ms = now_ms
        peer.address = address
        return peer

    def is_silent(self, peer: Peer, now_ms: int) -> bool:
        """Return whether a gateway was not heard for long.

        One that holds nothing here speaks less often.

        Args:
            peer: Gateway.
            now_ms: Monotonic time in ms.
        """
        share = self._slots.shares.get(peer.name)
        holding = share is not None and share.unused > 0
        patience_ms = IDLE_SILENT_MS
        if holding or not peer.results.is_empty:
            patience_ms = SILENT_MS
        return now_ms - peer.heard_ms > patience_ms

    def part(self, peer: Peer) -> None:
        """Take back the credits of a silent gateway.

        Args:
            peer: Gateway.
        """
        if peer.parted is not None:
            return
        self._counts["gateways.silent"] += 1
        share = self._slots.shares[peer.name]
        share.used = max(share.used, share.limit)
        share.queued = 0
        share.recalled = 0
        peer.parted = share
        self._slots.remove_gateway(peer.name)
