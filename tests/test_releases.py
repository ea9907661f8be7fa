"""Tests of the expected releases of capacity that a sidecar reports."""

import hypothesis
import pytest
from hypothesis import strategies

from amaranthspar.scheduling import releases, resources, runevents
from amaranthspar.schema import runmessages
from tests import builders_runmanager as builders

NOW_MS = 10_000


def build_run(expected_ms=100, elapsed_ms=0, percent=0, cores=1, listed_ms=None):
    """Build a run; `listed_ms` is its age at the last list, now if missing."""
    requested_ms = NOW_MS - elapsed_ms
    listed_ms = elapsed_ms if listed_ms is None else listed_ms
    return runevents.Run(
        runmessages.RunName("t", 1),
        "gate",
        runmessages.Resources(cores * 1_000, 64, 0),
        "u@1",
        requested_ms,
        percent=percent,
        listed_ms=requested_ms + listed_ms,
        expected_ms=expected_ms,
    )


def predict_ms(run, slowness=1.0):
    return releases.predict_remaining_ms(run, slowness, NOW_MS)


def test_run_without_progress_ends_at_its_expected_end():
    assert predict_ms(build_run(1_000, 300)) == 700


def test_expected_end_follows_the_slowness_of_the_upstream():
    assert predict_ms(build_run(1_000, 300), slowness=2.0) == 1_700


def test_progress_replaces_a_wrong_expectation():
    # A run of 700 ms that was expected to take 100 ms.
    assert predict_ms(build_run(100, 70, percent=10)) == 630


def test_little_progress_shows_that_a_run_takes_longer_than_expected():
    # 1% after 80 ms may be nearly 2%: 4 s in total at least.
    assert predict_ms(build_run(100, 80, percent=1)) == 3_920


@pytest.mark.parametrize("elapsed_ms", [90, 100, 110])
def test_run_near_its_expected_end_has_time_left_while_its_progress_is_unknown(
    elapsed_ms,
):
    # Durations are off by 40%, so that a release at once would be wrong half the time.
    assert predict_ms(build_run(100, elapsed_ms)) == 20


def test_run_past_its_expected_end_has_as_much_time_left_as_it_is_overdue():
    # Counted as ending at once, a run that hangs would make a task wait for it forever.
    assert predict_ms(build_run(100, 400)) == 300


def test_run_past_its_projected_end_does_not_count_as_ending_at_once():
    # The upstream has not listed the run for 500 ms.
    assert predict_ms(build_run(100, 590, percent=90, listed_ms=90)) == 490


def test_run_without_an_expectation_is_left_out():
    runs = [build_run(0), build_run(100, cores=2)]
    (release,) = releases.predict(runs, 0, NOW_MS)
    assert release.amount.cpu_millis == 2_000


def test_releases_are_cumulative_and_soonest_first():
    runs = [build_run(300, cores=3), build_run(100), build_run(200, cores=2)]
    found = releases.predict(runs, 0, NOW_MS)
    assert [(item.after_ms, item.amount.cpu_millis) for item in found] == [
        (100, 1_000),
        (200, 3_000),
        (300, 6_000),
    ]


def test_first_ends_of_many_runs_are_stated_each_by_itself():
    # Entries that sum up several ends delay a reserved start again and again.
    found = releases.predict(
        [build_run(10 * number) for number in range(1, 17)], 0, NOW_MS
    )
    assert [(item.after_ms, item.amount.cpu_millis) for item in found] == [
        (10, 1_000),
        (20, 2_000),
        (30, 3_000),
        (40, 4_000),
    ]


RUNS = strategies.lists(
    strategies.builds(
        build_run,
        expected_ms=strategies.integers(0, 5_000),
        elapsed_ms=strategies.integers(0, 20_000),
        percent=strategies.integers(0, 99),
        cores=strategies.integers(1, 12),
    ),
    max_size=40,
)


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(RUNS, strategies.sampled_from((0, 550, 1_000, 3_000)))
def test_releases_never_exceed_what_runs_occupy_nor_end_at_once(runs, slowness):
    found = releases.predict(runs, slowness, NOW_MS)
    expected = [run for run in runs if run.expected_ms]
    assert len(found) <= releases.MAX_RELEASES
    assert bool(found) is bool(expected)
    for earlier, later in zip(found, found[1:], strict=False):
        assert earlier.after_ms <= later.after_ms
        assert resources.fits(earlier.amount, later.amount)
    if found:
        assert found[0].after_ms >= 1
        occupied = resources.total(run.needs for run in expected)
        assert resources.fits(found[-1].amount, occupied)
        if len(expected) <= releases.MAX_RELEASES:
            assert found[-1].amount == occupied


def test_report_states_the_releases_of_the_runs_of_all_orders():
    sidecar = builders.Sidecar()
    sidecar.start("a", cores=2, expected_ms=400)
    sidecar.start("b", cores=3)
    sidecar.ask(runmessages.KeepRuns(1, 2, True, [], 0), advance_ms=100)
    (release,) = sidecar.room.releases
    assert release.after_ms == 300
    assert release.amount == runmessages.Resources(2_000, 64, 0)


def test_ended_run_is_not_reported_as_a_coming_release():
    # Its capacity would count twice, as free and as released.
    sidecar = builders.Sidecar()
    sidecar.start("a", cores=2, expected_ms=400)
    sidecar.answer(runevents.Answer.ACCEPTED, "a")
    sidecar.ask(runmessages.KeepRuns(1, 1, True, [runmessages.RunName("a", 1)], 0))
    assert sidecar.room.releases
    sidecar.list(ends=[("a", 1, "done")])
    assert sidecar.room.free == builders.CAPACITY
    assert sidecar.room.releases == []


def test_prediction_is_renewed_once_it_is_old():
    sidecar = builders.Sidecar()
    sidecar.start("a", cores=2, expected_ms=400)
    found = []
    for number, advance_ms in enumerate((0, 1, releases.REFRESH_MS), 1):
        names = [runmessages.RunName("a", 1)]
        sidecar.ask(runmessages.KeepRuns(number, 1, True, names, 0), advance_ms)
        found.append(sidecar.room.releases[0].after_ms)
    assert found == [400, 400, 400 - 1 - releases.REFRESH_MS]
