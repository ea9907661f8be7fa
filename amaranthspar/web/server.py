"""HTTP server of a gateway."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

from amaranthspar.schema import problems
from amaranthspar.web import _httpserver, authorization, callers, operators, responses

if TYPE_CHECKING:
    from sanic import response

    from amaranthspar.web import interface


class GatewayServer:
    """HTTP server embedded in the loop of a gateway.

    Args:
        owner: Gateway that is served.
    """

    def __init__(self, owner: interface.GatewayInterface) -> None:
        self.open_requests = 0
        self._gateway = owner
        checked = authorization.Authorization(
            owner.holder.view, owner.options.operator_token_hash
        )
        self._callers = callers.Callers(owner, checked)
        self._operators = operators.Operators(owner, checked)
        self._server = self._build_server()

    async def open(self, address: str) -> None:
        """Listen for callers.

        Args:
            address: Address as in ``127.0.0.1:8000``.

        Raises:
            errors.InputOutputError: The address cannot be used.
        """
        await self._server.open(address)

    def stop_listening(self) -> None:
        """Take no new connections; open ones are served until `close`."""
        self._server.stop_listening()

    async def close(self) -> None:
        """Stop listening and close the connections."""
        await self._server.close()

    def _build_server(self) -> _httpserver.HttpServer:
        server = _httpserver.HttpServer(self._gateway.options.max_body_bytes)
        server.add("GET", "/healthz", self._check_health)
        server.add("GET", "/readyz", self._check_readiness)
        callers, operators = self._callers, self._operators
        services = "/v1/services/<service:str>"
        server.add("POST", f"{services}/requests", self._count(callers.take_request))
        server.add("POST", f"{services}/jobs", self._count(callers.take_job))
        server.add("GET", "/v1/jobs/<job:str>", self._count(callers.show_job))
        server.add("DELETE", "/v1/jobs/<job:str>", self._count(callers.cancel_job))
        path = "/v1/configuration"
        server.add("GET", path, self._count(operators.show_configuration))
        server.add("PUT", path, self._count(operators.change_configuration))
        path = "/v1/replicas"
        server.add("GET", path, self._count(operators.show_replicas))
        server.add("POST", path, self._count(operators.change_replicas))
        server.add("GET", "/v1/status", self._count(operators.show_status))
        server.app.exception(Exception)(self._answer_exception)
        return server

    def _count(self, handler: _httpserver.Handler) -> _httpserver.Handler:
        @functools.wraps(handler)
        async def run(request: Any, *args: Any, **names: Any) -> response.HTTPResponse:
            self.open_requests += 1
            try:
                return await handler(request, *args, **names)
            except problems.ProblemError as problem:
                return responses.build_problem(problem)
            finally:
                self.open_requests -= 1
                if self._gateway.draining and request.stream is not None:
                    # The next request of this connection belongs elsewhere.
                    request.stream.keep_alive = False

        return run

    async def _answer_exception(
        self, request: Any, error: Exception
    ) -> response.HTTPResponse:
        return responses.build_exception(error)

    async def _check_health(self, request: Any) -> response.HTTPResponse:
        return responses.build_text("alive")

    async def _check_readiness(self, request: Any) -> response.HTTPResponse:
        if self._gateway.is_ready:
            return responses.build_text("ready")
        return responses.build_problem(problems.refuse_unready("not ready"))
