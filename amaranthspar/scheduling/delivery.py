"""Measure of the capacity that upstreams have delivered lately.

Cores that are allocated say little about capacity in a disturbance: runs on a sidecar
that does not report may have ended, a stalled or slow upstream keeps its cores for
longer, and the work of runs that fail is lost.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from amaranthspar.scheduling import sidecars

if TYPE_CHECKING:
    from collections.abc import Iterable

WINDOW_MS = 1_000
"""Time in ms over which amounts are summed: several runs of the usual durations, and
short enough to follow a disturbance of some seconds."""
BUCKET_MS = 50
"""Resolution of the window in ms, which bounds its memory."""
REPORT_GAP_MS = 300
"""Time in ms without a message after which a sidecar's runs count as cut off. A sidecar
with runs answers renewals at least every 200 ms."""
PRIOR_CORE_MS = 10_000.0
"""Amount of successful work assumed in the window in core-ms, so that a few failures
after a start or an idle time do not count as a lasting loss of capacity."""
MIN_YIELD = 0.2
"""Lower bound of the yield, so that a gateway goes on trying upstreams that fail."""

MAX_DRAIN_MS = 10_000
"""Longest time in ms to clear a backlog that a refused caller is told; shortages take
seconds, and a backlog that does not decrease says nothing on its end."""


@attrs.define(slots=True)
class Window:
    """Sum of amounts over the last second."""

    _buckets: collections.deque[tuple[int, float]] = attrs.field(
        factory=collections.deque
    )
    _total: float = 0.0

    def add(self, amount: float, now_ms: int) -> None:
        """Add an amount.

        Args:
            amount: Amount to add.
            now_ms: Current time in ms.
        """
        self._drop_old(now_ms)
        number = now_ms // BUCKET_MS
        self._total += amount
        if self._buckets and self._buckets[-1][0] == number:
            amount += self._buckets.pop()[1]
        self._buckets.append((number, amount))

    def read_sum(self, now_ms: int) -> float:
        """Return the sum of the amounts of the last second.

        Args:
            now_ms: Current time in ms.
        """
        self._drop_old(now_ms)
        return self._total

    def _drop_old(self, now_ms: int) -> None:
        oldest = (now_ms - WINDOW_MS) // BUCKET_MS
        while self._buckets and self._buckets[0][0] <= oldest:
            self._total -= self._buckets.popleft()[1]
        if not self._buckets:
            self._total = 0.0


@attrs.define(slots=True)
class Delivery:
    """Core-milliseconds of the runs that ended lately, with and without success."""

    _done: Window = attrs.field(factory=Window)
    _failed: Window = attrs.field(factory=Window)

    def record_run(
        self, cores: float, elapsed_ms: int, has_failed: bool, now_ms: int
    ) -> None:
        """Record a run that has ended.

        Args:
            cores: Cores that it used.
            elapsed_ms: Time that it took in ms.
            has_failed: Whether it failed.
            now_ms: Current time in ms.
        """
        (self._failed if has_failed else self._done).add(cores * elapsed_ms, now_ms)

    def measure_yield(self, now_ms: int) -> float:
        """Return the share of the recent processor time that went to successful runs.

        It is 1 while nothing has failed, also after a start or an idle time.

        Args:
            now_ms: Current time in ms.
        """
        done = PRIOR_CORE_MS + self._done.read_sum(now_ms)
        failed = self._failed.read_sum(now_ms)
        return max(MIN_YIELD, done / (done + failed))


def count_working_cores(members: Iterable[sidecars.Sidecar], now_ms: int) -> float:
    """Return the cores of a gateway's runs that make ordinary progress.

    Runs on a sidecar that does not report count for nothing, and those on a slow one
    for the share of its speed.

    Args:
        members: Sidecars that the gateway places tasks on.
        now_ms: Current time in ms.
    """
    cores = 0.0
    for sidecar in members:
        if not sidecar.used_millis or now_ms - sidecar.received_ms > REPORT_GAP_MS:
            continue
        slowness = sidecar.relative_slowness
        speed = 1 / slowness if slowness >= sidecars.SLOW_RATIO else 1.0
        cores += speed * sidecar.used_millis / 1000
    return cores


def count_usable_cores(members: Iterable[sidecars.Sidecar], cpu_millis: int) -> float:
    """Return the free cores that tasks of one size can use.

    Remainders smaller than a task add up over many upstreams although no task fits
    there.

    Args:
        members: Sidecars that accept runs.
        cpu_millis: Processor need of a task in thousandths of a core.
    """
    need = max(cpu_millis, 1)
    return sum(
        max(sidecar.free.cpu_millis, 0) // need * need / 1000 for sidecar in members
    )


def find_drain_ms(backlog: float, cores: float, admitted: float) -> float:
    """Return the time in ms in which a backlog is cleared, at most `MAX_DRAIN_MS`.

    Args:
        backlog: Work that waits, in core-milliseconds.
        cores: Cores that work it off.
        admitted: Work that is added to it, in core-milliseconds per ms.
    """
    if backlog <= 0:
        return 0.0
    rate = cores - admitted
    return min(backlog / rate, MAX_DRAIN_MS) if rate > 0 else MAX_DRAIN_MS
