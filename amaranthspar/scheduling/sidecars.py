"""State of a sidecar in a gateway: free capacity, slowness and failure rate.

Some upstreams are slow, hang or fail every run, and the gateway's information about
them is some milliseconds old.
"""

from __future__ import annotations

import collections
import statistics
from typing import TYPE_CHECKING

import attrs

from amaranthspar.scheduling import resources, slownessmeter
from amaranthspar.schema import runmessages

if TYPE_CHECKING:
    from amaranthspar.scheduling import jobs

UNRESPONSIVE_MS = 600
"""Time without a message after which a sidecar gets no new runs: two answers are
missing. On the sidecar, an acknowledged report counts for 800 ms."""
RUN_EXPIRY_MS = 2_200
"""Time after the last message of a sidecar by which its runs have ended: the lease of a
gateway that receives no reports (800 ms), plus the longest lease on an upstream (1 s),
plus clock drift."""
DURATION_WEIGHT = 0.25
"""Weight of the newest run in the moving average of a sidecar's slowness; about the
last seven runs count."""
PROGRESS_WEIGHT = 0.2
"""Weight of one sample of the running tasks in the moving average of the slowness."""
MIN_PROGRESS_RUNS = 3
"""Minimum number of runs whose median progress reflects the upstream rather than single
tasks."""
MIN_SLOWNESS = 0.5
"""Lower bound of the slowness in a comparison of sidecars."""
MAX_SLOWNESS = 20.0
"""Upper bound on the ratio of measured to expected duration."""
SLOW_RATIO = 1.7
"""Relative slowness from which a sidecar is unhealthy; above the differences between
ordinary hardware."""
NORMAL_RATIO = 1.4
"""Relative slowness up to which runs are used to estimate task durations."""
MAX_STEADY_RATIO = 4.0
"""Steady slowness relative to the median up to which it counts as that of the hardware;
a higher one is that of a sick upstream."""
RECENT_RUNS = 3
"""Number of runs whose median is the newest measure where upstreams differ, so that a
single long task does not count as a sick upstream."""
SLOW_RETRY_MS = 1_500
"""Time after which a slow sidecar may get a task again."""
FAILURE_WEIGHT = 0.3
"""Weight of the latest run in the moving average of a sidecar's failure rate."""
UNHEALTHY_FAILURE_RATE = 0.5
"""Failure rate from which a sidecar is unhealthy and gets a task only now and then."""
FAILURE_RETRY_MS = 1_000
"""Time after which a failing sidecar may get a task again."""
FLAP_MS = 10_000
"""Time between two restarts of an upstream up to which it flaps."""
PROBATION_FACTOR = 2
"""Multiple of the time between two restarts for which a flapping upstream gets only tries:
one that goes on restarting as often does so before the time is over."""
MIN_PROBATION_MS = 2_000
"""Shortest such time."""


