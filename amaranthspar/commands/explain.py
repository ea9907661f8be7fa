"""Commands ``explain request`` and ``explain job``."""

import argparse
import functools
from collections.abc import Iterable

import tabulate

from amaranthspar import exits
from amaranthspar.clients import operators
from amaranthspar.commands import remote, shared
from amaranthspar.schema import explanations

REQUEST_EXAMPLES = """\
  amaranthspar explain request --service lookup
  amaranthspar explain request --service lookup body.json --desk counter-3
"""
JOB_EXAMPLES = """\
  amaranthspar explain job --service recalculate plot.json
  amaranthspar explain job --service recalculate plot.json --account field --json
"""
EXIT_CODES = """\
exit codes of this command: 0 would be admitted, 1 would be refused, 2 bad input,
3 no gateway answered
"""
RULED_OUT = "ruled-out"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command.

    Args:
        parser: Parser of the command ``explain``.
    """
    subcommands = parser.add_subparsers(title="commands", required=True)
    summary = "Show where a request would go now and why, without sending it."
    request = remote.add_subcommand(
        subcommands,
        "request",
        functools.partial(_explain, kind="requests"),
        summary,
        REQUEST_EXAMPLES,
    )
    _add_options(request, None, "file with the body, or - for the standard input")
    summary = "Show where a job would go now and why, without submitting it."
    job = remote.add_subcommand(
        subcommands,
        "job",
        functools.partial(_explain, kind="jobs"),
        summary,
        JOB_EXAMPLES,
    )
    text = "JSON file with the tasks, or - for the standard input (the default)"
    _add_options(job, "-", text)


def _add_options(
    parser: argparse.ArgumentParser, default_file: str | None, file_help: str
) -> None:
    parser.epilog = f"{parser.epilog}\n{EXIT_CODES}"
    parser.add_argument(
        "file", nargs="?", default=default_file, metavar="FILE", help=file_help
    )
    parser.add_argument(
        "--service", required=True, metavar="SERVICE", help="service name"
    )
    parser.add_argument(
        "--desk", default="", metavar="DESK", help="desk that would submit it"
    )
    parser.add_argument("--deadline-ms", type=int, metavar="N", help="deadline in ms")
    parser.add_argument(
        "--account",
        default="",
        metavar="NAME",
        help="account that would submit it, by default that of the token",
    )
    shared.add_json(parser)


def _explain(arguments: argparse.Namespace, kind: str) -> int:
    body = b"" if arguments.file is None else shared.read_input(arguments.file)
    headers = {}
    if arguments.deadline_ms is not None:
        headers["Amaranthspar-Deadline-Ms"] = str(arguments.deadline_ms)
    if arguments.desk:
        headers["Amaranthspar-Desk"] = arguments.desk

    async def run(operator: operators.OperatorClient) -> int:
        explanation = await operator.retry(
            lambda item: item.explain(
                kind, arguments.service, body, headers, arguments.account
            )
        )
        if arguments.json:
            shared.print_json(explanation)
        else:
            print(format_explanation(explanation))
        return exits.DONE if explanation.admitted else exits.REFUSED

    return remote.run_operator(arguments, run)


def format_explanation(explanation: explanations.Explanation) -> str:
    """Format an explanation as tables.

    Args:
        explanation: Explanation of a gateway.
    """
    considered = [item for item in explanation.sidecars if item.verdict != RULED_OUT]
    parts = [_format_decision(explanation)]
    if considered:
        parts.append(_format_sidecars(considered))
    if explanation.ruled_out:
        parts.append(_format_ruled_out(explanation))
    unlisted = explanation.known - len(explanation.sidecars)
    if unlisted:
        parts.append(f"{unlisted} of {explanation.known} sidecars are not listed")
    return "\n\n".join(parts)


def _format_decision(explanation: explanations.Explanation) -> str:
    kind = f"job of {explanation.tasks} tasks" if explanation.is_job else "request"
    decision = "admitted" if explanation.admitted else "refused"
    if explanation.failure:
        decision += f" ({explanation.failure})"
    rows = [
        ("gateway", explanation.gateway),
        ("asked", f"{kind} to {explanation.service}, {_describe_origin(explanation)}"),
        ("decision", decision),
        ("reason", explanation.reason),
        ("deadline", f"in {explanation.deadline_ms} ms"),
        ("expected start", _describe_start(explanation)),
        ("expected run time", f"{explanation.expected_run_ms} ms for the longest task"),
        ("tasks sent now", str(explanation.sent)),
        ("tasks waiting", _describe_waiting(explanation)),
        (
            "already waiting",
            f"{explanation.queued} tasks in the gateway, {explanation.queued_team} "
            "of the team",
        ),
        (
            "state",
            f"configuration version {explanation.configuration_version}, "
            f"membership revision {explanation.membership_revision}",
        ),
    ]
    if explanation.retry_after_ms:
        rows.insert(4, ("retry after", f"{explanation.retry_after_ms} ms"))
    return tabulate.tabulate(rows, tablefmt="plain", disable_numparse=True)


def _describe_origin(explanation: explanations.Explanation) -> str:
    team = f"team {explanation.team}" if explanation.team else "no team"
    desk = f"desk {explanation.desk}" if explanation.desk else "no desk"
    return f"account {explanation.account}, {team}, {desk}, group {explanation.home}"


def _describe_start(explanation: explanations.Explanation) -> str:
    if explanation.sent:
        return "now"
    if explanation.expected_start_ms is None:
        return "unknown" if explanation.admitted else "none"
    return f"in about {explanation.expected_start_ms} ms"


def _describe_waiting(explanation: explanations.Explanation) -> str:
    if not explanation.waiting:
        return "0"
    return f"{explanation.waiting}, for {explanation.waits_for}"


def _format_sidecars(sidecars: Iterable[explanations.ExplainedSidecar]) -> str:
    rows = [
        (
            item.process,
            item.verdict,
            item.tasks,
            item.free,
            item.credits,
            f"{item.in_flight}/{item.slots}",
            "-" if item.run_time_ratio is None else f"{item.run_time_ratio:.2f}",
            item.failure_domain,
            item.health
            if item.limit is None
            else f"{item.health}, at most {item.limit}",
            f"{item.report_age_ms} ms",
            item.reason,
        )
        for item in sidecars
    ]
    headers = (
        "sidecar",
        "verdict",
        "tasks",
        "free",
        "credits",
        "running",
        "run time ratio",
        "failure domain",
        "health",
        "report age",
        "reason",
    )
    return tabulate.tabulate(rows, headers=headers)


def _format_ruled_out(explanation: explanations.Explanation) -> str:
    names: dict[str, list[str]] = {}
    for item in explanation.sidecars:
        if item.verdict == RULED_OUT:
            names.setdefault(item.reason, []).append(item.process)
    rows = [
        (item.reason, item.sidecars, _list_names(names.get(item.reason, [])))
        for item in explanation.ruled_out
    ]
    return tabulate.tabulate(rows, headers=("ruled out because", "sidecars", "which"))


def _list_names(names: list[str]) -> str:
    shown = ", ".join(names[:5])
    return f"{shown}, ..." if len(names) > 5 else shown
