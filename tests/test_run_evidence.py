"""Tests that no run is taken for ended, and no lease goes on, without evidence."""

import asyncio
import time

import attrs
import pytest
from aiohttp import web

from amaranthspar.platform import upstreams
from amaranthspar.roles import runsidecar
from amaranthspar.scheduling import dispatcher, runevents, runmanager
from amaranthspar.schema import runmessages
from tests import (
    builders_platform,
    builders_runmanager as builders,
    builders_scheduling,
    test_gateway_dispatch as gateway_dispatch,
    test_platform_path as platform_path,
    test_scheduling_fuzz as fuzz,
)

MAX_LEASE_MS = 1_000
RESTARTED = attrs.evolve(builders.KNOWN, incarnation="u@2")
T1 = runmessages.RunName("t", 1)


@pytest.mark.parametrize("lag_ms", [350, 500, 700])
def test_run_of_a_killed_gateway_ends_before_its_caller_resends_if_the_order_was_slow(
    lag_ms,
):
    """The upstream held a full lease before the run began; then the sidecar froze."""
    for seed in range(20):
        simulation = fuzz.RestartSimulation(seed)
        simulation.advance(300)
        simulation.extra_delay_ms = lag_ms
        simulation.submit(1)
        simulation.advance(10)
        simulation.kill_gateway()
        simulation.extra_delay_ms = 0
        simulation.advance(lag_ms + 40)
        for host in simulation.hosts.values():
            if host.upstream.runs:
                host.frozen_until_ms = simulation.now_ms + fuzz.RETRY_MS
        simulation.advance(2_500)


def test_lease_granted_before_a_run_does_not_outlast_the_limit_of_its_gateway():
    sidecar = builders.Sidecar()
    reported_ms = sidecar.now_ms
    sidecar.now_ms += 700
    lease_ms = sidecar.manager.find_lease_ms(sidecar.now_ms)
    lease_end_ms = sidecar.now_ms + (MAX_LEASE_MS if lease_ms is None else lease_ms)
    calls = sidecar.start()
    if any(isinstance(call, runevents.CallStart) for call in calls):
        assert lease_end_ms <= reported_ms + runmanager.RUN_LEASE_MS


def test_lease_of_other_runs_does_not_outlast_the_limit_of_a_gateway_whose_order_was_slow():
    """One lease covers all runs of the upstream, and can't be shortened."""
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    second = runevents.Sender("second", 1, "second:1")
    keep = runmessages.KeepRuns(1, 0, False, [], 0)
    sidecar.step(runevents.Asked(second, keep))
    heard = sidecar.newest_report
    sidecar.ask(runmessages.KeepRuns(1, 1, False, [T1], 0))
    reported_ms = sidecar.now_ms
    for number in range(2, 9):
        keep = runmessages.KeepRuns(number, 1, False, [T1], sidecar.newest_report)
        sidecar.ask(keep, 100)
    assert "t" in sidecar.manager.runs
    lease_ms = sidecar.manager.find_lease_ms(sidecar.now_ms) or 0
    lease_end_ms = sidecar.now_ms + min(lease_ms, MAX_LEASE_MS)
    name = runmessages.RunName("s", 1)
    order = runmessages.RunOrder(name, runmessages.Resources(100, 1, 0))
    message = runmessages.StartRuns(1, "u@1", "spec", [order], heard)
    calls = sidecar.step(runevents.Asked(second, message))
    if any(isinstance(call, runevents.CallStart) for call in calls):
        assert lease_end_ms <= reported_ms + runmanager.RUN_LEASE_MS


def test_stop_confirmed_by_a_former_incarnation_does_not_end_a_run_of_the_next():
    """The next incarnation carried out the start, and knows nothing of the stop."""
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.UNKNOWN)
    sidecar.ask(runmessages.StopRuns([T1]))
    sidecar.step(runevents.StopAnswered(T1, runevents.Answer.ACCEPTED))
    sidecar.step(RESTARTED)
    calls = sidecar.list(("t", 1, 10))
    sidecar.step(runevents.Tick(), runmanager.STOP_COMPLETION_MS + 1)
    assert sidecar.read_states()[-1:] in ([], [("t", 1, "started")])
    assert [type(call) for call in calls] == [runevents.CallStop]


