"""Distributions of times as HDR histograms."""

from collections.abc import Iterable

import attrs
from hdrh import histogram

MAX_US = 600_000_000
DIGITS = 3
PERCENTILES = (50.0, 99.0, 99.9)


@attrs.frozen(slots=True)
class Times:
    """Distribution of times.

    Attributes:
        data: HDR histogram in us.
    """

    data: histogram.HdrHistogram

    def read_percentile(self, percentile: float) -> float:
        """Return the time at a percentile in ms."""
        return float(self.data.get_value_at_percentile(percentile)) / 1000

    def read_max(self) -> float:
        """Return the greatest time in ms."""
        return float(self.data.get_max_value()) / 1000


def collect(times_ms: Iterable[float]) -> Times:
    """Return the distribution of times.

    Args:
        times_ms: Times in ms.
    """
    data = histogram.HdrHistogram(1, MAX_US, DIGITS)
    for time_ms in times_ms:
        data.record_value(max(1, int(time_ms * 1000)))
    return Times(data)
