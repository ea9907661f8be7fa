"""Tests of the index of sidecars by free capacity."""

from hypothesis import given, settings, strategies

from amaranthspar.dispatch import capacity, routing
from tests import builders_gateway

NEEDS = routing.Needs("lookup", "main")


def build_index(*routes):
    index = capacity.CapacityIndex("gyor")
    index.rebuild(routes, routes)
    return index


def test_near_domain_comes_first_while_it_has_free_capacity():
    near = builders_gateway.build_route("s1", "gyor", limit=1)
    far = builders_gateway.build_route("s2", "pecs", limit=2)
    index = build_index(near, far)
    pool = index.find_pool(NEEDS)
    assert index.choose(pool) is near
    near.sent += 1
    index.update(near)
    assert index.choose(pool) is far


def test_slow_sidecar_gets_no_task_until_one_is_due():
    slow = builders_gateway.build_route("s1", limit=2)
    fast = builders_gateway.build_route("s2", limit=2)
    slow.slow_limit = 0
    index = build_index(slow, fast)
    pool = index.find_pool(NEEDS)
    assert index.choose(pool) is fast
    slow.slow_limit = 1
    index.update(slow)
    assert index.choose(pool) is slow


def test_find_returns_the_best_accepted_sidecar():
    near = builders_gateway.build_route("s1", "gyor", limit=1)
    far = builders_gateway.build_route("s2", "pecs", limit=2)
    index = build_index(near, far)
    pool = index.find_pool(NEEDS)
    assert index.find(pool, lambda _: True) is near
    assert index.find(pool, lambda route: route is far) is far
    assert index.find(pool, lambda _: False) is None


def test_task_too_large_for_every_upstream_has_an_empty_pool():
    index = build_index(builders_gateway.build_route())
    pool = index.find_pool(routing.Needs("lookup", "main", cores=99))
    assert not pool
    assert index.choose(pool) is None


limit_changes = strategies.lists(
    strategies.tuples(strategies.integers(0, 5), strategies.integers(0, 9))
)


@settings(derandomize=True, deadline=None)
@given(limit_changes)
def test_choice_equals_that_of_a_full_scan(changes):
    routes = [builders_gateway.build_route(f"s{n}", "pecs", limit=n) for n in range(6)]
    index = build_index(*routes)
    pool = index.find_pool(NEEDS)
    for number, limit in changes:
        routes[number].credit_limit = limit
        index.update(routes[number])
        chosen = index.choose(pool)
        most = max(route.free_capacity for route in routes)
        assert (chosen.free_capacity if chosen else 0) == most
