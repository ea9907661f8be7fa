"""Pools of waiting tasks by the upstreams that may take them now."""

from collections.abc import Iterable

from amaranthspar import effects
from amaranthspar.dispatch import capacity, routing
from amaranthspar.membership import desks, leaseholder
from amaranthspar.schema import entries, messages

CLOSED: capacity.Pool = frozenset()
"""Pool of the tasks that no upstream may take now."""


class Pools:
    """Finds the pool of a task, minding the barrier of desks that move.

    Args:
        holder: Lease of this gateway.
        index: Sidecars by the room that they have.
    """

    def __init__(
        self, holder: leaseholder.LeaseHolder, index: capacity.Capacity
    ) -> None:
        self._holder = holder
        self._capacity = index
        self._barrier = desks.MoveBarrier()
        self._closed: set[str] = set()
        self._desks: dict[str, entries.Desk] = {}

    def find(self, needs: routing.Needs) -> capacity.Pool:
        """Return the pool of a task.

        Args:
            needs: What the task asks of an upstream.
        """
        known = self._holder.view
        if needs.desk and not self._barrier.is_open(needs.desk, known):
            self._closed.add(needs.desk)
            return CLOSED
        return self._capacity.find_pool(routing.resolve_home(needs, known))

    def follow(
        self, routes: Iterable[routing.Route], usable: Iterable[routing.Route]
    ) -> bool:
        """Follow a newer configuration or membership.

        Args:
            routes: All sidecars.
            usable: Sidecars among them that may be sent new work.

        Returns:
            Whether pools found before may differ from now on.
        """
        self._barrier.evict_absent(self._holder.view)
        changed = self._capacity.rebuild(routes, usable)
        moved = self._holder.view.settings.desks != self._desks
        self._desks = self._holder.view.settings.desks
        return changed or moved or self._reopen()

    def note_settled(
        self, process: str, incarnation: int, report: messages.ReportSettled
    ) -> bool:
        """Take what a sidecar has settled.

        Args:
            process: Process name of the sidecar.
            incarnation: Its incarnation.
            report: What it has settled.

        Returns:
            Whether pools found before may differ from now on.
        """
        self._barrier.record_settled(process, incarnation, report.version)
        return self._reopen()

    def inquire(self, now_ms: int) -> list[effects.Send]:
        """Ask the sidecars that desks with waiting tasks wait for.

        Args:
            now_ms: Monotonic time in ms.
        """
        if not self._closed:
            return []
        return self._barrier.inquire(self._closed, self._holder.view, now_ms)

    def _reopen(self) -> bool:
        known = self._holder.view
        opened = {item for item in self._closed if self._barrier.is_open(item, known)}
        self._closed -= opened
        return bool(opened)
