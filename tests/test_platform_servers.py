"""Tests of the platform's HTTP servers with requests that cannot be read."""

import asyncio
import contextlib
import resource
import zlib

import pytest
import structlog
import uvloop

from amaranthspar import ports
from amaranthspar.intake import limits
from amaranthspar.network import clientguards
from amaranthspar.platform import servers

WAIT_S = 10
COUNT = 20
BOUND_MS = 300
HANDLING_S = 1.5
"""Longer than the bound and an interval of checks together."""
HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\n"


async def read_body(request):
    await request.read()
    return servers.answer_json(200)


async def send(address: str, data: bytes) -> bytes:
    """Send bytes on a new connection and return the first line of the answer."""
    host, port = address.split(":")
    async with asyncio.timeout(WAIT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        line = await reader.readline()
    writer.close()
    return line


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xfe\r\n\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        b"GET /" + b"a" * 20_000 + b" HTTP/1.1\r\n\r\n",
        b"POST http://a:99999/ HTTP/1.1\r\nHost: a\r\n\r\n",
        HEAD + b"Content-Length: -1\r\n\r\n",
        HEAD + b"Content-Length: " + b"9" * 30 + b"\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
        HEAD + b"Content-Encoding: gzip\r\nContent-Length: 7\r\n\r\nno gzip",
        HEAD + b"Content-Length: 2000000\r\n\r\n" + b"a" * 2_000_000,
    ],
)
def test_unreadable_requests_are_refused_and_logged_once(data, capfd):
    async def run() -> None:
        server = servers.Server(read_body)
        address = ports.find_addresses()[0]
        await server.open(address)
        with structlog.testing.capture_logs() as lines:
            for _ in range(COUNT):
                status = (await send(address, data)).split()[1]
                assert status in (b"400", b"413")
        assert len(lines) in (1, 2)
        assert {line["log_level"] for line in lines} == {"warning"}
        assert all(line["reason"] for line in lines)
        answer = await send(address, HEAD + b"Content-Length: 2\r\n\r\n{}")
        assert answer.split()[1] == b"200"
        await server.close()

    asyncio.run(run())
    assert capfd.readouterr().err == ""


