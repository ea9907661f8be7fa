"""Measure of the steady slowness of an upstream, from the runs of all gateways.

Load pattern: some hosts are steadily slower than others, durations that callers declare
are off by 40%, and 3 in 100 tasks take seven times as long. The median of recent runs
changes little with single long tasks; runs that stall or fail have no duration and do
not count.
"""

from __future__ import annotations

import bisect
import collections

MAX_RUNS = 64
"""Number of the latest runs that count. With durations that are off by 40% the median
of so many has a standard error of about 4%."""
MIN_RUNS = 8
"""Number of runs from which the median is reported; with 3 in 100 long tasks, half of
so few are long in less than one of 10,000 windows."""
MAX_PERMILLE = 100_000
"""Upper bound of the measure in thousandths."""


class SlownessMeter:
    """Median ratio of measured to expected duration on one incarnation."""

    def __init__(self) -> None:
        self._incarnation = ""
        self._ratios: collections.deque[float] = collections.deque()
        self._ordered: list[float] = []

    @property
    def permille(self) -> int:
        """Slowness in thousandths; 0 while too few runs have ended."""
        count = len(self._ordered)
        if count < MIN_RUNS:
            return 0
        middle = (self._ordered[(count - 1) // 2] + self._ordered[count // 2]) / 2
        return min(max(round(1000 * middle), 1), MAX_PERMILLE)

    def set_incarnation(self, incarnation: str) -> None:
        """Start anew if the upstream is another incarnation.

        Args:
            incarnation: Incarnation of the upstream.
        """
        if incarnation == self._incarnation:
            return
        self._incarnation = incarnation
        self._ratios.clear()
        self._ordered.clear()

    def record_run(self, incarnation: str, elapsed_ms: float, expected_ms: int) -> None:
        """Add a run that ended with a result.

        Args:
            incarnation: Incarnation for which its start was decided; runs of another
                than the current one do not count.
            elapsed_ms: Measured duration in ms.
            expected_ms: Duration that its gateway expects in ms; 0 if unknown, in which
                case the run does not count.
        """
        if incarnation != self._incarnation or expected_ms <= 0:
            return
        ratio = elapsed_ms / expected_ms
        if len(self._ratios) == MAX_RUNS:
            oldest = self._ratios.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]
        self._ratios.append(ratio)
        bisect.insort(self._ordered, ratio)
