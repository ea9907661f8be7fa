"""A side process is killed and restarted while tasks that it started are at work."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import callers  # noqa: E402
import cases  # noqa: E402

RESTART_S = 0.1
"""Delay after which the platform starts a killed process again."""
ROUNDS = 10
ROUND_S = 7
WORK_MS = 2_000
CPU = 300


async def play(case: cases.Case) -> bool:
    """Play the case and return whether the rule held."""
    for zone in cases.ZONES:
        case.build_minion(zone, ["a", "r1-1"])
    await case.start()
    case.background.append(asyncio.create_task(send_jobs(case)))
    await asyncio.sleep(3)
    for _ in range(ROUNDS):
        if case.has_trouble:
            side = case.site.machine("side", "z1")
            side.kill()
            case.recorder.note("side process killed", machine=side.name)
            await asyncio.sleep(RESTART_S)
            side.start()
            case.recorder.note("side process started", machine=side.name)
        await asyncio.sleep(ROUND_S)
    doubled = find_overlaps(case)
    case.recorder.note("checked", overlaps=doubled)
    print(f"TWICE: {len(doubled)} tasks ran twice at the same time")
    return not doubled


async def send_jobs(case: cases.Case) -> None:
    """Send jobs to all fronts, twenty a second."""
    pending = set()
    while True:
        for zone in case.site.zones:
            path = callers.PREFIX + callers.choose_id()
            body = callers.build_job([{"Count": 8}], WORK_MS, CPU)
            task = asyncio.create_task(
                case.caller.send("POST", case.find_front(zone), path, 10, body)
            )
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(0.05)


def find_overlaps(case: cases.Case) -> list[dict]:
    """Return the tasks that had two runs at the same time, with both runs."""
    active: dict[str, dict] = {}
    found = []
    for event in case.recorder.read():
        if event["event"] == "run begins":
            earlier = active.get(event["task"])
            if earlier is not None:
                found.append({"first": earlier, "second": event})
            active[event["task"]] = event
        elif event["event"] == "run ends":
            current = active.get(event["task"])
            key = ("minion", "run")
            if current and all(current[name] == event[name] for name in key):
                del active[event["task"]]
            for item in found:
                if all(item["first"][name] == event[name] for name in ("task", *key)):
                    item["first_ends_ms"] = event["ms"]
                    item["first_ends"] = event["how"]
    return found


cases.run(str(FOLDER), play)
