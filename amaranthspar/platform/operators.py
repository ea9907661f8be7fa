"""HTTP interface for operators: configuration and failure domains out of service."""

import structlog
from aiohttp import web

from amaranthspar import rejections
from amaranthspar.membership import documents
from amaranthspar.platform import servers, wire
from amaranthspar.registry import documentrequests

PUT_PATH = "/amaranthspar/config/put"
GET_PATH = "/amaranthspar/config/get"
DOMAIN_PATH = "/amaranthspar/evacuations/"
START = "start"
FINISH = "finish"
MAX_DOMAIN_LENGTH = 256
"""Longest name of a failure domain; each answer of a controller carries those that are
out of service."""

_log = structlog.get_logger()


class Operators:
    """Handles the requests of operators.

    Args:
        requests: Document requests to the leading controller.
    """

    def __init__(self, requests: documentrequests.DocumentRequests) -> None:
        self._requests = requests
        self._rejections = rejections.RejectionLog()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request.

        Args:
            request: Request of an operator.
        """
        try:
            match request.method, request.path:
                case "POST", path if path == PUT_PATH:
                    return await self._put(request)
                case "GET", path if path == GET_PATH:
                    return await self._get()
                case "POST", path if path.startswith(DOMAIN_PATH):
                    return await self._set_domain(path.removeprefix(DOMAIN_PATH))
                case _:
                    return servers.answer_json(404)
        except (
            documentrequests.UnavailableError,
            documentrequests.DelayedError,
        ) as error:
            _log.info("operator request failed", path=request.path, reason=str(error))
            return servers.answer_json(503)

    async def _put(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        try:
            table = wire.decode_configuration(body)
        except wire.BodyError as error:
            return self._reject("configuration rejected", str(error))
        state = await self._requests.put(table.version, body)
        _log.info("configuration taken", version=table.version, newest=state.version)
        return servers.answer_json(200)

    async def _get(self) -> web.Response:
        state = await self._requests.fetch()
        if state.version == documents.NO_VERSION:
            return servers.answer_json(503)
        return servers.answer_json(200, state.content)

    async def _set_domain(self, rest: str) -> web.Response:
        domain, _, action = rest.partition("/")
        if not domain or action not in (START, FINISH):
            return servers.answer_json(404)
        if not domain.isprintable() or len(domain) > MAX_DOMAIN_LENGTH:
            return self._reject("failure domain rejected", repr(domain))
        state = await self._requests.set_domain(domain, action == START)
        _log.info(
            "failure domain set",
            failure_domain=domain,
            is_out=action == START,
            order=state.newest_order,
        )
        return servers.answer_json(200)

    def _reject(self, event: str, reason: str) -> web.Response:
        self._rejections.record(event, reason=reason)
        return servers.answer_json(400)
