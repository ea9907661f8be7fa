"""Estimates of run times, learned from those observed.

For each service the logarithm of the run time is regressed on that of the declared
run time, with older observations fading out. Declared times that tell nothing
get no weight; ones that are off by a constant factor are corrected.
"""

import math

import attrs

DEFAULT_RUN_MS = 200.0
PRIOR_WEIGHT = 4.0
FADING = 0.998
LEAST_RUN_MS = 1.0


@attrs.define(slots=True)
class Moments:
    """Faded sums of logarithms of declared and observed run times."""

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
        self.weight = self.weight * FADING + 1
        self.declared = self.declared * FADING + declared
        self.observed = self.observed * FADING + observed
        self.declared_squares = self.declared_squares * FADING + declared**2
        self.products = self.products * FADING + declared * observed

    def predict(self, declared: float, prior: float) -> float:
        """Return the expected logarithm of a run time.

        Args:
            declared: Logarithm of the declared run time.
            prior: Expectation before any observation.
        """
        weight = self.weight + PRIOR_WEIGHT
        mean_declared = (self.declared + PRIOR_WEIGHT * declared) / weight
        mean_observed = (self.observed + PRIOR_WEIGHT * prior) / weight
        if not self.weight:
            return mean_observed
        center, height = self.declared / self.weight, self.observed / self.weight
        variance = self.declared_squares / self.weight - center**2
        covariance = self.products / self.weight - center * height
        slope = covariance / (variance + PRIOR_WEIGHT / self.weight)
        slope = min(1.0, max(0.0, slope))
        return mean_observed + slope * (declared - mean_declared)


@attrs.define(slots=True)
class _Service:
    """What was observed of one service."""

    declared: Moments = attrs.field(factory=Moments)
    undeclared: Moments = attrs.field(factory=Moments)


class Estimates:
    """Expected run times by service."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    def observe(self, service: str, declared_ms: int, run_ms: int) -> None:
        """Learn from a task that has run.

        Args:
            service: Service of the task.
            declared_ms: Declared run time in ms; 0 for none.
            run_ms: Observed run time in ms.
        """
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _Service()
        moments = found.declared if declared_ms else found.undeclared
        moments.add(_take_log(declared_ms), _take_log(run_ms))

    def predict(self, service: str, declared_ms: int) -> float:
        """Return the expected run time of a task in ms.

        Args:
            service: Service of the task.
            declared_ms: Declared run time in ms; 0 for none.
        """
        found = self._services.get(service)
        prior = _take_log(declared_ms or DEFAULT_RUN_MS)
        if found is None:
            return math.exp(prior)
        moments = found.declared if declared_ms else found.undeclared
        return math.exp(moments.predict(_take_log(declared_ms), prior))


def _take_log(run_ms: float) -> float:
    return math.log(max(run_ms, LEAST_RUN_MS))
