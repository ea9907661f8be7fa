"""The gateway of jobs with needs: admits them, places their tasks, answers callers."""

import asyncio
import collections
import contextlib
import random
import secrets

import structlog

from amaranthspar import clock, effects, loop as loops, places
from amaranthspar.membership import contact
from amaranthspar.network import links
from amaranthspar.observation import metering
from amaranthspar.scheduling import dispatcher, jobevents, jobs
from amaranthspar.schema import codec, options, runmessages, viewmessages

TICK_MS = 20
"""Interval of the gateway's clock; well below the least objective of a job."""
LINK_HEARTBEAT_MS = 300
"""Heartbeat of links; a silent one is dialled anew after three."""
START_WAIT_MS = 2_000
"""Time after its start for which a gateway lets requests wait for routes and room: an
election of the controllers and one round of statements, at most."""
SEED_BITS = 64

_log = structlog.get_logger()


class JobGateway:
    """One gateway process without its HTTP server.

    Args:
        place: Name and addresses.
        meters: Counters and histograms.
    """

    def __init__(self, place: places.Place, meters: metering.Meters) -> None:
        self.document: bytes = b""
        self.meters = meters
        self._clock = clock.Clock()
        self._incarnation = self._clock.read_wall()
        chance = random.Random(secrets.randbits(SEED_BITS))
        self._dispatcher = dispatcher.Dispatcher(chance, place.failure_domain)
        section = options.LinkOptions(heartbeat_ms=LINK_HEARTBEAT_MS)
        self._links = links.Links(
            place.name, self._incarnation, place.listen, self._receive, section
        )
        self._contact = contact.Contact(
            place,
            "gateway",
            "",
            place.failure_domain,
            self._incarnation,
            self._links.send,
        )
        self._heard: list[jobevents.Heard] = []
        self._callers: collections.Counter[str] = collections.Counter()
        self._ends: dict[str, asyncio.Future[jobevents.JobEnded]] = {}
        self._ticking: asyncio.Task[None] | None = None
        self._started_ms = 0
        self._known = asyncio.Event()

    @property
    def version(self) -> int:
        """Version of the routing document; -1 before the first."""
        return self._contact.version

    @property
    def is_draining(self) -> bool:
        """Whether the gateway takes no new jobs."""
        return self._dispatcher.is_draining

    @property
    def has_jobs(self) -> bool:
        """Whether any admitted job has no answer yet."""
        return bool(self._dispatcher.jobs)

    async def start(self) -> None:
        """Open the links and begin.

        Raises:
            errors.LinkError: The address cannot be listened on.
        """
        await self._links.open()
        self._started_ms = self._clock.read_monotonic()
        ticking = loops.repeat(TICK_MS, self._tick, self.meters.lateness.observe)
        self._ticking = asyncio.get_running_loop().create_task(ticking)

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        return not self.is_draining and self._known.is_set()

    async def wait_until_routable(self) -> None:
        """Wait, just after the start, for a routing document and an upstream.

        Until then nobody can tell whether a request can be served. Callers that come
        in the first moments after an outage are served rather than sent away.
        """
        passed_ms = self._clock.read_monotonic() - self._started_ms
        left_ms = START_WAIT_MS - passed_ms
        if self._known.is_set() or left_ms <= 0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left_ms / 1000):
                await self._known.wait()

    def drain(self, time_ms: int) -> None:
        """Admit only jobs that end in time, and go on with those admitted.

        Args:
            time_ms: Time that is left in ms.
        """
        self._contact.note_leaving()
        until_ms = self._clock.read_monotonic() + time_ms
        self._step(jobevents.Drain(until_ms))

    def abandon_all(self, why: str) -> None:
        """End every job without a result, so that its caller sends it again.

        Args:
            why: Reason for the log.
        """
        for name, job in list(self._dispatcher.jobs.items()):
            outcome = (
                jobevents.Outcome.ABANDONED
                if job.is_dispatched
                else jobevents.Outcome.REFUSED
            )
            self._step(jobevents.Cancel(name, outcome, why))

    def close(self) -> None:
        """End the links."""
        if self._ticking is not None:
            self._ticking.cancel()
        self._links.close()

    async def submit(
        self, request: jobs.Request, arrived_ms: int | None = None
    ) -> jobevents.JobEnded:
        """Admit a job and wait for its end.

        A job that is already here is not admitted again: both callers get its end.

        Args:
            request: Job as submitted.
            arrived_ms: Time of its arrival in ms; nothing if it has just come.
        """
        future = self._ends.get(request.id)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._ends[request.id] = future
            self._step(jobevents.Submit(request, arrived_ms))
        self._callers[request.id] += 1
        try:
            return await asyncio.shield(future)
        except asyncio.CancelledError:
            if self._callers[request.id] == 1:
                self._leave(request.id)
            raise
        finally:
            self._callers[request.id] -= 1
            if not self._callers[request.id]:
                del self._callers[request.id]

    def _leave(self, job: str) -> None:
        """End a job whose last caller has gone."""
        outcome = jobevents.Outcome.ABANDONED
        _log.info("caller left", request=job)
        self._step(jobevents.Cancel(job, outcome, "caller left"))

    def find_state(self, job: str) -> str:
        """Return whether a job is queued or running, empty if it is not here.

        Args:
            job: Id of the job.
        """
        found = self._dispatcher.jobs.get(job)
        if found is None:
            return ""
        return "running" if found.is_dispatched else "queued"

    def cancel(self, job: str, why: str) -> bool:
        """End a job without a result.

        Args:
            job: Id of the job.
            why: Reason for the log.

        Returns:
            Whether it was under way here.
        """
        if job not in self._dispatcher.jobs:
            return False
        self._step(jobevents.Cancel(job, jobevents.Outcome.CANCELLED, why))
        return True

    def count_waiting(self, queue: str) -> int:
        """Return how many jobs of a queue have not been offered to an upstream.

        Args:
            queue: Name of the queue.
        """
        return self._dispatcher.waiting.count_undispatched(queue)

    def _tick(self) -> None:
        # Before the contact, so that an error there holds up no work.
        self._step(jobevents.Tick())
        if not self._known.is_set():
            self._note_known()
        self.meters.waiting = len(self._dispatcher.waiting)
        self._contact.tick(self._clock.read_monotonic())

    def _receive(self, frame: codec.Frame) -> None:
        for message in frame.messages:
            match message:
                case runmessages.RunReports():
                    heard = jobevents.Heard(
                        frame.sender, frame.incarnation, frame.address, message
                    )
                    self._take_heard(heard)
                case viewmessages.View():
                    self._take_view(frame.address, message)
                case _:
                    _log.warning("unexpected message", kind=type(message).__name__)

    def _take_heard(self, heard: jobevents.Heard) -> None:
        """Keep reports until all that have come by now are read: tasks are placed once."""
        if not self._heard:
            asyncio.get_running_loop().call_soon(self._end_burst)
        self._heard.append(heard)

    def _end_burst(self) -> None:
        heard, self._heard = self._heard, []
        self._step(*heard)

    def _take_view(self, address: str, view: viewmessages.View) -> None:
        now_ms = self._clock.read_monotonic()
        changed = self._contact.take(address, view, now_ms)
        if changed is None:
            return
        if changed.document is not None:
            self.document = changed.document
            self.meters.document_age.observe(changed.document_age_ms)
        self._step(jobevents.Found(changed.peers, changed.domains_out))

    def _note_known(self) -> None:
        sidecars = self._dispatcher.fleet.sidecars.values()
        if self.document and any(item.room and item.room.upstream for item in sidecars):
            self._known.set()

    def _step(self, *events: jobevents.Event) -> None:
        now_ms = self._clock.read_monotonic()
        for event in events:
            try:
                self._dispatcher.handle(event, now_ms)
            except Exception:
                # An event that cannot be taken is dropped; deadlines bound what it leaves.
                _log.exception("event not taken", kind=type(event).__name__)
                self._refuse_untaken(event)
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

    def _refuse_untaken(self, event: jobevents.Event) -> None:
        """Answer a caller whose job met an error before it was admitted."""
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
        future = self._ends.pop(ended.job, None)
        if future is not None and not future.done():
            future.set_result(ended)
