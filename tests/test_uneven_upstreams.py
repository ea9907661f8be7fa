"""Tests of placement on upstreams of different speed, with replayed loads."""

import random
import statistics

import pytest

from amaranthspar.scheduling import dispatcher, durations, jobevents, sidecars
from amaranthspar.schema import runmessages
from tests import builders_scheduling as builders, builders_uneven as uneven

SLOW = 0.55
FAST = 1.2
SEEDS = (1, 2, 3)


def build_hosts(count=16, slow=4):
    return [
        uneven.Host(f"s{number:02}", SLOW if number < slow else FAST, 40, "r0")
        for number in range(count)
    ]


def build_kinds(load):
    """Return the queues of the second load of docs/hard-load.md, for 16 upstreams."""
    return [
        uneven.Kind("small", load * 20.5, 8, 102, 3.4, 0),
        uneven.Kind("medium", load * 60, 2, 340, 3.4, 1),
        uneven.Kind("large", load * 3.7, 4, 1520, 3.4, 2),
    ]


def replay(seed, load=1.4, time_ms=8_000):
    run = uneven.Replay(build_hosts(), build_kinds(load), seed=seed)
    run.run(4_000)
    run.clear_counts()
    run.run(time_ms)
    run.finish()
    return run


@pytest.mark.parametrize("seed", SEEDS)
def test_slow_upstreams_run_short_tasks_and_leave_fast_ones_to_long_tasks(seed):
    # A slow upstream counted as sick and stood idle, but for tries of any length: a long
    # task that was tried there missed its objective.
    run = replay(seed, 1.6)
    assert run.read_slow_share("small") > 0.2
    assert run.read_slow_share("large") < 0.02
    assert run.read_share("large") > 0.85
    assert run.read_share("medium") > 0.88
    assert run.read_share("small") > 0.7


@pytest.mark.parametrize("seed", SEEDS)
def test_expected_duration_and_slowness_do_not_drift(seed):
    # Jobs that are declared too short were chosen for slow upstreams, which were then
    # measured as still slower.
    run = replay(seed, 1.2, 12_000)
    hosts = run.hosts.values()
    measured = {host.name: host.meter.permille / 1000 for host in hosts}
    fast = statistics.median(
        measured[host.name] for host in hosts if host.speed == FAST
    )
    slow = statistics.median(
        measured[host.name] for host in hosts if host.speed == SLOW
    )
    assert slow / fast == pytest.approx(FAST / SLOW, rel=0.15)
    assert fast == pytest.approx(1.0, rel=0.1)
    for gateway in run.gateways:
        for host in hosts:
            ratio = gateway.fleet.sidecars[host.name].steady_ratio
            for kind in run.kinds:
                name, declared_ms = kind.name, kind.duration_ms
                predicted_ms = gateway.durations.predict_ms(name, 0, declared_ms)
                expected_ms = kind.duration_ms / host.speed
                assert ratio * predicted_ms == pytest.approx(expected_ms, rel=0.3)


def test_restarted_gateway_knows_the_slow_upstreams_at_once():
    run = replay(1, 1.2, 2_000)
    assert all(host.meter.permille for host in run.hosts.values())
    run.restart_gateway(0)
    run.run(300)
    found = run.gateways[0].fleet.sidecars
    for host in run.hosts.values():
        expected = FAST / SLOW if host.speed == SLOW else 1.0
        assert found[host.name].steady_ratio == pytest.approx(expected, rel=0.25)


def count_starts(run):
    """Return the number of starts on each host."""
    counts = dict.fromkeys(run.hosts, 0)
    for places in run.places.values():
        for host in places:
            counts[host.name] += 1
    return counts


@pytest.mark.parametrize("fault", ["stalled", "fails"])
def test_sick_upstream_gets_few_tasks_beside_slow_ones(fault):
    run = replay(1, 0.8, 1_000)
    setattr(run.hosts["s15"], fault, True)
    run.run(1_000)
    run.clear_counts()
    run.run(6_000)
    counts = count_starts(run)
    # Each gateway tries it about once a second; a try may be a whole job.
    assert counts["s15"] < statistics.median(counts.values()) / 4
    assert run.read_share("medium") > 0.8


def test_flapping_upstream_gets_few_tasks():
    # Each restart ended all its runs, and it began with a clean record and all its room.
    run = replay(1, 0.8, 1_000)
    host = run.hosts["s15"]
    for number in range(6):
        run.restart_upstream(host)
        run.run(1_500)
        if number == 1:
            run.clear_counts()
    counts = count_starts(run)
    assert counts["s15"] < statistics.median(counts.values()) / 4
    run.run(7_000)
    run.clear_counts()
    run.run(3_000)
    counts = count_starts(run)
    assert counts["s15"] > statistics.median(counts.values()) / 2


