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
from amaranthspar.scheduling import incarnations, runevents, runmanager
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

_log = structlog.get_logger()


class SilentError(errors.UpstreamError):
    """The upstream did not answer in time; it may still carry out the call."""


class UnreachedError(SilentError):
    """No connection to the incarnation was established, so the call was not sent."""


class RefusedError(UnreachedError):
    """Nothing listens at the upstream's address: its process and its runs have ended."""


class ReplacedError(errors.UpstreamError):
    """Another incarnation of the upstream answered."""


class FenceError(errors.UpstreamError):
    """The upstream has received a higher fencing token and rejected the call."""


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
        registration: incarnations.Registration,
        order: runmessages.RunOrder,
        spec: str,
        fence: int,
        lease_ms: int | None,
    ) -> runevents.Answer:
        """Start a run.

        Args:
            registration: Registration of the upstream.
            order: Run to start.
            spec: Specification of its job.
            fence: Fencing token.
            lease_ms: Longest lease in ms that the start may give to all runs; None for
                no limit.

        Raises:
            FenceError: The upstream has received a higher fencing token.
        """

    async def stop(
        self,
        registration: incarnations.Registration,
        name: runmessages.RunName,
        fence: int,
    ) -> runevents.Answer:
        """Stop a run and prevent it from starting later.

        Raises:
            FenceError: The upstream has received a higher fencing token.
        """

    async def renew_lease(
        self,
        registration: incarnations.Registration,
        seen: int,
        wait_ms: int,
        fence: int,
        lease_ms: int | None,
    ) -> RenewalResult:
        """Renew the lease of all runs and list them.

        Args:
            registration: Registration of the upstream.
            seen: Number of the last end received; later ends are listed.
            wait_ms: Time in ms for which the upstream may delay the list.
            fence: Fencing token.
            lease_ms: Longest lease in ms; None for no limit.

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
        self._incarnations = incarnations.Incarnations(self._incarnation)
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
        self._last_end = 0
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

    def apply_settings(self, controllers: list[str]) -> None:
        """Replace the addresses of the controllers from the settings.

        Args:
            controllers: Addresses in the settings.
        """
        self._contact.apply_settings(controllers)

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

    def register(self, registration: incarnations.Registration) -> None:
        """Process a heartbeat of the upstream.

        Args:
            registration: Content of the heartbeat.
        """
        before = self._incarnations.current
        claim = self._incarnations.claim(registration, self._clock.read_monotonic())
        current = self._incarnations.current
        match claim:
            case incarnations.Claim.UPDATED if current is not None:
                if before is None or before.status != current.status:
                    self._log_registration("upstream changed", registration)
                self._step(current.status)
            case incarnations.Claim.PENDING:
                self._log_registration("upstream claimed", registration)
                self._registered.set()
            case _:
                _log.info(
                    "heartbeat ignored",
                    upstream=registration.incarnation,
                    sequence=registration.sequence,
                )

    def deregister(self, upstream_id: str) -> None:
        """Start no more runs on an upstream that shuts down.

        Its runs are lost once a call shows that it has ended.

        Args:
            upstream_id: Name that the upstream gives itself.
        """
        status = self._incarnations.mark_leaving(upstream_id)
        if status is not None:
            self._step(status)

    def _log_registration(
        self, event: str, registration: incarnations.Registration
    ) -> None:
        current = self._incarnations.current
        status = registration.status
        _log.info(
            event,
            upstream=registration.incarnation,
            current="" if current is None else current.incarnation,
            is_leaving=status.is_leaving,
            cpu_millis=status.capacity.cpu_millis,
            sequence=registration.sequence,
        )

    def _tick_contact(self) -> None:
        self._meters.running = len(self._manager.runs)
        self._meters.slowness = self._manager.slowness_permille / 1000
        now_ms = self._clock.read_monotonic()
        self._contact.tick(now_ms)
        self._meters.silence_ms = self._contact.find_silence_ms(now_ms)

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
                    self._contact.note_peer(frame.address)
                    sender = runevents.Sender(
                        frame.sender, frame.incarnation, frame.address
                    )
                    self._step(runevents.Asked(sender, message))
                case viewmessages.View():
                    self._apply_view(frame.address, message)
                case viewmessages.FetchView():
                    self._contact.answer_peer(frame.address, message)
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
        registration = self._incarnations.current
        if registration is None or registration.incarnation != call.upstream:
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
        fence = self._incarnations.fence
        try:
            answer = await self._upstream.start(
                registration,
                call.order,
                call.spec,
                fence,
                self._manager.find_lease_ms(began_ms),
            )
        except FenceError:
            self._raise_fence(fence)
            answer = runevents.Answer.UNHEALTHY
        except Exception:
            _log.exception("start failed", task=name.task, run=name.run)
            answer = runevents.Answer.UNKNOWN
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
        registration = self._incarnations.current
        answer = runevents.Answer.REPLACED
        began_ms = self._clock.read_monotonic()
        if registration is not None:
            fence = self._incarnations.fence
            try:
                answer = await self._upstream.stop(registration, name, fence)
            except FenceError:
                self._raise_fence(fence)
                answer = runevents.Answer.UNKNOWN
            except Exception:
                _log.exception("stop failed", task=name.task, run=name.run)
                answer = runevents.Answer.UNKNOWN
        if answer not in (runevents.Answer.ACCEPTED, runevents.Answer.REPLACED):
            # The stop is repeated.
            took_ms = self._clock.read_monotonic() - began_ms
            await asyncio.sleep(max(RETRY_PAUSE_MS - took_ms, 0) / 1000)
        self._step(
            runevents.StopAnswered(
                name, answer, "" if registration is None else registration.incarnation
            )
        )

    async def _renew_forever(self) -> None:
        """Renew the lease repeatedly, and again after an unexpected error."""
        while True:
            try:
                await self._renew_leases()
            except Exception:
                _log.exception("lease renewal failed")
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def _renew_leases(self) -> None:
        """Renew the lease for as long as an incarnation of the upstream is known.

        After an unexpected error the ends are listed again from the first. This has no
        effect, as the end of an unknown run is ignored.
        """
        self._last_end = 0
        pause_ms = RETRY_PAUSE_MS
        while True:
            request = self._incarnations.build_request()
            if request is None:
                self._registered.clear()
                await self._registered.wait()
                continue
            requested_ms = self._clock.read_monotonic()
            try:
                result = await self._request_list(request, requested_ms)
            except FenceError:
                self._raise_fence(request.fence)
                continue
            except ReplacedError as error:
                self._handle_other_instance(request, str(error))
                continue
            except SilentError as error:
                self._handle_silence(request, requested_ms, error)
                if request.is_probe and self._incarnations.current is not None:
                    continue
                # After a timeout, no further pause is needed.
                took_ms = self._clock.read_monotonic() - requested_ms
                await asyncio.sleep(max(pause_ms - took_ms, 0) / 1000)
                pause_ms = min(2 * pause_ms, MAX_RETRY_PAUSE_MS)
                continue
            pause_ms = RETRY_PAUSE_MS
            self._handle_list(request, result, requested_ms)

    async def _request_list(
        self, request: incarnations.ListRequest, now_ms: int
    ) -> RenewalResult:
        seen, wait_ms = 0, 0
        if not request.is_probe:
            seen, wait_ms = self._last_end, self._manager.find_list_wait_ms(now_ms)
        return await self._upstream.renew_lease(
            request.registration,
            seen,
            wait_ms,
            request.fence,
            self._manager.find_lease_ms(now_ms),
        )

    def _handle_list(
        self,
        request: incarnations.ListRequest,
        result: RenewalResult,
        requested_ms: int,
    ) -> None:
        verdict = self._incarnations.handle_list(request, result.incarnation)
        current = self._incarnations.current
        if verdict is not incarnations.Verdict.CURRENT:
            _log.info(
                "upstream listed",
                verdict=verdict.name.lower(),
                asked=request.registration.incarnation,
                answered=result.incarnation,
                current="" if current is None else current.incarnation,
                running=len(result.running),
                fence=request.fence,
            )
        match verdict:
            case incarnations.Verdict.REPLACED if current is not None:
                self._last_end = result.last
                self._step(current.status)
            case incarnations.Verdict.CURRENT if current is not None:
                self._last_end = max(self._last_end, result.last)
                if self._manager.upstream is None:
                    self._step(current.status)
            case _:
                return
        self._step(runevents.Listed(requested_ms, result.running, result.ends))

    def _handle_other_instance(
        self, request: incarnations.ListRequest, reason: str
    ) -> None:
        verdict = self._incarnations.handle_other_instance(request)
        _log.info(
            "upstream gone"
            if verdict is incarnations.Verdict.ENDED
            else "upstream not confirmed",
            upstream=request.registration.incarnation,
            sequence=request.registration.sequence,
            reason=reason,
        )
        if verdict is incarnations.Verdict.ENDED:
            self._step(runevents.UpstreamGone(reason))

    def _handle_silence(
        self, request: incarnations.ListRequest, asked_ms: int, error: SilentError
    ) -> None:
        """Drop all runs if the upstream refuses connections or its lease has expired."""
        _log.info(
            "lease not renewed",
            upstream=request.registration.incarnation,
            reason=str(error),
        )
        if not request.is_probe:
            self._step(runevents.Unlisted())
        if self._manager.upstream is None and not self._manager.runs:
            return
        expiry_ms = self._upstream.find_lease_end_ms() + LEASE_MARGIN_MS
        if isinstance(error, RefusedError):
            self._step(runevents.UpstreamGone("upstream has no listener", asked_ms))
        elif self._clock.read_monotonic() > expiry_ms:
            self._step(runevents.UpstreamGone("lease has run out"))

    def _raise_fence(self, used: int) -> None:
        if self._incarnations.raise_fence(used):
            _log.info("fence raised", used=used, fence=self._incarnations.fence)
