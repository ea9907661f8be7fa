"""Lease, links and leaving of a member: functions that gateways and sidecars share."""

import random

import structlog

from amaranthspar import clock
from amaranthspar.membership import leaseholder
from amaranthspar.network import links
from amaranthspar.schema import messages, options


def build_holder(
    process: options.ProcessOptions,
    role: str,
    announcement: messages.Announcement | None = None,
) -> leaseholder.LeaseHolder:
    """Return the lease holder of a process that starts now.

    Args:
        process: Section ``process`` of the settings.
        role: ``gateway`` or ``sidecar``.
        announcement: Description of a sidecar's upstream; `None` for a gateway.
    """
    time = clock.Clock()
    incarnation = time.read_wall()
    member = messages.Member(
        process.name,
        role,
        incarnation,
        process.listen,
        revision=0,
        announcement=announcement,
    )
    chance = random.Random(f"{process.name}/{incarnation}")
    now_ms = time.read_monotonic()
    return leaseholder.LeaseHolder(member, process.controllers, now_ms, chance)


def build_links(
    process: options.ProcessOptions,
    holder: leaseholder.LeaseHolder,
    receive: links.FrameHandler,
    link: options.LinkOptions,
) -> links.Links:
    """Return the links of a member, which are not open yet.

    Args:
        process: Section ``process`` of the settings.
        holder: Lease holder of the process.
        receive: Called with each frame received.
        link: Section ``links`` of the settings.
    """
    incarnation = holder.member.incarnation
    built = links.Links(process.name, incarnation, process.listen, receive, link)
    built.controllers = frozenset(holder.controllers.list_known())
    return built


def apply_controllers(
    holder: leaseholder.LeaseHolder,
    link: links.Links,
    changed: leaseholder.ControllersChanged,
    log: structlog.stdlib.BoundLogger,
) -> None:
    """Count messages to the changed controllers as such, and log the change.

    Args:
        holder: Lease holder of the process.
        link: Links of the process.
        changed: Effect of the lease holder.
        log: Logger of the process.
    """
    known = holder.controllers.list_known()
    link.controllers = frozenset(known)
    log.info(
        "controllers changed",
        source=changed.source,
        revision=holder.controllers.revision,
        known=known,
    )


def announce_leaving(
    process: options.ProcessOptions,
    holder: leaseholder.LeaseHolder,
    link: links.Links,
    stopped: bool,
) -> None:
    """Notify every controller that a process accepts no new work, or has stopped.

    Args:
        process: Section ``process`` of the settings.
        holder: Lease holder of the process.
        link: Links of the process.
        stopped: Whether the process has finished its work.
    """
    if stopped:
        holder.stop_renewing()
    incarnation = holder.member.incarnation
    message = messages.LeaveMembership(process.name, incarnation, stopped)
    for address in holder.controllers.list_known():
        link.send(address, message)
