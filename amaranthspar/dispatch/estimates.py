"""Estimates of run times, from the run times observed before.

For each service, a linear regression predicts the logarithm of the run time from
that of the declared run time. Older observations have exponentially decreasing
weights. Declared times that do not correlate with the run times have no
influence; those that are wrong by a constant factor are corrected.
"""

import math

import attrs

DEFAULT_RUN_MS = 200.0
PRIOR_WEIGHT = 4.0
"""Number of observations that the prior counts for."""
DECAY = 0.998
"""Factor by which each new observation reduces the weight of older ones."""
MIN_RUN_MS = 1.0


@attrs.define(slots=True)
class Moments:
    """Exponentially decayed sums of logarithms of run times.

    Attributes:
        weight: Decayed number of observations.
        declared: Sum of the logarithms of declared run times.
        observed: Sum of the logarithms of observed run times.
        declared_squares: Sum of the squares of `declared` values.
        products: Sum of the products of declared and observed values.
    """

    weight: float = 0.0
    declared: float = 0.0
    observed: float = 0.0
    declared_squares: float = 0.0
    products: float = 0.0

    def add(self, declared: float, observed: float) -> None:
        """Add an observation.

        Args:
            declared: Logarithm of the declared run time.
            observed: Logarithm of the observed run time.
        """
        self.weight = self.weight * DECAY + 1
        self.declared = self.declared * DECAY + declared
        self.observed = self.observed * DECAY + observed
        self.declared_squares = self.declared_squares * DECAY + declared**2
        self.products = self.products * DECAY + declared * observed

    def predict(self, declared: float, prior: float) -> float:
        """Return the expected logarithm of a run time.

        Args:
            declared: Logarithm of the declared run time.
            prior: Expected logarithm before any observation.
        """
        weight = self.weight + PRIOR_WEIGHT
        mean_declared = (self.declared + PRIOR_WEIGHT * declared) / weight
        mean_observed = (self.observed + PRIOR_WEIGHT * prior) / weight
        if not self.weight:
            return mean_observed
        raw_declared, raw_observed = (
            self.declared / self.weight,
            self.observed / self.weight,
        )
        variance = self.declared_squares / self.weight - raw_declared**2
        covariance = self.products / self.weight - raw_declared * raw_observed
        slope = covariance / (variance + PRIOR_WEIGHT / self.weight)
        slope = min(1.0, max(0.0, slope))
        return mean_observed + slope * (declared - mean_declared)


@attrs.define(slots=True)
class _ServiceMoments:
    """Observations of one service, for tasks with and without a declared time."""

    declared: Moments = attrs.field(factory=Moments)
    undeclared: Moments = attrs.field(factory=Moments)


class Estimates:
    """Expected run times by service."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceMoments] = {}

    def observe(self, service: str, declared_ms: int, run_ms: int) -> None:
        """Add the run time of a task.

        Args:
            service: Service of the task.
            declared_ms: Declared run time in ms; 0 for none.
            run_ms: Observed run time in ms.
        """
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _ServiceMoments()
        moments = found.declared if declared_ms else found.undeclared
        moments.add(_compute_log(declared_ms), _compute_log(run_ms))

    def predict(self, service: str, declared_ms: int) -> float:
        """Return the expected run time of a task in ms.

        Args:
            service: Service of the task.
            declared_ms: Declared run time in ms; 0 for none.
        """
        found = self._services.get(service)
        prior = _compute_log(declared_ms or DEFAULT_RUN_MS)
        if found is None:
            return math.exp(prior)
        moments = found.declared if declared_ms else found.undeclared
        return math.exp(moments.predict(_compute_log(declared_ms), prior))


def _compute_log(run_ms: float) -> float:
    return math.log(max(run_ms, MIN_RUN_MS))
