"""The sidecars of one service, and the few of them that a gateway works with.

Load pattern: hundreds of gateways and sidecars. If every gateway renewed its contact
with every sidecar, messages would grow with all pairs. A gateway works with a subset
that it draws by lot, half of it in its own failure domain, and changes the subset's size
with its own load: it grows while tasks find little room and shrinks once they find
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

LEAST_MEMBERS = 20
"""Sidecars that a gateway works with at least; a smaller service is used whole."""
MOST_MEMBERS = 32
"""Sidecars that a gateway works with at most while its own runs fill few of them. At the
worst load all are full, and more of them bring renewals and refused orders, no room."""
OWN_SHARE = 0.5
"""Part of its members' processors that a gateway may fill before it works with more."""
WIDEN_STEP = 8
"""Sidecars that are added at once."""
WIDEN_INTERVAL_MS = 10
"""Least time between two additions: a sidecar answers its first message within it."""
NARROW_AFTER_MS = 3_000
"""Time without need of more room after which idle members are left."""
REBALANCE_MS = 500
"""Interval in which sidecars that rank before members take their places; hysteresis keeps
one that falls silent for a moment from costing several changes."""
REFRESH_MS = 50
"""Age from which the list of open members is read anew, for those that fell silent."""


@attrs.define(slots=True)
class _Listed:
    """Open members of a pool at some time."""

    at_ms: int
    members: list[sidecars.Sidecar]


