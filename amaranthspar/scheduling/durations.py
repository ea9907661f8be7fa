"""Estimates of task durations from finished runs.

Declared durations are often far off, but for each queue by a similar factor over hours.
"""

import math

import attrs

WEIGHT = 0.1
"""Weight of the newest run in the moving average; about the last twenty runs count."""
FIT_WEIGHT = 0.05
"""Weight of the newest run in the means and variances of a fit; about the last forty
runs count."""
FIT_VARIANCE = 0.05
"""Variance of the logarithms of declared durations that a fit begins with: that of
declarations that are off by up to 40%."""
MAX_FIT_ERROR = math.log(2.0)
"""Bound on the error of a fit, as a logarithm, that one run may show, so that single long
tasks count no more than others."""
MIN_RATIO = 0.1
MAX_RATIO = 10.0
"""Bounds on the ratio of measured to declared duration, against outliers."""


@attrs.define(slots=True)
class _Fit:
    """Linear fit of the logarithm of measured to that of declared durations.

    Where declarations are off, the longest ones are too long on average and the shortest
    too short, so that the slope is below 1.

    Attributes:
        declared: Mean of the logarithms of declared durations.
        measured: Mean of the logarithms of measured durations.
        variance: Variance of the former.
        covariance: Covariance of both.
    """

    declared: float
    measured: float
    variance: float = FIT_VARIANCE
    covariance: float = FIT_VARIANCE

    def predict(self, declared: float) -> float:
        """Return the expected logarithm of a measured duration."""
        slope = min(max(self.covariance / self.variance, 0.0), 1.0)
        return self.measured + slope * (declared - self.declared)

    def add(self, declared: float, measured: float) -> None:
        """Add a run."""
        error = measured - self.predict(declared)
        measured -= error - min(max(error, -MAX_FIT_ERROR), MAX_FIT_ERROR)
        from_declared = declared - self.declared
        from_measured = measured - self.measured
        keep = 1 - FIT_WEIGHT
        self.variance = keep * (self.variance + FIT_WEIGHT * from_declared**2)
        self.covariance = keep * (
            self.covariance + FIT_WEIGHT * from_declared * from_measured
        )
        self.declared += FIT_WEIGHT * from_declared
        self.measured += FIT_WEIGHT * from_measured


@attrs.define(slots=True)
class Durations:
    """Moving averages of measured over declared duration, by queue and step.

    The logarithm of the ratio is averaged.
    """

    _log_ratios: dict[tuple[str, int], float] = attrs.field(factory=dict)
    _fits: dict[tuple[str, int], _Fit] = attrs.field(factory=dict)

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
        declared = math.log(max(declared_ms, 1))
        fit = self._fits.get((queue, step))
        if fit is None:
            self._fits[queue, step] = _Fit(declared, declared + log_ratio)
        else:
            fit.add(declared, declared + log_ratio)

    def expect_ms(self, queue: str, step: int, declared_ms: int) -> int:
        """Return the expected duration of a task in ms.

        Args:
            queue: Queue of the job.
            step: Position of the step in its job.
            declared_ms: Duration declared by the caller in ms.
        """
        log_ratio = self._log_ratios.get((queue, step), 0.0)
        return max(1, round(declared_ms * math.exp(log_ratio)))

    def predict_ms(self, queue: str, step: int, declared_ms: int) -> int:
        """Return the duration of a task in ms that follows from all declared ones.

        Unlike `expect_ms` it corrects declarations that are extreme for their queue.
        Otherwise tasks that are declared too short would be chosen for slow upstreams,
        which would then be measured as slower than they are.

        Args:
            queue: Queue of the job.
            step: Position of the step in its job.
            declared_ms: Duration declared by the caller in ms.
        """
        fit = self._fits.get((queue, step))
        if fit is None:
            return max(1, declared_ms)
        return max(1, round(math.exp(fit.predict(math.log(max(declared_ms, 1))))))
