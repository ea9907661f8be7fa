"""Least-squares fits of straight lines to measured points."""

from collections.abc import Sequence

import attrs
import numpy


@attrs.frozen(slots=True)
class Fit:
    """A fitted line.

    Attributes:
        intercept: Value at 0.
        slope: Increase per unit.
        error: Standard error of the slope.
        worst: Greatest distance of a point from the line, as a ratio of its value.
    """

    intercept: float
    slope: float
    error: float
    worst: float

    def read_value(self, x: float) -> float:
        """Return the value of the line at `x`."""
        return self.intercept + self.slope * x

    def __str__(self) -> str:
        return (
            f"{self.intercept:.4g} + {self.slope:.4g} (+- {self.error:.2g}) x, "
            f"worst point off by {self.worst:.0%}"
        )


def fit_line(x: Sequence[float], y: Sequence[float], relative: bool = False) -> Fit:
    """Return the least-squares line through points.

    Args:
        x: Sizes, at least three.
        y: Values.
        relative: Whether each point is weighted by the inverse of its value, which
            suits sizes that span several powers of ten.
    """
    sizes = numpy.asarray(x, dtype=float)
    values = numpy.asarray(y, dtype=float)
    weights = 1 / values if relative else numpy.ones_like(values)
    design = numpy.column_stack([numpy.ones_like(sizes), sizes]) * weights[:, None]
    solution = numpy.linalg.lstsq(design, values * weights, rcond=None)[0]
    residuals = values * weights - design @ solution
    freedom = max(len(sizes) - 2, 1)
    variance = float(residuals @ residuals) / freedom
    covariance = numpy.linalg.inv(design.T @ design) * variance
    predicted = solution[0] + solution[1] * sizes
    worst = float(numpy.max(numpy.abs(predicted - values) / values))
    return Fit(
        float(solution[0]), float(solution[1]), float(covariance[1, 1] ** 0.5), worst
    )
