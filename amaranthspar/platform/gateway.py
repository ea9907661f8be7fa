"""Runs a gateway on the platform, from its settings to its shutdown."""

import asyncio

import structlog

from amaranthspar import processes, reloading, stopping
from amaranthspar.observation import metering
from amaranthspar.platform import callers, metrics, servers, settings
from amaranthspar.roles import jobgateway

BALANCER_DELAY_MS = 2_500
"""Time until the load balancer stops sending connections: two checks of 1 s and some
margin."""
FINAL_ANSWERS_MS = 300
"""Part of the stop margin for responses to jobs that were ended without a result."""

_log = structlog.get_logger()


async def serve(
    process_settings: settings.Settings,
    reloader: reloading.Reloader[settings.Settings],
) -> None:
    """Serve callers until the platform stops the process.

    Args:
        process_settings: Settings of the process.
        reloader: Source of changed settings.
    """
    stop = stopping.watch_signals()
    process = processes.ProcessSettings(
        process_settings.host,
        process_settings.find_link_address("gateway"),
        process_settings.list_controllers(),
        process_settings.failure_domain,
    )
    meters = metering.Meters()
    gateway = jobgateway.JobGateway(process, meters, process_settings.spread_factor)
    handler = callers.Callers(gateway)
    time_ms = process_settings.stopping_ms
    guard = servers.build_guard(process_settings.memory_mb, process_settings.max_fds)
    caller_server = servers.Server(
        handler.handle, time_ms - BALANCER_DELAY_MS + FINAL_ANSWERS_MS, guard
    )
    readiness_server = servers.Server(handler.check_readiness, guard=guard)
    reloader.subscribe(
        lambda changed: gateway.apply_settings(changed.list_controllers())
    )
    await gateway.start()
    await caller_server.open(process_settings.callers)
    await readiness_server.open(process_settings.readiness)
    await metrics.serve_metrics(process_settings, meters, guard)
    await stop.wait()
    _log.info("stopping", has_jobs=gateway.has_jobs, time_ms=time_ms)
    gateway.drain(time_ms)
    await asyncio.sleep(BALANCER_DELAY_MS / 1000)
    # Requests may still arrive on open connections; closing waits for their responses.
    closing = asyncio.get_running_loop().create_task(caller_server.close())
    await asyncio.wait([closing], timeout=(time_ms - BALANCER_DELAY_MS) / 1000)
    gateway.abandon_all("gateway has stopped")
    await closing
    await readiness_server.close()
    gateway.close()
