"""Tests of ejection, probes and gradual recovery."""

from amaranthspar.dispatch import health
from amaranthspar.schema import messages
from tests import builders_gateway


def build(count=3):
    routes = {f"s{n}": builders_gateway.build_route(f"s{n}") for n in range(count)}
    return routes, health.Health(routes)


def report(monitor, route, number, status=200, now_ms=0):
    result = messages.TaskResult(f"r{number}", 0, "done", status=status)
    monitor.note_result(route, result, now_ms)


def fail_one_of_many(monitor, routes, now_ms=0):
    for number in range(8):
        report(monitor, routes["s1"], 2 * number, now_ms=now_ms)
        report(monitor, routes["s0"], 2 * number + 1, status=500, now_ms=now_ms)


def test_sidecar_that_fails_everything_gets_only_probes():
    routes, monitor = build()
    fail_one_of_many(monitor, routes)
    assert routes["s0"].free_capacity == 0
    assert monitor.tick(health.PROBE_INTERVAL_MS - 1) == []
    assert monitor.tick(health.PROBE_INTERVAL_MS) == [routes["s0"]]
    assert routes["s0"].health_limit == 1
    report(monitor, routes["s0"], 99, status=500, now_ms=1000)
    assert monitor.tick(2000) == []
    assert monitor.tick(1000 + 2 * health.PROBE_INTERVAL_MS) == [routes["s0"]]


def test_payload_that_fails_everywhere_ejects_at_most_one_sidecar():
    routes, monitor = build()
    for number in range(60):
        report(monitor, routes[f"s{number % 3}"], number, status=500)
    assert monitor.ejections <= 1
    for number in range(60, 200):
        report(monitor, routes[f"s{number % 3}"], number, status=500)
    assert sum(route.health_limit is None for route in routes.values()) >= 2


def test_failures_of_one_submission_cause_no_ejection():
    routes, monitor = build()
    for _ in range(50):
        report(monitor, routes["s1"], 1)
        report(monitor, routes["s0"], 7, status=500)
    assert not monitor.ejections


def test_ejections_are_limited_to_a_fifth_of_the_fleet():
    routes, monitor = build(10)
    for number in range(400):
        bad = number % 10 < 4
        report(monitor, routes[f"s{number % 10}"], number, status=500 if bad else 200)
    assert monitor.ejections == 2


def test_recovery_after_an_ejection_is_gradual():
    routes, monitor = build()
    route = routes["s0"]
    fail_one_of_many(monitor, routes)
    monitor.tick(health.PROBE_INTERVAL_MS)
    report(monitor, route, 99, now_ms=1000)
    limits = [route.health_limit]
    for now_ms in (1250, 1500, 1750, 2000):
        monitor.tick(now_ms)
        limits.append(route.health_limit)
    assert limits == [1, 1, 1, None, None]
