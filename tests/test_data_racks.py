"""Tests of placement by the rack of a task's data, with replayed loads."""

import random

import pytest

from amaranthspar.scheduling import dispatcher
from amaranthspar.schema import runmessages
from tests import builders_scheduling as builders, builders_uneven as uneven

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


def build_hosts(hot=3):
    return [
        uneven.Host(f"s{number:02}", 1.2, 40, "r0" if number < hot else "r1")
        for number in range(16)
    ]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_rack_that_most_urgent_jobs_want_serves_more_of_them(seed):
    # 0.6 of the small jobs want a rack that other jobs filled; the rest ran elsewhere for
    # three times as long, which also took capacity from all.
    kinds = [
        uneven.Kind("small", 30.8, 8, 102, 3.4, 0, 0.6),
        uneven.Kind("medium", 90, 2, 340, 3.4, 1),
        uneven.Kind("large", 5.6, 4, 1520, 3.4, 2),
    ]
    hosts = build_hosts()
    for host in hosts:
        host.reports_slowness = False
    run = uneven.Replay(hosts, kinds, seed=seed, spread=SPREAD, spread_factor=SPREAD)
    run.run(3_000)
    run.clear_counts()
    run.run(8_000)
    run.finish()
    assert run.read_share("small") > 0.48
    assert run.read_share("medium") > 0.88


def fill_rack(gateway, duration_ms):
    """Let the gateway's own tasks fill the rack, which tells how soon it has room."""
    near = gateway.dispatcher.fleet.sidecars["near"]
    gateway.submit(build_request("first", duration_ms, 8))
    assert len(near.tasks) == 8
    return near


def count_started(gateway, name):
    starts = [item for item in gateway.sent if item.peer == f"{name}:1"]
    return len(builders.list_orders(builders.list_starts(starts)))


@pytest.mark.parametrize(("duration_ms", "waiting"), [(100, 8), (2_000, 0)])
def test_task_waits_for_its_rack_only_if_it_ends_sooner_there(duration_ms, waiting):
    gateway = build_gateway(near=8.0, away=8.0)
    fill_rack(gateway, duration_ms)
    gateway.submit(build_request("next", 100, 8))
    (job,) = [job for name, job in gateway.dispatcher.jobs.items() if name == "next"]
    assert len(job.waiting) == waiting
    assert count_started(gateway, "away") == 8 - waiting


def test_tasks_beyond_what_a_rack_serves_in_time_run_elsewhere():
    # Each of them alone would wait, as each would be the next; together they would wait
    # for longer than a run elsewhere takes.
    gateway = build_gateway(near=8.0, away=30.0)
    fill_rack(gateway, 100)
    queue = builders.build_queue(target_ms=2_000)
    for number in range(5):
        step = builders.build_step(6, 1.0, 100, data_rack="r0")
        request = builders.build_request(f"next{number}", queue, [step])
        gateway.submit(request)
    held = sum(
        task.is_held for job in gateway.dispatcher.jobs.values() for task in job.waiting
    )
    assert 8 <= held <= 20
    assert count_started(gateway, "away") == 30 - held


def test_task_that_waits_for_its_rack_bars_no_other_job():
    gateway = build_gateway(near=8.0, away=8.0)
    fill_rack(gateway, 100)
    gateway.submit(build_request("next", 100, 4))
    step = builders.build_step(8, 1.0, 500)
    queue = builders.build_queue(name="others", target_ms=3_000)
    starts = gateway.submit(builders.build_request("other", queue, [step]))
    assert len(builders.list_orders(starts)) == 8


def test_task_waits_at_most_as_long_as_its_rack_saves():
    # The estimate may be wrong: what runs in the rack may take far longer.
    gateway = build_gateway(near=8.0, away=8.0)
    fill_rack(gateway, 100)
    queue = builders.build_queue(target_ms=2_000)
    step = builders.build_step(1, 1.0, 100, data_rack="r0")
    gateway.submit(builders.build_request("next", queue, [step]))
    since_ms = gateway.now_ms
    for _ in range(60):
        gateway.wait(10)
        gateway.receive_room("near", labels=["a", "r0"], free=0.0, started=1)
        gateway.receive_room("away", labels=["a", "r1"])
        if count_started(gateway, "away"):
            break
    assert 190 <= gateway.now_ms - since_ms <= 300
