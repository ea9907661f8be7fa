"""Runs a controller on the platform, from its settings to its shutdown."""

import asyncio

import structlog

from amaranthspar import reloading, stopping
from amaranthspar.consensus import joining
from amaranthspar.observation import metering
from amaranthspar.platform import metrics, operators, servers, settings
from amaranthspar.roles import controller
from amaranthspar.schema import options
from amaranthspar.storage import disk, files

REPLICA_HEARTBEAT_MS = 80
"""Heartbeat interval between controllers; five fit into an election timeout."""
ELECTION_MS = 400
"""Shortest election timeout; longer than a sync on a disk 25 times slower (225 ms)."""

_log = structlog.get_logger()


async def serve(
    process_settings: settings.Settings,
    reloader: reloading.Reloader[settings.Settings],
) -> None:
    """Serve operators and other processes until the platform stops this process.

    Args:
        process_settings: Settings of the process.
        reloader: Source of changed settings.

    Raises:
        errors.DiskError: The data folder cannot be read or written.
    """
    stop = stopping.watch_signals()
    address = process_settings.find_link_address("controller")
    content = files.Files(process_settings.data)
    plan = joining.plan_replica(
        process_settings.ip,
        address,
        disk.find_replica(content),
        dict(
            zip(
                process_settings.seeds, process_settings.list_controllers(), strict=True
            )
        ),
        process_settings.is_first_start,
    )
    role = controller.Controller(
        options.ProcessOptions(
            process_settings.host,
            address,
            process_settings.list_controllers(),
            process_settings.failure_domain,
        ),
        options.LinkOptions(heartbeat_ms=2 * REPLICA_HEARTBEAT_MS),
        options.ControllerOptions(
            replica=plan.replica,
            replicas=plan.first,
            data=process_settings.data,
            election_ms=ELECTION_MS,
            heartbeat_ms=REPLICA_HEARTBEAT_MS,
            # A disk of the platform comes back with different inode numbers.
            detects_copies=False,
            tolerated_losses=process_settings.tolerated_losses,
            join=plan.join,
        ),
    )
    reloader.subscribe(lambda changed: role.apply_settings(changed.list_controllers()))
    handler = operators.Operators(role.document_requests)
    guard = servers.build_guard(process_settings.memory_mb, process_settings.max_fds)
    server = servers.Server(handler.handle, guard=guard)
    if not await stopping.run_unless_stopped(role.start(), stop):
        return
    await server.open(process_settings.control)
    await metrics.serve_metrics(process_settings, metering.Meters(), guard)
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
