"""Placement pass over the waiting jobs.

A full queue whose tasks fit nowhere is examined again whenever a sidecar reports a
little more free capacity. To keep this cheap, a pass reuses its results for all tasks:
needs that fit nowhere are not tried again, and sidecars are sorted by free cores once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthspar.scheduling import fleet, resources

if TYPE_CHECKING:
    from amaranthspar.scheduling import jobs, sidecars
    from amaranthspar.schema import runmessages


class Pass:
    """Chooses sidecars for tasks in one placement pass.

    Attributes:
        reserved: Names of sidecars reserved for jobs that fit nowhere yet.

    Args:
        gateway_fleet: Sidecars of the gateway.
        now_ms: Current time in ms.
    """

    def __init__(self, gateway_fleet: fleet.Fleet, now_ms: int) -> None:
        self.reserved: set[str] = set()
        self._fleet = gateway_fleet
        self._now_ms = now_ms
        self._unmet: dict[str, list[runmessages.Resources]] = {}
        self._sorted: dict[str, list[sidecars.Sidecar]] = {}

    def choose(self, task: jobs.Task) -> sidecars.Sidecar | None:
        """Return the sidecar that should run a task; `None` if there is none.

        Args:
            task: Task that waits.
        """
        needs = task.definition.needs
        unmet = self._unmet.setdefault(task.job.request.queue.service, [])
        if any(resources.fits(smaller, needs) for smaller in unmet):
            return None
        fitting = self._fleet.list_fitting(task, self.reserved, self._now_ms)
        if not fitting:
            unmet.append(needs)
        return self._fleet.choose_among(fitting, task, self._now_ms)

    def reserve(self, task: jobs.Task) -> bool:
        """Reserve the sidecar with the most free cores of those that may run a task.

        One that is slow, is failing or has failed the task is reserved only if there is
        no other.

        Args:
            task: Task that fits nowhere.

        Returns:
            Whether a sidecar was reserved.
        """
        able = healthy = preferred = None
        for sidecar in self._list_by_free_cores(task.job.request.queue.service):
            if sidecar.name in self.reserved or not fleet.may_run(task, sidecar):
                continue
            able = able or sidecar
            if sidecar.is_unhealthy(self._now_ms):
                continue
            healthy = healthy or sidecar
            if sidecar.name not in task.avoided:
                preferred = sidecar
                break
        chosen = preferred or healthy or able
        if chosen is None:
            return False
        self.reserved.add(chosen.name)
        return True

    def _list_by_free_cores(self, service: str) -> list[sidecars.Sidecar]:
        """Return the accepting members of a service, most free cores first."""
        ordered = self._sorted.get(service)
        if ordered is None:
            accepting = self._fleet.list_accepting(service, self._now_ms)
            ordered = sorted(accepting, key=lambda item: -item.free.cpu_millis)
            self._sorted[service] = ordered
        return ordered