class Pool:
    """Sidecars of one service.

    Attributes:
        service: Service.
        members: Sidecars that the gateway works with, by name.

    Args:
        service: Service.
        failure_domain: Failure domain of the gateway; empty if it has none.
        chance: Source of the ranking.
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
        self._known: dict[str, sidecars.Sidecar] = {}
        self._ranks: dict[str, float] = {}
        self._ranking: list[sidecars.Sidecar] | None = None
        self._extent: float | None = None
        self._joined_ms: dict[str, int] = {}
        self._open: _Listed | None = None
        self._widened_ms = -WIDEN_INTERVAL_MS
        self._needed_ms = 0
        self._rebalanced_ms = 0
        self._invited: set[str] = set()
        self._retiring: set[str] = set()

    def __len__(self) -> int:
        return len(self._known)

    def set_domains_out(self, domains: frozenset[str]) -> None:
        """Take which failure domains are out of service.

        Args:
            domains: Their names.
        """
        self._domains_out = domains
        self._note_known()

    def set_listed(self, names: frozenset[str]) -> None:
        """Take which sidecars controllers list.

        Args:
            names: Process names, of other services too.
        """
        self._listed = names
        self._note_known()

    def add(self, sidecar: sidecars.Sidecar) -> None:
        """Take a sidecar that controllers list.

        Args:
            sidecar: Sidecar of this service.
        """
        self._known[sidecar.name] = sidecar
        self._ranks[sidecar.name] = self._chance.random()
        self._note_known()

    def remove(self, name: str) -> None:
        """Forget a sidecar.

        Args:
            name: Its process name.
        """
        self._known.pop(name, None)
        self._ranks.pop(name, None)
        self._joined_ms.pop(name, None)
        self.leave(name)
        self._note_known()

    def leave(self, name: str) -> None:
        """Work with a sidecar no longer.

        Args:
            name: Its process name.
        """
        if self.members.pop(name, None) is not None:
            self._invited.discard(name)
            self._retiring.discard(name)
            self._open = None
            self._extent = None

    def note_changed(self) -> None:
        """Take that a member may have begun or ceased to take runs."""
        self._open = None

    def list_open(self, now_ms: int) -> list[sidecars.Sidecar]:
        """Return the members that take new runs.

        Args:
            now_ms: Current time in ms.
        """
        known = self._open
        if known is not None and now_ms - known.at_ms < REFRESH_MS:
            return known.members
        found = [
            sidecar
            for sidecar in self.members.values()
            if sidecar.room is not None
            and sidecar.name not in self._retiring
            and sidecar.room.service == self.service
            and sidecar.room.failure_domain not in self._domains_out
            and sidecar.takes_runs(now_ms)
        ]
        self._open = _Listed(now_ms, found)
        return found

    def fill(self, now_ms: int) -> list[sidecars.Sidecar]:
        """Make up for members that take no runs, and return the new ones.

        Args:
            now_ms: Current time in ms.
        """
        return self._join(LEAST_MEMBERS - self._count_useful(now_ms), now_ms)

    def widen(self, now_ms: int) -> list[sidecars.Sidecar]:
        """Add members as tasks find little room, and return the new ones.

        Args:
            now_ms: Current time in ms.
        """
        self._needed_ms = now_ms
        if len(self.members) >= len(self._known) or not self._may_grow(now_ms):
            return []
        limit = max(MOST_MEMBERS, self._count_needed())
        return self._join(min(WIDEN_STEP, limit - self._count_useful(now_ms)), now_ms)

    def invite(
        self, wanted: list[sidecars.Sidecar], now_ms: int
    ) -> list[sidecars.Sidecar]:
        """Add some of the sidecars that suit a task, and return the new ones.

        Args:
            wanted: Sidecars of this pool, members or not.
            now_ms: Current time in ms.
        """
        names = {item.name for item in wanted}
        found = self._list_outside(WIDEN_STEP, lambda item: item.name in names)
        if not found or not self._may_grow(now_ms):
            return []
        self._invited |= {item.name for item in found}
        return self._take_in(found, now_ms)

    def rebalance(self, now_ms: int) -> list[sidecars.Sidecar]:
        """Exchange members for sidecars that rank before them, and return the new ones.

        Load pattern: upstreams are added while those in use are full. Every gateway has
        as many members as it may, so that none would ever find room on a new one. Ranks
        differ by gateway, so that each new one gets its share of them. A member that is
        exchanged ends its runs and gets no further ones. While room is found nothing is
        exchanged.

        Args:
            now_ms: Current time in ms.
        """
        is_pressed = now_ms - self._needed_ms < NARROW_AFTER_MS
        if not is_pressed or now_ms - self._rebalanced_ms < REBALANCE_MS:
            return []
        self._rebalanced_ms = now_ms
        useful = [
            item for item in self._list_usable() if not self._is_useless(item, now_ms)
        ]
        # Those that were looked for stay: what they suit finds no other place.
        ranked = [item for item in useful if item.name not in self._invited]
        kept = len(useful) - len(ranked)
        best = ranked[: max(self._count_useful(now_ms) - kept, 0)]
        names = {item.name for item in best} | self._invited
        retiring = {item.name for item in useful if item.name in self.members} - names
        if retiring != self._retiring:
            self._retiring = retiring
            self.note_changed()
            self._extent = None
        return self._take_in(
            [item for item in best if item.name not in self.members], now_ms
        )

    def search(self, now_ms: int) -> list[sidecars.Sidecar]:
        """Add members that were never heard, and return them.

        Args:
            now_ms: Current time in ms.
        """
        unheard = self._list_outside(WIDEN_STEP, lambda item: item.room is None)
        if not unheard or not self._may_grow(now_ms):
            return []
        return self._take_in(unheard, now_ms)

    def has_unheard(self, now_ms: int) -> bool:
        """Return whether a sidecar that has said nothing yet may soon do so.

        Args:
            now_ms: Current time in ms.
        """
        return any(
            item.room is None
            and item.failure_domain not in self._domains_out
            and not self._is_silent(item, now_ms)
            for item in self._known.values()
        )

    def list_known(self) -> list[sidecars.Sidecar]:
        """Return all sidecars, members or not, that were heard at some time."""
        return [item for item in self._known.values() if item.room is not None]

    def narrow(self, now_ms: int) -> None:
        """Leave idle members, the lowest in rank first, once they are not needed.

        Lost ones stay while they are listed: they would be the next to be taken in.

        Args:
            now_ms: Current time in ms.
        """
        for name in self.members.keys() - self._listed:
            if not self.members[name].tasks and self._is_useless(
                self.members[name], now_ms
            ):
                self.leave(name)
        for name in [item for item in self._retiring if not self.members[item].tasks]:
            self.leave(name)
        if now_ms - self._needed_ms < NARROW_AFTER_MS:
            return
        wanted = max(LEAST_MEMBERS, self._count_needed())
        surplus = self._count_useful(now_ms) - wanted
        if surplus <= 0:
            return
        idle = [
            item.name for item in self._list_usable() if self._is_idle(item, now_ms)
        ]
        for name in idle[-surplus:]:
            self.leave(name)

    def count_extent(self) -> float:
        """Return how many sidecars are listed for each member."""
        if self._extent is None:
            usable = self._list_usable()
            members = sum(
                item.name in self.members and item.name not in self._retiring
                for item in usable
            )
            self._extent = len(usable) / members if members else 1.0
        return self._extent

    def _count_needed(self) -> int:
        """Return how many members this gateway's own runs need."""
        heard = [item for item in self.members.values() if item.room is not None]
        capacity = sum_capacity(heard).cpu_millis
        if not capacity:
            return 0
        used = sum(item.used_millis for item in heard)
        return math.ceil(used * len(heard) / (OWN_SHARE * capacity))

    def _may_grow(self, now_ms: int) -> bool:
        """Return whether the last additions have had time to answer."""
        if now_ms - self._widened_ms < WIDEN_INTERVAL_MS:
            return False
        self._widened_ms = now_ms
        return True

    def _count_useful(self, now_ms: int) -> int:
        """Return how many members take runs and go on doing so."""
        return sum(
            name not in self._retiring and not self._is_useless(item, now_ms)
            for name, item in self.members.items()
        )

    def _is_silent(self, sidecar: sidecars.Sidecar, now_ms: int) -> bool:
        """Return whether a member has not answered for long."""
        asked_ms = self._joined_ms.get(sidecar.name, now_ms)
        return now_ms - max(sidecar.heard_ms, asked_ms) > sidecars.SILENCE_MS

    def _is_useless(self, sidecar: sidecars.Sidecar, now_ms: int) -> bool:
        """Return whether a member takes no runs, other than one just asked."""
        room = sidecar.room
        return (
            sidecar.failure_domain in self._domains_out
            or (room is not None and (room.is_leaving or not room.upstream))
            or self._is_silent(sidecar, now_ms)
        )

    def _is_idle(self, sidecar: sidecars.Sidecar, now_ms: int) -> bool:
        """Return whether a member could run tasks and holds none of this gateway."""
        is_member = sidecar.name in self.members
        return is_member and not sidecar.tasks and not self._is_useless(sidecar, now_ms)

    def _note_known(self) -> None:
        """Have what is derived from the listed sidecars worked out anew."""
        self._open = None
        self._ranking = None
        self._extent = None

    def _list_usable(self) -> list[sidecars.Sidecar]:
        """Return the sidecars that are listed and in service, the best in rank first.

        Those of the own failure domain and the others come by turns.
        """
        if self._ranking is None:
            found = [
                item
                for name, item in self._known.items()
                if name in self._listed and item.failure_domain not in self._domains_out
            ]
            found.sort(key=lambda item: self._ranks[item.name])
            near = [item for item in found if self._is_near(item)]
            far = [item for item in found if not self._is_near(item)]
            pairs = itertools.zip_longest(near, far)
            self._ranking = [
                item for pair in pairs for item in pair if item is not None
            ]
        return self._ranking

    def _is_near(self, sidecar: sidecars.Sidecar) -> bool:
        return sidecar.failure_domain == self._failure_domain

    def _list_outside(
        self, count: int, is_wanted: Callable[[sidecars.Sidecar], bool]
    ) -> list[sidecars.Sidecar]:
        """Return some sidecars that may be taken in, the best in rank first."""
        outside = (
            item
            for item in self._list_usable()
            if item.name not in self.members and is_wanted(item)
        )
        return list(itertools.islice(outside, count))

    def _join(self, count: int, now_ms: int) -> list[sidecars.Sidecar]:
        if count <= 0 or len(self.members) >= len(self._known):
            return []
        return self._take_in(self._list_outside(count, lambda _: True), now_ms)

    def _take_in(
        self, found: list[sidecars.Sidecar], now_ms: int
    ) -> list[sidecars.Sidecar]:
        for sidecar in found:
            self.members[sidecar.name] = sidecar
            self._joined_ms[sidecar.name] = now_ms
        self._open = None
        self._extent = None
        return found


def sum_free(found: list[sidecars.Sidecar]) -> float:
    """Return the cores that are free at some sidecars.

    Args:
        found: Open sidecars.
    """
    return sum(max(0, item.free.cpu_millis) for item in found) / 1000


def sum_capacity(found: list[sidecars.Sidecar]) -> runmessages.Resources:
    """Return what some sidecars offer together.

    Args:
        found: Open sidecars.
    """
    return resources.total(
        item.room.capacity for item in found if item.room is not None
    )
