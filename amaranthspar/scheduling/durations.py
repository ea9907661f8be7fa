"""Learns how long tasks take from the runs that have ended.

Load pattern: declared durations are often far off, and differ by queue in the same way
for hours.
"""

import math

import attrs

WEIGHT = 0.1
"""Weight of the newest run in the average; about the last twenty runs count."""
MIN_RATIO = 0.1
MAX_RATIO = 10.0
"""Bounds on measured over declared duration, against single broken runs."""


@attrs.define(slots=True)
class Durations:
    """Ratio of the measured to the declared duration by queue and step."""

    _log_ratios: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def record_run(
        self, queue: str, step: int, declared_ms: int, measured_ms: int
    ) -> None:
        """Take a run that was done on an upstream of ordinary speed.

        Args:
            queue: Queue of the job.
            step: Position of the step in its job.
            declared_ms: Duration as declared in ms.
            measured_ms: Duration as measured in ms.
        """
        ratio = max(measured_ms, 1) / max(declared_ms, 1)
        log = math.log(min(max(ratio, MIN_RATIO), MAX_RATIO))
        known = self._log_ratios.get((queue, step))
        if known is None:
            self._log_ratios[queue, step] = log
        else:
            self._log_ratios[queue, step] = known + WEIGHT * (log - known)

    def expect_ms(self, queue: str, step: int, declared_ms: int) -> int:
        """Return how long a task is expected to run in ms.

        Args:
            queue: Queue of the job.
            step: Position of the step in its job.
            declared_ms: Duration as declared in ms.
        """
        log = self._log_ratios.get((queue, step), 0.0)
        return max(1, round(declared_ms * math.exp(log)))
