"""Gateway role: admits, dispatches and answers submissions."""

import asyncio
import itertools

from amaranthspar import clock, effects, errors
from amaranthspar.clients import control
from amaranthspar.dispatch import dispatcher, submissions
from amaranthspar.membership import leaseholder
from amaranthspar.observation import gatewayspans, logs, metrics, traces
from amaranthspar.roles import membership
from amaranthspar.schema import codec, messages, options, viewmessages
from amaranthspar.web import answers, deduplication, parsing, remoteanswers, server

TICK_MS = 50
HOUSEKEEPING_MS = 1000
DRAIN_POLL_MS = 20
REMOTE_TIMEOUT_MS = 3000


class Gateway:
    """A gateway process, which callers and operators reach over HTTP.

    Args:
        process: Section ``process`` of the settings.
        link: Section ``links`` of the settings.
        gateway: Section ``gateway`` of the settings.
    """

    def __init__(
        self,
        process: options.ProcessOptions,
        link: options.LinkOptions,
        gateway: options.GatewayOptions,
    ) -> None:
        self.clock = clock.Clock()
        self.options = gateway
        self.draining = False
        self.closing = False
        self.failure: errors.SupersededError | None = None
        self.stopped = asyncio.Event()
        self._process = process
        self._log = logs.get_logger(process.name)
        self._metrics = metrics.StatsdReporter(process.name, process.statsd)
        self.holder = membership.build_holder(process, "gateway")
        self.dispatcher = dispatcher.Dispatcher(self.holder, process.failure_domain)
        self._links = membership.build_links(process, self.holder, self._receive, link)
        self._links.end_burst = self._handle_burst
        self.control = control.ControllerClient(self._links, self.holder.controllers)
        self._tracer = traces.build_tracer(process)
        self._spans = (
            None if self._tracer is None else gatewayspans.GatewaySpans(self._tracer)
        )
        self._answers = answers.AnswerStore()
        self._numbers = itertools.count(1)
        self._burst: list[dispatcher.Event] = []
        self._remote_answers = remoteanswers.RemoteAnswers(
            self.holder, self._links, self._answers
        )
        self._deduplicator = deduplication.Deduplicator(
            self.holder, self.control, self._answers, self._remote_answers, self.submit
        )
        self._server = server.GatewayServer(self)
        self._ticking: asyncio.Task[None] | None = None

    @property
    def is_ready(self) -> bool:
        """Whether callers should be routed to this gateway."""
        valid = self.holder.is_valid(self.clock.read_monotonic())
        return valid and bool(self.dispatcher.routes) and not self.draining

    async def start(self) -> None:
        """Start to listen for peers and callers.

        Raises:
            errors.LinkError: The address for links cannot be used.
            errors.InputOutputError: The address for HTTP cannot be used.
        """
        await self._links.open()
        self._ticking = asyncio.get_running_loop().create_task(self._tick())
        await self._server.open(self.options.http)
        self._log.info("started", http=self.options.http)

    async def stop(self) -> None:
        """Become unready, finish the admitted submissions and leave the membership."""
        self._log.info("draining")
        self.draining = True
        await asyncio.sleep(self.options.drain_ms / 1000)
        self.closing = True
        self._server.stop_listening()
        while self.dispatcher.submissions or self._server.open_requests:
            await asyncio.sleep(DRAIN_POLL_MS / 1000)
        self._carry_out(self.dispatcher.acknowledge_all(self.clock.read_monotonic()))
        membership.announce_leaving(
            self._process, self.holder, self._links, stopped=True
        )
        await asyncio.sleep(DRAIN_POLL_MS / 1000)
        await self.close()
        self._log.info("stopped")

    def apply_settings(self, controllers: list[str]) -> None:
        """Replace the addresses of the controllers from the settings.

        Args:
            controllers: Addresses in the settings.
        """
        self._carry_out(self.holder.apply_settings(controllers))

    async def close(self) -> None:
        """Close everything immediately, as in a crash."""
        if self._ticking is not None:
            self._ticking.cancel()
        await self._server.close()
        self._links.close()
        if self._tracer is not None:
            await asyncio.to_thread(self._tracer.close)

    def create_submission_id(self) -> str:
        """Return a submission id that is unique across gateways and incarnations."""
        incarnation = self.holder.member.incarnation
        return f"{self._process.name}.{incarnation:x}.{next(self._numbers):x}"

    def submit(
        self, submission: submissions.Submission
    ) -> asyncio.Future[submissions.Answer]:
        """Submit a request or a job for admission.

        Args:
            submission: Request or job.

        Returns:
            Future of the final answer, which may be a refusal.
        """
        future = self._answers.register(submission.name, submission.account)
        if self._spans is not None:
            self._spans.start_submission(submission)
        self.handle(dispatcher.Submitted(submission))
        return future

    async def submit_keyed(
        self, submission: submissions.Submission, key: parsing.IdempotencyKey
    ) -> submissions.Answer | answers.KeyConflict:
        """Run a submission under its idempotency key, or await the one that holds the key.

        Args:
            submission: Request or job.
            key: Idempotency key of the submission.
        """
        return await self._deduplicator.submit(submission, key)

    async def find_job(self, name: str, account: str) -> submissions.Answer | None:
        """Return the answer of a job, with outcome ``running`` while it is under way.

        Args:
            name: Submission id.
            account: Account that requests it.

        Returns:
            The answer; `None` if no gateway holds such a job of the account.
        """
        if not self._is_local(name):
            return await self._remote_answers.fetch(
                name, account, wait=False, timeout_ms=REMOTE_TIMEOUT_MS
            )
        stored = self._answers.find(name)
        if stored is None or stored.account != account:
            return None
        if stored.future.done():
            return stored.future.result()
        return submissions.Answer(name, remoteanswers.RUNNING, [])

    def cancel_job(self, name: str, account: str) -> bool:
        """Cancel a job; one that has ended does not change.

        Args:
            name: Submission id.
            account: Account that requests it.

        Returns:
            Whether the cancellation went to a gateway that may hold the job.
        """
        if not self._is_local(name):
            return self._remote_answers.cancel(name, account)
        stored = self._answers.find(name)
        if stored is None or stored.account != account:
            return False
        if stored.original:
            return self.cancel_job(stored.original, account)
        self.handle(dispatcher.Cancelled(name))
        return True

    def find_original(self, name: str) -> str:
        """Return the submission that runs in place of a resent one; empty for none.

        Args:
            name: Id of the resent submission.
        """
        stored = self._answers.find(name)
        return "" if stored is None else stored.original

    def discard_answer(self, name: str) -> None:
        """Drop an answer that is not requested again."""
        self._answers.discard(name)

    def _is_local(self, name: str) -> bool:
        origin = remoteanswers.parse_origin(name)
        member = self.holder.member
        return origin is None or origin.process == member.process

    def handle(self, event: dispatcher.Event) -> None:
        """Pass an event to the dispatcher and carry out the effects.

        Earlier events of the same burst are handled first.

        Args:
            event: Event to handle.
        """
        self._burst.append(event)
        self._handle_burst()

    def _handle_burst(self) -> None:
        """Pass all events of a burst to the dispatcher in one batch."""
        if self._burst:
            events, self._burst = self._burst, []
            now_ms = self.clock.read_monotonic()
            self._carry_out(self.dispatcher.handle_batch(events, now_ms))

    async def _tick(self) -> None:
        last_housekeeping_ms = 0
        while True:
            now_ms = self.clock.read_monotonic()
            self._carry_out(self.holder.tick(now_ms))
            self._carry_out(self.dispatcher.tick(now_ms))
            if now_ms - last_housekeeping_ms >= HOUSEKEEPING_MS:
                last_housekeeping_ms = now_ms
                self._answers.expire(now_ms)
                self._metrics.report(self.dispatcher.counts)
                self._metrics.report(self._links.counts)
                self._metrics.report(self._server.counts)
            await asyncio.sleep(TICK_MS / 1000)

    def _receive(self, frame: codec.Frame) -> None:
        now_ms = self.clock.read_monotonic()
        for message in frame.messages:
            match message:
                case (
                    messages.LeaseGranted()
                    | messages.LeaseDenied()
                    | messages.AnnounceVersion()
                    | viewmessages.FetchView()
                    | viewmessages.View()
                ):
                    self._carry_out(self.holder.handle(message, now_ms, frame.address))
                case (
                    messages.ReportResults()
                    | messages.GrantCredits()
                    | messages.ReportSettled()
                ):
                    if self._spans is not None:
                        self._spans.end_batches(message)
                    sender = (frame.sender, frame.incarnation)
                    self._burst.append(dispatcher.Received(*sender, message))
                case messages.AttachSubmission():
                    self._remote_answers.serve(frame.address, message)
                case messages.SubmissionAnswered():
                    self._remote_answers.resolve(message)
                case messages.CancelSubmission():
                    self.cancel_job(message.submission, message.account)
                case _:
                    self.control.handle(message)

    def _settle(self, answer: submissions.Answer) -> None:
        self._answers.resolve(answer, self.clock.read_monotonic())
        if self._spans is not None:
            self._spans.end_submission(answer)

    def _handle_superseded(self) -> None:
        """Request a graceful shutdown: nothing more is admitted."""
        self._log.error("another incarnation took over")
        self.failure = errors.SupersededError(self._process.name)
        self.stopped.set()

    def _carry_out(
        self, performed: list[dispatcher.Effect] | list[leaseholder.Effect]
    ) -> None:
        for effect in performed:
            match effect:
                case effects.Send():
                    message = effect.message
                    if self._spans is not None:
                        message = self._spans.start_batch(message)
                    self._links.send(effect.peer, message)
                case submissions.Answer():
                    self._settle(effect)
                case leaseholder.ViewChanged():
                    if effect.has_new_configuration:
                        version = self.holder.view.configuration_version
                        self._log.info("configuration changed", configuration=version)
                    self.handle(dispatcher.ViewChanged())
                case leaseholder.ControllersChanged():
                    membership.apply_controllers(
                        self.holder, self._links, effect, self._log
                    )
                case leaseholder.IncarnationChanged():
                    self._links.incarnation = self.holder.member.incarnation
                case leaseholder.LeaseLost():
                    self._handle_superseded()
