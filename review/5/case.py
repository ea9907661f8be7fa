"""A machine comes back with a minion of another kind while orders are in doubt."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import callers  # noqa: E402
import cases  # noqa: E402

DOWN_S = 1.1
"""Time for which the zone is without power; with the start of the processes it is
back within 1.5 s."""
ROUNDS = 9
ROUND_S = 6


async def play(case: cases.Case) -> bool:
    """Play the case and return whether the rule held."""
    kinds = {"z1": "a", "z2": "a", "z3": "a"}
    for zone, kind in kinds.items():
        case.build_minion(zone, [kind, "r1-1"])
    await case.start()
    case.background.append(asyncio.create_task(send_jobs(case)))
    await asyncio.sleep(3)
    kind = "a"
    for life in range(2, 2 + ROUNDS):
        kind = "b" if kind == "a" else "a"
        if case.has_trouble:
            await lose_zone(case, "z1", kind, life)
        await asyncio.sleep(ROUND_S)
    wrong = [
        event
        for event in case.recorder.read()
        if event["event"] == "run begins" and "a" not in event["labels"]
    ]
    case.recorder.note("checked", starts_without_label=len(wrong))
    print(f"ROUTE: {len(wrong)} starts without the required label")
    return not wrong


async def lose_zone(case: cases.Case, zone: str, kind: str, life: int) -> None:
    """Cut the power of a zone, and bring it back with a minion of some kind."""
    lost = [case.site.machine(name, zone) for name in ("front", "side", "core")]
    case.recorder.note("zone loses power", zone=zone)
    for machine in lost:
        machine.kill()
    await case.minions[zone].crash()
    await asyncio.sleep(DOWN_S)
    for machine in lost:
        machine.start()
    case.build_minion(zone, [kind, "r1-1"], life)
    await case.minions[zone].open()
    case.recorder.note("zone is back", zone=zone)


async def send_jobs(case: cases.Case) -> None:
    """Send jobs whose tasks need a minion of kind a to the fronts of other zones."""
    pending = set()
    while True:
        for zone in ("z2", "z3"):
            path = callers.PREFIX + callers.choose_id()
            steps = [{"Count": 2, "RequiredLabel": "a"}]
            body = callers.build_job(steps, 120, 6_000)
            task = asyncio.create_task(
                case.caller.send("POST", case.find_front(zone), path, 1.5, body)
            )
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(0.025)


cases.run(str(FOLDER), play)
