"""Gateways and sidecars at the worst load, as pure decisions in virtual time.

The same seeded arrivals go through real dispatchers and keepers with fake upstreams.
Load patterns: more work than the upstreams can do for seconds, on top of lost upstreams,
at gateways with very different numbers of callers.
"""

from __future__ import annotations

import bisect
import collections
import functools
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from amaranthspar import effects
from amaranthspar.scheduling import dispatcher, jobevents, jobs, runevents, runmanager
from amaranthspar.schema import runmessages, viewmessages

SERVICE = "recalculate"
TICK_MS = 20
LIST_MS = 150
HOP_MS = (1, 2, 3)
"""One-way times of a message between hosts in ms, with its handling at both ends."""
CALL_MS = 2
LATE_SHARE = 0.2
LATE_FACTOR = 3.0
START_MS = 2_000


@attrs.frozen(slots=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Name of its queue.
        share: Share of all requests.
        tasks: Mean number of tasks.
        work_ms: Mean duration of a task.
        priority: Priority of its queue; 0 comes first.
        worth: Worth of a mean request.
    """

    name: str
    share: float
    tasks: int
    work_ms: int
    priority: int
    worth: float


KINDS = (
    Kind("lookup", 103, 8, 120, 0, 0.00485),
    Kind("recalculation", 18.8, 4, 1_800, 2, 0.0267),
    Kind("flag", 300, 2, 400, 1, 0.00167),
)


@attrs.frozen(slots=True)
class Plan:
    """What is played.

    Attributes:
        gateways: Number of gateways.
        sidecars: Number of sidecars, each beside an upstream of 64 cores or more.
        load: Work that arrives against what the upstreams can do, by second.
        lost: Share of the upstreams lost at some second, and that second.
        skew: Exponent of the callers' spread over gateways; 0 for an even one.
        task_millis: Mean processor need of a task.
        seed: Seed of arrivals and of every choice.
    """

    gateways: int
    sidecars: int
    load: tuple[float, ...]
    lost: tuple[float, int] = (0.0, 0)
    skew: float = 1.0
    task_millis: int = 5_700
    seed: int = 1


@attrs.define(slots=True)
class Tally:
    """What callers got.

    Attributes:
        owed: Worth of all requests.
        earned: Worth of those answered, less for late ones.
        counts: Requests by kind and outcome.
        messages: Messages between gateways and sidecars.
        starts: Runs started.
        refusals: Orders that a sidecar had no room for.
        held: Worth of requests admitted and refused after waiting.
    """

    owed: float = 0.0
    earned: float = 0.0
    counts: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )
    messages: int = 0
    starts: int = 0
    refusals: int = 0
    held: float = 0.0

    @property
    def share(self) -> float:
        """Worth earned against worth owed."""
        return self.earned / self.owed if self.owed else 0.0

    def count_served(self, kind: str) -> float:
        """Return the share of a kind's requests that were served at all."""
        found = {
            outcome: count
            for (name, outcome), count in self.counts.items()
            if name == kind
        }
        served = found.get("in aim", 0) + found.get("late", 0)
        return served / max(sum(found.values()), 1)


@attrs.define(slots=True)
class _Run:
    """A run on a fake upstream."""

    name: runmessages.RunName
    needs: runmessages.Resources
    began_ms: float
    end_ms: float


class _Upstream:
    """An upstream that guards its room."""

    def __init__(self, name: str, cores: int) -> None:
        self.name = name
        self.capacity = runmessages.Resources(cores * 1000, 262_144, 0)
        self.runs: dict[runmessages.RunName, _Run] = {}
        self.ends: list[runevents.EndedRun] = []
        self.is_lost = False

    def read_free(self) -> int:
        used = sum(run.needs.cpu_millis for run in self.runs.values())
        return self.capacity.cpu_millis - used


@attrs.define(slots=True, eq=False)
class _Request:
    """A request and what it is worth."""

    kind: Kind
    worth: float
    arrived_ms: float
    chain_ms: float


class Crowd:
    """A whole site in virtual time.

    Args:
        plan: What is played.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.tally = Tally()
        self.now_ms = 1_000.0
        self._chance = random.Random(plan.seed)
        self._count = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._durations: dict[str, float] = {}
        self._requests: dict[str, _Request] = {}
        self._gateways = [
            dispatcher.Dispatcher(random.Random(plan.seed * 1_000 + number))
            for number in range(plan.gateways)
        ]
        self._keepers: dict[str, runmanager.RunManager] = {}
        self._upstreams: dict[str, _Upstream] = {}
        for number in range(plan.sidecars):
            name = f"s{number}"
            cores = (64, 64, 96)[number % 3]
            self._upstreams[name] = _Upstream(name, cores)
            self._keepers[name] = runmanager.RunManager(SERVICE, "")
        self.cores = sum(
            item.capacity.cpu_millis / 1000 for item in self._upstreams.values()
        )

    def play(self) -> Tally:
        """Play the plan and return what callers got."""
        self._begin()
        self._plan_arrivals()
        share, second = self.plan.lost
        lost = self._chance.sample(
            sorted(self._upstreams), round(share * len(self._upstreams))
        )
        for name in lost:
            self._post(START_MS + second * 1_000, self._make_loss(name))
        end_ms = self.now_ms + START_MS + 1_000 * len(self.plan.load) + 8_000
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, act = heapq.heappop(self._heap)
            act()
        for request in self._requests.values():
            self._count_end(request, "unanswered")
        return self.tally

    def _post(self, delay_ms: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (self.now_ms + delay_ms, next(self._count), act))

    def _begin(self) -> None:
        peers = tuple(
            viewmessages.Peer(name, "sidecar", 1, f"{name}:1", SERVICE, "", False)
            for name in self._keepers
        ) + tuple(
            viewmessages.Peer(f"g{number}", "gateway", 1, f"g{number}:1", "", "", False)
            for number in range(len(self._gateways))
        )
        for name in self._keepers:
            self._state(name)
            self._post(
                self._chance.random() * LIST_MS,
                functools.partial(self._list_forever, name),
            )
            self._post(TICK_MS, functools.partial(self._tick_sidecar, name))
        for number in range(len(self._gateways)):
            self._step_gateway(number, jobevents.Found(peers, frozenset()))
            delay_ms = self._chance.random() * TICK_MS
            self._post(delay_ms, functools.partial(self._tick_gateway, number))

    def _plan_arrivals(self) -> None:
        chance = self._chance
        total = sum(kind.share for kind in KINDS)
        mean_work = (
            sum(kind.share / total * kind.tasks * kind.work_ms / 1000 for kind in KINDS)
            * self.plan.task_millis
            / 1000
        )
        weights = [
            1 / (number + 1) ** self.plan.skew for number in range(self.plan.gateways)
        ]
        bounds = list(itertools.accumulate(weights))
        shares = list(itertools.accumulate(kind.share / total for kind in KINDS))
        for second, load in enumerate(self.plan.load):
            rate = load * self.cores / mean_work
            at_s = chance.expovariate(rate)
            while at_s < 1:
                kind = KINDS[min(bisect.bisect(shares, chance.random()), 2)]
                gateway = bisect.bisect(bounds, chance.random() * bounds[-1])
                delay_ms = START_MS + (second + at_s) * 1_000
                self._post(delay_ms, self._make_arrival(kind, gateway))
                at_s += chance.expovariate(rate)

    def _make_arrival(self, kind: Kind, gateway: int) -> Callable[[], None]:
        name = f"{next(self._count):x}"
        chance = random.Random(f"{self.plan.seed}/{name}")
        tasks = max(1, round(kind.tasks * chance.lognormvariate(-0.08, 0.4)))
        work_ms = kind.work_ms * chance.lognormvariate(-0.08, 0.4)
        millis = round(self.plan.task_millis * chance.lognormvariate(-0.02, 0.2))
        estimate_ms = max(1, round(work_ms * chance.lognormvariate(-0.08, 0.4)))
        needs = runmessages.Resources(millis, 64, 0)
        queue = jobs.Queue(kind.name, SERVICE, kind.priority, 3, 1.6, 62)
        step = jobs.Step(tasks, needs, estimate_ms)
        request = jobs.Request(name, queue, "", (step,))
        mean = kind.tasks * kind.work_ms * self.plan.task_millis
        size = min(4.0, 0.3 + 0.7 * tasks * work_ms * millis / mean)

        def arrive() -> None:
            longest_ms = 0.0
            for index in range(tasks):
                duration_ms = work_ms * chance.lognormvariate(-0.01, 0.15)
                self._durations[f"{name}.0.0.{index}"] = duration_ms
                longest_ms = max(longest_ms, duration_ms)
            worth = kind.worth * size
            self._requests[name] = _Request(kind, worth, self.now_ms, longest_ms)
            self.tally.owed += worth
            self._step_gateway(gateway, jobevents.Submit(request))

        return arrive

    def _make_loss(self, name: str) -> Callable[[], None]:
        def lose() -> None:
            upstream = self._upstreams[name]
            upstream.is_lost = True
            upstream.runs.clear()

        return lose

    def _count_end(self, request: _Request, outcome: str) -> None:
        if outcome == "completed":
            took_ms = self.now_ms - request.arrived_ms
            objective_ms = 1.6 * request.chain_ms + 62
            if took_ms <= objective_ms:
                outcome = "in aim"
                self.tally.earned += request.worth
            elif took_ms <= LATE_FACTOR * objective_ms:
                outcome = "late"
                self.tally.earned += LATE_SHARE * request.worth
        self.tally.counts[request.kind.name, outcome] += 1

    # Gateways.

    def _tick_gateway(self, number: int) -> None:
        self._step_gateway(number, jobevents.Tick())
        self._post(TICK_MS, functools.partial(self._tick_gateway, number))

    def _step_gateway(self, number: int, event: jobevents.Event) -> None:
        for effect in self._gateways[number].step(event, round(self.now_ms)):
            match effect:
                case effects.Send(peer=peer, message=message):
                    name = peer.partition(":")[0]
                    self.tally.messages += 1
                    asked = runevents.Asked(
                        runevents.Sender(f"g{number}", 1, f"g{number}:1"),
                        message,  # type: ignore[arg-type]
                    )
                    delay_ms = self._chance.choice(HOP_MS)
                    self._post(delay_ms, functools.partial(self._ask, name, asked))
                case jobevents.JobEnded(job=job, outcome=outcome, reason=reason):
                    request = self._requests.pop(job)
                    if outcome is jobevents.Outcome.REFUSED and "waited" in reason:
                        self.tally.held += request.worth
                    self._count_end(request, outcome.value)

    # Sidecars.

    def _ask(self, name: str, asked: runevents.Asked) -> None:
        if not self._upstreams[name].is_lost:
            self._step_sidecar(name, asked)

    def _tick_sidecar(self, name: str) -> None:
        if self._upstreams[name].is_lost:
            return
        now_ms = round(self.now_ms)
        self._step_sidecar(name, runevents.Tick())
        due_ms = self._keepers[name].find_due_ms(now_ms)
        delay_ms = min(max(due_ms - now_ms, 1), TICK_MS)
        self._post(delay_ms, functools.partial(self._tick_sidecar, name))

    def _step_sidecar(self, name: str, event: runevents.Event) -> None:
        for effect in self._keepers[name].step(event, round(self.now_ms)):
            match effect:
                case runevents.SendReports(
                    gateway=gateway, address=address, reports=reports
                ):
                    self.tally.messages += 1
                    self.tally.refusals += sum(
                        report.reason == "no room" for report in reports.reports
                    )
                    heard = jobevents.Heard(name, 1, f"{name}:1", reports)
                    number = int(gateway[1:])
                    delay_ms = self._chance.choice(HOP_MS)
                    self._post(
                        delay_ms,
                        functools.partial(self._step_gateway, number, heard),
                    )
                    assert address
                case runevents.CallStart(order=order):
                    self._post(
                        CALL_MS,
                        functools.partial(self._start, name, order),
                    )
                case runevents.CallStop(name=run):
                    self._post(CALL_MS, functools.partial(self._stop, name, run))

    def _state(self, name: str) -> None:
        upstream = self._upstreams[name]
        known = runevents.UpstreamKnown("u@1", upstream.capacity, ("a",), False)
        self._step_sidecar(name, known)

    def _start(self, name: str, order: runmessages.RunOrder) -> None:
        upstream = self._upstreams[name]
        if upstream.is_lost:
            return
        answer = runevents.Answer.ACCEPTED
        if order.needs.cpu_millis > upstream.read_free():
            answer = runevents.Answer.NO_ROOM
        else:
            self.tally.starts += 1
            end_ms = self.now_ms + self._durations[order.name.task]
            run = _Run(order.name, order.needs, self.now_ms, end_ms)
            upstream.runs[order.name] = run
            self._post(end_ms - self.now_ms, functools.partial(self._finish, name, run))
        self._step_sidecar(name, runevents.StartAnswered(order.name, answer))

    def _finish(self, name: str, run: _Run) -> None:
        upstream = self._upstreams[name]
        if upstream.runs.pop(run.name, None) is None:
            return
        upstream.ends.append(runevents.EndedRun(run.name, "done", ""))
        self._post(CALL_MS, functools.partial(self._list, name))

    def _stop(self, name: str, run: runmessages.RunName) -> None:
        upstream = self._upstreams[name]
        if upstream.is_lost:
            return
        was_running = upstream.runs.pop(run, None) is not None
        self._step_sidecar(name, runevents.StopAnswered(run, runevents.Answer.ACCEPTED))
        if was_running:
            upstream.ends.append(runevents.EndedRun(run, "stopped", ""))
            self._list(name)

    def _list_forever(self, name: str) -> None:
        self._list(name)
        self._post(LIST_MS, functools.partial(self._list_forever, name))

    def _list(self, name: str) -> None:
        upstream = self._upstreams[name]
        if upstream.is_lost:
            return
        running = tuple(
            runevents.ListedRun(run.name, "", self._read_percent(run))
            for run in upstream.runs.values()
        )
        ends, upstream.ends = tuple(upstream.ends), []
        # Asked before any run that it does not name yet was confirmed.
        listed = runevents.Listed(round(self.now_ms) - CALL_MS, running, ends)
        self._step_sidecar(name, listed)

    def _read_percent(self, run: _Run) -> int:
        whole_ms = max(run.end_ms - run.began_ms, 1)
        return min(99, int(100 * (self.now_ms - run.began_ms) / whole_ms))
