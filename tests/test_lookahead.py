"""Replays of loads that look-ahead placement addresses, in virtual time."""

import hypothesis
from hypothesis import strategies

from amaranthspar.scheduling import placement, releases
from benchmarks import lookahead
from tests import builders_lookahead as builders

PATIENT_MS = builders.PATIENT_MS
PHASES = (hypothesis.Phase.explicit, hypothesis.Phase.generate)
"""An example takes up to 0.2 s, so that shrinking one would take many minutes."""
MESSAGES_MS = 60
"""Time for reports, orders and calls on the way from an end to the next start."""


def disable(monkeypatch):
    """Let sidecars report no releases, as those of the previous build."""
    monkeypatch.setattr(releases, "predict", lambda *_: [])


def run_gap(gateways=1):
    """Four runs leave a quarter of an upstream; a wide job waits for their end."""
    site = builders.Site(gateways)
    for number in range(4):
        site.submit_at(0, f"long{number}", 12, 1_500)
    site.submit_at(100, "wide", 32, 500, target_ms=5_000)
    for number in range(10):
        site.submit_at(
            200 + 100 * number,
            f"small{number}",
            8,
            80,
            target_ms=PATIENT_MS,
            gateway=number % gateways,
        )
    site.run_until(4_000)
    small = [site.jobs[f"small{number}"] for number in range(10)]
    return site.jobs["wide"], small


def test_small_jobs_run_in_the_gap_beside_a_wide_one_that_waits():
    wide, small = run_gap()
    assert max(job.wait_ms for job in small) <= MESSAGES_MS
    assert wide.wait_ms <= 1_400 + MESSAGES_MS


def test_gap_idles_without_reported_releases(monkeypatch):
    # The replay above fails without look-ahead; with it, the wide job starts no later.
    disable(monkeypatch)
    wide, small = run_gap()
    assert max(job.wait_ms for job in small) > 500
    assert wide.wait_ms <= 1_400 + MESSAGES_MS


def run_late_end():
    """A wide job waits, and small ones use what ends, until long after its turn.

    The upstream with most free cores holds a run that takes thirty times as long as
    expected; on the other one, a run ends every 100 ms.
    """
    site = builders.Site(sidecars=2)
    site.submit_at(0, "late", 40, 6_000, declared_ms=200, target_ms=5_000)
    site.submit_at(5, "filler", 60, 100, target_ms=5_000)
    for number in range(7):
        site.submit_at(150, f"other{number}", 8, 300 + 100 * number, target_ms=5_000)
    site.submit_at(170, "wide", 40, 200, target_ms=5_000)
    for number in range(150):
        name = f"small{number}"
        site.submit_at(200 + 20 * number, name, 8, 400, target_ms=PATIENT_MS)
    site.run_until(6_000)
    return site.jobs["wide"]


def test_upstream_that_ends_late_does_not_keep_a_wide_job():
    assert run_late_end().wait_ms <= 1_000


def test_upstream_that_ends_late_keeps_a_wide_job_without_releases(monkeypatch):
    # The replay above fails without look-ahead.
    disable(monkeypatch)
    assert run_late_end().wait_ms > 2_000


def run_stream(duration_ms=100):
    """Small jobs fill an upstream for two seconds; a wide one arrives among them."""
    site = builders.Site()
    for number in range(200):
        site.submit_at(10 * number, f"small{number}", 8, duration_ms, target_ms=19_000)
    site.submit_at(200, "wide", 40, 200, target_ms=1_000)
    site.run_until(6_000)
    return site.jobs["wide"]


def test_wide_job_starts_while_small_ones_keep_arriving():
    assert run_stream().wait_ms <= 300


def test_wide_job_waits_for_the_last_small_one_under_plain_best_fit(monkeypatch):
    # Without a reservation, each gap goes to the small job that fits it.
    monkeypatch.setattr(placement.Pass, "reserve", lambda *_: True)
    assert run_stream().wait_ms > 1_500


