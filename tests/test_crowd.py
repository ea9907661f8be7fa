"""Tests of placement by several gateways under overload, in virtual time.

A single gateway that uses all upstreams is the upper bound for placement by several.
The users require that several gateways serve nine tenths of what a small site serves.
"""

import attrs
import pytest

from benchmarks import crowd

MIN_VALUE_RATIO = 0.9
SCENARIOS = {
    "overload": crowd.Scenario(6, 24, (1.3, 1.3)),
    "burst": crowd.Scenario(6, 24, (0.7, 1.6, 0.7)),
    "lost upstreams": crowd.Scenario(6, 24, (0.8, 0.8, 0.8), lost=(0.25, 1)),
    "one gateway with most callers": crowd.Scenario(6, 24, (1.1, 1.1), skew=2.0),
    "subset of a larger service": crowd.Scenario(6, 48, (1.0,), skew=1.5),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_several_gateways_earn_at_least_nine_tenths_of_a_single_gateway(name):
    scenario = SCENARIOS[name]
    several_gateways = crowd.Simulation(scenario).run()
    one_gateway = crowd.Simulation(attrs.evolve(scenario, gateways=1, skew=0.0)).run()
    assert several_gateways.value_ratio >= MIN_VALUE_RATIO * one_gateway.value_ratio, (
        several_gateways.value_ratio,
        one_gateway.value_ratio,
    )
    assert not [key for key in several_gateways.counts if key[1] == "unanswered"]


def test_nearly_all_requests_meet_their_objective_at_ordinary_load():
    results = crowd.Simulation(crowd.Scenario(6, 24, (0.6, 0.6))).run()
    assert results.value_ratio >= 0.99


@pytest.mark.parametrize("name", ["overload", "burst"])
def test_each_kind_is_served_at_least_half_as_often_as_the_most_served(name):
    results = crowd.Simulation(SCENARIOS[name]).run()
    shares = [results.measure_served_share(kind.name) for kind in crowd.KINDS]
    assert min(shares) >= max(shares) / 2
