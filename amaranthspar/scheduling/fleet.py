"""Sidecars as a gateway knows them, and which of them takes a task.

Load patterns: many gateways fill the same upstreams at once, so that what one knows of
room is some ms old; some upstreams are slow, hang or fail all that they start.
"""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

import attrs

from amaranthspar.scheduling import resources
from amaranthspar.schema import messages

if TYPE_CHECKING:
    import random

    from amaranthspar.scheduling import jobs

SILENCE_MS = 500
"""Silence after which a sidecar gets no new runs; two of its replies are missing."""
RUNS_END_MS = 2_200
"""Time after a sidecar was last heard until its runs have ended: the sidecar's limit for a
gateway that has not heard it (800 ms), the longest lease on an upstream (1 s), drift."""
SPEED_WEIGHT = 0.25
"""Weight of the newest run in a sidecar's slowness; about the last seven runs count."""
SAMPLE_WEIGHT = 0.2
"""Weight of one look at the runs that have not ended."""
SAMPLED_RUNS = 3
"""Runs from which their middle one tells more of the upstream than of the tasks."""
MAX_SLOWNESS = 20.0
"""Highest ratio of measured to expected duration that is kept."""
SLOW_RATIO = 1.7
"""Slowness from which a sidecar comes after all others; above ordinary hardware."""
SOUND_RATIO = 1.4
"""Slowness up to which a sidecar's runs tell how long tasks take."""
SLOW_RETRY_MS = 1_500
"""Time after which a slow sidecar is tried with a task again."""
FAILURE_WEIGHT = 0.3
"""Weight of the newest run in a sidecar's share of failures."""
FAILURE_SHARE = 0.5
"""Share of failures from which a sidecar is tried only now and then."""
FAILURE_RETRY_MS = 1_000
"""Time after which a failing sidecar is tried with a task again."""
FASTEST = 0.5
"""Least slowness that counts in a comparison."""
USED_WEIGHT = 0.5
"""Weight of the used share against the slowness when sidecars are compared."""
CHOICES = 8
"""Sidecars with room that are compared for a task where there are more; beyond a few, each
further choice shortens the longest queue by little."""
JITTER = 0.15
"""Random part of the comparison, so that gateways do not choose alike."""
SPREAD_FACTOR = 1.5
"""Duration of a task away from its data against that beside it."""


