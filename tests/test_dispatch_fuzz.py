"""Stateful fuzzing of gateways and sidecars together against an oracle."""

import hypothesis
from hypothesis import stateful, strategies

from tests import builders_dispatch

gateways = strategies.sampled_from(builders_dispatch.GATEWAYS)
sidecars = strategies.sampled_from(sorted(builders_dispatch.SIDECARS))
processes = gateways | sidecars
peers = processes | strategies.just(builders_dispatch.CONTROLLER)


class Dispatch(stateful.RuleBasedStateMachine):
    """Two gateways and three sidecars under faults."""

    @stateful.initialize(seed=strategies.integers(0, 2**32 - 1))
    def begin(self, seed):
        self.simulation = builders_dispatch.Simulation(seed)
        self.simulation.advance(500)
        self.names = []

    @stateful.rule(duration_ms=strategies.sampled_from((1, 10, 60, 400, 2000, 6500)))
    def advance(self, duration_ms):
        self.simulation.advance(duration_ms)

    @stateful.rule(gateway=gateways, desk=strategies.sampled_from(("", "desk-1")))
    def submit_holds(self, gateway, desk):
        for _ in range(4):
            self.names.append(self.simulation.submit(gateway, "hold", desk=desk))

    @stateful.rule(
        gateway=gateways, service=strategies.sampled_from(("lookup", "hold"))
    )
    def submit_request(self, gateway, service):
        self.names.append(self.simulation.submit(gateway, service))

    @stateful.rule(gateway=gateways, count=strategies.integers(1, 15))
    def submit_job(self, gateway, count):
        self.names.append(self.simulation.submit(gateway, "recalculate", count))

    @stateful.precondition(lambda self: self.names)
    @stateful.rule(data=strategies.data())
    def cancel(self, data):
        self.simulation.cancel(data.draw(strategies.sampled_from(self.names)))

    @stateful.rule(name=processes)
    def crash(self, name):
        self.simulation.crash(name)

    @stateful.rule(name=processes)
    def restart(self, name):
        self.simulation.crash(name)
        self.simulation.start_process(name)

    @stateful.rule(name=processes)
    def start(self, name):
        self.simulation.start_process(name)

    @stateful.rule(name=sidecars)
    def drain(self, name):
        self.simulation.drain(name)

    @stateful.rule(one=peers, other=peers, held=strategies.booleans())
    def cut_link(self, one, other, held):
        self.simulation.cut_link(one, other, held)

    @stateful.rule()
    def mend_links(self):
        self.simulation.cut.clear()

    @stateful.rule(domain=strategies.sampled_from(("gyor", "pecs")))
    def take_domain_out(self, domain):
        self.simulation.set_domain(domain, "out")

    @stateful.rule(domain=strategies.sampled_from(("gyor", "pecs")))
    def take_domain_in(self, domain):
        self.simulation.set_domain(domain, "in")

    @stateful.rule(home=strategies.sampled_from(("main", "ledger")))
    def move_desk(self, home):
        self.simulation.move_desk(home)

    @stateful.rule(available=strategies.booleans())
    def lose_controllers(self, available):
        self.simulation.controllers.available = available

    @stateful.rule(faults=strategies.sampled_from((0.0, 0.02, 0.2, 0.5)))
    def set_faults(self, faults):
        self.simulation.faults = faults

    def teardown(self):
        if hasattr(self, "simulation"):
            self.simulation.settle()


TestDispatch = Dispatch.TestCase
TestDispatch.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
