"""Assignment of tasks to pools, by the upstreams that may take them now."""

from collections.abc import Iterable

from amaranthspar import effects
from amaranthspar.dispatch import capacity, routing
from amaranthspar.membership import desks, leaseholder
from amaranthspar.schema import entries, messages

BLOCKED: capacity.Pool = frozenset()
"""Pool of the tasks that no upstream may take now."""


class Pools:
    """Finds the pool of a task, and blocks tasks of desks that are being moved.

    Args:
        holder: Lease of this gateway.
        index: Index of the sidecars by free capacity.
    """

    def __init__(
        self, holder: leaseholder.LeaseHolder, index: capacity.CapacityIndex
    ) -> None:
        self._holder = holder
        self._capacity = index
        self._barrier = desks.MoveBarrier()
        self._blocked_desks: set[str] = set()
        self._desks: dict[str, entries.Desk] = {}

    def find(self, needs: routing.Needs) -> capacity.Pool:
        """Return the pool of a task.

        Args:
            needs: Needs of the task.
        """
        view = self._holder.view
        if needs.desk and not self._barrier.is_open(needs.desk, view):
            self._blocked_desks.add(needs.desk)
            return BLOCKED
        return self._capacity.find_pool(routing.resolve_home(needs, view))

    def predict(
        self, needs: routing.Needs, index: capacity.CapacityIndex
    ) -> capacity.Pool:
        """Return the pool that `find` would return, without recording anything.

        Args:
            needs: Needs of the task.
            index: Copy of the index of the sidecars.
        """
        view = self._holder.view
        if needs.desk and not self._barrier.is_settled(needs.desk, view):
            return BLOCKED
        return index.find_pool(routing.resolve_home(needs, view))

    def list_blocking(self, desk: str) -> list[str]:
        """Return the sidecars that have not settled the last move of a desk.

        Args:
            desk: Desk name; empty for none.
        """
        view = self._holder.view
        if self._barrier.is_settled(desk, view):
            return []
        return [item.process for item in self._barrier.list_unsettled(desk, view)]

    def apply_view(
        self, routes: Iterable[routing.Route], open_routes: Iterable[routing.Route]
    ) -> bool:
        """Apply a newer configuration or membership.

        Args:
            routes: Routes to all sidecars.
            open_routes: Routes among them that may be used for new tasks.

        Returns:
            Whether pools that were found before may have changed.
        """
        self._barrier.evict_absent(self._holder.view)
        changed = self._capacity.rebuild(routes, open_routes)
        moved = self._holder.view.settings.desks != self._desks
        self._desks = self._holder.view.settings.desks
        return changed or moved or self._unblock_desks()

    def note_settled(
        self, process: str, incarnation: int, report: messages.ReportSettled
    ) -> bool:
        """Record up to which version a sidecar has settled the moves of desks.

        Args:
            process: Process name of the sidecar.
            incarnation: Its incarnation.
            report: Report of the sidecar.

        Returns:
            Whether pools that were found before may have changed.
        """
        self._barrier.record_settled(process, incarnation, report.version)
        return self._unblock_desks()

    def inquire(self, now_ms: int) -> list[effects.Send]:
        """Ask the sidecars that block desks with waiting tasks.

        Args:
            now_ms: Monotonic time in ms.
        """
        if not self._blocked_desks:
            return []
        return self._barrier.inquire(self._blocked_desks, self._holder.view, now_ms)

    def _unblock_desks(self) -> bool:
        view = self._holder.view
        unblocked = {
            item for item in self._blocked_desks if self._barrier.is_open(item, view)
        }
        self._blocked_desks -= unblocked
        return bool(unblocked)
