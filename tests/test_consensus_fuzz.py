"""Stateful fuzz tests of replicas, checked by the invariants of the simulation.

`make fuzz` sets FUZZ_EXAMPLES and a seed; CI runs a fixed set of examples.
"""

import os

import hypothesis
import pytest
from hypothesis import stateful, strategies

from tools import fuzz, simulation

EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "25"))
NAMES = ("a", "b", "c")


class ReplicaMachine(stateful.RuleBasedStateMachine):
    """Three replicas under faults; the simulation checks invariants at each step."""

    def __init__(self):
        super().__init__()
        self.simulation = simulation.Simulation(0, NAMES)
        self.simulation.heal(500)
        self.wiped = False

    @stateful.rule(duration_ms=strategies.sampled_from((1, 5, 20, 60, 250)))
    def advance(self, duration_ms):
        self.simulation.advance(duration_ms)

    @stateful.rule(position=strategies.integers(0, 30), duplicate=strategies.booleans())
    def deliver(self, position, duplicate):
        self.simulation.deliver(position, duplicate)

    @stateful.rule(position=strategies.integers(0, 30))
    def lose(self, position):
        if position < len(self.simulation.packets):
            self.simulation.packets.pop(position)

    @stateful.rule(name=strategies.sampled_from(NAMES), count=strategies.integers(1, 4))
    def sync(self, name, count):
        self.simulation.sync(name, count)

    @stateful.rule()
    def settle(self):
        self.simulation.settle()

    @stateful.rule()
    def propose(self):
        for leader in self.simulation.list_leaders():
            self.simulation.propose(leader)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def renew(self, name):
        self.simulation.check_view_age(name)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def hand_over(self, name):
        self.simulation.transfer_leadership(name)

    @stateful.rule(
        name=strategies.sampled_from(NAMES), synced=strategies.integers(0, 2)
    )
    def crash_or_restart(self, name, synced):
        if self.simulation.nodes[name].machine is None:
            self.simulation.start(name)
        else:
            self.simulation.crash(name, synced)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def wipe(self, name):
        if not self.wiped:
            self.wiped = True
            self.simulation.wipe(name)

    @stateful.rule(
        one=strategies.sampled_from(NAMES), other=strategies.sampled_from(NAMES)
    )
    def cut(self, one, other):
        self.simulation.blocked_links.add(frozenset((one, other)))

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def jump(self, name):
        self.simulation.advance_clock(name, 300)

    @stateful.rule()
    def join(self):
        self.simulation.blocked_links.clear()

    @stateful.invariant()
    def logs_match(self):
        self.simulation.check_logs()


TestReplicaMachine = ReplicaMachine.TestCase
TestReplicaMachine.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=60,
    derandomize="FUZZ_EXAMPLES" not in os.environ,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@pytest.mark.parametrize("seed", range(1, 81))
def test_random_run_violates_no_invariant(seed):
    fuzz.run_seed(seed)
