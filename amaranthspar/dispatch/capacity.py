"""Index of the sidecars by free capacity, to choose one without a full scan."""

from collections.abc import Callable, Iterable, Mapping

import attrs

from amaranthspar.dispatch import routing
from amaranthspar.schema import messages


@attrs.frozen(slots=True, cache_hash=True)
class Shape:
    """Properties of an upstream on which the needs of tasks depend."""

    services: tuple[str, ...]
    group: str
    cores: int
    memory_mb: int
    accelerators: int


class BucketQueue:
    """Priority queue of routes with small integers as priorities."""

    def __init__(self) -> None:
        self._buckets: list[dict[str, routing.Route]] = [{}]
        self._priorities: dict[str, int] = {}
        self._top = 0

    def update(self, route: routing.Route, priority: int) -> None:
        """Set the priority of a route, in constant time.

        Args:
            route: Route to a sidecar.
            priority: The greatest is found first; a route with 0 or less is
                left out.
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

    def copy(self, routes: Mapping[str, routing.Route]) -> "BucketQueue":
        """Return a queue with the same order that holds other routes.

        Args:
            routes: Route that stands for each queued one, by process name.
        """
        result = BucketQueue()
        result._buckets = [
            {name: routes[name] for name in bucket} for bucket in self._buckets
        ]
        result._priorities = dict(self._priorities)
        result._top = self._top
        return result

    def find_first(self) -> tuple[int, routing.Route | None]:
        """Return the greatest priority and a route with it; 0 and None if empty."""
        while self._top and not self._buckets[self._top]:
            self._top -= 1
        if not self._top:
            return 0, None
        return self._top, next(iter(self._buckets[self._top].values()))

    def find_first_accepted(
        self, accept: Callable[[routing.Route], bool]
    ) -> tuple[int, routing.Route | None]:
        """Return the first accepted route and its priority; 0 and None if none.

        Args:
            accept: Returns whether a route is suitable.
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
    """Sidecars of one shape, in or outside the preferred failure domain.

    Attributes:
        shape: Shape of their upstreams.
        near: Whether they are in the preferred failure domain.
        routes: Routes to them, ordered by free capacity.
    """

    shape: Shape
    near: bool
    routes: BucketQueue = attrs.field(factory=BucketQueue)


class CapacityIndex:
    """Index of the sidecars that may be sent new tasks, by free capacity.

    Args:
        near_domain: Failure domain that is preferred while it has free capacity.
    """

    def __init__(self, near_domain: str) -> None:
        self._near_domain = near_domain
        self._groups: dict[tuple[Shape, bool], IndexGroup] = {}
        self._announcements: dict[Shape, messages.Announcement] = {}
        self._pools: dict[routing.Needs, Pool] = {}
        self._groups_by_pool: dict[Pool, list[IndexGroup]] = {}

    def rebuild(
        self, routes: Iterable[routing.Route], open_routes: Iterable[routing.Route]
    ) -> bool:
        """Rebuild the index.

        Args:
            routes: Routes to all sidecars.
            open_routes: Routes among them that may be used for new tasks.

        Returns:
            Whether pools that were found before may have changed.
        """
        announcements: dict[Shape, messages.Announcement] = {}
        for route in routes:
            route.index_group = None
            announcements.setdefault(describe(route.announcement), route.announcement)
        changed = announcements.keys() != self._announcements.keys()
        self._announcements = announcements
        self._groups = {}
        self._pools = {}
        self._groups_by_pool = {}
        for route in open_routes:
            shape = describe(route.announcement)
            near = self.is_near(route)
            route.index_group = self._groups.setdefault(
                (shape, near), IndexGroup(shape, near)
            )
            self.update(route)
        return changed

    def copy(self, routes: Mapping[str, routing.Route]) -> "CapacityIndex":
        """Return an index that chooses alike among other routes.

        Args:
            routes: Route that stands for each indexed one, by process name. They
                become part of the returned index.
        """
        result = CapacityIndex(self._near_domain)
        result._announcements = self._announcements
        for key, group in self._groups.items():
            queue = group.routes.copy(routes)
            result._groups[key] = IndexGroup(group.shape, group.near, queue)
        for route in routes.values():
            if isinstance(route.index_group, IndexGroup):
                key = (route.index_group.shape, route.index_group.near)
                route.index_group = result._groups[key]
        return result

    def find_pool(self, needs: routing.Needs) -> Pool:
        """Return the shapes that meet the needs of a task; empty if none does.

        Args:
            needs: Needs of the task.
        """
        pool = self._pools.get(needs)
        if pool is None:
            pool = frozenset(
                shape
                for shape, announcement in self._announcements.items()
                if routing.is_feasible(needs, announcement)
            )
            # Tasks without a pool are rejected, and their needs vary without limit.
            if pool:
                self._pools[needs] = pool
        return pool

    def is_near(self, route: routing.Route) -> bool:
        """Return whether a sidecar is in the preferred failure domain."""
        return route.announcement.failure_domain == self._near_domain

    def update(self, route: routing.Route) -> None:
        """Update the index after the free capacity of a sidecar has changed.

        Args:
            route: Route to the sidecar; ignored if it is not in the index.
        """
        if isinstance(route.index_group, IndexGroup):
            route.index_group.routes.update(route, route.priority)

    def choose(self, pool: Pool) -> routing.Route | None:
        """Return the route for the next task, None without free capacity.

        The preferred failure domain comes first, then the route of the greatest
        priority.

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
        """Return the best accepted route, None if none of them has free capacity.

        Args:
            pool: Shapes that may take the task.
            accept: Returns whether a route is suitable.
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
        """Return whether a sidecar is indexed and may take the tasks of a pool.

        Args:
            pool: Shapes that may take the task.
            route: Route to the sidecar.
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


def describe(announcement: messages.Announcement) -> Shape:
    """Return the shape of an upstream."""
    return Shape(
        tuple(announcement.services),
        announcement.group,
        announcement.cores,
        announcement.memory_mb,
        announcement.accelerators,
    )
