"""Answers of a gateway's submissions, kept for those who ask again."""

import asyncio

import attrs

from amaranthspar.dispatch import submissions

RETENTION_MS = 600_000
RETAINED_BYTES = 64 * 1024 * 1024
ANSWER_OVERHEAD_BYTES = 512


@attrs.frozen(slots=True)
class KeyConflict:
    """Tells that a key was used before with another body."""


@attrs.define(slots=True)
class StoredAnswer:
    """One submission's answer, or the promise of it.

    Attributes:
        account: Account that submitted.
        future: Answer once it is there.
        ended_ms: Monotonic time of the answer.
        size_bytes: Memory that it takes, roughly.
        original: Submission that runs in place of this resend; empty for none.
    """

    account: str
    future: asyncio.Future[submissions.Answer]
    ended_ms: int = 0
    size_bytes: int = 0
    original: str = ""


class AnswerStore:
    """Answers by submission id, bounded by time and by memory."""

    def __init__(self) -> None:
        self._kept: dict[str, StoredAnswer] = {}
        self._ended: dict[str, None] = {}
        self._size_bytes = 0

    def register(
        self, submission: str, account: str
    ) -> asyncio.Future[submissions.Answer]:
        """Return the future of a submission's answer, made if need be.

        Args:
            submission: Submission id.
            account: Account that submitted.
        """
        kept = self._kept.get(submission)
        if kept is None:
            kept = StoredAnswer(account, asyncio.get_running_loop().create_future())
            self._kept[submission] = kept
        return kept.future

    def find(self, submission: str) -> StoredAnswer | None:
        """Return a submission's answer or its promise, none if it is not kept.

        Args:
            submission: Submission id.
        """
        return self._kept.get(submission)

    def set_original(self, submission: str, original: str) -> None:
        """Note that a submission is a resend of another one.

        Args:
            submission: Submission id of the resend.
            original: Submission id of the one that runs.
        """
        kept = self._kept.get(submission)
        if kept is not None:
            kept.original = original

    def resolve(self, answer: submissions.Answer, now_ms: int) -> None:
        """Hand an answer to all who wait for it.

        Args:
            answer: Final answer.
            now_ms: Monotonic time in ms.
        """
        kept = self._kept.get(answer.submission)
        if kept is None or kept.future.done():
            return
        kept.future.set_result(answer)
        kept.ended_ms = now_ms
        body_bytes = sum(len(result.body) for result in answer.results)
        kept.size_bytes = ANSWER_OVERHEAD_BYTES + body_bytes
        self._size_bytes += kept.size_bytes
        self._ended[answer.submission] = None

    def discard(self, submission: str) -> None:
        """Drop an answer that nobody will ask for again.

        Args:
            submission: Submission id.
        """
        kept = self._kept.pop(submission, None)
        if kept is not None:
            self._size_bytes -= kept.size_bytes
            self._ended.pop(submission, None)

    def expire(self, now_ms: int) -> None:
        """Drop the answers that were kept long enough, or for want of memory.

        Args:
            now_ms: Monotonic time in ms.
        """
        for submission in list(self._ended):
            recent = now_ms - self._kept[submission].ended_ms <= RETENTION_MS
            if recent and self._size_bytes <= RETAINED_BYTES:
                return
            self.discard(submission)
