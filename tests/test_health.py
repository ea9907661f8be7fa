"""Tests of ejection, probes and the stepped return."""

from amaranthspar.dispatch import health
from amaranthspar.schema import messages
from tests import builders_gateway


def build(count=3):
    routes = {f"s{n}": builders_gateway.build_route(f"s{n}") for n in range(count)}
    return routes, health.Health(routes)


def report(judge, route, number, status=200, now_ms=0):
    result = messages.TaskResult(f"r{number}", 0, "done", status=status)
    judge.note_result(route, result, now_ms)


def fail_one_of_many(judge, routes, now_ms=0):
    for number in range(8):
        report(judge, routes["s1"], 2 * number, now_ms=now_ms)
        report(judge, routes["s0"], 2 * number + 1, status=500, now_ms=now_ms)


def test_sidecar_that_fails_everything_gets_only_probes():
    routes, judge = build()
    fail_one_of_many(judge, routes)
    assert routes["s0"].free_capacity == 0
    assert judge.tick(health.PROBE_INTERVAL_MS - 1) == []
    assert judge.tick(health.PROBE_INTERVAL_MS) == [routes["s0"]]
    assert routes["s0"].health_limit == 1
    report(judge, routes["s0"], 99, status=500, now_ms=1000)
    assert judge.tick(2000) == []
    assert judge.tick(1000 + 2 * health.PROBE_INTERVAL_MS) == [routes["s0"]]


def test_payload_that_fails_everywhere_ejects_nobody():
    routes, judge = build()
    for number in range(60):
        report(judge, routes[f"s{number % 3}"], number, status=500)
    assert judge.ejections <= 1
    for number in range(60, 200):
        report(judge, routes[f"s{number % 3}"], number, status=500)
    assert sum(route.health_limit is None for route in routes.values()) >= 2


def test_one_submission_alone_ejects_nobody():
    routes, judge = build()
    for _ in range(50):
        report(judge, routes["s1"], 1)
        report(judge, routes["s0"], 7, status=500)
    assert not judge.ejections


def test_cap_on_ejections():
    routes, judge = build(10)
    for number in range(400):
        bad = number % 10 < 4
        report(judge, routes[f"s{number % 10}"], number, status=500 if bad else 200)
    assert judge.ejections == 2


def test_return_after_an_ejection_is_stepped():
    routes, judge = build()
    route = routes["s0"]
    fail_one_of_many(judge, routes)
    judge.tick(health.PROBE_INTERVAL_MS)
    report(judge, route, 99, now_ms=1000)
    allowances = [route.health_limit]
    for now_ms in (1250, 1500, 1750, 2000):
        judge.tick(now_ms)
        allowances.append(route.health_limit)
    assert allowances == [1, 1, 1, None, None]
