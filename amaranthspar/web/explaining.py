"""HTTP handlers of a gateway that explain decisions to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from amaranthspar.schema import entries, problems
from amaranthspar.web import parsing, responses

if TYPE_CHECKING:
    from sanic import response

    from amaranthspar.dispatch import submissions
    from amaranthspar.web import authorization, interface

SUBMISSION_NAME = "explained"
"""Name of the submissions that are explained; ids of submitted ones have dots."""


class ExplanationHandlers:
    """Handlers that show where a request or job would go, without submitting it.

    The idempotency key is not checked, as only a claim in the replicated log
    tells whether it is in use.

    Args:
        gateway: Gateway that handles the requests.
        authorizer: Checks the tokens of operators.
    """

    def __init__(
        self, gateway: interface.GatewayInterface, authorizer: authorization.Authorizer
    ) -> None:
        self._gateway = gateway
        self._authorizer = authorizer

    async def explain_request(
        self, request: Any, service: str
    ) -> response.HTTPResponse:
        """Return the decision that this gateway would make now on a request."""
        metadata = self._parse_metadata(request, service)
        tasks = parsing.parse_request(request.body, metadata.service.max_body_bytes)
        return self._explain(metadata, tasks, is_job=False)

    async def explain_job(self, request: Any, service: str) -> response.HTTPResponse:
        """Return the decision that this gateway would make now on a job."""
        metadata = self._parse_metadata(request, service)
        tasks = parsing.parse_job(request.body, metadata.service.max_body_bytes)
        return self._explain(metadata, tasks, is_job=True)

    def _explain(
        self,
        metadata: parsing.RequestMetadata,
        tasks: list[submissions.Task],
        is_job: bool,
    ) -> response.HTTPResponse:
        now_ms = self._gateway.clock.read_monotonic()
        submission = parsing.build_submission(
            SUBMISSION_NAME, metadata, tasks, is_job, now_ms
        )
        return responses.build_json(
            self._gateway.dispatcher.explain(submission, now_ms)
        )

    def _parse_metadata(self, request: Any, service: str) -> parsing.RequestMetadata:
        operator = self._authorizer.find_operator(request.headers)
        if self._gateway.closing:
            raise problems.refuse_unready("the gateway is stopping")
        settings = self._gateway.holder.view.settings
        if not self._gateway.holder.view.configuration_version:
            raise problems.refuse_unready("no configuration yet")
        entry = settings.services.get(service)
        if entry is None:
            known = ", ".join(sorted(settings.services)) or "none"
            detail = f"no service {service!r}, known: {known}"
            raise problems.ProblemError(404, "unknown-service", detail)
        account = self._find_account(request, operator)
        return parsing.parse_metadata(request.headers, account, entry)

    def _find_account(self, request: Any, operator: str) -> entries.Account:
        """Return the account of the query, by default that of the operator.

        The initial operator may have none; its requests would have no team.
        """
        name = request.args.get("account", "")
        accounts = self._gateway.holder.view.settings.accounts
        if not name:
            own = self._authorizer.find_own_account(request.headers)
            return own or entries.Account(operator, token_hash="")
        account = accounts.get(parsing.parse_name(name, "account"))
        if account is None:
            detail = f"no account {name!r}"
            raise problems.ProblemError(404, "unknown-account", detail)
        return account
