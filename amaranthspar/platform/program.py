"""Entry point of a role on the platform."""

import asyncio
import gc
import importlib
import pathlib
import sys

import structlog

from amaranthspar import exits, loop as loops, reloading
from amaranthspar.observation import logs
from amaranthspar.platform import settings

_log = structlog.get_logger()


def run_role(role: str) -> int:
    """Run a role until the platform stops it.

    Args:
        role: ``gateway``, ``sidecar`` or ``controller``.

    Raises:
        errors.SettingsError: The settings are missing or invalid.
    """
    path = settings.find_path()
    loops.run_loop(_serve(path, settings.load_settings(path), role))
    return exits.DONE


async def _serve(
    path: pathlib.Path, process_settings: settings.Settings, role: str
) -> None:
    buffer = logs.set_up_buffered_logs(process_settings.host, sys.stdout.fileno())
    loop = asyncio.get_running_loop()
    flushing = loop.create_task(logs.flush_forever(buffer))
    reloader = reloading.Reloader(path, settings.parse_settings, process_settings)
    reloader.start()
    # Only the modules of this role are imported, so that a process restarts faster.
    module = importlib.import_module(f"amaranthspar.platform.{role}")
    # Modules live as long as the process, so the garbage collector can skip them.
    gc.freeze()
    _log.info(
        "process started",
        role=role,
        host=process_settings.host,
        failure_domain=process_settings.failure_domain,
        controllers=process_settings.seeds,
        is_first_start=process_settings.is_first_start,
    )
    try:
        await module.serve(process_settings, reloader)
        _log.info("process stopped", role=role, host=process_settings.host)
    finally:
        reloader.close()
        flushing.cancel()
        buffer.flush()