@attrs.define(slots=True, eq=False)
class Sidecar:
    """State of one sidecar.

    Attributes:
        name: Process name.
        incarnation: Incarnation of the process; 0 before its first message.
        address: Address at which it listens.
        service: Service of its upstream.
        room: Latest `Room` that it reported; `None` before the first.
        received_ms: Time of its last message in ms; -1 before the first.
        renewal_number: Number of the last renewal sent.
        started: Number of the last `StartRuns` message sent.
        reservations: Needs of the start orders that `room` does not cover yet, by the
            number of their message.
        slowness: Moving average of the ratio of measured to expected duration, over
            `steady_ratio`.
        median_slowness: Median slowness of the members of all pools.
        is_uneven: Whether the sidecars report different slowness.
        steady_ratio: Steady slowness of its hardware relative to the median; 1 if it is
            not known or the sidecars report no difference.
        meter: This gateway's own measure of the steady slowness.
        recent_ratios: Measures of the latest runs.
        slow_ms: Time in ms at which it was last found to be slow, or got a task while
            slow.
        failure_rate: Moving average of the share of runs that failed.
        failed_ms: Time in ms of its last failed run, or of the last task that it got
            while failing.
        tasks: Tasks placed on it, by name.
        duration_ratios: Projected over expected duration of running tasks, by name.
        free: Free capacity that it reported less the reservations.
        used_share: Share of its scarcest resource that is not free; above 1 if overbooked.
        failure_domain: Failure domain that controllers list for it.
        renewed_ms: Time of the last renewal in ms; -1 before the first.
        reported_ms: Time at which `room` was received in ms; -1 before the first.
        acknowledged_ms: Time in ms at which the report was received that was last
            acknowledged; -1 before the first.
        used_millis: Processor need of the tasks placed on it, in thousandths of a core.
        upstream: Latest incarnation of its upstream; empty before the first.
        restarted_ms: Time at which another incarnation was first reported in ms; -1
            before.
        probation_ms: Time in ms until which it gets only tries, as its upstream flaps.
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
    is_uneven: bool = False
    steady_ratio: float = 1.0
    meter: slownessmeter.SlownessMeter = attrs.field(
        factory=slownessmeter.SlownessMeter
    )
    recent_ratios: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=RECENT_RUNS)
    )
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
    upstream: str = ""
    restarted_ms: int = -1
    probation_ms: int = 0

    def has_label(self, label: str) -> bool:
        """Return whether its upstream has a label, such as the name of its rack.

        Args:
            label: Label to look for.
        """
        return self.room is not None and label in self.room.labels

    def acknowledge(self) -> int:
        """Return the number of the report to acknowledge; 0 before the first."""
        self.acknowledged_ms = self.reported_ms
        return 0 if self.room is None else self.room.number

    def update_room(self, room: runmessages.Room | None, now_ms: int) -> None:
        """Set a newer report of capacity, or none after a restart.

        Args:
            room: Reported capacity; `None` after a restart.
            now_ms: Current time in ms.
        """
        before = self.room
        if before is not None and room is not None and before.upstream != room.upstream:
            # Orders for another incarnation take up none of its capacity.
            self.reservations.clear()
        self.room = room
        self.reported_ms = now_ms if room is not None else -1
        if room is None:
            self.reservations.clear()
            self._set_free(resources.NONE)
            return
        for number in [item for item in self.reservations if item <= room.started]:
            del self.reservations[number]
        reserved = resources.total(self.reservations.values())
        self._set_free(resources.subtract(room.free, reserved))

    def add_task(self, task: jobs.Task) -> None:
        """Add a task that the next `StartRuns` starts, and reserve its needs.

        Args:
            task: Task that is placed on this sidecar.
        """
        self.tasks[task.name] = task
        needs = task.definition.needs
        self.used_millis += needs.cpu_millis
        number = self.started + 1
        earlier = self.reservations.get(number)
        self.reservations[number] = (
            needs if earlier is None else resources.add(earlier, needs)
        )
        self._set_free(resources.subtract(self.free, needs))

    def _set_free(self, free: runmessages.Resources) -> None:
        self.free = free
        self.used_share = 1.0
        if self.room is not None:
            capacity = self.room.capacity
            used = resources.subtract(capacity, free)
            self.used_share = resources.compute_used_share(used, capacity)

    def accepts_runs(self, now_ms: int) -> bool:
        """Return whether the sidecar accepts new runs.

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
        """Slowness relative to the median of all members."""
        return self.slowness / self.median_slowness

    @property
    def steady_permille(self) -> int:
        """Steady slowness that it reports, else this gateway's own measure.

        It is in thousandths of the expected duration, and 0 if neither is known.
        """
        reported = 0 if self.room is None else self.room.slowness_permille
        return reported or self.meter.permille

    @property
    def expected_ratio(self) -> float:
        """Expected duration of a run relative to an upstream of ordinary speed."""
        if self.is_uneven and self.steady_permille:
            return self.steady_ratio
        return max(self.relative_slowness, MIN_SLOWNESS)

    @property
    def has_ordinary_speed(self) -> bool:
        """Whether its runs tell how long tasks take on an ordinary upstream.

        Ordinary is the speed of the median member.
        """
        if self.relative_slowness > NORMAL_RATIO:
            return False
        return 1 / NORMAL_RATIO <= self.steady_ratio <= NORMAL_RATIO

    def set_steady_median(self, median_permille: float) -> None:
        """Set the median of the steady slowness, to which it is compared.

        Args:
            median_permille: Median in thousandths; 0 if the sidecars do not differ.
        """
        self.is_uneven = median_permille > 0
        self.steady_ratio = 1.0
        if not self.is_uneven or not self.steady_permille:
            return
        ratio = self.steady_permille / median_permille
        if ratio <= MAX_STEADY_RATIO:
            self.steady_ratio = max(ratio, MIN_SLOWNESS)

    def is_unhealthy(self, now_ms: int) -> bool:
        """Return whether it is sick or failing and not yet due for another task.

        It is sick if it is slower than its steady slowness explains.

        Args:
            now_ms: Current time in ms.
        """
        if self.gets_tries(now_ms) and now_ms - self.failed_ms < FAILURE_RETRY_MS:
            return True
        is_slow = self.relative_slowness >= SLOW_RATIO
        return is_slow and now_ms - self.slow_ms < SLOW_RETRY_MS

    def gets_tries(self, now_ms: int) -> bool:
        """Return whether it gets a task only now and then, as it fails or flaps.

        Args:
            now_ms: Current time in ms.
        """
        fails = self.failure_rate >= UNHEALTHY_FAILURE_RATE
        return fails or now_ms < self.probation_ms

    def note_upstream(self, upstream: str, now_ms: int) -> bool:
        """Note the reported incarnation; a second change within `FLAP_MS` is flapping.

        Args:
            upstream: Incarnation of the upstream; empty while it has none.
            now_ms: Current time in ms.

        Returns:
            Whether it flaps, so that it gets only tries for a while.
        """
        if not upstream or upstream == self.upstream:
            return False
        is_restart = bool(self.upstream)
        self.upstream = upstream
        if not is_restart:
            return False
        passed_ms = now_ms - self.restarted_ms
        flaps = self.is_uneven and self.restarted_ms >= 0 and passed_ms < FLAP_MS
        if flaps:
            time_ms = max(PROBATION_FACTOR * passed_ms, MIN_PROBATION_MS)
            self.probation_ms = now_ms + time_ms
            self.failed_ms = now_ms
        self.restarted_ms = now_ms
        return flaps

    def record_outcome(self, has_failed: bool, now_ms: int) -> None:
        """Update the failure rate after a run.

        Args:
            has_failed: Whether the run failed.
            now_ms: Current time in ms.
        """
        self.failure_rate += FAILURE_WEIGHT * (float(has_failed) - self.failure_rate)
        if has_failed:
            self.failed_ms = now_ms

    def record_progress(self, task: str, ratio: float, now_ms: int) -> None:
        """Update the slowness from the progress of running tasks, if enough run.

        Args:
            task: Name of the task.
            ratio: Projected over expected duration of its run.
            now_ms: Current time in ms.
        """
        self.duration_ratios[task] = min(ratio / self.steady_ratio, MAX_SLOWNESS)
        if len(self.duration_ratios) < MIN_PROGRESS_RUNS:
            return
        median = statistics.median(self.duration_ratios.values())
        self.slowness += PROGRESS_WEIGHT * (median - self.slowness)
        if self.relative_slowness >= SLOW_RATIO:
            self.slow_ms = now_ms

    def remove_task(self, task: str) -> None:
        """Remove a task whose run is over.

        Args:
            task: Name of the task.
        """
        removed = self.tasks.pop(task, None)
        if removed is not None:
            self.used_millis -= removed.definition.needs.cpu_millis
        self.duration_ratios.pop(task, None)

    def record_duration(self, ratio: float, now_ms: int) -> None:
        """Update the slowness after a run.

        Args:
            ratio: Measured over expected duration.
            now_ms: Current time in ms.
        """
        ratio = min(ratio / self.steady_ratio, MAX_SLOWNESS)
        self.recent_ratios.append(ratio)
        if self.is_uneven:
            ratio = statistics.median(self.recent_ratios)
        self.slowness += DURATION_WEIGHT * (ratio - self.slowness)
        if self.relative_slowness >= SLOW_RATIO:
            self.slow_ms = now_ms

    def record_stall(self, now_ms: int) -> None:
        """Set the slowness to its maximum, as a run makes no progress.

        Args:
            now_ms: Current time in ms.
        """
        self.slowness = MAX_SLOWNESS
        self.slow_ms = now_ms
