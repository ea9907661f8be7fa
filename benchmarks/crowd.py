"""Simulation of gateways and sidecars under overload, in virtual time.

Seeded arrivals go through the real dispatchers and run managers, which are joined by
delayed messages to simulated upstreams. Scenarios combine seconds of more work than
the upstreams can do, loss of upstreams, and an uneven spread of callers over gateways.
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
LIST_INTERVAL_MS = 150
DELAY_CHOICES_MS = (1, 2, 3)
"""One-way delays of a message between hosts in ms, its handling at both ends included.
"""
UPSTREAM_CALL_MS = 2
LATE_VALUE_RATIO = 0.2
LATE_LIMIT_RATIO = 3.0
WARM_UP_MS = 2_000


@attrs.frozen(slots=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Name of its queue.
        weight: Relative frequency among all requests.
        tasks: Mean number of tasks of a request.
        work_ms: Mean run time of a task in ms.
        priority: Priority of its queue; 0 comes first.
        value: Value of serving a request of mean size.
    """

    name: str
    weight: float
    tasks: int
    work_ms: int
    priority: int
    value: float


KINDS = (
    Kind("lookup", 103, 8, 120, 0, 0.00485),
    Kind("recalculation", 18.8, 4, 1_800, 2, 0.0267),
    Kind("flag", 300, 2, 400, 1, 0.00167),
)


@attrs.frozen(slots=True)
class Scenario:
    """Parameters of a simulation.

    Attributes:
        gateways: Number of gateways.
        sidecars: Number of sidecars, each with an upstream of 64 cores or more.
        load: Arriving work in each second, as a ratio of the upstreams' capacity.
        lost: Share of the upstreams that is lost, and the second at which it is.
        skew: Exponent of the Zipf distribution of arrivals over gateways; 0 for an
            even one.
        task_cpu_millis: Mean CPU need of a task in thousandths of a core.
        seed: Seed of the arrivals and of all random choices.
    """

    gateways: int
    sidecars: int
    load: tuple[float, ...]
    lost: tuple[float, int] = (0.0, 0)
    skew: float = 1.0
    task_cpu_millis: int = 5_700
    seed: int = 1


@attrs.define(slots=True)
class Results:
    """Results of a simulation.

    Attributes:
        offered_value: Value of all requests.
        earned_value: Value of the requests served, reduced for late ones.
        counts: Requests by kind and outcome.
        messages: Messages between gateways and sidecars.
        starts: Runs started.
        no_room_reports: Reports that a run was refused for lack of free capacity.
        rejected_value: Value of the requests that were admitted and later rejected
            because they had waited too long.
    """

    offered_value: float = 0.0
    earned_value: float = 0.0
    counts: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )
    messages: int = 0
    starts: int = 0
    no_room_reports: int = 0
    rejected_value: float = 0.0

    @property
    def value_ratio(self) -> float:
        """Earned value as a ratio of the offered value."""
        return self.earned_value / self.offered_value if self.offered_value else 0.0

    def measure_served_share(self, kind: str) -> float:
        """Return the share of a kind's requests that were served, in time or late."""
        found = {
            outcome: count
            for (name, outcome), count in self.counts.items()
            if name == kind
        }
        served = found.get("in aim", 0) + found.get("late", 0)
        return served / max(sum(found.values()), 1)


@attrs.define(slots=True)
class _Run:
    """A run on a simulated upstream."""

    name: runmessages.RunName
    needs: runmessages.Resources
    started_ms: float
    end_ms: float


class _Upstream:
    """A simulated upstream, which refuses runs that exceed its free capacity."""

    def __init__(self, name: str, cores: int) -> None:
        self.name = name
        self.capacity = runmessages.Resources(cores * 1000, 262_144, 0)
        self.runs: dict[runmessages.RunName, _Run] = {}
        self.ended_runs: list[runevents.EndedRun] = []
        self.is_lost = False

    def measure_free_cpu(self) -> int:
        used = sum(run.needs.cpu_millis for run in self.runs.values())
        return self.capacity.cpu_millis - used


