"""Commands ``job submit``, ``job show`` and ``job cancel``."""

import argparse
import sys
import uuid

import msgspec

from amaranthspar import exits
from amaranthspar.clients import client, operators
from amaranthspar.commands import remote, shared

SUBMIT_EXAMPLES = """\
  echo '{"tasks": [{"payload": {"echo": 1}}]}' > plot.json
  amaranthspar job submit recalculate plot.json
  amaranthspar job submit recalculate plot.json --async    # prints the job's id
  amaranthspar job submit recalculate plot.json --key plot-17 --deadline-ms 60000
"""
SHOW_EXAMPLES = """\
  amaranthspar job show JOB
"""
CANCEL_EXAMPLES = """\
  amaranthspar job cancel JOB
"""


def fill_parser(parser: argparse.ArgumentParser) -> None:
    """Add the arguments.

    Args:
        parser: Parser of the first word.
    """
    verbs = parser.add_subparsers(title="commands", required=True)
    summary = "Submit a job and print the answers of its tasks."
    submit = remote.add_verb(verbs, "submit", _submit, summary, SUBMIT_EXAMPLES)
    submit.add_argument("service", metavar="SERVICE", help="service name")
    submit.add_argument(
        "file", metavar="FILE", help="JSON file with the tasks; - for standard input"
    )
    submit.add_argument(
        "--async", action="store_true", dest="detached", help="do not wait for answers"
    )
    submit.add_argument(
        "--key", default="", metavar="KEY", help="idempotency key, made up by default"
    )
    submit.add_argument("--deadline-ms", type=int, metavar="N", help="deadline in ms")
    submit.add_argument("--desk", default="", metavar="DESK", help="desk that asks")
    summary = "Print the state or the answers of a job."
    show = remote.add_verb(verbs, "show", _show, summary, SHOW_EXAMPLES)
    show.add_argument("job", metavar="JOB", help="job id")
    summary = "Cancel a job: what waits is dropped, what runs is stopped."
    cancel = remote.add_verb(verbs, "cancel", _cancel, summary, CANCEL_EXAMPLES)
    cancel.add_argument("job", metavar="JOB", help="job id")


def _submit(arguments: argparse.Namespace) -> int:
    body = shared.read_input(arguments.file)
    key = arguments.key or str(uuid.uuid4())
    headers = {"Idempotency-Key": key, "Content-Type": "application/json"}
    if arguments.detached:
        headers["Prefer"] = "respond-async"
    if arguments.deadline_ms is not None:
        headers["Amaranthspar-Deadline-Ms"] = str(arguments.deadline_ms)
    if arguments.desk:
        headers["Amaranthspar-Desk"] = arguments.desk

    async def run(operator: operators.OperatorClient) -> int:
        try:
            reply = await operator.submit_job(arguments.service, body, headers)
        except client.ClientError:
            shared.print_error(f"send it again with --key {key}")
            raise
        return _report(reply)

    return remote.run_operator(arguments, run)


def _show(arguments: argparse.Namespace) -> int:
    async def run(operator: operators.OperatorClient) -> int:
        return _report(await operator.find_job(arguments.job, "GET"))

    return remote.run_operator(arguments, run)


def _cancel(arguments: argparse.Namespace) -> int:
    async def run(operator: operators.OperatorClient) -> int:
        reply = await operator.find_job(arguments.job, "DELETE")
        if reply.status >= 300:
            return _report(reply)
        print(f"job {arguments.job} cancelled")
        return exits.DONE

    return remote.run_operator(arguments, run)


def _report(reply: client.Reply) -> int:
    if reply.status >= 300:
        raise client.RefusedError(reply.read_problem())
    sys.stdout.write(msgspec.json.format(reply.body).decode() + "\n")
    return exits.DONE
