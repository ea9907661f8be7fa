"""Tests of callers that reach another gateway than the one that holds their job."""

import asyncio
import contextlib

import pytest

from amaranthspar import ports, processes
from amaranthspar.observation import metering
from amaranthspar.platform import callers, servers
from amaranthspar.roles import jobgateway
from amaranthspar.scheduling import jobsearches
from amaranthspar.schema import runmessages
from tests import builders_platform as builders, test_platform_path as paths

JOB = paths.JOB
STOP_S = 2
ARRIVAL_TURNS = 20_000
"""Turns of the loop for which a request waits before its job is admitted."""
STEP_MS = 20


@contextlib.asynccontextmanager
async def open_other_gateway(system):
    """Open a second gateway and return it with the address for its callers."""
    address, front = ports.find_addresses(2)
    settings = processes.ProcessSettings(
        "other", address, [system.controller._links.address]
    )
    gateway = jobgateway.JobGateway(settings, metering.Meters())
    server = servers.Server(callers.Callers(gateway).handle)
    await gateway.start()
    await server.open(front)
    try:
        async with asyncio.timeout(paths.WAIT_S):
            while "gate" not in gateway._contact.list_gateways():
                await asyncio.sleep(0.02)
        yield gateway, front
    finally:
        await server.close()
        gateway.close()


def run_with_other(tmp_path, scenario) -> None:
    async def run(system) -> None:
        async with open_other_gateway(system) as (gateway, front):
            await scenario(system, gateway, front)

    paths.run_scenario(tmp_path, run)


def test_cancel_at_another_gateway_ends_the_job(tmp_path):
    """It was answered with 410, and the job ran on."""

    async def scenario(system, _gateway, front) -> None:
        caller = await system.start_long_runs(JOB, count=2)
        path = f"/quotes/{JOB}"
        assert (await system.call("DELETE", front, path))[0] == 200
        async with asyncio.timeout(STOP_S):
            while system.upstream.runs:
                await asyncio.sleep(0.02)
        status, body = await caller
        assert (status, body) == (200, b'{"State":"cancelled"}')
        assert (await system.call("DELETE", front, path))[0] == 410
        assert (await system.call("GET", front, path))[0] == 410

    run_with_other(tmp_path, scenario)


@pytest.mark.parametrize("place", ["same gateway", "other gateway"])
def test_cancel_that_overtakes_the_request_of_its_job_ends_it(
    tmp_path, monkeypatch, place
):
    """It was answered with 410 while the request was read, and the job ran."""
    monkeypatch.setattr(callers, "DISCONNECT_TURNS", ARRIVAL_TURNS)

    async def scenario(system, _gateway, front) -> None:
        address = system.callers if place == "same gateway" else front
        caller = asyncio.create_task(system.submit(JOB, count=1))
        async with asyncio.timeout(STOP_S):
            while JOB not in system.gateway._arriving:
                await asyncio.sleep(0)
        assert JOB not in system.gateway._dispatcher.jobs
        assert (await system.call("DELETE", address, f"/quotes/{JOB}"))[0] == 200
        assert await caller == (200, b'{"State":"cancelled"}')
        assert not system.upstream.starts
        assert not system.gateway._arriving
        assert (await system.call("DELETE", address, f"/quotes/{JOB}"))[0] == 410

    run_with_other(tmp_path, scenario)


def test_job_that_arrives_during_the_search_for_it_is_cancelled(tmp_path, monkeypatch):
    async def scenario(system, gateway, front) -> None:
        found = gateway.find_elsewhere

        async def find_late(job, cancels=False):
            result = await found(job, cancels)
            calls.append(asyncio.create_task(system.call("POST", front, path, body)))
            async with asyncio.timeout(STOP_S):
                while job not in gateway._arriving:
                    await asyncio.sleep(0)
            return result

        calls: list[asyncio.Task] = []
        path = f"/quotes/{JOB}"
        body = builders.build_job(count=1)
        monkeypatch.setattr(gateway, "find_elsewhere", find_late)
        await system.wait_for(200, "GET", front, "/quotes/")
        assert (await system.call("DELETE", front, path))[0] == 200
        assert await calls[0] == (200, b'{"State":"cancelled"}')

    run_with_other(tmp_path, scenario)


