"""Tests of the choice of sidecars for retries and slow services."""

import attrs

from amaranthspar.dispatch import backlog, capacity, routing, steering
from tests import builders_gateway

NEEDS = routing.Needs("lookup", "main")


def build_routes():
    places = {
        "s1": ("gyor", "r1"),
        "s2": ("gyor", "r1"),
        "s3": ("gyor", "r2"),
        "s4": ("pecs", "r3"),
    }
    routes = {}
    for name, (domain, rack) in places.items():
        route = builders_gateway.build_route(name, domain)
        announcement = attrs.evolve(route.announcement, rack=rack)
        route.member = attrs.evolve(route.member, announcement=announcement)
        routes[name] = route
    return routes


def choose(routes, failed="", first="s1", now_ms=0):
    index = capacity.CapacityIndex("gyor")
    index.rebuild(routes.values(), routes.values())
    submission = builders_gateway.build_submission()
    task = submission.tasks[0]
    if failed:
        task.note_failure(routes[failed].member, 0)
    found = steering.Steering(index).choose(
        index.find_pool(NEEDS),
        backlog.QueuedTask(submission, task, NEEDS, 1.0),
        routes[first],
        list(routes.values()),
        now_ms,
    )
    return None if found is None else found.member.process


def fill(routes, *names):
    for name in names:
        routes[name].credit_limit = 0


def test_first_choice_is_kept_for_a_task_that_has_not_failed():
    assert choose(build_routes()) == "s1"


def test_retry_prefers_another_domain_then_rack_then_worker():
    routes = build_routes()
    assert choose(routes, failed="s1") == "s4"
    fill(routes, "s4")
    assert choose(routes, failed="s1") == "s3"
    fill(routes, "s3")
    assert choose(routes, failed="s1") == "s2"


def test_retry_waits_a_limited_time_for_another_worker():
    routes = build_routes()
    fill(routes, "s2", "s3", "s4")
    assert choose(routes, failed="s1") is None
    late_ms = steering.OTHER_WORKER_WAIT_MS
    assert choose(routes, failed="s1", now_ms=late_ms) == "s1"


def test_retry_returns_to_the_only_worker():
    routes = {"s1": build_routes()["s1"]}
    assert choose(routes, failed="s1") == "s1"


def test_service_avoids_a_sidecar_that_is_slow_for_it():
    routes = build_routes()
    routes["s1"].run_times_by_service["lookup"] = routing.RunTimeStats(slow=True)
    assert choose(routes) == "s2"
    fill(routes, "s2", "s3", "s4")
    assert choose(routes) == "s1"
