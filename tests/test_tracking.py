"""Tests of the tracking of results, lost messages and lost sidecars."""

import collections
import random

import pytest

from amaranthspar.dispatch import routing, submissions, tracking
from amaranthspar.membership import leaseholder
from amaranthspar.schema import messages
from tests import builders_dispatch

NOW_MS = 10_000


@pytest.fixture
def tracker() -> tracking.TaskTracker:
    member = messages.Member("g1", "gateway", 1, "g1", 0)
    holder = leaseholder.LeaseHolder(member, ["c"], NOW_MS, random.Random(1))
    controllers = builders_dispatch.ControllerModel(builders_dispatch.build_text())
    renewal = holder.tick(NOW_MS)[0].message
    holder.handle(controllers.handle(renewal, NOW_MS), NOW_MS)
    return tracking.TaskTracker(holder, collections.Counter())


@pytest.fixture
def route() -> routing.Route:
    return routing.Route(builders_dispatch.build_sidecar_member("s1", 7))


def build_submission(service="lookup", count=1) -> submissions.Submission:
    tasks = [submissions.Task(index, b"{}") for index in range(count)]
    names = ("r1", service, "field", "team", "caller", "")
    return submissions.Submission(*names, False, "json", 0, 99_000, tasks)


def send(tracker, route, submission):
    route.sequence += 1
    tracker.note_start(route, NOW_MS)
    for task in submission.tasks:
        task.state = submissions.TaskState.SENT
        task.sequence = route.sequence
        task.attempts += 1
        route.in_flight[submission.name, task.index] = task


def build_result(outcome="done", start=1, body=b"whole", index=0):
    digest = tracking.digest_body(body)
    return messages.TaskResult(
        "r1", index, outcome, body=body, digest=digest, start=start
    )


def test_late_not_run_result_does_not_end_a_task_sent_again(tracker, route):
    submission = build_submission()
    send(tracker, route, submission)
    refusal = messages.TaskResult("r1", 0, "not-run", start=1)
    assert tracker.accept_report(route, messages.ReportResults(1, 1, [refusal], 8))
    send(tracker, route, submission)
    assert not tracker.accept_report(route, messages.ReportResults(1, 2, [refusal], 8))
    assert list(route.in_flight) == [("r1", 0)]


def test_damaged_result_is_not_acknowledged_until_sent_again(tracker, route):
    send(tracker, route, build_submission(count=2))
    good = build_result()
    bad = messages.TaskResult("r1", 1, "done", body=b"x", digest=good.digest, start=1)
    taken = tracker.accept_report(route, messages.ReportResults(1, 1, [good, bad], 8))
    assert [accepted.result for accepted in taken] == [good]
    assert (route.acknowledged, tracker.counts["results.damaged"]) == (1, 1)
    again = [good, build_result(index=1)]
    assert tracker.accept_report(route, messages.ReportResults(1, 1, again, 8))
    assert route.acknowledged == 2


def test_removed_body_is_detected_as_damage():
    assert tracking.is_intact(messages.TaskResult("r1", 0, "not-run"))
    digest = tracking.digest_body(b"whole")
    assert not tracking.is_intact(messages.TaskResult("r1", 0, "done", digest=digest))


def test_gap_in_results_is_not_acknowledged(tracker, route):
    send(tracker, route, build_submission(count=2))
    tracker.accept_report(route, messages.ReportResults(1, 2, [build_result()], 8))
    assert route.acknowledged == 0


def test_dropped_results_leave_no_gap(tracker, route):
    send(tracker, route, build_submission())
    report = messages.ReportResults(1, 5, [build_result()], 8, dropped=4)
    tracker.accept_report(route, report)
    assert route.acknowledged == 5


def test_unconfirmed_start_causes_an_inquiry(tracker, route):
    send(tracker, route, build_submission())
    assert not tracker.inquire(route, NOW_MS + tracking.CONFIRM_TIMEOUT_MS - 1)
    inquiry = tracker.inquire(route, NOW_MS + tracking.CONFIRM_TIMEOUT_MS)[0].message
    assert inquiry.tasks == [messages.TaskReference("r1", 0, 1)]
    tracker.note_confirmed(route, 1, NOW_MS)
    assert not tracker.inquire(route, NOW_MS + 9 * tracking.CONFIRM_TIMEOUT_MS)


@pytest.mark.parametrize("service", ["lookup", "hold"])
def test_task_of_a_lost_sidecar_is_never_answered_not_run(tracker, route, service):
    submission = build_submission(service)
    send(tracker, route, submission)
    resolution = tracker.resolve_lost(route, {"r1": submission})[0]
    assert isinstance(resolution, tracking.Retry) == (service == "lookup")
    submission.tasks[0].state = submissions.TaskState.QUEUED
    if isinstance(resolution, tracking.Lost):
        submission.end_task(resolution.task, resolution.result)
    assert submission.fail("deadline passed").outcome == submissions.UNKNOWN
    assert not route.in_flight
