"""Open-loop driver, which sends each arrival at its time without waiting for answers."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from typing import Any

import attrs
import msgspec
import tqdm

from amaranthspar.clients import client
from benchmarks import firms, timing

SPIN_MS = 1.0


@attrs.frozen(slots=True)
class Sample:
    """The result of one arrival.

    Attributes:
        arrival: Arrival that was sent.
        lag_ms: Delay in ms of the driver itself after the intended time.
        response_ms: Time in ms from the intended arrival to the complete answer.
        status: HTTP status; 0 if no answer arrived.
        outcome: Outcome according to the gateway.
        is_correct: Whether an answer with status 200 is complete and belongs to this
            arrival.
        ended_ms: Monotonic time of the answer in ms.
        detail: Start of the body of an answer that is not 200.
    """

    arrival: firms.Arrival
    lag_ms: float
    response_ms: float
    status: int
    outcome: str
    is_correct: bool
    ended_ms: float
    detail: str = ""


@attrs.frozen(slots=True)
class Resend:
    """How submissions are sent again that have a key or never reached a gateway.

    Attributes:
        times: Greatest number of repetitions.
        seconds: Pause before each repetition in s.
        not_run: Whether submissions that a gateway refused as not run are sent again
            as well.
    """

    times: int
    seconds: float
    not_run: bool = False


class Driver:
    """Sends arrivals to the gateways in turn.

    Args:
        urls: URLs of the gateways.
        token: Bearer token of the account.
    """

    def __init__(self, urls: Sequence[str], token: str) -> None:
        self.clients = [client.Client(url, token) for url in urls]
        self.started_ms = 0.0
        self.samples: list[Sample] = []
        self.resend = Resend(0, 0.0)
        self.refusals = 0
        self._calls: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Cancel open calls and close every connection."""
        for call in self._calls:
            call.cancel()
        for item in self.clients:
            await item.close()

    async def run(self, arrivals: Sequence[firms.Arrival], title: str) -> None:
        """Send all arrivals and wait for all answers.

        Args:
            arrivals: Arrivals in order.
            title: Title of the progress bar.
        """
        hidden = not sys.stderr.isatty()
        bar: tqdm.tqdm[Any] = tqdm.tqdm(
            total=len(arrivals), desc=title, unit="answer", disable=hidden
        )
        self.started_ms = timing.read_ms()
        loop = asyncio.get_running_loop()
        with bar:
            for arrival in arrivals:
                await self._wait_until(self.started_ms + arrival.at_ms)
                call = loop.create_task(self._send(arrival, bar))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
            while self._calls:
                await asyncio.wait(set(self._calls))

    async def _wait_until(self, due_ms: float) -> None:
        # Timers of the event loop have a resolution of 1 ms, so the rest is polled.
        while True:
            left_ms = due_ms - timing.read_ms()
            if left_ms <= 0:
                return
            pause_ms = left_ms - SPIN_MS
            await asyncio.sleep(pause_ms / 1000 if pause_ms > SPIN_MS else 0)

    async def _send(self, arrival: firms.Arrival, bar: tqdm.tqdm[Any]) -> None:
        due_ms = self.started_ms + arrival.at_ms
        lag_ms = timing.read_ms() - due_ms
        reply = await self._submit(arrival)
        ended_ms = timing.read_ms()
        is_correct = reply.status == 200 and _is_correct(arrival, reply.body)
        detail = "" if reply.status == 200 else reply.body[:300].decode("utf-8", "?")
        self.samples.append(
            Sample(
                arrival,
                lag_ms,
                ended_ms - due_ms,
                reply.status,
                reply.outcome,
                is_correct,
                ended_ms,
                detail,
            )
        )
        bar.update()

    async def _submit(self, arrival: firms.Arrival) -> client.Reply:
        reply = client.Reply(0, "unknown", b"")
        for attempt in range(self.resend.times + 1):
            target = self.clients[(arrival.number + attempt) % len(self.clients)]
            try:
                reply = await send_arrival(target, arrival)
                if reply.status != 503 or not self.resend.not_run:
                    return reply
                is_unsent = reply.outcome == "not-run"
                self.refusals += is_unsent
            except client.ClientError as error:
                reply = client.Reply(0, "unknown", str(error).encode())
                # A load balancer, too, resends requests that were never sent.
                is_unsent = isinstance(error, client.NotSentError)
            if not arrival.key and not is_unsent:
                break
            await asyncio.sleep(self.resend.seconds)
        return reply


async def send_arrival(target: client.Client, arrival: firms.Arrival) -> client.Reply:
    """Send one submission.

    Args:
        target: Client of the gateway.
        arrival: Arrival to send.

    Raises:
        client.ClientError: No complete answer arrived.
    """
    headers: dict[str, str] = {}
    if arrival.key:
        headers["Idempotency-Key"] = arrival.key
    if arrival.desk:
        headers["Amaranthspar-Desk"] = arrival.desk
    if arrival.deadline_ms:
        headers["Amaranthspar-Deadline-Ms"] = str(arrival.deadline_ms)
    bodies = [
        {"sleep_ms": sleep_ms, "echo": [arrival.number, index]}
        for index, sleep_ms in enumerate(arrival.sleeps_ms)
    ]
    if not arrival.is_job:
        body = msgspec.json.encode(bodies[0])
        return await target.send_request(arrival.service, body, headers)
    expected_ms = arrival.expected_ms or (0,) * len(bodies)
    tasks = [
        {"payload": body, "expected_ms": run_ms}
        for body, run_ms in zip(bodies, expected_ms, strict=True)
    ]
    body = msgspec.json.encode({"tasks": tasks})
    return await target.submit_job(arrival.service, body, headers)


def measure_lag(samples: Sequence[Sample]) -> float:
    """Return the driver's lag at the 99th percentile in ms."""
    lags = sorted(sample.lag_ms for sample in samples)
    return lags[int(len(lags) * 0.99)] if lags else 0.0


def _is_correct(arrival: firms.Arrival, body: bytes) -> bool:
    answer = msgspec.json.decode(body)
    answers = answer["answers"] if arrival.is_job else [answer]
    expected = [[arrival.number, index] for index in range(len(arrival.sleeps_ms))]
    return [item["echo"] for item in answers] == expected
