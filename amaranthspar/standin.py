"""Stand-in of an upstream, for the demonstration, tests and benchmarks."""

from __future__ import annotations

import asyncio
import collections
from typing import Any

import attrs
import msgspec
from sanic import response

from amaranthspar import _httpserver, clock, upstream

JSON = "application/json"
MAX_BODY_BYTES = 64 * 1024 * 1024
RECORDED_SPANS = 10_000


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


@attrs.frozen(slots=True)
class Span:
    """Time in which one task ran.

    Attributes:
        upstream: Name of the upstream.
        started_ms: Monotonic time of the start.
        ended_ms: Monotonic time of the end.
    """

    upstream: str
    started_ms: int
    ended_ms: int


class StartRecord:
    """Starts of each task over all stand-ins of a process."""

    def __init__(self) -> None:
        self.spans: collections.deque[Span] = collections.deque(maxlen=RECORDED_SPANS)
        self.starts: collections.Counter[tuple[str, str]] = collections.Counter()
        self.started = 0

    def note(self, submission: str, task: str) -> int:
        """Count a start and return the starts of that task so far."""
        self.started += 1
        self.starts[submission, task] += 1
        return self.starts[submission, task]

    def list_doubled(self) -> list[tuple[str, str]]:
        """Return the tasks that were started more than once."""
        return [name for name, count in self.starts.items() if count > 1]


class StandIn:
    """HTTP server that behaves like an upstream.

    Args:
        name: Name of the upstream.
        failure_domain: Failure domain that it reports.
        record: Where starts are counted.
    """

    def __init__(self, name: str, failure_domain: str, record: StartRecord) -> None:
        self.name = name
        self._clock = clock.Clock()
        self._failure_domain = failure_domain
        self._record = record
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

    async def _serve(self, request: Any, service: str) -> response.HTTPResponse:
        try:
            work = msgspec.json.decode(request.body or b"{}", type=Work)
        except msgspec.MsgspecError as error:
            return response.raw(msgspec.json.encode(str(error)), 400, content_type=JSON)
        submission = request.headers.get(upstream.SUBMISSION_HEADER, "")
        task = request.headers.get(upstream.TASK_HEADER, "")
        starts = self._record.note(submission, task)
        started_ms = self._clock.read_monotonic()
        await asyncio.sleep(work.sleep_ms / 1000)
        span = Span(self.name, started_ms, self._clock.read_monotonic())
        self._record.spans.append(span)
        done = Done(work.echo, self.name, self._failure_domain, starts)
        status = 500 if work.fail else 200
        return response.raw(msgspec.json.encode(done), status, content_type=JSON)
