"""Keyed submissions: each key runs at most once over all gateways."""

import asyncio
from collections.abc import Callable

import attrs

from amaranthspar import clock
from amaranthspar.clients import control
from amaranthspar.dispatch import submissions
from amaranthspar.membership import leaseholder
from amaranthspar.schema import messages
from amaranthspar.web import answers, parsing, remoteanswers

CLAIM_TRIES = 3
UNCLAIMED_RETRY_MS = 1000
RELEASE_PAUSE_MS = 100

Submit = Callable[[submissions.Submission], asyncio.Future[submissions.Answer]]


class Deduplicator:
    """Claims keys for submissions and attaches resends to their holders.

    Args:
        holder: Lease of this gateway.
        controllers: Requests to the controllers.
        held: Answers of this gateway.
        remote: Answers of other gateways.
        submit: Admits a submission whose key is claimed.
    """

    def __init__(
        self,
        holder: leaseholder.LeaseHolder,
        controllers: control.Control,
        held: answers.AnswerStore,
        remote: remoteanswers.RemoteAnswers,
        submit: Submit,
    ) -> None:
        self._holder = holder
        self._control = controllers
        self._held = held
        self._remote = remote
        self._submit = submit
        self._clock = clock.Clock()

    async def submit(
        self, submission: submissions.Submission, key: parsing.IdempotencyKey
    ) -> submissions.Answer | answers.KeyConflict:
        """Run a submission under its key, or attach to the one that holds it.

        Args:
            submission: Request or job.
            key: Key of the submission.
        """
        # Another gateway may learn of the claim first and ask for its answer.
        future = self._held.register(submission.name, submission.account)
        for _ in range(CLAIM_TRIES):
            try:
                decided = await self._claim(submission, key)
            except control.ControlUnavailableError:
                break
            if decided.submission == submission.name:
                answer = await self._submit(submission)
                self._release_unused(key, answer)
                return answer
            if decided.fingerprint != key.fingerprint:
                self._refuse(submission)
                return answers.KeyConflict()
            answer = await self._attach(decided, submission)
            if answer.outcome != submissions.NOT_RUN:
                self._keep_attached(submission, answer)
                return answer
            self._release_unused(key, answer)
            await asyncio.sleep(RELEASE_PAUSE_MS / 1000)
        answer = submission.fail("key could not be claimed", UNCLAIMED_RETRY_MS)
        self._held.resolve(answer, self._clock.read_monotonic())
        return await asyncio.shield(future)

    def _refuse(self, submission: submissions.Submission) -> None:
        """Keep the refusal of a job, for which the caller may ask by its id."""
        if not submission.is_job:
            self._held.discard(submission.name)
            return
        refusal = submission.fail("the Idempotency-Key was used with another body")
        self._held.resolve(refusal, self._clock.read_monotonic())

    async def _claim(
        self, submission: submissions.Submission, key: parsing.IdempotencyKey
    ) -> messages.ClaimDecided:
        member = self._holder.member
        claim = messages.ClaimSubmission(
            key.name,
            key.fingerprint,
            submission.name,
            member.process,
            member.incarnation,
        )
        return await self._control.claim(claim)

    async def _attach(
        self, decided: messages.ClaimDecided, submission: submissions.Submission
    ) -> submissions.Answer:
        name = decided.submission
        self._held.set_original(submission.name, name)
        left_ms = submission.deadline_ms - self._clock.read_monotonic()
        if decided.gateway == self._holder.member.process:
            kept = self._held.find(name)
            if kept is None or left_ms <= 0:
                return remoteanswers.lose_answer(name)
            await asyncio.wait([kept.future], timeout=left_ms / 1000)
            if not kept.future.done():
                return remoteanswers.lose_answer(name)
            return kept.future.result()
        answer = await self._remote.fetch(
            name, submission.account, wait=True, timeout_ms=left_ms
        )
        return answer or remoteanswers.lose_answer(name)

    def _keep_attached(
        self, submission: submissions.Submission, answer: submissions.Answer
    ) -> None:
        """Keep the answer of a resent job under the id that the resend was given."""
        if not submission.is_job:
            self._held.discard(submission.name)
            return
        kept = attrs.evolve(answer, submission=submission.name)
        self._held.resolve(kept, self._clock.read_monotonic())

    def _release_unused(
        self, key: parsing.IdempotencyKey, answer: submissions.Answer
    ) -> None:
        """Free the key of a submission that certainly did not run."""
        if answer.outcome == submissions.NOT_RUN:
            release = messages.ReleaseClaim(key.name, answer.submission)
            self._control.tell(release)
