"""HTTP handlers of a gateway for callers: requests and jobs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from sanic import response

from amaranthspar.dispatch import submissions
from amaranthspar.schema import bodies, problems
from amaranthspar.web import answers, parsing, remoteanswers, responses

if TYPE_CHECKING:
    from amaranthspar.web import authorization, interface

DEFAULT_CONTENT_TYPE = "application/octet-stream"
ASYNC_PREFERENCE = "respond-async"
"""Value of the header ``Prefer`` that asks for the id of a job at once."""


class CallerHandlers:
    """Handlers that run requests and jobs, and show and cancel jobs.

    Args:
        gateway: Gateway that handles the requests.
        authorizer: Checks the tokens of callers.
    """

    def __init__(
        self, gateway: interface.GatewayInterface, authorizer: authorization.Authorizer
    ) -> None:
        self._gateway = gateway
        self._authorizer = authorizer
        self._background_tasks: set[asyncio.Task[submissions.Answer]] = set()

    async def take_request(self, request: Any, service: str) -> response.HTTPResponse:
        """Run a request and return the status and body of the upstream's answer."""
        submission = self._build_request_submission(request, service)
        return responses.build_request_response(await self._submit(request, submission))

    async def take_job(self, request: Any, service: str) -> response.HTTPResponse:
        """Run a job and return the answers of all tasks, or only the id of the job.

        The id is returned if the header ``Prefer`` asks for an asynchronous answer.
        """
        submission = self._build_job_submission(request, service)
        if ASYNC_PREFERENCE not in request.headers.get("prefer", ""):
            return responses.build_job_response(await self._submit(request, submission))
        background = asyncio.get_running_loop().create_task(
            self._submit(request, submission)
        )
        self._background_tasks.add(background)
        background.add_done_callback(self._discard_background_task)
        done, _ = await asyncio.wait([background], timeout=0)
        if done and background.result().outcome == submissions.NOT_RUN:
            return responses.build_job_response(background.result())
        state = bodies.JobState(submission.name, "accepted")
        accepted = responses.build_json(state, 202, submissions.UNKNOWN)
        accepted.headers["Location"] = f"/v1/jobs/{submission.name}"
        return accepted

    async def show_job(self, request: Any, job: str) -> response.HTTPResponse:
        """Return the answers of a job, or its state while it runs."""
        account = self._authorizer.find_account(request.headers)
        answer = await self._gateway.find_job(job, account.name)
        if answer is None:
            raise _build_unknown_job_error(job)
        if answer.outcome == remoteanswers.RUNNING:
            state = bodies.JobState(job, remoteanswers.RUNNING)
            return responses.build_json(state, outcome=submissions.UNKNOWN)
        return responses.build_job_response(answer)

    async def cancel_job(self, request: Any, job: str) -> response.HTTPResponse:
        """Cancel a job of the account of the caller."""
        account = self._authorizer.find_account(request.headers)
        found = await self._gateway.find_job(job, account.name)
        if found is None or not self._gateway.cancel_job(job, account.name):
            raise _build_unknown_job_error(job)
        return response.empty(204, dict(responses.DONE_HEADERS))

    def _discard_background_task(self, task: asyncio.Task[submissions.Answer]) -> None:
        self._background_tasks.discard(task)
        if not task.cancelled():
            # A rejection after the response 202 was sent is stored as the answer of
            # the job, or the job stays unknown. Reading the exception here
            # prevents the event loop from logging it as never retrieved.
            task.exception()

    def _build_request_submission(
        self, request: Any, service: str
    ) -> submissions.Submission:
        metadata = self._parse_metadata(request, service)
        tasks = parsing.parse_request(request.body, metadata.service.max_body_bytes)
        return self._build_submission(metadata, tasks, is_job=False)

    def _build_job_submission(
        self, request: Any, service: str
    ) -> submissions.Submission:
        metadata = self._parse_metadata(request, service)
        tasks = parsing.parse_job(request.body, metadata.service.max_body_bytes)
        return self._build_submission(metadata, tasks, is_job=True)

    def _parse_metadata(self, request: Any, service: str) -> parsing.RequestMetadata:
        account = self._authorizer.find_account(request.headers)
        if self._gateway.closing:
            raise problems.refuse_unready("the gateway is stopping")
        entry = self._gateway.holder.view.settings.services.get(service)
        if entry is None:
            detail = f"no service {service!r}"
            raise problems.ProblemError(404, "unknown-service", detail)
        return parsing.parse_metadata(request.headers, account, entry)

    def _build_submission(
        self,
        metadata: parsing.RequestMetadata,
        tasks: list[submissions.Task],
        is_job: bool,
    ) -> submissions.Submission:
        name = self._gateway.create_submission_id()
        now_ms = self._gateway.clock.read_monotonic()
        return parsing.build_submission(name, metadata, tasks, is_job, now_ms)

    async def _submit(
        self, request: Any, submission: submissions.Submission
    ) -> submissions.Answer:
        service = self._gateway.holder.view.settings.services[submission.service]
        key = parsing.parse_key(
            request.headers, submission.account, service, request.body
        )
        if key is None:
            return await self._run_unkeyed(submission)
        match await self._gateway.submit_keyed(submission, key):
            case answers.KeyConflict():
                detail = "the Idempotency-Key was used before with another body"
                raise problems.ProblemError(422, "key-conflict", detail)
            case submissions.Answer() as answer:
                return answer

    async def _run_unkeyed(
        self, submission: submissions.Submission
    ) -> submissions.Answer:
        """Run a submission without a key, and cancel it if its caller disconnects.

        No other caller can ask for it, so the answer of a request is discarded.
        """
        try:
            answer = await asyncio.shield(self._gateway.submit(submission))
        except asyncio.CancelledError:
            self._gateway.cancel_job(submission.name, submission.account)
            self._gateway.discard_answer(submission.name)
            raise
        if not submission.is_job:
            self._gateway.discard_answer(submission.name)
        return answer


def _build_unknown_job_error(job: str) -> problems.ProblemError:
    detail = f"no job {job!r} is held"
    return problems.ProblemError(404, "unknown-job", detail, submissions.UNKNOWN)
