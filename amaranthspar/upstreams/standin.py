"""Stand-in for an upstream, for the demonstration, tests and benchmarks."""

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
"""Time added to the run time of a task that gets stuck, in ms."""
STOPPED_STATUS = 503


@attrs.frozen(slots=True)
class TaskRequest:
    """JSON body of a request to the stand-in.

    Attributes:
        sleep_ms: Run time in ms.
        echo: Value to return in the response.
        fail: Whether to respond with status 500 after the run time.
    """

    sleep_ms: float = 0
    echo: Any = None
    fail: bool = False


@attrs.frozen(slots=True)
class TaskResponse:
    """JSON body of a response of the stand-in.

    Attributes:
        echo: Value from the request.
        upstream: Name of the upstream.
        failure_domain: Failure domain of the upstream.
        starts: Number of starts of the task so far.
    """

    echo: Any
    upstream: str
    failure_domain: str
    starts: int


@attrs.define(slots=True)
class Span:
    """Period during which one task ran.

    Attributes:
        submission: Submission id.
        task: Position of the task in the submission.
        upstream: Name of the upstream.
        failure_domain: Failure domain of the upstream.
        echo: Value to return in the response.
        started_ms: Monotonic time of the start in ms.
        ended_ms: Monotonic time of the end in ms; 0 while the task runs.
        cut: Whether the task was stopped before the end of its run time.
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
    """Simulated faults of a stand-in.

    Attributes:
        slow_factor: Factor by which each run time is multiplied.
        failing: Whether each task fails at once.
        stuck_ratio: Fraction of starts that take a minute longer, evenly spaced.
        deaf: Whether a task continues after its client has disconnected.
    """

    slow_factor: float = 1.0
    failing: bool = False
    stuck_ratio: float = 0.0
    deaf: bool = False


class StartRecord:
    """Record of the starts of tasks on all stand-ins of a process.

    Args:
        recorded_spans: Number of spans to keep; None for all.

    Attributes:
        spans: Most recent spans.
        starts: Number of starts of each task, by submission and position.
        started: Number of starts of all tasks.
    """

    def __init__(self, recorded_spans: int | None = RECORDED_SPANS) -> None:
        self.spans: collections.deque[Span] = collections.deque(maxlen=recorded_spans)
        self.starts: collections.Counter[tuple[str, str]] = collections.Counter()
        self.started = 0

    def count_start(self, submission: str, task: str) -> int:
        """Count a start and return the number of starts of that task so far."""
        self.started += 1
        self.starts[submission, task] += 1
        return self.starts[submission, task]

    def list_duplicates(self) -> list[tuple[str, str]]:
        """Return the tasks that were started more than once."""
        return [name for name, count in self.starts.items() if count > 1]


class StandIn:
    """HTTP server that simulates an upstream.

    Args:
        name: Name of the upstream.
        failure_domain: Failure domain that the responses report.
        record: Record to which starts are added.
        slots: Largest number of tasks that run at once, while others wait; 0 for no
            limit.

    Attributes:
        behaviour: Simulated faults.
        waited: Number of tasks that had to wait for a slot.
        name: Name of the upstream.
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
        self._stuck_sum = 0.0
        self._running: dict[tuple[str, str], asyncio.Future[bool]] = {}
        self._server = _httpserver.HttpServer(MAX_BODY_BYTES)

    async def open(self, address: str) -> None:
        """Listen on an address.

        Args:
            address: Address such as ``127.0.0.1:9000``.
        """
        self._server.add("POST", "/<service:str>", self._serve)
        await self._server.open(address)

    async def close(self) -> None:
        """Stop listening and close the connections."""
        await self._server.close()

    def stop_task(self, submission: str, task: str) -> bool:
        """Stop a task before the end of its run time, as the platform does.

        Args:
            submission: Submission id.
            task: Position of the task in the submission.

        Returns:
            Whether the task ran on this stand-in.
        """
        running = self._running.get((submission, task))
        if running is None or running.done():
            return False
        running.set_result(False)
        return True

    async def _serve(self, request: Any, service: str) -> response.HTTPResponse:
        try:
            task_request = msgspec.json.decode(request.body or b"{}", type=TaskRequest)
        except msgspec.MsgspecError as error:
            return response.raw(msgspec.json.encode(str(error)), 400, content_type=JSON)
        submission = request.headers.get(upstream.SUBMISSION_HEADER, "")
        task = request.headers.get(upstream.TASK_HEADER, "")
        answer = self._run_in_slot(task_request, submission, task)
        if self.behaviour.deaf:
            return await asyncio.shield(asyncio.ensure_future(answer))
        return await answer

    async def _run_in_slot(
        self, task_request: TaskRequest, submission: str, task: str
    ) -> response.HTTPResponse:
        if self._slots is None:
            return await self._run(task_request, submission, task)
        if self._slots.locked():
            self.waited += 1
        async with self._slots:
            return await self._run(task_request, submission, task)

    async def _run(
        self, task_request: TaskRequest, submission: str, task: str
    ) -> response.HTTPResponse:
        starts = self._record.count_start(submission, task)
        now_ms = self._clock.read_monotonic()
        location = (self.name, self._failure_domain)
        span = Span(submission, task, *location, task_request.echo, now_ms)
        self._record.spans.append(span)
        failing = task_request.fail or self.behaviour.failing
        try:
            span.cut = not await self._sleep((submission, task), task_request)
        except asyncio.CancelledError:
            span.cut = True
            raise
        finally:
            span.ended_ms = self._clock.read_monotonic()
        if span.cut:
            return response.empty(STOPPED_STATUS)
        task_response = TaskResponse(
            task_request.echo, self.name, self._failure_domain, starts
        )
        status = 500 if failing else 200
        return response.raw(
            msgspec.json.encode(task_response), status, content_type=JSON
        )

    async def _sleep(self, name: tuple[str, str], task_request: TaskRequest) -> bool:
        """Wait for the run time and return whether it has passed without a stop."""
        loop = asyncio.get_running_loop()
        running: asyncio.Future[bool] = loop.create_future()
        self._running[name] = running
        timer = loop.call_later(
            self._choose_sleep_ms(task_request) / 1000, _complete, running
        )
        try:
            return await running
        finally:
            timer.cancel()
            del self._running[name]

    def _choose_sleep_ms(self, task_request: TaskRequest) -> float:
        if self.behaviour.failing:
            return 0.0
        sleep_ms = task_request.sleep_ms * self.behaviour.slow_factor
        self._stuck_sum += self.behaviour.stuck_ratio
        if self._stuck_sum >= 1:
            self._stuck_sum -= 1
            sleep_ms += STUCK_MS
        return sleep_ms


def _complete(running: asyncio.Future[bool]) -> None:
    if not running.done():
        running.set_result(True)
