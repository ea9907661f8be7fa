"""A sidecar as a gateway knows it: its room, its speed and its failures.

Load pattern: some upstreams are slow, hang or fail all that they start, while what a
gateway knows of them is some ms old.
"""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

import attrs

from amaranthspar.scheduling import resources
from amaranthspar.schema import runmessages

if TYPE_CHECKING:
    from amaranthspar.scheduling import jobs

UNRESPONSIVE_MS = 600
"""Silence after which a sidecar gets no new runs: two answers are missing. Its statements
count for 800 ms there."""
RUN_EXPIRY_MS = 2_200
"""Time after a sidecar was last heard until its runs have ended: the sidecar's limit for a
gateway that has not heard it (800 ms), the longest lease on an upstream (1 s), drift."""
DURATION_WEIGHT = 0.25
"""Weight of the newest run in a sidecar's slowness; about the last seven runs count."""
PROGRESS_WEIGHT = 0.2
"""Weight of one look at the runs that have not ended."""
MIN_PROGRESS_RUNS = 3
"""Runs from which their middle one tells more of the upstream than of the tasks."""
MAX_SLOWNESS = 20.0
"""Highest ratio of measured to expected duration that is kept."""
SLOW_RATIO = 1.7
"""Slowness from which a sidecar comes after all others; above ordinary hardware."""
NORMAL_RATIO = 1.4
"""Slowness up to which a sidecar's runs tell how long tasks take."""
SLOW_RETRY_MS = 1_500
"""Time after which a slow sidecar is tried with a task again."""
FAILURE_WEIGHT = 0.3
"""Weight of the newest run in a sidecar's share of failures."""
UNHEALTHY_FAILURE_RATE = 0.5
"""Share of failures from which a sidecar is tried only now and then."""
FAILURE_RETRY_MS = 1_000
"""Time after which a failing sidecar is tried with a task again."""


