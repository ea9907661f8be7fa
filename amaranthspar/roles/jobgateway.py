"""Gateway for jobs with resource needs: admits jobs and answers their callers.

`scheduling.dispatcher` decides; this module carries out its effects.
"""

import asyncio
import collections
import contextlib
import random
import secrets
from collections.abc import Iterator
from typing import Literal

import attrs
import structlog

from amaranthspar import clock, effects, loop as loops, processes
from amaranthspar.membership import contact
from amaranthspar.network import links
from amaranthspar.observation import metering
from amaranthspar.scheduling import dispatcher, jobevents, jobs, jobsearches, spread
from amaranthspar.schema import codec, options, runmessages, viewmessages

TICK_MS = 20
"""Interval between ticks; well below the shortest objective of a job."""
LINK_HEARTBEAT_MS = 300
"""Heartbeat interval of links; one is redialled after three without any message."""
STARTUP_WAIT_MS = 2_000
"""Time after its start for which a gateway lets requests wait for routes and capacity:
at most an election of the controllers and one round of reports."""
SEED_BITS = 64
MAX_LOGGED_NAMES = 10
"""Maximum number of names in a line of the log."""
_PLACEMENTS = {
    "run held": "held",
    "run on slow upstream": "slow",
    "run away": "away",
}
"""Choices by expected end that are counted, by event."""

_log = structlog.get_logger()


@attrs.frozen(slots=True)
class _Search:
    """A search for a job, and the future of its result."""

    search: jobsearches.JobSearch
    future: asyncio.Future[jobsearches.Result]


