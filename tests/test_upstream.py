"""Tests of the client of an upstream, against a server on plain sockets."""

import asyncio
import contextlib

import pytest
import uvloop

from amaranthspar.execution import executor
from amaranthspar.upstreams import exchange, upstream
from tests import builders_control

WAIT_S = 20
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def test_cancelled_connect_closes_no_descriptor_of_another_connection():
    """Calls time out in any turn of the loop while their connection is being made."""

    async def run() -> None:
        server = Server()
        await server.open()
        pool = exchange.Pool(server.address, 6)
        for turns in [*range(12)] * 5:
            connecting = asyncio.ensure_future(pool.connect())
            for _ in range(turns):
                await asyncio.sleep(0)
            connecting.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                exchange.release_connection(await connecting, reusable=False)
            others = [await pool.connect() for _ in range(3)]
            headers = pool.build_headers(b"{}")
            for other in others:
                await exchange.send_request(other, "/", headers, b"{}")
                response = await exchange.read_response(other)
                assert response.status == 200
                exchange.release_connection(other, reusable=False)
        await pool.close()
        server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


def build_run(index=0, timeout_ms=5000, payload=b"{}") -> executor.RunTask:
    return executor.RunTask("job", index, "hold", "json", payload, timeout_ms, "")


class Server:
    """Server that handles each request by the next script: bytes or an action.

    Bytes are sent as the response. ``wait`` never responds, ``leave`` closes the
    connection at once, ``end`` responds and closes the connection, ``early``
    responds without reading the whole request. Without a script left, the
    response has status 200.
    """

    def __init__(self, *scripts) -> None:
        self.address = builders_control.find_address()
        self.requests = 0
        self.connections = 0
        self.heads: list[bytes] = []
        self.client_disconnected = asyncio.Event()
        self.request_received = asyncio.Event()
        self.closing = asyncio.Event()
        self._scripts = list(scripts)
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def close(self) -> None:
        self.closing.set()
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(2)
                self.requests += 1
                self.heads.append(head)
                self.request_received.set()
                script = self._scripts.pop(0) if self._scripts else OK_RESPONSE
                if script == "wait":
                    await reader.read()
                    self.client_disconnected.set()
                    break
                if script == "leave":
                    break
                if script == "early":
                    writer.write(OK_RESPONSE)
                    await self.closing.wait()
                    break
                writer.write(OK_RESPONSE if script == "end" else script)
                if script != OK_RESPONSE:
                    break
        writer.close()


def call(server, *runs, connections=64):
    """Return the results of consecutive calls."""

    async def run():
        await server.open()
        client = upstream.UpstreamClient(server.address, connections)
        results = [await client.call(item) for item in runs]
        await client.close()
        server.close()
        return results

    return asyncio.run(run())


def test_connection_is_reused_between_calls():
    server = Server()
    results = call(server, build_run(0), build_run(1))
    assert [item.outcome for item in results] == ["done", "done"]
    assert server.connections == 1


def test_request_on_a_connection_that_closes_is_not_retried():
    server = Server(OK_RESPONSE, "leave", OK_RESPONSE)
    results = call(server, build_run(0), build_run(1), build_run(2))
    assert [item.outcome for item in results] == ["done", "unknown", "done"]
    assert server.requests == 3


def test_connections_closed_between_calls_cause_no_extra_request():
    server = Server("end", "end", "end")
    results = call(server, *(build_run(index) for index in range(3)))
    assert {item.outcome for item in results} <= {"done", "unknown"}
    assert server.requests <= 3


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"nonsense\r\n\r\n",
    ],
)
def test_incomplete_response_has_unknown_outcome(response):
    server = Server(response)
    assert call(server, build_run())[0].outcome == "unknown"
    assert server.requests == 1


@pytest.mark.parametrize("length", ["Content-Length: 100", "Connection: close"])
def test_body_over_the_limit_has_unknown_outcome(monkeypatch, length):
    monkeypatch.setattr(exchange, "MAX_BODY_BYTES", 50)
    response = f"HTTP/1.1 200 OK\r\n{length}\r\n\r\n".encode() + b"x" * 100
    result = call(Server(response), build_run())[0]
    assert (result.outcome, result.body) == ("unknown", b"")


