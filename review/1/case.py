"""A core machine that was silent for a while never counts again; a disk is lost later."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import callers  # noqa: E402
import cases  # noqa: E402
import machines  # noqa: E402

GET_PATH = "/amaranthspar/config/get"
PUT_PATH = cases.CONFIGURATION_PATH
CATCH_UP_S, GRACE_S, RECOVERY_S = 4, 6, 12
CALM_S = CATCH_UP_S + 2
"""Pause after each step, in which every machine is up and counts again."""
FREEZE_S = 4.0
DOWN_S = 1.0
READ_S = 6
"""Time for which the operator reads back; longer than ContactMs."""


async def play(case: cases.Case) -> bool:
    """Play the case and return whether the rule held."""
    note = case.recorder.note
    for zone in cases.ZONES:
        case.build_minion(zone, ["a", "r1-1"])
    await case.start()
    old = case.site.machine("core", "z1")
    new = case.site.spare
    new.start()
    note("new core machine starts", machine=new.name)
    await asyncio.sleep(CALM_S)
    leader = case.site.find_leader()
    frozen, victim = (
        [item for item in case.site.machines("core")[1:] if item.name == leader]
        + [item for item in case.site.machines("core")[1:] if item.name != leader]
    )[::-1]
    note("chosen", leader=leader, frozen=frozen.name, loses_disk=victim.name)
    if case.has_trouble and os.environ.get("FREEZE", "1") != "0":
        frozen.send(signal.SIGSTOP)
        note("frozen", machine=frozen.name)
        await asyncio.sleep(FREEZE_S)
        frozen.send(signal.SIGCONT)
        note("woken", machine=frozen.name)
        await asyncio.sleep(CALM_S)
    await stop_for_good(case, old)
    await asyncio.sleep(CALM_S)
    core = [new, *case.site.machines("core")[1:]]
    second = callers.build_configuration(cases.SERVICE, 2)
    addresses = [item.find_address(machines.CONTROL_PORT) for item in core]
    first = victim.find_address(machines.CONTROL_PORT)
    addresses.sort(key=lambda item: item != first)
    await case.caller.order(addresses, PUT_PATH, second)
    if case.has_trouble:
        victim.kill()
        victim.lose_disk()
        note("disk lost", machine=victim.name)
        await asyncio.sleep(DOWN_S)
        victim.start()
        note("back with an empty disk", machine=victim.name)
    await asyncio.sleep(RECOVERY_S + machines.CONTACT_S + CATCH_UP_S)
    return await read_back(case, core)


async def stop_for_good(case: cases.Case, machine: machines.Machine) -> None:
    """Remove a machine with SIGTERM."""
    machine.send(signal.SIGTERM)
    case.recorder.note("old core machine is told to stop", machine=machine.name)
    for _ in range(GRACE_S * 100):
        if not machine.is_running:
            break
        await asyncio.sleep(0.01)
    machine.kill()
    case.recorder.note("old core machine has ended", machine=machine.name)


async def read_back(case: cases.Case, core: list[machines.Machine]) -> bool:
    """Return whether any core machine answers with the acknowledged version."""
    until_ms = case.recorder.read_ms() + READ_S * 1000
    while case.recorder.read_ms() < until_ms:
        for machine in core:
            address = machine.find_address(machines.CONTROL_PORT)
            status, body = await case.caller.send(
                "GET", address, GET_PATH, 1, host=address
            )
            if status == 200:
                print(f"CONFIG: version {body['Version']} is read back")
                return body["Version"] >= 2
        await asyncio.sleep(0.2)
    running = [machine.name for machine in core if machine.is_running]
    print(f"CONFIG: nothing is read back; running: {running}")
    return False


cases.run(str(FOLDER), play)
