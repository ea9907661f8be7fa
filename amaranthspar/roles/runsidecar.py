"""Sidecar for jobs with resource needs: starts, stops and leases runs on its upstream.

`runmanager.RunManager` decides; this module carries out its effects.
"""

import asyncio
from typing import Protocol

import attrs
import structlog

from amaranthspar import clock, errors, loop as loops, processes
from amaranthspar.membership import contact
from amaranthspar.network import links
from amaranthspar.observation import metering
from amaranthspar.scheduling import runevents, runmanager
from amaranthspar.schema import codec, options, runmessages, viewmessages

CONTACT_INTERVAL_MS = 100
"""Interval of the checks for announcements that are due."""
LINK_HEARTBEAT_MS = 300
"""Heartbeat interval of links; one is redialled after three without any message."""
RETRY_PAUSE_MS = 50
"""Shortest time between two attempts of a stop that was not answered, and the first pause
after a failed renewal: a host that refuses connections does so immediately."""
MAX_RETRY_PAUSE_MS = 200
"""Longest pause after consecutive failed renewals. With the timeout of a renewal, four
attempts fit into the shortest lease of 1 s."""
LEASE_MARGIN_MS = 60
"""Time added to the end of a lease, for an upstream whose clock is 2% slow."""
MAX_DECISION_AGE_MS = 250
"""Age beyond which a decision to start a run is no longer carried out. With this limit, a
start is sent less than 1.3 s after the last message from the gateway."""
FIRST_FENCE_STEP = 16
"""Amount by which the fencing token is first raised after the upstream has received a
higher one; doubled each time."""

_log = structlog.get_logger()


class SilentError(errors.UpstreamError):
    """The upstream did not answer in time; it may still carry out the call."""


class UnreachedError(SilentError):
    """No connection to the upstream could be established, so it received nothing."""


class RefusedError(UnreachedError):
    """Nothing listens at the upstream's address: its process and its runs have ended."""


class ReplacedError(errors.UpstreamError):
    """Another incarnation of the upstream answered."""


class FenceError(errors.UpstreamError):
    """The upstream has received a higher fencing token and rejected the call."""


@attrs.frozen(slots=True)
class Registration:
    """Identity and status that an upstream sends in its registration.

    Attributes:
        id: Name that the upstream gives itself; with `born_ms`, it identifies the
            incarnation.
        born_ms: Wall-clock time of its start in ms.
        sequence: Number that rises with each registration of an incarnation.
        status: Event for the run manager, with incarnation, capacity and labels.
    """

    id: str
    born_ms: int
    sequence: int
    status: runevents.UpstreamKnown


@attrs.frozen(slots=True)
class RenewalResult:
    """Answer to a renewal of the lease.

    Attributes:
        incarnation: Incarnation of the upstream that answered; empty if not stated.
        last: Highest number of the ends listed; 0 for none.
        lease_end_ms: Time on this host's monotonic clock when the lease ends, in ms.
        running: Runs under way.
        ends: Ends of runs that the upstream still keeps.
    """

    incarnation: str
    last: int
    lease_end_ms: int
    running: tuple[runevents.ListedRun, ...]
    ends: tuple[runevents.EndedRun, ...]


class Upstream(Protocol):
    """Client for the calls to the upstream of this host."""

    async def start(
        self,
        registration: Registration,
        order: runmessages.RunOrder,
        spec: str,
        fence: int,
    ) -> runevents.Answer:
        """Start a run.

        Raises:
            FenceError: The upstream has received a higher fencing token.
        """

    async def stop(
        self, registration: Registration, name: runmessages.RunName, fence: int
    ) -> runevents.Answer:
        """Stop a run and prevent it from starting later.

        Raises:
            FenceError: The upstream has received a higher fencing token.
        """

    async def renew_lease(
        self, registration: Registration, seen: int, wait_ms: int, fence: int
    ) -> RenewalResult:
        """Renew the lease of all runs and list them.

        Args:
            registration: Registration of the upstream.
            seen: Number of the last end received; later ends are listed.
            wait_ms: Time in ms for which the upstream may delay the list.
            fence: Fencing token.

        Raises:
            SilentError: There was no answer in time.
            RefusedError: The upstream refused the connection.
            ReplacedError: Another incarnation of the upstream answered.
            FenceError: The upstream has received a higher fencing token.
        """

    def find_lease_end_ms(self) -> int:
        """Return the latest end of a lease that the upstream may hold, in ms.

        The time is on this host's monotonic clock.
        """

    async def close(self) -> None:
        """Close the connections."""


