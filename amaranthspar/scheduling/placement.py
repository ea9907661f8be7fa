"""Placement pass over the waiting jobs.

A full queue whose tasks fit nowhere is examined again whenever a sidecar reports a
little more free capacity. To keep this cheap, a pass reuses its results for all tasks:
needs that fit nowhere are not tried again, sidecars are sorted by free cores once, and
by expected start once for equal needs.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from amaranthspar.scheduling import fleet, resources, timelines

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthspar.scheduling import jobs, sidecars
    from amaranthspar.schema import runmessages

MAX_RESERVED_SIDECARS = 8
"""Maximum number of sidecars reserved per pass for jobs at the head of the queue that
find no free capacity."""
BACKFILL_MARGIN = 1.4
"""Multiple of its expected duration within which a task must end before a reserved
start, as durations are off by up to 40%."""


@attrs.define(slots=True)
class Reservation:
    """Sidecar that is reserved for a task until the end of the pass.

    Attributes:
        job: Id of the job of the task.
        start_ms: Expected start of the task in ms; `None` if it is unknown.
        spare: Capacity that is expected to be free beside the task at its start.
    """

    job: str
    start_ms: int | None
    spare: runmessages.Resources


@attrs.frozen(slots=True)
class Unmet:
    """A need for which there is no capacity in this pass.

    Attributes:
        needs: Needs of a task.
        duration_ms: Its expected duration in ms.
    """

    needs: runmessages.Resources
    duration_ms: int


class Pass:
    """Chooses sidecars for tasks in one placement pass.

    Attributes:
        reserved: Reservations for jobs that fit nowhere yet, by name of the sidecar.

    Args:
        gateway_fleet: Sidecars of the gateway.
        now_ms: Current time in ms.
        expect_ms: Returns the expected duration of a task in ms, on an upstream of
            ordinary speed in the rack of its data.
    """

    def __init__(
        self,
        gateway_fleet: fleet.Fleet,
        now_ms: int,
        expect_ms: Callable[[jobs.Task], int],
    ) -> None:
        self.reserved: dict[str, Reservation] = {}
        self._fleet = gateway_fleet
        self._now_ms = now_ms
        self._expect_ms = expect_ms
        self._unmet: dict[tuple[str, str], list[Unmet]] = {}
        self._timelines: dict[str, timelines.Timeline] = {}
        self._most_free: dict[str, runmessages.Resources] = {}
        self._by_cores: dict[str, list[sidecars.Sidecar]] = {}
        self._by_start: dict[
            tuple[str, runmessages.Resources], list[sidecars.Sidecar]
        ] = {}

    def has_reserved_start(self, service: str) -> bool:
        """Return whether a task of a service holds a reservation with a known start.

        Such a start is kept when tasks behind it are placed, so that a pass need not
        end at the first task that finds neither capacity nor a reservation.

        Args:
            service: Name of the service.
        """
        return any(
            item.start_ms is not None and self._fleet.sidecars[name].service == service
            for name, item in self.reserved.items()
        )

    def choose(self, task: jobs.Task) -> sidecars.Sidecar | None:
        """Return the sidecar that should run a task; `None` if there is none.

        Args:
            task: Task that waits.
        """
        needs = task.definition.needs
        service = task.job.request.queue.service
        if self.reserved and not resources.fits(needs, self._find_most_free(service)):
            return None
        duration_ms = self._expect_ms(task)
        key = service, task.definition.data_rack
        unmet = self._unmet.setdefault(key, [])
        for item in unmet:
            if item.duration_ms <= duration_ms and resources.fits(item.needs, needs):
                return None
        fitting = self._list_fitting(task)
        if not fitting:
            unmet.append(Unmet(needs, duration_ms))
        chosen = self._fleet.choose_among(fitting, task, self._now_ms)
        if chosen is not None:
            self._account(task, chosen)
        return chosen

    def reserve(self, task: jobs.Task) -> bool:
        """Reserve the sidecar where a task is expected to start soonest.

        One that is slow, is failing or has failed the task is reserved only if there is
        no other. A sidecar without an expected start comes after those that have one;
        among several such, the one with the most free cores is reserved.

        Args:
            task: Task that fits nowhere.

        Returns:
            Whether a sidecar was reserved.
        """
        if len(self.reserved) >= MAX_RESERVED_SIDECARS:
            return False
        able = healthy = preferred = None
        for sidecar in self._list_by_start(task):
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
        needs, job = task.definition.needs, task.job.request.id
        start = self._find_start(chosen, needs)
        if start is None:
            reservation = Reservation(job, None, resources.NONE)
        else:
            spare = resources.subtract(start.free, needs)
            reservation = Reservation(job, start.from_ms, spare)
        self.reserved[chosen.name] = reservation
        return True

    def may_run(self, task: jobs.Task) -> bool:
        """Return whether any sidecar may run a task, regardless of free capacity.

        Args:
            task: Task that waits.
        """
        service = task.job.request.queue.service
        return any(
            fleet.may_run(task, sidecar)
            for sidecar in self._fleet.list_accepting(service, self._now_ms)
        )

    def _find_most_free(self, service: str) -> runmessages.Resources:
        """Return the most that any member of a service has free in each dimension.

        It is found once, as free capacity only falls in a pass.
        """
        most = self._most_free.get(service)
        if most is None:
            most = resources.NONE
            for sidecar in self._fleet.list_accepting(service, self._now_ms):
                most = resources.find_most(most, sidecar.free)
            self._most_free[service] = most
        return most

    def _list_fitting(self, task: jobs.Task) -> list[sidecars.Sidecar]:
        """Return the sidecars with free capacity that a task may use.

        A reserved one may be used if that does not delay the start it is reserved for.
        """
        fitting = self._fleet.list_fitting(task, set(), self._now_ms)
        if not self.reserved:
            return fitting
        return [item for item in fitting if self._may_use(task, item)]

    def _may_use(self, task: jobs.Task, sidecar: sidecars.Sidecar) -> bool:
        reservation = self.reserved.get(sidecar.name)
        if reservation is None:
            return True
        return self._ends_before(task, sidecar, reservation) or (
            reservation.start_ms is not None
            and resources.fits(task.definition.needs, reservation.spare)
        )

    def _ends_before(
        self, task: jobs.Task, sidecar: sidecars.Sidecar, reservation: Reservation
    ) -> bool:
        """Return whether a task is expected to end before a reserved start."""
        if reservation.start_ms is None:
            return False
        duration_ms = BACKFILL_MARGIN * self._expect_there_ms(task, sidecar)
        return self._now_ms + duration_ms <= reservation.start_ms

    def _account(self, task: jobs.Task, sidecar: sidecars.Sidecar) -> None:
        """Account for a task that is placed on a sidecar."""
        self._timelines.pop(sidecar.name, None)
        self._by_start.clear()
        reservation = self.reserved.get(sidecar.name)
        if reservation is None or self._ends_before(task, sidecar, reservation):
            return
        needs = task.definition.needs
        reservation.spare = resources.subtract(reservation.spare, needs)

    def _expect_there_ms(self, task: jobs.Task, sidecar: sidecars.Sidecar) -> float:
        """Return the expected duration in ms of a task on a sidecar."""
        spread_ratio = self._fleet.ends.find_spread(task, sidecar)
        return self._expect_ms(task) * sidecar.expected_ratio * spread_ratio

    def _find_start(
        self, sidecar: sidecars.Sidecar, needs: runmessages.Resources
    ) -> timelines.Step | None:
        """Return the step of a sidecar's timeline at which a task starts, if known.

        Without reported releases nothing is known of its future.
        """
        if sidecar.room is None or not sidecar.room.releases:
            return None
        timeline = self._timelines.get(sidecar.name)
        if timeline is None:
            timeline = timelines.build_timeline(
                sidecar, self._expect_there_ms, self._now_ms
            )
            self._timelines[sidecar.name] = timeline
        return timeline.find_start(needs)

    def _list_by_start(self, task: jobs.Task) -> list[sidecars.Sidecar]:
        """Return the accepting members of a service, soonest expected start first."""
        service = task.job.request.queue.service
        needs = task.definition.needs
        by_cores = self._list_by_free_cores(service)
        if not any(item.room is not None and item.room.releases for item in by_cores):
            return by_cores
        ordered = self._by_start.get((service, needs))
        if ordered is None:
            ordered = sorted(
                by_cores, key=lambda item: self._find_start_ms(item, needs)
            )
            self._by_start[service, needs] = ordered
        return ordered

    def _find_start_ms(
        self, sidecar: sidecars.Sidecar, needs: runmessages.Resources
    ) -> float:
        start = self._find_start(sidecar, needs)
        return math.inf if start is None else start.from_ms

    def _list_by_free_cores(self, service: str) -> list[sidecars.Sidecar]:
        """Return the accepting members of a service, most free cores first."""
        ordered = self._by_cores.get(service)
        if ordered is None:
            accepting = self._fleet.list_accepting(service, self._now_ms)
            ordered = sorted(accepting, key=lambda item: -item.free.cpu_millis)
            self._by_cores[service] = ordered
        return ordered
