"""Commands ``config submit``, ``config show`` and ``config history``."""

import argparse
import datetime
import uuid

import tabulate

from amaranthspar import configuration, errors, exits
from amaranthspar.clients import client, operators
from amaranthspar.commands import remote, shared

SUBMIT_EXAMPLES = """\
  amaranthspar config show > office.ini      # its first line names the version
  amaranthspar config submit office.ini --base-version 7
  python build_office.py | amaranthspar config submit - --base-version 7
  amaranthspar config submit office.ini --base-version 7 --change-id move-12
      # send the last one again after exit code 3: it is accepted only once
"""
SHOW_EXAMPLES = """\
  amaranthspar config show
  amaranthspar config show --version 6
"""
HISTORY_EXAMPLES = """\
  amaranthspar config history
  amaranthspar config history --json
"""


def fill_parser(parser: argparse.ArgumentParser) -> None:
    """Add the arguments.

    Args:
        parser: Parser of the first word.
    """
    verbs = parser.add_subparsers(title="commands", required=True)
    summary = "Submit a whole configuration that is based on a version."
    submit = remote.add_verb(
        verbs, "submit", _submit_configuration, summary, SUBMIT_EXAMPLES
    )
    submit.add_argument("file", metavar="FILE", help="INI file; - for standard input")
    submit.add_argument(
        "--base-version",
        type=int,
        required=True,
        metavar="N",
        help="version that the file is based on; refused if another is in force",
    )
    submit.add_argument(
        "--change-id",
        default="",
        metavar="ID",
        help="unique name of the change, made up by default",
    )
    shared.add_json(submit)
    summary = "Print a configuration as INI text."
    show = remote.add_verb(verbs, "show", _show_configuration, summary, SHOW_EXAMPLES)
    show.add_argument(
        "--version",
        type=int,
        default=0,
        metavar="N",
        dest="configuration_version",
        help="version, the newest by default",
    )
    shared.add_json(show)
    summary = "List the latest accepted changes."
    history = remote.add_verb(
        verbs, "history", _show_history, summary, HISTORY_EXAMPLES
    )
    shared.add_json(history)


def _submit_configuration(arguments: argparse.Namespace) -> int:
    source = "standard input" if arguments.file == "-" else arguments.file
    text = _read_text(arguments.file, source)
    change_id = arguments.change_id or str(uuid.uuid4())

    async def run(operator: operators.OperatorClient) -> int:
        try:
            decided = await operator.submit_configuration(
                text, arguments.base_version, change_id
            )
        except client.RefusedError as error:
            if error.problem.outcome == "unknown":
                _advise_resend(change_id)
            raise
        except client.ClientError:
            _advise_resend(change_id)
            raise
        return remote.report_decision(decided, source, arguments.json)

    return remote.run_operator(arguments, run)


def _read_text(path: str, source: str) -> str:
    try:
        text = shared.read_input(path).decode()
        configuration.parse_text(text)
    except UnicodeDecodeError as error:
        raise errors.SettingsError([f"{source}: not UTF-8: {error}"]) from error
    except configuration.ConfigurationError as error:
        faults = [f"{source}: {fault}" for fault in error.faults]
        raise errors.SettingsError(faults) from error
    return text


def _advise_resend(change_id: str) -> None:
    shared.print_error(f"send it again with --change-id {change_id}")


def _show_configuration(arguments: argparse.Namespace) -> int:
    version = arguments.configuration_version

    async def run(operator: operators.OperatorClient) -> int:
        fetched = await operator.fetch_configuration(version)
        if version and fetched.version != version:
            shared.print_error(f"version {version} is not kept")
            return exits.REFUSED
        if arguments.json:
            shared.print_json({"version": fetched.version, "text": fetched.text})
        else:
            print(f"; version {fetched.version}")
            print(fetched.text, end="")
        return exits.DONE

    return remote.run_operator(arguments, run)


def _show_history(arguments: argparse.Namespace) -> int:
    async def run(operator: operators.OperatorClient) -> int:
        fetched = await operator.fetch_configuration()
        if arguments.json:
            shared.print_json(fetched.history)
            return exits.DONE
        rows = [
            (
                item.version,
                _format_time(item.accepted_ms),
                item.operator,
                item.change_id,
            )
            for item in fetched.history
        ]
        headers = ("version", "accepted", "operator", "change")
        print(tabulate.tabulate(rows, headers=headers))
        return exits.DONE

    return remote.run_operator(arguments, run)


def _format_time(wall_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")
