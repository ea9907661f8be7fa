"""Deduplication of submissions by idempotency key across all gateways."""

import asyncio
from collections.abc import Callable

import attrs

from amaranthspar import clock
from amaranthspar.clients import control
from amaranthspar.dispatch import submissions
from amaranthspar.membership import leaseholder
from amaranthspar.schema import messages
from amaranthspar.web import answers, parsing, remoteanswers

MAX_CLAIM_ATTEMPTS = 3
"""Maximum attempts to claim a key; another one follows if the holder did not run."""
UNCLAIMED_RETRY_MS = 1000
"""Advised retry time if no claim could be made."""
RELEASE_WAIT_MS = 100
"""Wait between the release of an unused claim and the next attempt."""

Submit = Callable[[submissions.Submission], asyncio.Future[submissions.Answer]]


class Deduplicator:
    """Runs at most one submission for each idempotency key.

    The key is claimed at the controllers. A resend under a claimed key is not run,
    but gets the answer of the submission that holds the claim.

    Args:
        holder: Lease holder of this gateway.
        controllers: Client of the controllers.
        local: Answers that this gateway stores.
        remote: Client for answers that other gateways store.
        submit: Admits a submission whose key is claimed.
    """

    def __init__(
        self,
        holder: leaseholder.LeaseHolder,
        controllers: control.ControllerClient,
        local: answers.AnswerStore,
        remote: remoteanswers.RemoteAnswers,
        submit: Submit,
    ) -> None:
        self._holder = holder
        self._controllers = controllers
        self._local = local
        self._remote = remote
        self._submit = submit
        self._clock = clock.Clock()

    async def submit(
        self, submission: submissions.Submission, key: parsing.IdempotencyKey
    ) -> submissions.Answer | answers.KeyConflict:
        """Run a submission, or return the answer of the one that holds its key.

        Args:
            submission: Request or job.
            key: Key of the submission.

        Returns:
            The final answer, or a conflict if the key was used with another body.
        """
        # Registered before the claim, because another gateway may receive the claim
        # first and ask for the answer.
        future = self._local.register(submission.name, submission.account)
        for _ in range(MAX_CLAIM_ATTEMPTS):
            try:
                decision = await self._claim(submission, key)
            except control.ControlUnavailableError:
                break
            if decision.submission == submission.name:
                answer = await self._submit(submission)
                self._release_unused(key, answer)
                return answer
            if decision.fingerprint != key.fingerprint:
                self._store_rejection(submission)
                return answers.KeyConflict()
            answer = await self._attach(decision, submission)
            if answer.outcome != submissions.NOT_RUN:
                self._store_attached(submission, answer)
                return answer
            self._release_unused(key, answer)
            await asyncio.sleep(RELEASE_WAIT_MS / 1000)
        answer = submission.fail("key could not be claimed", UNCLAIMED_RETRY_MS)
        self._local.resolve(answer, self._clock.read_monotonic())
        return await asyncio.shield(future)

    def _store_rejection(self, submission: submissions.Submission) -> None:
        """Store the rejection of a job, which the caller may fetch by the job id."""
        if not submission.is_job:
            self._local.discard(submission.name)
            return
        rejection = submission.fail("the Idempotency-Key was used with another body")
        self._local.resolve(rejection, self._clock.read_monotonic())

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
        return await self._controllers.claim(claim)

    async def _attach(
        self, decision: messages.ClaimDecided, submission: submissions.Submission
    ) -> submissions.Answer:
        name = decision.submission
        self._local.set_original(submission.name, name)
        left_ms = submission.deadline_ms - self._clock.read_monotonic()
        if decision.gateway == self._holder.member.process:
            stored = self._local.find(name)
            if stored is None or left_ms <= 0:
                return remoteanswers.build_lost_answer(name)
            await asyncio.wait([stored.future], timeout=left_ms / 1000)
            if not stored.future.done():
                return remoteanswers.build_lost_answer(name)
            return stored.future.result()
        answer = await self._remote.fetch(
            name, submission.account, wait=True, timeout_ms=left_ms
        )
        return answer or remoteanswers.build_lost_answer(name)

    def _store_attached(
        self, submission: submissions.Submission, answer: submissions.Answer
    ) -> None:
        """Store the answer of a resent job also under the id of the resend."""
        if not submission.is_job:
            self._local.discard(submission.name)
            return
        copy = attrs.evolve(answer, submission=submission.name)
        self._local.resolve(copy, self._clock.read_monotonic())

    def _release_unused(
        self, key: parsing.IdempotencyKey, answer: submissions.Answer
    ) -> None:
        """Release the claim of a submission that certainly did not run."""
        if answer.outcome == submissions.NOT_RUN:
            release = messages.ReleaseClaim(key.name, answer.submission)
            self._controllers.send(release)
