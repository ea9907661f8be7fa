"""Fuzz tests of a gateway with three sidecars and upstreams under random faults.

The checks look at the fake upstreams only: no task may run on two of them at once, and
a job may complete only if each of its tasks was done.
"""

import os
import random

import attrs
import hypothesis
from hypothesis import strategies

from amaranthspar import effects
from amaranthspar.scheduling import (
    dispatcher,
    incarnations,
    jobevents,
    runevents,
    runmanager,
)
from tests import builders_scheduling as builders

EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "100"))
SIDECARS = 3
CORES = 4
DELAY_MS = 30
RECOVERY_S = 30
"""Time for all jobs to end after the last fault: several runs of the longest task."""
RUN_MS = (20, 60, 200, 700, 1_500, 3_500)


@attrs.define
class Host:
    """A sidecar with its run manager, its upstream and their current faults."""

    name: str
    upstream: builders.FakeUpstream
    manager: runmanager.RunManager
    incarnation: int = 1
    fence: int = 1
    last_end: int = 0
    renewed_ms: int = 0
    frozen_until_ms: int = 0
    timeout_rate: float = 0.0


class Simulation:
    """A gateway, sidecars and upstreams in virtual time, with delays and losses."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.now_ms = 1_000
        self.gateway = dispatcher.Dispatcher(random.Random(seed))
        self.done: dict[str, set[str]] = {}
        self.ended: dict[str, jobevents.JobEnded] = {}
        self.resent: set[str] = set()
        self.scheduled: list[tuple[int, int, object]] = []
        self.unreachable: set[str] = set()
        self.reports_lost: set[str] = set()
        self.extra_delay_ms = 0
        self.loss_rate = 0.0
        self.count = 0
        self.hosts = {
            name: Host(
                name,
                builders.FakeUpstream(name, CORES),
                runmanager.RunManager(builders.SERVICE, domain),
            )
            for name, domain in zip("xyz"[:SIDECARS], builders.DOMAINS, strict=False)
        }
        peers = tuple(builders.build_peer(name) for name in self.hosts)
        self.run_gateway(jobevents.Found(peers, frozenset()))

    def post(self, action, delay_ms=None) -> None:
        self.count += 1
        delay_ms = self.chance.randint(1, DELAY_MS) if delay_ms is None else delay_ms
        self.scheduled.append((self.now_ms + delay_ms, self.count, action))

    def run_gateway(self, event) -> None:
        for effect in self.gateway.step(event, self.now_ms):
            match effect:
                case effects.Send(peer=peer, message=message):
                    name = peer.partition(":")[0]
                    if (
                        name in self.unreachable
                        or self.chance.random() < self.loss_rate
                    ):
                        continue
                    delay_ms = self.chance.randint(1, DELAY_MS) + self.extra_delay_ms
                    self.post(lambda n=name, m=message: self.deliver(n, m), delay_ms)
                case jobevents.JobEnded():
                    self.end(effect)

    def end(self, ended) -> None:
        self.ended[ended.job] = ended
        if ended.outcome is jobevents.Outcome.COMPLETED:
            count = int(ended.job.partition("-")[2])
            assert len(self.done.get(ended.job, set())) == count

    def deliver(self, name, message) -> None:
        host = self.hosts[name]
        if self.now_ms < host.frozen_until_ms:
            delay_ms = host.frozen_until_ms - self.now_ms
            self.post(lambda: self.deliver(name, message), delay_ms)
            return
        sender = runevents.Sender("gate", 1, "gate:1")
        self.run_sidecar(host, runevents.Asked(sender, message))

    def run_sidecar(self, host, event) -> None:
        for effect in host.manager.step(event, self.now_ms):
            self.carry_out(host, effect)

    def carry_out(self, host, effect) -> None:
        match effect:
            case runevents.SendReports(reports=reports):
                if host.name in self.unreachable | self.reports_lost:
                    return
                if self.chance.random() < self.loss_rate:
                    return
                received = jobevents.Heard(
                    host.name, host.incarnation, f"{host.name}:1", reports
                )
                self.post(lambda: self.run_gateway(received))
            case runevents.CallStart(order=order):
                self.call_start(host, order)
            case runevents.CallStop(name=name):
                self.call_stop(host, name)

    def call_start(self, host, order) -> None:
        until_ms = self.now_ms + 600
        args = (host.fence, order.name, until_ms)
        duration_ms = self.chance.choice(RUN_MS)
        fails = self.chance.random() < 0.1
        incarnation = host.incarnation

        def carry_out():
            return host.upstream.start(*args, duration_ms, fails, self.now_ms)

        def answer(found):
            if host.incarnation == incarnation:
                event = runevents.StartAnswered(order.name, found)
                self.run_sidecar(host, event)

        if self.chance.random() < host.timeout_rate:
            self.post(carry_out, self.chance.randint(300, 4_000))
            self.post(lambda: answer(runevents.Answer.UNKNOWN), 250)
        elif self.chance.random() < host.timeout_rate:
            self.post(carry_out, 1)
            self.post(lambda: answer(runevents.Answer.UNKNOWN), 250)
        else:
            self.post(lambda: answer(carry_out()), 2)

    def call_stop(self, host, name) -> None:
        fence = host.fence
        incarnation = host.incarnation
        is_lost = self.chance.random() < host.timeout_rate

        def carry_out():
            host.upstream.stop(fence, name)

        def answer():
            if not is_lost:
                carry_out()
            found = runevents.Answer.UNKNOWN if is_lost else runevents.Answer.ACCEPTED
            if host.incarnation == incarnation:
                self.run_sidecar(host, runevents.StopAnswered(name, found))

        if is_lost:
            self.post(carry_out, self.chance.randint(300, 4_000))
        self.post(answer, 250 if is_lost else 2)

    def renew_lease(self, host) -> None:
        host.renewed_ms = self.now_ms
        if self.chance.random() < host.timeout_rate:
            return
        until_ms = self.now_ms + builders.LEASE_MS
        upstream = host.upstream
        found = upstream.renew_lease(host.fence, host.last_end, until_ms, self.now_ms)
        if found is None:
            host.fence += 16
            return
        if host.manager.upstream is None:
            self.send_upstream_state(host)
        running, ends = found
        host.last_end = max((number for number, _ in ends), default=host.last_end)
        for _, item in ends:
            if item.outcome == "done":
                job = item.name.task.partition(".")[0]
                self.done.setdefault(job, set()).add(item.name.task)
        listed = runevents.Listed(self.now_ms, running, tuple(end for _, end in ends))
        self.run_sidecar(host, listed)

    def send_upstream_state(self, host) -> None:
        upstream = host.upstream
        event = runevents.UpstreamKnown(
            upstream.incarnation, upstream.capacity, ("a",), False
        )
        self.run_sidecar(host, event)

    def restart_sidecar(self, host) -> None:
        host.incarnation += 1
        host.fence += 1
        host.last_end = 0
        host.manager = runmanager.RunManager(
            builders.SERVICE, "east", host.incarnation * 10**6
        )

    def crash_upstream(self, host) -> None:
        host.upstream.crash()
        host.last_end = 0
        host.fence += 1
        self.run_sidecar(host, runevents.UpstreamGone("another life answered"))

    def submit(self, count) -> None:
        name = f"j{len(self.ended) + len(self.gateway.jobs)}n{self.now_ms}-{count}"
        step = builders.build_step(count, self.chance.choice((1, 2)), 100)
        request = builders.build_request(name, steps=[step])
        self.run_gateway(jobevents.Submit(request))

    def advance(self, time_ms) -> None:
        end_ms = self.now_ms + time_ms
        while self.now_ms < end_ms:
            self.now_ms += 10
            due = sorted(item[:2] for item in self.scheduled if item[0] <= self.now_ms)
            actions = {item[:2]: item[2] for item in self.scheduled}
            self.scheduled = [item for item in self.scheduled if item[0] > self.now_ms]
            for key in due:
                actions[key]()
            for host in self.hosts.values():
                host.upstream.advance(self.now_ms)
                if self.now_ms < host.frozen_until_ms:
                    continue
                self.run_sidecar(host, runevents.Tick())
                if self.now_ms - host.renewed_ms >= 60:
                    self.renew_lease(host)
            self.run_gateway(jobevents.Tick())
            self.check()

    def check(self) -> None:
        running = [task for host in self.hosts.values() for task in host.upstream.runs]
        assert len(running) == len(set(running)), sorted(running)
        for host in self.hosts.values():
            used = sum(
                host.manager.runs[task].needs.cpu_millis
                for task in host.upstream.runs
                if task in host.manager.runs
            )
            assert used <= host.upstream.capacity.cpu_millis


ACTIONS = strategies.one_of(
    strategies.tuples(strategies.just("submit"), strategies.integers(1, 6)),
    strategies.tuples(strategies.just("advance"), strategies.integers(5, 1_500)),
    strategies.tuples(strategies.just("cut"), strategies.sampled_from("xyz")),
    strategies.tuples(strategies.just("unhear"), strategies.sampled_from("xyz")),
    strategies.tuples(strategies.just("lag"), strategies.sampled_from((0, 900, 3_000))),
    strategies.tuples(strategies.just("join"), strategies.sampled_from("xyz")),
    strategies.tuples(strategies.just("restart"), strategies.sampled_from("xyz")),
    strategies.tuples(strategies.just("crash"), strategies.sampled_from("xyz")),
    strategies.tuples(strategies.just("freeze"), strategies.sampled_from("xyz")),
    strategies.tuples(strategies.just("late"), strategies.sampled_from("xyz")),
    strategies.tuples(strategies.just("loss"), strategies.integers(0, 3)),
)


def apply(simulation, action, value) -> None:
    match action:
        case "submit":
            simulation.submit(value)
        case "advance":
            simulation.advance(value)
        case "cut":
            simulation.unreachable.add(value)
        case "unhear":
            simulation.reports_lost.add(value)
        case "lag":
            simulation.extra_delay_ms = value
        case "join":
            simulation.unreachable.discard(value)
            simulation.reports_lost.discard(value)
        case "restart":
            simulation.restart_sidecar(simulation.hosts[value])
        case "crash":
            simulation.crash_upstream(simulation.hosts[value])
        case "freeze":
            simulation.hosts[value].frozen_until_ms = simulation.now_ms + 1_300
        case "late":
            host = simulation.hosts[value]
            host.timeout_rate = 0.0 if host.timeout_rate else 0.3
        case "loss":
            simulation.loss_rate = value / 10


def recover(simulation) -> None:
    """End all faults and check that every job ends."""
    simulation.unreachable.clear()
    simulation.reports_lost.clear()
    simulation.extra_delay_ms = 0
    simulation.loss_rate = 0.0
    for host in simulation.hosts.values():
        host.timeout_rate = 0.0
    submitted = set(simulation.gateway.jobs) | set(simulation.ended)
    submitted |= simulation.resent
    for _ in range(RECOVERY_S):
        simulation.advance(1_000)
        if set(simulation.ended) == submitted:
            return
    raise AssertionError(submitted - set(simulation.ended))


@hypothesis.settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=not os.environ.get("FUZZ_EXAMPLES"),
)
@hypothesis.given(
    strategies.integers(0, 2**32), strategies.lists(ACTIONS, min_size=5, max_size=25)
)
# The gateway did not reset its order numbers when a sidecar restarted; the job hung.
@hypothesis.example(
    79, [("submit", 1), ("submit", 1), ("advance", 26), ("restart", "x"), ("submit", 1)]
)
# An upstream crashed with a start in flight, which its next incarnation carried out.
@hypothesis.example(
    1,
    [
        ("advance", 5),
        ("advance", 141),
        ("submit", 2),
        ("advance", 5),
        ("crash", "z"),
        ("advance", 500),
    ],
)
# Later renewals overtook a start order, which started a task that ran elsewhere.
@hypothesis.example(
    2076,
    [
        ("restart", "y"),
        ("restart", "z"),
        ("submit", 1),
        ("lag", 3000),
        ("submit", 3),
        ("advance", 1387),
        ("freeze", "x"),
        ("advance", 1234),
        ("unhear", "x"),
        ("crash", "y"),
        ("submit", 6),
    ],
)
def test_no_task_runs_twice_at_once_and_every_job_ends(seed, actions):
    simulation = Simulation(seed)
    simulation.advance(200)
    for action, value in actions:
        apply(simulation, action, value)
    recover(simulation)


def test_run_ends_before_its_task_is_retried_if_only_reports_are_lost():
    for seed in range(10):
        simulation = Simulation(seed)
        simulation.advance(200)
        for _ in range(6):
            simulation.submit(3)
        simulation.advance(30)
        simulation.reports_lost |= {"x", "y"}
        simulation.advance(4_000)


def test_delayed_start_order_does_not_start_a_task_that_runs_elsewhere():
    for seed in range(10):
        simulation = Simulation(seed)
        simulation.advance(200)
        simulation.extra_delay_ms = 2_800
        for _ in range(4):
            simulation.submit(3)
        simulation.advance(400)
        simulation.extra_delay_ms = 0
        simulation.advance(4_000)


HEARTBEAT_MS = 400
MAX_HEARTBEAT_DELAY_MS = 150
START_VALID_MS = 600
RETRY_MS = 1_300
"""Time after which a caller sends a job again that its gateway has not answered."""


@attrs.define
class Claims:
    """What a sidecar knows of its upstream by heartbeats and lists.

    Attributes:
        known: Incarnations of the upstream.
        heartbeat_ms: Time of the next heartbeat in ms.
        sequence: Number of the last heartbeat.
    """

    known: incarnations.Incarnations
    heartbeat_ms: int = 0
    sequence: int = 0


class RestartSimulation(Simulation):
    """A simulation in which sidecars learn of their upstreams by what these say.

    Upstreams restart under the same name, with a listener that stays open, or under
    another one. Heartbeats are delayed, and some are from another sender.
    """

    def __init__(self, seed: int) -> None:
        self.claims: dict[str, Claims] = {}
        self.gateway_number = 1
        self.sender = "gate1"
        super().__init__(seed)
        for name, host in self.hosts.items():
            self.claims[name] = Claims(incarnations.Incarnations(host.fence))

    def advance(self, time_ms) -> None:
        for _ in range(0, time_ms, 10):
            for host in self.hosts.values():
                self.send_heartbeat(host)
            super().advance(10)

    def kill_gateway(self) -> None:
        """Kill the gateway; callers send its jobs to another one after a while."""
        requests = [job.request for job in self.gateway.jobs.values()]
        self.gateway_number += 1
        self.gateway = dispatcher.Dispatcher(random.Random(self.gateway_number))
        peers = tuple(builders.build_peer(name) for name in self.hosts)
        self.run_gateway(jobevents.Found(peers, frozenset()))
        self.resent |= {request.id for request in requests}
        for request in requests:
            self.post(lambda item=request: self.resend(item), RETRY_MS)

    def resend(self, request) -> None:
        self.resent.discard(request.id)
        self.run_gateway(jobevents.Submit(request))

    def run_gateway(self, event) -> None:
        current = f"gate{self.gateway_number}"
        if isinstance(event, jobevents.Heard) and self.sender != current:
            return
        self.sender = current
        super().run_gateway(event)

    def post(self, action, delay_ms=None) -> None:
        """Post an action; messages are those of the gateway that sends them."""
        number = self.gateway_number

        def carry_out():
            self.sender = f"gate{number}"
            action()

        super().post(carry_out, delay_ms)

    def deliver(self, name, message) -> None:
        host = self.hosts[name]
        if self.now_ms < host.frozen_until_ms:
            super().deliver(name, message)
            return
        sender = runevents.Sender(self.sender, 1, f"{self.sender}:1")
        self.run_sidecar(host, runevents.Asked(sender, message))

    def run_sidecar(self, host, event) -> None:
        current = f"gate{self.gateway_number}"
        found = host.manager.step(event, self.now_ms)
        for effect in found:
            match effect:
                case runevents.SendReports(gateway=gateway) if gateway != current:
                    continue
            self.carry_out(host, effect)

    def send_heartbeat(self, host) -> None:
        claims = self.claims[host.name]
        if self.now_ms < claims.heartbeat_ms:
            return
        claims.heartbeat_ms = self.now_ms + HEARTBEAT_MS
        claims.sequence += 1
        self.send_claim(host, host.upstream.id, host.upstream.incarnation)

    def send_claim(self, host, upstream_id, incarnation) -> None:
        claims = self.claims[host.name]
        status = runevents.UpstreamKnown(
            incarnation, host.upstream.capacity, ("a",), False
        )
        heartbeat = incarnations.Registration(upstream_id, claims.sequence, status)

        def receive():
            known = self.claims[host.name].known
            claim = known.claim(heartbeat, self.now_ms)
            if claim is incarnations.Claim.UPDATED:
                self.run_sidecar(host, known.current.status)

        self.post(receive, self.chance.randint(1, MAX_HEARTBEAT_DELAY_MS))

    def send_odd_claim(self, host) -> None:
        odd = self.chance.choice((host.upstream.id, "odd"))
        self.send_claim(host, odd, f"{odd}@{self.chance.choice((0, 999))}")

    def call_start(self, host, order) -> None:
        known = self.claims[host.name].known
        if known.current is None:
            event = runevents.StartAnswered(order.name, runevents.Answer.REPLACED)
            self.run_sidecar(host, event)
            return
        expected, sent_ms = known.current.id, self.now_ms
        life = host.upstream.incarnation
        fence, duration_ms = known.fence, self.chance.choice(RUN_MS)
        incarnation = host.incarnation
        valid_ms = min(host.manager.find_lease_ms(sent_ms) or 0, START_VALID_MS)

        def carry_out():
            upstream = host.upstream
            if upstream.id != expected:
                return runevents.Answer.REPLACED
            # The clock of another incarnation starts anew, so that it takes any start.
            is_same = upstream.incarnation == life
            until_ms = self.now_ms + builders.LEASE_MS
            if is_same:
                until_ms = sent_ms + valid_ms
            name = order.name
            return upstream.start(
                fence, name, until_ms, duration_ms, False, self.now_ms
            )

        def answer(found):
            if host.incarnation == incarnation:
                self.run_sidecar(host, runevents.StartAnswered(order.name, found))

        if self.chance.random() < host.timeout_rate:
            self.post(carry_out, self.chance.randint(1, 4_000))
            self.post(lambda: answer(runevents.Answer.UNKNOWN), 60)
        else:
            self.post(lambda: answer(carry_out()), 2)

    def call_stop(self, host, name) -> None:
        known = self.claims[host.name].known
        if known.current is None:
            event = runevents.StopAnswered(name, runevents.Answer.REPLACED)
            self.run_sidecar(host, event)
            return
        expected, fence = known.current.id, known.fence
        incarnation = host.incarnation

        def carry_out():
            upstream = host.upstream
            if upstream.id != expected:
                return runevents.Answer.REPLACED
            if fence < upstream.fence:
                known.raise_fence(fence)
                return runevents.Answer.UNKNOWN
            upstream.stop(fence, name)
            return runevents.Answer.ACCEPTED

        def answer(found):
            if host.incarnation == incarnation:
                self.run_sidecar(host, runevents.StopAnswered(name, found))

        if self.chance.random() < host.timeout_rate:
            self.post(carry_out, self.chance.randint(1, 4_000))
            self.post(lambda: answer(runevents.Answer.UNKNOWN), 120)
        else:
            self.post(lambda: answer(carry_out()), 2)

    def renew_lease(self, host) -> None:
        host.renewed_ms = self.now_ms
        known = self.claims[host.name].known
        request = known.build_request()
        if request is None or self.chance.random() < host.timeout_rate:
            return
        upstream = host.upstream
        if upstream.id != request.registration.id:
            if known.handle_other_instance(request) is incarnations.Verdict.ENDED:
                self.run_sidecar(host, runevents.UpstreamGone("another answered"))
            return
        last_end = 0 if request.is_probe else host.last_end
        lease_ms = host.manager.find_lease_ms(self.now_ms)
        lease_ms = builders.LEASE_MS if lease_ms is None else lease_ms
        until_ms = self.now_ms + min(lease_ms, builders.LEASE_MS)
        found = upstream.renew_lease(request.fence, last_end, until_ms, self.now_ms)
        if found is None:
            known.raise_fence(request.fence)
            return
        self.handle_list(host, request, *found)

    def handle_list(self, host, request, running, ends) -> None:
        known = self.claims[host.name].known
        verdict = known.handle_list(request, host.upstream.incarnation)
        numbers = [number for number, _ in ends]
        match verdict:
            case incarnations.Verdict.REPLACED:
                host.last_end = max(numbers, default=0)
                self.run_sidecar(host, known.current.status)
            case incarnations.Verdict.CURRENT:
                host.last_end = max(numbers, default=host.last_end)
                if host.manager.upstream is None:
                    self.run_sidecar(host, known.current.status)
            case _:
                return
        for _, item in ends:
            if item.outcome == "done":
                job = item.name.task.partition(".")[0]
                self.done.setdefault(job, set()).add(item.name.task)
        listed = runevents.Listed(self.now_ms, running, tuple(end for _, end in ends))
        self.run_sidecar(host, listed)

    def crash_upstream(self, host) -> None:
        host.upstream.crash()
        if self.chance.random() < 0.5:
            host.upstream.id = f"{host.name}{host.upstream.incarnation_number}"
        delay_ms = self.chance.choice((0, 100, 600))
        self.claims[host.name].heartbeat_ms = self.now_ms + delay_ms
        self.claims[host.name].sequence = 0

    def restart_sidecar(self, host) -> None:
        super().restart_sidecar(host)
        host.fence = 1_000_000 * host.incarnation
        self.claims[host.name].known = incarnations.Incarnations(host.fence)


RESTART_ACTIONS = strategies.one_of(
    ACTIONS,
    strategies.tuples(strategies.just("odd"), strategies.sampled_from("xyz")),
    strategies.tuples(strategies.just("kill"), strategies.none()),
    strategies.tuples(strategies.just("crash"), strategies.sampled_from("xyz")),
)


@hypothesis.settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=not os.environ.get("FUZZ_EXAMPLES"),
)
@hypothesis.given(
    strategies.integers(0, 2**32),
    strategies.lists(RESTART_ACTIONS, min_size=5, max_size=25),
)
# A sidecar froze after its gateway was killed, so that no stop ended the runs in time.
@hypothesis.example(
    0,
    [
        ("submit", 2),
        ("submit", 1),
        ("advance", 5),
        ("kill", None),
        ("advance", 351),
        ("freeze", "x"),
    ],
)
# Orders that were lost with a former upstream reserved all capacity of the next one.
@hypothesis.example(
    53909,
    [
        ("cut", "y"),
        ("restart", "x"),
        ("submit", 5),
        ("crash", "y"),
        ("submit", 2),
        ("freeze", "x"),
    ],
)
def test_no_task_runs_twice_while_upstreams_restart_under_their_names(seed, actions):
    simulation = RestartSimulation(seed)
    simulation.advance(300)
    for action, value in actions:
        match action:
            case "odd":
                simulation.send_odd_claim(simulation.hosts[value])
            case "kill":
                simulation.kill_gateway()
            case _:
                apply(simulation, action, value)
    recover(simulation)
