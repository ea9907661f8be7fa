"""The address at which a process exposes its measures."""

import structlog
from aiohttp import web

from amaranthspar import errors
from amaranthspar.observation import metering
from amaranthspar.platform import servers, settings

PORT = 9464
"""Port for metrics, as the deployment file names it."""

_log = structlog.get_logger()


async def serve_metrics(found: settings.Settings, meters: metering.Meters) -> None:
    """Serve the measures; a process whose port is taken goes on without them.

    Args:
        found: Settings of the process.
        meters: Measures.
    """

    async def answer(_request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=meters.render(), content_type="text/plain")

    try:
        await servers.Server(answer).open(f"{found.ip}:{PORT}")
    except errors.ListenError as error:
        # Measures are worth less than the work: the role goes on without them.
        _log.warning("no measures", reason=str(error))
