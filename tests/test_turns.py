"""Tests of the turns in which a gateway looks after its sidecars."""

from hypothesis import given, strategies

from amaranthspar.dispatch import turns
from tests import builders_gateway


def build_routes(count: int) -> dict[str, object]:
    routes = [builders_gateway.build_route(f"s{number}") for number in range(count)]
    return {route.member.process: route for route in routes}


@given(strategies.integers(0, 1500), strategies.data())
def test_each_sidecar_that_stays_comes_once_a_round(count, data):
    routes = build_routes(count)
    machine = turns.Turns(routes)
    seen = list(machine.take())
    gone = data.draw(strategies.sets(strategies.sampled_from([*routes, ""])))
    for name in gone & routes.keys():
        del routes[name]
    for _ in range(turns.MOST_TURNS):
        if machine.is_round_over:
            break
        seen += machine.take()
    names = [route.member.process for route in seen]
    assert machine.is_round_over
    assert len(set(names)) == len(names)
    assert set(names) >= routes.keys()


def test_few_sidecars_come_at_every_tick():
    routes = build_routes(turns.ROUTES_A_TURN - 1)
    machine = turns.Turns(routes)
    assert machine.take() == machine.take() == list(routes.values())


def test_sidecar_that_was_replaced_loses_its_turn():
    routes = build_routes(2 * turns.ROUTES_A_TURN)
    machine = turns.Turns(routes)
    machine.take()
    replaced = {name: builders_gateway.build_route(name) for name in routes}
    routes.update(replaced)
    while not machine.is_round_over:
        assert machine.take() == []
