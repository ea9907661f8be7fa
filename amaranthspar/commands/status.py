"""Command ``status``, which prints members and load."""

import argparse
from collections.abc import Iterable

import tabulate

from amaranthspar import exits
from amaranthspar.clients import operators
from amaranthspar.commands import remote, shared
from amaranthspar.schema import bodies, messages

EXAMPLES = """\
  amaranthspar status
  amaranthspar status --json
"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command.

    Args:
        parser: Parser of the command ``status``.
    """
    remote.add_arguments(parser, _show_status, EXAMPLES)
    shared.add_json(parser)


def _show_status(arguments: argparse.Namespace) -> int:
    async def run(operator: operators.OperatorClient) -> int:
        status = await operator.retry(lambda item: item.fetch_status())
        if arguments.json:
            shared.print_json(status)
        else:
            print(format_status(status))
        return exits.DONE

    return remote.run_operator(arguments, run)


def format_status(status: bodies.Status) -> str:
    """Format a status as tables.

    Args:
        status: Status reported by a gateway.
    """
    sidecars = [item for item in status.members if item.announcement is not None]
    gateways = [item for item in status.members if item.announcement is None]
    summary = (
        f"configuration version {status.configuration_version}, "
        f"membership revision {status.membership_revision}, "
        f"{status.queued} tasks wait in this gateway"
    )
    parts = [
        summary,
        _format_domains(status, sidecars),
        _format_sidecars(status, sidecars),
        _format_gateways(gateways),
    ]
    return "\n\n".join(parts)


def _format_domains(status: bodies.Status, sidecars: Iterable[messages.Member]) -> str:
    slots: dict[str, int] = {}
    running: dict[str, int] = {}
    for item in sidecars:
        if item.announcement is None:
            continue
        name = item.announcement.failure_domain
        slots[name] = slots.get(name, 0) + item.announcement.slots
        tasks = status.running.get(item.process, 0)
        running[name] = running.get(name, 0) + tasks
    rows = [
        (
            name,
            status.domains.get(name, "not configured"),
            slots.get(name, 0),
            running.get(name, 0),
        )
        for name in sorted({*status.domains, *slots})
    ]
    headers = ("failure domain", "state", "slots", "running")
    return tabulate.tabulate(rows, headers=headers)


def _format_sidecars(status: bodies.Status, sidecars: Iterable[messages.Member]) -> str:
    rows = [
        (
            item.process,
            item.announcement.failure_domain,
            item.announcement.worker,
            item.announcement.group,
            ", ".join(item.announcement.services),
            item.announcement.slots,
            status.running.get(item.process, 0),
            _describe_state(item),
        )
        for item in sorted(sidecars, key=_get_process)
        if item.announcement is not None
    ]
    headers = (
        "sidecar",
        "failure domain",
        "worker",
        "group",
        "services",
        "slots",
        "running",
        "state",
    )
    return tabulate.tabulate(rows, headers=headers)


def _format_gateways(gateways: Iterable[messages.Member]) -> str:
    rows = [
        (item.process, item.address, _describe_state(item))
        for item in sorted(gateways, key=_get_process)
    ]
    return tabulate.tabulate(rows, headers=("gateway", "links", "state"))


def _get_process(item: messages.Member) -> str:
    return item.process


def _describe_state(item: messages.Member) -> str:
    return "leaving" if item.leaving else "serving"
