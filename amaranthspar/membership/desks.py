"""Moves of desks between homes, and the barrier that guards them.

The configuration names one home for each desk, and the version at which the home last
changed. After a change, no task of the desk starts at the new home until each sidecar
of the other homes either holds that version and runs no task of a desk that moved away,
or is no longer a member.
"""

from collections.abc import Iterable

import attrs

from amaranthspar import configuration, effects
from amaranthspar.membership import view
from amaranthspar.schema import entries, messages

INQUIRY_INTERVAL_MS = 100
SECTION_KIND = "desk"
MAIN_GROUP = "main"


def update_moved_versions(
    before: dict[str, messages.Section],
    after: dict[str, messages.Section],
    version: int,
) -> dict[str, messages.Section]:
    """Return the sections of a configuration with the version of each desk's last move.

    A desk that is removed from the configuration moves back to the main home. It keeps
    an entry there, so that the version of its move is not lost.

    Args:
        before: Sections of the previous version, by name.
        after: Sections of the new version, by name.
        version: New version.
    """
    old_desks, new_desks = _read_desks(before), _read_desks(after)
    result = {name: item for name, item in after.items() if name not in new_desks}
    for name in dict.fromkeys([*new_desks, *old_desks]):
        desk_name = name.partition(" ")[2]
        old_desk = old_desks.get(name, entries.Desk(desk_name))
        new_desk = new_desks.get(name, entries.Desk(desk_name))
        moved = old_desk.home != new_desk.home
        moved_version = version if moved else old_desk.moved_version
        if name in new_desks or moved_version:
            desk = attrs.evolve(new_desk, moved_version=moved_version)
            result[name] = configuration.format_section(SECTION_KIND, desk)
    return result


def _read_desks(sections: dict[str, messages.Section]) -> dict[str, entries.Desk]:
    chosen = [
        section
        for name, section in sections.items()
        if name.startswith(f"{SECTION_KIND} ")
    ]
    desks = configuration.build_configuration(chosen).desks
    return {f"{SECTION_KIND} {name}": desk for name, desk in desks.items()}


def find_settled_version(
    held_version: int,
    running: Iterable["RunningTask"],
    group: str,
    held_view: view.View,
) -> int:
    """Return the version up to which a sidecar has settled the moves of desks.

    It is the lowest of the version held now and the versions held at the start of each
    running task whose desk has its home in another group or has moved since that start.

    Args:
        held_version: Configuration version that the sidecar holds.
        running: Tasks that run on its upstream.
        group: Upstream group of the sidecar.
        held_view: View that the sidecar holds.
    """
    started = [
        task.started_version
        for task in running
        if task.desk
        and (
            held_view.find_home(task.desk) != group
            or held_view.find_move(task.desk) > task.started_version
        )
    ]
    return min([held_version, *started])


@attrs.frozen(slots=True)
class RunningTask:
    """A task that runs on an upstream.

    Attributes:
        gateway: Gateway that sent the task.
        desk: Desk name; empty for none.
        started_version: Configuration version that the sidecar held at the start.
    """

    gateway: str
    desk: str
    started_version: int


class MoveBarrier:
    """Blocks the tasks of a moved desk at a gateway until the move is settled."""

    def __init__(self) -> None:
        self._settled_versions: dict[tuple[str, int], int] = {}
        self._opened_versions: dict[str, int] = {}
        self._inquired_ms = 0

    def record_settled(self, process: str, incarnation: int, version: int) -> None:
        """Record the version up to which a sidecar has settled moves.

        Args:
            process: Process name of the sidecar.
            incarnation: Incarnation of the sidecar.
            version: Configuration version.
        """
        self._settled_versions[process, incarnation] = version

    def is_open(self, desk: str, held_view: view.View) -> bool:
        """Return whether tasks of a desk may start at its home.

        Args:
            desk: Desk name; empty for none.
            held_view: View that the gateway holds.
        """
        if not self.is_settled(desk, held_view):
            return False
        moved_version = held_view.find_move(desk)
        if self._opened_versions.get(desk, 0) < moved_version:
            # A sidecar that joins later holds at least this version from its start.
            self._opened_versions[desk] = moved_version
        return True

    def is_settled(self, desk: str, held_view: view.View) -> bool:
        """Return what `is_open` would return, without recording it.

        Args:
            desk: Desk name; empty for none.
            held_view: View that the gateway holds.
        """
        if self._opened_versions.get(desk, 0) >= held_view.find_move(desk):
            return True
        return not self.list_unsettled(desk, held_view)

    def list_unsettled(self, desk: str, held_view: view.View) -> list[messages.Member]:
        """Return the sidecars that have not settled the last move of a desk.

        Args:
            desk: Desk name; empty for none.
            held_view: View that the gateway holds.
        """
        entry = held_view.settings.desks.get(desk)
        if entry is None or not entry.moved_version:
            return []
        return [
            member
            for member in held_view.list_sidecars()
            if member.announcement is not None
            and member.announcement.group != entry.home
            and self._find_version(member) < entry.moved_version
        ]

    def inquire(
        self, waiting_desks: Iterable[str], held_view: view.View, now_ms: int
    ) -> list[effects.Send]:
        """Return inquiries to the sidecars that have not settled moves of some desks.

        There are none within the inquiry interval after the last inquiries.

        Args:
            waiting_desks: Desks whose tasks wait.
            held_view: View that the gateway holds.
            now_ms: Monotonic time in ms.
        """
        if now_ms - self._inquired_ms < INQUIRY_INTERVAL_MS:
            return []
        members = {
            member.process: member
            for desk in waiting_desks
            if not self.is_open(desk, held_view)
            for member in self.list_unsettled(desk, held_view)
        }
        if members:
            self._inquired_ms = now_ms
        return [
            effects.Send(member.address, messages.InquireSettled(member.incarnation))
            for member in members.values()
        ]

    def evict_absent(self, held_view: view.View) -> None:
        """Drop the settled versions of sidecars that are no longer members.

        Args:
            held_view: View that the gateway holds.
        """
        present = {
            (item.process, item.incarnation) for item in held_view.list_sidecars()
        }
        for name in list(self._settled_versions):
            if name not in present:
                del self._settled_versions[name]

    def _find_version(self, member: messages.Member) -> int:
        return self._settled_versions.get((member.process, member.incarnation), 0)
