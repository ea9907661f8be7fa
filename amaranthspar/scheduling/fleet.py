"""All sidecars of a gateway, and the choice of a sidecar for a task.

Many gateways place tasks on the same upstreams at once, so a gateway's information
about free capacity is some milliseconds old.
"""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

from amaranthspar.scheduling import expectedends, pool, resources, sidecars

if TYPE_CHECKING:
    import random

    from amaranthspar.scheduling import durations, jobs
    from amaranthspar.schema import viewmessages

LOAD_WEIGHT = 0.5
"""Weight of the used share relative to the slowness in a comparison of sidecars."""
SAMPLE_SIZE = 8
"""Number of sidecars with free capacity that are sampled and compared for a task;
beyond a few, each further choice shortens the longest queue by little."""
JITTER = 0.15
"""Random part of the score, so that gateways do not all choose the same sidecar."""
MEDIAN_WEIGHT = 0.1
"""Weight of the newest median of the steady slowness in its moving average; at an update
every 200 ms, the last two seconds count."""


class Fleet:
    """All sidecars of a gateway, in pools by service.

    Attributes:
        sidecars: Sidecars by process name.
        domains_out: Failure domains that are out of service.
        pools: Pools by service.
        is_uneven: Whether the members report different slowness.
        ends: Choice by expected end.

    Args:
        chance: Random number generator.
        task_durations: Estimates of task durations.
        failure_domain: Failure domain of the gateway; empty if it has none.
        spread_factor: Ratio of the duration of a task in another rack to that in the
            rack of its data, at least 1.
    """

    def __init__(
        self,
        chance: random.Random,
        task_durations: durations.Durations,
        failure_domain: str,
        spread_factor: float,
    ) -> None:
        self.sidecars: dict[str, sidecars.Sidecar] = {}
        self.domains_out: frozenset[str] = frozenset()
        self.pools: dict[str, pool.Pool] = {}
        self.is_uneven = False
        self.ends = expectedends.ExpectedEnds(chance, task_durations, spread_factor)
        self._spread_factor = spread_factor
        self._failure_domain = failure_domain
        self._chance = chance
        self._steady_median = 0.0

    @property
    def used_millis(self) -> int:
        """Processor need of all tasks placed on members, in thousandths of a core."""
        return sum(
            item.used_millis
            for service_pool in self.pools.values()
            for item in service_pool.members.values()
        )

    def find_pool(self, service: str) -> pool.Pool:
        """Return the pool of a service, which may be empty.

        Args:
            service: Name of the service.
        """
        service_pool = self.pools.get(service)
        if service_pool is None:
            service_pool = pool.Pool(service, self._failure_domain, self._chance)
            service_pool.set_domains_out(self.domains_out)
            self.pools[service] = service_pool
        return service_pool

    def add(self, peer: viewmessages.Peer) -> sidecars.Sidecar | None:
        """Add a sidecar that controllers list, and return it if it is new.

        Args:
            peer: Its entry in the list.
        """
        existing = self.sidecars.get(peer.process)
        if existing is not None:
            existing.address = peer.address
            return None
        sidecar = sidecars.Sidecar(peer.process, 0, peer.address, peer.service)
        sidecar.failure_domain = peer.failure_domain
        self.sidecars[peer.process] = sidecar
        self.find_pool(peer.service).add(sidecar)
        return sidecar

    def remove(self, name: str) -> None:
        """Remove a sidecar.

        Args:
            name: Its process name.
        """
        sidecar = self.sidecars.pop(name)
        self.find_pool(sidecar.service).remove(name)

    def set_domains_out(self, domains: frozenset[str]) -> None:
        """Set the failure domains that are out of service.

        Args:
            domains: Their names.
        """
        self.domains_out = domains
        for service_pool in self.pools.values():
            service_pool.set_domains_out(domains)

    def set_listed(self, names: frozenset[str]) -> None:
        """Set the sidecars that controllers list.

        Args:
            names: Their process names.
        """
        for service_pool in self.pools.values():
            service_pool.set_listed(names)

    def invalidate_accepting(self, sidecar: sidecars.Sidecar) -> None:
        """Discard the cached list of accepting members that a sidecar may belong to.

        Args:
            sidecar: Sidecar that may have started or stopped to accept runs.
        """
        self.find_pool(sidecar.service).invalidate_accepting()

    def list_members(self) -> list[sidecars.Sidecar]:
        """Return the members of all pools."""
        return [
            item
            for service_pool in self.pools.values()
            for item in service_pool.members.values()
        ]

    def list_accepting(self, service: str, now_ms: int) -> list[sidecars.Sidecar]:
        """Return the members of a service that accept new runs.

        Args:
            service: Name of the service.
            now_ms: Current time in ms.
        """
        return self.find_pool(service).list_accepting(now_ms)

    def update_median(self) -> None:
        """Update the median slowness, to which the slowness of members is compared."""
        members = self.list_members()
        ordered = sorted(item.slowness for item in members if item.room is not None)
        if not ordered:
            return
        median_slowness = ordered[len(ordered) // 2]
        for sidecar in members:
            sidecar.median_slowness = median_slowness
        self._update_steady_median(members)

    def _update_steady_median(self, members: list[sidecars.Sidecar]) -> None:
        """Update the median of the steady slowness, if members report different ones.

        It is smoothed: where half of the upstreams are slow it changes between the two
        speeds, and the expected durations, which refer to it, follow within some runs.
        """
        reported = {
            item.room.slowness_permille for item in members if item.room is not None
        }
        reported.discard(0)
        self.is_uneven = len(reported) > 1
        if self.is_uneven:
            known = [item.steady_permille for item in members]
            median = statistics.median_low([item for item in known if item])
            if not self._steady_median:
                self._steady_median = median
            self._steady_median += MEDIAN_WEIGHT * (median - self._steady_median)
        else:
            self._steady_median = 0.0
        for sidecar in members:
            sidecar.set_steady_median(self._steady_median)

    def choose(
        self, task: jobs.Task, reserved: set[str], now_ms: int
    ) -> sidecars.Sidecar | None:
        """Return the sidecar that should run a task; `None` if there is none.

        The sidecar with the shortest expected duration is chosen; load and a random
        part decide between equals. A task waits rather than being placed on a sidecar
        that is slow, is failing or has failed this task, unless there is no other.

        Args:
            task: Task that waits.
            reserved: Names of sidecars reserved for tasks that precede this one.
            now_ms: Current time in ms.
        """
        candidates = self.list_fitting(task, reserved, now_ms)
        return self.choose_among(candidates, task, now_ms, may_hold=False)

    def list_fitting(
        self, task: jobs.Task, reserved: set[str], now_ms: int
    ) -> list[sidecars.Sidecar]:
        """Return the accepting members with enough free capacity for a task.

        Args:
            task: Task that waits.
            reserved: Names of sidecars reserved for tasks that precede this one.
            now_ms: Current time in ms.
        """
        needs = task.definition.needs
        return [
            sidecar
            for sidecar in self.list_accepting(task.job.request.queue.service, now_ms)
            if sidecar.name not in reserved and resources.fits(needs, sidecar.free)
        ]

    def choose_among(
        self,
        candidates: list[sidecars.Sidecar],
        task: jobs.Task,
        now_ms: int,
        may_hold: bool = True,
    ) -> sidecars.Sidecar | None:
        """Return which of some sidecars should run a task; `None` if it should wait.

        Args:
            candidates: Sidecars with enough free capacity.
            task: Task that waits; `Task.is_held` tells whether it waits by choice.
            now_ms: Current time in ms.
            may_hold: Whether it may wait for a better sidecar than these.
        """
        task.is_held = False
        if not candidates:
            return None
        if self.is_uneven or task.definition.data_rack:
            return self._choose_by_end(candidates, task, now_ms, may_hold)
        sampled = self._sample(task, candidates)
        best = self._choose_best(self._list_preferred(task, sampled, now_ms), task)
        if best is not None:
            return best
        names = {item.name for item in candidates}
        preferred = self.list_candidates(task, now_ms)
        return self._choose_best(
            [item for item in preferred if item.name in names], task
        )

    def _choose_by_end(
        self,
        candidates: list[sidecars.Sidecar],
        task: jobs.Task,
        now_ms: int,
        may_hold: bool,
    ) -> sidecars.Sidecar | None:
        """Return where a task is expected to end in time or soonest."""
        usable = self._list_preferred(task, candidates, now_ms)
        if not usable:
            names = {item.name for item in candidates}
            preferred = self.list_candidates(task, now_ms)
            usable = [item for item in preferred if item.name in names]
        if not usable:
            return None

        def list_candidates() -> list[sidecars.Sidecar]:
            return self.list_candidates(task, now_ms) if may_hold else []

        choice = self.ends.choose(task, usable, list_candidates, now_ms)
        task.is_held = choice.is_held
        return choice.sidecar

    def _sample(
        self, task: jobs.Task, candidates: list[sidecars.Sidecar]
    ) -> list[sidecars.Sidecar]:
        """Return a random sample of sidecars, from the rack of the data if possible.

        The best of a few healthy sidecars is nearly as good as the best of all.
        """
        rack = task.definition.data_rack
        if rack:
            candidates = [
                item for item in candidates if item.has_label(rack)
            ] or candidates
        if len(candidates) <= SAMPLE_SIZE:
            return candidates
        return self._chance.sample(candidates, SAMPLE_SIZE)

    def _choose_best(
        self, candidates: list[sidecars.Sidecar], task: jobs.Task
    ) -> sidecars.Sidecar | None:
        return min(candidates, key=lambda item: self._score(task, item), default=None)

    @staticmethod
    def _list_preferred(
        task: jobs.Task, candidates: list[sidecars.Sidecar], now_ms: int
    ) -> list[sidecars.Sidecar]:
        """Return the healthy sidecars that may run a task and are not avoided by it."""
        return [
            sidecar
            for sidecar in candidates
            if sidecar.name not in task.avoided
            and not sidecar.is_unhealthy(now_ms)
            and may_run(task, sidecar)
        ]

    def list_candidates(self, task: jobs.Task, now_ms: int) -> list[sidecars.Sidecar]:
        """Return the sidecars that a task should wait for.

        These are the healthy ones that it does not avoid; if there are none, the
        healthy ones; if there are none either, all that may run it.

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
        healthy = [item for item in able if not item.is_unhealthy(now_ms)]
        preferred = [item for item in healthy if item.name not in task.avoided]
        return preferred or healthy or able

    def _score(self, task: jobs.Task, sidecar: sidecars.Sidecar) -> float:
        assert sidecar.room is not None
        duration = max(sidecar.relative_slowness, sidecars.MIN_SLOWNESS)
        rack = task.definition.data_rack
        if rack and rack not in sidecar.room.labels:
            duration *= self._spread_factor
        load = LOAD_WEIGHT * sidecar.used_share
        wanted = self.ends.weigh_wanted(task, sidecar)
        return duration + load + wanted + JITTER * self._chance.random()


def may_run(task: jobs.Task, sidecar: sidecars.Sidecar) -> bool:
    """Return whether a sidecar may run a task, regardless of its free capacity.

    Args:
        task: Task that waits.
        sidecar: Sidecar to check; one that has not reported may not.
    """
    step = task.definition
    room = sidecar.room
    if room is None or not resources.fits(step.needs, room.capacity):
        return False
    if step.label and step.label not in room.labels:
        return False
    if not step.max_per_upstream:
        return True
    running = sum(
        other.job is task.job and other.step == task.step
        for other in sidecar.tasks.values()
    )
    return running < step.max_per_upstream
