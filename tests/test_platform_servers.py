"""Tests of the platform's HTTP servers with requests that cannot be read."""

import asyncio

import pytest
import structlog

from amaranthspar import ports
from amaranthspar.platform import servers

WAIT_S = 10
COUNT = 20
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
