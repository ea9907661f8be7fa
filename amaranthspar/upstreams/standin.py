"""Stand-in of an upstream, for the demonstration, tests and benchmarks."""

from __future__ import annotations

import asyncio
import collections
from typing import Any

import attrs
import msgspec
from sanic import response

from amaranthspar import clock
from amaranthspar.upstreams import upstream
from amaranthspar.web import _httpserver

JSON = "application/json"
MAX_BODY_BYTES = 64 * 1024 * 1024
RECORDED_SPANS = 10_000
STUCK_MS = 60_000
STOPPED_STATUS = 503


@attrs.frozen(slots=True)
class Work:
    """Body that the stand-in takes.

    Attributes:
        sleep_ms: Run time in ms.
        echo: Value that is sent back.
        fail: Whether to answer with status 500 after the run time.
    """

    sleep_ms: float = 0
    echo: Any = None
    fail: bool = False


@attrs.frozen(slots=True)
class Done:
    """Body that the stand-in answers with."""

    echo: Any
    upstream: str
    failure_domain: str
    starts: int


@attrs.define(slots=True)
class Span:
    """Time in which one task ran.

    Attributes:
        submission: Submission id.
        task: Position in the submission.
        upstream: Name of the upstream.
        failure_domain: Failure domain of the upstream.
        echo: Value that the task had sent back.
        started_ms: Monotonic time of the start.
        ended_ms: Monotonic time of the end; 0 while it runs.
        cut: Whether it was ended before its run time was over.
    """

    submission: str
    task: str
    upstream: str
    failure_domain: str
    echo: Any
    started_ms: int
    ended_ms: int = 0
    cut: bool = False


@attrs.define(slots=True)
class Behaviour:
    """How a stand-in works, for faults.

    Attributes:
        slow_factor: Factor on each run time.
        failing: Whether each task fails at once.
        stuck_ratio: Share of starts, by counting, that take a minute longer.
        deaf: Whether a task runs on when its caller has gone away.
    """

    slow_factor: float = 1.0
    failing: bool = False
    stuck_ratio: float = 0.0
    deaf: bool = False


class StartRecord:
    """Starts of each task over all stand-ins of a process.

    Args:
        recorded_spans: Spans to keep; none for all.
    """

    def __init__(self, recorded_spans: int | None = RECORDED_SPANS) -> None:
        self.spans: collections.deque[Span] = collections.deque(maxlen=recorded_spans)
        self.starts: collections.Counter[tuple[str, str]] = collections.Counter()
        self.started = 0

    def note(self, submission: str, task: str) -> int:
        """Count a start and return the starts of that task so far."""
        self.started += 1
        self.starts[submission, task] += 1
        return self.starts[submission, task]

    def list_duplicates(self) -> list[tuple[str, str]]:
        """Return the tasks that were started more than once."""
        return [name for name, count in self.starts.items() if count > 1]


class StandIn:
    """HTTP server that behaves like an upstream.

    Args:
        name: Name of the upstream.
        failure_domain: Failure domain that it reports.
        record: Where starts are counted.
        slots: Tasks that run at once, the others wait; 0 for no limit.
    """

    def __init__(
        self, name: str, failure_domain: str, record: StartRecord, slots: int = 0
    ) -> None:
        self.behaviour = Behaviour()
        self.waited = 0
        self.name = name
        self._failure_domain = failure_domain
        self._record = record
        self._clock = clock.Clock()
        self._slots = asyncio.Semaphore(slots) if slots else None
        self._stuck = 0.0
        self._running: dict[tuple[str, str], asyncio.Future[bool]] = {}
        self._server = _httpserver.HttpServer(MAX_BODY_BYTES)

    async def open(self, address: str) -> None:
        """Listen.

        Args:
            address: Address as in ``127.0.0.1:9000``.
        """
        self._server.add("POST", "/<service:str>", self._serve)
        await self._server.open(address)

    async def close(self) -> None:
        """Stop listening and close the connections."""
        await self._server.close()

    def stop_task(self, submission: str, task: str) -> bool:
        """End a task before its run time is over, as the platform would.

        Args:
            submission: Submission id.
            task: Position in the submission.

        Returns:
            Whether it ran here.
        """
        running = self._running.get((submission, task))
        if running is None or running.done():
            return False
        running.set_result(False)
        return True

    async def _serve(self, request: Any, service: str) -> response.HTTPResponse:
        try:
            work = msgspec.json.decode(request.body or b"{}", type=Work)
        except msgspec.MsgspecError as error:
            return response.raw(msgspec.json.encode(str(error)), 400, content_type=JSON)
        submission = request.headers.get(upstream.SUBMISSION_HEADER, "")
        task = request.headers.get(upstream.TASK_HEADER, "")
        answer = self._occupy(work, submission, task)
        if self.behaviour.deaf:
            return await asyncio.shield(asyncio.ensure_future(answer))
        return await answer

    async def _occupy(
        self, work: Work, submission: str, task: str
    ) -> response.HTTPResponse:
        if self._slots is None:
            return await self._work(work, submission, task)
        if self._slots.locked():
            self.waited += 1
        async with self._slots:
            return await self._work(work, submission, task)

    async def _work(
        self, work: Work, submission: str, task: str
    ) -> response.HTTPResponse:
        starts = self._record.note(submission, task)
        now_ms = self._clock.read_monotonic()
        place = (self.name, self._failure_domain)
        span = Span(submission, task, *place, work.echo, now_ms)
        self._record.spans.append(span)
        failing = work.fail or self.behaviour.failing
        try:
            span.cut = not await self._sleep((submission, task), work)
        except asyncio.CancelledError:
            span.cut = True
            raise
        finally:
            span.ended_ms = self._clock.read_monotonic()
        if span.cut:
            return response.empty(STOPPED_STATUS)
        done = Done(work.echo, self.name, self._failure_domain, starts)
        status = 500 if failing else 200
        return response.raw(msgspec.json.encode(done), status, content_type=JSON)

    async def _sleep(self, name: tuple[str, str], work: Work) -> bool:
        """Return whether the whole run time has passed."""
        loop = asyncio.get_running_loop()
        running: asyncio.Future[bool] = loop.create_future()
        self._running[name] = running
        timer = loop.call_later(self._choose_sleep(work) / 1000, _end, running)
        try:
            return await running
        finally:
            timer.cancel()
            del self._running[name]

    def _choose_sleep(self, work: Work) -> float:
        if self.behaviour.failing:
            return 0.0
        sleep_ms = work.sleep_ms * self.behaviour.slow_factor
        self._stuck += self.behaviour.stuck_ratio
        if self._stuck >= 1:
            self._stuck -= 1
            sleep_ms += STUCK_MS
        return sleep_ms


def _end(running: asyncio.Future[bool]) -> None:
    if not running.done():
        running.set_result(True)
