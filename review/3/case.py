"""An order that a frozen controller received takes effect after newer orders."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import callers  # noqa: E402
import cases  # noqa: E402
import machines  # noqa: E402

ZONE = "z1"
START = f"/amaranthspar/evacuations/{ZONE}/start"
FINISH = f"/amaranthspar/evacuations/{ZONE}/finish"
FREEZE_S = 4.0
EVACUATE_MS, CONTACT_MS, STRETCH_MS = 5_000, 3_000, 5_000
WATCH_S = 22


async def play(case: cases.Case) -> bool:
    """Play the case and return whether the rule held."""
    for zone in cases.ZONES:
        case.build_minion(zone, ["a", "r1-1"])
    await case.start()
    note = case.recorder.note
    case.background.append(asyncio.create_task(send_jobs(case)))
    leader = case.site.find_leader()
    followers = [item for item in case.site.machines("core") if item.name != leader]
    frozen = followers[0]
    note("chosen", leader=leader, frozen=frozen.name)
    others = [
        item.find_address(machines.CONTROL_PORT)
        for item in case.site.machines("core")
        if item is not frozen
    ]
    first = frozen.find_address(machines.CONTROL_PORT)
    await case.caller.order(others, START, None)
    await asyncio.sleep(7)
    frozen_ms = case.recorder.read_ms()
    if case.has_trouble:
        frozen.send(signal.SIGSTOP)
        note("frozen", machine=frozen.name)
    await asyncio.sleep(0.2)
    await case.caller.order([first, *others], FINISH, None)
    await asyncio.sleep(0.5)
    acknowledged_ms = await case.caller.order(others, START, None)
    note("second evacuation acknowledged")
    left_ms = frozen_ms + FREEZE_S * 1000 - case.recorder.read_ms()
    await asyncio.sleep(max(left_ms, 0) / 1000)
    if case.has_trouble:
        frozen.send(signal.SIGCONT)
        note("woken", machine=frozen.name)
    thawed_ms = case.recorder.read_ms()
    bound_ms = max(
        acknowledged_ms + EVACUATE_MS + STRETCH_MS, thawed_ms + CONTACT_MS + EVACUATE_MS
    )
    await asyncio.sleep(WATCH_S)
    return not find_late_starts(case, bound_ms)


async def send_jobs(case: cases.Case) -> None:
    """Send small jobs to all fronts, ten a second."""
    pending = set()
    while True:
        for zone in case.site.zones:
            path = callers.PREFIX + callers.choose_id()
            body = callers.build_job([{"Count": 2}], 200, 6_000)
            task = asyncio.create_task(
                case.caller.send("POST", case.find_front(zone), path, 1.5, body)
            )
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(0.1)


def find_late_starts(case: cases.Case, bound_ms: int) -> list[dict]:
    """Return the starts in the evacuated zone after the bound."""
    late = [
        event
        for event in case.recorder.read()
        if event["event"] == "run begins"
        and event["zone"] == ZONE
        and event["ms"] > bound_ms
    ]
    case.recorder.note("checked", bound_ms=bound_ms, late_starts=len(late))
    print(f"EVAC: {len(late)} starts in {ZONE} after {bound_ms} ms")
    return late


cases.run(str(FOLDER), play)