def test_upstream_that_leaves_gets_no_task_and_nobody_waits_for_it():
    gateway = build_uneven_gateway()
    for name in ("fast", "even"):
        gateway.receive_room(name, slowness_permille=1_000, free=0.0, is_leaving=True)
    step = builders.build_step(1, 1, 1_500)
    (start,) = gateway.submit(builders.build_request("long", steps=[step]))
    assert builders.list_orders([start]) == ["long.0.0.0"]


def test_single_restart_puts_no_upstream_on_probation():
    sidecar = build_sidecar()
    sidecar.note_upstream("u@1", 0)
    sidecar.note_upstream("u@2", 1_000)
    assert not sidecar.gets_tries(1_000)
    sidecar.note_upstream("", 2_000)
    sidecar.note_upstream("u@2", 2_500)
    assert not sidecar.gets_tries(2_500)
    assert sidecar.note_upstream("u@3", 3_000)
    assert sidecar.gets_tries(3_000 + 3_999)
    assert not sidecar.gets_tries(3_000 + 4_000)


@pytest.mark.parametrize("slowness", [0, 1_000, 2_000])
def test_equal_reports_change_no_decision(slowness):
    # The choice by expected end takes effect only where reports of slowness differ.
    assert trace_decisions(slowness) == trace_decisions(0)


def trace_decisions(slowness):
    """Return the effects of a gateway under a random load with equal reports."""
    gateway = builders.Gateway(seed=5)
    names = [f"s{number}" for number in range(6)]
    gateway.list_sidecars(*names)
    chance = random.Random(9)
    running = {name: [] for name in names}
    trace = []
    for index in range(1, 301):
        steps = [builders.build_step(chance.randint(1, 3), 1.5, 150)]
        request = builders.build_request(f"j{index}", steps=steps)
        gateway.step(jobevents.Submit(request))
        gateway.wait(10)
        for item in gateway.sent:
            trace.append(item)
            if isinstance(item.message, runmessages.StartRuns):
                running[item.peer.partition(":")[0]] += item.message.orders
        gateway.sent.clear()
        for name in chance.sample(names, 3):
            ended, running[name] = running[name][:2], running[name][2:]
            factors = [chance.choice([0.8, 1, 1, 1, 1.2, 7]) for _ in ended]
            reports = [
                runmessages.RunReport(
                    order.name, "done", elapsed_ms=round(150 * factor), percent=100
                )
                for order, factor in zip(ended, factors, strict=True)
            ]
            room = builders.build_room(
                index,
                started=gateway.dispatcher.fleet.sidecars[name].started,
                free=8.0 - 1.5 * len(running[name]),
                slowness_permille=slowness,
            )
            gateway.receive(name, room, *reports)
    assert len(gateway.ended) > 200
    assert sum(isinstance(item.message, runmessages.StartRuns) for item in trace) > 200
    return trace, gateway.ended


def build_sidecar(ratio=2.2):
    sidecar = sidecars.Sidecar("s", 1, "s:1", builders.SERVICE)
    sidecar.update_room(builders.build_room(slowness_permille=round(1000 * ratio)), 0)
    sidecar.set_steady_median(1000)
    return sidecar


def test_single_long_tasks_do_not_bar_an_upstream():
    # Each task of seven times the length barred its upstream for some seconds.
    sidecar = build_sidecar()
    for number in range(200):
        sidecar.record_duration(2.2 * (7 if number % 33 == 5 else 1), number)
        assert not sidecar.is_unhealthy(number)


def test_upstream_that_becomes_sick_is_barred_although_it_is_known_as_slow():
    sidecar = build_sidecar()
    for number in range(4):
        sidecar.record_duration(10 * 2.2, number)
    assert sidecar.is_unhealthy(4)
    sidecar = build_sidecar()
    sidecar.record_stall(1)
    assert sidecar.is_unhealthy(2)


def test_slowness_beyond_that_of_hardware_counts_as_sick():
    # A sidecar's measure of a sick upstream follows within 64 runs.
    sidecar = build_sidecar(8.0)
    for number in range(4):
        sidecar.record_duration(8.0, number)
    assert sidecar.is_unhealthy(4)


def build_uneven_gateway():
    gateway = builders.Gateway()
    gateway.list_sidecars("slow", "fast", "even")
    gateway.receive_room("slow", slowness_permille=2_200)
    gateway.receive_room("fast", slowness_permille=1_000)
    gateway.receive_room("even", slowness_permille=1_000)
    gateway.wait(dispatcher.MEDIAN_INTERVAL_MS + 50)
    return gateway


def find_sidecar(gateway, name):
    return gateway.dispatcher.fleet.sidecars[name]


def test_measure_of_a_former_incarnation_is_dropped():
    gateway = build_uneven_gateway()
    assert find_sidecar(gateway, "slow").steady_ratio == pytest.approx(2.2)
    gateway.receive_room("slow", upstream="u@2")
    assert find_sidecar(gateway, "slow").expected_ratio == pytest.approx(1.0)


