"""Stateful test of one gateway, and a comparison with blind dispatch."""

import collections
import math
import random

import attrs
import hypothesis
import pytest
from hypothesis import stateful, strategies

from amaranthspar import effects
from amaranthspar.dispatch import dispatcher, submissions
from amaranthspar.schema import messages
from benchmarks import alternatives, arrivals, virtual
from tests import builders_gateway

SIDECARS = ("s1", "s2", "s3")
DOMAINS = {"s1": "gyor", "s2": "gyor", "s3": "pecs"}
SLOTS = 2
names = strategies.sampled_from(SIDECARS)
services = strategies.sampled_from(["lookup", "hold", "recalculate"])


class FakeSidecar:
    """State of a sidecar whose results are chosen by the test."""

    def __init__(self, member):
        self.member = member
        self.limit = SLOTS
        self.spare = 0
        self.started = []
        self.sequence = 0
        self.last_start = 0
        self.received = 0


class Gateway(stateful.RuleBasedStateMachine):
    """One gateway with sidecars that answer in any order."""

    @stateful.initialize()
    def begin(self):
        self.now_ms = 0
        self.version = 1
        self.settings = builders_gateway.build_settings(max_running=5)
        self.sidecars = {
            name: FakeSidecar(
                builders_gateway.build_sidecar(name, DOMAINS[name], SLOTS)
            )
            for name in SIDECARS
        }
        members = [item.member for item in self.sidecars.values()]
        self.holder = builders_gateway.build_holder(*members, max_running=5)
        self.machine = dispatcher.Dispatcher(self.holder, "gyor")
        self.admitted = {}
        self.answers = {}
        self.in_flight = {}
        self.may_have_run = set()
        self.starts = collections.Counter()
        self.act(self.machine.handle(dispatcher.ViewChanged(), 0))
        for name in SIDECARS:
            self.grant(name)

    def act(self, performed):
        for effect in performed:
            match effect:
                case submissions.Answer():
                    self.check_answer(effect)
                case effects.Send(message=messages.StartTasks()):
                    self.check_start(self.sidecars[effect.peer], effect.message)

    def check_start(self, sidecar, message):
        assert message.target == sidecar.member.incarnation
        assert message.sequence == sidecar.last_start + 1
        sidecar.last_start = message.sequence
        sidecar.received += len(message.tasks)
        assert message.sent == sidecar.received
        assert message.sent <= sidecar.limit + sidecar.spare
        sidecar.spare -= max(0, message.sent - sidecar.limit)
        sidecar.limit = max(sidecar.limit, message.sent)
        domain = DOMAINS[sidecar.member.process]
        assert self.settings.domains[domain].state == "in"
        for task in message.tasks:
            name = (message.submission, task.index)
            assert name not in self.in_flight, f"{name} sent to two sidecars"
            submission = self.admitted[message.submission]
            self.starts[name] += 1
            if name in self.may_have_run:
                assert submission.service == "lookup"
                assert self.starts[name] <= 2
            self.in_flight[name] = message.sequence
            sidecar.started.append(name)

    def check_answer(self, answer):
        assert answer.submission not in self.answers, "answered twice"
        self.answers[answer.submission] = answer
        if answer.outcome != submissions.NOT_RUN:
            return
        held = {name for name, _ in (*self.in_flight, *self.may_have_run)}
        assert answer.submission not in held, "false 'not-run'"

    def grant(self, name):
        sidecar = self.sidecars[name]
        grant = messages.GrantCredits(sidecar.limit, 1)
        self.receive(sidecar, grant)

    def receive(self, sidecar, message):
        member = sidecar.member
        event = dispatcher.Received(member.process, member.incarnation, message)
        self.act(self.machine.handle(event, self.now_ms))

    @stateful.rule(service=services, count=strategies.integers(1, 12))
    def submit(self, service, count):
        name = f"r{len(self.admitted)}"
        submission = builders_gateway.build_submission(
            name,
            service,
            count if service == "recalculate" else 1,
            deadline_ms=self.now_ms + 5000,
        )
        submission.admitted_ms = self.now_ms
        self.admitted[name] = submission
        self.act(self.machine.handle(dispatcher.Submitted(submission), self.now_ms))

    @stateful.precondition(lambda self: any(s.started for s in self.sidecars.values()))
    @stateful.rule(
        data=strategies.data(),
        outcome=strategies.sampled_from(["done", "done", "done", "not-run", "unknown"]),
        spare=strategies.integers(0, 2),
        doubled=strategies.booleans(),
    )
    def end(self, data, outcome, spare, doubled):
        busy = [item for item in self.sidecars.values() if item.started]
        sidecar = data.draw(strategies.sampled_from(busy))
        name = data.draw(strategies.sampled_from(sidecar.started))
        start = self.in_flight[name]
        self.report(sidecar, name, outcome, spare)
        if doubled:
            result = messages.TaskResult(*name, outcome, "x", start=start)
            report = (1, sidecar.sequence, [result], sidecar.limit, 0, 0, 0)
            self.receive(sidecar, messages.ReportResults(*report))

    def report(self, sidecar, name, outcome, spare=0):
        sidecar.started.remove(name)
        start = self.in_flight.pop(name)
        if outcome == "not-run":
            self.starts[name] -= 1
        else:
            self.may_have_run.add(name)
        sidecar.sequence += 1
        sidecar.limit += 1
        sidecar.spare = spare
        result = messages.TaskResult(*name, outcome, "refused", status=200, start=start)
        report = (1, sidecar.sequence, [result], sidecar.limit, 0, 0, spare)
        self.receive(sidecar, messages.ReportResults(*report))
        sidecar.spare = 0

    @stateful.precondition(lambda self: self.admitted)
    @stateful.rule(data=strategies.data())
    def cancel(self, data):
        name = data.draw(strategies.sampled_from(sorted(self.admitted)))
        self.act(self.machine.handle(dispatcher.Cancelled(name), self.now_ms))

    @stateful.rule(name=names)
    def restart_sidecar(self, name):
        old = self.sidecars[name]
        for task in old.started:
            del self.in_flight[task]
            self.may_have_run.add(task)
        incarnation = old.member.incarnation + 1
        member = builders_gateway.build_sidecar(name, DOMAINS[name], SLOTS, incarnation)
        self.sidecars[name] = FakeSidecar(member)
        self.follow()
        self.grant(name)

    @stateful.rule(
        domain=strategies.sampled_from(["gyor", "pecs"]),
        state=strategies.sampled_from(["in", "out"]),
    )
    def set_domain(self, domain, state):
        self.settings.add_domain(domain, state=state)
        self.follow()

    def follow(self):
        self.version += 1
        members = [item.member for item in self.sidecars.values()]
        view = (members, self.settings, self.version, self.now_ms)
        builders_gateway.grant_view(self.holder, *view)
        self.act(self.machine.handle(dispatcher.ViewChanged(), self.now_ms))

    @stateful.rule(duration_ms=strategies.sampled_from((50, 300, 2000, 6000)))
    def advance(self, duration_ms):
        for _ in range(duration_ms // 50):
            self.now_ms += 50
            self.act(self.machine.tick(self.now_ms))

    @stateful.invariant()
    def quota_is_kept(self):
        if hasattr(self, "answers"):
            live = [name for name in self.in_flight if name[0] not in self.answers]
            assert len(live) <= 5

    def teardown(self):
        if not hasattr(self, "answers"):
            return
        for domain in ("gyor", "pecs"):
            self.set_domain(domain, "in")
        self.advance(6000)
        assert set(self.answers) == set(self.admitted)
        assert not self.machine.count_queued()
        assert not self.machine.submissions


TestGateway = Gateway.TestCase
TestGateway.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_answers_equal_blind_dispatch_without_longer_total_time():
    mix = arrivals.Mix(load=0.8, slots=72, seconds=8)
    found = arrivals.build_mix(mix, seed=5)
    fleet = virtual.Fleet()
    fleet.add_arrivals(found)
    fleet.loop.run(found[-1].at_ms + 30_000)
    mine = fleet.record.responses_ms
    for choices in (1, 2):
        blind = alternatives.CreditlessGateways(choices).run(found)
        assert mine.keys() == blind.keys()
        assert sum(mine.values()) <= sum(blind.values())
    assert max(fleet.record.starts.values()) == 1
    assert fleet.record.outcomes == {"done": len(found)}


def measure_declared(found, factors, seed=9):
    """Return the mean and the longest response in ms with wrong declared times."""
    chance = random.Random(seed)
    low, high = (math.log(factor) for factor in factors)
    declared = [
        attrs.evolve(
            item,
            declared_ms=[
                max(1, int(run_ms * math.exp(chance.uniform(low, high))))
                for run_ms in item.runs_ms
            ],
        )
        for item in found
    ]
    fleet = virtual.Fleet()
    fleet.add_arrivals(declared)
    fleet.loop.run(found[-1].at_ms + 30_000)
    assert fleet.record.outcomes == {"done": len(found)}
    responses = fleet.record.responses_ms.values()
    return sum(responses) / len(responses), max(responses)


@pytest.mark.parametrize("factors", [(10, 10), (0.1, 0.1), (0.1, 10)])
def test_run_times_declared_wrong_by_ten_times_change_responses_little(factors):
    mix = arrivals.Mix(load=0.9, seconds=15, job_share=0.5, job_sizes=(4, 24))
    found = arrivals.build_mix(mix, seed=2)
    exact_ms, longest_ms = measure_declared(found, (1, 1))
    mean_ms, worst_ms = measure_declared(found, factors)
    assert mean_ms < 1.05 * exact_ms
    assert worst_ms < 1.2 * longest_ms


def test_cancelling_many_jobs_leaves_nothing_queued():
    fleet = virtual.Fleet()
    jobs = [
        arrivals.Arrival(0.0, 0, [500.0] * 20, [500] * 20, "recalculate", is_job=True)
        for _ in range(1000)
    ]
    fleet.add_arrivals(jobs)
    fleet.loop.run(1)
    for position in range(1000):
        fleet.cancel("gateway-1", position)
    gateway = fleet.gateways["gateway-1"].machine
    assert not gateway.count_queued()
    assert not gateway.submissions
    fleet.loop.run(5000)
    assert len(fleet.record.starts) <= 72 + 18


@pytest.mark.parametrize(
    ("service", "outcome"), [("hold", submissions.UNKNOWN), ("lookup", None)]
)
def test_unconfirmed_start_at_a_restarted_sidecar(service, outcome):
    """A late "not run" and credits of the old incarnation must have no effect."""
    now_ms = 1000
    holder = builders_gateway.build_holder(builders_gateway.build_sidecar())
    machine = dispatcher.Dispatcher(holder, "gyor")
    machine.handle(dispatcher.ViewChanged(), now_ms)
    grant = dispatcher.Received("s1", 1, messages.GrantCredits(SLOTS, 1))
    machine.handle(grant, now_ms)
    submitted = builders_gateway.build_submission("r1", service)
    sent = machine.handle(dispatcher.Submitted(submitted), now_ms)
    assert [type(item.message) for item in sent] == [messages.StartTasks]
    member = builders_gateway.build_sidecar(incarnation=2)
    settings = builders_gateway.build_settings()
    builders_gateway.grant_view(holder, [member], settings, 2, now_ms)
    performed = machine.handle(dispatcher.ViewChanged(), now_ms)
    refused = messages.TaskResult("r1", 0, "not-run", "refused", start=1)
    report = messages.ReportResults(1, 1, [refused], 2 * SLOTS, 1)
    performed += machine.handle(dispatcher.Received("s1", 1, report), now_ms)
    performed += machine.handle(grant, now_ms)
    answers = [item for item in performed if isinstance(item, submissions.Answer)]
    assert [item.outcome for item in answers] == ([outcome] if outcome else [])
    sends = [item.message for item in performed if isinstance(item, effects.Send)]
    assert not any(isinstance(item, messages.StartTasks) for item in sends)


def report_ends(submission, indexes, limit):
    return [
        dispatcher.Received(
            "s1",
            1,
            messages.ReportResults(
                1,
                number,
                [messages.TaskResult(submission.name, index, "done", start=1)],
                limit + number,
                1,
                spare=1,
            ),
        )
        for number, index in enumerate(indexes, 1)
    ]


def open_gateway(tasks):
    members = [builders_gateway.build_sidecar(name, "gyor", 4) for name in ("s1", "s2")]
    holder = builders_gateway.build_holder(*members)
    machine = dispatcher.Dispatcher(holder, "gyor")
    machine.handle(dispatcher.ViewChanged(), 0)
    granted = messages.GrantCredits(4, holder.member.incarnation)
    machine.handle(dispatcher.Received("s1", 1, granted), 0)
    job = builders_gateway.build_submission("job", "recalculate", tasks)
    performed = machine.handle(dispatcher.Submitted(job), 0)
    return holder, machine, job, list_starts(performed)


def list_starts(performed):
    found = [item.message for item in performed if isinstance(item, effects.Send)]
    return [item for item in found if isinstance(item, messages.StartTasks)]


def test_results_of_one_batch_are_followed_by_one_start_message():
    _, machine, job, started = open_gateway(tasks=12)
    ended = [task.index for task in started[0].tasks]
    performed = machine.handle_batch(report_ends(job, ended, limit=4), 10)
    (start,) = list_starts(performed)
    # Four freed slots, and one idle slot that the last report states.
    assert len(start.tasks) == 5


def test_sidecar_that_leaves_within_a_batch_is_sent_nothing():
    holder, machine, job, started = open_gateway(tasks=12)
    ended = [task.index for task in started[0].tasks]
    left = [builders_gateway.build_sidecar("s2", "gyor", 4)]
    builders_gateway.grant_view(holder, left, builders_gateway.build_settings(), 2, 10)
    events = [*report_ends(job, ended, limit=4), dispatcher.ViewChanged()]
    assert not list_starts(machine.handle_batch(events, 10))
