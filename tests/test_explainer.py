"""Tests of explanations: they match what the gateway then does, and change nothing."""

import collections
import pickle
import random

import attrs
import pytest

from amaranthspar import effects
from amaranthspar.commands import explain
from amaranthspar.dispatch import dispatcher, explainer, submissions
from amaranthspar.schema import messages
from tests import builders_gateway

STEPS = 150
SIDECARS = {
    "s1": ("gyor", "main"),
    "s2": ("gyor", "main"),
    "s3": ("pecs", "main"),
    "s4": ("pecs", "main"),
    "s5": ("pecs", "ledger"),
}
SLOTS = 3
DESK = "counter"


def build_member(name, incarnation=1, leaving=False, **changes):
    domain, group = SIDECARS[name]
    member = builders_gateway.build_sidecar(name, domain, SLOTS, incarnation)
    announcement = attrs.evolve(member.announcement, group=group, **changes)
    return attrs.evolve(member, announcement=announcement, leaving=leaving)


class Gateway:
    """A dispatcher with random load, sidecars that report, and changes of the view.

    Two of them with the same seed get the same events.
    """

    def __init__(self, seed, **team):
        self.chance = random.Random(seed)
        self.now_ms = 1000
        self.version = 1
        self.settings = builders_gateway.build_settings(**team)
        self.settings.add_desk(DESK, home="main")
        self.members = {name: build_member(name) for name in SIDECARS}
        self.members["s2"] = build_member("s2", cores=8)
        self.holder = builders_gateway.build_holder()
        self.machine = dispatcher.Dispatcher(self.holder, "gyor")
        self.limits = dict.fromkeys(SIDECARS, 0)
        self.reports = collections.Counter()
        self.running = {}
        self.submitted = 0
        self.sent = []
        self.follow()
        for name in SIDECARS:
            self.grant(name)

    def act(self, performed):
        self.sent += performed
        for effect in performed:
            match effect:
                case effects.Send(message=messages.StartTasks() as message):
                    for task in message.tasks:
                        key = (effect.peer, message.submission, task.index)
                        self.running[key] = message.sequence
        return performed

    def handle(self, event):
        return self.act(self.machine.handle(event, self.now_ms))

    def receive(self, name, message):
        return self.handle(dispatcher.Received(name, 1, message))

    def grant(self, name, count=SLOTS):
        self.limits[name] += count
        self.receive(name, messages.GrantCredits(self.limits[name], 1))

    def follow(self):
        self.version += 1
        members = list(self.members.values())
        view = (members, self.settings, self.version, self.now_ms)
        builders_gateway.grant_view(self.holder, *view)
        self.handle(dispatcher.ViewChanged())

    def draft(self):
        """Return a random submission, which is not submitted yet."""
        chance = self.chance
        service = chance.choice(["lookup", "recalculate", "recalculate", "hold"])
        count = chance.randint(1, 12) if service == "recalculate" else 1
        submission = builders_gateway.build_submission(
            f"r{self.submitted}",
            service,
            count,
            chance.choice(["field", "office", "office", ""]),
            self.now_ms + chance.choice([1, 300, 5000]),
            expected_ms=chance.choice([0, 20, 900]),
        )
        for task in submission.tasks:
            task.cores = chance.choice([0, 0, 0, 12, 12, 99] if count < 3 else [0, 12])
            task.expected_ms = chance.choice([0, 20, 900])
        submission.admitted_ms = self.now_ms
        submission.desk = chance.choice(["", "", DESK])
        return submission

    def submit(self, submission):
        self.submitted += 1
        return self.handle(dispatcher.Submitted(submission))

    def end_task(self):
        key = self.chance.choice(sorted(self.running))
        name, submission, index = key
        start = self.running.pop(key)
        outcome = self.chance.choice(["done", "done", "done", "unknown", "not-run"])
        status = 500 if name == "s4" else 200
        run_ms = 4000 if name == "s3" else self.chance.randint(5, 50)
        result = messages.TaskResult(
            submission, index, outcome, "x", status, run_ms=run_ms, start=start
        )
        self.reports[name] += 1
        self.limits[name] += 1
        values = (self.reports[name], [result], self.limits[name], 0, 0)
        spare = self.chance.randint(0, 1)
        self.receive(name, messages.ReportResults(1, *values, spare))

    def change_view(self):
        name = self.chance.choice(sorted(SIDECARS))
        match self.chance.randrange(4):
            case 0:
                state = self.chance.choice(["in", "in", "out"])
                self.settings.add_domain("pecs", state=state)
            case 1:
                leaving = not self.members[name].leaving
                self.members[name] = attrs.evolve(self.members[name], leaving=leaving)
            case 2:
                home = self.chance.choice(["main", "ledger"])
                version = self.version + 1
                self.settings.add_desk(DESK, home=home, moved_version=version)
            case 3:
                for settled in SIDECARS:
                    self.receive(settled, messages.ReportSettled(1, self.version))
        self.follow()

    def advance(self):
        for _ in range(self.chance.choice([1, 4, 30])):
            self.now_ms += 50
            self.act(self.machine.tick(self.now_ms))

    def step(self):
        match self.chance.randrange(12):
            case 0 | 1 | 2:
                self.submit(self.draft())
            case 3 | 4 | 5 | 6 if self.running:
                self.end_task()
            case 7:
                self.grant(self.chance.choice(sorted(SIDECARS)), 1)
            case 8:
                self.change_view()
            case _:
                self.advance()

    def explain(self, submission):
        return self.machine.explain(submission, self.now_ms)


