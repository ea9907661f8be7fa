"""Queue that shares its service fairly among flows at several levels.

A path names the flow at each level, as in team, caller and submission. At each
level the flow that has had the least service for its weight is served next.
Within the last level the items with the longest expected run time come first.
"""

import heapq
from typing import Generic, TypeVar

import attrs

Item = TypeVar("Item")


@attrs.define(slots=True)
class _Leaf(Generic[Item]):
    """Items of one submission."""

    items: list[tuple[float, int, Item]] = attrs.field(factory=list)
    served: float = 0.0


@attrs.define(slots=True)
class _Branch(Generic[Item]):
    """Flows of one level."""

    served: float = 0.0
    clock: float = 0.0
    flows: "dict[str, _Branch[Item] | _Leaf[Item]]" = attrs.field(factory=dict)
    order: list[tuple[float, int, str]] = attrs.field(factory=list)


class FairQueue(Generic[Item]):
    """Queue of items that wait for a slot."""

    def __init__(self) -> None:
        self._root: _Branch[Item] = _Branch()
        self._count = 0
        self._serial = 0

    def __len__(self) -> int:
        """Return how many items wait."""
        return self._count

    def push(self, path: tuple[str, ...], item: Item, cost_ms: float) -> None:
        """Add an item.

        Args:
            path: Flow of the item at each level, outermost first.
            item: Item to queue.
            cost_ms: Expected run time in ms.
        """
        self._serial += 1
        self._count += 1
        branch = self._root
        for depth, name in enumerate(path):
            flow = branch.flows.get(name)
            if flow is None:
                flow = _Leaf() if depth == len(path) - 1 else _Branch()
                flow.served = branch.clock
                branch.flows[name] = flow
                heapq.heappush(branch.order, (flow.served, self._serial, name))
            if isinstance(flow, _Leaf):
                heapq.heappush(flow.items, (-cost_ms, self._serial, item))
                return
            branch = flow

    def pop(self) -> Item:
        """Remove and return the item that is served next.

        Raises:
            IndexError: The queue is empty.
        """
        if not self._count:
            raise IndexError("pop from an empty queue")
        self._count -= 1
        item, _ = self._pop_from(self._root)
        return item

    def _pop_from(self, branch: _Branch[Item]) -> tuple[Item, float]:
        served, _, name = heapq.heappop(branch.order)
        branch.clock = max(branch.clock, served)
        flow = branch.flows[name]
        if isinstance(flow, _Leaf):
            negative_cost_ms, _, item = heapq.heappop(flow.items)
            cost_ms, empty = -negative_cost_ms, not flow.items
        else:
            item, cost_ms = self._pop_from(flow)
            empty = not flow.flows
        if empty:
            del branch.flows[name]
            return item, cost_ms
        flow.served = served + max(cost_ms, 1.0)
        self._serial += 1
        heapq.heappush(branch.order, (flow.served, self._serial, name))
        return item, cost_ms
