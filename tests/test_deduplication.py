"""Tests of idempotency keys and of jobs across several gateways."""

import asyncio
import json
import pathlib

from amaranthspar.clients import client
from amaranthspar.roles import cluster
from amaranthspar.web import parsing, remoteanswers
from tests import test_cluster

KEY = {"Idempotency-Key": "k"}
ASYNC = {"Prefer": "respond-async"}


def open_second_client(running: cluster.Cluster) -> client.Client:
    return client.Client(f"http://{cluster.HOST}:{running.ports[1]}", "secret")


async def wait_for_job(caller: client.Client, location: str) -> client.Reply:
    while True:
        reply = await caller.call("GET", location)
        if reply.status != 200 or json.loads(reply.body)["state"] != "running":
            return reply
        await asyncio.sleep(0.02)


def test_origin_is_parsed_from_the_submission_id() -> None:
    expected = remoteanswers.Origin("gateway-1.a", 255)
    assert remoteanswers.parse_origin("gateway-1.a.ff.1") == expected
    assert remoteanswers.parse_origin("gateway-1") is None
    assert remoteanswers.parse_origin("a.zz.1") is None


def test_resend_after_gateway_crash_has_unknown_outcome(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(running: cluster.Cluster, caller: client.Client) -> None:
        other = open_second_client(running)
        body = test_cluster.encode({"sleep_ms": 9_000})
        first = asyncio.ensure_future(caller.send_request("hold", body, KEY))
        while not running.record.started:
            await asyncio.sleep(0.01)
        crashed = running.gateways.pop(0)
        await crashed.close()
        reply = await other.send_request("hold", body, KEY)
        assert reply.status == 502
        assert reply.outcome == "unknown"
        await asyncio.gather(first, return_exceptions=True)
        await other.close()

    running = test_cluster.run_scenario(tmp_path, scenario)
    assert running.record.started == 1


def test_key_of_a_submission_that_did_not_run_can_be_reused(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(running: cluster.Cluster, caller: client.Client) -> None:
        other = open_second_client(running)
        body = test_cluster.encode({"echo": 1})
        fetched = await caller.fetch_configuration()
        out = fetched.text
        for domain in cluster.DOMAINS:
            out = out.replace(f"[domain {domain}]", f"[domain {domain}]\nstate = out")
        await caller.submit_configuration(out, fetched.version, "all-out")
        await asyncio.sleep(2)
        deadline = {parsing.DEADLINE_HEADER: "300"}
        refused = await caller.send_request("hold", body, KEY | deadline)
        assert refused.outcome == "not-run"
        assert not running.record.started
        await caller.submit_configuration(fetched.text, fetched.version + 1, "all-in")
        await asyncio.sleep(2)
        reply = await other.send_request("hold", body, KEY)
        assert reply.status == 200
        assert reply.outcome == "done"
        await other.close()

    running = test_cluster.run_scenario(tmp_path, scenario)
    assert running.record.started == 1


def test_key_with_another_body_is_rejected(tmp_path: pathlib.Path) -> None:
    async def scenario(running: cluster.Cluster, caller: client.Client) -> None:
        other = open_second_client(running)
        first = await caller.send_request("hold", test_cluster.encode({"echo": 1}), KEY)
        second = await other.send_request("hold", test_cluster.encode({"echo": 2}), KEY)
        assert (first.status, second.status) == (200, 422)
        assert second.outcome == "not-run"
        await other.close()

    running = test_cluster.run_scenario(tmp_path, scenario)
    assert running.record.started == 1


def test_resent_job_is_cancelled_and_key_conflict_is_shown(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(running: cluster.Cluster, caller: client.Client) -> None:
        other = open_second_client(running)
        tasks = [{"payload": {"sleep_ms": 10_000}}]
        body = test_cluster.encode({"tasks": tasks})
        first = await caller.submit_job("recalculate", body, KEY | ASYNC)
        while not running.record.started:
            await asyncio.sleep(0.01)
        second = await other.submit_job("recalculate", body, KEY | ASYNC)
        find_original = running.gateways[1].find_original
        while not find_original(second.location.rpartition("/")[2]):
            await asyncio.sleep(0.01)
        assert (await other.call("DELETE", second.location)).status == 204
        assert (await wait_for_job(caller, first.location)).status == 502
        tasks = [{"payload": {"sleep_ms": 1}}]
        changed = test_cluster.encode({"tasks": tasks})
        third = await other.submit_job("recalculate", changed, KEY | ASYNC)
        refused = await wait_for_job(other, third.location)
        assert refused.outcome == "not-run"
        await other.close()

    running = test_cluster.run_scenario(tmp_path, scenario)
    assert running.record.started == 1


def test_jobs_are_shown_and_cancelled_at_any_gateway(tmp_path: pathlib.Path) -> None:
    async def scenario(running: cluster.Cluster, caller: client.Client) -> None:
        other = open_second_client(running)
        tasks = [{"payload": {"sleep_ms": 50, "echo": n}} for n in range(5)]
        body = test_cluster.encode({"tasks": tasks})
        accepted = await caller.submit_job("recalculate", body, ASYNC)
        assert accepted.status == 202
        done = await wait_for_job(other, accepted.location)
        answers = json.loads(done.body)["answers"]
        assert [item["echo"] for item in answers] == list(range(5))
        tasks = [{"payload": {"sleep_ms": 10_000}}]
        body = test_cluster.encode({"tasks": tasks})
        accepted = await caller.submit_job("recalculate", body, ASYNC)
        deleted = await other.call("DELETE", accepted.location)
        assert deleted.status == 204
        cancelled = await wait_for_job(other, accepted.location)
        assert cancelled.status == 502
        missing = await other.call("GET", "/v1/jobs/gateway-1.1.1")
        assert missing.status in (404, 502)
        await other.close()

    test_cluster.run_scenario(tmp_path, scenario)


def test_resend_waits_for_a_gateway_that_has_just_joined(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(running: cluster.Cluster, caller: client.Client) -> None:
        other = open_second_client(running)
        body = test_cluster.encode({"echo": 1})
        first = await other.send_request("hold", body, KEY)
        while "gateway-2" not in running.gateways[0].holder.view.members:
            await asyncio.sleep(0.02)
        members = running.gateways[0].holder.view.members
        while "gateway-2" not in members:
            await asyncio.sleep(0.01)
            members = running.gateways[0].holder.view.members
        # Hide the second gateway from the first one, as if it had not joined yet.
        joining = members.pop("gateway-2")
        resent = asyncio.ensure_future(caller.send_request("hold", body, KEY))
        await asyncio.sleep(0.3)
        members["gateway-2"] = joining
        reply = await resent
        assert (reply.status, reply.body) == (200, first.body)
        await other.close()

    running = test_cluster.run_scenario(tmp_path, scenario)
    assert running.record.started == 1
