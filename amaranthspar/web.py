"""HTTP interface of a gateway."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, Any

import msgspec
from sanic import exceptions, response

from amaranthspar import (
    _httpserver,
    answers,
    attachments,
    control,
    entries,
    intake,
    messages,
    problems,
    submissions,
    tokens,
)

if TYPE_CHECKING:
    from amaranthspar import gateway

OUTCOME_HEADER = "Amaranthspar-Outcome"
JSON = "application/json"
UNAUTHORIZED = "missing or unknown token"


class Web:
    """HTTP server embedded in the loop of a gateway.

    Args:
        owner: Gateway that is served.
    """

    def __init__(self, owner: gateway.Gateway) -> None:
        self.open_requests = 0
        self._gateway = owner
        self._server = self._build_server()

    async def open(self, address: str) -> None:
        """Listen for callers.

        Args:
            address: Address as in ``127.0.0.1:8000``.

        Raises:
            errors.InputOutputError: The address cannot be used.
        """
        await self._server.open(address)

    async def close(self) -> None:
        """Stop listening and close the connections."""
        await self._server.close()

    def _build_server(self) -> _httpserver.HttpServer:
        server = _httpserver.HttpServer(self._gateway.options.max_body_bytes)
        server.add("GET", "/healthz", self._check_health)
        server.add("GET", "/readyz", self._check_readiness)
        services = "/v1/services/<service:str>"
        server.add("POST", f"{services}/requests", self._count(self._take_request))
        server.add("POST", f"{services}/jobs", self._count(self._take_job))
        server.add("GET", "/v1/jobs/<job:str>", self._count(self._show_job))
        server.add("DELETE", "/v1/jobs/<job:str>", self._count(self._cancel_job))
        server.add("GET", "/v1/configuration", self._count(self._show_configuration))
        changed = self._count(self._change_configuration)
        server.add("PUT", "/v1/configuration", changed)
        server.add("GET", "/v1/status", self._count(self._show_status))
        server.app.exception(Exception)(self._answer_exception)
        return server

    def _count(self, handler: _httpserver.Handler) -> _httpserver.Handler:
        @functools.wraps(handler)
        async def run(*args: Any, **keywords: Any) -> response.HTTPResponse:
            self.open_requests += 1
            try:
                return await handler(*args, **keywords)
            except problems.ProblemError as problem:
                return _answer_problem(problem)
            finally:
                self.open_requests -= 1

        return run

    async def _answer_exception(
        self, request: Any, error: Exception
    ) -> response.HTTPResponse:
        if isinstance(error, exceptions.SanicException):
            status = error.status_code or 500
            detail = str(error)
        else:
            status, detail = 500, type(error).__name__
        outcome = "not-run" if status < 500 else "unknown"
        problem = problems.ProblemError(status, f"http-{status}", detail, outcome)
        return _answer_problem(problem)

    async def _check_health(self, request: Any) -> response.HTTPResponse:
        return response.text("alive")

    async def _check_readiness(self, request: Any) -> response.HTTPResponse:
        ready = self._gateway.is_ready
        return response.text("ready" if ready else "not ready", 200 if ready else 503)

    def _authorize(self, request: Any) -> entries.Account:
        settings = self._gateway.holder.view.settings
        header = request.headers.get("authorization", "")
        account = tokens.find_account(header, settings)
        if account is None:
            if not self._gateway.holder.view.configuration_version:
                raise _refuse_unready("no configuration yet")
            raise problems.ProblemError(401, "unauthorized", UNAUTHORIZED)
        return account

    def _authorize_operator(self, request: Any) -> str:
        header = request.headers.get("authorization", "")
        first = self._gateway.options.operator_token_hash
        if first and header.startswith(tokens.SCHEME):
            token = header[len(tokens.SCHEME) :].strip()
            if tokens.hash_token(token) == first:
                return "operator"
        account = self._authorize(request)
        if not account.operator:
            detail = f"account {account.name} is not an operator's"
            raise problems.ProblemError(403, "forbidden", detail)
        return account.name

    async def _take_request(self, request: Any, service: str) -> response.HTTPResponse:
        content_type = request.headers.get("content-type", "application/octet-stream")
        tasks = [submissions.Task(0, request.body)]
        draft = self._draft(request, service, tasks, content_type, is_job=False)
        return _answer_request(await self._settle(request, draft))

    async def _take_job(self, request: Any, service: str) -> response.HTTPResponse:
        self._authorize(request)
        tasks = intake.read_job(request.body)
        draft = self._draft(request, service, tasks, JSON, is_job=True)
        if "respond-async" not in request.headers.get("prefer", ""):
            return _answer_job(await self._settle(request, draft))
        future = asyncio.ensure_future(self._settle(request, draft))
        done, _ = await asyncio.wait([future], timeout=0)
        if done and future.result().outcome == submissions.NOT_RUN:
            return _answer_job(future.result())
        body = msgspec.json.encode({"job": draft.name, "state": "accepted"})
        location = {"Location": f"/v1/jobs/{draft.name}"}
        return response.raw(body, 202, location, JSON)

    def _draft(
        self,
        request: Any,
        service_name: str,
        tasks: list[submissions.Task],
        content_type: str,
        is_job: bool,
    ) -> submissions.Submission:
        account = self._authorize(request)
        view = self._gateway.holder.view
        service = view.settings.services.get(service_name)
        if service is None:
            detail = f"no service {service_name!r}"
            raise problems.ProblemError(404, "unknown-service", detail)
        if len(request.body) > service.max_body_bytes and not is_job:
            detail = f"the body exceeds {service.max_body_bytes} bytes"
            raise problems.ProblemError(413, "body-too-large", detail)
        if self._gateway.draining and not self._gateway.is_ready:
            raise _refuse_unready("the gateway is stopping")
        now_ms = self._gateway.clock.read_monotonic()
        desk = request.headers.get(intake.DESK_HEADER, "")
        return submissions.Submission(
            name=self._gateway.name_submission(),
            service=service_name,
            account=account.name,
            team=account.team,
            caller=f"{account.name}/{desk}",
            desk=desk,
            is_job=is_job,
            content_type=content_type,
            admitted_ms=now_ms,
            deadline_ms=now_ms + intake.read_deadline(request.headers, service),
            tasks=tasks,
            traceparent=request.headers.get("traceparent", ""),
        )

    async def _settle(
        self, request: Any, draft: submissions.Submission
    ) -> submissions.Answer:
        service = self._gateway.holder.view.settings.services[draft.service]
        key = intake.read_key(request.headers, draft.account, service, request.body)
        if key is None:
            answer = await self._gateway.submit(draft)
            if not draft.is_job:
                self._gateway.forget_answer(draft.name)
            return answer
        keyed = await self._gateway.submit_keyed(draft, key)
        match keyed:
            case answers.KeyConflict():
                detail = "the Idempotency-Key was used before with another body"
                raise problems.ProblemError(422, "key-conflict", detail)
            case submissions.Answer():
                return keyed

    async def _show_job(self, request: Any, job: str) -> response.HTTPResponse:
        account = self._authorize(request)
        answer = await self._gateway.find_job(job, account.name)
        if answer is None:
            raise _refuse_unknown_job(job)
        if answer.outcome == attachments.RUNNING:
            body = msgspec.json.encode({"job": job, "state": "running"})
            return response.raw(body, 200, content_type=JSON)
        return _answer_job(answer)

    async def _cancel_job(self, request: Any, job: str) -> response.HTTPResponse:
        account = self._authorize(request)
        if not self._gateway.cancel_job(job, account.name):
            raise _refuse_unknown_job(job)
        return response.empty(204)

    async def _show_configuration(self, request: Any) -> response.HTTPResponse:
        self._authorize_operator(request)
        version = int(request.args.get("version", "0"))
        try:
            fetched = await self._gateway.control.fetch(version)
        except control.ControlUnavailableError as error:
            raise _refuse_unready(str(error)) from error
        return response.raw(msgspec.json.encode(fetched), content_type=JSON)

    async def _change_configuration(self, request: Any) -> response.HTTPResponse:
        operator = self._authorize_operator(request)
        try:
            base_version = int(request.args.get("base_version", ""))
            text = request.body.decode()
        except ValueError as error:
            raise problems.ProblemError(400, "malformed-body", str(error)) from error
        change_id = request.args.get("change_id", "")
        if not change_id:
            detail = "change_id is missing"
            raise problems.ProblemError(400, "malformed-body", detail)
        proposal = messages.ProposeConfiguration(
            change_id, base_version, operator, text
        )
        try:
            decided = await self._gateway.control.propose(proposal)
        except control.ControlUnavailableError as error:
            detail = f"{error}; send the same change id again"
            raise problems.ProblemError(
                503, "unavailable", detail, submissions.UNKNOWN, 1000
            ) from error
        status = {"accepted": 200, "conflict": 409}.get(decided.outcome, 422)
        return response.raw(msgspec.json.encode(decided), status, content_type=JSON)

    async def _show_status(self, request: Any) -> response.HTTPResponse:
        self._authorize_operator(request)
        view = self._gateway.holder.view
        routes = self._gateway.dispatcher.routes.values()
        status = {
            "configuration_version": view.configuration_version,
            "membership_revision": view.membership_revision,
            "domains": {
                name: domain.state for name, domain in view.settings.domains.items()
            },
            "members": list(view.members.values()),
            "running": {route.member.process: len(route.in_flight) for route in routes},
            "queued": self._gateway.dispatcher.count_queued(),
        }
        return response.raw(msgspec.json.encode(status), content_type=JSON)


def _refuse_unknown_job(job: str) -> problems.ProblemError:
    detail = f"no job {job!r} is held"
    return problems.ProblemError(404, "unknown-job", detail, submissions.UNKNOWN)


def _refuse_unready(detail: str) -> problems.ProblemError:
    return problems.ProblemError(503, "unavailable", detail, retry_after_ms=1000)


def _answer_problem(problem: problems.ProblemError) -> response.HTTPResponse:
    return response.raw(
        problem.encode(),
        problem.problem.status,
        problem.build_headers(),
        problems.CONTENT_TYPE,
    )


def _answer_failure(answer: submissions.Answer) -> response.HTTPResponse:
    status, name = 502, "failed"
    if answer.outcome == submissions.NOT_RUN:
        status, name = 503, "not-run"
        if answer.reason.startswith("can never run"):
            status, name = 422, "can-never-run"
    elif answer.reason == "deadline passed":
        status, name = 504, "deadline-passed"
    problem = problems.ProblemError(
        status, name, answer.reason, answer.outcome, answer.retry_after_ms
    )
    return _answer_problem(problem)


def _answer_request(answer: submissions.Answer) -> response.HTTPResponse:
    if not answer.results:
        return _answer_failure(answer)
    result = answer.results[0]
    headers = {OUTCOME_HEADER: answer.outcome}
    return response.raw(result.body, result.status, headers, result.content_type)


def _answer_job(answer: submissions.Answer) -> response.HTTPResponse:
    if not answer.results:
        return _answer_failure(answer)
    bodies = [msgspec.Raw(result.body) for result in answer.results]
    body = {"job": answer.submission, "state": "complete", "answers": bodies}
    headers = {OUTCOME_HEADER: answer.outcome}
    return response.raw(msgspec.json.encode(body), 200, headers, JSON)
