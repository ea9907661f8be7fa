"""Replays of loads that look-ahead placement addresses, in virtual time."""

from amaranthspar.scheduling import placement, releases
from benchmarks import lookahead
from tests import builders_lookahead as builders

PATIENT_MS = builders.PATIENT_MS
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
