"""HTTP server of a gateway: its routes and the accounting of open requests."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

from amaranthspar.intake import limits
from amaranthspar.schema import problems
from amaranthspar.web import (
    _httpserver,
    authorization,
    callers,
    explaining,
    operators,
    responses,
)

if TYPE_CHECKING:
    from sanic import response

    from amaranthspar.web import interface


class GatewayServer:
    """HTTP server that runs in the event loop of a gateway.

    Args:
        gateway: Gateway that handles the requests.

    Attributes:
        open_requests: Number of requests being handled, without health checks.
    """

    def __init__(self, gateway: interface.GatewayInterface) -> None:
        self.open_requests = 0
        self._gateway = gateway
        authorizer = authorization.Authorizer(
            gateway.holder.view, gateway.options.operator_token_hash
        )
        self._callers = callers.CallerHandlers(gateway, authorizer)
        self._operators = operators.OperatorHandlers(gateway, authorizer)
        self._explaining = explaining.ExplanationHandlers(gateway, authorizer)
        self._server = self._build_server()

    @property
    def counts(self) -> dict[str, int]:
        """Number of dropped connections by reason, as counters."""
        counts: dict[str, int] = {}
        for reason, count in self._server.guard.drops.items():
            counts[f"clients.dropped.{reason}"] = count
        return counts

    async def open(self, address: str) -> None:
        """Listen for HTTP connections.

        Args:
            address: Address to listen on, as in ``127.0.0.1:8000``.

        Raises:
            errors.InputOutputError: The address cannot be listened on.
        """
        await self._server.open(address)

    def stop_listening(self) -> None:
        """Accept no new connections; serve the open ones until `close`."""
        self._server.stop_listening()

    async def close(self) -> None:
        """Stop listening and close the connections."""
        await self._server.close()

    def _build_server(self) -> _httpserver.HttpServer:
        options = self._gateway.options
        server = _httpserver.HttpServer(
            options.max_body_bytes,
            options.read_budget_mb * limits.MB,
            options.max_connections,
        )
        server.add("GET", "/healthz", self._check_health)
        server.add("GET", "/readyz", self._check_readiness)
        callers, operators = self._callers, self._operators
        services = "/v1/services/<service:str>"
        server.add("POST", f"{services}/requests", self._wrap(callers.take_request))
        server.add("POST", f"{services}/jobs", self._wrap(callers.take_job))
        explaining = self._explaining
        path = f"{services}/requests/explanation"
        server.add("POST", path, self._wrap(explaining.explain_request))
        path = f"{services}/jobs/explanation"
        server.add("POST", path, self._wrap(explaining.explain_job))
        server.add("GET", "/v1/jobs/<job:str>", self._wrap(callers.show_job))
        server.add("DELETE", "/v1/jobs/<job:str>", self._wrap(callers.cancel_job))
        path = "/v1/configuration"
        server.add("GET", path, self._wrap(operators.show_configuration))
        server.add("PUT", path, self._wrap(operators.change_configuration))
        path = "/v1/replicas"
        server.add("GET", path, self._wrap(operators.show_replicas))
        server.add("POST", path, self._wrap(operators.change_replicas))
        server.add("GET", "/v1/status", self._wrap(operators.show_status))
        server.app.exception(Exception)(self._handle_exception)
        return server

    def _wrap(self, handler: _httpserver.Handler) -> _httpserver.Handler:
        """Return a handler that counts open requests and answers with problems."""

        @functools.wraps(handler)
        async def run(request: Any, *args: Any, **kwargs: Any) -> response.HTTPResponse:
            self.open_requests += 1
            try:
                return await handler(request, *args, **kwargs)
            except problems.ProblemError as problem:
                return responses.build_problem(problem)
            finally:
                self.open_requests -= 1
                if self._gateway.draining and request.stream is not None:
                    # Close the connection after this response, so that the
                    # client sends its next request to another gateway.
                    request.stream.keep_alive = False

        return run

    async def _handle_exception(
        self, request: Any, error: Exception
    ) -> response.HTTPResponse:
        return responses.build_error(error)

    async def _check_health(self, request: Any) -> response.HTTPResponse:
        return responses.build_text("alive")

    async def _check_readiness(self, request: Any) -> response.HTTPResponse:
        if self._gateway.is_ready:
            return responses.build_text("ready")
        return responses.build_problem(problems.refuse_unready("not ready"))
