"""Serves a controller on the platform, from its settings to its stop."""

import asyncio

import structlog

from amaranthspar import stopping
from amaranthspar.consensus import joining
from amaranthspar.observation import metering
from amaranthspar.platform import metrics, operators, servers, settings
from amaranthspar.roles import controller
from amaranthspar.schema import options
from amaranthspar.storage import disk, files

REPLICA_HEARTBEAT_MS = 80
"""Heartbeat among controllers; five fit into an election timeout."""
ELECTION_MS = 400
"""Shortest election timeout: above a sync on a disk that is 25 times slow (225 ms)."""

_log = structlog.get_logger()


async def serve(found: settings.Settings) -> None:
    """Serve operators and processes until the platform stops the process.

    Args:
        found: Settings of the process.
    """
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
    await metrics.serve_metrics(found, metering.Meters())
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
