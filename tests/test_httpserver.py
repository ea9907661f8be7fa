"""Tests of the product's HTTP server with requests at and over its limits."""

import asyncio

import pytest
from sanic import response

from amaranthspar import ports
from amaranthspar.web import _httpserver

WAIT_S = 60
MAX_BODY_BYTES = 300_000
BUDGET_BYTES = 800_000
CONNECTIONS = 20
HEAD = b"POST /size HTTP/1.1\r\nHost: a\r\n"


async def answer_size(request):
    return response.text(str(len(request.body)))


async def ask(address: str, *parts: bytes, pause_s: float = 0.0) -> bytes:
    """Send the parts of a request and return the answer."""
    host, port = address.split(":")
    async with asyncio.timeout(WAIT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause_s)
        answer = await reader.read(65_536)
    writer.close()
    return answer


def run(scenario) -> None:
    async def serve() -> None:
        server = _httpserver.HttpServer(MAX_BODY_BYTES, BUDGET_BYTES, CONNECTIONS)
        server.add("POST", "/size", answer_size)
        address = ports.find_addresses()[0]
        await server.open(address)
        try:
            await scenario(server, address)
        finally:
            await server.close()

    asyncio.run(serve())


@pytest.mark.parametrize("part", [1, 1_000, 100_000])
def test_single_chunked_body_is_served_in_chunks_of_any_size(part):
    async def scenario(server, address) -> None:
        chunk = b"%x\r\n%b\r\n" % (part, b"a" * part)
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        answer = await ask(address, head + chunk * (100_000 // part) + b"0\r\n\r\n")
        assert answer.endswith(b"\r\n\r\n100000")
        assert not server.guard.drops

    run(scenario)


def test_single_largest_body_that_is_sent_slowly_is_served():
    async def scenario(server, address) -> None:
        parts = [b"a" * (MAX_BODY_BYTES // 10)] * 10
        head = HEAD + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
        answer = await ask(address, head, *parts, pause_s=0.1)
        assert answer.endswith(b"\r\n\r\n300000")
        assert not server.guard.drops

    run(scenario)


def test_bytes_are_released_after_each_request_of_a_connection():
    """Bytes that stay reserved would in the end refuse every caller."""

    async def scenario(server, address) -> None:
        request = HEAD + b"Content-Length: 250000\r\n\r\n" + b"a" * 250_000
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for _ in range(8):
            writer.write(request)
            await reader.readuntil(b"\r\n\r\n250000")
        await asyncio.sleep(0.05)
        assert server.guard.held_bytes == 0
        assert server.guard.open_connections == 1
        writer.close()

    run(scenario)


def test_request_over_the_budget_is_refused_as_not_run():
    async def scenario(server, address) -> None:
        async def stall() -> bytes:
            head = HEAD + b"Content-Length: 300000\r\n\r\n"
            return await ask(address, head + b"a" * 299_000)

        stalled = [asyncio.create_task(stall()) for _ in range(3)]
        done, rest = await asyncio.wait(
            stalled, timeout=WAIT_S, return_when=asyncio.FIRST_COMPLETED
        )
        answer = done.pop().result()
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"Amaranthspar-Outcome: not-run\r\n" in answer
        assert b"Retry-After: " in answer
        assert server.guard.drops == {"budget": 1}
        for task in rest:
            task.cancel()

    run(scenario)


def test_idle_connections_yield_to_new_ones():
    async def scenario(server, address) -> None:
        host, port = address.split(":")
        idle = [
            await asyncio.open_connection(host, int(port))
            for _ in range(2 * CONNECTIONS)
        ]
        answer = await ask(address, HEAD + b"Content-Length: 2\r\n\r\nab")
        assert answer.endswith(b"\r\n\r\n2")
        assert server.guard.open_connections <= CONNECTIONS
        for _, writer in idle:
            writer.close()

    run(scenario)
