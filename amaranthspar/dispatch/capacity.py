"""Index of the sidecars that have room, for a choice without a scan of them all."""

from collections.abc import Callable, Iterable

import attrs

from amaranthspar.dispatch import routing
from amaranthspar.schema import messages


@attrs.frozen(slots=True, cache_hash=True)
class Shape:
    """What an upstream offers, as far as tasks ask for it."""

    services: tuple[str, ...]
    group: str
    cores: int
    memory_mb: int
    accelerators: int


class Ladder:
    """Routes ordered by a small whole number, with moves in constant time."""

    def __init__(self) -> None:
        self._rungs: list[dict[str, routing.Route]] = [{}]
        self._heights: dict[str, int] = {}
        self._top = 0

    def put(self, route: routing.Route, height: int) -> None:
        """Place a route at a height; one at 0 or below is left out.

        Args:
            route: Sidecar.
            height: Greater heights are found first.
        """
        name = route.member.process
        old = self._heights.get(name, 0)
        if height == old:
            return
        if old:
            del self._rungs[old][name]
            del self._heights[name]
        if height <= 0:
            return
        while len(self._rungs) <= height:
            self._rungs.append({})
        self._rungs[height][name] = route
        self._heights[name] = height
        self._top = max(self._top, height)

    def find_highest(self) -> tuple[int, routing.Route | None]:
        """Return the greatest height and a route there, 0 and none if empty."""
        while self._top and not self._rungs[self._top]:
            self._top -= 1
        if not self._top:
            return 0, None
        return self._top, next(iter(self._rungs[self._top].values()))

    def find_accepted(
        self, accept: Callable[[routing.Route], bool]
    ) -> tuple[int, routing.Route | None]:
        """Return the greatest height with a route that is accepted, and the route.

        Args:
            accept: Whether a route will do.
        """
        for height in range(self._top, 0, -1):
            for route in self._rungs[height].values():
                if accept(route):
                    return height, route
        return 0, None


Pool = frozenset[Shape]
"""Shapes of the upstreams that may take a task."""


@attrs.frozen(slots=True, eq=False)
class Group:
    """Sidecars that a choice treats alike.

    Attributes:
        shape: What their upstreams offer.
        near: Whether they are in the preferred failure domain.
        room: Sidecars by room.
    """

    shape: Shape
    near: bool
    room: Ladder = attrs.field(factory=Ladder)


class Capacity:
    """Sidecars that may be sent new work, by the room that they have.

    Args:
        near_domain: Failure domain that is preferred while it has room.
    """

    def __init__(self, near_domain: str) -> None:
        self._near_domain = near_domain
        self._groups: dict[tuple[Shape, bool], Group] = {}
        self._examples: dict[Shape, messages.Announcement] = {}
        self._pools: dict[routing.Needs, Pool] = {}
        self._suitable: dict[Pool, list[Group]] = {}

    def rebuild(
        self, known: Iterable[routing.Route], usable: Iterable[routing.Route]
    ) -> bool:
        """Index the sidecars anew.

        Args:
            known: All sidecars.
            usable: Sidecars among them that may be sent new work.

        Returns:
            Whether pools found before may differ from now on.
        """
        examples: dict[Shape, messages.Announcement] = {}
        for route in known:
            route.group = None
            examples.setdefault(_describe(route.announcement), route.announcement)
        changed = examples.keys() != self._examples.keys()
        self._examples = examples
        self._groups = {}
        self._pools = {}
        self._suitable = {}
        for route in usable:
            shape = _describe(route.announcement)
            near = route.announcement.failure_domain == self._near_domain
            route.group = self._groups.setdefault((shape, near), Group(shape, near))
            self.update(route)
        return changed

    def find_pool(self, needs: routing.Needs) -> Pool:
        """Return the shapes that have what a task needs; none can run it if empty.

        Args:
            needs: What the task asks for.
        """
        pool = self._pools.get(needs)
        if pool is None:
            pool = frozenset(
                shape
                for shape, example in self._examples.items()
                if routing.is_feasible(needs, example)
            )
            # What no upstream has is refused, and its variety is without bound.
            if pool:
                self._pools[needs] = pool
        return pool

    def update(self, route: routing.Route) -> None:
        """Note that the room of a sidecar has changed.

        Args:
            route: Sidecar; one that may not be sent new work is left out.
        """
        if isinstance(route.group, Group):
            route.group.room.put(route, route.rank)

    def choose(self, pool: Pool) -> routing.Route | None:
        """Return the sidecar that gets the next task, none if all are full.

        The near failure domain comes first, then the sidecar with the most room.

        Args:
            pool: Shapes that may take the task.
        """
        best: routing.Route | None = None
        best_rank = (False, 0)
        for group in self._list_groups(pool):
            height, route = group.room.find_highest()
            rank = (group.near, height)
            if route is not None and (best is None or rank > best_rank):
                best, best_rank = route, rank
        return best

    def find(
        self, pool: Pool, accept: Callable[[routing.Route], bool]
    ) -> routing.Route | None:
        """Return the best sidecar that is accepted, none if none of these has room.

        Args:
            pool: Shapes that may take the task.
            accept: Whether a sidecar will do.
        """
        best: routing.Route | None = None
        best_rank = (False, 0)
        for group in self._list_groups(pool):
            height, route = group.room.find_accepted(accept)
            rank = (group.near, height)
            if route is not None and (best is None or rank > best_rank):
                best, best_rank = route, rank
        return best

    def is_usable(self, pool: Pool, route: routing.Route) -> bool:
        """Return whether a sidecar may be sent a task now.

        Args:
            pool: Shapes that may take the task.
            route: Sidecar.
        """
        return isinstance(route.group, Group) and route.group.shape in pool

    def _list_groups(self, pool: Pool) -> list[Group]:
        found = self._suitable.get(pool)
        if found is None:
            found = [item for item in self._groups.values() if item.shape in pool]
            self._suitable[pool] = found
        return found


def _describe(announcement: messages.Announcement) -> Shape:
    return Shape(
        tuple(announcement.services),
        announcement.group,
        announcement.cores,
        announcement.memory_mb,
        announcement.accelerators,
    )
