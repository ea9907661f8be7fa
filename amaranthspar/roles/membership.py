"""What gateways and sidecars share as members: lease, links and leaving."""

import random

from amaranthspar import clock
from amaranthspar.membership import leaseholder
from amaranthspar.network import links
from amaranthspar.schema import messages, options


def build_holder(
    process: options.ProcessOptions,
    role: str,
    announcement: messages.Announcement | None = None,
) -> leaseholder.LeaseHolder:
    """Return the lease of a process that starts now.

    Args:
        process: Section ``process`` of the settings.
        role: ``gateway`` or ``sidecar``.
        announcement: Upstream of a sidecar, none for a gateway.
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
    """Return the links of a member, not yet open.

    Args:
        process: Section ``process`` of the settings.
        holder: Lease of the process.
        receive: Called with each frame received.
        link: Section ``links`` of the settings.
    """
    incarnation = holder.member.incarnation
    built = links.Links(process.name, incarnation, process.listen, receive, link)
    built.controllers = frozenset(process.controllers)
    return built


def leave(
    process: options.ProcessOptions,
    holder: leaseholder.LeaseHolder,
    link: links.Links,
    stopped: bool,
) -> None:
    """Tell every controller that a process takes no new work, or has stopped.

    Args:
        process: Section ``process`` of the settings.
        holder: Lease of the process.
        link: Links of the process.
        stopped: Whether the process has finished its work.
    """
    if stopped:
        holder.stop_renewing()
    incarnation = holder.member.incarnation
    message = messages.LeaveMembership(process.name, incarnation, stopped)
    for address in process.controllers:
        link.send(address, message)
