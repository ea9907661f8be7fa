"""Tests of the periodic sweep over the sidecars of a gateway."""

from hypothesis import given, strategies

from amaranthspar.dispatch import sweep
from tests import builders_gateway


def build_routes(count: int) -> dict[str, object]:
    routes = [builders_gateway.build_route(f"s{number}") for number in range(count)]
    return {route.member.process: route for route in routes}


@given(strategies.integers(0, 1500), strategies.data())
def test_each_remaining_sidecar_is_handled_once_in_a_sweep(count, data):
    routes = build_routes(count)
    sweeper = sweep.Sweep(routes)
    seen = list(sweeper.take_batch())
    gone = data.draw(strategies.sets(strategies.sampled_from([*routes, ""])))
    for name in gone & routes.keys():
        del routes[name]
    for _ in range(sweep.MAX_BATCHES):
        if sweeper.is_complete:
            break
        seen += sweeper.take_batch()
    names = [route.member.process for route in seen]
    assert sweeper.is_complete
    assert len(set(names)) == len(names)
    assert set(names) >= routes.keys()


def test_few_sidecars_are_handled_at_every_tick():
    routes = build_routes(sweep.BATCH_ROUTES - 1)
    sweeper = sweep.Sweep(routes)
    assert sweeper.take_batch() == sweeper.take_batch() == list(routes.values())


def test_replaced_sidecar_is_skipped():
    routes = build_routes(2 * sweep.BATCH_ROUTES)
    sweeper = sweep.Sweep(routes)
    sweeper.take_batch()
    replaced = {name: builders_gateway.build_route(name) for name in routes}
    routes.update(replaced)
    while not sweeper.is_complete:
        assert sweeper.take_batch() == []
