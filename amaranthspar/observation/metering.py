"""Counters and latency histograms that a process exposes as text."""

import prometheus_client

BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20)
"""Bounds of the histograms in s: from a call on one host to a caller's patience."""


class Meters:
    """Measures of one process.

    Attributes:
        answers: Jobs answered, by queue and outcome.
        durations: Time from submission to the answer, by queue.
        waiting: Jobs that wait for room.
        running: Runs on the upstream.
        starts: Time of calls that start a run.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.answers = prometheus_client.Counter(
            "amaranthspar_answers",
            "Jobs answered",
            ["queue", "outcome"],
            registry=self.registry,
        )
        self.durations = prometheus_client.Histogram(
            "amaranthspar_answer_seconds",
            "Time from submission to the answer",
            ["queue"],
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self.waiting = prometheus_client.Gauge(
            "amaranthspar_jobs_waiting",
            "Jobs that wait for room",
            registry=self.registry,
        )
        self.running = prometheus_client.Gauge(
            "amaranthspar_runs", "Runs on the upstream", registry=self.registry
        )
        self.starts = prometheus_client.Histogram(
            "amaranthspar_start_seconds",
            "Time of calls that start a run",
            buckets=BUCKETS_S,
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return all measures in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)
