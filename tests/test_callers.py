"""Tests of many concurrent callers of one account in a served demo."""

import asyncio
import json
import random
import socket
import time

from amaranthspar.clients import client
from tests import builders_shell

CALLERS = 200
SEED = 11


async def send_and_check(sender: client.Client, number: int, sleep_ms: float) -> None:
    """Send a lookup, a job or a keyed hold, and check that the answer belongs to it."""
    payload = {"sleep_ms": sleep_ms, "echo": [number, "x" * (number * 37 % 900)]}
    body = json.dumps(payload).encode()
    match number % 3:
        case 0:
            reply = await sender.send_request("lookup", body)
        case 1:
            key = {"Idempotency-Key": f"caller-{number}"}
            reply = await sender.send_request("hold", body, key)
        case _:
            tasks = [{"payload": {**payload, "echo": [number, n]}} for n in range(4)]
            job = json.dumps({"tasks": tasks}).encode()
            reply = await sender.submit_job("recalculate", job)
            assert (reply.status, reply.outcome) == (200, "done")
            echoes = [part["echo"] for part in json.loads(reply.body)["answers"]]
            assert echoes == [[number, n] for n in range(4)]
            return
    assert (reply.status, reply.outcome) == (200, "done")
    answer = json.loads(reply.body)
    assert answer["echo"] == payload["echo"]
    assert answer["starts"] == 1


def test_concurrent_callers_get_their_own_complete_answers(served) -> None:
    rng = random.Random(SEED)
    sleeps_ms = [rng.uniform(0, 300) for _ in range(CALLERS)]

    async def run() -> None:
        clients = [client.Client(url, builders_shell.TOKEN) for url in served.urls]
        calls = [
            send_and_check(clients[number // 3 % 2], number, sleeps_ms[number])
            for number in range(CALLERS)
        ]
        try:
            await asyncio.gather(*calls)
        finally:
            for sender in clients:
                await sender.close()

    asyncio.run(run())


def test_request_is_cancelled_when_its_caller_disconnects(served) -> None:
    def count_running() -> int:
        status = builders_shell.call(f"{served.urls[0]}/v1/status").decode()
        return sum(status["running"].values()) + status["queued"]

    def wait_for(count: int) -> None:
        deadline_s = time.monotonic() + 20
        while count_running() != count:
            assert time.monotonic() < deadline_s
            time.sleep(0.05)

    wait_for(0)
    body = b'{"sleep_ms": 25000}'
    head = (
        "POST /v1/services/lookup/requests HTTP/1.1\r\nHost: a\r\n"
        f"Authorization: Bearer {builders_shell.TOKEN}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection(("127.0.0.1", served.port)) as connection:
        connection.sendall(head.encode() + body)
        wait_for(1)
    wait_for(0)
