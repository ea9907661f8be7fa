"""Short queue of start orders in a sidecar that wait for capacity of its upstream.

Load pattern: the upstreams are nearly full, and several gateways send tasks to the same
free capacity before a report of its use can reach them. It is enough for only one of
these orders. Refusing the others at once costs two messages and a retry each, which may
fail in the same way. Meanwhile, capacity that the next end of a run frees stays idle
for the time that a report and an order take. A queued order uses that capacity at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from amaranthspar.scheduling import resources

if TYPE_CHECKING:
    from amaranthspar.schema import runmessages

MAX_WAIT_MS = 40
"""Time after which a queued order is refused: on a full upstream of 64 cores a task
ends every 30 ms on average, and a task of 120 ms has 130 ms to spare."""
MAX_ORDERS = 1
"""Highest number of queued orders; more would not get capacity within `MAX_WAIT_MS`."""


@attrs.frozen(slots=True)
class WaitingOrder:
    """An order in the queue.

    Attributes:
        gateway: Process name of its sender.
        message: Message that contained it.
        order: The order.
        until_ms: Time in ms from which it is refused if it still does not fit.
    """

    gateway: str
    message: runmessages.StartRuns
    order: runmessages.RunOrder
    until_ms: int


class OrderQueue:
    """Orders waiting for capacity, in order of arrival."""

    def __init__(self) -> None:
        self._orders: dict[str, WaitingOrder] = {}
        self._needs = resources.NONE

    @property
    def needs(self) -> runmessages.Resources:
        """Total capacity that the queued orders need."""
        return self._needs

    @property
    def is_full(self) -> bool:
        """Whether no further order may be queued."""
        return len(self._orders) >= MAX_ORDERS

    def add(
        self,
        gateway: str,
        message: runmessages.StartRuns,
        order: runmessages.RunOrder,
        now_ms: int,
    ) -> None:
        """Append an order.

        Args:
            gateway: Process name of its sender.
            message: Message that contained it.
            order: The order.
            now_ms: Current time in ms.
        """
        waiting = WaitingOrder(gateway, message, order, now_ms + MAX_WAIT_MS)
        self._orders[order.name.task] = waiting
        self._needs = resources.add(self._needs, order.needs)

    def find(self, task: str) -> WaitingOrder | None:
        """Return the queued order of a task, None if there is none.

        Args:
            task: Name of the task.
        """
        return self._orders.get(task)

    def remove(self, task: str) -> None:
        """Remove the queued order of a task.

        Args:
            task: Name of the task.
        """
        waiting = self._orders.pop(task)
        self._needs = resources.subtract(self._needs, waiting.order.needs)

    def list_orders(self, gateway: str = "") -> list[WaitingOrder]:
        """Return the queued orders, oldest first.

        Args:
            gateway: Process name of the sender; empty for all senders.
        """
        return [item for item in self._orders.values() if gateway in ("", item.gateway)]
