"""Hierarchical weighted fair queue.

A path names the flow of an item at each level, such as team, caller and
submission. At each level but the last, the flow with the least service relative
to its weight is served next. Flows of the last level are served one after
another, in the order in which they would end under equal sharing: a small flow
overtakes a large one, and no flow ends later than it would under equal sharing.
Within a flow of the last level, the items with the longest expected run time are
served first. Flows of the first level can be held back while others are served.
"""

import heapq
import itertools
from typing import Generic, TypeVar

import attrs

Item = TypeVar("Item")

MIN_COST_MS = 1.0


@attrs.frozen(slots=True)
class Level:
    """One level of a path.

    Attributes:
        name: Name of the flow at that level.
        weight: Share of the service relative to its siblings.
    """

    name: str
    weight: float = 1.0


Path = tuple[Level, ...]


@attrs.define(slots=True, eq=False)
class _Leaf(Generic[Item]):
    """Flow of the last level, with its items.

    Attributes:
        name: Name of the flow.
        served: Virtual time of the parent at which the flow would end under
            equal sharing.
        waiting: Heap of items, the longest expected run time first.
    """

    name: str
    served: float = 0.0
    waiting: list[tuple[float, int, Item]] = attrs.field(factory=list)


@attrs.define(slots=True, eq=False)
class _Branch(Generic[Item]):
    """Flow of a level above the last, with the flows below it.

    Attributes:
        name: Name of the flow.
        weight: Share of the service relative to its siblings.
        served: Service received divided by the weight.
        virtual_time: Value of `served` with which a new child starts.
        flows: Children with items, by name.
        order: Heap of children by `served`; may hold outdated entries.
    """

    name: str
    weight: float
    served: float = 0.0
    virtual_time: float = 0.0
    flows: "dict[str, _Branch[Item] | _Leaf[Item]]" = attrs.field(factory=dict)
    order: "list[tuple[float, int, _Branch[Item] | _Leaf[Item]]]" = attrs.field(
        factory=list
    )

    @property
    def waiting(self) -> "dict[str, _Branch[Item] | _Leaf[Item]]":
        """Children with items."""
        return self.flows


class FairQueue(Generic[Item]):
    """Queue of items that wait for a slot."""

    def __init__(self) -> None:
        self._root: _Branch[Item] = _Branch("", 1.0)
        self._count = 0
        self._serial = 0
        self._held: set[str] = set()
        self._held_flows: dict[str, _Branch[Item] | _Leaf[Item]] = {}

    def __len__(self) -> int:
        """Return how many items wait."""
        return self._count

    def push(self, path: Path, item: Item, cost_ms: float) -> None:
        """Add an item.

        Args:
            path: Flow of the item at each level, outermost first.
            item: Item to queue.
            cost_ms: Expected run time in ms.
        """
        self._count += 1
        branch = self._root
        for level in path[:-1]:
            flow = branch.flows.get(level.name)
            if flow is None:
                flow = _Branch(level.name, level.weight)
                self._join(branch, flow)
            assert isinstance(flow, _Branch)
            branch = flow
        leaf = branch.flows.get(path[-1].name)
        if leaf is None:
            leaf = _Leaf(path[-1].name)
            self._join(branch, leaf)
        assert isinstance(leaf, _Leaf)
        self._serial += 1
        heapq.heappush(leaf.waiting, (-cost_ms, self._serial, item))
        leaf.served += max(cost_ms, MIN_COST_MS)

    def pop(self) -> Item | None:
        """Remove and return the next item, None if none may be served."""
        chain = []
        flow: _Branch[Item] | _Leaf[Item] | None = self._root
        while isinstance(flow, _Branch):
            branch = flow
            flow = self._find_first(branch)
            if flow is not None:
                chain.append((branch, flow))
        if flow is None:
            return None
        negative_cost_ms, _, item = heapq.heappop(flow.waiting)
        cost_ms = max(-negative_cost_ms, MIN_COST_MS)
        for branch, child in reversed(chain):
            self._charge(branch, child, cost_ms)
        self._count -= 1
        return item

    def drop(self, path: Path) -> list[Item]:
        """Remove a flow and all its items.

        Args:
            path: Flow at each level, outermost first.

        Returns:
            Removed items.
        """
        branches = [self._root]
        for level in path[:-1]:
            flow = branches[-1].flows.get(level.name)
            if not isinstance(flow, _Branch):
                return []
            branches.append(flow)
        leaf = branches[-1].flows.pop(path[-1].name, None)
        if not isinstance(leaf, _Leaf):
            return []
        for parent, branch in reversed(list(itertools.pairwise(branches))):
            if not branch.flows and parent.flows.get(branch.name) is branch:
                del parent.flows[branch.name]
        self._count -= len(leaf.waiting)
        return [item for _, _, item in leaf.waiting]

    def hold(self, name: str) -> None:
        """Hold a flow of the first level back until it is released."""
        self._held.add(name)

    def release(self, name: str) -> None:
        """Serve a flow of the first level again."""
        self._held.discard(name)
        flow = self._held_flows.pop(name, None)
        if flow is not None:
            self._place(self._root, flow)

    def _join(self, branch: _Branch[Item], flow: _Branch[Item] | _Leaf[Item]) -> None:
        flow.served = branch.virtual_time
        branch.flows[flow.name] = flow
        self._place(branch, flow)

    def _place(self, branch: _Branch[Item], flow: _Branch[Item] | _Leaf[Item]) -> None:
        self._serial += 1
        heapq.heappush(branch.order, (flow.served, self._serial, flow))

    def _find_first(self, branch: _Branch[Item]) -> _Branch[Item] | _Leaf[Item] | None:
        """Return the next flow; removes outdated entries and flows held back."""
        order = branch.order
        while order:
            served, _, flow = order[0]
            if branch.flows.get(flow.name) is not flow:
                heapq.heappop(order)
            elif isinstance(flow, _Leaf) and flow.served > served:
                self._serial += 1
                heapq.heapreplace(order, (flow.served, self._serial, flow))
            elif self._held and branch is self._root and flow.name in self._held:
                heapq.heappop(order)
                self._held_flows[flow.name] = flow
            else:
                return flow
        return None

    def _charge(
        self,
        branch: _Branch[Item],
        flow: _Branch[Item] | _Leaf[Item],
        cost_ms: float,
    ) -> None:
        """Charge the first flow for an item and advance the virtual time."""
        if isinstance(flow, _Leaf):
            branch.virtual_time += cost_ms / len(branch.flows)
        else:
            branch.virtual_time = max(branch.virtual_time, flow.served)
            flow.served += cost_ms / flow.weight
        if not flow.waiting:
            del branch.flows[flow.name]
            heapq.heappop(branch.order)
        elif isinstance(flow, _Branch):
            self._serial += 1
            heapq.heapreplace(branch.order, (flow.served, self._serial, flow))
