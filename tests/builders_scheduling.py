"""Builders of jobs and reports, a gateway for tests and a fake upstream."""

import collections
import random

import attrs

from amaranthspar import effects
from amaranthspar.scheduling import dispatcher, jobevents, jobs, runevents
from amaranthspar.schema import runmessages, viewmessages

SERVICE = "quotes"
DOMAINS = ("east", "west", "north")
STEP_MS = 10
LEASE_MS = 1_000


def build_queue(**changes) -> jobs.Queue:
    values = {
        "name": "checks",
        "service": SERVICE,
        "priority": 0,
        "max_attempts": 3,
        "stretch": 1.6,
        "target_ms": 60,
    }
    return jobs.Queue(**(values | changes))


def build_step(count=1, cores=1.0, duration_ms=100, **changes) -> jobs.Step:
    needs = runmessages.Resources(round(cores * 1000), 64, 0)
    return jobs.Step(count, needs, duration_ms, **changes)


def build_request(name="a1", queue=None, steps=None) -> jobs.Request:
    queue = queue or build_queue()
    return jobs.Request(name, queue, "spec", tuple(steps or [build_step()]))


def build_room(number=1, upstream="u@1", free=8.0, capacity=8.0, **changes):
    values = {
        "number": number,
        "started": 0,
        "upstream": upstream,
        "service": SERVICE,
        "failure_domain": DOMAINS[0],
        "labels": ["a", "r1"],
        "capacity": runmessages.Resources(round(capacity * 1000), 65_536, 0),
        "free": runmessages.Resources(round(free * 1000), 65_536, 0),
        "is_leaving": False,
    }
    return runmessages.Room(**(values | changes))


def build_peer(name: str, failure_domain: str = DOMAINS[0]) -> viewmessages.Peer:
    return viewmessages.Peer(
        name, "sidecar", 1, f"{name}:1", SERVICE, failure_domain, False
    )


class Gateway:
    """A dispatcher that records the messages it sends and the outcomes of its jobs."""

    def __init__(self, seed: int = 1) -> None:
        self.dispatcher = dispatcher.Dispatcher(random.Random(seed))
        self.ended: dict[str, jobevents.JobEnded] = {}
        self.sent: list[effects.Send] = []
        self.now_ms = 1_000
        self._numbers: collections.Counter[str] = collections.Counter()

    def step(self, event: jobevents.Event) -> list[effects.Send]:
        """Handle an event and return the messages sent."""
        sent = []
        for effect in self.dispatcher.step(event, self.now_ms):
            match effect:
                case effects.Send():
                    sent.append(effect)
                case jobevents.JobEnded():
                    self.ended[effect.job] = effect
        self.sent += sent
        return sent

    def list_sidecars(self, *names: str, domains_out=()) -> None:
        """Receive a list of sidecars from controllers."""
        peers = tuple(build_peer(name) for name in names)
        self.step(jobevents.Found(peers, frozenset(domains_out)))

    def receive(self, name: str, room, *reports, incarnation=1):
        """Receive reports of a sidecar and return the start messages sent."""
        body = runmessages.RunReports(list(reports), room)
        event = jobevents.Heard(name, incarnation, f"{name}:1", body)
        return list_starts(self.step(event))

    def receive_room(self, name: str, **changes):
        """Receive a newer capacity report of a sidecar and return the starts sent."""
        self._numbers[name] += 1
        return self.receive(name, build_room(self._numbers[name], **changes))

    def submit(self, request) -> list[runmessages.StartRuns]:
        """Submit a job and return the start messages sent."""
        return list_starts(self.step(jobevents.Submit(request)))

    def wait(self, time_ms: int) -> list[effects.Send]:
        """Advance the time and return the messages sent."""
        sent = []
        for _ in range(0, time_ms, STEP_MS):
            self.now_ms += STEP_MS
            sent += self.step(jobevents.Tick())
        return sent


def list_starts(sent) -> list[runmessages.StartRuns]:
    """Return the start messages among those sent."""
    return [
        item.message for item in sent if isinstance(item.message, runmessages.StartRuns)
    ]


def list_orders(starts) -> list[str]:
    """Return the names of the tasks in start messages."""
    return [order.name.task for start in starts for order in start.orders]


@attrs.define
class FakeRun:
    """A run on a fake upstream."""

    name: runmessages.RunName
    end_ms: int
    fails: bool
    began_ms: int

    def read_percent(self, now_ms: int) -> int:
        """Return the progress in percent."""
        whole_ms = max(self.end_ms - self.began_ms, 1)
        return min(99, 100 * (now_ms - self.began_ms) // whole_ms)


class FakeUpstream:
    """An upstream with a lease and a fencing token.

    Runs end when the lease expires. A run that has ended or was stopped, or an older
    run of the same task, cannot start any more.

    Attributes:
        id: Name that it gives itself; a crash keeps it.
    """

    def __init__(self, name: str, cores: int) -> None:
        self.name = name
        self.id = name
        self.capacity = runmessages.Resources(cores * 1000, 65_536, 0)
        self.incarnation_number = 1
        self.fence = 0
        self.runs: dict[str, FakeRun] = {}
        self.ends: list[tuple[int, runevents.EndedRun]] = []
        self.barred: collections.Counter[str] = collections.Counter()
        self.lease_ms = 0
        self._count = 0

    @property
    def incarnation(self) -> str:
        return f"{self.id}@{self.incarnation_number}"

    def crash(self) -> None:
        self.incarnation_number += 1
        self.fence = 0
        self.runs.clear()
        self.ends.clear()
        self.barred.clear()
        self._count = 0

    def advance(self, now_ms: int) -> None:
        if now_ms > self.lease_ms:
            for run in list(self.runs.values()):
                self._end(run, "lapsed")
        for run in list(self.runs.values()):
            if now_ms >= run.end_ms:
                self._end(run, "failed" if run.fails else "done")

    def start(self, fence, name, until_ms, duration_ms, fails, now_ms):
        if fence < self.fence:
            return runevents.Answer.UNHEALTHY
        self.fence = fence
        if name.task in self.runs and self.runs[name.task].name == name:
            return runevents.Answer.ACCEPTED
        if name.task in self.runs or name.run <= self.barred[name.task]:
            return runevents.Answer.STALE
        if now_ms > until_ms:
            return runevents.Answer.LATE
        self.lease_ms = max(self.lease_ms, until_ms)
        self.runs[name.task] = FakeRun(name, now_ms + duration_ms, fails, now_ms)
        return runevents.Answer.ACCEPTED

    def stop(self, fence, name):
        if fence < self.fence:
            return
        self.fence = fence
        self.barred[name.task] = max(self.barred[name.task], name.run)
        run = self.runs.get(name.task)
        if run is not None and run.name.run <= name.run:
            self._end(run, "stopped")

    def renew_lease(self, fence, last_end, until_ms, now_ms):
        if fence < self.fence:
            return None
        self.fence = fence
        self.lease_ms = max(self.lease_ms, min(until_ms, now_ms + LEASE_MS))
        self.ends = [item for item in self.ends if item[0] > last_end]
        running = tuple(
            runevents.ListedRun(run.name, "", run.read_percent(now_ms))
            for run in self.runs.values()
        )
        return running, tuple(self.ends)

    def _end(self, run, how) -> None:
        del self.runs[run.name.task]
        self.barred[run.name.task] = max(self.barred[run.name.task], run.name.run)
        self._count += 1
        self.ends.append((self._count, runevents.EndedRun(run.name, how, "")))
