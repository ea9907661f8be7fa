"""Callers' side of a gateway's HTTP interface: requests and jobs."""

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
DETACHED = "respond-async"


class CallerHandlers:
    """Takes requests and jobs, and shows and cancels jobs.

    Args:
        gateway: Gateway that is served.
        authorizer: Who may call.
    """

    def __init__(
        self, gateway: interface.GatewayInterface, authorizer: authorization.Authorizer
    ) -> None:
        self._gateway = gateway
        self._authorizer = authorizer
        self._detached: set[asyncio.Task[submissions.Answer]] = set()

    async def take_request(self, request: Any, service: str) -> response.HTTPResponse:
        """Answer with the status and body of one upstream."""
        draft = self._draft_request(request, service)
        return responses.build_request(await self._settle(request, draft))

    async def take_job(self, request: Any, service: str) -> response.HTTPResponse:
        """Answer with the answers of all tasks, or with the job's id."""
        draft = self._draft_job(request, service)
        if DETACHED not in request.headers.get("prefer", ""):
            return responses.build_job(await self._settle(request, draft))
        running = asyncio.get_running_loop().create_task(self._settle(request, draft))
        self._detached.add(running)
        running.add_done_callback(self._forget_detached)
        done, _ = await asyncio.wait([running], timeout=0)
        if done and running.result().outcome == submissions.NOT_RUN:
            return responses.build_job(running.result())
        state = bodies.JobState(draft.name, "accepted")
        accepted = responses.build_json(state, 202, submissions.UNKNOWN)
        accepted.headers["Location"] = f"/v1/jobs/{draft.name}"
        return accepted

    async def show_job(self, request: Any, job: str) -> response.HTTPResponse:
        """Answer with a job's answers, or tell that it goes on."""
        account = self._authorizer.find_account(request.headers)
        answer = await self._gateway.find_job(job, account.name)
        if answer is None:
            raise _refuse_unknown_job(job)
        if answer.outcome == remoteanswers.RUNNING:
            state = bodies.JobState(job, remoteanswers.RUNNING)
            return responses.build_json(state, outcome=submissions.UNKNOWN)
        return responses.build_job(answer)

    async def cancel_job(self, request: Any, job: str) -> response.HTTPResponse:
        """Cancel a job of the caller's account."""
        account = self._authorizer.find_account(request.headers)
        found = await self._gateway.find_job(job, account.name)
        if found is None or not self._gateway.cancel_job(job, account.name):
            raise _refuse_unknown_job(job)
        return response.empty(204, dict(responses.DONE_HEADERS))

    def _forget_detached(self, task: asyncio.Task[submissions.Answer]) -> None:
        self._detached.discard(task)
        if not task.cancelled():
            # A refusal that comes late is kept as the job's answer, or the job
            # is unknown; reading it here keeps the loop from logging it.
            task.exception()

    def _draft_request(self, request: Any, service: str) -> submissions.Submission:
        heading = self._parse_metadata(request, service)
        limit_bytes = heading.service.max_body_bytes
        if len(request.body) > limit_bytes:
            detail = f"the body exceeds {limit_bytes} bytes"
            raise problems.ProblemError(413, "body-too-large", detail)
        return self._draft(heading, [submissions.Task(0, request.body)], is_job=False)

    def _draft_job(self, request: Any, service: str) -> submissions.Submission:
        heading = self._parse_metadata(request, service)
        tasks = parsing.parse_job(request.body, heading.service.max_body_bytes)
        return self._draft(heading, tasks, is_job=True)

    def _parse_metadata(self, request: Any, service: str) -> parsing.RequestMetadata:
        account = self._authorizer.find_account(request.headers)
        if self._gateway.closing:
            raise problems.refuse_unready("the gateway is stopping")
        entry = self._gateway.holder.view.settings.services.get(service)
        if entry is None:
            detail = f"no service {service!r}"
            raise problems.ProblemError(404, "unknown-service", detail)
        return parsing.parse_metadata(request.headers, account, entry)

    def _draft(
        self,
        heading: parsing.RequestMetadata,
        tasks: list[submissions.Task],
        is_job: bool,
    ) -> submissions.Submission:
        now_ms = self._gateway.clock.read_monotonic()
        return submissions.Submission(
            name=self._gateway.create_submission_id(),
            service=heading.service.name,
            account=heading.account.name,
            team=heading.account.team,
            caller=f"{heading.account.name}/{heading.desk}",
            desk=heading.desk,
            is_job=is_job,
            content_type=responses.JSON if is_job else heading.content_type,
            admitted_ms=now_ms,
            deadline_ms=now_ms + heading.deadline_ms,
            tasks=tasks,
            traceparent=heading.traceparent,
        )

    async def _settle(
        self, request: Any, draft: submissions.Submission
    ) -> submissions.Answer:
        service = self._gateway.holder.view.settings.services[draft.service]
        key = parsing.parse_key(request.headers, draft.account, service, request.body)
        if key is None:
            return await self._run(draft)
        match await self._gateway.submit_keyed(draft, key):
            case answers.KeyConflict():
                detail = "the Idempotency-Key was used before with another body"
                raise problems.ProblemError(422, "key-conflict", detail)
            case submissions.Answer() as answer:
                return answer

    async def _run(self, draft: submissions.Submission) -> submissions.Answer:
        """Run a submission that nobody else can ask for; stop it with its caller."""
        try:
            answer = await asyncio.shield(self._gateway.submit(draft))
        except asyncio.CancelledError:
            self._gateway.cancel_job(draft.name, draft.account)
            self._gateway.discard_answer(draft.name)
            raise
        if not draft.is_job:
            self._gateway.discard_answer(draft.name)
        return answer


def _refuse_unknown_job(job: str) -> problems.ProblemError:
    detail = f"no job {job!r} is held"
    return problems.ProblemError(404, "unknown-job", detail, submissions.UNKNOWN)
