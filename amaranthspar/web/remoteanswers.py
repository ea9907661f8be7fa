"""Retrieval of answers that another gateway stores."""

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
RESEND_MS = 1000
"""Interval at which an unanswered request to another gateway is repeated."""
JOIN_WAIT_MS = 2500
"""Time to wait for a gateway that is not yet a member in this gateway's view."""
JOIN_POLL_MS = 50
"""Interval at which the view is checked for that gateway."""


@attrs.frozen(slots=True)
class Origin:
    """Gateway that admitted a submission.

    Attributes:
        process: Process name.
        incarnation: Incarnation of the process at the admission.
    """

    process: str
    incarnation: int


def parse_origin(submission: str) -> Origin | None:
    """Return the gateway named in a submission id, or None if it is malformed.

    Args:
        submission: Submission id.
    """
    process, _, rest = submission.rpartition(".")[0].rpartition(".")
    try:
        return Origin(process, int(rest, 16))
    except ValueError:
        return None


def build_lost_answer(submission: str) -> submissions.Answer:
    """Return the answer of a submission whose original answer is no longer stored.

    Args:
        submission: Submission id.
    """
    reason = "the answer is no longer held; the submission may have run"
    return submissions.Answer(submission, submissions.UNKNOWN, [], reason)


class RemoteAnswers:
    """Client and server for answers that gateways request from each other.

    Args:
        holder: Lease holder of this gateway, with its view of the members.
        link: Links of this gateway.
        local: Answers that this gateway stores.
    """

    def __init__(
        self,
        holder: leaseholder.LeaseHolder,
        link: links.Links,
        local: answers.AnswerStore,
    ) -> None:
        self._holder = holder
        self._links = link
        self._local = local
        self._clock = clock.Clock()
        self._pending: dict[str, asyncio.Future[messages.SubmissionAnswered]] = {}

    def is_member(self, origin: Origin) -> bool:
        """Return whether a gateway is a member with the same incarnation.

        Args:
            origin: Gateway that admitted a submission.
        """
        member = self._holder.view.members.get(origin.process)
        return member is not None and member.incarnation == origin.incarnation

    async def fetch(
        self, submission: str, account: str, wait: bool, timeout_ms: int
    ) -> submissions.Answer | None:
        """Request the answer of a submission from the gateway that admitted it.

        Args:
            submission: Submission id.
            account: Account of the caller.
            wait: Whether that gateway answers only once the submission has ended.
            timeout_ms: Maximum time to wait in ms.

        Returns:
            The answer, with outcome `RUNNING` if the submission has not ended, or
            None if that gateway stores no such submission for the account.
        """
        origin = parse_origin(submission)
        if origin is None:
            return None
        started_ms = self._clock.read_monotonic()
        until_ms = started_ms + timeout_ms
        seen = False
        future = self._pending.get(submission)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._pending[submission] = future
        request = messages.AttachSubmission(
            submission, origin.incarnation, account, wait
        )
        try:
            while (now_ms := self._clock.read_monotonic()) < until_ms:
                pause_ms = RESEND_MS
                if self.is_member(origin):
                    seen = True
                    address = self._holder.view.members[origin.process].address
                    self._links.send(address, request)
                elif seen or now_ms - started_ms > JOIN_WAIT_MS:
                    break
                else:
                    # It may have joined since this gateway last renewed its lease.
                    pause_ms = JOIN_POLL_MS
                pause_ms = min(pause_ms, until_ms - now_ms)
                done, _ = await asyncio.wait([future], timeout=pause_ms / 1000)
                if done:
                    return _decode_answer(future.result())
            return build_lost_answer(submission)
        finally:
            if self._pending.get(submission) is future:
                del self._pending[submission]

    def cancel(self, submission: str, account: str) -> bool:
        """Ask the gateway that admitted a submission to cancel it.

        Args:
            submission: Submission id.
            account: Account of the caller.

        Returns:
            Whether that gateway is a member, so that the request was sent.
        """
        origin = parse_origin(submission)
        if origin is None or not self.is_member(origin):
            return False
        address = self._holder.view.members[origin.process].address
        self._links.send(address, messages.CancelSubmission(submission, account))
        return True

    def resolve(self, message: messages.SubmissionAnswered) -> None:
        """Pass an answer from another gateway to the caller that waits for it.

        Args:
            message: Answer; dropped if no caller waits for it.
        """
        future = self._pending.get(message.submission)
        if future is not None and not future.done():
            future.set_result(message)

    def serve(self, address: str, request: messages.AttachSubmission) -> None:
        """Answer a request of another gateway.

        The answer is sent at once, or when the submission has ended if the request
        asks to wait.

        Args:
            address: Address of that gateway.
            request: Request for the answer of a submission.
        """
        stored = self._local.find(request.submission)
        if stored is None or stored.account != request.account:
            self._send(address, _build_state_answer(request.submission, MISSING))
            return
        if not stored.future.done() and not request.wait:
            self._send(address, _build_state_answer(request.submission, RUNNING))
            return
        stored.future.add_done_callback(lambda done: self._send(address, done.result()))

    def _send(self, address: str, answer: submissions.Answer) -> None:
        message = messages.SubmissionAnswered(
            answer.submission, answer.outcome, answer.results, answer.reason
        )
        self._links.send(address, message)


def _build_state_answer(submission: str, state: str) -> submissions.Answer:
    return submissions.Answer(submission, state, [])


def _decode_answer(
    message: messages.SubmissionAnswered,
) -> submissions.Answer | None:
    if message.outcome == MISSING:
        return None
    return submissions.Answer(
        message.submission, message.outcome, message.results, message.reason
    )