def count_starts(performed, name):
    return collections.Counter(
        {
            effect.peer: len(effect.message.tasks)
            for effect in performed
            if isinstance(effect, effects.Send)
            and isinstance(effect.message, messages.StartTasks)
            and effect.message.submission == name
        }
    )


def find_sidecar(explanation, name):
    return next(item for item in explanation.sidecars if item.process == name)


@pytest.mark.parametrize("seed", range(12))
def test_explanation_states_what_the_gateway_does_next(seed):
    # Guards against an explanation that drifts from the real decision.
    gateway = Gateway(seed, max_running=4, max_queued=20)
    seen = collections.Counter()
    for _ in range(STEPS):
        gateway.step()
        for _ in range(gateway.chance.randint(0, min(9, len(gateway.running)))):
            gateway.end_task()
        # Retries that wait for another worker are due at the latest now.
        gateway.act(gateway.machine.tick(gateway.now_ms))
        draft = gateway.draft()
        explanation = gateway.explain(draft)
        performed = gateway.submit(draft)
        refusals = [
            effect
            for effect in performed
            if isinstance(effect, submissions.Answer)
            and effect.submission == draft.name
        ]
        assert explanation.admitted == (not refusals)
        if refusals:
            assert explanation.failure == refusals[0].failure.value
            assert explanation.reason == refusals[0].reason
            assert explanation.retry_after_ms == refusals[0].retry_after_ms
        starts = count_starts(performed, draft.name)
        chosen = {item.process: item.tasks for item in explanation.sidecars}
        assert +collections.Counter(chosen) == starts
        assert explanation.sent == starts.total()
        seen[explanation.failure, bool(starts), explanation.waits_for[:4]] += 1
    assert seen["", True, ""]
    assert len(seen) > 4


@pytest.mark.parametrize("seed", range(4))
def test_explanations_change_neither_state_nor_later_decisions(seed):
    # Guards against reservations, counters and caches that an explanation leaves.
    explained, plain = (Gateway(seed, max_running=4) for _ in range(2))
    chance = random.Random(seed)
    for _ in range(STEPS):
        state = explained.chance.getstate()
        draft = explained.draft()
        explained.chance.setstate(state)
        draft.name = "explained"
        before = pickle.dumps((explained.machine, draft))
        for _ in range(chance.randint(1, 3)):
            explained.explain(draft)
        assert pickle.dumps((explained.machine, draft)) == before
        explained.step()
        plain.step()
        assert explained.sent == plain.sent
    assert explained.machine.counts == plain.machine.counts
    assert explained.machine.counts["submissions.admitted"]


