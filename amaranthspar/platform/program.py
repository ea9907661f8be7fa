"""Runs one role on the platform, from its settings to its stop."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable

import structlog
from aiohttp import web

from amaranthspar import errors, exits, loop as loops, places, stopping
from amaranthspar.consensus import joining
from amaranthspar.observation import logs, metering
from amaranthspar.platform import (
    callers,
    operators,
    servers,
    settings,
    statements,
    upstreams,
)
from amaranthspar.roles import controller, jobgateway, runsidecar
from amaranthspar.schema import options
from amaranthspar.storage import disk, files

METRICS_PORT = 9464
"""Port for measures, as the deployment file names it."""
METRICS_PATH = "/metrics"
STOP_MARGIN_MS = 700
"""Time kept of the platform's grace for the last answers and the exit."""
BALANCER_MS = 2_500
"""Time until the balancer sends no more connections: two checks of 1 s, and a little."""
ABANDON_MS = 300
"""Time of that margin in which jobs ended without a result are answered."""
POLL_MS = 20
"""Interval in which a stopping process looks whether its work has ended."""
NOTICE_MS = 400
"""Time for which a stopping sidecar stays, so that every gateway hears of it."""
REPLICA_HEARTBEAT_MS = 80
"""Heartbeat among controllers; five fit into an election timeout."""
ELECTION_MS = 400
"""Shortest election timeout: above a sync on a disk that is 25 times slow (225 ms)."""

_log = structlog.get_logger()


def run_role(role: str) -> int:
    """Run a role until the platform stops it.

    Args:
        role: ``gateway``, ``sidecar`` or ``controller``.

    Raises:
        errors.SettingsError: The settings are wrong.
    """
    found = settings.load_settings()
    serve: dict[str, Callable[[settings.Settings], Awaitable[None]]] = {
        "gateway": _serve_gateway,
        "sidecar": _serve_sidecar,
        "controller": _serve_controller,
    }
    loops.run_loop(_serve(found, role, serve[role]))
    return exits.DONE


async def _serve(
    found: settings.Settings,
    role: str,
    serve: Callable[[settings.Settings], Awaitable[None]],
) -> None:
    buffer = logs.set_up_buffered_logs(found.host, sys.stdout.fileno())
    loop = asyncio.get_running_loop()
    flushing = loop.create_task(logs.flush_forever(buffer))
    loop.add_signal_handler(signal.SIGHUP, _note_reload)
    _log.info(
        "process started",
        role=role,
        host=found.host,
        failure_domain=found.failure_domain,
        controllers=found.seeds,
        is_first_start=found.is_first_start,
    )
    try:
        await serve(found)
        _log.info("process stopped", role=role, host=found.host)
    finally:
        flushing.cancel()
        buffer.flush()


def _note_reload() -> None:
    """Log changed settings; addresses of controllers come from controllers themselves."""
    try:
        found = settings.load_settings()
    except errors.SettingsError as error:
        _log.warning("settings not readable", faults=error.faults)
        return
    _log.info("settings reloaded", controllers=found.seeds)


async def _open_metrics(found: settings.Settings, meters: metering.Meters) -> None:
    async def answer(_request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=meters.render(), content_type="text/plain")

    try:
        await servers.Server(answer).open(f"{found.ip}:{METRICS_PORT}")
    except errors.ListenError as error:
        # Measures are worth less than the work: the role goes on without them.
        _log.warning("no measures", reason=str(error))


async def _serve_gateway(found: settings.Settings) -> None:
    stop = stopping.watch_signals()
    place = places.Place(
        found.host, found.find_link_address("gateway"), found.list_controllers()
    )
    meters = metering.Meters()
    gateway = jobgateway.JobGateway(place, meters)
    handler = callers.Callers(gateway)
    time_ms = found.grace_ms - STOP_MARGIN_MS
    front = servers.Server(handler.handle, time_ms - BALANCER_MS + ABANDON_MS)
    readiness = servers.Server(handler.check_readiness)
    await gateway.start()
    await front.open(found.callers)
    await readiness.open(found.readiness)
    await _open_metrics(found, meters)
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


async def _serve_sidecar(found: settings.Settings) -> None:
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
    server = servers.Server(statements.Statements(sidecar, found.service).handle)
    await sidecar.start()
    await server.open(found.control)
    await _open_metrics(found, meters)
    await stop.wait()
    _log.info("stopping", has_runs=sidecar.has_runs)
    sidecar.drain()
    await asyncio.sleep(NOTICE_MS / 1000)
    time_ms = found.grace_ms - STOP_MARGIN_MS - NOTICE_MS
    await _wait_until(lambda: not sidecar.has_runs, time_ms)
    await asyncio.sleep(POLL_MS / 1000)
    await server.close()
    await sidecar.close()


async def _serve_controller(found: settings.Settings) -> None:
    stop = stopping.watch_signals()
    address = found.find_link_address("controller")
    content = files.Files(found.data)
    plan = joining.plan_replica(
        found.ip,
        address,
        disk.find_replica(content),
        dict(zip(found.seeds, found.list_controllers(), strict=True)),
        found.is_first_start,
    )
    role = controller.Controller(
        options.ProcessOptions(
            found.host, address, found.list_controllers(), found.failure_domain
        ),
        options.LinkOptions(heartbeat_ms=2 * REPLICA_HEARTBEAT_MS),
        options.ControllerOptions(
            replica=plan.replica,
            replicas=plan.first,
            data=found.data,
            election_ms=ELECTION_MS,
            heartbeat_ms=REPLICA_HEARTBEAT_MS,
            # A disk of the platform comes back under other file numbers.
            detects_copies=False,
            join=plan.join,
        ),
    )
    handler = operators.Operators(role.document_requests)
    server = servers.Server(handler.handle)
    await role.start()
    await server.open(found.control)
    await _open_metrics(found, metering.Meters())
    waits = [
        asyncio.ensure_future(stop.wait()),
        asyncio.ensure_future(role.stopped.wait()),
    ]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    _log.info("stopping", is_leading=role.leading)
    await role.stop()
    await server.close()
    if role.failure is not None:
        raise role.failure


async def _wait_until(is_done: Callable[[], bool], time_ms: int) -> None:
    """Wait until something holds, at most for some time."""
    for _ in range(max(time_ms, 0) // POLL_MS):
        if is_done():
            return
        await asyncio.sleep(POLL_MS / 1000)
