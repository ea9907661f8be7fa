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
    waiting = backlog.Backlog(holder)
    routes = {"s1": builders_gateway.build_route(limit=4)}
    index = capacity.CapacityIndex("gyor")
    index.rebuild(routes.values(), routes.values())
    return holder, waiting, admission.Admission(holder, waiting, routes, index)


def queue(waiting, submission, cost_ms=100.0):
    for task in submission.tasks:
        needs = routing.Needs(submission.service, "main")
        waiting.push(POOL, backlog.Waiting(submission, task, needs, cost_ms))


@pytest.mark.parametrize(
    ("change", "failure", "advises"),
    [
        ({"cores": 99}, Failure.INFEASIBLE, False),
        ({"count": 101}, Failure.QUEUE_FULL, False),
        ({"deadline_ms": 0}, Failure.OVERDUE, False),
        ({"service": "removed"}, Failure.INFEASIBLE, False),
    ],
)
def test_refusal_names_its_kind(change, failure, advises):
    _, _, judge = build()
    answer = judge.judge(builders_gateway.build_submission(**change), 1)
    assert answer.failure is failure
    assert answer.outcome == submissions.NOT_RUN
    assert bool(answer.retry_after_ms) == advises


def test_service_without_upstream_is_unavailable_for_now():
    holder, waiting, _ = build()
    judge = admission.Admission(holder, waiting, {}, capacity.CapacityIndex("gyor"))
    answer = judge.judge(builders_gateway.build_submission(), 1)
    assert answer.failure is Failure.UNAVAILABLE
    assert answer.retry_after_ms


def test_team_over_its_quota_is_refused_while_another_is_admitted():
    _, waiting, judge = build(max_queued=3)
    queue(waiting, builders_gateway.build_submission("j", "recalculate", 3))
    answer = judge.judge(builders_gateway.build_submission(), 1)
    assert answer.failure is Failure.QUOTA
    assert answer.retry_after_ms
    assert judge.judge(builders_gateway.build_submission(team="office"), 1) is None


def test_wait_beyond_the_deadline_is_refused_early():
    _, waiting, judge = build()
    queue(waiting, builders_gateway.build_submission("r0", count=80), 1000.0)
    judge.measure_slots()
    late = judge.judge(builders_gateway.build_submission(deadline_ms=10_000), 1)
    assert late.failure is Failure.TOO_LATE
    assert 10_000 <= late.retry_after_ms <= 10_100
    assert judge.judge(builders_gateway.build_submission(deadline_ms=30_000), 1) is None


def test_job_in_the_queue_does_not_refuse_a_lookup():
    _, waiting, judge = build()
    queue(waiting, builders_gateway.build_submission("j", "recalculate", 99), 5000.0)
    judge.measure_slots()
    assert judge.judge(builders_gateway.build_submission(deadline_ms=100), 1) is None


def test_team_runs_no_more_tasks_than_its_quota():
    holder, waiting, _ = build(max_running=2)
    limits = quotas.Quotas(holder, waiting)
    queue(waiting, builders_gateway.build_submission("j", "recalculate", 4))
    for _ in range(2):
        assert waiting.pop(POOL) is not None
        limits.start("field")
    assert waiting.pop(POOL) is None
    limits.end("field")
    assert waiting.pop(POOL) is not None


def serve_pools(*places, count=400):
    """Serve the pool that comes first; return how often each submission was served."""
    _, waiting, _ = build()
    shape = capacity.Shape(("recalculate",), "main", 1, 1, 0)
    pools = {"one": POOL, "two": frozenset({shape})}
    for name, team, pool in places:
        submission = builders_gateway.build_submission(name, "recalculate", 400, team)
        for task in submission.tasks:
            needs = routing.Needs("recalculate", "main")
            waiting.push(pools[pool], backlog.Waiting(submission, task, needs, 10.0))
    served = collections.Counter()
    for _ in range(count):
        found = waiting.pop(waiting.list_pools()[0])
        served[found.submission.name] += 1
    return served


def test_pools_share_by_the_weights_of_the_teams_that_wait_in_them():
    served = serve_pools(("light", "field", "one"), ("heavy", "office", "two"))
    assert abs(served["heavy"] - 300) <= 2


def test_team_that_waits_in_two_pools_counts_by_half_in_each():
    places = [("a", "field", "one"), ("b", "field", "two"), ("c", "sales", "two")]
    served = serve_pools(*places, count=300)
    assert abs(served["a"] - 75) <= 2


def test_cancelled_submission_leaves_nothing_behind():
    _, waiting, _ = build()
    submission = builders_gateway.build_submission("j", "recalculate", 50)
    queue(waiting, submission)
    waiting.drop(submission)
    assert (len(waiting), waiting.list_pools(), waiting.count_team("field")) == (
        0,
        [],
        0,
    )


def test_retries_spend_a_budget_and_spare_what_must_not_run_twice():
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
