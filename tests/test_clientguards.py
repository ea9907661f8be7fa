"""Tests of the closing of connections that were dropped."""

import asyncio
import contextlib
import socket

import pytest
import uvloop

from amaranthspar.network import clientguards

WAIT_S = 20


class _Protocol(asyncio.Protocol):
    """Connection whose end can be awaited."""

    def __init__(self) -> None:
        self.lost = asyncio.Event()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.set()


@pytest.mark.parametrize("factory", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_refused_client_that_reads_nothing_does_not_keep_its_descriptor(factory):
    """If the kernel has no room for the refusal, closing would wait for the client."""

    async def run() -> None:
        server_end, client_end = socket.socketpair()
        with contextlib.closing(client_end):
            server_end.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    server_end.send(bytes(65_536))
            with contextlib.suppress(BlockingIOError):
                while True:
                    server_end.send(b"a")
            loop = asyncio.get_running_loop()
            transport, protocol = await loop.create_connection(
                _Protocol, sock=server_end
            )
            clientguards.refuse(transport, b"refused")
            async with asyncio.timeout(WAIT_S):
                await protocol.lost.wait()

    with asyncio.Runner(loop_factory=factory) as runner:
        runner.run(run())
