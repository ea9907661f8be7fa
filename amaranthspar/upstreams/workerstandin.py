"""Stand-in of the platform's interface to workers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sanic import response

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthspar.upstreams import standin
    from amaranthspar.web import _httpserver

STOPPED = 204
NOT_FOUND = 404


class WorkerStandIn:
    """Interface that stops tasks of stand-in upstreams.

    Args:
        stand_ins: Upstreams whose tasks it may stop.

    Attributes:
        stopped: Tasks that it has stopped.
        failing: Whether it answers with status 500 and stops nothing.
    """

    def __init__(self, stand_ins: Iterable[standin.StandIn]) -> None:
        self.stopped = 0
        self.failing = False
        self._stand_ins = stand_ins

    def add_to(self, server: _httpserver.HttpServer) -> None:
        """Serve the interface.

        Args:
            server: Server that is not open yet.
        """
        server.add("POST", "/tasks/<submission:str>/<task:str>/stop", self._stop)

    async def _stop(
        self, _request: Any, submission: str, task: str
    ) -> response.HTTPResponse:
        if self.failing:
            return response.empty(500)
        stopped = [item.stop_task(submission, task) for item in self._stand_ins]
        self.stopped += sum(stopped)
        return response.empty(STOPPED if any(stopped) else NOT_FOUND)