class RunSidecar:
    """A sidecar process, without the HTTP server that receives registrations.

    Args:
        process: Name and addresses of the process.
        service: Service of the upstream.
        failure_domain: Failure domain of the upstream.
        upstream: Client for the calls to the upstream.
        meters: Counters and histograms.
    """

    def __init__(
        self,
        process: processes.ProcessSettings,
        service: str,
        failure_domain: str,
        upstream: Upstream,
        meters: metering.Meters,
    ) -> None:
        self._clock = clock.Clock()
        self._incarnation = self._clock.read_wall()
        self._failure_domain = failure_domain
        self._upstream = upstream
        self._meters = meters
        self._manager = runmanager.RunManager(
            service, failure_domain, self._incarnation
        )
        self._registration: Registration | None = None
        self._ended_incarnations: set[str] = set()
        self._fence = self._incarnation
        self._fence_step = FIRST_FENCE_STEP
        section = options.LinkOptions(heartbeat_ms=LINK_HEARTBEAT_MS)
        self._links = links.Links(
            process.name, self._incarnation, process.listen, self._receive, section
        )
        self._contact = contact.Contact(
            process,
            "sidecar",
            service,
            failure_domain,
            self._incarnation,
            self._links.send,
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._loops: list[asyncio.Task[None]] = []
        self._timer: asyncio.TimerHandle | None = None
        self._timer_ms = 0
        self._registered = asyncio.Event()

    @property
    def has_runs(self) -> bool:
        """Whether any run may still be under way."""
        return bool(self._manager.runs)

    async def start(self) -> None:
        """Open the links and start the periodic work.

        Raises:
            errors.LinkError: The address cannot be listened on.
        """
        await self._links.open()
        loop = asyncio.get_running_loop()
        self._loops = [
            loop.create_task(
                loops.repeat(
                    CONTACT_INTERVAL_MS,
                    self._tick_contact,
                    self._meters.lateness.observe,
                )
            ),
            loop.create_task(self._renew_forever()),
        ]

    def drain(self) -> None:
        """Accept no new runs and keep renewing the lease of those under way."""
        self._contact.announce_leaving()
        self._step(runevents.Leave())

    async def close(self) -> None:
        """Close the links and cancel the calls."""
        for task in [*self._loops, *self._tasks]:
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._links.close()
        await self._upstream.close()

    def register(self, registration: Registration) -> bool:
        """Process a registration of the upstream.

        Args:
            registration: Registration that arrived.

        Returns:
            Whether it was accepted, being newer than the last one.
        """
        before = self._registration
        incarnation = registration.status.incarnation
        if incarnation in self._ended_incarnations:
            return False
        if before is not None and before.status.incarnation == incarnation:
            if registration.sequence <= before.sequence:
                return False
        elif before is not None:
            if registration.born_ms < before.born_ms:
                return False
            self._ended_incarnations.add(before.status.incarnation)
        if before is None or before.status != registration.status:
            _log.info(
                "upstream registered",
                upstream=incarnation,
                is_leaving=registration.status.is_leaving,
                cpu_millis=registration.status.capacity.cpu_millis,
                sequence=registration.sequence,
            )
        self._registration = registration
        self._registered.set()
        self._step(registration.status)
        return True

    def deregister(self, upstream_id: str) -> None:
        """Drop the registration of an upstream that shuts down.

        Args:
            upstream_id: Name that the upstream gives itself.
        """
        if self._registration is not None and self._registration.id == upstream_id:
            self._drop_registration("upstream has ended")

    def _tick_contact(self) -> None:
        self._meters.running = len(self._manager.runs)
        self._contact.tick(self._clock.read_monotonic())

    def _schedule_tick(self, now_ms: int) -> None:
        """Schedule the next tick of the run manager for when it is due."""
        due_ms = self._manager.find_due_ms(now_ms)
        if self._timer is not None:
            if self._timer_ms <= due_ms:
                return
            self._timer.cancel()
        self._timer_ms = due_ms
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later((due_ms - now_ms) / 1000, self._run_tick)

    def _run_tick(self) -> None:
        self._timer = None
        self._step(runevents.Tick())

    def _receive(self, frame: codec.Frame) -> None:
        for message in frame.messages:
            match message:
                case (
                    runmessages.StartRuns()
                    | runmessages.StopRuns()
                    | runmessages.KeepRuns()
                ):
                    sender = runevents.Sender(
                        frame.sender, frame.incarnation, frame.address
                    )
                    self._step(runevents.Asked(sender, message))
                case viewmessages.View():
                    self._apply_view(frame.address, message)
                case _:
                    _log.warning("unexpected message", kind=type(message).__name__)

    def _apply_view(self, address: str, view: viewmessages.View) -> None:
        now_ms = self._clock.read_monotonic()
        changed = self._contact.apply_view(address, view, now_ms)
        if changed is None:
            return
        is_out = self._failure_domain in changed.domains_out
        self._step(runevents.DomainChanged(is_out))

    def _step(self, event: runevents.Event) -> None:
        now_ms = self._clock.read_monotonic()
        try:
            found = self._manager.step(event, now_ms)
        except Exception:
            # The event is dropped; leases limit the consequences.
            _log.exception("event not taken", kind=type(event).__name__)
            found = []
        for effect in found:
            match effect:
                case runevents.CallStart():
                    self._create_task(self._call_start(effect))
                case runevents.CallStop(name=name):
                    self._create_task(self._call_stop(name))
                case runevents.SendReports(address=address, reports=reports):
                    self._links.send(address, reports)
                case runevents.LogDecision(
                    event=name, task=task, run=run, reason=reason
                ):
                    _log.info(
                        name,
                        request=task.partition(".")[0],
                        task=task,
                        run=run,
                        reason=reason,
                    )
        self._schedule_tick(now_ms)

    def _create_task(self, call: "asyncio._CoroutineLike[None]") -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call_start(self, call: runevents.CallStart) -> None:
        name = call.order.name
        registration = self._registration
        if registration is None:
            self._step(runevents.StartAnswered(name, runevents.Answer.REPLACED))
            return
        began_ms = self._clock.read_monotonic()
        if began_ms - call.decided_ms > MAX_DECISION_AGE_MS:
            # The process was paused: the gateway's lease may have expired meanwhile.
            _log.info(
                "start not sent",
                request=name.task.partition(".")[0],
                task=name.task,
                run=name.run,
                age_ms=began_ms - call.decided_ms,
            )
            self._step(runevents.StartAnswered(name, runevents.Answer.LATE))
            return
        try:
            answer = await self._upstream.start(
                registration, call.order, call.spec, self._fence
            )
        except FenceError:
            self._raise_fence()
            answer = runevents.Answer.UNHEALTHY
        took_ms = self._clock.read_monotonic() - began_ms
        self._meters.starts.observe(took_ms)
        if answer is not runevents.Answer.ACCEPTED:
            _log.info(
                "start answered",
                request=name.task.partition(".")[0],
                task=name.task,
                run=name.run,
                answer=answer.value,
                took_ms=took_ms,
            )
        self._step(runevents.StartAnswered(name, answer))

    async def _call_stop(self, name: runmessages.RunName) -> None:
        registration = self._registration
        answer = runevents.Answer.REPLACED
        began_ms = self._clock.read_monotonic()
        if registration is not None:
            try:
                answer = await self._upstream.stop(registration, name, self._fence)
            except FenceError:
                self._raise_fence()
                answer = runevents.Answer.UNKNOWN
        if answer is runevents.Answer.UNKNOWN:
            took_ms = self._clock.read_monotonic() - began_ms
            await asyncio.sleep(max(RETRY_PAUSE_MS - took_ms, 0) / 1000)
        self._step(runevents.StopAnswered(name, answer))

    async def _renew_forever(self) -> None:
        """Renew the lease repeatedly, and again after an unexpected error."""
        while True:
            try:
                await self._renew_leases()
            except Exception:
                _log.exception("lease renewal failed")
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def _renew_leases(self) -> None:
        """Renew the lease for as long as an upstream is registered.

        After an unexpected error the ends are listed again from the first. This has no
        effect, as the end of an unknown run is ignored.
        """
        last_end = 0
        incarnation = ""
        pause_ms = RETRY_PAUSE_MS
        while True:
            registration = self._registration
            if registration is None:
                self._registered.clear()
                await self._registered.wait()
                continue
            if registration.status.incarnation != incarnation:
                # A new incarnation has received no fencing token; calls meant for the
                # previous one must have no effect on it.
                incarnation, last_end = registration.status.incarnation, 0
                self._fence += 1
            requested_ms = self._clock.read_monotonic()
            wait_ms = self._manager.find_list_wait_ms(requested_ms)
            try:
                result = await self._upstream.renew_lease(
                    registration, last_end, wait_ms, self._fence
                )
            except FenceError:
                self._raise_fence()
                continue
            except ReplacedError as error:
                self._drop_registration(str(error))
                continue
            except SilentError as error:
                _log.info("lease not renewed", reason=str(error))
                self._check_upstream_lost(error)
                self._step(runevents.Unlisted())
                # After a timeout, no further pause is needed.
                took_ms = self._clock.read_monotonic() - requested_ms
                await asyncio.sleep(max(pause_ms - took_ms, 0) / 1000)
                pause_ms = min(2 * pause_ms, MAX_RETRY_PAUSE_MS)
                continue
            pause_ms = RETRY_PAUSE_MS
            newest = self._registration
            if newest is None or newest.status.incarnation != incarnation:
                continue
            if result.incarnation and result.incarnation != incarnation:
                self._drop_registration("another life of the upstream answered")
                continue
            last_end = max(last_end, result.last)
            if self._manager.upstream is None and self._registration is not None:
                self._step(self._registration.status)
            self._step(runevents.Listed(requested_ms, result.running, result.ends))

    def _check_upstream_lost(self, error: SilentError) -> None:
        """Drop all runs if the upstream refuses connections or its lease has expired."""
        if self._manager.upstream is None:
            return
        expiry_ms = self._upstream.find_lease_end_ms() + LEASE_MARGIN_MS
        if isinstance(error, RefusedError):
            self._step(runevents.UpstreamGone("upstream has no listener"))
        elif self._clock.read_monotonic() > expiry_ms:
            self._step(runevents.UpstreamGone("lease has run out"))

    def _drop_registration(self, reason: str) -> None:
        if self._registration is not None:
            _log.info(
                "upstream gone",
                upstream=self._registration.status.incarnation,
                reason=reason,
            )
            self._ended_incarnations.add(self._registration.status.incarnation)
        self._registration = None
        self._step(runevents.UpstreamGone(reason))

    def _raise_fence(self) -> None:
        self._fence += self._fence_step
        self._fence_step *= 2
        _log.info("fence raised", fence=self._fence)
