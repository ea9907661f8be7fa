"""Tests of admission, quotas and retries."""

import collections

import pytest

from amaranthspar.dispatch import (
    admission,
    backlog,
    capacity,
    quotas,
    retries,
    routing,
    submissions,
)
from tests import builders_gateway

POOL = frozenset()
Failure = submissions.Failure


def build(**team):
    holder = builders_gateway.build_holder(builders_gateway.build_sidecar(), **team)
    pending = backlog.Backlog(holder)
    routes = {"s1": builders_gateway.build_route(limit=4)}
    index = capacity.CapacityIndex("gyor")
    index.rebuild(routes.values(), routes.values())
    return holder, pending, admission.Admission(holder, pending, routes, index)


def queue(pending, submission, cost_ms=100.0):
    for task in submission.tasks:
        needs = routing.Needs(submission.service, "main")
        pending.push(POOL, backlog.QueuedTask(submission, task, needs, cost_ms))


@pytest.mark.parametrize(
    ("change", "failure", "advises"),
    [
        ({"cores": 99}, Failure.INFEASIBLE, False),
        ({"count": 101}, Failure.QUEUE_FULL, False),
        ({"deadline_ms": 0}, Failure.OVERDUE, False),
        ({"service": "removed"}, Failure.INFEASIBLE, False),
    ],
)
def test_rejection_states_its_kind(change, failure, advises):
    _, _, checker = build()
    answer = checker.check(builders_gateway.build_submission(**change), 1)
    assert answer.failure is failure
    assert answer.outcome == submissions.NOT_RUN
    assert bool(answer.retry_after_ms) == advises


def test_service_without_upstream_is_rejected_as_unavailable():
    holder, pending, _ = build()
    checker = admission.Admission(holder, pending, {}, capacity.CapacityIndex("gyor"))
    answer = checker.check(builders_gateway.build_submission(), 1)
    assert answer.failure is Failure.UNAVAILABLE
    assert answer.retry_after_ms


def test_team_over_its_quota_is_rejected_while_another_is_admitted():
    _, pending, checker = build(max_queued=3)
    queue(pending, builders_gateway.build_submission("j", "recalculate", 3))
    answer = checker.check(builders_gateway.build_submission(), 1)
    assert answer.failure is Failure.QUOTA
    assert answer.retry_after_ms
    assert checker.check(builders_gateway.build_submission(team="office"), 1) is None


def test_expected_wait_beyond_the_deadline_is_rejected():
    _, pending, checker = build()
    queue(pending, builders_gateway.build_submission("r0", count=80), 1000.0)
    checker.update_slots()
    late = checker.check(builders_gateway.build_submission(deadline_ms=10_000), 1)
    assert late.failure is Failure.TOO_LATE
    assert 10_000 <= late.retry_after_ms <= 10_100
    assert (
        checker.check(builders_gateway.build_submission(deadline_ms=30_000), 1) is None
    )


def test_queued_job_does_not_cause_rejection_of_a_request():
    _, pending, checker = build()
    queue(pending, builders_gateway.build_submission("j", "recalculate", 99), 5000.0)
    checker.update_slots()
    assert checker.check(builders_gateway.build_submission(deadline_ms=100), 1) is None


def test_team_runs_no_more_tasks_than_its_quota():
    holder, pending, _ = build(max_running=2)
    limits = quotas.Quotas(holder, pending)
    queue(pending, builders_gateway.build_submission("j", "recalculate", 4))
    for _ in range(2):
        assert pending.pop(POOL) is not None
        limits.start("field")
    assert pending.pop(POOL) is None
    limits.end("field")
    assert pending.pop(POOL) is not None


def serve_pools(*places, count=400):
    """Serve the first pool repeatedly and count the tasks of each submission."""
    _, pending, _ = build()
    shape = capacity.Shape(("recalculate",), "main", 1, 1, 0)
    pools = {"one": POOL, "two": frozenset({shape})}
    for name, team, pool in places:
        submission = builders_gateway.build_submission(name, "recalculate", 400, team)
        for task in submission.tasks:
            needs = routing.Needs("recalculate", "main")
            pending.push(pools[pool], backlog.QueuedTask(submission, task, needs, 10.0))
    served = collections.Counter()
    for _ in range(count):
        found = pending.pop(pending.list_pools()[0])
        served[found.submission.name] += 1
    return served


def test_pools_share_by_the_weights_of_their_waiting_teams():
    served = serve_pools(("light", "field", "one"), ("heavy", "office", "two"))
    assert abs(served["heavy"] - 300) <= 2


def test_team_waiting_in_two_pools_counts_half_in_each():
    places = [("a", "field", "one"), ("b", "field", "two"), ("c", "sales", "two")]
    served = serve_pools(*places, count=300)
    assert abs(served["a"] - 75) <= 2


def test_dropped_submission_leaves_no_tasks_queued():
    _, pending, _ = build()
    submission = builders_gateway.build_submission("j", "recalculate", 50)
    queue(pending, submission)
    pending.drop(submission)
    assert (len(pending), pending.list_pools(), pending.count_team("field")) == (
        0,
        [],
        0,
    )


def test_retries_are_limited_by_a_budget_and_to_idempotent_requests():
    holder, _, _ = build()
    budget = retries.RetryBudget(holder)
    request = builders_gateway.build_submission()
    task = request.tasks[0]
    task.attempts = 1
    allowed = [budget.spend(request, task) for _ in range(12)]
    assert allowed == [True] * 10 + [False] * 2
    for _ in range(11):
        budget.earn(request)
    assert budget.spend(request, task)
    for service in ("hold", "recalculate"):
        assert not budget.spend(
            builders_gateway.build_submission(service=service), task
        )
    task.attempts = 2
    assert not budget.spend(request, task)
