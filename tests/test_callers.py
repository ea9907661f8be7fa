"""Tests of many callers of one account against a served demo."""

import asyncio
import json
import random
import socket
import time

from amaranthspar.clients import client
from tests import builders_shell

CALLERS = 200
SEED = 11


async def ask(item: client.Client, number: int, sleep_ms: float) -> None:
    """Send a lookup, a job or a keyed hold and check that the answer is its own."""
    payload = {"sleep_ms": sleep_ms, "echo": [number, "x" * (number * 37 % 900)]}
    body = json.dumps(payload).encode()
    match number % 3:
        case 0:
            reply = await item.send_request("lookup", body)
        case 1:
            key = {"Idempotency-Key": f"caller-{number}"}
            reply = await item.send_request("hold", body, key)
        case _:
            tasks = [{"payload": {**payload, "echo": [number, n]}} for n in range(4)]
            job = json.dumps({"tasks": tasks}).encode()
            reply = await item.submit_job("recalculate", job)
            assert (reply.status, reply.outcome) == (200, "done")
            echoes = [part["echo"] for part in json.loads(reply.body)["answers"]]
            assert echoes == [[number, n] for n in range(4)]
            return
    assert (reply.status, reply.outcome) == (200, "done")
    answer = json.loads(reply.body)
    assert answer["echo"] == payload["echo"]
    assert answer["starts"] == 1


def test_crossed_answers_are_whole_and_each_callers_own(served) -> None:
    chance = random.Random(SEED)
    sleeps = [chance.uniform(0, 300) for _ in range(CALLERS)]

    async def run() -> None:
        clients = [client.Client(url, builders_shell.TOKEN) for url in served.urls]
        asked = [
            ask(clients[number // 3 % 2], number, sleeps[number])
            for number in range(CALLERS)
        ]
        try:
            await asyncio.gather(*asked)
        finally:
            for item in clients:
                await item.close()

    asyncio.run(run())


def test_request_of_a_caller_who_hung_up_is_stopped(served) -> None:
    def count_running() -> int:
        status = builders_shell.call(f"{served.urls[0]}/v1/status").decode()
        return sum(status["running"].values()) + status["queued"]

    def wait_for(count: int) -> None:
        until = time.monotonic() + 20
        while count_running() != count:
            assert time.monotonic() < until
            time.sleep(0.05)

    wait_for(0)
    body = b'{"sleep_ms": 25000}'
    head = (
        "POST /v1/services/lookup/requests HTTP/1.1\r\nHost: a\r\n"
        f"Authorization: Bearer {builders_shell.TOKEN}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection(("127.0.0.1", served.port)) as link:
        link.sendall(head.encode() + body)
        wait_for(1)
    wait_for(0)