@attrs.define(slots=True, eq=False)
class Request:
    """A request that has not been answered yet."""

    name: str
    kind: Kind
    value: float
    arrived_ms: float
    longest_task_ms: float


class Simulation:
    """Simulated gateways, sidecars and upstreams of a site.

    Args:
        scenario: Parameters of the simulation.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.results = Results()
        self.now_ms = 1_000.0
        self._rng = random.Random(scenario.seed)
        self._serial = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._durations: dict[str, float] = {}
        self._requests: dict[str, Request] = {}
        self._gateways = [
            dispatcher.Dispatcher(random.Random(scenario.seed * 1_000 + number))
            for number in range(scenario.gateways)
        ]
        self._run_managers: dict[str, runmanager.RunManager] = {}
        self._upstreams: dict[str, _Upstream] = {}
        for number in range(scenario.sidecars):
            name = f"s{number}"
            cores = (64, 64, 96)[number % 3]
            self._upstreams[name] = _Upstream(name, cores)
            self._run_managers[name] = runmanager.RunManager(SERVICE, "")
        self.cores = sum(
            item.capacity.cpu_millis / 1000 for item in self._upstreams.values()
        )

    def run(self) -> Results:
        """Run the scenario and return its results."""
        self._start_processes()
        self._schedule_arrivals()
        share, second = self.scenario.lost
        lost = self._rng.sample(
            sorted(self._upstreams), round(share * len(self._upstreams))
        )
        for name in lost:
            self._schedule(WARM_UP_MS + second * 1_000, self._make_upstream_loss(name))
        end_ms = self.now_ms + WARM_UP_MS + 1_000 * len(self.scenario.load) + 8_000
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, callback = heapq.heappop(self._events)
            callback()
        for request in self._requests.values():
            self._count_outcome(request, "unanswered")
        return self.results

    def _schedule(self, delay_ms: float, callback: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (self.now_ms + delay_ms, next(self._serial), callback)
        )

    def _start_processes(self) -> None:
        peers = tuple(
            viewmessages.Peer(name, "sidecar", 1, f"{name}:1", SERVICE, "", False)
            for name in self._run_managers
        ) + tuple(
            viewmessages.Peer(f"g{number}", "gateway", 1, f"g{number}:1", "", "", False)
            for number in range(len(self._gateways))
        )
        for name in self._run_managers:
            self._announce_upstream(name)
            self._schedule(
                self._rng.random() * LIST_INTERVAL_MS,
                functools.partial(self._list_periodically, name),
            )
            self._schedule(TICK_MS, functools.partial(self._tick_sidecar, name))
        for number in range(len(self._gateways)):
            self._step_gateway(number, jobevents.Found(peers, frozenset()))
            delay_ms = self._rng.random() * TICK_MS
            self._schedule(delay_ms, functools.partial(self._tick_gateway, number))

    def _schedule_arrivals(self) -> None:
        rng = self._rng
        total = sum(kind.weight for kind in KINDS)
        mean_work = (
            sum(
                kind.weight / total * kind.tasks * kind.work_ms / 1000 for kind in KINDS
            )
            * self.scenario.task_cpu_millis
            / 1000
        )
        weights = [
            1 / (number + 1) ** self.scenario.skew
            for number in range(self.scenario.gateways)
        ]
        bounds = list(itertools.accumulate(weights))
        shares = list(itertools.accumulate(kind.weight / total for kind in KINDS))
        for second, load in enumerate(self.scenario.load):
            rate = load * self.cores / mean_work
            at_s = rng.expovariate(rate)
            while at_s < 1:
                kind = KINDS[min(bisect.bisect(shares, rng.random()), 2)]
                gateway = bisect.bisect(bounds, rng.random() * bounds[-1])
                delay_ms = WARM_UP_MS + (second + at_s) * 1_000
                self._schedule(delay_ms, self._make_arrival(kind, gateway))
                at_s += rng.expovariate(rate)

    def _make_arrival(self, kind: Kind, gateway: int) -> Callable[[], None]:
        name = f"{next(self._serial):x}"
        rng = random.Random(f"{self.scenario.seed}/{name}")
        tasks = max(1, round(kind.tasks * rng.lognormvariate(-0.08, 0.4)))
        work_ms = kind.work_ms * rng.lognormvariate(-0.08, 0.4)
        cpu_millis = round(
            self.scenario.task_cpu_millis * rng.lognormvariate(-0.02, 0.2)
        )
        estimate_ms = max(1, round(work_ms * rng.lognormvariate(-0.08, 0.4)))
        needs = runmessages.Resources(cpu_millis, 64, 0)
        queue = jobs.Queue(kind.name, SERVICE, kind.priority, 3, 1.6, 62)
        step = jobs.Step(tasks, needs, estimate_ms)
        request = jobs.Request(name, queue, "", (step,))
        mean = kind.tasks * kind.work_ms * self.scenario.task_cpu_millis
        size = min(4.0, 0.3 + 0.7 * tasks * work_ms * cpu_millis / mean)

        def arrive() -> None:
            longest_ms = 0.0
            for index in range(tasks):
                duration_ms = work_ms * rng.lognormvariate(-0.01, 0.15)
                self._durations[f"{name}.0.0.{index}"] = duration_ms
                longest_ms = max(longest_ms, duration_ms)
            value = kind.value * size
            self._requests[name] = Request(name, kind, value, self.now_ms, longest_ms)
            self.results.offered_value += value
            self._step_gateway(gateway, jobevents.Submit(request))

        return arrive

    def _make_upstream_loss(self, name: str) -> Callable[[], None]:
        def lose_upstream() -> None:
            upstream = self._upstreams[name]
            upstream.is_lost = True
            upstream.runs.clear()

        return lose_upstream

    def _count_outcome(self, request: Request, outcome: str) -> None:
        if outcome == "completed":
            response_ms = self.now_ms - request.arrived_ms
            objective_ms = 1.6 * request.longest_task_ms + 62
            if response_ms <= objective_ms:
                outcome = "in aim"
                self.results.earned_value += request.value
            elif response_ms <= LATE_LIMIT_RATIO * objective_ms:
                outcome = "late"
                self.results.earned_value += LATE_VALUE_RATIO * request.value
        self.results.counts[request.kind.name, outcome] += 1

    # Events and effects of gateways.

    def _tick_gateway(self, number: int) -> None:
        self._step_gateway(number, jobevents.Tick())
        self._schedule(TICK_MS, functools.partial(self._tick_gateway, number))

    def _step_gateway(self, number: int, event: jobevents.Event) -> None:
        for effect in self._gateways[number].step(event, round(self.now_ms)):
            match effect:
                case effects.Send(peer=peer, message=message):
                    name = peer.partition(":")[0]
                    self.results.messages += 1
                    received = runevents.Asked(
                        runevents.Sender(f"g{number}", 1, f"g{number}:1"),
                        message,  # type: ignore[arg-type]
                    )
                    delay_ms = self._rng.choice(DELAY_CHOICES_MS)
                    self._schedule(
                        delay_ms, functools.partial(self._deliver, name, received)
                    )
                case jobevents.JobEnded(job=job, outcome=outcome, reason=reason):
                    request = self._requests.pop(job)
                    if outcome is jobevents.Outcome.REFUSED and "waited" in reason:
                        self.results.rejected_value += request.value
                    self._count_outcome(request, outcome.value)

    # Events and effects of sidecars.

    def _deliver(self, name: str, received: runevents.Asked) -> None:
        if not self._upstreams[name].is_lost:
            self._step_sidecar(name, received)

    def _tick_sidecar(self, name: str) -> None:
        if self._upstreams[name].is_lost:
            return
        now_ms = round(self.now_ms)
        self._step_sidecar(name, runevents.Tick())
        due_ms = self._run_managers[name].find_due_ms(now_ms)
        delay_ms = min(max(due_ms - now_ms, 1), TICK_MS)
        self._schedule(delay_ms, functools.partial(self._tick_sidecar, name))

    def _step_sidecar(self, name: str, event: runevents.Event) -> None:
        for effect in self._run_managers[name].step(event, round(self.now_ms)):
            match effect:
                case runevents.SendReports(
                    gateway=gateway, address=address, reports=reports
                ):
                    self.results.messages += 1
                    self.results.no_room_reports += sum(
                        report.reason == "no room" for report in reports.reports
                    )
                    received = jobevents.Heard(name, 1, f"{name}:1", reports)
                    number = int(gateway[1:])
                    delay_ms = self._rng.choice(DELAY_CHOICES_MS)
                    self._schedule(
                        delay_ms,
                        functools.partial(self._step_gateway, number, received),
                    )
                    assert address
                case runevents.CallStart(order=order):
                    self._schedule(
                        UPSTREAM_CALL_MS,
                        functools.partial(self._start_run, name, order),
                    )
                case runevents.CallStop(name=run):
                    self._schedule(
                        UPSTREAM_CALL_MS, functools.partial(self._stop_run, name, run)
                    )

    def _announce_upstream(self, name: str) -> None:
        upstream = self._upstreams[name]
        event = runevents.UpstreamKnown("u@1", upstream.capacity, ("a",), False)
        self._step_sidecar(name, event)

    def _start_run(self, name: str, order: runmessages.RunOrder) -> None:
        upstream = self._upstreams[name]
        if upstream.is_lost:
            return
        answer = runevents.Answer.ACCEPTED
        if order.needs.cpu_millis > upstream.measure_free_cpu():
            answer = runevents.Answer.NO_ROOM
        else:
            self.results.starts += 1
            end_ms = self.now_ms + self._durations[order.name.task]
            run = _Run(order.name, order.needs, self.now_ms, end_ms)
            upstream.runs[order.name] = run
            self._schedule(
                end_ms - self.now_ms, functools.partial(self._finish_run, name, run)
            )
        self._step_sidecar(name, runevents.StartAnswered(order.name, answer))

    def _finish_run(self, name: str, run: _Run) -> None:
        upstream = self._upstreams[name]
        if upstream.runs.pop(run.name, None) is None:
            return
        upstream.ended_runs.append(runevents.EndedRun(run.name, "done", ""))
        self._schedule(UPSTREAM_CALL_MS, functools.partial(self._list_runs, name))

    def _stop_run(self, name: str, run: runmessages.RunName) -> None:
        upstream = self._upstreams[name]
        if upstream.is_lost:
            return
        was_running = upstream.runs.pop(run, None) is not None
        self._step_sidecar(name, runevents.StopAnswered(run, runevents.Answer.ACCEPTED))
        if was_running:
            upstream.ended_runs.append(runevents.EndedRun(run, "stopped", ""))
            self._list_runs(name)

    def _list_periodically(self, name: str) -> None:
        self._list_runs(name)
        self._schedule(
            LIST_INTERVAL_MS, functools.partial(self._list_periodically, name)
        )

    def _list_runs(self, name: str) -> None:
        upstream = self._upstreams[name]
        if upstream.is_lost:
            return
        running = tuple(
            runevents.ListedRun(run.name, "", self._read_percent(run))
            for run in upstream.runs.values()
        )
        ended_runs, upstream.ended_runs = tuple(upstream.ended_runs), []
        # The list is stamped with the time of its request, which precedes the
        # confirmation of every run that it does not contain yet.
        listed = runevents.Listed(
            round(self.now_ms) - UPSTREAM_CALL_MS, running, ended_runs
        )
        self._step_sidecar(name, listed)

    def _read_percent(self, run: _Run) -> int:
        whole_ms = max(run.end_ms - run.started_ms, 1)
        return min(99, int(100 * (self.now_ms - run.started_ms) / whole_ms))
