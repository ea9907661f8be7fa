"""Tests of placement by the rack of a task's data, with replayed loads."""

import random

import pytest

from amaranthspar.scheduling import dispatcher
from amaranthspar.schema import runmessages
from tests import builders_scheduling as builders

SPREAD = 3.0


def build_gateway(spread_factor=SPREAD, **free):
    """Return a gateway with a sidecar near the data, one away and their free cores."""
    gateway = builders.Gateway()
    gateway.dispatcher = dispatcher.Dispatcher(
        random.Random(1), spread_factor=spread_factor
    )
    gateway.list_sidecars("near", "away")
    for name, label in (("near", "r0"), ("away", "r1")):
        cores = free.get(name, 8.0)
        gateway.receive_room(name, labels=["a", label], free=cores)
    return gateway


def build_request(name="a1", duration_ms=200, count=1):
    step = builders.build_step(count, 1.0, duration_ms, data_rack="r0")
    return builders.build_request(name, steps=[step])


def end_run(gateway, name, number, start, elapsed_ms):
    done = runmessages.RunReport(
        start.orders[0].name, "done", elapsed_ms=elapsed_ms, percent=100
    )
    label = "r0" if name == "near" else "r1"
    room = builders.build_room(number, started=start.number, labels=["a", label])
    gateway.receive(name, room, done)


@pytest.mark.parametrize("factor", [1.0, 1.5, 3.0])
def test_run_away_from_its_data_is_expected_to_take_longer_by_the_setting(factor):
    # The factor was 1.5 whatever the settings said, and a run of three times the length
    # counted as a slow upstream and as a long queue.
    gateway = build_gateway(factor, near=0.0)
    (start,) = gateway.submit(build_request(duration_ms=10))
    assert start.orders[0].expected_ms == round(10 * factor)
    end_run(gateway, "away", 2, start, round(10 * factor))
    away = gateway.dispatcher.fleet.sidecars["away"]
    assert away.slowness == pytest.approx(1.0, abs=0.05)
    assert gateway.dispatcher.durations.expect_ms("checks", 0, 10) == 10


def test_slow_progress_away_from_its_data_is_no_slow_upstream():
    gateway = build_gateway(near=0.0)
    (start,) = gateway.submit(build_request(duration_ms=10, count=4))
    for number in range(2, 8):
        going = [
            runmessages.RunReport(
                order.name, "running", elapsed_ms=4 * number, percent=13 * number
            )
            for order in start.orders
        ]
        room = builders.build_room(number, started=1, labels=["a", "r1"])
        gateway.receive("away", room, *going)
    away = gateway.dispatcher.fleet.sidecars["away"]
    assert away.slowness == pytest.approx(1.0, abs=0.1)
