"""Tests of calls of an upstream, against a server of plain sockets."""

import asyncio
import contextlib

import pytest

from amaranthspar.execution import executor
from amaranthspar.upstreams import exchange, upstream
from tests import builders_control

WAIT_S = 20
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def build_run(index=0, timeout_ms=5000, payload=b"{}") -> executor.RunTask:
    return executor.RunTask("job", index, "hold", "json", payload, timeout_ms, "")


class Server:
    """Answers each request with the next script: bytes, or what to do.

    ``wait`` never answers, ``leave`` closes at once, ``end`` answers and closes,
    ``early`` answers without reading the whole request.
    """

    def __init__(self, *scripts) -> None:
        self.address = builders_control.find_address()
        self.requests = 0
        self.connections = 0
        self.heads: list[bytes] = []
        self.closed = asyncio.Event()
        self.asked = asyncio.Event()
        self.leaving = asyncio.Event()
        self._scripts = list(scripts)
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def close(self) -> None:
        self.leaving.set()
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(2)
                self.requests += 1
                self.heads.append(head)
                self.asked.set()
                script = self._scripts.pop(0) if self._scripts else WHOLE
                if script == "wait":
                    await reader.read()
                    self.closed.set()
                    break
                if script == "leave":
                    break
                if script == "early":
                    writer.write(WHOLE)
                    await self.leaving.wait()
                    break
                writer.write(WHOLE if script == "end" else script)
                if script != WHOLE:
                    break
        writer.close()


def call(server, *runs, connections=64):
    """Return the results of calls made one after the other."""

    async def run():
        await server.open()
        client = upstream.UpstreamClient(server.address, connections)
        results = [await client.call(item) for item in runs]
        await client.close()
        server.close()
        return results

    return asyncio.run(run())


def test_connection_is_kept_between_calls():
    server = Server()
    results = call(server, build_run(0), build_run(1))
    assert [item.outcome for item in results] == ["done", "done"]
    assert server.connections == 1


def test_request_on_a_connection_that_closes_is_never_repeated():
    server = Server(WHOLE, "leave", WHOLE)
    results = call(server, build_run(0), build_run(1), build_run(2))
    assert [item.outcome for item in results] == ["done", "unknown", "done"]
    assert server.requests == 3


def test_upstream_that_closes_between_calls_harms_no_call():
    server = Server("end", "end", "end")
    results = call(server, *(build_run(index) for index in range(3)))
    assert {item.outcome for item in results} <= {"done", "unknown"}
    assert server.requests <= 3


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"nonsense\r\n\r\n",
    ],
)
def test_partial_answer_is_unknown(answer):
    server = Server(answer)
    assert call(server, build_run())[0].outcome == "unknown"
    assert server.requests == 1


@pytest.mark.parametrize("length", ["Content-Length: 100", "Connection: close"])
def test_huge_body_is_unknown(monkeypatch, length):
    monkeypatch.setattr(exchange, "MAX_BODY_BYTES", 50)
    answer = f"HTTP/1.1 200 OK\r\n{length}\r\n\r\n".encode() + b"x" * 100
    result = call(Server(answer), build_run())[0]
    assert (result.outcome, result.body) == ("unknown", b"")


def test_redirect_is_handed_on_and_not_followed():
    answer = b"HTTP/1.1 307 X\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n"
    server = Server(answer)
    assert call(server, build_run())[0].status == 307
    assert server.requests == 1


def test_cookie_of_one_caller_is_not_sent_for_another():
    answer = (
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
        b"Set-Cookie: a=b\r\nContent-Length: 0\r\n\r\n"
    )

    server = Server(answer)
    call(server, build_run(0), build_run(1))
    assert len(server.heads) == 2
    assert not any(b"cookie" in head.lower() for head in server.heads)


def test_interim_response_is_not_the_answer():
    server = Server(b"HTTP/1.1 103 Early Hints\r\n\r\n" + WHOLE)
    assert call(server, build_run())[0].status == 200


def test_call_that_waits_for_a_connection_until_its_deadline_is_not_run():
    server = Server("wait")

    async def run():
        await server.open()
        client = upstream.UpstreamClient(server.address, 1)
        first = asyncio.create_task(client.call(build_run(0)))
        async with asyncio.timeout(WAIT_S):
            await server.asked.wait()
            result = await client.call(build_run(1, timeout_ms=50))
        client.stop("job", 0)
        await first
        await client.close()
        server.close()
        return result

    assert asyncio.run(run()).outcome == "not-run"
    assert server.requests == 1


def test_answer_that_does_not_wait_for_the_whole_request_is_taken():
    run = build_run(payload=b"x" * 16 * 1024 * 1024)
    server = Server("early", WHOLE)
    results = call(server, run, build_run(1))
    assert [item.outcome for item in results] == ["done", "done"]
    assert server.connections == 2


def test_silent_connection_ends_at_the_deadline_and_is_replaced():
    server = Server("wait", WHOLE)
    results = call(server, build_run(0, timeout_ms=100), build_run(1))
    assert [item.outcome for item in results] == ["unknown", "done"]
    assert server.connections == 2


def test_refused_connection_is_not_run():
    async def run():
        client = upstream.UpstreamClient(builders_control.find_address(), 1)
        result = await client.call(build_run())
        await client.close()
        return result

    assert asyncio.run(run()).outcome == "not-run"


def test_upstream_that_starts_late_is_waited_for():
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


def test_connections_are_bounded_apart_from_calls():
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
def test_stopped_call_ends_when_the_upstream_lets_go(script):
    server = Server(script)

    async def run():
        await server.open()
        client = upstream.UpstreamClient(server.address, 2)
        calling = asyncio.create_task(client.call(build_run()))
        async with asyncio.timeout(WAIT_S):
            await server.asked.wait()
            assert client.stop("job", 0)
            result = await calling
        assert not client.stop("job", 0)
        await client.close()
        server.close()
        return result

    assert asyncio.run(run()).outcome == "unknown"


def test_call_stopped_before_its_connection_is_not_run():
    async def run():
        client = upstream.UpstreamClient(builders_control.find_address(), 2)
        calling = asyncio.create_task(client.call(build_run()))
        await asyncio.sleep(0.02)
        assert client.stop("job", 0)
        result = await calling
        await client.close()
        return result

    assert asyncio.run(run()).outcome == "not-run"
