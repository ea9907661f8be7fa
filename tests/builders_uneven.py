"""Replay of jobs on upstreams of different speed and racks, in virtual time."""

import heapq
import math
import random

import attrs

from amaranthspar import effects
from amaranthspar.scheduling import (
    dispatcher,
    jobevents,
    jobs,
    resources,
    slownessmeter,
)
from amaranthspar.schema import runmessages
from tests import builders_scheduling as builders

TICK_MS = 10
DELAY_MS = 2
"""Time of a message on its way in ms."""
REPORT_INTERVAL_MS = 200
DECLARED_ERROR = 0.4
LONG_SHARE = 0.03
LONG_FACTOR = 7


@attrs.define
class Kind:
    """Jobs of one queue.

    `rate` is in jobs/s, `duration_ms` that of a task at speed 1, `rack_share` the share
    of the jobs whose data is in rack r0.
    """

    name: str
    rate: float
    tasks: int
    duration_ms: int
    cores: float
    priority: int = 0
    rack_share: float = 0.0


@attrs.define
class Run:
    """A run, its duration and the gateway that placed it."""

    order: runmessages.RunOrder
    gateway: int
    began_ms: int
    duration_ms: int


class Host:
    """An upstream with its sidecar."""

    def __init__(self, name: str, speed: float, cores: int, rack: str) -> None:
        self.name = name
        self.speed = speed
        self.rack = rack
        self.capacity = runmessages.Resources(cores * 1000, 65_536, 0)
        self.meter = slownessmeter.SlownessMeter()
        self.meter.set_incarnation("u@1")
        self.runs: dict[str, Run] = {}
        self.started: dict[int, int] = {}
        self.number = 0
        self.busy_ms = 0.0
        self.reports_slowness = True
        self.stalled = False
        self.fails = False
        self.upstream = "u@1"

    def read_free(self):
        used = resources.total(run.order.needs for run in self.runs.values())
        return resources.subtract(self.capacity, used)

    def build_room(self, gateway: int) -> runmessages.Room:
        self.number += 1
        return builders.build_room(
            self.number,
            self.upstream,
            started=self.started.get(gateway, 0),
            capacity=self.capacity.cpu_millis / 1000,
            free=self.read_free().cpu_millis / 1000,
            labels=["a", self.rack],
            slowness_permille=self.meter.permille if self.reports_slowness else 0,
        )