class JobGateway:
    """A gateway process, without its HTTP server.

    Args:
        process: Name and addresses of the process.
        meters: Counters and histograms.
        spread_factor: Ratio of the duration of a task in another rack to that in the
            rack of its data, at least 1.
    """

    def __init__(
        self,
        process: processes.ProcessSettings,
        meters: metering.Meters,
        spread_factor: float = spread.DEFAULT_FACTOR,
    ) -> None:
        self.document: bytes = b""
        self.meters = meters
        self._clock = clock.Clock()
        self._incarnation = self._clock.read_wall()
        chance = random.Random(secrets.randbits(SEED_BITS))
        self._dispatcher = dispatcher.Dispatcher(
            chance, process.failure_domain, spread_factor
        )
        section = options.LinkOptions(heartbeat_ms=LINK_HEARTBEAT_MS)
        self._links = links.Links(
            process.name, self._incarnation, process.listen, self._receive, section
        )
        self._contact = contact.Contact(
            process,
            "gateway",
            "",
            process.failure_domain,
            self._incarnation,
            self._links.send,
        )
        self._reports: list[jobevents.Heard] = []
        self._caller_counts: collections.Counter[str] = collections.Counter()
        self._results: dict[str, asyncio.Future[jobevents.JobEnded]] = {}
        self._arriving: collections.Counter[str] = collections.Counter()
        self._cancelled_early: set[str] = set()
        self._searches: dict[int, _Search] = {}
        self._last_search = self._incarnation
        self._ticking: asyncio.Task[None] | None = None
        self._started_ms = 0
        self._routable = asyncio.Event()

    @property
    def version(self) -> int:
        """Version of the routing document; -1 before the first."""
        return self._contact.version

    @property
    def is_draining(self) -> bool:
        """Whether it is shutting down and admits only jobs that end in time."""
        return self._dispatcher.is_draining

    @property
    def has_jobs(self) -> bool:
        """Whether any admitted job has not ended."""
        return bool(self._dispatcher.jobs)

    async def start(self) -> None:
        """Open the links and start the periodic work.

        Raises:
            errors.LinkError: The address cannot be listened on.
        """
        await self._links.open()
        self._started_ms = self._clock.read_monotonic()
        ticking = loops.repeat(TICK_MS, self._tick, self.meters.lateness.observe)
        self._ticking = asyncio.get_running_loop().create_task(ticking)

    @property
    def is_ready(self) -> bool:
        """Whether callers should be routed to this gateway."""
        return not self.is_draining and self._routable.is_set()

    async def wait_until_routable(self) -> None:
        """Wait, shortly after the start, for a routing document and an upstream.

        Before both are present, it cannot be decided whether a request can be served.
        Callers that arrive right after an outage are served instead of refused.
        """
        passed_ms = self._clock.read_monotonic() - self._started_ms
        left_ms = STARTUP_WAIT_MS - passed_ms
        if self._routable.is_set() or left_ms <= 0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left_ms / 1000):
                await self._routable.wait()

    def drain(self, time_ms: int) -> None:
        """Admit only jobs that end in time, and continue those already admitted.

        Args:
            time_ms: Remaining time in ms.
        """
        self._contact.announce_leaving()
        until_ms = self._clock.read_monotonic() + time_ms
        self._step(jobevents.Drain(until_ms))

    def abandon_all(self, reason: str) -> None:
        """End every job without a result, so that its caller submits it again.

        Args:
            reason: Reason for the answer and the log.
        """
        for name, job in list(self._dispatcher.jobs.items()):
            outcome = (
                jobevents.Outcome.ABANDONED
                if job.is_dispatched
                else jobevents.Outcome.REFUSED
            )
            self._step(jobevents.Cancel(name, outcome, reason))

    def apply_settings(self, controllers: list[str]) -> None:
        """Replace the addresses of the controllers from the settings.

        Args:
            controllers: Addresses in the settings.
        """
        self._contact.apply_settings(controllers)

    def close(self) -> None:
        """Close the links."""
        if self._ticking is not None:
            self._ticking.cancel()
        self._links.close()

    @contextlib.contextmanager
    def expect(self, job: str) -> Iterator[None]:
        """Hold a job from the arrival of its request until the end of its call.

        A cancel may overtake the request while that waits for routes or for its body;
        the job is then not admitted any more.

        Args:
            job: Id of the job.
        """
        self._arriving[job] += 1
        try:
            yield
        finally:
            self._arriving[job] -= 1
            if not self._arriving[job]:
                del self._arriving[job]
                self._cancelled_early.discard(job)

    async def submit(
        self, request: jobs.Request, arrived_ms: int | None = None
    ) -> jobevents.JobEnded:
        """Admit a job and wait for its end.

        A job that is already under way is not admitted again: all its callers get the
        same result.

        Args:
            request: Job as submitted.
            arrived_ms: Time of its arrival in ms; `None` if it has just arrived.
        """
        if request.id in self._cancelled_early:
            reason = "caller cancelled it before it was admitted"
            return jobevents.JobEnded(request.id, jobevents.Outcome.CANCELLED, reason)
        future = self._results.get(request.id)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._results[request.id] = future
            self._step(jobevents.Submit(request, arrived_ms))
        self._caller_counts[request.id] += 1
        try:
            return await asyncio.shield(future)
        except asyncio.CancelledError:
            if self._caller_counts[request.id] == 1:
                self._abandon(request.id)
            raise
        finally:
            self._caller_counts[request.id] -= 1
            if not self._caller_counts[request.id]:
                del self._caller_counts[request.id]

    def _abandon(self, job: str) -> None:
        """End a job whose last caller has disconnected."""
        outcome = jobevents.Outcome.ABANDONED
        _log.info("caller left", request=job)
        self._step(jobevents.Cancel(job, outcome, "caller left"))

    def find_state(self, job: str) -> Literal["", "queued", "running"]:
        """Return ``queued`` or ``running``; empty if the job is not at this gateway.

        Args:
            job: Id of the job.
        """
        found = self._dispatcher.jobs.get(job)
        if found is None:
            return "queued" if job in self._arriving else ""
        return "running" if found.is_dispatched else "queued"

    def cancel(self, job: str, reason: str) -> bool:
        """End a job without a result.

        Args:
            job: Id of the job.
            reason: Reason for the answer and the log.

        Returns:
            Whether the job was under way at this gateway, or its request has arrived.
        """
        if job in self._arriving:
            self._cancelled_early.add(job)
        if job not in self._dispatcher.jobs:
            return job in self._arriving
        self._step(jobevents.Cancel(job, jobevents.Outcome.CANCELLED, reason))
        return True

    async def find_elsewhere(
        self, job: str, cancels: bool = False
    ) -> tuple[jobsearches.Result, str]:
        """Look for a job at the other gateways.

        Args:
            job: Id of the job.
            cancels: Whether the job is to be cancelled there.

        Returns:
            The result, and the state of a job that was found.
        """
        if len(self._searches) >= jobsearches.MAX_SEARCHES:
            _log.info("job not searched", request=job, searches=len(self._searches))
            return jobsearches.Result.UNKNOWN, ""
        self._last_search += 1
        number = self._last_search
        now_ms = self._clock.read_monotonic()
        search = jobsearches.JobSearch(number, job, cancels, now_ms)
        future = asyncio.get_running_loop().create_future()
        self._searches[number] = _Search(search, future)
        try:
            self._advance_searches()
            result = await future
        finally:
            del self._searches[number]
        gateways = self._contact.list_gateways()
        _log.info(
            "job searched",
            request=job,
            cancels=cancels,
            result=result.name.lower(),
            holder=search.holder,
            state=search.state,
            asked=len(gateways),
            missing=search.list_missing(gateways)[:MAX_LOGGED_NAMES],
            has_contact=self._contact.has_contact,
            took_ms=self._clock.read_monotonic() - now_ms,
        )
        return result, search.state

    def _advance_searches(self) -> None:
        """Send the requests that are due and end the searches with a result."""
        if not self._searches:
            return
        now_ms = self._clock.read_monotonic()
        gateways = self._contact.list_gateways()
        for item in self._searches.values():
            if item.future.done():
                continue
            result = item.search.find_result(
                gateways, self._contact.has_contact, now_ms
            )
            if result is not None:
                item.future.set_result(result)
                continue
            for send in item.search.list_due(gateways, now_ms):
                self._links.send(send.peer, send.message)

    def _answer_search(
        self, name: str, address: str, request: runmessages.FindJob
    ) -> None:
        """Answer another gateway that looks for a job, and cancel it if it says so."""
        state: Literal["", "queued", "running", "cancelled"] = self.find_state(
            request.job
        )
        if state and request.cancels:
            self.cancel(request.job, f"caller cancelled it at {name}")
            state = "cancelled"
        self._links.send(address, runmessages.JobFound(request.search, state))

    def _take_answer(self, name: str, answer: runmessages.JobFound) -> None:
        found = self._searches.get(answer.search)
        if found is None:
            if answer.state == "cancelled":
                _log.info("late answer to a search", holder=name, state=answer.state)
            return
        found.search.apply_answer(name, answer)
        self._advance_searches()

    def count_waiting(self, queue: str) -> int:
        """Return the number of jobs of a queue for which no start order has been sent.

        Args:
            queue: Name of the queue.
        """
        return self._dispatcher.waiting.count_undispatched(queue)

    def _tick(self) -> None:
        # Before the contact, so that an error there does not delay jobs.
        self._step(jobevents.Tick())
        if not self._routable.is_set():
            self._check_routable()
        self.meters.waiting = len(self._dispatcher.waiting)
        self.meters.reserved = len(self._dispatcher.reserved_jobs)
        self.meters.gap_starts = self._dispatcher.gap_starts
        self._advance_searches()
        now_ms = self._clock.read_monotonic()
        self._contact.tick(now_ms)
        self.meters.document_version = self.version
        self.meters.silence_ms = self._contact.find_silence_ms(now_ms)

    def _receive(self, frame: codec.Frame) -> None:
        for message in frame.messages:
            match message:
                case runmessages.RunReports():
                    self._contact.note_peer(frame.address)
                    event = jobevents.Heard(
                        frame.sender, frame.incarnation, frame.address, message
                    )
                    self._queue_reports(event)
                case viewmessages.View():
                    self._apply_view(frame.address, message)
                case viewmessages.FetchView():
                    self._contact.answer_peer(frame.address, message, self.document)
                case runmessages.FindJob():
                    self._answer_search(frame.sender, frame.address, message)
                case runmessages.JobFound():
                    self._take_answer(frame.sender, message)
                case _:
                    _log.warning("unexpected message", kind=type(message).__name__)

    def _queue_reports(self, event: jobevents.Heard) -> None:
        """Queue reports until all that have arrived are read, to place tasks only once."""
        if not self._reports:
            asyncio.get_running_loop().call_soon(self._handle_reports)
        self._reports.append(event)

    def _handle_reports(self) -> None:
        events, self._reports = self._reports, []
        self._step(*events)

    def _apply_view(self, address: str, view: viewmessages.View) -> None:
        now_ms = self._clock.read_monotonic()
        changed = self._contact.apply_view(address, view, now_ms)
        if changed is None:
            return
        if changed.document is not None:
            self.document = changed.document
            self.meters.document_age.observe(changed.document_age_ms)
        self._step(jobevents.Found(changed.peers, changed.domains_out))

    def _check_routable(self) -> None:
        sidecars = self._dispatcher.fleet.sidecars.values()
        if self.document and any(item.room and item.room.upstream for item in sidecars):
            self._routable.set()

    def _step(self, *events: jobevents.Event) -> None:
        now_ms = self._clock.read_monotonic()
        for event in events:
            try:
                self._dispatcher.handle(event, now_ms)
            except Exception:
                # The event is dropped; deadlines limit the consequences.
                _log.exception("event not taken", kind=type(event).__name__)
                self._refuse_failed_submission(event)
        try:
            found = self._dispatcher.finish(now_ms)
        except Exception:
            _log.exception("tasks not placed", waiting=len(self._dispatcher.waiting))
            return
        for effect in found:
            match effect:
                case effects.Send(peer=peer, message=message):
                    self._links.send(peer, message)
                case jobevents.JobEnded():
                    self._finish(effect)
                case jobevents.LogRecord(event=name, job=job, details=details):
                    _log.info(name, request=job, **dict(details))
                    if name in _PLACEMENTS:
                        self.meters.placements[_PLACEMENTS[name]] += 1

    def _refuse_failed_submission(self, event: jobevents.Event) -> None:
        """Refuse a job whose submission failed before it was admitted."""
        match event:
            case jobevents.Submit(request=request):
                if request.id not in self._dispatcher.jobs:
                    refused = jobevents.Outcome.REFUSED
                    self._finish(
                        jobevents.JobEnded(request.id, refused, "internal error")
                    )
            case _:
                pass

    def _finish(self, ended: jobevents.JobEnded) -> None:
        future = self._results.pop(ended.job, None)
        if future is not None and not future.done():
            future.set_result(ended)