def test_starts_of_others_do_not_extend_the_lease_of_a_run_that_cannot_be_stopped():
    """Each start leases all runs of the upstream."""
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    limit_ms = sidecar.manager.gateways["gate"].acknowledged_ms
    limit_ms += runmanager.RUN_LEASE_MS
    second = runevents.Sender("second", 1, "second:1")
    keep = runmessages.KeepRuns(1, 0, False, [], 0)
    lease_end_ms = 0
    for number in range(2, 30):
        sidecar.step(runevents.Asked(second, keep), 50)
        sidecar.step(runevents.StopAnswered(T1, runevents.Answer.UNKNOWN))
        assert "t" in sidecar.manager.runs
        name = runmessages.RunName(f"s{number}", 1)
        order = runmessages.RunOrder(name, runmessages.Resources(100, 1, 0))
        message = runmessages.StartRuns(
            number, "u@1", "spec", [order], sidecar.newest_report
        )
        for call in sidecar.step(runevents.Asked(second, message)):
            if isinstance(call, runevents.CallStart):
                lease_ms = sidecar.manager.find_lease_ms(sidecar.now_ms) or 0
                valid_ms = min(upstreams.START_VALID_MS, lease_ms)
                lease_end_ms = max(lease_end_ms, sidecar.now_ms + valid_ms)
                sidecar.step(runevents.StartAnswered(name, runevents.Answer.ACCEPTED))
        keep = runmessages.KeepRuns(
            number,
            number,
            False,
            [
                item.name
                for item in sidecar.manager.runs.values()
                if item.gateway == "second"
            ],
            sidecar.newest_report,
        )
    assert lease_end_ms <= limit_ms


def run_stops_while_unhealthy(tmp_path, status) -> int:
    """Return the number of stops in 1 s that the upstream answers with a status."""
    stops = []

    async def scenario(system) -> None:
        caller = await system.start_long_runs(platform_path.JOB, count=1)

        async def refuse(_request):
            stops.append(status)
            return web.json_response({"ClockMs": 1}, status=status)

        system.upstream.refuse_stops = refuse
        caller.cancel()
        await asyncio.sleep(1)

    original = builders_platform.FakeUpstream._stop

    async def stop(upstream, request):
        refuse = getattr(upstream, "refuse_stops", None)
        return await (refuse(request) if refuse else original(upstream, request))

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(builders_platform.FakeUpstream, "_stop", stop)
        platform_path.run_scenario(tmp_path, scenario)
    return len(stops)


@pytest.mark.parametrize("status", [400, 429, 503])
def test_stop_that_an_unhealthy_upstream_refuses_is_repeated_after_a_pause(
    tmp_path, status
):
    count = run_stops_while_unhealthy(tmp_path, status)
    assert count <= 1_000 // runsidecar.RETRY_PAUSE_MS + 10


def test_unconfirmed_run_does_not_make_ticks_due_every_millisecond():
    """Its stop is not answered, but the upstream lists its runs."""
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.UNKNOWN)
    sidecar.step(runevents.Tick(), upstreams.START_VALID_MS + 110)
    sidecar.step(runevents.Tick(), 1)
    assert sidecar.manager.find_due_ms(sidecar.now_ms) - sidecar.now_ms >= 10


def simulate_start_in_transit(seed, wait_ms, restarts) -> None:
    """Run a simulation in which upstreams restart while starts are under way."""
    simulation = fuzz.RestartSimulation(seed)
    simulation.advance(300)
    for host in simulation.hosts.values():
        host.timeout_rate = 0.5
    simulation.submit(3)
    simulation.advance(wait_ms)
    for host in simulation.hosts.values():
        if restarts:
            simulation.restart_sidecar(host)
        host.upstream.crash()
        claims = simulation.claims[host.name]
        claims.heartbeat_ms, claims.sequence = simulation.now_ms + 1_400, 0
        host.timeout_rate = 0.0
    simulation.advance(3_000)


def test_start_of_a_previous_process_does_not_run_on_a_restarted_upstream_beside_another():
    """Heartbeats come each 1.5 s, later than the 1.1 s for predecessors' runs."""
    for seed in range(30):
        simulate_start_in_transit(seed, 70, restarts=True)


def test_stopped_start_does_not_run_on_a_restarted_upstream_beside_another():
    simulate_start_in_transit(295, 200, restarts=False)