def test_sidecars_are_shown_with_room_and_ruled_out_with_a_reason():
    gateway = Gateway(1)
    gateway.settings.add_domain("pecs", state="out")
    gateway.members["s1"] = attrs.evolve(gateway.members["s1"], leaving=True)
    gateway.follow()
    gateway.now_ms += 700
    draft = builders_gateway.build_submission(deadline_ms=gateway.now_ms + 100)
    explanation = gateway.explain(draft)
    assert explanation.admitted
    assert explanation.expected_start_ms == 0
    assert explanation.deadline_ms == 100
    chosen = find_sidecar(explanation, "s2")
    assert (chosen.verdict, chosen.tasks, chosen.free) == ("chosen", 1, SLOTS)
    assert chosen.report_age_ms == 700
    assert (chosen.near, chosen.failure_domain) == (True, "gyor")
    reasons = {item.process: item.reason for item in explanation.sidecars[1:]}
    assert reasons == {
        "s1": "the sidecar is leaving",
        "s3": "failure domain pecs is out",
        "s4": "failure domain pecs is out",
        "s5": "group ledger instead of main",
    }
    counts = {item.reason: item.sidecars for item in explanation.ruled_out}
    assert counts["failure domain pecs is out"] == 2


def test_upstreams_that_are_too_small_are_ruled_out():
    gateway = Gateway(1)
    draft = builders_gateway.build_submission(deadline_ms=5000, cores=12)
    assert find_sidecar(gateway.explain(draft), "s2").reason == "has only 8 cores"
    draft = builders_gateway.build_submission(deadline_ms=5000, cores=99)
    explanation = gateway.explain(draft)
    assert explanation.failure == submissions.Failure.INFEASIBLE.value
    assert explanation.expected_start_ms is None


def test_job_beyond_the_free_capacity_waits_for_it():
    gateway = Gateway(1)
    free = SLOTS * sum(group == "main" for _, group in SIDECARS.values())
    job = builders_gateway.build_submission("j1", "recalculate", free + 5)
    job.deadline_ms = 30_000
    explanation = gateway.explain(job)
    assert (explanation.sent, explanation.waiting) == (free, 5)
    assert explanation.waits_for == "free capacity"
    gateway.submit(job)
    draft = builders_gateway.build_submission("r2", deadline_ms=30_000)
    later = gateway.explain(draft)
    assert (later.sent, later.queued, later.queued_team) == (0, 5, 5)
    # Run times were neither declared nor measured: the estimate is 200 ms.
    assert later.expected_start_ms == 200
    assert find_sidecar(later, "s1").verdict == explainer.NO_ROOM


def test_team_at_its_quota_waits_for_its_own_tasks():
    gateway = Gateway(1, max_running=2)
    job = builders_gateway.build_submission("j1", "recalculate", 3)
    job.deadline_ms = 30_000
    explanation = gateway.explain(job)
    assert (explanation.sent, explanation.waiting) == (2, 1)
    assert explanation.waits_for.startswith("team field")
    gateway.submit(job)
    office = builders_gateway.build_submission("o1", team="office", expected_ms=20)
    office.deadline_ms = 30_000
    gateway.submit(office)
    # The short task of the other team gives the field no right to start.
    draft = builders_gateway.build_submission("r2", deadline_ms=30_000)
    assert gateway.explain(draft).expected_start_ms == 200
    other = builders_gateway.build_submission(team="office", deadline_ms=30_000)
    assert gateway.explain(other).sent == 1


def test_desk_on_the_move_waits_for_the_sidecars_of_its_old_home():
    gateway = Gateway(1)
    gateway.settings.add_desk(DESK, home="ledger", moved_version=gateway.version + 1)
    gateway.follow()
    draft = builders_gateway.build_submission(deadline_ms=30_000)
    draft.desk = DESK
    explanation = gateway.explain(draft)
    assert (explanation.admitted, explanation.home) == (True, "ledger")
    assert (explanation.sent, explanation.expected_start_ms) == (0, None)
    assert "desk counter" in explanation.waits_for
    # Had the explanation been counted, the gateway would ask these sidecars.
    gateway.now_ms += 1000
    performed = gateway.machine.tick(gateway.now_ms)
    sends = [item.message for item in performed if isinstance(item, effects.Send)]
    assert not any(isinstance(item, messages.InquireSettled) for item in sends)
    for name in SIDECARS:
        gateway.receive(name, messages.ReportSettled(1, gateway.version))
    explanation = gateway.explain(draft)
    assert [item.process for item in explanation.sidecars if item.tasks] == ["s5"]


