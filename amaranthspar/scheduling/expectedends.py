"""Choice of a sidecar by the time at which a task is expected to end there.

Load patterns: a quarter of the upstreams is steadily half as fast as the others, and a
task takes several times as long outside the rack of its data, which is full at times.
A task of which the free sidecars would make its job late may end sooner if it waits for
a better one, but only a few can wait for the same capacity.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from amaranthspar.scheduling import jobqueue, resources

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from amaranthspar.scheduling import durations, jobs, sidecars

NEAR_RATIO = 1.15
"""Ratio of expected durations up to which sidecars count as equally fast; above the
error of the measured slowness."""
TIME_WEIGHT = 1.0
"""Weight of the used part of the time that a job has left, in a comparison of sidecars
on which it meets its objective."""
LOAD_WEIGHT = 0.5
"""Weight of the used share of a sidecar in the same comparison."""
JITTER = 0.15
"""Random part of the score, so that gateways do not all choose the same sidecar."""
SAMPLE_SIZE = 8
"""Number of equally suitable sidecars that are sampled and compared."""
MIN_FAST_CHOICES = 2
"""Number of the fastest sidecars with free capacity from which slower ones are not used;
with one alone, gateways would all choose the same."""
MIN_GAIN_MS = 20
"""Time by which a task that waits must be expected to end sooner: a report of free
capacity and a start take some milliseconds each."""
WANTED_MS = 1_000
"""Time for which a rack counts as wanted after a task waited for it or ran elsewhere."""
WANTED_WEIGHT = 1.0
"""Part of the score of a sidecar in a wanted rack, for tasks without data there; as much
as the duration of a task."""
MIN_RATE_SHARE = 0.7
"""Lower bound of the released cores that this gateway gets, as a share of its equal part
among the gateways."""


@attrs.frozen(slots=True)
class Estimate:
    """What is expected of a task wherever it runs.

    Attributes:
        expected_ms: Expected duration in ms on an upstream of ordinary speed in the rack
            of its data.
        max_ratio: Multiple of that duration with which its job meets its objective.
    """

    expected_ms: int
    max_ratio: float


@attrs.frozen(slots=True)
class Choice:
    """Sidecar for a task, or the decision to wait.

    Attributes:
        sidecar: Chosen sidecar; `None` if the task should wait.
        is_held: Whether it waits although a sidecar has enough free capacity.
    """

    sidecar: sidecars.Sidecar | None
    is_held: bool = False


@attrs.frozen(slots=True)
class Hold:
    """Figures behind the decision that a task waits.

    Attributes:
        wait_ms: Time until it is expected to start in ms.
        saved_ms: Time by which it then ends sooner, counted from its start, in ms.
    """

    wait_ms: int
    saved_ms: int


@attrs.define(slots=True)
class _Group:
    """Sidecars that tasks wait for in one placement pass.

    Attributes:
        release_rate: Cores that this gateway is expected to get there per ms.
        waiting_cores: Cores that the tasks need which wait for them.
    """

    release_rate: float
    waiting_cores: float = 0.0


@attrs.frozen(slots=True)
class _Offer:
    """Best that free and that all sidecars offer to tasks of one kind in a pass.

    Attributes:
        free_ratio: Lowest ratio of expected to ordinary duration with free capacity.
        best_ratio: Lowest such ratio on any sidecar.
    """

    free_ratio: float
    best_ratio: float


class ExpectedEnds:
    """Chooses sidecars by expected end, and keeps what waits in a placement pass.

    Attributes:
        gateway_count: Number of gateways that share the sidecars, at least 1.
        last_hold: Figures behind the last decision that a task waits.

    Args:
        chance: Random number generator.
        task_durations: Estimates of task durations.
        spread_factor: Ratio of the duration of a task in another rack to that in the
            rack of its data.
    """

    def __init__(
        self,
        chance: random.Random,
        task_durations: durations.Durations,
        spread_factor: float,
    ) -> None:
        self.gateway_count = 1
        self.last_hold = Hold(0, 0)
        self._chance = chance
        self._durations = task_durations
        self._spread_factor = spread_factor
        self._pass: object = None
        self._groups: dict[tuple[str, str], _Group] = {}
        self._offers: dict[tuple[object, ...], _Offer] = {}
        self._wanted_ms: dict[str, int] = {}

    def begin_pass(self, current: object, gateway_count: int, now_ms: int) -> None:
        """Forget what waited in the pass before, unless the pass is the same.

        Args:
            current: Placement pass.
            gateway_count: Number of gateways that share the sidecars.
            now_ms: Current time in ms.
        """
        if current is self._pass:
            return
        self._pass = current
        self.gateway_count = gateway_count
        self._groups.clear()
        self._offers.clear()
        if self._wanted_ms:
            oldest_ms = now_ms - WANTED_MS
            for rack in [
                k for k, at_ms in self._wanted_ms.items() if at_ms < oldest_ms
            ]:
                del self._wanted_ms[rack]

    def find_ratio(self, task: jobs.Task, sidecar: sidecars.Sidecar) -> float:
        """Return the expected duration of a task on a sidecar over the ordinary one.

        Args:
            task: Task that waits or runs.
            sidecar: Sidecar for which the duration is expected.
        """
        return sidecar.expected_ratio * self.find_spread(task, sidecar)

    def find_spread(self, task: jobs.Task, sidecar: sidecars.Sidecar) -> float:
        """Return how many times as long a task takes for the way to its data.

        Args:
            task: Task that waits or runs.
            sidecar: Sidecar of its run.
        """
        rack = task.definition.data_rack
        return self._spread_factor if rack and not sidecar.has_label(rack) else 1.0

    def weigh_wanted(self, task: jobs.Task, sidecar: sidecars.Sidecar) -> float:
        """Return the part of a score that keeps a rack free for tasks with data there.

        Args:
            task: Task that waits.
            sidecar: Sidecar with enough free capacity.
        """
        if not self._wanted_ms:
            return 0.0
        rack = task.definition.data_rack
        is_wanted = any(
            item != rack and sidecar.has_label(item) for item in self._wanted_ms
        )
        return WANTED_WEIGHT if is_wanted else 0.0

    def estimate(self, task: jobs.Task, now_ms: int) -> Estimate:
        """Return what is expected of a task.

        Args:
            task: Task that waits.
            now_ms: Current time in ms.
        """
        job = task.job
        queue = job.request.queue.name
        steps = job.request.steps
        expected_ms = self._durations.predict_ms(
            queue, task.step, steps[task.step].estimate_ms
        )
        spare_ms = job.start_by_ms + jobqueue.ON_TIME_MARGIN_MS - now_ms
        if task.step:
            spare_ms += self._find_begin_ms(task)
        return Estimate(expected_ms, 1 + max(spare_ms, 0) / expected_ms)

    def _find_begin_ms(self, task: jobs.Task) -> int:
        """Return the time from the start of a job to that of a later step in ms."""
        queue = task.job.request.queue.name
        ends_ms: list[int] = []
        for number, step in enumerate(task.job.request.steps[: task.step + 1]):
            begin_ms = max((ends_ms[earlier] for earlier in step.after), default=0)
            expected_ms = self._durations.predict_ms(queue, number, step.estimate_ms)
            ends_ms.append(begin_ms + expected_ms)
        return begin_ms

    def should_hold(self, task: jobs.Task, now_ms: int) -> bool:
        """Return whether a task waits like others of its kind in this pass.

        Free capacity only decreases in a pass, so the sidecars are not compared again.

        Args:
            task: Task that waits.
            now_ms: Current time in ms.
        """
        if not self._offers or task.avoided:
            return False
        offer = self._offers.get(_build_kind(task))
        if offer is None:
            return False
        group = self._groups[_build_group_key(task)]
        estimate = self.estimate(task, now_ms)
        if not self._is_late_or_away(task, offer, estimate):
            return False
        return self._hold(task, group, offer, estimate, now_ms)

    def choose(
        self,
        task: jobs.Task,
        usable: list[sidecars.Sidecar],
        list_candidates: Callable[[], list[sidecars.Sidecar]],
        now_ms: int,
    ) -> Choice:
        """Choose one of the sidecars with free capacity, or to wait for a better one.

        Args:
            task: Task that waits.
            usable: Sidecars with enough free capacity that may run it; at least one.
            list_candidates: Returns all sidecars that it may wait for.
            now_ms: Current time in ms.
        """
        estimate = self.estimate(task, now_ms)
        ratios = {item.name: self.find_ratio(task, item) for item in usable}
        free_ratio = min(ratios.values())
        rack = task.definition.data_rack
        if rack and not any(item.has_label(rack) for item in usable):
            self._wanted_ms[rack] = now_ms
        if self._needs_comparison(task, usable, free_ratio, estimate):
            better = [(self.find_ratio(task, item), item) for item in list_candidates()]
            better = [pair for pair in better if pair[0] * NEAR_RATIO < free_ratio]
            if better and self._should_wait(task, free_ratio, better, estimate, now_ms):
                return Choice(None, True)
        return Choice(self._choose_best(task, usable, ratios, estimate))

    def _needs_comparison(
        self,
        task: jobs.Task,
        usable: list[sidecars.Sidecar],
        free_ratio: float,
        estimate: Estimate,
    ) -> bool:
        """Return whether a task might do better to wait than to start now.

        Slower hardware on which the job is on time is used, as it would stand idle
        otherwise. Another rack takes more of the capacity that all jobs share.
        """
        if free_ratio > estimate.max_ratio:
            return True
        rack = task.definition.data_rack
        return bool(rack) and not any(item.has_label(rack) for item in usable)

    @staticmethod
    def _is_late_or_away(task: jobs.Task, offer: _Offer, estimate: Estimate) -> bool:
        return bool(task.definition.data_rack) or offer.free_ratio > estimate.max_ratio

    def _should_wait(
        self,
        task: jobs.Task,
        free_ratio: float,
        better: list[tuple[float, sidecars.Sidecar]],
        estimate: Estimate,
        now_ms: int,
    ) -> bool:
        """Return whether a task is expected to end sooner on a better sidecar."""
        best_ratio = min(ratio for ratio, _ in better)
        key = _build_group_key(task)
        group = self._groups.get(key)
        if group is None:
            members = [item for _, item in better]
            typical_ms = estimate.expected_ms * best_ratio
            group = _Group(self._find_release_rate(members, typical_ms))
            self._groups[key] = group
        offer = _Offer(free_ratio, best_ratio)
        if not self._hold(task, group, offer, estimate, now_ms):
            return False
        if not task.avoided and not task.definition.max_per_upstream:
            self._offers[_build_kind(task)] = offer
        return True

    def _hold(
        self,
        task: jobs.Task,
        group: _Group,
        offer: _Offer,
        estimate: Estimate,
        now_ms: int,
    ) -> bool:
        """Decide whether a task waits, and count it among those that wait if so.

        It waits at most for as long as the better sidecar saves, so that a wrong
        estimate at most doubles the loss.
        """
        saved_ms = estimate.expected_ms * (offer.free_ratio - offer.best_ratio)
        if task.held_ms >= 0 and now_ms - task.held_ms >= saved_ms:
            return False
        cores = task.definition.needs.cpu_millis / 1000
        if group.release_rate <= 0:
            return False
        wait_ms = (group.waiting_cores + cores) / group.release_rate
        if wait_ms + MIN_GAIN_MS >= saved_ms:
            return False
        group.waiting_cores += cores
        self.last_hold = Hold(round(wait_ms), round(saved_ms))
        return True

    def _find_release_rate(
        self, members: list[sidecars.Sidecar], typical_ms: float
    ) -> float:
        """Return the cores per ms that this gateway is expected to get on sidecars."""
        capacity = resources.total(
            item.room.capacity for item in members if item.room is not None
        )
        own = cores_ms = 0.0
        for item in members:
            for task in item.tasks.values():
                cores = task.definition.needs.cpu_millis / 1000
                step = task.definition
                expected_ms = self._durations.predict_ms(
                    task.job.request.queue.name, task.step, step.estimate_ms
                )
                own += cores
                cores_ms += cores * expected_ms * self.find_ratio(task, item)
        share = MIN_RATE_SHARE * capacity.cpu_millis / 1000 / self.gateway_count
        mean_ms = cores_ms / own if own else typical_ms
        return max(own, share) / max(mean_ms, 1.0)

    def _choose_best(
        self,
        task: jobs.Task,
        usable: list[sidecars.Sidecar],
        ratios: dict[str, float],
        estimate: Estimate,
    ) -> sidecars.Sidecar:
        """Return one on which the job is on time, else one on which the task ends soon."""
        suitable = [item for item in usable if ratios[item.name] <= estimate.max_ratio]
        rack = task.definition.data_rack
        if suitable and rack:
            suitable = [item for item in suitable if item.has_label(rack)] or suitable
        scale = TIME_WEIGHT / estimate.max_ratio
        candidates = suitable or usable
        limit = min(ratios[item.name] for item in candidates) * NEAR_RATIO
        fastest = [item for item in candidates if ratios[item.name] <= limit]
        if not suitable:
            suitable = fastest
            scale = 1.0
        elif len(fastest) >= MIN_FAST_CHOICES:
            # A task that is longer than expected is late on a slower one.
            suitable = fastest
        if len(suitable) > SAMPLE_SIZE:
            suitable = self._chance.sample(suitable, SAMPLE_SIZE)
        return min(
            suitable,
            key=lambda item: (
                scale * ratios[item.name]
                + LOAD_WEIGHT * item.used_share
                + self.weigh_wanted(task, item)
                + JITTER * self._chance.random()
            ),
        )


def _build_group_key(task: jobs.Task) -> tuple[str, str]:
    """Return the key of the sidecars that tasks wait for together."""
    return task.job.request.queue.service, task.definition.data_rack


def _build_kind(task: jobs.Task) -> tuple[object, ...]:
    """Return the key of the tasks that fit on the same sidecars."""
    step = task.definition
    needs = step.needs
    return (
        task.job.request.queue.service,
        step.data_rack,
        step.label,
        needs.cpu_millis,
        needs.memory_mb,
        needs.accelerators,
    )
