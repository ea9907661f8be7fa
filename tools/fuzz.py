"""Fuzzer that runs the replica simulation with random actions for a given time.

Run it as ``python -m tools.fuzz --seconds 600 --seed 1``. Each seed determines one
run; the seed of a failed run is printed, so that the run can be repeated.
"""

import argparse
import random
import secrets
import sys
import time

from amaranthspar.consensus import replacement, replicas, transitions
from tools import simulation

MIN_VOTERS = 3
"""A set is not reduced below this number."""
STEPS = 1_500
HEAL_MS = 2_000


class Driver:
    """One fuzz run: random actions and faults, then a check of the recovery.

    Args:
        seed: Seed of the run.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        names = self.random.choice((("a", "b", "c"), tuple("abcde")))
        self.simulation = simulation.Simulation(seed, names)
        self.wiped: set[str] = set()
        self.removed: set[str] = set()
        self.host_count = len(names)
        self.fault_rate = self.random.choice((0.05, 0.2, 0.5, 0.8))
        self.slow_disk = self.random.choice(names)

    def run(self) -> None:
        """Perform random actions, then heal and check that the cluster makes progress.

        Raises:
            simulation.Violation: An invariant does not hold.
        """
        if self.random.random() < 0.9:
            self.simulation.heal(600)
        for step in range(STEPS):
            self._act()
            if step % 50 == 0:
                self.simulation.check_logs()
        self._check_recovery()

    def _act(self) -> None:
        name = self.random.choice(list(self.simulation.nodes))
        if self.random.random() < self.fault_rate / 10:
            self._inject_fault(name)
            return
        match self.random.randrange(10):
            case 0 | 1:
                self.simulation.advance(self.random.choice((1, 5, 5, 20, 60)))
            case 2 | 3:
                if name != self.slow_disk or self.random.random() < 0.1:
                    self.simulation.sync(name, self.random.randint(1, 3))
            case 4:
                for leader in self.simulation.list_leaders():
                    self.simulation.propose(leader)
            case 5:
                self.simulation.check_view_age(name)
            case 6 if self.random.random() < 0.3:
                self.simulation.settle()
            case 6 if self.random.random() < 0.1:
                self.simulation.transfer_leadership(name)
            case _:
                self._deliver_or_drop_packet()

    def _deliver_or_drop_packet(self) -> None:
        count = len(self.simulation.packets)
        if not count:
            return
        oldest = self.random.random() > self.fault_rate
        position = 0 if oldest else self.random.randrange(count)
        if self.random.random() < self.fault_rate / 4:
            self.simulation.packets.pop(position)
            return
        duplicate = self.random.random() < self.fault_rate / 4
        self.simulation.deliver(position, duplicate)

    def _inject_fault(self, name: str) -> None:
        """Start the replica if it is stopped, else change the faults at random."""
        node = self.simulation.nodes[name]
        if node.machine is None:
            self.simulation.start(name)
            return
        match self.random.randrange(8):
            case 0 | 1:
                self.simulation.crash(name, self.random.randint(0, 2))
            case 2:
                other = self.random.choice(list(self.simulation.nodes))
                self.simulation.blocked_links.add(frozenset((name, other)))
            case 3:
                for other in self.simulation.nodes:
                    self.simulation.blocked_links.add(frozenset((name, other)))
            case 4:
                self.simulation.blocked_links.clear()
            case 5:
                self._wipe(name)
            case 6:
                self.simulation.advance_clock(
                    name, self.random.choice((50, 500, 5_000))
                )
            case _:
                self._change_set()

    def _wipe(self, name: str) -> None:
        """Wipe a replica if then only a minority of the voters has been wiped.

        Nothing is wiped while a replica wiped earlier is no longer a voter.
        """
        members = self._find_members()
        lost = self.wiped & members
        if len(lost | {name}) <= (len(members) - 1) // 2 and not self.wiped - lost:
            self.wiped.add(name)
            self.simulation.wipe(name)

    def _find_members(self) -> set[str]:
        """Return the voters as of the newest committed change."""
        found = self.simulation.find_committed_members()
        return {item.id for item in found.replicas if item.voter}

    def _change_set(self) -> None:
        """Replace, add, remove or demote a replica, as where hosts are replaced."""
        match self.random.randrange(5):
            case 0:
                self._add("")
            case 1:
                for leader in self.simulation.list_leaders():
                    voters = sorted(self._find_members())
                    if len(voters) > MIN_VOTERS:
                        removed = self.random.choice(voters)
                        self.simulation.replace(leader, removed, "")
            case 2:
                self._demote()
            case _:
                self._replace()

    def _add(self, removed: str) -> None:
        for leader in self.simulation.list_leaders():
            self.host_count += 1
            added = f"n{self.host_count}"
            self.simulation.add_host(added)
            self.simulation.replace(leader, removed, added)
            return

    def _demote(self) -> None:
        """Demote a voter, which is promoted again once it has caught up."""
        for leader in self.simulation.list_leaders():
            node = self.simulation.nodes[leader]
            if node.machine is None:
                continue
            known = node.machine.journal
            voters = replicas.list_voters(known.members)
            if len(voters) <= MIN_VOTERS:
                continue
            change = replacement.plan_demotion(
                known.members, self.random.choice(voters)
            )
            event = transitions.ChangeSet(change, known.members_index)
            self.simulation.step(node, event)

    def _replace(self) -> None:
        members = sorted(self._find_members())
        lost = sorted(self.wiped & set(members)) or members
        self._add(self.random.choice(lost))

    def _check_recovery(self) -> None:
        self.simulation.heal(HEAL_MS)
        self.simulation.check_logs()
        leaders = self.simulation.list_leaders()
        if not leaders:
            if not self.wiped:
                raise simulation.Violation("no leader after all faults healed")
            return
        before = len(self.simulation.committed)
        self.simulation.propose(leaders[-1])
        self.simulation.heal(HEAL_MS // 4)
        if len(self.simulation.committed) <= before:
            raise simulation.Violation("no entry committed after all faults healed")
        for name in self.simulation.nodes:
            self.simulation.check_view_age(name)


def run_seed(seed: int) -> simulation.Simulation:
    """Perform the run of one seed.

    Args:
        seed: Seed of the run.

    Returns:
        The simulation after the run.

    Raises:
        simulation.Violation: An invariant does not hold.
    """
    driver = Driver(seed)
    driver.run()
    return driver.simulation


def main() -> int:
    """Run consecutive seeds until the time is over, a run fails or enough have run.

    Returns:
        0 if every run passed, 1 otherwise.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=None, help="first seed")
    parser.add_argument(
        "--runs", type=int, default=0, help="maximum number of runs; 0 for no limit"
    )
    arguments = parser.parse_args()
    seed = arguments.seed if arguments.seed is not None else secrets.randbits(32)
    print(f"first seed {seed}", flush=True)
    end_s = time.monotonic() + arguments.seconds
    runs = entries = views = leaders = installed = 0
    while time.monotonic() < end_s and (not arguments.runs or runs < arguments.runs):
        try:
            done = run_seed(seed + runs)
        except AssertionError as error:
            print(f"seed {seed + runs}: {error}")
            return 1
        runs += 1
        entries += len(done.committed)
        views += done.checked_views
        leaders += len(done.leaders)
        installed += done.installed_snapshots
    print(
        f"{runs} runs, {entries} entries, {views} views, {leaders} elections, "
        f"{installed} snapshots installed: ok"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
