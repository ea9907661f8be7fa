"""Tests of the product's HTTP server with legal clients that need time."""

import asyncio
import contextlib

import pytest
import uvloop
from sanic import response

from amaranthspar import ports
from amaranthspar.intake import limits
from amaranthspar.network import clientguards
from amaranthspar.web import _httpserver

WAIT_S = 30
BOUND_MS = 300
HANDLING_S = 1.5
"""Longer than the bound and an interval of checks together."""
FIELDS = b"Host: a\r\nConnection: close\r\n"


def build_server(**bounds: int) -> _httpserver.HttpServer:
    """Return a server whose guard has shorter times."""
    server = _httpserver.HttpServer(limits.MB)
    server.guard = clientguards.ClientGuard(
        limits.Limits(64 * limits.MB, 100, **bounds)
    )
    server.app.ctx.guard = server.guard
    return server


async def handle_slowly(request) -> response.HTTPResponse:
    await asyncio.sleep(HANDLING_S)
    return response.text("done")


def test_request_without_body_is_not_dropped_while_it_is_handled():
    """Its refusal would state that it was not run."""

    async def run() -> None:
        server = build_server(head_ms=BOUND_MS, short_ms=BOUND_MS)
        server.add("POST", "/a", handle_slowly)
        address = ports.find_addresses()[0]
        await server.open(address)
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /a HTTP/1.1\r\n" + FIELDS + b"\r\n")
        with contextlib.closing(writer):
            async with asyncio.timeout(WAIT_S):
                answer = await reader.read()
        await server.close()
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert not server.guard.drops
        assert server.guard.held_bytes == 0

    asyncio.run(run())


def test_large_response_that_is_read_slowly_is_sent_whole():
    """A client that goes on reading is not one that reads nothing."""
    size = 16 * limits.MB

    async def answer_much(request) -> response.HTTPResponse:
        return response.raw(bytes(size))

    async def run() -> int:
        server = build_server(stall_ms=1_500)
        server.add("GET", "/a", answer_much)
        address = ports.find_addresses()[0]
        await server.open(address)
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /a HTTP/1.1\r\n" + FIELDS + b"\r\n")
        received = 0
        with contextlib.closing(writer):
            async with asyncio.timeout(WAIT_S):
                while part := await reader.read(limits.MB):
                    received += len(part)
                    await asyncio.sleep(0.05)
        await server.close()
        assert not server.guard.drops
        return received

    assert asyncio.run(run()) > size


@pytest.mark.parametrize("factory", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_request_that_is_dropped_before_its_handler_begins_is_not_run(
    factory, monkeypatch
):
    """It was refused as not run, for a connection that arrived right after its head."""
    receive = _httpserver._Protocol.data_received
    handled = []

    def receive_and_drop(self, data: bytes) -> None:
        receive(self, data)
        self.app.ctx.guard.open(lambda refusal: None)

    async def handle(request) -> response.HTTPResponse:
        handled.append(request.path)
        return response.text("done")

    async def run() -> bytes:
        server = build_server()
        server.guard = clientguards.ClientGuard(limits.Limits(limits.MB, 1))
        server.app.ctx.guard = server.guard
        server.add("POST", "/a", handle)
        address = ports.find_addresses()[0]
        await server.open(address)
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /a HTTP/1.1\r\n" + FIELDS + b"\r\n")
        with contextlib.closing(writer):
            async with asyncio.timeout(WAIT_S):
                answer = await reader.read()
        await server.close()
        return answer

    monkeypatch.setattr(_httpserver._Protocol, "data_received", receive_and_drop)
    with asyncio.Runner(loop_factory=factory) as runner:
        answer = runner.run(run())
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert handled == []
