"""Predicts in a sidecar when the runs on its upstream release capacity.

Load pattern: a task that fits nowhere waits for the end of runs of several gateways, of
which only the sidecar knows all. Expected durations are off by up to 40%, and a few
runs take many times as long.
"""

from __future__ import annotations

import operator
from typing import TYPE_CHECKING

from amaranthspar.scheduling import resources
from amaranthspar.schema import runmessages

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthspar.scheduling import runevents

MAX_RELEASES = 4
"""Maximum number of releases in a report."""
MIN_PERCENT = 5
"""Progress from which it replaces the expected duration; as it is stated in whole
percents, lower progress is off by more than 10%."""
MIN_LEFT_SHARE = 0.2
"""Share of its expected duration that a run without known progress has left at least:
half the usual error of 40%."""
REFRESH_MS = 10
"""Time for which a prediction is used again while no run starts or ends; a sidecar may
send reports to many gateways within it."""
ORDINARY_SLOWNESS = 1_000
"""Slowness in thousandths of an upstream whose slowness is unknown."""


class Predictor:
    """Predicts releases for the reports of one sidecar, at a bounded rate."""

    def __init__(self) -> None:
        self._releases: list[runmessages.Release] = []
        self._free: runmessages.Resources | None = None
        self._predicted_ms = 0

    def predict(
        self,
        runs: Iterable[runevents.Run],
        free: runmessages.Resources,
        slowness_permille: int,
        now_ms: int,
    ) -> list[runmessages.Release]:
        """Return the expected releases of capacity, cumulative and soonest first.

        Args:
            runs: Runs on the upstream; those without an expected duration are left out.
            free: Free capacity, another object after each start and end of a run.
            slowness_permille: Measured over expected duration of the runs on the
                upstream, in thousandths; 0 if unknown.
            now_ms: Monotonic time in ms.
        """
        is_old = now_ms - self._predicted_ms >= REFRESH_MS
        if free is not self._free or is_old:
            self._releases = predict(runs, slowness_permille, now_ms)
            self._free, self._predicted_ms = free, now_ms
        return self._releases


def predict(
    runs: Iterable[runevents.Run], slowness_permille: int, now_ms: int
) -> list[runmessages.Release]:
    """Return the expected releases of capacity, cumulative and soonest first.

    Only the first ends are stated, each by itself. If entries summed up several ends, a
    start between two ends would be expected at the later one, and tasks placed in the
    meantime could delay it again and again.

    Args:
        runs: Runs on the upstream; those without an expected duration are left out.
        slowness_permille: Measured over expected duration of the runs on the upstream,
            in thousandths; 0 if unknown.
        now_ms: Monotonic time in ms.
    """
    slowness = (slowness_permille or ORDINARY_SLOWNESS) / ORDINARY_SLOWNESS
    ends = sorted(
        (
            (predict_remaining_ms(run, slowness, now_ms), run.needs)
            for run in runs
            if run.expected_ms > 0
        ),
        key=operator.itemgetter(0),
    )
    releases, amount = [], resources.NONE
    for remaining_ms, needs in ends[:MAX_RELEASES]:
        amount = resources.add(amount, needs)
        releases.append(runmessages.Release(remaining_ms, amount))
    return releases


def predict_remaining_ms(run: runevents.Run, slowness: float, now_ms: int) -> int:
    """Return the expected time in ms until a run ends, at least 1.

    Args:
        run: Run with an expected duration.
        slowness: Measured over expected duration of the runs on its upstream.
        now_ms: Monotonic time in ms.
    """
    elapsed_ms = now_ms - run.requested_ms
    listed_ms = run.listed_ms - run.requested_ms
    total_ms = run.expected_ms * slowness
    least_ms = MIN_LEFT_SHARE * total_ms
    if run.percent >= MIN_PERCENT:
        total_ms = listed_ms * 100 / run.percent
        least_ms = 1
    elif run.percent > 0:
        total_ms = max(total_ms, listed_ms * 100 / (run.percent + 1))
    return round(max(abs(total_ms - elapsed_ms), least_ms, 1))
