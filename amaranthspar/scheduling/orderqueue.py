"""Orders that wait for a moment in a sidecar for room on its upstream.

Load pattern: the upstreams are nearly full, and several gateways send tasks to the same
room within the time that a statement of it takes. All but one of these orders find none.
Refused at once, each costs two messages and another try, which may fail like the first,
while the room that the next end frees is idle for as long as a statement and an order
need. An order that waits takes that room at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from amaranthspar.scheduling import resources

if TYPE_CHECKING:
    from amaranthspar.schema import runmessages

WAIT_MS = 40
"""Longest wait: a full upstream of 64 cores ends a task each 30 ms on average, and a task
of 120 ms has 130 ms to spare."""
MOST_ORDERS = 1
"""Orders that may wait at once; more would not find room within the longest wait."""


@attrs.frozen(slots=True)
class WaitingOrder:
    """An order that waits.

    Attributes:
        gateway: Process name of its sender.
        message: Message that it came with.
        order: The order.
        until_ms: Time at which it is refused in ms.
    """

    gateway: str
    message: runmessages.StartRuns
    order: runmessages.RunOrder
    until_ms: int


class OrderQueue:
    """Orders that wait, first come first served."""

    def __init__(self) -> None:
        self._orders: dict[str, WaitingOrder] = {}
        self._needs = resources.NONE

    @property
    def needs(self) -> runmessages.Resources:
        """What all these orders will occupy."""
        return self._needs

    @property
    def is_full(self) -> bool:
        """Whether no further order may wait."""
        return len(self._orders) >= MOST_ORDERS

    def add(
        self,
        gateway: str,
        message: runmessages.StartRuns,
        order: runmessages.RunOrder,
        now_ms: int,
    ) -> None:
        """Let an order wait.

        Args:
            gateway: Process name of its sender.
            message: Message that it came with.
            order: The order.
            now_ms: Current time in ms.
        """
        waiting = WaitingOrder(gateway, message, order, now_ms + WAIT_MS)
        self._orders[order.name.task] = waiting
        self._needs = resources.add(self._needs, order.needs)

    def find(self, task: str) -> WaitingOrder | None:
        """Return the order that waits for a task, nothing if there is none.

        Args:
            task: Name of the task.
        """
        return self._orders.get(task)

    def remove(self, task: str) -> None:
        """Let an order wait no longer.

        Args:
            task: Name of its task.
        """
        waiting = self._orders.pop(task)
        self._needs = resources.subtract(self._needs, waiting.order.needs)

    def list_orders(self, gateway: str = "") -> list[WaitingOrder]:
        """Return the orders in their turn.

        Args:
            gateway: Process name of their sender; all senders if empty.
        """
        return [item for item in self._orders.values() if gateway in ("", item.gateway)]
