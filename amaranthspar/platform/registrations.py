"""HTTP interface with which the upstream on the same host registers and deregisters."""

import structlog
from aiohttp import web

from amaranthspar import rejections
from amaranthspar.platform import servers, upstreams, wire
from amaranthspar.roles import runsidecar
from amaranthspar.scheduling import incarnations, runevents

PATH = "/amaranthspar/instances/"
MAX_ID_LENGTH = 128
"""Longest id of an upstream; each call to it and each report on it carries the id."""

_log = structlog.get_logger()


class Registrations:
    """Handles the heartbeats and deregistrations of the upstream on this host.

    Args:
        sidecar: Sidecar of the upstream.
        service: Service that the upstream must have; empty if any is accepted.
    """

    def __init__(self, sidecar: runsidecar.RunSidecar, service: str) -> None:
        self._sidecar = sidecar
        self._service = service
        self._rejections = rejections.RejectionLog()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request.

        Args:
            request: Request of the upstream.
        """
        name, _, action = request.path.removeprefix(PATH).partition("/")
        if request.method != "POST" or not request.path.startswith(PATH) or not name:
            return servers.answer_json(404)
        if not _is_upstream_id(name):
            reason = "id is too long or not of visible ASCII characters"
            return self._reject("malformed upstream id", name, reason)
        match action:
            case "heartbeat":
                return await self._register(name, await request.read())
            case "deregister":
                _log.info("upstream deregistered", upstream=name)
                self._sidecar.deregister(name)
                return servers.answer_json(200)
            case _:
                return servers.answer_json(404)

    async def _register(self, name: str, body: bytes) -> web.Response:
        try:
            heartbeat = wire.decode_heartbeat(body)
        except wire.BodyError as error:
            return self._reject("malformed heartbeat", name, str(error))
        if self._service and heartbeat.service != self._service:
            return self._reject("unknown service", name, heartbeat.service)
        event = runevents.UpstreamKnown(
            upstreams.build_incarnation(name, heartbeat.born_ms),
            heartbeat.capacity,
            heartbeat.labels,
            heartbeat.is_leaving,
        )
        self._sidecar.register(
            incarnations.Registration(name, heartbeat.sequence, event)
        )
        return servers.answer_json(200)

    def _reject(self, event: str, name: str, reason: str) -> web.Response:
        self._rejections.record(event, upstream=name, reason=reason)
        return servers.answer_json(400)


def _is_upstream_id(text: str) -> bool:
    """Return whether a text may be the id of an upstream, which is sent in a header.

    Args:
        text: Id from a path; escapes that are not UTF-8 are still encoded in it.
    """
    is_visible = text.isascii() and text.isprintable()
    return is_visible and not set(" %") & set(text) and len(text) <= MAX_ID_LENGTH
