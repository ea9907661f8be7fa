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


class BucketQueue:
    """Routes ordered by a small whole number, with moves in constant time."""

    def __init__(self) -> None:
        self._buckets: list[dict[str, routing.Route]] = [{}]
        self._priorities: dict[str, int] = {}
        self._top = 0

    def update(self, route: routing.Route, priority: int) -> None:
        """Place a route at a priority; one at 0 or below is left out.

        Args:
            route: Sidecar.
            priority: Greater heights are found first.
        """
        name = route.member.process
        old = self._priorities.get(name, 0)
        if priority == old:
            return
        if old:
            del self._buckets[old][name]
            del self._priorities[name]
        if priority <= 0:
            return
        while len(self._buckets) <= priority:
            self._buckets.append({})
        self._buckets[priority][name] = route
        self._priorities[name] = priority
        self._top = max(self._top, priority)

    def find_first(self) -> tuple[int, routing.Route | None]:
        """Return the greatest priority and a route there, 0 and none if empty."""
        while self._top and not self._buckets[self._top]:
            self._top -= 1
        if not self._top:
            return 0, None
        return self._top, next(iter(self._buckets[self._top].values()))

    def find_first_accepted(
        self, accept: Callable[[routing.Route], bool]
    ) -> tuple[int, routing.Route | None]:
        """Return the greatest priority with a route that is accepted, and the route.

        Args:
            accept: Whether a route will do.
        """
        for priority in range(self._top, 0, -1):
            for route in self._buckets[priority].values():
                if accept(route):
                    return priority, route
        return 0, None


Pool = frozenset[Shape]
"""Shapes of the upstreams that may take a task."""


@attrs.frozen(slots=True, eq=False)
class IndexGroup:
    """Sidecars that a choice treats alike.

    Attributes:
        shape: What their upstreams offer.
        near: Whether they are in the preferred failure domain.
        routes: Sidecars by free capacity.
    """

    shape: Shape
    near: bool
    routes: BucketQueue = attrs.field(factory=BucketQueue)


class CapacityIndex:
    """Sidecars that may be sent new work, by the room that they have.

    Args:
        near_domain: Failure domain that is preferred while it has room.
    """

    def __init__(self, near_domain: str) -> None:
        self._near_domain = near_domain
        self._groups: dict[tuple[Shape, bool], IndexGroup] = {}
        self._announcements: dict[Shape, messages.Announcement] = {}
        self._pools: dict[routing.Needs, Pool] = {}
        self._groups_by_pool: dict[Pool, list[IndexGroup]] = {}

    def rebuild(
        self, routes: Iterable[routing.Route], usable: Iterable[routing.Route]
    ) -> bool:
        """Index the sidecars anew.

        Args:
            routes: All sidecars.
            usable: Sidecars among them that may be sent new work.

        Returns:
            Whether pools found before may differ from now on.
        """
        announcements: dict[Shape, messages.Announcement] = {}
        for route in routes:
            route.index_group = None
            announcements.setdefault(_describe(route.announcement), route.announcement)
        changed = announcements.keys() != self._announcements.keys()
        self._announcements = announcements
        self._groups = {}
        self._pools = {}
        self._groups_by_pool = {}
        for route in usable:
            shape = _describe(route.announcement)
            near = route.announcement.failure_domain == self._near_domain
            route.index_group = self._groups.setdefault(
                (shape, near), IndexGroup(shape, near)
            )
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
                for shape, announcement in self._announcements.items()
                if routing.is_feasible(needs, announcement)
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
        if isinstance(route.index_group, IndexGroup):
            route.index_group.routes.update(route, route.priority)

    def choose(self, pool: Pool) -> routing.Route | None:
        """Return the sidecar that gets the next task, none if all are full.

        The near failure domain comes first, then the sidecar with the most room.

        Args:
            pool: Shapes that may take the task.
        """
        best: routing.Route | None = None
        best_rank = (False, 0)
        for group in self._list_groups(pool):
            priority, route = group.routes.find_first()
            rank = (group.near, priority)
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
            priority, route = group.routes.find_first_accepted(accept)
            rank = (group.near, priority)
            if route is not None and (best is None or rank > best_rank):
                best, best_rank = route, rank
        return best

    def is_usable(self, pool: Pool, route: routing.Route) -> bool:
        """Return whether a sidecar may be sent a task now.

        Args:
            pool: Shapes that may take the task.
            route: Sidecar.
        """
        return (
            isinstance(route.index_group, IndexGroup)
            and route.index_group.shape in pool
        )

    def _list_groups(self, pool: Pool) -> list[IndexGroup]:
        found = self._groups_by_pool.get(pool)
        if found is None:
            found = [item for item in self._groups.values() if item.shape in pool]
            self._groups_by_pool[pool] = found
        return found


def _describe(announcement: messages.Announcement) -> Shape:
    return Shape(
        tuple(announcement.services),
        announcement.group,
        announcement.cores,
        announcement.memory_mb,
        announcement.accelerators,
    )
