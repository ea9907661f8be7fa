"""Checks of the callers' answers against the records of the stand-ins."""

from __future__ import annotations

import collections
from collections.abc import Iterable

import attrs

from amaranthspar.upstreams import standin
from benchmarks import driver, outcomes


@attrs.frozen(slots=True)
class Audit:
    """Numbers of faults, whose targets are 0, and of events that are only reported.

    Attributes:
        doubled: Tasks of jobs and of requests with a key that started more than once.
        retried: Single idempotent requests that started more than once.
        wrong: Answers with status 200 that were incomplete or for another caller.
        false_refusals: Submissions that were refused as not run although a task
            started.
        unanswered: Submissions without any answer of a gateway.
        refused: Submissions refused as not run.
        unknown: Submissions whose outcome is unknown.
        cut: Tasks whose call was closed before they ended.
    """

    doubled: int
    retried: int
    wrong: int
    false_refusals: int
    unanswered: int
    refused: int
    unknown: int
    cut: int

    def list_measures(self, place: str) -> list[outcomes.Measure]:
        """Return the numbers as measures, those of faults with the target 0.

        Args:
            place: Start of the measures' names.
        """
        return [
            outcomes.Measure(f"{place} tasks started twice", self.doubled, 0),
            outcomes.Measure(f"{place} answers wrong or partial", self.wrong, 0),
            outcomes.Measure(f"{place} false not-run", self.false_refusals, 0),
            outcomes.Measure(f"{place} requests started again", self.retried),
            outcomes.Measure(f"{place} refused as not run", self.refused),
            outcomes.Measure(f"{place} outcome unknown", self.unknown),
            outcomes.Measure(f"{place} connections lost", self.unanswered),
        ]


def check(samples: Iterable[driver.Sample], spans: Iterable[standin.Span]) -> Audit:
    """Compare answers with records.

    Args:
        samples: Answers that the callers received.
        spans: Records of the stand-ins for these callers only.
    """
    starts: collections.Counter[tuple[int, int]] = collections.Counter()
    cut = 0
    for span in spans:
        starts[span.echo[0], span.echo[1]] += 1
        cut += span.cut
    found: collections.Counter[str] = collections.Counter()
    for sample in samples:
        arrival = sample.arrival
        counts = [
            starts[arrival.number, index] for index in range(len(arrival.sleeps_ms))
        ]
        single = not arrival.is_job and not arrival.key
        again = sum(count > 1 for count in counts)
        found["retried" if single else "doubled"] += again
        found["wrong"] += sample.status == 200 and not sample.is_correct
        refused = sample.status != 0 and sample.outcome == "not-run"
        found["refused"] += refused
        found["false"] += refused and any(counts)
        found["unanswered"] += sample.status == 0
        found["unknown"] += sample.status != 0 and sample.outcome == "unknown"
    return Audit(
        found["doubled"],
        found["retried"],
        found["wrong"],
        found["false"],
        found["unanswered"],
        found["refused"],
        found["unknown"],
        cut,
    )
