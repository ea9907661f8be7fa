"""Desks with two homes, and the barrier between them.

The configuration names one home for each desk, and the version at which it
last changed. After a change no task of the desk starts at the new home until
every sidecar of the other homes holds that version and runs no task of a desk
that moved away, or has lost its membership.
"""

from collections.abc import Iterable

import attrs

from amaranthspar import configuration, effects
from amaranthspar.membership import view
from amaranthspar.schema import entries, messages

INQUIRE_INTERVAL_MS = 100
KIND = "desk"
MAIN = "main"


def update_moved_versions(
    before: dict[str, messages.Section],
    after: dict[str, messages.Section],
    version: int,
) -> dict[str, messages.Section]:
    """Return a configuration's sections with the version of each desk's move.

    A desk that leaves the configuration goes back to the main home and keeps
    an entry, so that its move is not forgotten.

    Args:
        before: Sections of the version before, by name.
        after: Sections of the new version, by name.
        version: New version.
    """
    old, new = _read_desks(before), _read_desks(after)
    result = {name: item for name, item in after.items() if name not in new}
    for name in dict.fromkeys([*new, *old]):
        desk_name = name.partition(" ")[2]
        previous = old.get(name, entries.Desk(desk_name))
        current = new.get(name, entries.Desk(desk_name))
        moved = previous.home != current.home
        carried = version if moved else previous.moved_version
        if name in new or carried:
            desk = attrs.evolve(current, moved_version=carried)
            result[name] = configuration.format_section(KIND, desk)
    return result


def _read_desks(sections: dict[str, messages.Section]) -> dict[str, entries.Desk]:
    chosen = [
        section for name, section in sections.items() if name.startswith(f"{KIND} ")
    ]
    desks = configuration.build_configuration(chosen).desks
    return {f"{KIND} {name}": desk for name, desk in desks.items()}


def find_settled_version(
    held_version: int, running: Iterable["RunningTask"], group: str, known: view.View
) -> int:
    """Return up to which version a sidecar has settled the moves of desks.

    Args:
        held_version: Configuration version that the sidecar holds.
        running: Tasks that run on its upstream.
        group: Upstream group of the sidecar.
        known: View that the sidecar holds.
    """
    started = [
        task.started_version
        for task in running
        if task.desk
        and (
            known.find_home(task.desk) != group
            or known.find_move(task.desk) > task.started_version
        )
    ]
    return min([held_version, *started])


@attrs.frozen(slots=True)
class RunningTask:
    """A task that runs on an upstream.

    Attributes:
        gateway: Gateway that sent it.
        desk: Desk name; empty for none.
        started_version: Configuration version held when it started.
    """

    gateway: str
    desk: str
    started_version: int


class MoveBarrier:
    """Gateway's knowledge of what the sidecars have settled."""

    def __init__(self) -> None:
        self._settled: dict[tuple[str, int], int] = {}
        self._opened: dict[str, int] = {}
        self._asked_ms = 0

    def record_settled(self, process: str, incarnation: int, version: int) -> None:
        """Note what a sidecar has settled.

        Args:
            process: Process name of the sidecar.
            incarnation: Its incarnation.
            version: Configuration version.
        """
        self._settled[process, incarnation] = version

    def is_open(self, desk: str, known: view.View) -> bool:
        """Return whether tasks of a desk may start at its home.

        Args:
            desk: Desk name; empty for none.
            known: View that the gateway holds.
        """
        moved_version = known.find_move(desk)
        if self._opened.get(desk, 0) >= moved_version:
            return True
        if self.list_unsettled(desk, known):
            return False
        # Sidecars that join later hold at least this version from the start.
        self._opened[desk] = moved_version
        return True

    def list_unsettled(self, desk: str, known: view.View) -> list[messages.Member]:
        """Return the sidecars that a desk still waits for.

        Args:
            desk: Desk name; empty for none.
            known: View that the gateway holds.
        """
        entry = known.settings.desks.get(desk)
        if entry is None or not entry.moved_version:
            return []
        return [
            member
            for member in known.list_sidecars()
            if member.announcement is not None
            and member.announcement.group != entry.home
            and self._find_version(member) < entry.moved_version
        ]

    def inquire(
        self, wanted: Iterable[str], known: view.View, now_ms: int
    ) -> list[effects.Send]:
        """Ask the sidecars that desks wait for, unless they were asked just before.

        Args:
            wanted: Desks whose tasks wait.
            known: View that the gateway holds.
            now_ms: Monotonic time in ms.
        """
        if now_ms - self._asked_ms < INQUIRE_INTERVAL_MS:
            return []
        members = {
            member.process: member
            for desk in wanted
            if not self.is_open(desk, known)
            for member in self.list_unsettled(desk, known)
        }
        if members:
            self._asked_ms = now_ms
        return [
            effects.Send(member.address, messages.InquireSettled(member.incarnation))
            for member in members.values()
        ]

    def evict_absent(self, known: view.View) -> None:
        """Drop what is known of sidecars that are no longer members.

        Args:
            known: View that the gateway holds.
        """
        present = {(item.process, item.incarnation) for item in known.list_sidecars()}
        for name in list(self._settled):
            if name not in present:
                del self._settled[name]

    def _find_version(self, member: messages.Member) -> int:
        return self._settled.get((member.process, member.incarnation), 0)
