"""HTTP interface for callers: submits, shows, counts and cancels jobs."""

import asyncio
import math

import msgspec
import structlog
from aiohttp import web

from amaranthspar import clock, rejections
from amaranthspar.platform import servers, wire
from amaranthspar.roles import jobgateway
from amaranthspar.scheduling import jobevents, jobs, jobsearches, routes

DEADLINE_HEADER = "X-Amaranthspar-Deadline-Ms"
OUTCOME_HEADER = "Amaranthspar-Outcome"
RETRY_MIN_S = 1
"""Shortest time after which a rejected caller is asked to retry."""
MAX_DEADLINE_MS = 3_600_000
"""Longest deadline of a caller; a longer one is ignored."""
TASK_BYTES = 512
"""Memory of a waiting task, which takes 480 bytes, with a margin."""
STEP_BYTES = 256
"""Memory of a decoded step, which takes 230 bytes, with a margin."""
DISCONNECT_TURNS = 3
"""Turns of the event loop before a job is submitted. After a pause of the process, a
request may have waited so long that its caller has left; the end of its connection is
read in these turns."""

_log = structlog.get_logger()


class Callers:
    """Handles the requests of callers and the readiness checks of the load balancer.

    Args:
        gateway: Gateway that owns the jobs.
    """

    def __init__(self, gateway: jobgateway.JobGateway) -> None:
        self._gateway = gateway
        self._clock = clock.Clock()
        self._rejections = rejections.RejectionLog()
        self._document = b""
        self._table: routes.Table | None = None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request.

        Args:
            request: Request of a caller.
        """
        arrived_ms = self._clock.read_monotonic()
        name = request.path.rpartition("/")[2]
        if request.method == "POST" and wire.is_job_id(name):
            with self._gateway.expect(name):
                response = await self._route(request, arrived_ms)
        else:
            response = await self._route(request, arrived_ms)
        if self._gateway.is_draining:
            response.force_close()
        return response

    async def check_readiness(self, _request: web.BaseRequest) -> web.StreamResponse:
        """Handle one readiness check of the load balancer.

        Args:
            _request: Any request.
        """
        is_ready = self._find_table() is not None and self._gateway.is_ready
        return servers.answer_json(200 if is_ready else 503)

    async def _route(self, request: web.BaseRequest, arrived_ms: int) -> web.Response:
        await self._gateway.wait_until_routable()
        table = self._find_table()
        if table is None:
            _log.info("no routes yet", path=request.path)
            return _refuse("no configuration yet", RETRY_MIN_S)
        route = table.find(request.host, request.path)
        if route is None:
            return servers.answer_json(404)
        name = request.path[len(route.prefix) :]
        match request.method:
            case "POST" if wire.is_job_id(name):
                return await self._submit(
                    request, route.queue, name, table.version, arrived_ms
                )
            case "GET" if not name:
                count = self._gateway.count_waiting(route.queue.name)
                return _answer({"Pending": count})
            case "GET" if wire.is_job_id(name):
                return await self._show(name)
            case "DELETE" if wire.is_job_id(name):
                return await self._cancel(name)
            case "POST" | "GET" | "DELETE":
                return servers.answer_json(404)
            case _:
                return servers.answer_json(405)

    def _find_table(self) -> routes.Table | None:
        """Return the routing table of the newest document that can be read.

        Controllers validate a document before they accept it, but a controller of
        another release may have other bounds.
        """
        document = self._gateway.document
        if document is self._document:
            return self._table
        self._document = document
        try:
            self._table = wire.decode_configuration(document)
        except wire.BodyError as error:
            held = None if self._table is None else self._table.version
            _log.error("routing document unreadable", held=held, reason=str(error))
        else:
            _log.info("routing table loaded", version=self._table.version)
        return self._table

    async def _submit(
        self,
        request: web.BaseRequest,
        queue: jobs.Queue,
        name: str,
        version: int,
        arrived_ms: int,
    ) -> web.Response:
        try:
            job = wire.decode_job(await request.read(), name, queue)
        except wire.BodyError as error:
            self._rejections.record(
                "malformed job rejected", request=name, reason=str(error)
            )
            return servers.answer_json(400)
        if job.unsupported:
            self._rejections.record(
                "unsupported job rejected", request=name, reason=job.unsupported
            )
            return _refuse(f"{job.unsupported} are not offered", None)
        size_bytes = _estimate_size(job.request)
        if not servers.reserve(request, size_bytes):
            self._rejections.record(
                "job too large for now", request=name, size_bytes=str(size_bytes)
            )
            detail = "memory for jobs is short; the job was not accepted and never runs"
            return _refuse(detail, RETRY_MIN_S)
        for _ in range(DISCONNECT_TURNS):
            await asyncio.sleep(0)
        deadline_s = _read_deadline_s(request, name)
        try:
            # Once its caller has given up, the job may run elsewhere.
            async with asyncio.timeout(deadline_s):
                ended = await self._gateway.submit(job.request, arrived_ms)
        except TimeoutError:
            _log.info("deadline passed", request=name, deadline_s=deadline_s)
            return _answer_unknown(504)
        took_ms = self._clock.read_monotonic() - arrived_ms
        self._gateway.meters.count_answer(queue.name, ended.outcome.value, took_ms)
        _log.info(
            "job answered",
            request=name,
            queue=queue.name,
            outcome=ended.outcome.value,
            reason=ended.reason,
            took_ms=took_ms,
            version=version,
        )
        match ended.outcome:
            case jobevents.Outcome.COMPLETED | jobevents.Outcome.FAILED:
                return _answer({"State": ended.outcome.value}, "done")
            case jobevents.Outcome.REFUSED:
                pause_s = max(RETRY_MIN_S, math.ceil(ended.retry_after_ms / 1000))
                return _refuse(ended.reason, pause_s)
            case jobevents.Outcome.CANCELLED:
                return _answer({"State": "cancelled"}, "unknown")
            case _:
                return _answer_unknown(502)

    async def _show(self, name: str) -> web.Response:
        state: str = self._gateway.find_state(name)
        if not state:
            result, state = await self._gateway.find_elsewhere(name)
            if result is not jobsearches.Result.FOUND:
                return _answer_absent(result)
        return _answer({"State": state})

    async def _cancel(self, name: str) -> web.Response:
        if self._gateway.cancel(name, "caller cancelled it"):
            return servers.answer_json(200)
        result, _ = await self._gateway.find_elsewhere(name, cancels=True)
        # The job may have arrived here during the search.
        is_cancelled = self._gateway.cancel(name, "caller cancelled it")
        if is_cancelled or result is jobsearches.Result.FOUND:
            return servers.answer_json(200)
        return _answer_absent(result)


def _estimate_size(request: jobs.Request) -> int:
    """Return the memory of a job in bytes, which may far exceed its body."""
    tasks = sum(step.count for step in request.steps)
    return TASK_BYTES * tasks + STEP_BYTES * len(request.steps)


def _answer_absent(result: jobsearches.Result) -> web.Response:
    """Return a response for a job that was not found.

    If a gateway has not answered, it may hold the job, and the caller is to ask again.
    """
    if result is jobsearches.Result.ABSENT:
        return servers.answer_json(410)
    response = servers.answer_json(503)
    response.headers["Retry-After"] = str(RETRY_MIN_S)
    return response


def _answer(body: dict[str, str | int], outcome: str = "") -> web.Response:
    response = servers.answer_json(200, msgspec.json.encode(body))
    if outcome:
        response.headers[OUTCOME_HEADER] = outcome
    return response


def _refuse(reason: str, retry_after_s: int | None) -> web.Response:
    """Return a response that states that the request was not run and when to retry."""
    body = msgspec.json.encode({"detail": reason, "outcome": "not-run"})
    response = servers.answer_json(503, body)
    response.headers[OUTCOME_HEADER] = "not-run"
    if retry_after_s is not None:
        response.headers["Retry-After"] = str(retry_after_s)
    return response


def _answer_unknown(status: int) -> web.Response:
    """Return a response to a caller whose job may have run in part."""
    response = servers.answer_json(status)
    response.headers[OUTCOME_HEADER] = "unknown"
    return response


def _read_deadline_s(request: web.BaseRequest, name: str) -> float | None:
    """Return for how long the caller waits for a response in s; None if not stated."""
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and 0 < int(text) <= MAX_DEADLINE_MS):
        _log.info("malformed deadline ignored", request=name, deadline=text[:20])
        return None
    return int(text) / 1000
