"""Pool of the sidecars of one service, and the subset of them that a gateway uses.

With hundreds of gateways and sidecars, the number of messages would grow with the
number of pairs if every gateway renewed its lease at every sidecar. A gateway therefore
uses a random subset, the members of the pool, half of them in its own failure domain.
The subset grows while tasks find little free capacity and shrinks once they find
plenty.
"""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING

import attrs

from amaranthspar.scheduling import resources, sidecars

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from amaranthspar.schema import runmessages

MIN_MEMBERS = 20
"""Minimum number of members; of a smaller service all sidecars are members."""
MAX_MEMBERS = 32
"""Maximum number of members while the gateway's own runs use little of their capacity.
Under the highest load all sidecars are full, so more members cause more renewals and
refused orders and give no more capacity."""
TARGET_UTILIZATION = 0.5
"""Share of its members' cores that a gateway's own runs may use before members are
added beyond `MAX_MEMBERS`."""
GROWTH_STEP = 8
"""Number of sidecars added at once."""
GROWTH_INTERVAL_MS = 10
"""Minimum time between two additions; a sidecar answers its first message within it."""
SHRINK_DELAY_MS = 3_000
"""Time without a shortage of capacity after which idle members are dropped."""
REBALANCE_INTERVAL_MS = 500
"""Interval at which members are exchanged for sidecars that rank higher; hysteresis, so
that a sidecar that is briefly unresponsive does not cause several exchanges."""
ACCEPTING_MAX_AGE_MS = 50
"""Age from which the cached list of accepting members is rebuilt, so that members that
became unresponsive leave it."""


@attrs.define(slots=True)
class _Accepting:
    """Cached list of the members that accept runs.

    Attributes:
        at_ms: Time at which the list was built in ms.
        members: Members that accept runs.
    """

    at_ms: int
    members: list[sidecars.Sidecar]


