"""Tests of the exhaustive search of a bounded model with three replicas."""

import pytest

from amaranthspar.consensus import replicas
from tools import explore


@pytest.mark.parametrize(
    ("bounds", "commits"),
    [
        (explore.Bounds(timeouts=1, proposals=1, crashes=0), 3),
        (explore.Bounds(timeouts=1, proposals=0, crashes=1), 2),
    ],
)
def test_full_search_finds_no_violation(bounds, commits):
    report = explore.explore(bounds, 1_000_000, reduced=False)
    assert report.complete
    assert report.states > 3_000
    assert (report.leaders, report.commits) == (1, commits)
    reduced = explore.explore(bounds, 1_000_000)
    assert reduced.complete
    assert reduced.states < report.states / 3
    assert (reduced.leaders, reduced.commits) == (1, commits)


def test_search_with_two_elections_finds_no_violation():
    bounds = explore.Bounds(timeouts=2, proposals=0, crashes=0)
    report = explore.explore(bounds, 60_000)
    assert report.complete
    assert report.leaders == 2


@pytest.mark.parametrize("reduced", [False, True])
def test_search_detects_an_election_without_a_majority(monkeypatch, reduced):
    monkeypatch.setattr(replicas, "is_elected", lambda members, votes, formed: True)
    with pytest.raises(explore.Violation):
        bounds = explore.Bounds(timeouts=2, proposals=0, crashes=0)
        explore.explore(bounds, 60_000, reduced)
