"""Tests of the whole path of a request, with every role in one process."""

import asyncio
import json
import pathlib
from collections.abc import Awaitable, Callable

import uvloop

from amaranthspar import ports
from amaranthspar.clients import client
from amaranthspar.roles import cluster

Scenario = Callable[[cluster.Cluster, client.Client], Awaitable[None]]


def run_scenario(
    folder: pathlib.Path, scenario: Scenario, ledger_upstreams: int = 0
) -> cluster.Cluster:
    http_ports = ports.find_ports(2)
    running = cluster.Cluster(folder, "secret", http_ports, ledger_upstreams)

    async def run() -> None:
        await running.start()
        caller = client.Client(f"http://{cluster.HOST}:{running.ports[0]}", "secret")
        try:
            await scenario(running, caller)
        finally:
            await caller.close()
            await running.stop()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
    return running


def encode(value: object) -> bytes:
    return json.dumps(value).encode()


def test_answers_out_of_order_reach_their_callers(tmp_path: pathlib.Path) -> None:
    async def scenario(running: cluster.Cluster, caller: client.Client) -> None:
        async def ask(number: int) -> None:
            body = encode({"sleep_ms": (200 - number) % 37, "echo": number})
            reply = await caller.send_request("lookup", body)
            assert reply.status == 200
            assert reply.outcome == "done"
            assert json.loads(reply.body)["echo"] == number

        await asyncio.gather(*(ask(number) for number in range(200)))

    running = run_scenario(tmp_path, scenario)
    assert running.record.started == 200
    assert not running.record.list_duplicates()


def test_failed_task_fails_the_whole_job(tmp_path: pathlib.Path) -> None:
    async def scenario(running: cluster.Cluster, caller: client.Client) -> None:
        tasks = [{"payload": {"echo": n, "fail": n == 3}} for n in range(6)]
        reply = await caller.submit_job("recalculate", encode({"tasks": tasks}))
        assert reply.status == 502
        assert "answers" not in json.loads(reply.body)

    assert not run_scenario(tmp_path, scenario).record.list_duplicates()


def test_idempotency_key_runs_once_across_gateways(tmp_path: pathlib.Path) -> None:
    async def scenario(running: cluster.Cluster, caller: client.Client) -> None:
        other = client.Client(f"http://{cluster.HOST}:{running.ports[1]}", "secret")
        body = encode({"sleep_ms": 100, "echo": "hold"})
        key = {"Idempotency-Key": "k"}
        asked = [item.send_request("hold", body, key) for item in (caller, other)]
        replies = await asyncio.gather(*asked)
        replies.append(await other.send_request("hold", body, key))
        await other.close()
        assert [item.status for item in replies] == [200, 200, 200]
        assert len({item.body for item in replies}) == 1

    assert run_scenario(tmp_path, scenario).record.started == 1


def test_task_that_fits_no_upstream_is_refused(tmp_path: pathlib.Path) -> None:
    async def scenario(running: cluster.Cluster, caller: client.Client) -> None:
        tasks = [{"payload": {}, "accelerators": 99}]
        reply = await caller.submit_job("recalculate", encode({"tasks": tasks}))
        assert reply.status == 422
        assert reply.outcome == "not-run"

    assert run_scenario(tmp_path, scenario).record.started == 0
