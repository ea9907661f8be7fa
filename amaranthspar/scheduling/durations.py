"""Estimates of task durations from finished runs.

Declared durations are often far off, but for each queue by a similar factor over hours.
"""

import math

import attrs

WEIGHT = 0.1
"""Weight of the newest run in the moving average; about the last twenty runs count."""
MIN_RATIO = 0.1
MAX_RATIO = 10.0
"""Bounds on the ratio of measured to declared duration, against outliers."""


@attrs.define(slots=True)
class Durations:
    """Moving averages of measured over declared duration, by queue and step.

    The logarithm of the ratio is averaged.
    """

    _log_ratios: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def record_run(
        self, queue: str, step: int, declared_ms: int, measured_ms: int
    ) -> None:
        """Update the average with a finished run on an upstream of ordinary speed.

        Args:
            queue: Queue of the job.
            step: Position of the step in its job.
            declared_ms: Duration declared by the caller in ms.
            measured_ms: Measured duration in ms.
        """
        ratio = max(measured_ms, 1) / max(declared_ms, 1)
        log_ratio = math.log(min(max(ratio, MIN_RATIO), MAX_RATIO))
        average = self._log_ratios.get((queue, step))
        if average is None:
            self._log_ratios[queue, step] = log_ratio
        else:
            self._log_ratios[queue, step] = average + WEIGHT * (log_ratio - average)

    def expect_ms(self, queue: str, step: int, declared_ms: int) -> int:
        """Return the expected duration of a task in ms.

        Args:
            queue: Queue of the job.
            step: Position of the step in its job.
            declared_ms: Duration declared by the caller in ms.
        """
        log_ratio = self._log_ratios.get((queue, step), 0.0)
        return max(1, round(declared_ms * math.exp(log_ratio)))
