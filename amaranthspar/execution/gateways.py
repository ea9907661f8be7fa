"""Gateways that send tasks to a sidecar."""

import collections
from collections.abc import Iterator

import attrs

from amaranthspar.execution import outbox, slots, starts

GATEWAY_TIMEOUT_MS = 5000
IDLE_GATEWAY_TIMEOUT_MS = 20000
"""Timeout for a gateway without credits and results, which sends less often."""


@attrs.define(slots=True)
class Gateway:
    """State that a sidecar keeps of the newest incarnation of one gateway.

    The sequences are kept while the gateway is unresponsive, so that a start
    message that was long delayed starts nothing.

    Attributes:
        name: Process name.
        incarnation: Newest incarnation.
        address: Address at which it listens.
        last_message_ms: Monotonic time of its last message in ms.
        results: Results that it has not acknowledged.
        last_sequence: Highest start sequence; messages up to it start nothing.
        received_sequence: Start sequence up to which every task is accounted
            for; 0 if uncertain.
        started: Tasks started for it.
        suspended_share: Its share of the slots while it is unresponsive, else None.
    """

    name: str
    incarnation: int
    address: str
    last_message_ms: int
    results: outbox.Outbox
    last_sequence: int = 0
    received_sequence: int = 0
    started: starts.StartedTasks = attrs.field(factory=starts.StartedTasks)
    suspended_share: slots.Share | None = None


class Gateways:
    """Newest incarnations of gateways, by process name.

    Args:
        allocator: Allocation of slots, where each responsive gateway has a share.
        counts: Counters of the process.
    """

    def __init__(
        self, allocator: slots.Allocator, counts: collections.Counter[str]
    ) -> None:
        self._allocator = allocator
        self._counts = counts
        self._gateways: dict[str, Gateway] = {}

    def __iter__(self) -> Iterator[Gateway]:
        """Iterate over the newest incarnation of each gateway."""
        return iter(self._gateways.values())

    def __getitem__(self, name: str) -> Gateway:
        """Return the newest incarnation of a gateway."""
        return self._gateways[name]

    def register_sender(
        self, name: str, incarnation: int, address: str, now_ms: int
    ) -> Gateway | None:
        """Record a message of a gateway and return the gateway.

        A suspended gateway gets its share of the slots back, without credits. A new
        incarnation replaces the older one.

        Args:
            name: Process name of the gateway.
            incarnation: Incarnation of the gateway.
            address: Address at which the gateway listens.
            now_ms: Monotonic time in ms.

        Returns:
            The gateway, or None if the message is from an old incarnation.
        """
        gateway = self._gateways.get(name)
        if gateway is not None and incarnation < gateway.incarnation:
            self._counts["messages.stale"] += 1
            return None
        if gateway is None or incarnation > gateway.incarnation:
            results = outbox.Outbox(incarnation)
            gateway = Gateway(name, incarnation, address, now_ms, results)
            self._gateways[name] = gateway
            self._allocator.add_gateway(name)
        if gateway.suspended_share is not None:
            self._allocator.shares[name] = gateway.suspended_share
            gateway.suspended_share = None
        gateway.last_message_ms = now_ms
        gateway.address = address
        return gateway

    def is_unresponsive(self, gateway: Gateway, now_ms: int) -> bool:
        """Return whether a gateway has sent no message within its timeout.

        Args:
            gateway: Gateway.
            now_ms: Monotonic time in ms.
        """
        share = self._allocator.shares.get(gateway.name)
        has_credits = share is not None and share.unused > 0
        timeout_ms = IDLE_GATEWAY_TIMEOUT_MS
        if has_credits or not gateway.results.is_empty:
            timeout_ms = GATEWAY_TIMEOUT_MS
        return now_ms - gateway.last_message_ms > timeout_ms

    def suspend(self, gateway: Gateway) -> None:
        """Withdraw the credits of an unresponsive gateway.

        Args:
            gateway: Gateway.
        """
        if gateway.suspended_share is not None:
            return
        self._counts["gateways.silent"] += 1
        share = self._allocator.shares[gateway.name]
        share.used = max(share.used, share.limit)
        share.queued = 0
        share.recalled = 0
        gateway.suspended_share = share
        self._allocator.remove_gateway(gateway.name)
