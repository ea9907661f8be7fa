"""Tests of the detection of slow sidecars."""

import math
import random

import pytest

from amaranthspar.dispatch import speeds
from tests import builders_gateway

EXPECTED_MS = 200.0


def build(count=10):
    routes = {f"s{n}": builders_gateway.build_route(f"s{n}") for n in range(count)}
    return routes, speeds.Speeds(routes)


def feed(monitor, routes, results, factor, services=("lookup",), seed=1):
    """Report run times of a quarter to twice the expected, and a few long ones."""
    chance = random.Random(seed)
    for _ in range(results):
        for name, route in routes.items():
            service = chance.choice(services)
            run_ms = EXPECTED_MS * math.exp(chance.uniform(-1.4, 0.7))
            if chance.random() < 0.02:
                run_ms = 3000
            run_ms *= factor(name, service)
            monitor.note_run(route, service, int(run_ms), EXPECTED_MS, 0)


def list_limited(routes):
    return [name for name, route in routes.items() if route.slow_limit is not None]


@pytest.mark.parametrize("seed", range(20))
def test_long_tasks_do_not_limit_a_sidecar(seed):
    routes, monitor = build()
    feed(monitor, routes, 200, lambda _, __: 1, ("lookup", "recalculate"), seed)
    assert list_limited(routes) == []


@pytest.mark.parametrize("factor", [0.1, 10.0])
def test_wrong_expectations_limit_no_sidecar(factor):
    routes, monitor = build()
    feed(monitor, routes, 100, lambda _, __: factor)
    assert list_limited(routes) == []


@pytest.mark.parametrize("seed", range(20))
def test_sidecar_four_times_slower_is_limited(seed):
    routes, monitor = build()
    feed(monitor, routes, 20, lambda _, __: 1, seed=seed)
    feed(monitor, routes, 20, lambda name, _: 4 if name == "s0" else 1, seed=seed + 100)
    assert list_limited(routes) == ["s0"]
    assert routes["s0"].free_capacity == 0


def test_sidecar_slow_for_one_service_is_slow_for_that_alone():
    routes, monitor = build()
    services = ("lookup", "hold", "hold", "hold")

    def find_factor(name, service):
        return 5 if name == "s0" and service == "lookup" else 1

    feed(monitor, routes, 100, find_factor, services)
    assert routes["s0"].is_slow("lookup")
    assert not routes["s0"].is_slow("hold")
    assert list_limited(routes) == []


def test_limited_sidecar_gets_single_tasks_and_recovers():
    routes, monitor = build()
    feed(monitor, routes, 60, lambda name, _: 5 if name == "s0" else 1)
    route = routes["s0"]
    assert monitor.tick(speeds.PROBE_INTERVAL_MS - 1, 0.0) == []
    assert monitor.tick(speeds.PROBE_INTERVAL_MS, 0.0) == [route]
    assert route.free_capacity == 1
    for _ in range(4):
        monitor.note_run(route, "lookup", 150, EXPECTED_MS, speeds.PROBE_INTERVAL_MS)
    assert route.slow_limit is None


def test_slow_sidecar_is_used_while_tasks_wait_longer_than_it_takes():
    routes, monitor = build()
    feed(monitor, routes, 60, lambda name, _: 5 if name == "s0" else 1)
    assert monitor.tick(1, 10_000.0) == [routes["s0"]]
    assert routes["s0"].slow_limit is None
    monitor.note_run(routes["s0"], "lookup", 1000, EXPECTED_MS, 1)
    assert routes["s0"].slow_limit is None
    assert monitor.tick(2, 0.0) == [routes["s0"]]
    assert routes["s0"].slow_limit == 0


def test_no_more_than_a_fifth_of_the_fleet_is_limited():
    routes, monitor = build()
    feed(monitor, routes, 20, lambda _, __: 1)
    feed(monitor, routes, 40, lambda name, _: 4 if name in ("s0", "s1", "s2") else 1)
    assert len(list_limited(routes)) == 2


def test_slow_sidecar_is_used_if_there_is_no_other():
    routes, monitor = build()
    feed(monitor, routes, 60, lambda name, _: 5 if name == "s0" else 1)
    assert list_limited(routes) == ["s0"]
    for name in list(routes)[1:]:
        routes[name].closed = True
    monitor.tick(1, 0.0)
    assert routes["s0"].slow_limit is None


def test_restarted_sidecar_is_not_limited():
    routes, monitor = build()
    feed(monitor, routes, 60, lambda name, _: 5 if name == "s0" else 1)
    routes["s0"] = builders_gateway.build_route("s0")
    assert monitor.tick(1, 0.0) == []
    assert list_limited(routes) == []
