"""Serves the metrics of a process over HTTP."""

import structlog
from aiohttp import web

from amaranthspar import errors
from amaranthspar.network import clientguards
from amaranthspar.observation import metering
from amaranthspar.platform import servers, settings

PORT = 9464
"""Port of the metrics endpoint, as in the deployment file."""

_log = structlog.get_logger()


async def serve_metrics(
    process_settings: settings.Settings,
    meters: metering.Meters,
    guard: clientguards.ClientGuard | None = None,
) -> None:
    """Serve the metrics, or continue without them if the port is in use.

    Args:
        process_settings: Settings of the process.
        meters: Metrics to serve.
        guard: Guard of the clients of the process.
    """

    async def answer(_request: web.BaseRequest) -> web.StreamResponse:
        if guard is not None:
            meters.dropped_clients = guard.drops
            meters.client_connections = guard.open_connections
            meters.client_bytes = guard.held_bytes
        return web.Response(body=meters.render(), content_type="text/plain")

    try:
        await servers.Server(answer, guard=guard).open(f"{process_settings.ip}:{PORT}")
    except errors.ListenError as error:
        # Metrics matter less than the work, so the role continues without them.
        _log.warning("metrics unavailable", reason=str(error))
