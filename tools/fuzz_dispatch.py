"""Drives gateways and sidecars together at random until the time is over.

Run it as ``python -m tools.fuzz_dispatch --seconds 600 --seed 1``. Each seed
gives one run, and a failure prints the seed that repeats it.
"""

import argparse
import random
import secrets
import sys
import time

from tests import builders_dispatch

STEPS = 80


def choose_actions(chance: random.Random) -> list[int]:
    """Return the actions of one run; runs differ, so that rare mixes occur.

    Args:
        chance: Source of chance.
    """
    submitting = [0] * chance.choice((1, 3, 10))
    faulty = [number for number in range(5, 18) if chance.random() < 0.5]
    advancing = [18] * chance.choice((3, 6, 20))
    return [*submitting, *faulty, *advancing]


def act(
    world: builders_dispatch.Simulation, action: int, chance: random.Random
) -> None:
    """Carry out one action.

    Args:
        world: Simulated system.
        action: Number of the action.
        chance: Source of chance.
    """
    gateway = chance.choice(builders_dispatch.GATEWAYS)
    sidecar = chance.choice(list(builders_dispatch.SIDECARS))
    names = [*builders_dispatch.GATEWAYS, *builders_dispatch.SIDECARS]
    name = chance.choice(names)
    match action:
        case 0:
            service = chance.choice(list(builders_dispatch.SERVICES))
            desk = chance.choice(("", builders_dispatch.DESK))
            count = chance.randint(1, 15) if service == "recalculate" else 1
            world.submit(
                gateway, service, count, desk, chance.choice((500, 4000, 20_000))
            )
        case 5 if world.oracle.records:
            world.cancel(chance.choice(list(world.oracle.records)))
        case 6:
            world.crash(name)
        case 7 | 8:
            world.crash(name)
            world.start_process(name)
        case 9 | 10:
            for other in names:
                world.start_process(other)
        case 11:
            world.drain(sidecar)
        case 12:
            peer = chance.choice((*names, builders_dispatch.CONTROLLER))
            world.cut_link(name, peer, chance.random() < 0.5)
        case 13:
            world.cut.clear()
        case 14:
            domain = chance.choice(("gyor", "pecs"))
            world.set_domain(domain, chance.choice(("in", "out")))
        case 15:
            world.move_desk(chance.choice(("main", "ledger")))
        case 16:
            world.controllers.available = chance.random() < 0.7
        case 17:
            world.faults = chance.choice((0.0, 0.02, 0.2, 0.5))
        case _:
            world.advance(chance.choice((1, 10, 60, 400, 2000, 6500)))


def run(seed: int) -> builders_dispatch.Simulation:
    """Carry out one run.

    Args:
        seed: Seed of the run.

    Raises:
        builders_dispatch.Violation: A promise was broken.
    """
    chance = random.Random(seed)
    world = builders_dispatch.Simulation(seed)
    world.advance(500)
    actions = choose_actions(chance)
    world.faults = chance.choice((0.0, 0.0, 0.02, 0.2, 0.5))
    for _ in range(STEPS):
        act(world, chance.choice(actions), chance)
    world.settle()
    return world


def main() -> int:
    """Run until the time is over and print the seeds that failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=None)
    options = parser.parse_args()
    seed = secrets.randbelow(2**31) if options.seed is None else options.seed
    print(f"first seed {seed}")
    until = time.monotonic() + options.seconds
    runs = failures = starts = 0
    while time.monotonic() < until:
        runs += 1
        try:
            starts += len(run(seed).oracle.starts)
        except Exception as error:
            failures += 1
            print(f"seed {seed}: {type(error).__name__}: {error}")
        seed += 1
    print(f"{runs} runs, {starts} tasks started, {failures} failures")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