def test_state_of_a_job_is_shown_at_another_gateway(tmp_path):
    async def scenario(system, _gateway, front) -> None:
        caller = await system.start_long_runs(JOB, count=1)
        answer = await system.call("GET", front, f"/quotes/{JOB}")
        assert answer == (200, b'{"State":"running"}')
        assert system.upstream.runs
        caller.cancel()

    run_with_other(tmp_path, scenario)


def test_cancel_is_not_confirmed_while_the_holder_may_be_silent(tmp_path):
    async def scenario(system, _gateway, front) -> None:
        caller = await system.start_long_runs(JOB, count=1)
        receive, system.gateway._links._receive = (
            system.gateway._links._receive,
            lambda frame: None,
        )
        path = f"/quotes/{JOB}"
        assert (await system.call("DELETE", front, path))[0] == 503
        system.gateway._links._receive = receive
        assert (await system.call("DELETE", front, path))[0] == 200
        caller.cancel()

    run_with_other(tmp_path, scenario)


class Gateways:
    """Gateways that answer a search, of which some do not."""

    def __init__(self, count: int) -> None:
        self.names = {f"g{number}": f"g{number}:1" for number in range(count)}
        self.now_ms = 10_000
        self.search = jobsearches.JobSearch(1, JOB, True, self.now_ms)
        self.silent: set[str] = set()
        self.holder = ""
        self.messages = 0
        self.has_contact = True

    def find_result(self) -> jobsearches.Result:
        """Advance the time until the search has ended."""
        while True:
            result = self.search.find_result(self.names, self.has_contact, self.now_ms)
            if result is not None:
                return result
            for send in self.search.list_due(self.names, self.now_ms):
                self.messages += 1
                name = send.peer.partition(":")[0]
                if name not in self.silent:
                    state = "cancelled" if name == self.holder else ""
                    self.search.apply_answer(name, runmessages.JobFound(1, state))
            self.now_ms += STEP_MS


@pytest.mark.parametrize("count", [10, 300])
def test_search_costs_one_message_for_each_gateway(count):
    gateways = Gateways(count)
    assert gateways.find_result() is jobsearches.Result.ABSENT
    assert gateways.messages == count


def test_search_ends_with_the_first_gateway_that_holds_the_job():
    gateways = Gateways(10)
    gateways.holder = "g7"
    gateways.silent = {"g1", "g2"}
    assert gateways.find_result() is jobsearches.Result.FOUND
    assert (gateways.search.holder, gateways.search.state) == ("g7", "cancelled")


def test_job_is_not_said_to_be_absent_while_a_gateway_has_not_answered():
    gateways = Gateways(10)
    gateways.silent = {"g1"}
    began_ms = gateways.now_ms
    assert gateways.find_result() is jobsearches.Result.UNKNOWN
    assert gateways.now_ms - began_ms <= jobsearches.LIMIT_MS + STEP_MS
    resends = jobsearches.LIMIT_MS // jobsearches.RESEND_MS
    assert gateways.messages <= 10 + resends


def test_job_is_not_said_to_be_absent_without_an_up_to_date_list():
    gateways = Gateways(2)
    gateways.has_contact = False
    assert gateways.find_result() is jobsearches.Result.UNKNOWN


def test_gateway_that_is_listed_during_a_search_is_asked():
    gateways = Gateways(2)
    gateways.silent = {"g1"}
    gateways.search.list_due(gateways.names, gateways.now_ms)
    gateways.names["g9"] = "g9:1"
    gateways.holder = "g9"
    assert gateways.find_result() is jobsearches.Result.FOUND


def test_too_many_searches_at_a_time_are_turned_away(tmp_path, monkeypatch):
    monkeypatch.setattr(jobsearches, "MAX_SEARCHES", 0)

    async def scenario(system, _gateway, front) -> None:
        assert (await system.call("DELETE", front, f"/quotes/{JOB}"))[0] == 503

    run_with_other(tmp_path, scenario)
