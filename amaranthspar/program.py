"""Command line of amaranthspar."""

import argparse
import asyncio
import os
import pathlib
import signal
import sys
from collections.abc import Coroutine
from typing import Any

import amaranthspar
from amaranthspar import errors, logs, settings

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_UNKNOWN = 3


def main(arguments: list[str] | None = None) -> int:
    """Run the command line.

    Args:
        arguments: Words after the program's name; those of the process if none.

    Returns:
        Exit code: 0 done, 1 refused, 2 bad input, 3 outcome unknown.
    """
    options = _build_parser().parse_args(arguments)
    logs.set_up_logs()
    try:
        code: int = options.run(options)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_INPUT
    except errors.AmaranthsparError as error:
        print(f"amaranthspar: {error}", file=sys.stderr)
        return EXIT_REFUSED
    return code


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="amaranthspar", description=amaranthspar.__doc__
    )
    version = f"amaranthspar {amaranthspar.__version__}"
    parser.add_argument("--version", action="version", version=version)
    commands = parser.add_subparsers(title="commands", required=True)
    for role in settings.ROLES:
        command = commands.add_parser(role, help=f"run a {role}")
        command.add_argument("--settings", required=True, type=pathlib.Path)
        command.set_defaults(run=_run_role, role=role)
    demo = commands.add_parser("demo", help="run all roles in one process")
    demo.add_argument("--serve", action="store_true", help="go on until SIGTERM")
    demo.add_argument("--port", type=int, default=8080, help="first HTTP port")
    demo.add_argument("--token", default="demo", help="token of the account")
    demo.set_defaults(run=_run_demo)
    return parser


def run_loop(main_coroutine: Coroutine[Any, Any, int]) -> int:
    """Run a coroutine on a uvloop without io_uring.

    Args:
        main_coroutine: What to run.

    Returns:
        Its exit code.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main_coroutine)


def _run_demo(arguments: argparse.Namespace) -> int:
    from amaranthspar import demo

    if not arguments.serve:
        return run_loop(demo.run_demo())

    async def serve() -> int:
        return await demo.serve(arguments.port, arguments.token, _watch_signals())

    return run_loop(serve())


def _run_role(arguments: argparse.Namespace) -> int:
    loaded = settings.load_settings(arguments.settings)
    if loaded.role != arguments.role:
        fault = f"{arguments.settings}: settings of a {loaded.role}"
        raise errors.SettingsError([fault])
    return run_loop(_serve_role(loaded))


async def _serve_role(loaded: settings.Settings) -> int:
    stopping = _watch_signals()
    role = _build_role(loaded)
    await role.start()
    await stopping.wait()
    await role.stop()
    return EXIT_DONE


def _build_role(loaded: settings.Settings) -> Any:
    if loaded.gateway is not None:
        from amaranthspar import gateway

        return gateway.Gateway(loaded.process, loaded.links, loaded.gateway)
    if loaded.sidecar is not None:
        from amaranthspar import sidecar

        return sidecar.Sidecar(loaded.process, loaded.links, loaded.sidecar)
    assert loaded.controller is not None
    from amaranthspar import controller

    return controller.Controller(loaded.process, loaded.links, loaded.controller)


def _watch_signals() -> asyncio.Event:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    return stopping
