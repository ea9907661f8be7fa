"""What a sidecar knows of the gateways that it works for."""

import collections
from collections.abc import Iterator

import attrs

from amaranthspar.execution import outbox, slots, starts

GATEWAY_TIMEOUT_MS = 5000
IDLE_GATEWAY_TIMEOUT_MS = 20000


@attrs.define(slots=True)
class Gateway:
    """What the sidecar knows of the newest incarnation of one gateway.

    The sequences outlive a silence of the gateway, so that a start message
    which was under way for long starts nothing.

    Attributes:
        name: Process name.
        incarnation: Newest incarnation.
        address: Address at which it listens.
        last_message_ms: Monotonic time at which it was last heard.
        results: Results that it has not acknowledged.
        last_sequence: Newest start sequence; at or below it nothing starts.
        received: Start sequence up to which every task is accounted for.
        started: Tasks started for it.
        suspended_share: Its share of the slots while it is silent; none otherwise.
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
    """Gateways by process name.

    Args:
        allocator: Slots, in which each gateway that is heard has a share.
        counts: Counters of the process.
    """

    def __init__(
        self, allocator: slots.Allocator, counts: collections.Counter[str]
    ) -> None:
        self._allocator = allocator
        self._counts = counts
        self._gateways: dict[str, Gateway] = {}

    def __iter__(self) -> Iterator[Gateway]:
        """Return the newest incarnation of each gateway."""
        return iter(self._gateways.values())

    def __getitem__(self, name: str) -> Gateway:
        """Return the newest incarnation of a gateway."""
        return self._gateways[name]

    def register_sender(
        self, name: str, incarnation: int, address: str, now_ms: int
    ) -> Gateway | None:
        """Return the gateway that sent a message, none for an old incarnation.

        Args:
            name: Process name.
            incarnation: Incarnation that sent it.
            address: Address at which it listens.
            now_ms: Monotonic time in ms.
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
        """Return whether a gateway was not heard for long.

        One that holds nothing here speaks less often.

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
        """Take back the credits of a silent gateway.

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
