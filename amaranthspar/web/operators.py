"""HTTP handlers of a gateway for operators: configuration, replicas and status."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from amaranthspar.clients import control
from amaranthspar.schema import bodies, messages, problems
from amaranthspar.web import parsing, responses

if TYPE_CHECKING:
    from sanic import response

    from amaranthspar.web import authorization, interface

ACCEPTED = "accepted"
CONFLICT = "conflict"


class OperatorHandlers:
    """Handlers that show and change the configuration and the replicas.

    They also show the status of the system as seen by this gateway.

    Args:
        gateway: Gateway that handles the requests.
        authorizer: Checks the tokens of operators.
    """

    def __init__(
        self, gateway: interface.GatewayInterface, authorizer: authorization.Authorizer
    ) -> None:
        self._gateway = gateway
        self._authorizer = authorizer

    async def show_configuration(self, request: Any) -> response.HTTPResponse:
        """Return a version of the configuration and the latest changes."""
        self._authorizer.find_operator(request.headers)
        version = parsing.parse_number(request.args.get("version", "0"), "version")
        try:
            fetched = await self._gateway.control.fetch(version)
        except control.ControlUnavailableError as error:
            raise problems.refuse_unready(str(error)) from error
        return responses.build_json(fetched)

    async def change_configuration(self, request: Any) -> response.HTTPResponse:
        """Propose a configuration and return the decision of the controllers."""
        operator = self._authorizer.find_operator(request.headers)
        proposal = messages.ProposeConfiguration(
            parsing.parse_name(request.args.get("change_id", ""), "change_id"),
            parsing.parse_number(request.args.get("base_version", ""), "base_version"),
            operator,
            parsing.decode_text(request.body),
        )
        try:
            decided = await self._gateway.control.propose(proposal)
        except control.ControlUnavailableError as error:
            raise _build_unknown_outcome_error(error) from error
        if decided.outcome == ACCEPTED:
            return responses.build_json(decided)
        return responses.build_problem(_build_change_error(decided))

    async def show_replicas(self, request: Any) -> response.HTTPResponse:
        """Return the replicas of the controllers."""
        operator = self._authorizer.find_operator(request.headers)
        return await self._request_replicas(bodies.Replacement(), operator)

    async def change_replicas(self, request: Any) -> response.HTTPResponse:
        """Replace a replica of the controllers."""
        operator = self._authorizer.find_operator(request.headers)
        replacement = parsing.parse_replacement(request.body)
        return await self._request_replicas(replacement, operator)

    async def _request_replicas(
        self, replacement: bodies.Replacement, operator: str
    ) -> response.HTTPResponse:
        try:
            changed = await self._gateway.control.replace_replica(replacement, operator)
        except control.ControlUnavailableError as error:
            raise _build_unknown_outcome_error(error) from error
        if changed.outcome != ACCEPTED:
            raise problems.ProblemError(409, "conflict", changed.reason)
        return responses.build_json(changed)

    async def show_status(self, request: Any) -> response.HTTPResponse:
        """Return the status of the system as seen by this gateway."""
        self._authorizer.find_operator(request.headers)
        view = self._gateway.holder.view
        dispatcher = self._gateway.dispatcher
        domains = view.settings.domains.items()
        running = {
            route.member.process: len(route.in_flight)
            for route in dispatcher.routes.values()
        }
        status = bodies.Status(
            view.configuration_version,
            view.membership_revision,
            {name: domain.state for name, domain in domains},
            list(view.members.values()),
            running,
            dispatcher.count_queued(),
        )
        return responses.build_json(status)


def _build_unknown_outcome_error(
    error: control.ControlUnavailableError,
) -> problems.ProblemError:
    detail = f"{error}; send the same change again"
    return problems.ProblemError(
        503, "unavailable", detail, "unknown", problems.UNREADY_RETRY_MS
    )


def _build_change_error(
    decided: messages.ConfigurationDecided,
) -> problems.ProblemError:
    if decided.outcome == CONFLICT:
        detail = f"version {decided.version} is in force"
        return problems.ChangeError(409, "conflict", detail, decided)
    detail = "; ".join(decided.errors) or decided.outcome
    return problems.ChangeError(422, "invalid-configuration", detail, decided)
