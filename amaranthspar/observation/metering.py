"""Counters and latency histograms that a process exposes as text.

They are plain numbers until somebody reads them: the exposition library takes longer to
import than a sidecar takes to register its upstream, and most processes are never read.
"""

from __future__ import annotations

import bisect
import collections
import itertools
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client import metrics_core

BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20)
"""Bounds of the histograms in s: from a call on one host to a caller's patience."""


@attrs.define(slots=True)
class Histogram:
    """Durations counted by bucket.

    Attributes:
        counts: Durations in each bucket; the last one has no upper bound.
        total_s: Sum of all durations in s.
    """

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(BUCKETS_S) + 1))
    total_s: float = 0.0

    def observe(self, duration_ms: int) -> None:
        """Add a duration.

        Args:
            duration_ms: The duration in ms.
        """
        duration_s = duration_ms / 1000
        self.counts[bisect.bisect_left(BUCKETS_S, duration_s)] += 1
        self.total_s += duration_s

    def list_buckets(self) -> list[tuple[str, float]]:
        """Return the upper bounds as text, each with the count of all up to it."""
        bounds = [*(str(float(bound)) for bound in BUCKETS_S), "+Inf"]
        counts = itertools.accumulate(self.counts)
        return [
            (bound, float(count)) for bound, count in zip(bounds, counts, strict=True)
        ]


class Meters:
    """Measures of one process.

    Attributes:
        answers: Jobs answered, by queue and outcome.
        durations: Time from submission to the answer, by queue.
        waiting: Jobs that wait for room.
        running: Runs on the upstream.
        starts: Time of calls that start a run.
        lateness: How late the process's repeated work was done.
        document_age: Time from hearing of a newer routing document to holding it.
    """

    def __init__(self) -> None:
        self.answers: collections.Counter[tuple[str, str]] = collections.Counter()
        self.durations: collections.defaultdict[str, Histogram]
        self.durations = collections.defaultdict(Histogram)
        self.waiting = 0
        self.running = 0
        self.starts = Histogram()
        self.lateness = Histogram()
        self.document_age = Histogram()

    def count_answer(self, queue: str, outcome: str, took_ms: int) -> None:
        """Count a job that was answered.

        Args:
            queue: Queue of the job.
            outcome: How it ended.
            took_ms: Time from submission to the answer in ms.
        """
        self.answers[queue, outcome] += 1
        self.durations[queue].observe(took_ms)

    def render(self) -> bytes:
        """Return all measures in the text format of Prometheus."""
        import prometheus_client

        registry = prometheus_client.CollectorRegistry(auto_describe=False)
        registry.register(self)
        return prometheus_client.generate_latest(registry)

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yield every measure, as a collector of the exposition library does."""
        from prometheus_client import metrics_core

        answers = metrics_core.CounterMetricFamily(
            "amaranthspar_answers", "Jobs answered", labels=["queue", "outcome"]
        )
        for labels, count in self.answers.items():
            answers.add_metric(labels, count)
        yield answers
        durations = metrics_core.HistogramMetricFamily(
            "amaranthspar_answer_seconds",
            "Time from submission to the answer",
            labels=["queue"],
        )
        for queue, found in self.durations.items():
            durations.add_metric([queue], found.list_buckets(), found.total_s)
        yield durations
        yield metrics_core.GaugeMetricFamily(
            "amaranthspar_jobs_waiting", "Jobs that wait for room", self.waiting
        )
        yield metrics_core.GaugeMetricFamily(
            "amaranthspar_runs", "Runs on the upstream", self.running
        )
        histograms = (
            ("start", "Time of calls that start a run", self.starts),
            ("loop_late", "Lateness of repeated work", self.lateness),
            (
                "document_age",
                "Time from hearing of a routing document to holding it",
                self.document_age,
            ),
        )
        for name, help_text, histogram in histograms:
            family = metrics_core.HistogramMetricFamily(
                f"amaranthspar_{name}_seconds", help_text
            )
            family.add_metric([], histogram.list_buckets(), histogram.total_s)
            yield family
