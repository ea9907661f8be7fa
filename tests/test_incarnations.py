"""Tests of the decision which incarnation of its upstream a sidecar calls."""

import pytest

from amaranthspar.scheduling import incarnations, resources
from tests import builders_incarnations as builders

Claim, Verdict = incarnations.Claim, incarnations.Verdict


def test_heartbeat_is_a_claim_until_a_list_confirms_it():
    known = incarnations.Incarnations(100)
    assert known.claim(builders.build_registration(), 0) is Claim.PENDING
    assert known.current is None
    request = known.build_request()
    assert request.is_probe and request.fence > 100
    assert known.handle_list(request, "u@1") is Verdict.REPLACED
    assert known.current.incarnation == "u@1"
    assert known.build_request() == incarnations.ListRequest(
        known.current, request.fence, False
    )


def test_heartbeat_of_another_id_does_not_replace_the_upstream_that_answers():
    known = builders.build_confirmed()
    current = known.current
    assert known.claim(builders.build_registration("odd", 9), 0) is Claim.PENDING
    request = known.build_request()
    assert request.registration.id == "odd"
    assert known.handle_other_instance(request) is Verdict.REJECTED
    assert known.current == current
    assert not known.build_request().is_probe


def test_heartbeat_with_a_wrong_start_time_does_not_replace_the_upstream():
    known = builders.build_confirmed()
    for life in (0, 9):
        known.claim(builders.build_registration(life=life), 0)
        request = known.build_request()
        assert known.handle_list(request, "u@1") is Verdict.REJECTED
        assert known.current.incarnation == "u@1"
        assert known.fence == request.fence


def test_upstream_with_an_earlier_start_time_is_confirmed_by_its_list():
    # The wall clock of its host may have been set back.
    known = builders.build_confirmed()
    known.claim(builders.build_registration(life=0), 0)
    assert known.handle_list(known.build_request(), "u@0") is Verdict.REPLACED
    assert known.current.incarnation == "u@0"


def test_new_incarnation_is_asked_with_a_fence_above_all_earlier_starts():
    known = builders.build_confirmed()
    start_fence = known.fence
    known.claim(builders.build_registration(life=2), 0)
    assert known.fence == start_fence
    request = known.build_request()
    assert request.fence > start_fence
    assert known.handle_list(request, "u@2") is Verdict.REPLACED
    assert known.fence == request.fence


def test_list_of_an_unknown_incarnation_is_asked_again_with_a_higher_fence():
    known = builders.build_confirmed()
    request = known.build_request()
    assert known.handle_list(request, "u@2") is Verdict.INCONCLUSIVE
    assert known.current.incarnation == "u@1"
    probe = known.build_request()
    assert probe.is_probe and probe.fence > request.fence
    assert known.handle_list(probe, "u@2") is Verdict.REPLACED
    status = known.current.status
    assert status.is_leaving and status.capacity == resources.NONE
    assert known.claim(builders.build_registration(life=2), 0) is Claim.UPDATED
    assert not known.current.status.is_leaving


def test_list_proves_nothing_once_the_fence_was_raised_above_its_request():
    known = builders.build_confirmed()
    used = known.fence
    known.claim(builders.build_registration(life=2), 0)
    request = known.build_request()
    assert known.raise_fence(used)
    assert known.handle_list(request, "u@2") is Verdict.INCONCLUSIVE
    assert known.current.incarnation == "u@1"
    probe = known.build_request()
    if not probe.is_probe:
        known.handle_list(probe, "u@2")
        probe = known.build_request()
    assert probe.is_probe and probe.fence > known.fence
    assert known.handle_list(probe, "u@2") is Verdict.REPLACED


def test_fence_is_raised_once_for_calls_that_were_rejected_together():
    known = builders.build_confirmed()
    used = known.fence
    assert known.raise_fence(used)
    fence = known.fence
    assert not known.raise_fence(used)
    assert known.fence == fence


def test_unanswered_probe_alternates_with_renewals():
    known = builders.build_confirmed()
    known.claim(builders.build_registration("v"), 0)
    kinds = [known.build_request().is_probe for _ in range(4)]
    assert kinds == [True, False, True, False]


def test_claim_is_examined_before_the_next_one_counts():
    known = builders.build_confirmed()
    assert known.claim(builders.build_registration("v"), 0) is Claim.PENDING
    assert known.claim(builders.build_registration("odd"), 0) is Claim.IGNORED
    assert known.build_request().registration.id == "v"
    # The probe stays unanswered, so another claim may be examined.
    assert known.claim(builders.build_registration("odd"), 0) is Claim.PENDING


def test_upstream_has_ended_once_another_id_answers_in_its_place():
    known = builders.build_confirmed()
    assert known.handle_other_instance(known.build_request()) is Verdict.ENDED
    assert known.current is None
    assert known.build_request() is None
    known.claim(builders.build_registration("v"), 0)
    assert known.handle_list(known.build_request(), "v@1") is Verdict.REPLACED


def test_late_heartbeat_that_the_upstream_drains_counts():
    known = builders.build_confirmed(sequence=9)
    late = builders.build_registration(sequence=4, is_leaving=True)
    assert known.claim(late, 0) is Claim.UPDATED
    assert known.current.status.is_leaving
    assert known.current.sequence == 9


def test_odd_sequence_does_not_hide_the_later_heartbeats_of_the_upstream():
    known = builders.build_confirmed(sequence=2**53, is_leaving=True)
    spacing_ms = incarnations.LATE_SPACING_MS
    last = incarnations.MAX_LATE_HEARTBEATS
    for number in range(1, last):
        late = builders.build_registration(sequence=number)
        assert known.claim(late, number * spacing_ms) is Claim.IGNORED
    own = builders.build_registration(sequence=last)
    assert known.claim(own, last * spacing_ms) is Claim.UPDATED
    assert known.current == own


def test_heartbeats_that_a_partition_held_up_do_not_replace_a_newer_one():
    known = builders.build_confirmed(sequence=9, is_leaving=True)
    for number in range(1, 9):
        late = builders.build_registration(sequence=number)
        assert known.claim(late, number) is Claim.IGNORED
    assert known.current.status.is_leaving


@pytest.mark.parametrize("is_pending", [False, True])
def test_late_heartbeat_of_the_same_incarnation_is_ignored(is_pending):
    known = incarnations.Incarnations(100)
    known.claim(builders.build_registration(sequence=5, is_leaving=True), 0)
    if not is_pending:
        known.handle_list(known.build_request(), "u@1")
    late = builders.build_registration(sequence=4)
    assert known.claim(late, 0) is Claim.IGNORED


def test_status_received_while_a_probe_is_under_way_is_kept():
    known = incarnations.Incarnations(100)
    known.claim(builders.build_registration(sequence=1), 0)
    request = known.build_request()
    known.claim(builders.build_registration(sequence=2, is_leaving=True), 0)
    known.handle_list(request, "u@1")
    assert known.current.sequence == 2


def test_deregistered_upstream_takes_no_runs_until_it_says_otherwise():
    known = builders.build_confirmed()
    assert known.mark_leaving("another") is None
    assert known.mark_leaving("u").is_leaving
    assert known.current.status.is_leaving
    assert known.claim(builders.build_registration(sequence=2), 0) is Claim.UPDATED
    assert not known.current.status.is_leaving