@attrs.define(slots=True, eq=False)
class Sidecar:
    """One sidecar.

    Attributes:
        name: Process name.
        incarnation: Incarnation of the process; 0 until it is heard.
        address: Address at which it listens.
        service: Service of its upstream.
        room: Its last statement; nothing before the first.
        heard_ms: Time of its last message in ms; -1 before the first.
        number: Number of the last renewal.
        started: Number of the last message with orders.
        unseen: Needs of the orders that its statement of room does not cover.
        slowness: Ratio of measured to expected duration.
        norm: Slowness of the middle one of all sidecars.
        slow_ms: Time at which it last got a task while slow in ms.
        failures: Share of runs that failed lately.
        failed_ms: Time of the last failure, or try after one, in ms.
        tasks: Tasks placed here.
        ratios: Projected over expected duration of runs under way, by task.
        free: Room less what was sent since it was stated.
    """

    name: str
    incarnation: int
    address: str
    service: str
    room: messages.Room | None = None
    heard_ms: int = -1
    number: int = 0
    started: int = 0
    unseen: dict[int, messages.Resources] = attrs.field(factory=dict)
    slowness: float = 1.0
    norm: float = 1.0
    slow_ms: int = -SLOW_RETRY_MS
    failures: float = 0.0
    failed_ms: int = -FAILURE_RETRY_MS
    tasks: dict[str, jobs.Task] = attrs.field(factory=dict)
    ratios: dict[str, float] = attrs.field(factory=dict)
    free: messages.Resources = resources.NONE

    @property
    def heard_number(self) -> int:
        """Number of its newest statement; 0 before the first."""
        return 0 if self.room is None else self.room.number

    def take_room(self, room: messages.Room | None) -> None:
        """Take a newer statement of room, or none after a restart.

        Args:
            room: The statement.
        """
        self.room = room
        if room is None:
            self.unseen.clear()
            self.free = resources.NONE
            return
        for number in [item for item in self.unseen if item <= room.started]:
            del self.unseen[number]
        self.free = resources.subtract(room.free, resources.total(self.unseen.values()))

    def take_task(self, task: jobs.Task) -> None:
        """Take a task that the next message with orders will start.

        Args:
            task: Task that is placed here.
        """
        self.tasks[task.name] = task
        needs = task.definition.needs
        number = self.started + 1
        known = self.unseen.get(number)
        self.unseen[number] = needs if known is None else resources.add(known, needs)
        self.free = resources.subtract(self.free, needs)

    def takes_runs(self, now_ms: int) -> bool:
        """Return whether new runs may be sent there at all.

        Args:
            now_ms: Current time in ms.
        """
        room = self.room
        return (
            room is not None
            and bool(room.upstream)
            and not room.is_leaving
            and now_ms - self.heard_ms <= SILENCE_MS
        )

    @property
    def relative_slowness(self) -> float:
        """Slowness against that of the middle one of all sidecars."""
        return self.slowness / self.norm

    def is_suspect(self, now_ms: int) -> bool:
        """Return whether it is slow or failing and not due for another try.

        Args:
            now_ms: Current time in ms.
        """
        fails = self.failures >= FAILURE_SHARE
        if fails and now_ms - self.failed_ms < FAILURE_RETRY_MS:
            return True
        is_slow = self.relative_slowness >= SLOW_RATIO
        return is_slow and now_ms - self.slow_ms < SLOW_RETRY_MS

    def note_end(self, has_failed: bool, now_ms: int) -> None:
        """Take whether a run failed.

        Args:
            has_failed: Whether it ended as failed.
            now_ms: Current time in ms.
        """
        self.failures += FAILURE_WEIGHT * (float(has_failed) - self.failures)
        if has_failed:
            self.failed_ms = now_ms

    def note_progress(self, task: str, ratio: float, now_ms: int) -> None:
        """Take how far a run is; a few runs together tell how slow the upstream is.

        Args:
            task: Name of the task.
            ratio: Projected over expected duration.
            now_ms: Current time in ms.
        """
        self.ratios[task] = min(ratio, MAX_SLOWNESS)
        if len(self.ratios) < SAMPLED_RUNS:
            return
        middle = statistics.median(self.ratios.values())
        self.slowness += SAMPLE_WEIGHT * (middle - self.slowness)
        if self.relative_slowness >= SLOW_RATIO:
            self.slow_ms = now_ms

    def forget(self, task: str) -> None:
        """Forget a task whose run is over.

        Args:
            task: Name of the task.
        """
        self.tasks.pop(task, None)
        self.ratios.pop(task, None)

    def note_speed(self, ratio: float, now_ms: int) -> None:
        """Take how long a run took against what was expected.

        Args:
            ratio: Measured over expected duration.
            now_ms: Current time in ms.
        """
        ratio = min(ratio, MAX_SLOWNESS)
        self.slowness += SPEED_WEIGHT * (ratio - self.slowness)
        if self.relative_slowness >= SLOW_RATIO:
            self.slow_ms = now_ms

    def note_stall(self, now_ms: int) -> None:
        """Take that a run makes no progress, which needs no further evidence.

        Args:
            now_ms: Current time in ms.
        """
        self.slowness = MAX_SLOWNESS
        self.slow_ms = now_ms