class Pool:
    """Sidecars of one service, ranked at random, and the members among them.

    Attributes:
        service: Name of the service.
        members: Sidecars to which the gateway sends renewals and orders, by name.

    Args:
        service: Name of the service.
        failure_domain: Failure domain of the gateway; empty if it has none.
        chance: Random number generator for the ranking.
    """

    def __init__(
        self, service: str, failure_domain: str, chance: random.Random
    ) -> None:
        self.service = service
        self.members: dict[str, sidecars.Sidecar] = {}
        self._domains_out: frozenset[str] = frozenset()
        self._listed: frozenset[str] = frozenset()
        self._failure_domain = failure_domain
        self._chance = chance
        self._sidecars: dict[str, sidecars.Sidecar] = {}
        self._ranks: dict[str, float] = {}
        self._ranking: list[sidecars.Sidecar] | None = None
        self._scale_factor: float | None = None
        self._joined_ms: dict[str, int] = {}
        self._accepting: _Accepting | None = None
        self._grown_ms = -GROWTH_INTERVAL_MS
        self._shortage_ms = 0
        self._rebalanced_ms = 0
        self._pinned: set[str] = set()
        self._draining: set[str] = set()

    def __len__(self) -> int:
        return len(self._sidecars)

    def set_domains_out(self, domains: frozenset[str]) -> None:
        """Set the failure domains that are out of service.

        Args:
            domains: Their names.
        """
        self._domains_out = domains
        self._invalidate()

    def set_listed(self, names: frozenset[str]) -> None:
        """Set the sidecars that controllers list.

        Args:
            names: Process names, of other services too.
        """
        self._listed = names
        self._invalidate()

    def add(self, sidecar: sidecars.Sidecar) -> None:
        """Add a sidecar that controllers list; it is not a member yet.

        Args:
            sidecar: Sidecar of this service.
        """
        self._sidecars[sidecar.name] = sidecar
        self._ranks[sidecar.name] = self._chance.random()
        self._invalidate()

    def remove(self, name: str) -> None:
        """Remove a sidecar from the pool.

        Args:
            name: Its process name.
        """
        self._sidecars.pop(name, None)
        self._ranks.pop(name, None)
        self._joined_ms.pop(name, None)
        self.drop(name)
        self._invalidate()

    def drop(self, name: str) -> None:
        """Remove a sidecar from the members.

        Args:
            name: Its process name.
        """
        if self.members.pop(name, None) is not None:
            self._pinned.discard(name)
            self._draining.discard(name)
            self._accepting = None
            self._scale_factor = None

    def invalidate_accepting(self) -> None:
        """Discard the cached list of accepting members after one of them changed."""
        self._accepting = None

    def list_accepting(self, now_ms: int) -> list[sidecars.Sidecar]:
        """Return the members that accept new runs.

        Args:
            now_ms: Current time in ms.
        """
        cached = self._accepting
        if cached is not None and now_ms - cached.at_ms < ACCEPTING_MAX_AGE_MS:
            return cached.members
        accepting = [
            sidecar
            for sidecar in self.members.values()
            if sidecar.room is not None
            and sidecar.name not in self._draining
            and sidecar.room.service == self.service
            and sidecar.room.failure_domain not in self._domains_out
            and sidecar.accepts_runs(now_ms)
        ]
        self._accepting = _Accepting(now_ms, accepting)
        return accepting

    def fill(self, now_ms: int) -> list[sidecars.Sidecar]:
        """Add members until the minimum is available, and return the new ones.

        Args:
            now_ms: Current time in ms.
        """
        return self._add_ranked(MIN_MEMBERS - self._count_available(now_ms), now_ms)

    def grow(self, now_ms: int) -> list[sidecars.Sidecar]:
        """Add members because tasks find little capacity, and return the new ones.

        Args:
            now_ms: Current time in ms.
        """
        self._shortage_ms = now_ms
        if len(self.members) >= len(self._sidecars) or not self._may_add(now_ms):
            return []
        limit = max(MAX_MEMBERS, self._count_needed())
        return self._add_ranked(
            min(GROWTH_STEP, limit - self._count_available(now_ms)), now_ms
        )

    def add_suitable(
        self, wanted: list[sidecars.Sidecar], now_ms: int
    ) -> list[sidecars.Sidecar]:
        """Add some of the sidecars that suit a task, and return the new ones.

        They are not exchanged by `rebalance`.

        Args:
            wanted: Sidecars of this pool that suit the task, members or not.
            now_ms: Current time in ms.
        """
        names = {item.name for item in wanted}
        added = self._list_nonmembers(GROWTH_STEP, lambda item: item.name in names)
        if not added or not self._may_add(now_ms):
            return []
        self._pinned |= {item.name for item in added}
        return self._add_members(added, now_ms)

    def rebalance(self, now_ms: int) -> list[sidecars.Sidecar]:
        """Exchange members for sidecars that rank higher, and return the new ones.

        When upstreams are added while those in use are full, every gateway already has
        the maximum number of members, so without an exchange none would use a new
        upstream. Ranks differ by gateway, so that each new upstream gets its share of
        the gateways. A member that is exchanged drains: it finishes its runs and gets
        no further ones. Nothing is exchanged while there is no shortage of capacity.

        Args:
            now_ms: Current time in ms.
        """
        is_short = now_ms - self._shortage_ms < SHRINK_DELAY_MS
        if not is_short or now_ms - self._rebalanced_ms < REBALANCE_INTERVAL_MS:
            return []
        self._rebalanced_ms = now_ms
        available = [
            item
            for item in self._list_usable()
            if not self._is_unavailable(item, now_ms)
        ]
        # Members added for a task that no other member suits are not exchanged.
        ranked = [item for item in available if item.name not in self._pinned]
        pinned_count = len(available) - len(ranked)
        best = ranked[: max(self._count_available(now_ms) - pinned_count, 0)]
        names = {item.name for item in best} | self._pinned
        draining = {
            item.name for item in available if item.name in self.members
        } - names
        if draining != self._draining:
            self._draining = draining
            self.invalidate_accepting()
            self._scale_factor = None
        return self._add_members(
            [item for item in best if item.name not in self.members], now_ms
        )

    def add_unreported(self, now_ms: int) -> list[sidecars.Sidecar]:
        """Add sidecars that have not reported yet as members, and return them.

        Args:
            now_ms: Current time in ms.
        """
        unreported = self._list_nonmembers(GROWTH_STEP, lambda item: item.room is None)
        if not unreported or not self._may_add(now_ms):
            return []
        return self._add_members(unreported, now_ms)

    def has_unreported(self, now_ms: int) -> bool:
        """Return whether a sidecar without a report so far may send one soon.

        Args:
            now_ms: Current time in ms.
        """
        return any(
            item.room is None
            and item.failure_domain not in self._domains_out
            and not self._is_unresponsive(item, now_ms)
            for item in self._sidecars.values()
        )

    def list_reported(self) -> list[sidecars.Sidecar]:
        """Return all sidecars, members or not, that have sent a report."""
        return [item for item in self._sidecars.values() if item.room is not None]

    def shrink(self, now_ms: int) -> None:
        """Drop idle members that are not needed, the lowest in rank first.

        Unavailable members stay while they are listed, as they would be the next to be
        added again.

        Args:
            now_ms: Current time in ms.
        """
        for name in self.members.keys() - self._listed:
            if not self.members[name].tasks and self._is_unavailable(
                self.members[name], now_ms
            ):
                self.drop(name)
        for name in [item for item in self._draining if not self.members[item].tasks]:
            self.drop(name)
        if now_ms - self._shortage_ms < SHRINK_DELAY_MS:
            return
        wanted = max(MIN_MEMBERS, self._count_needed())
        surplus = self._count_available(now_ms) - wanted
        if surplus <= 0:
            return
        idle = [
            item.name for item in self._list_usable() if self._is_idle(item, now_ms)
        ]
        for name in idle[-surplus:]:
            self.drop(name)

    def read_scale_factor(self) -> float:
        """Return the number of listed sidecars per member, for extrapolation."""
        if self._scale_factor is None:
            usable = self._list_usable()
            members = sum(
                item.name in self.members and item.name not in self._draining
                for item in usable
            )
            self._scale_factor = len(usable) / members if members else 1.0
        return self._scale_factor

    def _count_needed(self) -> int:
        """Return the number of members for the target utilization by this gateway."""
        reported = [item for item in self.members.values() if item.room is not None]
        capacity = sum_capacity(reported).cpu_millis
        if not capacity:
            return 0
        used = sum(item.used_millis for item in reported)
        return math.ceil(used * len(reported) / (TARGET_UTILIZATION * capacity))

    def _may_add(self, now_ms: int) -> bool:
        """Return whether members may be added now, and if so record the time."""
        if now_ms - self._grown_ms < GROWTH_INTERVAL_MS:
            return False
        self._grown_ms = now_ms
        return True

    def _count_available(self, now_ms: int) -> int:
        """Return the number of members that are available and not draining."""
        return sum(
            name not in self._draining and not self._is_unavailable(item, now_ms)
            for name, item in self.members.items()
        )

    def _is_unresponsive(self, sidecar: sidecars.Sidecar, now_ms: int) -> bool:
        """Return whether a sidecar has not answered within the timeout."""
        joined_ms = self._joined_ms.get(sidecar.name, now_ms)
        return now_ms - max(sidecar.received_ms, joined_ms) > sidecars.UNRESPONSIVE_MS

    def _is_unavailable(self, sidecar: sidecars.Sidecar, now_ms: int) -> bool:
        """Return whether a sidecar accepts no runs; one just added is given time."""
        room = sidecar.room
        return (
            sidecar.failure_domain in self._domains_out
            or (room is not None and (room.is_leaving or not room.upstream))
            or self._is_unresponsive(sidecar, now_ms)
        )

    def _is_idle(self, sidecar: sidecars.Sidecar, now_ms: int) -> bool:
        """Return whether a member is available and has no task of this gateway."""
        is_member = sidecar.name in self.members
        return (
            is_member
            and not sidecar.tasks
            and not self._is_unavailable(sidecar, now_ms)
        )

    def _invalidate(self) -> None:
        """Discard everything that is derived from the listed sidecars."""
        self._accepting = None
        self._ranking = None
        self._scale_factor = None

    def _list_usable(self) -> list[sidecars.Sidecar]:
        """Return the listed sidecars that are in service, the highest in rank first.

        Sidecars of the gateway's failure domain alternate with the others.
        """
        if self._ranking is None:
            usable = [
                item
                for name, item in self._sidecars.items()
                if name in self._listed and item.failure_domain not in self._domains_out
            ]
            usable.sort(key=lambda item: self._ranks[item.name])
            own = [item for item in usable if self._is_in_own_domain(item)]
            others = [item for item in usable if not self._is_in_own_domain(item)]
            pairs = itertools.zip_longest(own, others)
            self._ranking = [
                item for pair in pairs for item in pair if item is not None
            ]
        return self._ranking

    def _is_in_own_domain(self, sidecar: sidecars.Sidecar) -> bool:
        return sidecar.failure_domain == self._failure_domain

    def _list_nonmembers(
        self, count: int, is_wanted: Callable[[sidecars.Sidecar], bool]
    ) -> list[sidecars.Sidecar]:
        """Return up to `count` usable non-members, the highest in rank first."""
        outside = (
            item
            for item in self._list_usable()
            if item.name not in self.members and is_wanted(item)
        )
        return list(itertools.islice(outside, count))

    def _add_ranked(self, count: int, now_ms: int) -> list[sidecars.Sidecar]:
        if count <= 0 or len(self.members) >= len(self._sidecars):
            return []
        return self._add_members(self._list_nonmembers(count, lambda _: True), now_ms)

    def _add_members(
        self, added: list[sidecars.Sidecar], now_ms: int
    ) -> list[sidecars.Sidecar]:
        for sidecar in added:
            self.members[sidecar.name] = sidecar
            self._joined_ms[sidecar.name] = now_ms
        self._accepting = None
        self._scale_factor = None
        return added


def sum_free(members: list[sidecars.Sidecar]) -> float:
    """Return the number of free cores on sidecars.

    Args:
        members: Sidecars that accept runs.
    """
    return sum(max(0, item.free.cpu_millis) for item in members) / 1000


def sum_capacity(members: list[sidecars.Sidecar]) -> runmessages.Resources:
    """Return the total capacity of sidecars.

    Args:
        members: Sidecars that accept runs.
    """
    return resources.total(
        item.room.capacity for item in members if item.room is not None
    )
