"""Frame of a case: starts a deployment, runs the case and ends all processes."""

import asyncio
import contextlib
import os
import pathlib
import shutil
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable

import callers
import machines
import minions
import recording

HELD, BROKEN, UNABLE = 0, 1, 2
TIMEOUT_S = 110
ZONES = ["z1", "z2", "z3"]
SERVICE = "desk"
CONFIGURATION_PATH = "/amaranthspar/config/put"


class Case:
    """A running deployment with its clients, operator and minions."""

    def __init__(self, folder: pathlib.Path, recorder: recording.Recorder) -> None:
        self.site = machines.Site(folder, SERVICE, ZONES)
        self.recorder = recorder
        self.caller = callers.Caller(recorder)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.minions: dict[str, minions.Minion] = {}
        self.background: list[asyncio.Task] = []

    def build_minion(self, zone: str, labels: list[str], life: int = 1) -> None:
        """Prepare a life of the minion on the side machine of a zone."""
        side = self.site.machine("side", zone)
        self.minions[zone] = minions.Minion(
            f"i-{zone}-{life}",
            SERVICE,
            zone,
            side.find_address(machines.APP_PORT),
            side.find_address(machines.CONTROL_PORT),
            labels,
            self.recorder,
        )

    def find_front(self, zone: str) -> str:
        """Return the address for clients in a zone."""
        return self.site.machine("front", zone).find_address(machines.FRONT_PORT)

    def list_control(self) -> list[str]:
        """Return the addresses for the operator."""
        return [
            item.find_address(machines.CONTROL_PORT)
            for item in self.site.machines("core")
        ]

    async def start(self) -> None:
        """Start everything, configure it and wait until all fronts are ready."""
        self.site.start()
        for minion in self.minions.values():
            await minion.open()
        body = callers.build_configuration(SERVICE)
        await self.caller.order(self.list_control(), CONFIGURATION_PATH, body)
        for machine in self.site.machines("front"):
            await self._wait_until_ready(machine)
        # Every machine is in touch after ContactMs without any disruption.
        await asyncio.sleep(4)

    async def _wait_until_ready(self, machine: machines.Machine) -> None:
        address = machine.find_address(machines.READY_PORT)
        for _ in range(200):
            status, _ = await self.caller.send(
                "GET", address, "/amaranthspar/ready", 1, quiet=True
            )
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{machine.name} is not ready")

    async def stop(self) -> None:
        """End everything."""
        for task in self.background:
            task.cancel()
        for minion in self.minions.values():
            with contextlib.suppress(Exception):
                await minion.crash()
        await self.site.stop()


def run(folder: str, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Run a case and exit with 0 if the rule held, 1 if not and 2 if it could not run.

    Args:
        folder: Folder of the case, in which the record is written.
        play: Plays the case and returns whether the rule held.
    """
    work = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    recorder = recording.Recorder(pathlib.Path(folder) / "record.txt")
    outcome = UNABLE
    try:
        outcome = asyncio.run(_run(work, recorder, play))
    except Exception as error:
        recorder.note("case failed to run", error=repr(error))
        print(f"case failed to run: {error!r}", file=sys.stderr)
    finally:
        recorder.note("exit", code=outcome)
        recorder.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(work, ignore_errors=True)
        else:
            print(f"logs in {work}")
    sys.exit(outcome)


async def _run(
    work: pathlib.Path,
    recorder: recording.Recorder,
    play: Callable[[Case], Awaitable[bool]],
) -> int:
    case = Case(work, recorder)
    loop = asyncio.get_running_loop()
    current = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, current.cancel)
    try:
        async with asyncio.timeout(TIMEOUT_S - 10):
            return HELD if await play(case) else BROKEN
    finally:
        await case.stop()
