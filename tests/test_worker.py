"""Tests of tasks that the platform stops if their upstream does not."""

import asyncio
import json

import attrs
import pytest

from amaranthspar.execution import executor
from amaranthspar.upstreams import standin, upstream, worker, workerstandin
from amaranthspar.web import _httpserver
from tests import builders_control

WAIT_S = 20
STUCK_MS = 60_000
MAX_BODY_BYTES = 1024


def build_run(timeout_ms=STUCK_MS) -> executor.RunTask:
    payload = json.dumps({"sleep_ms": STUCK_MS}).encode()
    return executor.RunTask("job/1", 0, "hold", "json", payload, timeout_ms, "")


@attrs.define
class Host:
    """A stand-in upstream and platform with their clients."""

    upstream: upstream.UpstreamClient
    platform: workerstandin.WorkerStandIn
    server: _httpserver.HttpServer
    record: standin.StartRecord
    worker: worker.WorkerClient

    @property
    def running(self) -> int:
        return sum(not span.ended_ms for span in self.record.spans)

    async def wait_started(self) -> None:
        while not self.running:
            await asyncio.sleep(0.01)


def run(scenario, deaf=True):
    """Run a scenario on one host.

    By default its upstream continues tasks after their client has disconnected.
    """

    async def main():
        record = standin.StartRecord()
        stand_in = standin.StandIn("u", "gyor", record)
        stand_in.behaviour.deaf = deaf
        platform = workerstandin.WorkerStandIn([stand_in])
        addresses = [builders_control.find_address() for _ in range(2)]
        await stand_in.open(addresses[0])
        server = _httpserver.HttpServer(MAX_BODY_BYTES)
        platform.add_to(server)
        await server.open(addresses[1])
        client = worker.WorkerClient(addresses[1])
        caller = upstream.UpstreamClient(addresses[0], 8, client)
        async with asyncio.timeout(WAIT_S):
            await scenario(Host(caller, platform, server, record, client))
        await caller.close()
        await client.close()
        await server.close()
        await stand_in.close()

    asyncio.run(main())


def test_call_over_its_deadline_ends_once_the_platform_has_stopped_the_task():
    async def scenario(host):
        result = await host.upstream.call(build_run(timeout_ms=100))
        assert result.outcome == "unknown"
        assert (host.running, host.platform.stopped) == (0, 1)

    run(scenario)


def test_cancelled_task_is_stopped_by_the_platform():
    async def scenario(host):
        calling = asyncio.create_task(host.upstream.call(build_run()))
        await host.wait_started()
        assert host.upstream.stop("job/1", 0)
        result = await calling
        assert (result.outcome, result.reason) == ("unknown", "cancelled")
        assert (host.running, host.platform.stopped) == (0, 1)

    run(scenario)


def test_platform_stops_nothing_if_the_upstream_stops_the_task():
    async def scenario(host):
        calling = asyncio.create_task(host.upstream.call(build_run()))
        await host.wait_started()
        host.upstream.stop("job/1", 0)
        await calling
        await asyncio.sleep(2 * upstream.STOP_GRACE_MS / 1000)
        assert (host.running, host.platform.stopped) == (0, 0)

    run(scenario, deaf=False)


def test_call_over_its_deadline_waits_until_a_failing_platform_recovers():
    async def scenario(host):
        host.platform.failing = True
        calling = asyncio.create_task(host.upstream.call(build_run(timeout_ms=100)))
        await host.wait_started()
        await asyncio.sleep(0.5)
        assert (host.running, calling.done()) == (1, False)
        host.platform.failing = False
        assert (await calling).outcome == "unknown"
        assert host.running == 0

    run(scenario)


def test_call_with_a_lost_connection_ends_before_its_task_is_stopped():
    async def scenario(host):
        host.platform.failing = True
        calling = asyncio.create_task(host.upstream.call(build_run()))
        await host.wait_started()
        next(iter(host.upstream._calls.values())).transport.abort()
        assert (await calling).outcome == "unknown"
        assert host.running == 1
        host.platform.failing = False
        while host.running:
            await asyncio.sleep(0.01)

    run(scenario)


def test_call_ends_if_the_platform_does_not_respond_in_time(monkeypatch):
    monkeypatch.setattr(worker, "STOP_TIMEOUT_MS", 300)

    async def scenario(host):
        await host.server.close()
        result = await host.upstream.call(build_run(timeout_ms=100))
        assert result.outcome == "unknown"
        assert host.running == 1

    run(scenario)


@pytest.mark.parametrize("failing", [False, True])
def test_unknown_task_counts_as_stopped_unless_the_platform_fails(failing, monkeypatch):
    monkeypatch.setattr(worker, "STOP_TIMEOUT_MS", 100)

    async def scenario(host):
        host.platform.failing = failing
        assert await host.worker.stop_task("other", 3) is not failing

    run(scenario)