@attrs.define(slots=True, eq=False)
class Sidecar:
    """One sidecar.

    Attributes:
        name: Process name.
        incarnation: Incarnation of the process; 0 until it is heard.
        address: Address at which it listens.
        service: Service of its upstream.
        room: Its last statement; nothing before the first.
        received_ms: Time of its last message in ms; -1 before the first.
        number: Number of the last renewal.
        started: Number of the last message with orders.
        reservations: Needs of the orders that its statement of room does not cover.
        slowness: Ratio of measured to expected duration.
        median_slowness: Slowness of the middle one of all sidecars.
        slow_ms: Time at which it last got a task while slow in ms.
        failures: Share of runs that failed lately.
        failed_ms: Time of the last failure, or try after one, in ms.
        tasks: Tasks placed here.
        duration_ratios: Projected over expected duration of runs under way, by task.
        free: Room less what was sent since it was stated.
        used_share: Share of its scarcest capacity that is not free.
        failure_domain: Failure domain that controllers list for it.
        renewed_ms: Time of the last renewal in ms; -1 before the first.
        reported_ms: Time at which its newest statement came in ms; -1 before the first.
        acknowledged_ms: Time at which the statement had come that it was last told of in ms.
        used_millis: Processor that the tasks placed here need.
    """

    name: str
    incarnation: int
    address: str
    service: str
    room: runmessages.Room | None = None
    received_ms: int = -1
    renewal_number: int = 0
    started: int = 0
    reservations: dict[int, runmessages.Resources] = attrs.field(factory=dict)
    slowness: float = 1.0
    median_slowness: float = 1.0
    slow_ms: int = -SLOW_RETRY_MS
    failure_rate: float = 0.0
    failed_ms: int = -FAILURE_RETRY_MS
    tasks: dict[str, jobs.Task] = attrs.field(factory=dict)
    duration_ratios: dict[str, float] = attrs.field(factory=dict)
    free: runmessages.Resources = resources.NONE
    used_share: float = 1.0
    failure_domain: str = ""
    renewed_ms: int = -1
    reported_ms: int = -1
    acknowledged_ms: int = -1
    used_millis: int = 0

    def has_label(self, label: str) -> bool:
        """Return whether its upstream has a label, such as its rack.

        Args:
            label: The label.
        """
        return self.room is not None and label in self.room.labels

    def acknowledge(self) -> int:
        """Return the number of the newest statement, 0 before the first, to be told."""
        self.acknowledged_ms = self.reported_ms
        return 0 if self.room is None else self.room.number

    def update_room(self, room: runmessages.Room | None, now_ms: int) -> None:
        """Take a newer statement of room, or none after a restart.

        Args:
            room: The statement.
            now_ms: Current time in ms.
        """
        self.room = room
        self.reported_ms = now_ms if room is not None else -1
        if room is None:
            self.reservations.clear()
            self._set_free(resources.NONE)
            return
        for number in [item for item in self.reservations if item <= room.started]:
            del self.reservations[number]
        promised = resources.total(self.reservations.values())
        self._set_free(resources.subtract(room.free, promised))

    def add_task(self, task: jobs.Task) -> None:
        """Take a task that the next message with orders will start.

        Args:
            task: Task that is placed here.
        """
        self.tasks[task.name] = task
        needs = task.definition.needs
        self.used_millis += needs.cpu_millis
        number = self.started + 1
        known = self.reservations.get(number)
        self.reservations[number] = (
            needs if known is None else resources.add(known, needs)
        )
        self._set_free(resources.subtract(self.free, needs))

    def _set_free(self, free: runmessages.Resources) -> None:
        self.free = free
        self.used_share = 1.0
        if self.room is not None:
            capacity = self.room.capacity
            used = resources.subtract(capacity, free)
            self.used_share = resources.read_share(used, capacity)

    def accepts_runs(self, now_ms: int) -> bool:
        """Return whether new runs may be sent there at all.

        Args:
            now_ms: Current time in ms.
        """
        room = self.room
        return (
            room is not None
            and bool(room.upstream)
            and not room.is_leaving
            and now_ms - self.received_ms <= UNRESPONSIVE_MS
        )

    @property
    def relative_slowness(self) -> float:
        """Slowness against that of the middle one of all sidecars."""
        return self.slowness / self.median_slowness

    def is_unhealthy(self, now_ms: int) -> bool:
        """Return whether it is slow or failing and not due for another try.

        Args:
            now_ms: Current time in ms.
        """
        fails = self.failure_rate >= UNHEALTHY_FAILURE_RATE
        if fails and now_ms - self.failed_ms < FAILURE_RETRY_MS:
            return True
        is_slow = self.relative_slowness >= SLOW_RATIO
        return is_slow and now_ms - self.slow_ms < SLOW_RETRY_MS

    def record_outcome(self, has_failed: bool, now_ms: int) -> None:
        """Take whether a run failed.

        Args:
            has_failed: Whether it ended as failed.
            now_ms: Current time in ms.
        """
        self.failure_rate += FAILURE_WEIGHT * (float(has_failed) - self.failure_rate)
        if has_failed:
            self.failed_ms = now_ms

    def record_progress(self, task: str, ratio: float, now_ms: int) -> None:
        """Take how far a run is; a few runs together tell how slow the upstream is.

        Args:
            task: Name of the task.
            ratio: Projected over expected duration.
            now_ms: Current time in ms.
        """
        self.duration_ratios[task] = min(ratio, MAX_SLOWNESS)
        if len(self.duration_ratios) < MIN_PROGRESS_RUNS:
            return
        middle = statistics.median(self.duration_ratios.values())
        self.slowness += PROGRESS_WEIGHT * (middle - self.slowness)
        if self.relative_slowness >= SLOW_RATIO:
            self.slow_ms = now_ms

    def remove_task(self, task: str) -> None:
        """Forget a task whose run is over.

        Args:
            task: Name of the task.
        """
        known = self.tasks.pop(task, None)
        if known is not None:
            self.used_millis -= known.definition.needs.cpu_millis
        self.duration_ratios.pop(task, None)

    def record_duration(self, ratio: float, now_ms: int) -> None:
        """Take how long a run took against what was expected.

        Args:
            ratio: Measured over expected duration.
            now_ms: Current time in ms.
        """
        ratio = min(ratio, MAX_SLOWNESS)
        self.slowness += DURATION_WEIGHT * (ratio - self.slowness)
        if self.relative_slowness >= SLOW_RATIO:
            self.slow_ms = now_ms

    def record_stall(self, now_ms: int) -> None:
        """Take that a run makes no progress, which needs no further evidence.

        Args:
            now_ms: Current time in ms.
        """
        self.slowness = MAX_SLOWNESS
        self.slow_ms = now_ms
