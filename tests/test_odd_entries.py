"""Tests of entries that another writer left: they stop nothing and name no upstream.

Each test leaves one odd entry in a running system and requires that what follows it is
served, as before.
"""

import asyncio
import time

import pytest
import structlog

from amaranthspar.platform import operators, registrations
from amaranthspar.schema import codec, viewmessages
from tests import builders_platform as builders, test_platform_path as paths

SETTLE_S = 0.3
SERVE_S = 5
HEARTBEAT_S = 1.5


async def send_heartbeat(system, body: bytes, upstream: str = "i-1") -> int:
    """Return the status of the response to a heartbeat.

    Args:
        system: Running system.
        body: Body of the heartbeat.
        upstream: Id of the upstream, percent-encoded.
    """
    path = f"{registrations.PATH}{upstream}/heartbeat"
    return (await system.call("POST", system.registrations, path, body))[0]


async def serve_job(system) -> None:
    """Require that a new job is completed soon."""
    async with asyncio.timeout(SERVE_S):
        job = f"{time.monotonic_ns():016x}"[-16:]
        assert await system.submit_until_done(job, count=1) == "completed"


@pytest.mark.parametrize(
    "changes",
    [
        {"Capacity": {"Cpu": 2**64, "MemMb": 8192}},
        {"Capacity": {"Cpu": 8000, "MemMb": -(2**64)}},
        {"Capacity": {"Cpu": -1, "MemMb": 8192}},
        {"Seq": 10**400},
        {"Labels": ["a"] * 100_000},
        {"Labels": ["a" * 500_000]},
        {"Address": "127.0.0.1:99999"},
    ],
    ids=["cpu", "memory", "negative", "sequence", "labels", "label", "port"],
)
def test_odd_heartbeat_is_refused_and_work_goes_on(tmp_path, changes):
    async def scenario(system) -> None:
        await serve_job(system)
        odd = builders.build_heartbeat(2, **changes)
        assert await send_heartbeat(system, odd) == 400
        await asyncio.sleep(SETTLE_S)
        await serve_job(system)
        assert await send_heartbeat(system, builders.build_heartbeat(3)) == 200
        assert system.sidecar._incarnations.current.sequence == 3

    paths.run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "upstream", ["i%0a1", "i%00", "i%7f", "i%201", "i%e2%82%ac", "i%ff", "i" * 9000]
)
def test_odd_id_is_refused_and_work_goes_on(tmp_path, upstream):
    async def scenario(system) -> None:
        await serve_job(system)
        odd = builders.build_heartbeat(2, born=2)
        assert await send_heartbeat(system, odd, upstream) == 400
        await asyncio.sleep(SETTLE_S)
        await serve_job(system)

    paths.run_scenario(tmp_path, scenario)


def test_rejected_heartbeats_are_logged_with_a_reason_but_only_now_and_then(tmp_path):
    async def scenario(system) -> None:
        other = builders.build_heartbeat(2, Service="s" * 10_000)
        odd = builders.build_heartbeat(2, State="x" * 10_000)
        with structlog.testing.capture_logs() as lines:
            for _ in range(30):
                assert await send_heartbeat(system, odd) == 400
                assert await send_heartbeat(system, other) == 400
                assert await send_heartbeat(system, b"[" * 100_000) == 400
        assert [item["event"] for item in lines] == [
            "malformed heartbeat",
            "unknown service",
        ]
        assert lines[0]["reason"].startswith("unknown state")
        assert all(len(str(item)) < 1_000 for item in lines)

    paths.run_scenario(tmp_path, scenario)


def leave_odd_list(upstream: builders.FakeUpstream, changes) -> None:
    """Let the upstream answer one request for its list with other fields.

    A lease whose end is no number of 64 bits is refused, as by most servers.
    """
    hold, answer = upstream._hold, upstream._answer
    odd = dict(changes)

    async def hold_checked(request):
        body = await request.json()
        if body.get("DeadlineMs", 0) >= 2**63:
            return answer(400)
        return await hold(request)

    def answer_oddly(status=200, **fields):
        if "Ended" in fields:
            fields |= odd
            odd.clear()
        return answer(status, **fields)

    upstream._hold, upstream._answer = hold_checked, answer_oddly


@pytest.mark.parametrize(
    "changes",
    [
        {"ClockMs": 10**30},
        {"ClockMs": 2**63},
        {"Ended": [[10**30, "t.0.0.0", 1, "done", ""]]},
        {"Running": [["t.0.0.0", 10**30, "", 10**30]]},
        {"Ended": [["t.0.0.0", 1]]},
    ],
    ids=["clock", "clock of 64 bits", "number", "run", "row"],
)
def test_odd_list_of_runs_is_dropped_and_later_ones_count(tmp_path, changes):
    async def scenario(system) -> None:
        await serve_job(system)
        leave_odd_list(system.upstream, changes)
        await restart_upstream_server(system)
        await asyncio.sleep(SETTLE_S)
        await serve_job(system)
        await serve_job(system)

    paths.run_scenario(tmp_path, scenario)


async def restart_upstream_server(system) -> None:
    """Serve the upstream by the methods that it has now, at the same address."""
    await system.upstream.close()
    await system.upstream.open()