class Fleet:
    """All sidecars that a gateway knows.

    Args:
        chance: Source of the random part of a choice.
    """

    def __init__(self, chance: random.Random) -> None:
        self.sidecars: dict[str, Sidecar] = {}
        self.domains_out: frozenset[str] = frozenset()
        self._chance = chance

    def list_open(self, service: str, now_ms: int) -> list[Sidecar]:
        """Return the sidecars of a service that take new runs.

        Args:
            service: Service.
            now_ms: Current time in ms.
        """
        return [
            sidecar
            for sidecar in self.sidecars.values()
            if sidecar.room is not None
            and sidecar.room.service == service
            and sidecar.room.failure_domain not in self.domains_out
            and sidecar.takes_runs(now_ms)
        ]

    def update_norm(self) -> None:
        """Find the slowness of the middle sidecar, by which the others are judged."""
        known = sorted(
            item.slowness for item in self.sidecars.values() if item.room is not None
        )
        if not known:
            return
        norm = known[len(known) // 2]
        for sidecar in self.sidecars.values():
            sidecar.norm = norm

    def find_capacity(self, service: str, now_ms: int) -> messages.Resources:
        """Return what all open upstreams of a service offer together.

        Args:
            service: Service.
            now_ms: Current time in ms.
        """
        return resources.total(
            sidecar.room.capacity
            for sidecar in self.list_open(service, now_ms)
            if sidecar.room is not None
        )

    def choose(
        self, task: jobs.Task, reserved: set[str], now_ms: int
    ) -> Sidecar | None:
        """Return the sidecar that should run a task, nothing if none has room.

        A task goes where it is expected to end first; equals are told apart by load
        and chance. It waits rather than go to a sidecar that is slow, fails or has
        failed it, unless there is no other.

        Args:
            task: Task that waits.
            reserved: Sidecars kept for tasks that are before this one.
            now_ms: Current time in ms.
        """
        needs = task.definition.needs
        found = [
            sidecar
            for sidecar in self.list_open(task.job.request.queue.service, now_ms)
            if resources.fits(needs, sidecar.free) and sidecar.name not in reserved
        ]
        if not found:
            return None
        if len(found) > CHOICES:
            # Any of some sound ones drawn by lot is nearly as good as the best of all.
            drawn = self._chance.sample(found, CHOICES)
            best = self._choose_best(self._list_preferred(task, drawn, now_ms), task)
            if best is not None:
                return best
        preferred = self.list_candidates(task, now_ms)
        return self._choose_best([item for item in preferred if item in found], task)

    def _choose_best(self, found: list[Sidecar], task: jobs.Task) -> Sidecar | None:
        return min(found, key=lambda item: self._rate(task, item), default=None)

    @staticmethod
    def _list_preferred(
        task: jobs.Task, found: list[Sidecar], now_ms: int
    ) -> list[Sidecar]:
        """Return those of some sidecars that are sound and have not failed the task."""
        return [
            sidecar
            for sidecar in found
            if sidecar.name not in task.avoided
            and not sidecar.is_suspect(now_ms)
            and may_run(task, sidecar)
        ]

    def list_candidates(self, task: jobs.Task, now_ms: int) -> list[Sidecar]:
        """Return the sidecars that a task should wait for.

        Args:
            task: Task that waits.
            now_ms: Current time in ms.
        """
        service = task.job.request.queue.service
        able = [
            sidecar
            for sidecar in self.list_open(service, now_ms)
            if may_run(task, sidecar)
        ]
        sound = [item for item in able if not item.is_suspect(now_ms)]
        preferred = [item for item in sound if item.name not in task.avoided]
        return preferred or sound or able

    def find_roomiest(
        self, task: jobs.Task, reserved: set[str], now_ms: int
    ) -> Sidecar | None:
        """Return the sidecar that will have room for a task first.

        Args:
            task: Task that finds no room.
            reserved: Sidecars kept for other tasks.
            now_ms: Current time in ms.
        """
        found = [
            sidecar
            for sidecar in self.list_candidates(task, now_ms)
            if sidecar.name not in reserved
        ]
        return max(found, key=lambda item: item.free.cpu_millis, default=None)

    def _rate(self, task: jobs.Task, sidecar: Sidecar) -> float:
        assert sidecar.room is not None
        duration = max(sidecar.relative_slowness, FASTEST)
        rack = task.definition.data_rack
        if rack and rack not in sidecar.room.labels:
            duration *= SPREAD_FACTOR
        capacity = sidecar.room.capacity
        used = resources.subtract(capacity, sidecar.free)
        share = resources.read_share(used, capacity)
        return duration + USED_WEIGHT * share + JITTER * self._chance.random()


def may_run(task: jobs.Task, sidecar: Sidecar) -> bool:
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
