"""Serves a gateway on the platform, from its settings to its stop."""

import asyncio

import structlog

from amaranthspar import places, stopping
from amaranthspar.observation import metering
from amaranthspar.platform import callers, metrics, servers, settings
from amaranthspar.roles import jobgateway

BALANCER_MS = 2_500
"""Time until the balancer sends no more connections: two checks of 1 s, and a little."""
ABANDON_MS = 300
"""Time of the stop margin in which jobs ended without a result are answered."""

_log = structlog.get_logger()


async def serve(found: settings.Settings) -> None:
    """Serve callers until the platform stops the process.

    Args:
        found: Settings of the process.
    """
    stop = stopping.watch_signals()
    place = places.Place(
        found.host,
        found.find_link_address("gateway"),
        found.list_controllers(),
        found.failure_domain,
    )
    meters = metering.Meters()
    gateway = jobgateway.JobGateway(place, meters)
    handler = callers.Callers(gateway)
    time_ms = found.stopping_ms
    front = servers.Server(handler.handle, time_ms - BALANCER_MS + ABANDON_MS)
    readiness = servers.Server(handler.check_readiness)
    await gateway.start()
    await front.open(found.callers)
    await readiness.open(found.readiness)
    await metrics.serve_metrics(found, meters)
    await stop.wait()
    _log.info("stopping", has_jobs=gateway.has_jobs, time_ms=time_ms)
    gateway.drain(time_ms)
    await asyncio.sleep(BALANCER_MS / 1000)
    # Requests may still come on open connections: closing waits for their answers.
    closing = asyncio.get_running_loop().create_task(front.close())
    await asyncio.wait([closing], timeout=(time_ms - BALANCER_MS) / 1000)
    gateway.abandon_all("gateway has stopped")
    await closing
    await readiness.close()
    gateway.close()