@pytest.mark.parametrize(
    "field, value",
    [
        ("EstimateMs", 10**400),
        ("Cpu", 2**64),
        ("MemMb", 10**400),
        ("MaxPerServer", -5),
        ("Count", 10**30),
    ],
    ids=["estimate", "cpu", "memory", "per server", "count"],
)
def test_odd_job_is_refused_as_malformed(tmp_path, field, value):
    async def scenario(system) -> None:
        await serve_job(system)
        step = {"Count": 1, "Cpu": 1000, "MemMb": 64, "EstimateMs": 50, field: value}
        with structlog.testing.capture_logs() as lines:
            status, _ = await system.submit(Steps=[step])
        assert status == 400
        assert [line["event"] for line in lines] == ["malformed job rejected"]
        await serve_job(system)

    paths.run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "changes",
    [
        {"version": 2**64},
        {"version": 2**63},
        {"version": 2, "Other": "\ud800"},
        {"routes": [builders.build_route(Stretch=1e308)], "version": 2},
    ],
    ids=["64 bits", "63 bits", "text", "stretch"],
)
def test_odd_configuration_is_refused_and_later_one_is_in_force(tmp_path, changes):
    async def scenario(system) -> None:
        await serve_job(system)
        body = builders.build_configuration(**changes)
        status, _ = await put_configuration(system, body)
        assert status == 400
        await serve_job(system)
        status, _ = await put_configuration(system, builders.build_configuration(3))
        assert status == 200
        assert system.controller.state.documents.version == 3

    paths.run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("domain", ["%0a", "%00", "east%7f", "x" * 9_000])
def test_odd_failure_domain_is_refused(tmp_path, domain):
    async def scenario(system) -> None:
        path = f"{operators.DOMAIN_PATH}{domain}/start"
        assert (await system.call("POST", system.operators, path))[0] == 400
        assert not system.controller.state.documents.domains_out
        path = f"{operators.DOMAIN_PATH}kelet-%C3%A9szak%201/start"
        assert (await system.call("POST", system.operators, path))[0] == 200
        assert system.controller.state.documents.domains_out == {"kelet-észak 1"}

    paths.run_scenario(tmp_path, scenario)


def test_rejected_configurations_are_logged_in_short(tmp_path):
    async def scenario(system) -> None:
        routes = [builders.build_route(Name="r" * 100_000, Service="none")]
        odd = builders.build_configuration(2, routes)
        with structlog.testing.capture_logs() as lines:
            for _ in range(20):
                assert (await put_configuration(system, odd))[0] == 400
        assert [line["event"] for line in lines] == ["configuration rejected"]
        assert len(lines[0]["reason"]) < 1_000

    paths.run_scenario(tmp_path, scenario)


def test_unreadable_document_leaves_the_former_routes_in_force(tmp_path):
    async def scenario(system) -> None:
        await serve_job(system)
        with structlog.testing.capture_logs() as lines:
            system.gateway.document = builders.build_configuration(2**64)
            assert (await system.submit(count=1))[0] == 200
            assert (await system.submit(paths.JOB[::-1], count=1))[0] == 200
        found = [item for item in lines if item["log_level"] == "error"]
        assert [item["event"] for item in found] == ["routing document unreadable"]
        assert found[0]["held"] == 1
        system.gateway.document = builders.build_configuration(2, [])
        assert (await system.submit(count=1))[0] == 404

    paths.run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "address", ["", "no address", "127.0.0.1:99999", "127.0.0.1:-1", "fe80::1%x:80"]
)
def test_odd_process_in_the_list_leaves_the_others_in_use(tmp_path, address):
    async def scenario(system) -> None:
        await serve_job(system)
        peers = len(system.gateway._dispatcher.fleet.sidecars)
        odd = viewmessages.Announce(
            *("odd", "sidecar", 2**64 - 1, address, "quotes", "east", False),
            *(2**63, 2**63, True, True, 2**63),
        )
        frame = codec.Frame("odd", 2**64 - 1, address, [odd], 2**64 - 1, 2**64 - 1)
        system.controller._links._accept(codec.encode_frame(frame), None)
        async with asyncio.timeout(paths.WAIT_S):
            while len(system.gateway._dispatcher.fleet.sidecars) == peers:
                await asyncio.sleep(0.02)
        for _ in range(3):
            await serve_job(system)

    paths.run_scenario(tmp_path, scenario)


async def put_configuration(system, body: bytes) -> tuple[int, bytes]:
    """Return the status and the body of the response to a configuration."""
    return await system.call("POST", system.operators, operators.PUT_PATH, body)


def test_odd_sequence_number_hides_no_later_heartbeat_for_long(tmp_path):
    """The upstream goes on to count from its own number, at its own interval."""

    async def scenario(system) -> None:
        await serve_job(system)
        odd = builders.build_heartbeat(2**53 - 1)
        await send_heartbeat(system, odd)
        for sequence in range(2, 7):
            body = builders.build_heartbeat(sequence, State="draining")
            assert await send_heartbeat(system, body) == 200
            await asyncio.sleep(HEARTBEAT_S)
        assert system.sidecar._incarnations.current.status.is_leaving

    paths.run_scenario(tmp_path, scenario)
