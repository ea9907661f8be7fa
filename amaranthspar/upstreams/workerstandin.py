"""Stand-in for the platform's interface that stops tasks on workers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sanic import response

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthspar.upstreams import standin
    from amaranthspar.web import _httpserver

STOPPED_STATUS = 204
NOT_FOUND_STATUS = 404


class WorkerStandIn:
    """HTTP handlers that stop tasks of stand-in upstreams.

    Args:
        stand_ins: Upstreams whose tasks may be stopped.

    Attributes:
        stopped: Number of tasks stopped.
        failing: Whether each request is answered with status 500 and stops nothing.
    """

    def __init__(self, stand_ins: Iterable[standin.StandIn]) -> None:
        self.stopped = 0
        self.failing = False
        self._stand_ins = stand_ins

    def add_to(self, server: _httpserver.HttpServer) -> None:
        """Add the handlers to a server.

        Args:
            server: Server that does not listen yet.
        """
        server.add("POST", "/tasks/<submission:str>/<task:str>/stop", self._stop)

    async def _stop(
        self, _request: Any, submission: str, task: str
    ) -> response.HTTPResponse:
        if self.failing:
            return response.empty(500)
        stopped = [item.stop_task(submission, task) for item in self._stand_ins]
        self.stopped += sum(stopped)
        return response.empty(STOPPED_STATUS if any(stopped) else NOT_FOUND_STATUS)