def test_no_start_is_sent_at_once_after_a_cut_before_ended_connections_are_noticed():
    """As after a pause, but the process ran: its links and its callers' were cut."""
    gateway = gateway_dispatch.build_gateway("one", "two")
    (start,) = gateway.submit(builders_scheduling.build_request())
    (sent,) = [item for item in gateway.sent if item.message is start]
    name = sent.peer.partition(":")[0]
    gateway.wait(dispatcher.MAX_SILENCE_MS + 500)
    reason = "gateway heard nothing for 801 ms"
    stopped = gateway_dispatch.report(start.orders[0], "stopped", reason)
    other = "two" if name == "one" else "one"
    starts = gateway.receive(other, builders_scheduling.build_room(2))
    starts += gateway.receive(name, builders_scheduling.build_room(2), stopped)
    assert starts == []


def test_requests_of_a_sidecar_lease_no_runs_once_callers_of_a_lost_gateway_resend(
    tmp_path,
):
    """The limit reaches the upstream: no stop is answered, each list request is."""

    async def scenario(system) -> None:
        caller = await system.start_long_runs(platform_path.JOB, count=1)
        await asyncio.sleep(0.5)
        system.gateway.close()
        lost_s = time.monotonic()
        await asyncio.sleep(fuzz.RETRY_MS / 1000)
        assert system.upstream.runs
        assert system.upstream.lease_s > lost_s
        assert system.upstream.lease_s <= lost_s + fuzz.RETRY_MS / 1000
        caller.cancel()

    async def leave_unanswered(_upstream, _request):
        await asyncio.sleep(1)
        return web.json_response({}, status=503)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(builders_platform.FakeUpstream, "_stop", leave_unanswered)
        platform_path.run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("lease_ms", [None, 200, 0])
def test_limit_of_a_start_reaches_the_upstream(tmp_path, lease_ms):
    bodies = []
    original = builders_platform.FakeUpstream._start

    async def start(upstream, request):
        bodies.append(await request.json())
        return await original(upstream, request)

    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        known = system.sidecar._incarnations
        needs = runmessages.Resources(100, 1, 0)
        order = runmessages.RunOrder(runmessages.RunName("limited", 1), needs)
        await system.sidecar._upstream.start(
            known.current, order, "spec", known.fence, lease_ms
        )
        valid_ms = upstreams.START_VALID_MS if lease_ms is None else lease_ms
        left_ms = bodies[-1]["DeadlineMs"] - time.monotonic() * 1_000
        assert left_ms <= valid_ms

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(builders_platform.FakeUpstream, "_start", start)
        platform_path.run_scenario(tmp_path, scenario)


def test_start_decided_for_another_incarnation_is_not_sent(tmp_path):
    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        starts = list(system.upstream.starts)
        needs = runmessages.Resources(100, 1, 0)
        order = runmessages.RunOrder(runmessages.RunName("former", 1), needs)
        now_ms = system.sidecar._clock.read_monotonic()
        call = runevents.CallStart(order, "spec", "i-1@0", now_ms)
        await system.sidecar._call_start(call)
        assert system.upstream.starts == starts

    platform_path.run_scenario(tmp_path, scenario)


def test_unconfirmed_start_is_not_sent_again_right_after_a_pause():
    gateway = gateway_dispatch.build_gateway()
    (start,) = gateway.submit(builders_scheduling.build_request())
    gateway.now_ms += dispatcher.MAX_SILENCE_MS + 1
    gateway.receive("one", builders_scheduling.build_room(2))
    gateway.wait(dispatcher.RESUME_MS - builders_scheduling.STEP_MS)
    assert builders_scheduling.list_starts(gateway.sent) == [start]


def test_restart_of_a_gateway_does_not_extend_the_lease_of_its_former_runs():
    """Its callers resend 1.3 s after its end, though it is back after 0.6 s."""
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.ask(runmessages.KeepRuns(1, 1, False, [T1], sidecar.newest_report))
    lost_ms = sidecar.now_ms
    again = runevents.Sender("gate", 2, "gate:1")
    heard = 0
    sidecar.step(runevents.Tick(), 500)
    for number in range(1, 8):
        keep = runmessages.KeepRuns(number, 0, False, [], heard)
        sidecar.step(runevents.Asked(again, keep), 100)
        sidecar.step(runevents.StopAnswered(T1, runevents.Answer.UNKNOWN))
        heard = sidecar.newest_report
        lease_ms = sidecar.manager.find_lease_ms(sidecar.now_ms)
        assert lease_ms is not None
        if lease_ms:
            lease_end_ms = sidecar.now_ms + min(lease_ms, MAX_LEASE_MS)
            assert lease_end_ms <= lost_ms + runmanager.RUN_LEASE_MS
