"""All sidecars that a gateway knows, and which of them takes a task.

Load pattern: many gateways fill the same upstreams at once, so that what one knows of
room is some ms old.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthspar.scheduling import pool, resources, sidecars

if TYPE_CHECKING:
    import random

    from amaranthspar.scheduling import jobs
    from amaranthspar.schema import viewmessages

MIN_SLOWNESS = 0.5
"""Least slowness that counts in a comparison."""
LOAD_WEIGHT = 0.5
"""Weight of the used share against the slowness when sidecars are compared."""
SAMPLE_SIZE = 8
"""Sidecars with room that are compared for a task where there are more; beyond a few, each
further choice shortens the longest queue by little."""
JITTER = 0.15
"""Random part of the comparison, so that gateways do not choose alike."""
REMOTE_DATA_FACTOR = 1.5
"""Duration of a task away from its data against that beside it."""


class Fleet:
    """All sidecars that a gateway knows, in pools by service.

    Args:
        chance: Source of the random part of a choice.
        failure_domain: Failure domain of the gateway; empty if it has none.
    """

    def __init__(self, chance: random.Random, failure_domain: str = "") -> None:
        self.sidecars: dict[str, sidecars.Sidecar] = {}
        self.domains_out: frozenset[str] = frozenset()
        self.pools: dict[str, pool.Pool] = {}
        self._failure_domain = failure_domain
        self._chance = chance

    @property
    def used_millis(self) -> int:
        """Processor that all tasks placed by this gateway need."""
        return sum(
            item.used_millis
            for found in self.pools.values()
            for item in found.members.values()
        )

    def find_pool(self, service: str) -> pool.Pool:
        """Return the pool of a service, which may be empty.

        Args:
            service: Service.
        """
        found = self.pools.get(service)
        if found is None:
            found = pool.Pool(service, self._failure_domain, self._chance)
            found.set_domains_out(self.domains_out)
            self.pools[service] = found
        return found

    def add(self, peer: viewmessages.Peer) -> sidecars.Sidecar | None:
        """Take a sidecar that controllers list, and return it if it is new.

        Args:
            peer: Its entry in the list.
        """
        known = self.sidecars.get(peer.process)
        if known is not None:
            known.address = peer.address
            return None
        sidecar = sidecars.Sidecar(peer.process, 0, peer.address, peer.service)
        sidecar.failure_domain = peer.failure_domain
        self.sidecars[peer.process] = sidecar
        self.find_pool(peer.service).add(sidecar)
        return sidecar

    def remove(self, name: str) -> None:
        """Forget a sidecar.

        Args:
            name: Its process name.
        """
        sidecar = self.sidecars.pop(name)
        self.find_pool(sidecar.service).remove(name)

    def set_domains_out(self, domains: frozenset[str]) -> None:
        """Take which failure domains are out of service.

        Args:
            domains: Their names.
        """
        self.domains_out = domains
        for found in self.pools.values():
            found.set_domains_out(domains)

    def set_listed(self, names: frozenset[str]) -> None:
        """Take which sidecars controllers list.

        Args:
            names: Their process names.
        """
        for found in self.pools.values():
            found.set_listed(names)

    def invalidate_accepting(self, sidecar: sidecars.Sidecar) -> None:
        """Take that a sidecar may have begun or ceased to take runs.

        Args:
            sidecar: The sidecar.
        """
        self.find_pool(sidecar.service).invalidate_accepting()

    def list_members(self) -> list[sidecars.Sidecar]:
        """Return the sidecars that the gateway works with."""
        return [
            item for found in self.pools.values() for item in found.members.values()
        ]

    def list_accepting(self, service: str, now_ms: int) -> list[sidecars.Sidecar]:
        """Return the members of a service that take new runs.

        Args:
            service: Service.
            now_ms: Current time in ms.
        """
        return self.find_pool(service).list_accepting(now_ms)

    def update_median(self) -> None:
        """Find the slowness of the middle member, by which the others are judged."""
        members = self.list_members()
        known = sorted(item.slowness for item in members if item.room is not None)
        if not known:
            return
        median_slowness = known[len(known) // 2]
        for sidecar in members:
            sidecar.median_slowness = median_slowness

    def choose(
        self, task: jobs.Task, reserved: set[str], now_ms: int
    ) -> sidecars.Sidecar | None:
        """Return the sidecar that should run a task, nothing if none has room.

        A task goes where it is expected to end first; equals are told apart by load
        and chance. It waits rather than go to a sidecar that is slow, fails or has
        failed it, unless there is no other.

        Args:
            task: Task that waits.
            reserved: Sidecars kept for tasks that are before this one.
            now_ms: Current time in ms.
        """
        found = self.list_fitting(task, reserved, now_ms)
        return self.choose_among(found, task, now_ms)

    def list_fitting(
        self, task: jobs.Task, reserved: set[str], now_ms: int
    ) -> list[sidecars.Sidecar]:
        """Return the open sidecars with room for a task.

        Args:
            task: Task that waits.
            reserved: Sidecars kept for tasks that are before this one.
            now_ms: Current time in ms.
        """
        needs = task.definition.needs
        return [
            sidecar
            for sidecar in self.list_accepting(task.job.request.queue.service, now_ms)
            if sidecar.name not in reserved and resources.fits(needs, sidecar.free)
        ]

    def choose_among(
        self, found: list[sidecars.Sidecar], task: jobs.Task, now_ms: int
    ) -> sidecars.Sidecar | None:
        """Return the sidecar that should run a task of those that have room for it.

        Args:
            found: Sidecars with room.
            task: Task that waits.
            now_ms: Current time in ms.
        """
        if not found:
            return None
        drawn = self._sample(task, found)
        best = self._choose_best(self._list_preferred(task, drawn, now_ms), task)
        if best is not None:
            return best
        names = {item.name for item in found}
        preferred = self.list_candidates(task, now_ms)
        return self._choose_best(
            [item for item in preferred if item.name in names], task
        )

    def _sample(
        self, task: jobs.Task, found: list[sidecars.Sidecar]
    ) -> list[sidecars.Sidecar]:
        """Return the sidecars to compare: those beside the task's data, or some by lot.

        Any of some sound ones is nearly as good as the best of all.
        """
        rack = task.definition.data_rack
        if rack:
            found = [item for item in found if item.has_label(rack)] or found
        if len(found) <= SAMPLE_SIZE:
            return found
        return self._chance.sample(found, SAMPLE_SIZE)

    def _choose_best(
        self, found: list[sidecars.Sidecar], task: jobs.Task
    ) -> sidecars.Sidecar | None:
        return min(found, key=lambda item: self._score(task, item), default=None)

    @staticmethod
    def _list_preferred(
        task: jobs.Task, found: list[sidecars.Sidecar], now_ms: int
    ) -> list[sidecars.Sidecar]:
        """Return those of some sidecars that are sound and have not failed the task."""
        return [
            sidecar
            for sidecar in found
            if sidecar.name not in task.avoided
            and not sidecar.is_unhealthy(now_ms)
            and may_run(task, sidecar)
        ]

    def list_candidates(self, task: jobs.Task, now_ms: int) -> list[sidecars.Sidecar]:
        """Return the sidecars that a task should wait for.

        Args:
            task: Task that waits.
            now_ms: Current time in ms.
        """
        service = task.job.request.queue.service
        able = [
            sidecar
            for sidecar in self.list_accepting(service, now_ms)
            if may_run(task, sidecar)
        ]
        sound = [item for item in able if not item.is_unhealthy(now_ms)]
        preferred = [item for item in sound if item.name not in task.avoided]
        return preferred or sound or able

    def _score(self, task: jobs.Task, sidecar: sidecars.Sidecar) -> float:
        assert sidecar.room is not None
        duration = max(sidecar.relative_slowness, MIN_SLOWNESS)
        rack = task.definition.data_rack
        if rack and rack not in sidecar.room.labels:
            duration *= REMOTE_DATA_FACTOR
        load = LOAD_WEIGHT * sidecar.used_share
        return duration + load + JITTER * self._chance.random()


def may_run(task: jobs.Task, sidecar: sidecars.Sidecar) -> bool:
    """Return whether a sidecar may run a task, whatever room it has now.

    Args:
        task: Task that waits.
        sidecar: Sidecar with a statement of room.
    """
    step = task.definition
    room = sidecar.room
    if room is None or not resources.fits(step.needs, room.capacity):
        return False
    if step.label and step.label not in room.labels:
        return False
    if not step.max_per_upstream:
        return True
    beside = sum(
        other.job is task.job and other.step == task.step
        for other in sidecar.tasks.values()
    )
    return beside < step.max_per_upstream