def test_newest_report_counts_if_one_is_late_or_duplicated():
    gateway = build_uneven_gateway()
    gateway.receive_room("slow", slowness_permille=1_000)
    late = builders.build_room(1, slowness_permille=2_200)
    gateway.receive("slow", late)
    gateway.receive("slow", late)
    gateway.wait(dispatcher.MEDIAN_INTERVAL_MS)
    assert find_sidecar(gateway, "slow").steady_ratio == pytest.approx(1.0)


def test_own_measure_counts_where_none_is_reported():
    # A sidecar of the previous build reports no slowness.
    gateway = build_uneven_gateway()
    gateway.list_sidecars("slow", "fast", "even", "silent")
    gateway.receive_room("silent", free=500.0, capacity=500.0)
    sidecar = find_sidecar(gateway, "silent")
    for _ in range(20):
        sidecar.meter.record_run("u@1", 220, 100)
    gateway.wait(dispatcher.MEDIAN_INTERVAL_MS)
    assert sidecar.expected_ratio == pytest.approx(2.2, rel=0.1)


def test_long_task_waits_for_a_fast_upstream_that_is_soon_free():
    gateway = builders.Gateway()
    gateway.list_sidecars("slow", "fast", "even")
    gateway.receive_room("slow", slowness_permille=2_200)
    for name in ("fast", "even"):
        gateway.receive_room(name, slowness_permille=1_000, free=0.0)
    gateway.wait(dispatcher.MEDIAN_INTERVAL_MS)
    gateway.receive_room("slow", slowness_permille=2_200)
    for name in ("fast", "even"):
        gateway.receive_room(name, slowness_permille=1_000, free=0.0)
    step = builders.build_step(1, 1, 1_500)
    assert gateway.submit(builders.build_request("long", steps=[step])) == []
    other = builders.build_step(1, 1, 20)
    starts = gateway.submit(builders.build_request("short", steps=[other]))
    assert builders.list_orders(starts) == ["short.0.0.0"]
    starts = gateway.receive_room("fast", slowness_permille=1_000, free=4.0)
    assert builders.list_orders(starts) == ["long.0.0.0"]


def test_long_task_starts_on_a_slow_upstream_once_it_has_waited_for_what_it_saves():
    gateway = build_uneven_gateway()
    step = builders.build_step(1, 1, 1_000)

    def report_rooms():
        gateway.receive_room("slow", slowness_permille=2_200)
        for name in ("fast", "even"):
            gateway.receive_room(name, slowness_permille=1_000, free=0.0)

    report_rooms()
    since_ms = gateway.now_ms
    gateway.submit(builders.build_request("long", steps=[step]))
    while not builders.list_starts(gateway.sent) and gateway.now_ms < since_ms + 3_000:
        gateway.wait(20)
        report_rooms()
    waited_ms = gateway.now_ms - since_ms
    assert 1_000 <= waited_ms <= 1_300, gateway.ended


def test_fit_corrects_declarations_that_are_extreme_for_their_queue():
    chance = random.Random(4)
    found = durations.Durations()
    for _ in range(400):
        found.record_run("q", 0, round(100 * chance.uniform(0.6, 1.4)), 100)
    assert found.predict_ms("q", 0, 60) == pytest.approx(100, rel=0.15)
    assert found.predict_ms("q", 0, 140) == pytest.approx(100, rel=0.15)


def test_fit_keeps_declarations_that_tell_tasks_apart():
    chance = random.Random(4)
    found = durations.Durations()
    for _ in range(400):
        declared_ms = round(100 * chance.choice([1, 2, 4, 8, 16]))
        error = chance.uniform(0.8, 1.25) * (7 if chance.random() < 0.03 else 1)
        found.record_run("q", 0, declared_ms, round(declared_ms * error / 2))
    assert found.predict_ms("q", 0, 100) == pytest.approx(50, rel=0.3)
    assert found.predict_ms("q", 0, 1_600) == pytest.approx(800, rel=0.3)


def list_records(gateway, request):
    produced = gateway.dispatcher.step(jobevents.Submit(request), gateway.now_ms)
    return {
        item.event: dict(item.details)
        for item in produced
        if isinstance(item, jobevents.LogRecord)
    }


def test_choices_by_expected_end_are_logged_with_their_figures():
    # Without them nobody sees why a job waited, or took longer than its sibling.
    gateway = build_uneven_gateway()
    for name in ("fast", "even"):
        gateway.receive_room(name, slowness_permille=1_000, free=0.0)
    step = builders.build_step(1, 1, 1_500)
    found = list_records(gateway, builders.build_request("long", steps=[step]))
    assert found["run held"]["wait_ms"] < found["run held"]["saved_ms"]
    step = builders.build_step(1, 1, 20)
    found = list_records(gateway, builders.build_request("short", steps=[step]))
    assert found["run on slow upstream"]["slowness"] == pytest.approx(2.2, abs=0.1)
    assert found["run on slow upstream"]["max_ratio"] > 2.2
