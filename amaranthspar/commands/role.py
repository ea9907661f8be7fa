"""Commands ``gateway``, ``sidecar`` and ``controller``, which run one role."""

import argparse
import asyncio
import functools
import pathlib
from typing import Any

from amaranthspar import errors, exits, loop, reloading, stopping
from amaranthspar.roles import settings

EXAMPLES = """\
examples:
  amaranthspar settings check {role}.ini
  amaranthspar {role} --settings {role}.ini     # shuts down gracefully on SIGTERM
"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of the command.

    Args:
        parser: Parser of the command, whose name is the role.
    """
    role = parser.prog.split()[-1]
    parser.epilog = EXAMPLES.format(role=role)
    parser.add_argument("--settings", required=True, type=pathlib.Path, metavar="FILE")
    parser.set_defaults(run=_run_role, role=role)


def _run_role(arguments: argparse.Namespace) -> int:
    loaded = settings.load_settings(arguments.settings)
    if loaded.role != arguments.role:
        fault = f"[{loaded.role}]: expected the settings of a {arguments.role}"
        raise errors.SettingsError([f"{arguments.settings}: {fault}"])
    return loop.run_loop(_serve_role(loaded, arguments.settings))


async def _serve_role(loaded: settings.Settings, path: pathlib.Path) -> int:
    stop = stopping.watch_signals()
    role = _build_role(loaded)
    parse = functools.partial(settings.parse_settings, source=str(path))
    reloader = reloading.Reloader(path, parse, loaded)
    reloader.subscribe(lambda changed: role.apply_settings(_list_controllers(changed)))
    reloader.start()
    try:
        if not await stopping.run_unless_stopped(role.start(), stop):
            return exits.DONE
    except errors.SettingsError as error:
        faults = [f"{path}: {fault}" for fault in error.faults]
        raise errors.SettingsError(faults) from error
    except errors.InputOutputError as error:
        raise errors.SettingsError(
            [f"{path}: {_describe_error(loaded, error)}"]
        ) from error
    await _wait_for_stop(role, stop)
    await role.stop()
    reloader.close()
    failure = getattr(role, "failure", None)
    if failure is not None:
        raise failure
    return exits.DONE


def _list_controllers(loaded: settings.Settings) -> list[str]:
    """Return the controllers that a role asks: for a controller, those to join."""
    if loaded.controller is not None:
        return loaded.controller.join
    return loaded.process.controllers


def _describe_error(loaded: settings.Settings, error: errors.InputOutputError) -> str:
    """Return the text of an error, with the section and key that caused it."""
    match error:
        case errors.LinkError():
            return f"[process] listen = {loaded.process.listen}: {error}"
        case errors.ListenError() if loaded.gateway is not None:
            return f"[gateway] http = {loaded.gateway.http}: {error}"
        case errors.DiskError() if loaded.controller is not None:
            return f"[controller] data = {loaded.controller.data}: {error}"
        case _:
            return f"[{loaded.role}]: {error}"


async def _wait_for_stop(role: Any, stop: asyncio.Event) -> None:
    """Wait until a signal arrives or the role stops itself after a failure."""
    waits = [asyncio.ensure_future(stop.wait())]
    if isinstance(getattr(role, "stopped", None), asyncio.Event):
        waits.append(asyncio.ensure_future(role.stopped.wait()))
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


def _build_role(loaded: settings.Settings) -> Any:
    if loaded.gateway is not None:
        from amaranthspar.roles import gateway

        return gateway.Gateway(loaded.process, loaded.links, loaded.gateway)
    if loaded.sidecar is not None:
        from amaranthspar.roles import sidecar

        return sidecar.Sidecar(loaded.process, loaded.links, loaded.sidecar)
    assert loaded.controller is not None
    from amaranthspar.roles import controller

    return controller.Controller(loaded.process, loaded.links, loaded.controller)
