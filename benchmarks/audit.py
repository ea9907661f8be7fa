"""Checks of the callers' answers against the stand-ins' own records."""

from __future__ import annotations

import collections
from collections.abc import Iterable

import attrs

from amaranthspar.upstreams import standin
from benchmarks import driver, outcomes


@attrs.frozen(slots=True)
class Audit:
    """Faults found, each to be 0, and what is only told.

    Attributes:
        doubled: Tasks of jobs and of keyed requests that started twice or more.
        retried: Single idempotent requests that started twice or more.
        wrong: Answers with status 200 that were not whole or not the caller's.
        false_refusals: Submissions refused as not run of which a task started.
        unanswered: Submissions without any answer of a gateway.
        refused: Submissions refused as not run.
        unknown: Submissions with the outcome unknown.
        cut: Tasks whose call went away before they ended.
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
        """Return the faults as measures with the target 0."""
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
        samples: What the callers saw.
        spans: What the stand-ins recorded, of these callers alone.
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
        found["wrong"] += sample.status == 200 and not sample.own
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