class Replay:
    """Gateways and upstreams that serve jobs, and what became of them.

    Args:
        hosts: Upstreams.
        kinds: Queues with their load.
        gateways: Number of gateways, among which jobs are distributed at random.
        spread: Ratio of a duration away from the rack of the data.
        seed: Seed of the load.
    """

    def __init__(self, hosts, kinds, gateways=2, spread=3.0, seed=1, **options) -> None:
        self.now_ms = 1_000
        self.hosts = {item.name: item for item in hosts}
        self.kinds = kinds
        self.spread = spread
        self.gateways = [
            dispatcher.Dispatcher(random.Random(seed * 100 + number), **options)
            for number in range(gateways)
        ]
        self.on_time: dict[str, int] = {}
        self.submitted: dict[str, int] = {}
        self.places: dict[str, list[Host]] = {}
        self.held = 0
        self.since_ms = self.now_ms
        self._jobs: dict[str, tuple[Kind, int, float, str]] = {}
        self._chance = random.Random(seed)
        self._events: list[tuple[int, int, object]] = []
        self._count = 0
        peers = [builders.build_peer(name) for name in self.hosts]
        peers += [
            attrs.evolve(builders.build_peer(f"g{number}"), role="gateway")
            for number in range(gateways)
        ]
        for number in range(gateways):
            self.step(number, jobevents.Found(tuple(peers), frozenset()))
        self.post(0, self.tick)
        self.post(0, self.report_all)

    def post(self, delay_ms, action) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._count, action))

    def run(self, time_ms: int) -> None:
        """Let a time pass, with jobs that arrive at random."""
        until_ms = self.now_ms + time_ms
        for kind in self.kinds:
            self._schedule_job(kind, until_ms)
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = until_ms

    def finish(self) -> None:
        """Let the jobs end."""
        kinds, self.kinds = self.kinds, []
        self.run(5_000)
        self.kinds = kinds

    def restart_gateway(self, number: int, seed: int = 99) -> None:
        """Replace a gateway by one that knows nothing."""
        former = self.gateways[number]
        self.gateways[number] = dispatcher.Dispatcher(random.Random(seed))
        for host in self.hosts.values():
            host.started.pop(number, None)
            for task in [k for k, v in host.runs.items() if v.gateway == number]:
                del host.runs[task]
        del former
        peers = tuple(builders.build_peer(name) for name in self.hosts)
        self.step(number, jobevents.Found(peers, frozenset()))

    def _schedule_job(self, kind, until_ms) -> None:
        gap_ms = self._chance.expovariate(kind.rate) * 1000 if kind.rate else math.inf
        if self.now_ms + gap_ms > until_ms:
            return

        def arrive():
            self.submit(kind)
            self._schedule_job(kind, until_ms)

        self.post(round(gap_ms), arrive)

    def submit(self, kind, gateway=None) -> str:
        """Submit a job of a kind to a gateway."""
        self._count += 1
        name = f"j{self._count}"
        error = self._chance.uniform(1 - DECLARED_ERROR, 1 + DECLARED_ERROR)
        rack = "r0" if self._chance.random() < kind.rack_share else ""
        step = builders.build_step(
            kind.tasks, kind.cores, round(kind.duration_ms * error), data_rack=rack
        )
        queue = builders.build_queue(name=kind.name, priority=kind.priority)
        request = jobs.Request(name, queue, "spec", (step,))
        objective_ms = 1.6 * kind.duration_ms + 60
        self._jobs[name] = kind, self.now_ms, objective_ms, rack
        self.submitted[kind.name] = self.submitted.get(kind.name, 0) + 1
        if gateway is None:
            gateway = self._chance.randrange(len(self.gateways))
        self.step(gateway, jobevents.Submit(request))
        return name

    def tick(self) -> None:
        for number in range(len(self.gateways)):
            self.step(number, jobevents.Tick())
        self.post(TICK_MS, self.tick)

    def report_all(self) -> None:
        for host in self.hosts.values():
            for number in range(len(self.gateways)):
                self.report(host, number, *self.list_progress(host, number))
        self.post(REPORT_INTERVAL_MS, self.report_all)

    def list_progress(self, host, gateway):
        """Return the reports of progress of a gateway's runs on a host."""
        return [
            runmessages.RunReport(
                run.order.name,
                "running",
                elapsed_ms=self.now_ms - run.began_ms,
                percent=0
                if host.stalled
                else 100 * (self.now_ms - run.began_ms) // run.duration_ms,
            )
            for run in host.runs.values()
            if run.gateway == gateway and self.now_ms - run.began_ms >= 60
        ]

    def report(self, host, gateway, *reports) -> None:
        body = runmessages.RunReports(list(reports), host.build_room(gateway))
        event = jobevents.Heard(host.name, 1, f"{host.name}:1", body)
        self.post(DELAY_MS, lambda: self.step(gateway, event))

    def step(self, gateway, event) -> None:
        for effect in self.gateways[gateway].step(event, self.now_ms):
            match effect:
                case effects.Send(peer=peer, message=runmessages.StartRuns() as start):
                    host = self.hosts[peer.partition(":")[0]]
                    self.post(
                        DELAY_MS, lambda h=host, s=start: self.start(h, gateway, s)
                    )
                case effects.Send(peer=peer, message=runmessages.StopRuns() as stop):
                    host = self.hosts[peer.partition(":")[0]]
                    self.post(DELAY_MS, lambda h=host, s=stop: self.stop(h, gateway, s))
                case jobevents.JobEnded(outcome=jobevents.Outcome.COMPLETED):
                    kind, arrived_ms, objective_ms, _ = self._jobs[effect.job]
                    took_ms = self.now_ms - arrived_ms
                    if arrived_ms >= self.since_ms and took_ms <= objective_ms:
                        self.on_time[kind.name] = self.on_time.get(kind.name, 0) + 1
                case jobevents.LogRecord(event="run held"):
                    self.held += 1

    def restart_upstream(self, host) -> None:
        """Let another incarnation replace an upstream, whose runs are lost."""
        host.upstream = f"u@{int(host.upstream[2:]) + 1}"
        host.meter.set_incarnation(host.upstream)
        runs, host.runs = list(host.runs.values()), {}
        for number in range(len(self.gateways)):
            reports = [
                runmessages.RunReport(run.order.name, "lost", "upstream has restarted")
                for run in runs
                if run.gateway == number
            ]
            self.report(host, number, *reports)

    def start(self, host, gateway, start) -> None:
        host.started[gateway] = start.number
        for order in start.orders:
            if order.name.task in host.runs:
                continue
            if start.upstream != host.upstream:
                refused = runmessages.RunReport(
                    order.name, "refused", "another upstream"
                )
                self.report(host, gateway, refused)
                continue
            if not resources.fits(order.needs, host.read_free()):
                refused = runmessages.RunReport(order.name, "refused", "no room")
                self.report(host, gateway, refused)
                continue
            kind, _, _, rack = self._jobs[order.name.task.partition(".")[0]]
            duration_ms = kind.duration_ms / host.speed
            if rack and rack != host.rack:
                duration_ms *= self.spread
            if self._chance.random() < LONG_SHARE:
                duration_ms *= LONG_FACTOR
            if host.fails:
                duration_ms = 20
            run = Run(order, gateway, self.now_ms, max(1, round(duration_ms)))
            host.runs[order.name.task] = run
            host.busy_ms += run.duration_ms * order.needs.cpu_millis / 1000
            self.places.setdefault(kind.name, []).append(host)
            self.report(host, gateway, runmessages.RunReport(order.name, "started"))
            if not host.stalled:
                self.post(run.duration_ms, lambda h=host, r=run: self.end(h, r))

    def stop(self, host, gateway, stop) -> None:
        for name in stop.names:
            run = host.runs.get(name.task)
            if run is not None and run.order.name == name:
                del host.runs[name.task]
                report = runmessages.RunReport(name, "stopped", "gateway asked")
                self.report(host, gateway, report)

    def end(self, host, run) -> None:
        if host.runs.get(run.order.name.task) is not run:
            return
        del host.runs[run.order.name.task]
        elapsed_ms = self.now_ms - run.began_ms
        if host.fails:
            self.report(
                host, run.gateway, runmessages.RunReport(run.order.name, "failed")
            )
            return
        host.meter.record_run(host.upstream, elapsed_ms, run.order.expected_ms)
        done = runmessages.RunReport(
            run.order.name, "done", elapsed_ms=elapsed_ms, percent=100
        )
        self.report(host, run.gateway, done)

    def read_share(self, kind: str) -> float:
        """Return the share of the jobs of a kind that ended within the objective."""
        return self.on_time.get(kind, 0) / max(self.submitted.get(kind, 0), 1)

    def read_slow_share(self, kind: str) -> float:
        """Return the share of the starts of a kind that were on slow upstreams."""
        places = self.places.get(kind, [])
        return sum(host.speed < 1 for host in places) / max(len(places), 1)

    def clear_counts(self) -> None:
        """Begin to count jobs and places anew."""
        self.on_time.clear()
        self.submitted.clear()
        self.places.clear()
        self.held = 0
        self.since_ms = self.now_ms
