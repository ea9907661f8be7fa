"""Answers of a gateway's submissions, kept for those who ask again."""

import asyncio

import attrs

from amaranthspar import submissions

RETENTION_MS = 600_000
RETAINED_ANSWERS = 10_000


@attrs.frozen(slots=True)
class KeyConflict:
    """Tells that a key was used before with another body."""


@attrs.define(slots=True)
class _Kept:
    """One submission's answer."""

    future: asyncio.Future[submissions.Answer]
    ended_ms: int = 0


class Answers:
    """Futures of the answers by submission id."""

    def __init__(self) -> None:
        self._kept: dict[str, _Kept] = {}

    def expect(self, submission: str) -> asyncio.Future[submissions.Answer]:
        """Return the future of a submission's answer, made if need be.

        Args:
            submission: Submission id.
        """
        kept = self._kept.get(submission)
        if kept is None:
            kept = _Kept(asyncio.get_running_loop().create_future())
            self._kept[submission] = kept
        return kept.future

    def find(self, submission: str) -> asyncio.Future[submissions.Answer] | None:
        """Return the future of a submission's answer, none if it is not kept."""
        kept = self._kept.get(submission)
        return None if kept is None else kept.future

    def settle(self, answer: submissions.Answer, now_ms: int) -> None:
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

    def forget(self, submission: str) -> None:
        """Drop an answer that nobody will ask for again."""
        self._kept.pop(submission, None)

    def expire(self, now_ms: int) -> None:
        """Drop the answers that were kept long enough.

        Args:
            now_ms: Monotonic time in ms.
        """
        surplus = len(self._kept) - RETAINED_ANSWERS
        for name, kept in list(self._kept.items()):
            old = now_ms - kept.ended_ms > RETENTION_MS
            if kept.future.done() and (old or surplus > 0):
                del self._kept[name]
                surplus -= 1