@pytest.mark.parametrize("part", [1, 4_096, 262_144])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_single_request_of_largest_size_is_served_in_parts_of_any_size(
    part, is_chunked
):
    """Limits on what all clients occupy must not refuse one that is within its own."""
    size = 262_144
    body = b"a" * part
    if is_chunked:
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        parts = [b"%x\r\n%b\r\n" % (part, body)] * (size // part) + [b"0\r\n\r\n"]
    else:
        head = HEAD + b"Content-Length: %d\r\n\r\n" % size
        parts = [body] * (size // part)

    async def run() -> None:
        server = servers.Server(read_body, guard=servers.build_guard(160, 1_638))
        address = ports.find_addresses()[0]
        await server.open(address)
        assert (await send(address, head + b"".join(parts))).split()[1] == b"200"
        await server.close()

    asyncio.run(run())


def test_single_request_that_is_sent_slowly_is_served():
    async def run() -> None:
        server = servers.Server(read_body, guard=servers.build_guard(160, 1_638))
        address = ports.find_addresses()[0]
        await server.open(address)
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(HEAD + b"Content-Length: 262144\r\n\r\n")
        for _ in range(16):
            await asyncio.sleep(0.1)
            writer.write(b"a" * 16_384)
        assert (await reader.readline()).split()[1] == b"200"
        writer.close()
        await server.close()

    asyncio.run(run())


@pytest.mark.parametrize("size", [1024**2 - 1, 1024**2])
def test_body_below_one_mebibyte_is_accepted_on_the_smallest_host(size):
    """Configurations of operators may be larger than jobs."""

    async def run() -> None:
        server = servers.Server(read_body, guard=servers.build_guard(160, 1_638))
        address = ports.find_addresses()[0]
        await server.open(address)
        data = HEAD + b"Content-Length: %d\r\n\r\n" % size + b"a" * size
        assert (await send(address, data)).split()[1] == b"200"
        await server.close()

    asyncio.run(run())


def test_request_over_the_budget_is_refused_as_not_run():
    """Its caller must know that it may send the request again, and when."""

    async def run() -> None:
        guard = clientguards.ClientGuard(limits.Limits(100_000, 100))
        server = servers.Server(read_body, guard=guard)
        address = ports.find_addresses()[0]
        await server.open(address)
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(HEAD + b"Content-Length: 200000\r\n\r\n" + b"a" * 150_000)
        answer = await reader.read(4_096)
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"Amaranthspar-Outcome: not-run\r\n" in answer
        assert b"Retry-After: " in answer
        assert guard.drops == {"budget": 1}
        writer.close()
        request = HEAD + b"Content-Length: 2\r\n\r\n{}"
        assert (await send(address, request)).split()[1] == b"200"
        await server.close()
        assert guard.held_bytes == 0

    asyncio.run(run())


def test_compressed_bodies_count_by_their_decoded_size():
    """A body of 1 MB arrives in 1 KB; many that stop short would fill the memory."""

    async def run() -> None:
        guard = clientguards.ClientGuard(limits.Limits(3_000_000, 100))
        server = servers.Server(read_body, guard=guard)
        address = ports.find_addresses()[0]
        await server.open(address)
        host, port = address.split(":")
        body = zlib.compress(bytes(900_000))
        head = HEAD + b"Content-Encoding: deflate\r\nContent-Length: 5000\r\n\r\n"
        writers = []
        for _ in range(10):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(head + body)
            writers.append(writer)
        async with asyncio.timeout(WAIT_S):
            while guard.drops["budget"] < 7:
                await asyncio.sleep(0.01)
        assert 2_700_000 <= guard.held_bytes <= 3_000_000
        for writer in writers:
            writer.close()
        await server.close()

    asyncio.run(run())


@pytest.mark.parametrize("allowed", [1_024, resource.RLIM_INFINITY])
def test_settings_without_limits_use_those_of_the_system(monkeypatch, allowed):
    monkeypatch.setattr(resource, "getrlimit", lambda _kind: (allowed, allowed))
    bounds = servers.build_guard()._intake._limits
    expected = limits.derive_limits(512, 1_024 if allowed > 0 else 1_000_000)
    assert bounds == expected
    assert bounds.max_connections == (412 if allowed > 0 else 1_638)


async def exchange(
    server: servers.Server, requests: list[bytes], pause_s: float = 0
) -> list[bytes]:
    """Send requests one after the other on one connection; return the first lines."""
    address = ports.find_addresses()[0]
    await server.open(address)
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = []
    with contextlib.closing(writer):
        async with asyncio.timeout(WAIT_S):
            for data in requests:
                writer.write(data)
                answer = await reader.readuntil(b"{}")
                lines.append(answer.partition(b"\r\n")[0])
                await asyncio.sleep(pause_s)
    await server.close()
    return lines


@pytest.mark.parametrize("size", [2, 6_000, 12_000])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_request_that_was_read_whole_is_not_dropped_while_it_is_handled(
    size, is_chunked
):
    """Its refusal would state that it was not run, although its handler goes on."""
    body = b"a" * size
    if is_chunked:
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (size, body)
        data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body
    else:
        data = HEAD + b"Content-Length: %d\r\n\r\n" % size + body

    async def handle(request):
        await request.read()
        await asyncio.sleep(HANDLING_S)
        return servers.answer_json(200)

    guard = clientguards.ClientGuard(
        limits.Limits(limits.MB, 100, stall_ms=BOUND_MS, short_ms=BOUND_MS)
    )
    server = servers.Server(handle, guard=guard)
    lines = asyncio.run(exchange(server, [data, data]))
    assert lines == [b"HTTP/1.1 200 OK"] * 2
    assert not guard.drops
    assert guard.held_bytes == 0


@pytest.mark.parametrize("pause_s", [0, HANDLING_S])
def test_connection_is_usable_after_a_request_whose_body_was_not_read(pause_s):
    """The bound on the rest of a body must not end the next request or an idle time."""
    large = HEAD + b"Content-Length: 12000\r\n\r\n" + b"a" * 12_000
    ordinary = HEAD + b"Content-Length: 2\r\n\r\n{}"
    count = 0

    async def handle(request):
        nonlocal count
        count += 1
        if count == 1:
            return servers.answer_json(404)
        await asyncio.sleep(HANDLING_S - pause_s)
        return servers.answer_json(200)

    guard = clientguards.ClientGuard(limits.Limits(limits.MB, 100, discard_ms=BOUND_MS))
    server = servers.Server(handle, guard=guard)
    lines = asyncio.run(exchange(server, [large, ordinary], pause_s))
    assert lines == [b"HTTP/1.1 404 Not Found", b"HTTP/1.1 200 OK"]
    assert not guard.drops
    assert guard.held_bytes == 0


@pytest.mark.parametrize("factory", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_request_that_is_dropped_before_its_handler_begins_is_not_run(
    factory, monkeypatch
):
    """It was refused as not run, for a connection that arrived right after it."""
    receive = servers._Protocol.data_received
    handled = []

    def receive_and_drop(self, data: bytes) -> None:
        receive(self, data)
        self._guard.open(lambda refusal: None)

    async def handle(request):
        handled.append(request.path)
        return servers.answer_json(200)

    async def run() -> bytes:
        guard = clientguards.ClientGuard(limits.Limits(limits.MB, 1))
        server = servers.Server(handle, guard=guard)
        address = ports.find_addresses()[0]
        await server.open(address)
        line = await send(address, HEAD + b"Content-Length: 2\r\n\r\n{}")
        await server.close()
        return line

    monkeypatch.setattr(servers._Protocol, "data_received", receive_and_drop)
    with asyncio.Runner(loop_factory=factory) as runner:
        line = runner.run(run())
    assert line.split()[1] == b"503"
    assert handled == []