def test_redirect_is_returned_and_not_followed():
    response = b"HTTP/1.1 307 X\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n"
    server = Server(response)
    assert call(server, build_run())[0].status == 307
    assert server.requests == 1


def test_cookie_of_one_caller_is_not_sent_for_another():
    response = (
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
        b"Set-Cookie: a=b\r\nContent-Length: 0\r\n\r\n"
    )

    server = Server(response)
    call(server, build_run(0), build_run(1))
    assert len(server.heads) == 2
    assert not any(b"cookie" in head.lower() for head in server.heads)


def test_interim_response_is_skipped():
    server = Server(b"HTTP/1.1 103 Early Hints\r\n\r\n" + OK_RESPONSE)
    assert call(server, build_run())[0].status == 200


def test_call_without_a_connection_at_its_deadline_is_not_run():
    server = Server("wait")

    async def run():
        await server.open()
        client = upstream.UpstreamClient(server.address, 1)
        first = asyncio.create_task(client.call(build_run(0)))
        async with asyncio.timeout(WAIT_S):
            await server.request_received.wait()
            result = await client.call(build_run(1, timeout_ms=50))
        client.stop("job", 0)
        await first
        await client.close()
        server.close()
        return result

    assert asyncio.run(run()).outcome == "not-run"
    assert server.requests == 1


def test_response_before_the_whole_request_was_read_is_accepted():
    run = build_run(payload=b"x" * 16 * 1024 * 1024)
    server = Server("early", OK_RESPONSE)
    results = call(server, run, build_run(1))
    assert [item.outcome for item in results] == ["done", "done"]
    assert server.connections == 2


def test_connection_without_a_response_at_the_deadline_is_replaced():
    server = Server("wait", OK_RESPONSE)
    results = call(server, build_run(0, timeout_ms=100), build_run(1))
    assert [item.outcome for item in results] == ["unknown", "done"]
    assert server.connections == 2


def test_task_is_not_run_if_the_connection_is_refused():
    async def run():
        client = upstream.UpstreamClient(builders_control.find_address(), 1)
        result = await client.call(build_run())
        await client.close()
        return result

    assert asyncio.run(run()).outcome == "not-run"


def test_connection_is_retried_while_the_upstream_starts():
    async def run():
        server = Server()
        client = upstream.UpstreamClient(server.address, 1)
        calling = asyncio.create_task(client.call(build_run()))
        await asyncio.sleep(0)
        await server.open()
        result = await calling
        await client.close()
        server.close()
        return result

    assert asyncio.run(run()).outcome == "done"


def test_number_of_connections_is_bounded_for_concurrent_calls():
    server = Server()

    async def run():
        await server.open()
        client = upstream.UpstreamClient(server.address, 2)
        results = await asyncio.gather(*(client.call(build_run(n)) for n in range(9)))
        await client.close()
        server.close()
        return results

    assert {item.outcome for item in asyncio.run(run())} == {"done"}
    assert server.connections <= 2


@pytest.mark.parametrize(
    "script", ["wait", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"]
)
def test_stopped_call_ends_when_the_upstream_closes_the_connection(script):
    server = Server(script)

    async def run():
        await server.open()
        client = upstream.UpstreamClient(server.address, 2)
        calling = asyncio.create_task(client.call(build_run()))
        async with asyncio.timeout(WAIT_S):
            await server.request_received.wait()
            assert client.stop("job", 0)
            result = await calling
        assert not client.stop("job", 0)
        await client.close()
        server.close()
        return result

    assert asyncio.run(run()).outcome == "unknown"


def test_call_stopped_before_it_has_a_connection_is_not_run():
    async def run():
        client = upstream.UpstreamClient(builders_control.find_address(), 2)
        calling = asyncio.create_task(client.call(build_run()))
        await asyncio.sleep(0.02)
        assert client.stop("job", 0)
        result = await calling
        await client.close()
        return result

    assert asyncio.run(run()).outcome == "not-run"