def test_job_waits_while_all_suitable_sidecars_are_out_of_service():
    # Admission counts closed sidecars; the explanation must not promise a start.
    gateway = Gateway(1)
    for domain in ("gyor", "pecs"):
        gateway.settings.add_domain(domain, state="out")
    gateway.follow()
    explanation = gateway.explain(builders_gateway.build_submission(deadline_ms=30_000))
    assert (explanation.admitted, explanation.sent) == (True, 0)
    assert explanation.waits_for == "a suitable sidecar that is in service"
    assert explanation.expected_start_ms is None


def test_start_is_unknown_while_other_gateways_hold_all_credits():
    gateway = Gateway(1)
    for route in gateway.machine.routes.values():
        route.sent = route.credit_limit
        gateway.machine._capacity.update(route)
    draft = builders_gateway.build_submission(deadline_ms=30_000)
    explanation = gateway.explain(draft)
    assert (explanation.sent, explanation.expected_start_ms) == (0, None)
    assert find_sidecar(explanation, "s1").reason == "no credits left"


def test_gateway_without_a_lease_would_refuse():
    gateway = Gateway(1)
    gateway.now_ms = 2 * builders_gateway.LEASE_MS
    draft = builders_gateway.build_submission(deadline_ms=gateway.now_ms + 1000)
    explanation = gateway.explain(draft)
    assert explanation.failure == submissions.Failure.UNAVAILABLE.value
    assert explanation.reason == "gateway holds no lease"
    assert explanation.retry_after_ms


def test_expected_wait_beyond_the_deadline_is_stated_with_the_refusal():
    gateway = Gateway(1)
    for number in range(8):
        job = builders_gateway.build_submission(f"j{number}", "recalculate", 100)
        job.deadline_ms = 3_600_000
        gateway.submit(job)
    gateway.advance()
    draft = builders_gateway.build_submission(
        service="recalculate", deadline_ms=gateway.now_ms + 100
    )
    explanation = gateway.explain(draft)
    assert explanation.failure == submissions.Failure.TOO_LATE.value
    assert explanation.expected_start_ms > 100
    assert f"expected to wait {explanation.expected_start_ms} ms" in explanation.reason


def test_ejected_and_slow_sidecars_are_named():
    gateway = Gateway(1)
    route = gateway.machine.routes["s1"]
    route.run_times_by_service["lookup"] = stats = type(route.run_times)(5, 1.5)
    stats.slow = True
    for number in range(6):
        result = messages.TaskResult(f"r{number}", 0, "done", "", status=500)
        gateway.machine._health.note_result(gateway.machine.routes["s2"], result, 0)
    draft = builders_gateway.build_submission(deadline_ms=30_000)
    explanation = gateway.explain(draft)
    slow, ejected = (find_sidecar(explanation, name) for name in ("s1", "s2"))
    assert (slow.slow, slow.run_time_ratio) == (True, 4.482)
    assert slow.reason == "slow for the service"
    assert (ejected.verdict, ejected.health) == (explainer.RULED_OUT, "ejected")
    assert ejected.limit == 0


def test_fleet_of_any_size_gives_a_bounded_list():
    members = [builders_gateway.build_sidecar(f"s{number}") for number in range(2_500)]
    holder = builders_gateway.build_holder(*members)
    machine = dispatcher.Dispatcher(holder, "gyor")
    machine.handle(dispatcher.ViewChanged(), 0)
    explanation = machine.explain(builders_gateway.build_submission(), 0)
    assert explanation.known == 2_500
    assert len(explanation.sidecars) == explainer.MAX_SIDECARS
    text = explain.format_explanation(explanation)
    assert "2000 of 2500 sidecars are not listed" in text
