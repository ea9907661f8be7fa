"""One pass over the waiting jobs, which places what finds room.

Load pattern: a full queue whose tasks find no room, looked at again whenever an upstream
states a little more. What a pass learns of room serves all its tasks: a need that fits
nowhere is not tried again, and sidecars are sorted by their room once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthspar.scheduling import fleet, resources

if TYPE_CHECKING:
    from amaranthspar.scheduling import jobs, sidecars
    from amaranthspar.schema import runmessages


class Pass:
    """One pass.

    Attributes:
        reserved: Sidecars kept for jobs that found no room.

    Args:
        known: Sidecars of the gateway.
        now_ms: Current time in ms.
    """

    def __init__(self, gateway_fleet: fleet.Fleet, now_ms: int) -> None:
        self.reserved: set[str] = set()
        self._fleet = gateway_fleet
        self._now_ms = now_ms
        self._unmet: dict[str, list[runmessages.Resources]] = {}
        self._sorted: dict[str, list[sidecars.Sidecar]] = {}

    def choose(self, task: jobs.Task) -> sidecars.Sidecar | None:
        """Return the sidecar that should run a task, nothing if none has room.

        Args:
            task: Task that waits.
        """
        needs = task.definition.needs
        unmet = self._unmet.setdefault(task.job.request.queue.service, [])
        if any(resources.fits(known, needs) for known in unmet):
            return None
        found = self._fleet.list_fitting(task, self.reserved, self._now_ms)
        if not found:
            unmet.append(needs)
        return self._fleet.choose_among(found, task, self._now_ms)

    def reserve(self, task: jobs.Task) -> bool:
        """Keep the sidecar that will have room for a task first.

        One that is slow, fails or has failed the task is kept only if there is no other.

        Args:
            task: Task that finds no room.

        Returns:
            Whether there was one that is not kept yet.
        """
        able = sound = preferred = None
        for sidecar in self._list_by_room(task.job.request.queue.service):
            if sidecar.name in self.reserved or not fleet.may_run(task, sidecar):
                continue
            able = able or sidecar
            if sidecar.is_unhealthy(self._now_ms):
                continue
            sound = sound or sidecar
            if sidecar.name not in task.avoided:
                preferred = sidecar
                break
        kept = preferred or sound or able
        if kept is None:
            return False
        self.reserved.add(kept.name)
        return True

    def _list_by_room(self, service: str) -> list[sidecars.Sidecar]:
        """Return the open sidecars of a service, the one with most room first."""
        found = self._sorted.get(service)
        if found is None:
            opened = self._fleet.list_accepting(service, self._now_ms)
            found = sorted(opened, key=lambda item: -item.free.cpu_millis)
            self._sorted[service] = found
        return found
