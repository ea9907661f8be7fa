"""Serves a sidecar on the platform, from its settings to its stop."""

import asyncio
from collections.abc import Callable

import structlog

from amaranthspar import places, stopping
from amaranthspar.observation import metering
from amaranthspar.platform import metrics, registrations, servers, settings, upstreams
from amaranthspar.roles import runsidecar

POLL_MS = 20
"""Interval in which a stopping process looks whether its work has ended."""
NOTICE_MS = 400
"""Time for which a stopping sidecar stays, so that every gateway hears of it."""

_log = structlog.get_logger()


async def serve(found: settings.Settings) -> None:
    """Serve the upstream of this host until the platform stops the process.

    Args:
        found: Settings of the process.
    """
    stop = stopping.watch_signals()
    place = places.Place(
        found.host, found.find_link_address("sidecar"), found.list_controllers()
    )
    meters = metering.Meters()
    sidecar = runsidecar.RunSidecar(
        place,
        found.service,
        found.failure_domain,
        upstreams.Upstream(found.upstream, found.hold_ms),
        meters,
    )
    server = servers.Server(registrations.Registrations(sidecar, found.service).handle)
    await sidecar.start()
    await server.open(found.control)
    await metrics.serve_metrics(found, meters)
    await stop.wait()
    _log.info("stopping", has_runs=sidecar.has_runs)
    sidecar.drain()
    await asyncio.sleep(NOTICE_MS / 1000)
    time_ms = found.stopping_ms - NOTICE_MS
    await _wait_until(lambda: not sidecar.has_runs, time_ms)
    await asyncio.sleep(POLL_MS / 1000)
    await server.close()
    await sidecar.close()


async def _wait_until(is_done: Callable[[], bool], time_ms: int) -> None:
    """Wait until something holds, at most for some time."""
    for _ in range(max(time_ms, 0) // POLL_MS):
        if is_done():
            return
        await asyncio.sleep(POLL_MS / 1000)
