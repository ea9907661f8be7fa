"""Store of the answers to a gateway's submissions, for callers that ask again."""

import asyncio

import attrs

from amaranthspar.dispatch import submissions

RETENTION_MS = 600_000
MAX_RETAINED_BYTES = 64 * 1024 * 1024
ANSWER_OVERHEAD_BYTES = 512
"""Memory that an answer is assumed to take besides the bodies of its results."""


@attrs.frozen(slots=True)
class KeyConflict:
    """Result of a submission whose key was used before with another body."""


@attrs.define(slots=True)
class StoredAnswer:
    """Entry of the store: the answer of one submission, present or pending.

    Attributes:
        account: Account that submitted.
        future: Future of the answer.
        ended_ms: Monotonic time of the answer in ms; 0 while it is pending.
        size_bytes: Estimated memory of the answer; 0 while it is pending.
        original: Id of the submission that runs in place of this resend; empty if
            this is no resend.
    """

    account: str
    future: asyncio.Future[submissions.Answer]
    ended_ms: int = 0
    size_bytes: int = 0
    original: str = ""


class AnswerStore:
    """Answers by submission id, evicted by age and by memory."""

    def __init__(self) -> None:
        self._stored: dict[str, StoredAnswer] = {}
        self._ended: dict[str, None] = {}
        self._size_bytes = 0

    def register(
        self, submission: str, account: str
    ) -> asyncio.Future[submissions.Answer]:
        """Return the future of a submission's answer; add an entry if there is none.

        Args:
            submission: Submission id.
            account: Account that submitted.
        """
        stored = self._stored.get(submission)
        if stored is None:
            stored = StoredAnswer(account, asyncio.get_running_loop().create_future())
            self._stored[submission] = stored
        return stored.future

    def find(self, submission: str) -> StoredAnswer | None:
        """Return the entry of a submission, or None if there is none.

        Args:
            submission: Submission id.
        """
        return self._stored.get(submission)

    def set_original(self, submission: str, original: str) -> None:
        """Record that a submission is a resend of another one.

        Args:
            submission: Submission id of the resend.
            original: Submission id of the one that runs.
        """
        stored = self._stored.get(submission)
        if stored is not None:
            stored.original = original

    def resolve(self, answer: submissions.Answer, now_ms: int) -> None:
        """Store an answer and resolve the future of its submission.

        An answer without a pending entry is ignored.

        Args:
            answer: Final answer.
            now_ms: Monotonic time in ms.
        """
        stored = self._stored.get(answer.submission)
        if stored is None or stored.future.done():
            return
        stored.future.set_result(answer)
        stored.ended_ms = now_ms
        body_bytes = sum(len(result.body) for result in answer.results)
        stored.size_bytes = ANSWER_OVERHEAD_BYTES + body_bytes
        self._size_bytes += stored.size_bytes
        self._ended[answer.submission] = None

    def discard(self, submission: str) -> None:
        """Remove an answer that no caller will ask for again.

        Args:
            submission: Submission id.
        """
        stored = self._stored.pop(submission, None)
        if stored is not None:
            self._size_bytes -= stored.size_bytes
            self._ended.pop(submission, None)

    def expire(self, now_ms: int) -> None:
        """Evict answers past the retention time, and the oldest above the memory limit.

        Args:
            now_ms: Monotonic time in ms.
        """
        for submission in list(self._ended):
            recent = now_ms - self._stored[submission].ended_ms <= RETENTION_MS
            if recent and self._size_bytes <= MAX_RETAINED_BYTES:
                return
            self.discard(submission)
