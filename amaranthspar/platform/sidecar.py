"""Runs a sidecar on the platform, from its settings to its shutdown."""

import asyncio
from collections.abc import Callable

import structlog

from amaranthspar import processes, reloading, stopping
from amaranthspar.observation import metering
from amaranthspar.platform import metrics, registrations, servers, settings, upstreams
from amaranthspar.roles import runsidecar

POLL_MS = 20
"""Interval at which a stopping process checks whether its runs have ended."""
LEAVE_NOTICE_MS = 400
"""Shortest time for which a stopping sidecar keeps running, so that every gateway
receives its notice of leaving."""

_log = structlog.get_logger()


async def serve(
    process_settings: settings.Settings,
    reloader: reloading.Reloader[settings.Settings],
) -> None:
    """Serve the upstream of this host until the platform stops the process.

    Args:
        process_settings: Settings of the process.
        reloader: Source of changed settings.
    """
    stop = stopping.watch_signals()
    process = processes.ProcessSettings(
        process_settings.host,
        process_settings.find_link_address("sidecar"),
        process_settings.list_controllers(),
    )
    meters = metering.Meters()
    sidecar = runsidecar.RunSidecar(
        process,
        process_settings.service,
        process_settings.failure_domain,
        upstreams.Upstream(process_settings.upstream, process_settings.max_lease_ms),
        meters,
    )
    guard = servers.build_guard(process_settings.memory_mb, process_settings.max_fds)
    server = servers.Server(
        registrations.Registrations(sidecar, process_settings.service).handle,
        guard=guard,
    )
    reloader.subscribe(
        lambda changed: sidecar.apply_settings(changed.list_controllers())
    )
    await sidecar.start()
    await server.open(process_settings.control)
    await metrics.serve_metrics(process_settings, meters, guard)
    await stop.wait()
    _log.info("stopping", has_runs=sidecar.has_runs)
    sidecar.drain()
    await asyncio.sleep(LEAVE_NOTICE_MS / 1000)
    time_ms = process_settings.stopping_ms - LEAVE_NOTICE_MS
    await _wait_until(lambda: not sidecar.has_runs, time_ms)
    await asyncio.sleep(POLL_MS / 1000)
    await server.close()
    await sidecar.close()


async def _wait_until(is_done: Callable[[], bool], time_ms: int) -> None:
    """Wait until a condition is true, but not longer than a time limit."""
    for _ in range(max(time_ms, 0) // POLL_MS):
        if is_done():
            return
        await asyncio.sleep(POLL_MS / 1000)
