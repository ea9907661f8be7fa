"""Fuzzer that runs simulated gateways and sidecars with random actions.

Run it as ``python -m tools.fuzz_dispatch --seconds 600 --seed 1``. Each seed
determines one run; the seed of a failed run is printed, so that the run can be
repeated.
"""

import argparse
import random
import secrets
import sys
import time

from tests import builders_dispatch

STEPS = 80


def choose_action_numbers(rng: random.Random) -> list[int]:
    """Return the numbers of the actions that one run draws from.

    A number that occurs more often is drawn more often. Runs differ in their numbers,
    so that rare combinations of actions occur too.

    Args:
        rng: Random generator of the run.
    """
    submissions = [0] * rng.choice((1, 3, 10))
    optional = [number for number in range(5, 18) if rng.random() < 0.5]
    advances = [18] * rng.choice((3, 6, 20))
    return [*submissions, *optional, *advances]


def perform_action(
    simulation: builders_dispatch.Simulation, action: int, rng: random.Random
) -> None:
    """Perform one action with random parameters.

    Args:
        simulation: Simulated system.
        action: Number of the action, as in `choose_action_numbers`.
        rng: Random generator of the run.
    """
    gateway = rng.choice(builders_dispatch.GATEWAYS)
    sidecar = rng.choice(list(builders_dispatch.SIDECARS))
    names = [*builders_dispatch.GATEWAYS, *builders_dispatch.SIDECARS]
    name = rng.choice(names)
    match action:
        case 0:
            service = rng.choice(list(builders_dispatch.SERVICES))
            desk = rng.choice(("", builders_dispatch.DESK))
            count = rng.randint(1, 15) if service == "recalculate" else 1
            simulation.submit(
                gateway, service, count, desk, rng.choice((500, 4000, 20_000))
            )
        case 5 if simulation.oracle.records:
            simulation.cancel(rng.choice(list(simulation.oracle.records)))
        case 6:
            simulation.crash(name)
        case 7 | 8:
            simulation.crash(name)
            simulation.start_process(name)
        case 9 | 10:
            for other in names:
                simulation.start_process(other)
        case 11:
            simulation.drain(sidecar)
        case 12:
            peer = rng.choice((*names, builders_dispatch.CONTROLLER))
            simulation.cut_link(name, peer, rng.random() < 0.5)
        case 13:
            simulation.cut.clear()
        case 14:
            domain = rng.choice(("gyor", "pecs"))
            simulation.set_domain(domain, rng.choice(("in", "out")))
        case 15:
            simulation.move_desk(rng.choice(("main", "ledger")))
        case 16:
            simulation.controllers.available = rng.random() < 0.7
        case 17:
            simulation.faults = rng.choice((0.0, 0.02, 0.2, 0.5))
        case _:
            simulation.advance(rng.choice((1, 10, 60, 400, 2000, 6500)))


def run(seed: int) -> builders_dispatch.Simulation:
    """Perform one run and let the system settle.

    Args:
        seed: Seed of the run.

    Returns:
        The simulation after the run.

    Raises:
        builders_dispatch.Violation: A guarantee of the system was violated.
    """
    rng = random.Random(seed)
    simulation = builders_dispatch.Simulation(seed)
    simulation.advance(500)
    actions = choose_action_numbers(rng)
    simulation.faults = rng.choice((0.0, 0.0, 0.02, 0.2, 0.5))
    for _ in range(STEPS):
        perform_action(simulation, rng.choice(actions), rng)
    simulation.settle()
    return simulation


def main() -> int:
    """Run consecutive seeds until the time is over and print those that failed.

    Returns:
        0 if every run passed, 1 otherwise.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=None)
    options = parser.parse_args()
    seed = secrets.randbelow(2**31) if options.seed is None else options.seed
    print(f"first seed {seed}")
    end_s = time.monotonic() + options.seconds
    runs = failures = starts = 0
    while time.monotonic() < end_s:
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
