"""Counters, gauges and latency histograms that a process exposes to Prometheus.

The Prometheus library is imported only when the metrics are first read: its import
takes longer than a sidecar takes to register its upstream, and the metrics of most
processes are never read.
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
"""Upper bounds of the histogram buckets in s.

They reach from the time of a call on one host to the time that a caller waits.
"""


@attrs.define(slots=True)
class Histogram:
    """Histogram of durations.

    Attributes:
        counts: Count of durations in each bucket; the last has no upper bound.
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
        """Return each upper bound as text with the cumulative count up to it."""
        bounds = [*(str(float(bound)) for bound in BUCKETS_S), "+Inf"]
        counts = itertools.accumulate(self.counts)
        return [
            (bound, float(count)) for bound, count in zip(bounds, counts, strict=True)
        ]


class Meters:
    """Prometheus metrics of one process.

    Attributes:
        answers: Count of answered jobs, by queue and outcome.
        durations: Time from submission to the answer, by queue.
        waiting: Jobs that wait for capacity.
        reserved: Sidecars reserved for waiting jobs in the last placement pass.
        gap_starts: Count of starts sent to sidecars reserved for other jobs.
        running: Runs on the upstream.
        starts: Duration of calls that start a run.
        lateness: Delay of periodic work after its due time.
        document_age: Time from the first notice of a newer routing document until
            the process has received it.
        document_version: Version of the routing document held; -1 for none.
        silence_ms: Time since the last answer of any controller in ms.
        dropped_clients: Count of connections of clients that were dropped, by reason.
        client_connections: Open connections of clients.
        client_bytes: Bytes of requests that are being read or handled.
        placements: Count of decisions by expected end: tasks that began to wait for a
            better sidecar (`held`), or started on a slow upstream (`slow`) or away from
            the rack of their data (`away`).
        slowness: Measured over expected duration of the runs on the upstream; 0 if it
            is unknown.
    """

    def __init__(self) -> None:
        self.answers: collections.Counter[tuple[str, str]] = collections.Counter()
        self.durations: collections.defaultdict[str, Histogram]
        self.durations = collections.defaultdict(Histogram)
        self.waiting = 0
        self.reserved = 0
        self.gap_starts = 0
        self.running = 0
        self.starts = Histogram()
        self.lateness = Histogram()
        self.document_age = Histogram()
        self.document_version = -1
        self.silence_ms = 0
        self.dropped_clients: collections.Counter[str] = collections.Counter()
        self.client_connections = 0
        self.client_bytes = 0
        self.placements: collections.Counter[str] = collections.Counter()
        self.slowness = 0.0

    def count_answer(self, queue: str, outcome: str, duration_ms: int) -> None:
        """Count an answered job and its duration.

        Args:
            queue: Queue of the job.
            outcome: Outcome of the job.
            duration_ms: Time from submission to the answer in ms.
        """
        self.answers[queue, outcome] += 1
        self.durations[queue].observe(duration_ms)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        import prometheus_client

        registry = prometheus_client.CollectorRegistry(auto_describe=False)
        registry.register(self)
        return prometheus_client.generate_latest(registry)

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yield all metrics; the Prometheus library calls this method."""
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
        for queue, observed in self.durations.items():
            durations.add_metric([queue], observed.list_buckets(), observed.total_s)
        yield durations
        yield metrics_core.GaugeMetricFamily(
            "amaranthspar_jobs_waiting", "Jobs that wait for room", self.waiting
        )
        yield metrics_core.GaugeMetricFamily(
            "amaranthspar_sidecars_reserved",
            "Sidecars reserved for waiting jobs",
            self.reserved,
        )
        yield metrics_core.CounterMetricFamily(
            "amaranthspar_gap_starts",
            "Starts sent to sidecars reserved for other jobs",
            self.gap_starts,
        )
        yield metrics_core.GaugeMetricFamily(
            "amaranthspar_runs", "Runs on the upstream", self.running
        )
        placements = metrics_core.CounterMetricFamily(
            "amaranthspar_placements", "Choices by expected end", labels=["choice"]
        )
        for choice, count in self.placements.items():
            placements.add_metric([choice], count)
        yield placements
        yield metrics_core.GaugeMetricFamily(
            "amaranthspar_slowness",
            "Measured over expected duration on the upstream",
            self.slowness,
        )
        yield metrics_core.GaugeMetricFamily(
            "amaranthspar_document_version",
            "Version of the routing document held",
            self.document_version,
        )
        yield metrics_core.GaugeMetricFamily(
            "amaranthspar_controllers_silent_seconds",
            "Time since the last answer of any controller",
            self.silence_ms / 1000,
        )
        dropped = metrics_core.CounterMetricFamily(
            "amaranthspar_clients_dropped",
            "Connections of clients that were dropped",
            labels=["reason"],
        )
        for reason, count in self.dropped_clients.items():
            dropped.add_metric([reason], count)
        yield dropped
        yield metrics_core.GaugeMetricFamily(
            "amaranthspar_client_connections",
            "Open connections of clients",
            self.client_connections,
        )
        yield metrics_core.GaugeMetricFamily(
            "amaranthspar_client_bytes",
            "Bytes of requests that are being read or handled",
            self.client_bytes,
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