def test_two_gateways_that_reserve_one_gap_both_start_their_wide_jobs():
    site = builders.Site(gateways=2)
    for number in range(4):
        site.submit_at(0, f"long{number}", 12, 800, gateway=number % 2)
    for number in range(2):
        site.submit_at(100, f"wide{number}", 40, 200, target_ms=5_000, gateway=number)
        for index in range(5):
            name = f"small{number}{index}"
            at_ms = 150 + 100 * index
            site.submit_at(at_ms, name, 8, 60, target_ms=PATIENT_MS, gateway=number)
    site.run_until(3_000)
    assert {job.outcome for job in site.jobs.values()} == {"completed"}
    waits_ms = sorted(site.jobs[f"wide{number}"].wait_ms for number in range(2))
    assert waits_ms[0] <= 700 + MESSAGES_MS
    assert waits_ms[1] <= 700 + 200 + 3 * MESSAGES_MS
    for number in range(2):
        for index in range(5):
            assert site.jobs[f"small{number}{index}"].wait_ms <= 200 + MESSAGES_MS


def test_every_job_ends_and_the_largest_are_served_with_all_sizes_at_once():
    (load,) = [item for item in lookahead.LOADS if item.name == "one gateway"]
    replay = lookahead.Replay(load)
    figures = replay.replay()
    assert not [key for key in replay.results.counts if key[1] == "unanswered"]
    largest = figures.measure_served_share(figures.list_largest())
    assert largest >= figures.measure_served_share(list(figures.jobs)) / 2


AHEAD = strategies.lists(
    strategies.tuples(strategies.integers(4, 20), strategies.integers(300, 1_500)),
    min_size=3,
    max_size=5,
)
BEHIND = strategies.lists(
    strategies.tuples(
        strategies.integers(150, 1_500),
        strategies.integers(1, 16),
        strategies.integers(20, 800),
    ),
    min_size=5,
    max_size=25,
)


def start_wide(ahead, behind, cores, error=1.0):
    """Return when a wide job starts that waits for some runs, before other jobs.

    Args:
        ahead: Cores and duration in ms of each run that it waits for.
        behind: Time of arrival, cores and duration of jobs behind it in the order.
        cores: Cores that the wide job needs.
        error: Actual over declared duration of the jobs behind it.
    """
    site = builders.Site()
    for number, (run_cores, duration_ms) in enumerate(ahead):
        site.submit_at(0, f"ahead{number}", run_cores, duration_ms, target_ms=5_000)
    site.submit_at(100, "wide", cores, 200, target_ms=5_000)
    for number, (at_ms, run_cores, duration_ms) in enumerate(behind):
        site.submit_at(
            at_ms,
            f"behind{number}",
            run_cores,
            round(duration_ms * error),
            declared_ms=duration_ms,
            target_ms=PATIENT_MS,
        )
    site.run_until(12_000)
    assert {job.outcome for job in site.jobs.values()} == {"completed"}
    return site.jobs["wide"].wait_ms


@hypothesis.settings(max_examples=20, deadline=None, derandomize=True, phases=PHASES)
@hypothesis.given(AHEAD, BEHIND, strategies.integers(45, 64))
def test_jobs_behind_a_reservation_do_not_delay_it(ahead, behind, cores):
    alone_ms = start_wide(ahead, [], cores)
    assert start_wide(ahead, behind, cores) <= alone_ms + MESSAGES_MS


@hypothesis.settings(max_examples=20, deadline=None, derandomize=True, phases=PHASES)
@hypothesis.given(AHEAD, BEHIND, strategies.integers(45, 64))
def test_usual_error_of_durations_is_within_the_margin(ahead, behind, cores):
    alone_ms = start_wide(ahead, [], cores)
    delayed_ms = start_wide(ahead, behind, cores, error=placement.BACKFILL_MARGIN)
    assert delayed_ms <= alone_ms + MESSAGES_MS


@hypothesis.settings(max_examples=15, deadline=None, derandomize=True, phases=PHASES)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(1, 16), strategies.integers(20, 400)),
        min_size=1,
        max_size=6,
    ),
    strategies.integers(20, 64),
)
def test_wait_of_a_wide_job_in_an_endless_stream_is_bounded(sizes, cores):
    site = builders.Site()
    for number in range(300):
        small, duration_ms = sizes[number % len(sizes)]
        site.submit_at(
            10 * number, f"small{number}", small, duration_ms, target_ms=PATIENT_MS
        )
    site.submit_at(500, "wide", cores, 200, target_ms=1_000)
    site.run_until(4_000)
    longest_ms = max(duration_ms for _, duration_ms in sizes)
    assert site.jobs["wide"].wait_ms <= 2 * longest_ms + MESSAGES_MS
