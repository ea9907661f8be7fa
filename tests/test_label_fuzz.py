"""Fuzz tests: no task starts on an upstream without the label that it requires.

Upstreams return as another kind, under another name, while orders, answers and
reports are on their way or were lost.
"""

import os

import attrs
import hypothesis
from hypothesis import strategies

from amaranthspar.scheduling import incarnations, jobevents, runevents
from tests import builders_scheduling as builders, test_scheduling_fuzz as simulations

EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "60"))
KINDS = ("a", "b")
LABEL = "a"
OUTAGE_MS = (0, 100, 600, 1_100, 2_500)


class LabelSimulation(simulations.RestartSimulation):
    """A simulation in which an upstream changes its kind with each restart."""

    def __init__(self, seed: int) -> None:
        self.kinds = dict.fromkeys("xyz", "a")
        super().__init__(seed)
        for host in self.hosts.values():
            self.watch(host)

    def watch(self, host) -> None:
        """Check the label of an upstream at each start that it carries out."""
        start = host.upstream.start

        def checked_start(fence, name, *arguments):
            found = start(fence, name, *arguments)
            if found is runevents.Answer.ACCEPTED:
                assert self.kinds[host.name] == LABEL, name
            return found

        host.upstream.start = checked_start

    def submit(self, count) -> None:
        name = f"j{len(self.ended) + len(self.gateway.jobs)}n{self.now_ms}-{count}"
        step = builders.build_step(count, self.chance.choice((1, 2)), 100, label=LABEL)
        request = builders.build_request(name, steps=[step])
        self.run_gateway(jobevents.Submit(request))

    def send_claim(self, host, upstream_id, incarnation) -> None:
        claims = self.claims[host.name]
        labels = (self.kinds[host.name], "r1")
        status = runevents.UpstreamKnown(
            incarnation, host.upstream.capacity, labels, False
        )
        heartbeat = incarnations.Registration(upstream_id, claims.sequence, status)

        def receive():
            known = self.claims[host.name].known
            claim = known.claim(heartbeat, self.now_ms)
            if claim is incarnations.Claim.UPDATED:
                self.run_sidecar(host, known.current.status)

        delay_ms = self.chance.randint(1, simulations.MAX_HEARTBEAT_DELAY_MS)
        self.post(receive, delay_ms)

    def crash_upstream(self, host) -> None:
        host.upstream.crash()
        host.upstream.id = f"{host.name}{host.upstream.incarnation_number}"
        self.kinds[host.name] = self.chance.choice(KINDS)
        claims = self.claims[host.name]
        claims.heartbeat_ms = self.now_ms + self.chance.choice((0, 100, 600))
        claims.sequence = 0

    def lose_power(self, host) -> None:
        """Restart a sidecar and its upstream after an outage of their host."""
        outage_ms = self.chance.choice(OUTAGE_MS)
        self.unreachable.add(host.name)
        self.crash_upstream(host)
        self.restart_sidecar(host)
        self.claims[host.name].heartbeat_ms += outage_ms
        self.post(lambda: self.unreachable.discard(host.name), outage_ms)


ACTIONS = strategies.one_of(
    simulations.RESTART_ACTIONS,
    strategies.tuples(strategies.just("power"), strategies.sampled_from("xyz")),
    strategies.tuples(strategies.just("power"), strategies.sampled_from("xyz")),
    strategies.tuples(strategies.just("submit"), strategies.integers(1, 6)),
)


@attrs.define
class Played:
    """A simulation and the actions that it has played."""

    simulation: LabelSimulation

    def apply(self, action, value) -> None:
        """Carry out one action."""
        simulation = self.simulation
        match action:
            case "odd":
                simulation.send_odd_claim(simulation.hosts[value])
            case "kill":
                simulation.kill_gateway()
            case "power":
                simulation.lose_power(simulation.hosts[value])
            case _:
                simulations.apply(simulation, action, value)


@hypothesis.settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=not os.environ.get("FUZZ_EXAMPLES"),
)
@hypothesis.given(
    strategies.integers(0, 2**32), strategies.lists(ACTIONS, min_size=5, max_size=25)
)
def test_no_task_starts_without_its_label_while_upstreams_change_kind(seed, actions):
    simulation = LabelSimulation(seed)
    simulation.advance(300)
    played = Played(simulation)
    for action, value in actions:
        played.apply(action, value)
    simulation.advance(4_000)
