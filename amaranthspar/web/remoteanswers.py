"""Answers of submissions that another gateway holds."""

import asyncio

import attrs

from amaranthspar import clock
from amaranthspar.dispatch import submissions
from amaranthspar.membership import leaseholder
from amaranthspar.network import links
from amaranthspar.schema import messages
from amaranthspar.web import answers

RUNNING = "running"
MISSING = "missing"
RETRY_MS = 1000
JOINING_MS = 2500
JOIN_POLL_MS = 50


@attrs.frozen(slots=True)
class Origin:
    """Gateway that admitted a submission.

    Attributes:
        process: Process name.
        incarnation: Incarnation.
    """

    process: str
    incarnation: int


def parse_origin(submission: str) -> Origin | None:
    """Return the gateway that a submission id names, none if it is malformed.

    Args:
        submission: Submission id.
    """
    process, _, rest = submission.rpartition(".")[0].rpartition(".")
    try:
        return Origin(process, int(rest, 16))
    except ValueError:
        return None


def lose_answer(submission: str) -> submissions.Answer:
    """Return the answer of a submission whose own answer is gone.

    Args:
        submission: Submission id.
    """
    reason = "the answer is no longer held; the submission may have run"
    return submissions.Answer(submission, submissions.UNKNOWN, [], reason)


class RemoteAnswers:
    """Asks other gateways for answers, and serves them.

    Args:
        holder: Lease of this gateway.
        link: Links of this gateway.
        held: Answers of this gateway.
    """

    def __init__(
        self,
        holder: leaseholder.LeaseHolder,
        link: links.Links,
        held: answers.AnswerStore,
    ) -> None:
        self._holder = holder
        self._links = link
        self._held = held
        self._clock = clock.Clock()
        self._waiting: dict[str, asyncio.Future[messages.SubmissionAnswered]] = {}

    def is_present(self, origin: Origin) -> bool:
        """Return whether a gateway incarnation is a member.

        Args:
            origin: Gateway that admitted a submission.
        """
        member = self._holder.view.members.get(origin.process)
        return member is not None and member.incarnation == origin.incarnation

    async def fetch(
        self, submission: str, account: str, wait: bool, timeout_ms: int
    ) -> submissions.Answer | None:
        """Return the answer of a submission that another gateway holds.

        Args:
            submission: Submission id.
            account: Account that asks.
            wait: Whether to wait until the submission has ended.
            timeout_ms: Longest time to wait in ms.

        Returns:
            The answer, with outcome `RUNNING` for one that has not ended; none
            if no such submission is held for that account.
        """
        origin = parse_origin(submission)
        if origin is None:
            return None
        asked_ms = self._clock.read_monotonic()
        until_ms = asked_ms + timeout_ms
        seen = False
        future = self._waiting.get(submission)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._waiting[submission] = future
        request = messages.AttachSubmission(
            submission, origin.incarnation, account, wait
        )
        try:
            while (now_ms := self._clock.read_monotonic()) < until_ms:
                pause_ms = RETRY_MS
                if self.is_present(origin):
                    seen = True
                    address = self._holder.view.members[origin.process].address
                    self._links.send(address, request)
                elif seen or now_ms - asked_ms > JOINING_MS:
                    break
                else:
                    # It may have joined since this gateway's last renewal.
                    pause_ms = JOIN_POLL_MS
                pause_ms = min(pause_ms, until_ms - now_ms)
                done, _ = await asyncio.wait([future], timeout=pause_ms / 1000)
                if done:
                    return _restore_answer(future.result())
            return lose_answer(submission)
        finally:
            if self._waiting.get(submission) is future:
                del self._waiting[submission]

    def cancel(self, submission: str, account: str) -> bool:
        """Ask the gateway that holds a submission to cancel it.

        Args:
            submission: Submission id.
            account: Account that asks.

        Returns:
            Whether that gateway is there.
        """
        origin = parse_origin(submission)
        if origin is None or not self.is_present(origin):
            return False
        address = self._holder.view.members[origin.process].address
        self._links.send(address, messages.CancelSubmission(submission, account))
        return True

    def resolve(self, message: messages.SubmissionAnswered) -> None:
        """Take an answer from another gateway.

        Args:
            message: Answer; one that nobody waits for is dropped.
        """
        future = self._waiting.get(message.submission)
        if future is not None and not future.done():
            future.set_result(message)

    def serve(self, address: str, request: messages.AttachSubmission) -> None:
        """Answer another gateway, at once or when the submission has ended.

        Args:
            address: Address of that gateway.
            request: What it asks for.
        """
        kept = self._held.find(request.submission)
        if kept is None or kept.account != request.account:
            self._send(address, _report_state(request.submission, MISSING))
            return
        if not kept.future.done() and not request.wait:
            self._send(address, _report_state(request.submission, RUNNING))
            return
        kept.future.add_done_callback(lambda done: self._send(address, done.result()))

    def _send(self, address: str, answer: submissions.Answer) -> None:
        message = messages.SubmissionAnswered(
            answer.submission, answer.outcome, answer.results, answer.reason
        )
        self._links.send(address, message)


def _report_state(submission: str, state: str) -> submissions.Answer:
    return submissions.Answer(submission, state, [])


def _restore_answer(
    message: messages.SubmissionAnswered,
) -> submissions.Answer | None:
    if message.outcome == MISSING:
        return None
    return submissions.Answer(
        message.submission, message.outcome, message.results, message.reason
    )
