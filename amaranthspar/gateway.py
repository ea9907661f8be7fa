"""Role of a gateway: admits, dispatches and answers submissions."""

import asyncio
import itertools
import random

from amaranthspar import (
    answers,
    clock,
    codec,
    control,
    dispatcher,
    effects,
    leaseholder,
    links,
    logs,
    messages,
    metrics,
    options,
    submissions,
    web,
)

TICK_MS = 50
HOUSEKEEPING_MS = 1000
DRAIN_POLL_MS = 20


class Gateway:
    """Process that callers and operators reach over HTTP.

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
        self._process = process
        self._log = logs.get_logger(process.name)
        self._metrics = metrics.Metrics(process.name, process.statsd)
        incarnation = self.clock.read_wall()
        member = messages.Member(
            process.name, "gateway", incarnation, process.listen, revision=0
        )
        chance = random.Random(f"{process.name}/{incarnation}")
        self.holder = leaseholder.LeaseHolder(
            member, process.controllers, self.clock.read_monotonic(), chance
        )
        self.dispatcher = dispatcher.Dispatcher(self.holder, process.failure_domain)
        self._links = links.Links(
            process.name, incarnation, process.listen, self._receive, link.heartbeat_ms
        )
        self.control = control.Control(self._links, process.controllers)
        self._answers = answers.Answers()
        self._numbers = itertools.count(1)
        self._attached: dict[str, set[str]] = {}
        self._web = web.Web(self)
        self._ticking: asyncio.Task[None] | None = None

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        valid = self.holder.is_valid(self.clock.read_monotonic())
        return valid and bool(self.dispatcher.routes) and not self.draining

    async def start(self) -> None:
        """Listen for peers and callers.

        Raises:
            errors.LinkError: The address for links cannot be used.
            errors.InputOutputError: The address for HTTP cannot be used.
        """
        await self._links.open()
        self._ticking = asyncio.get_running_loop().create_task(self._tick())
        await self._web.open(self.options.http)
        self._log.info("started", http=self.options.http)

    async def stop(self) -> None:
        """Turn unready, finish what was admitted and leave."""
        self._log.info("draining")
        self.draining = True
        await asyncio.sleep(self.options.drain_ms / 1000)
        while self.dispatcher.submissions or self._web.open_requests:
            await asyncio.sleep(DRAIN_POLL_MS / 1000)
        incarnation = self.holder.member.incarnation
        message = messages.LeaveMembership(self._process.name, incarnation, True)
        for address in self._process.controllers:
            self._links.send(address, message)
        await asyncio.sleep(DRAIN_POLL_MS / 1000)
        await self.close()
        self._log.info("stopped")

    async def close(self) -> None:
        """Close everything at once, as a crash would."""
        if self._ticking is not None:
            self._ticking.cancel()
        await self._web.close()
        self._links.close()

    def name_submission(self) -> str:
        """Return a submission id that is unique over gateways and incarnations."""
        incarnation = self.holder.member.incarnation
        return f"{self._process.name}.{incarnation:x}.{next(self._numbers):x}"

    def submit(
        self, submission: submissions.Submission
    ) -> asyncio.Future[submissions.Answer]:
        """Ask for admission of a submission.

        Args:
            submission: Request or job.

        Returns:
            Future of the final answer; a refusal is one as well.
        """
        future = self._answers.expect(submission.name)
        self.handle(dispatcher.Submitted(submission))
        return future

    async def submit_keyed(
        self, submission: submissions.Submission, key: str, fingerprint: str
    ) -> submissions.Answer | answers.KeyConflict:
        """Claim a key, then run the submission or attach to its holder.

        Args:
            submission: Request or job.
            key: Digest of account, service and idempotency key.
            fingerprint: Digest of the request's body.
        """
        member = self.holder.member
        claim = messages.ClaimSubmission(
            key, fingerprint, submission.name, member.process, member.incarnation
        )
        # Another gateway may learn of the claim first and ask for its answer.
        self._answers.expect(submission.name)
        try:
            decided = await self.control.claim(claim)
        except control.ControlUnavailableError:
            self._settle(submission.fail("key could not be claimed", 1000))
            return await self._answers.expect(submission.name)
        if decided.submission == submission.name:
            return await self.submit(submission)
        self._answers.forget(submission.name)
        if decided.fingerprint != fingerprint:
            return answers.KeyConflict()
        if decided.gateway == member.process:
            kept = self._answers.find(decided.submission)
            if kept is not None:
                return await asyncio.shield(kept)
            return lose_answer(submission.name)
        return await self._attach(decided, submission)

    async def _attach(
        self, decided: messages.ClaimDecided, submission: submissions.Submission
    ) -> submissions.Answer:
        holder = self.holder.view.members.get(decided.gateway)
        if holder is None or holder.incarnation != decided.incarnation:
            return lose_answer(submission.name)
        future = self._answers.expect(decided.submission)
        request = messages.AttachSubmission(decided.submission, decided.incarnation)
        self._links.send(holder.address, request)
        left_ms = submission.deadline_ms - self.clock.read_monotonic()
        done, _ = await asyncio.wait([future], timeout=left_ms / 1000)
        return future.result() if done else lose_answer(submission.name)

    def find_answer(self, name: str) -> asyncio.Future[submissions.Answer] | None:
        """Return the future of a submission's answer, none if not kept here."""
        return self._answers.find(name)

    def forget_answer(self, name: str) -> None:
        """Drop an answer that nobody will ask for again."""
        self._answers.forget(name)

    def handle(self, event: dispatcher.Event) -> None:
        """Give the dispatcher an event and carry out what follows.

        Args:
            event: What has happened.
        """
        self._act(self.dispatcher.handle(event, self.clock.read_monotonic()))

    async def _tick(self) -> None:
        kept_ms = 0
        while True:
            now_ms = self.clock.read_monotonic()
            self._act(self.holder.tick(now_ms))
            self._act(self.dispatcher.tick(now_ms))
            if now_ms - kept_ms >= HOUSEKEEPING_MS:
                kept_ms = now_ms
                self._answers.expire(now_ms)
                self._metrics.report(self.dispatcher.counts)
            await asyncio.sleep(TICK_MS / 1000)

    def _receive(self, frame: codec.Frame) -> None:
        now_ms = self.clock.read_monotonic()
        for message in frame.messages:
            match message:
                case messages.LeaseGranted() | messages.LeaseDenied():
                    self._act(self.holder.handle(message, now_ms))
                case messages.ReportResults() | messages.GrantCredits():
                    sender = (frame.sender, frame.incarnation)
                    self.handle(dispatcher.Received(*sender, message))
                case messages.AttachSubmission():
                    self._serve_attachment(frame.address, message)
                case messages.SubmissionAnswered():
                    self._settle(_restore_answer(message))
                case _:
                    self.control.handle(message)

    def _serve_attachment(
        self, address: str, request: messages.AttachSubmission
    ) -> None:
        future = self._answers.find(request.submission)
        if future is None:
            self._send_answer(address, lose_answer(request.submission))
            return
        future.add_done_callback(lambda done: self._send_answer(address, done.result()))

    def _send_answer(self, address: str, answer: submissions.Answer) -> None:
        message = messages.SubmissionAnswered(
            answer.submission, answer.outcome, answer.results, answer.reason
        )
        self._links.send(address, message)

    def _settle(self, answer: submissions.Answer) -> None:
        self._answers.settle(answer, self.clock.read_monotonic())

    def _act(
        self, performed: list[dispatcher.Effect] | list[leaseholder.Effect]
    ) -> None:
        for effect in performed:
            match effect:
                case effects.Send():
                    self._links.send(effect.peer, effect.message)
                case submissions.Answer():
                    self._settle(effect)
                case leaseholder.ViewChanged():
                    version = self.holder.view.configuration_version
                    self._log.info("view changed", configuration=version)
                    self.handle(dispatcher.ViewChanged())
                case leaseholder.IncarnationChanged():
                    self._links.incarnation = self.holder.member.incarnation
                case leaseholder.LeaseLost():
                    self._log.error("another incarnation took over")


def lose_answer(submission: str) -> submissions.Answer:
    """Return the answer of a submission whose own answer is gone.

    Args:
        submission: Submission id.
    """
    reason = "the answer is no longer held; the submission may have run"
    return submissions.Answer(submission, submissions.UNKNOWN, [], reason)


def _restore_answer(kept: messages.SubmissionAnswered) -> submissions.Answer:
    return submissions.Answer(kept.submission, kept.outcome, kept.results, kept.reason)
