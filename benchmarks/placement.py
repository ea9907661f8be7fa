"""CPU time of a gateway's decisions on jobs with resource needs, by number of sidecars.

The dispatcher runs alone, without links. A submission, a report that ends a run, and a
pass over a full queue are measured, at sizes up to the one expected in two years.
"""

from __future__ import annotations

import random
import time

import attrs

from amaranthspar import effects
from amaranthspar.scheduling import dispatcher, jobevents, jobs
from amaranthspar.schema import runmessages, viewmessages
from benchmarks import fits, outcomes, trials

SIZES = (10, 60, 160, 600, 2_500)
SERVICE = "recalculate"
CAPACITY = runmessages.Resources(64_000, 262_144, 0)
NEEDS = runmessages.Resources(10_000, 1_024, 0)
RUNS = 3_000
QUEUE_JOBS = 1_000
PASSES = 200
WARM_UP_MS = 2_000
TICK_MS = 20
PASS_TARGET_MS = {160: 2.0, 2_500: 4.0}
DEADLINE_MS = 600_000
RELEASES = ((20, 2_000), (90, 9_000), (300, 20_000), (1_500, 60_000))
"""Releases that a sidecar reports, as time in ms and thousandths of a core."""


@attrs.frozen(slots=True)
class Costs:
    """CPU time at one size.

    Attributes:
        sidecars: Number of sidecars of the service.
        submission_us: Time for a submission with its placement in us.
        report_us: Time for a report that ends a run in us.
        pass_ms: Time in ms for a pass over a queue of 1,000 jobs for which there is
            no free capacity.
        mixed_ms: The same with tasks of many sizes, and sidecars that report releases.
        idle_messages: Messages that an idle gateway sends in a second.
    """

    sidecars: int
    submission_us: float
    report_us: float
    pass_ms: float
    mixed_ms: float
    idle_messages: int


class Gateway:
    """A dispatcher with simulated sidecars, which answer at once.

    Args:
        count: Number of sidecars.
        seed: Seed of the dispatcher's random choices.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.dispatcher = dispatcher.Dispatcher(random.Random(seed))
        self.now_ms = 1_000
        self.free = CAPACITY
        self.releases: list[runmessages.Release] = []
        self._number = 0
        self._spent_s = 0.0
        peers = tuple(
            viewmessages.Peer(
                f"s{number}", "sidecar", 1, f"s{number}:1", SERVICE, "", False
            )
            for number in range(count)
        )
        self.answer_requests(self.step(jobevents.Found(peers, frozenset())))

    def step(self, event: jobevents.Event) -> list[jobevents.Effect]:
        """Handle an event, measure its CPU time, and return its effects."""
        began_s = time.process_time()
        produced = self.dispatcher.step(event, self.now_ms)
        self._spent_s += time.process_time() - began_s
        return produced

    def pop_spent_ms(self) -> float:
        """Return the CPU time in ms since the last call of this method."""
        spent_s, self._spent_s = self._spent_s, 0.0
        return spent_s * 1000

    def receive_reports(
        self, name: str, *reports: runmessages.RunReport, started: int = 0
    ) -> list[jobevents.Effect]:
        """Deliver a sidecar's reports with its free capacity, and return the effects.

        Args:
            name: Process name of the sidecar.
            reports: Reports of runs.
            started: Number of the last start message that the sidecar received.
        """
        self._number += 1
        room = runmessages.Room(
            self._number,
            started,
            "u@1",
            SERVICE,
            "",
            [],
            CAPACITY,
            self.free,
            False,
            releases=self.releases,
        )
        body = runmessages.RunReports(list(reports), room)
        return self.step(jobevents.Heard(name, 1, f"{name}:1", body))

    def answer_requests(self, produced: list[jobevents.Effect]) -> int:
        """Answer each request for reports among the effects, and return their number.

        Args:
            produced: Effects of the dispatcher.
        """
        names = [
            item.peer.partition(":")[0]
            for item in produced
            if isinstance(item, effects.Send)
            and isinstance(item.message, runmessages.KeepRuns)
        ]
        for name in names:
            sidecar = self.dispatcher.fleet.sidecars[name]
            self.answer_requests(self.receive_reports(name, started=sidecar.started))
        return len(names)

    def advance(self, time_ms: int) -> int:
        """Let a time in ms pass, and return the number of requests for reports."""
        count = 0
        for _ in range(0, time_ms, TICK_MS):
            self.now_ms += TICK_MS
            count += self.answer_requests(self.step(jobevents.Tick()))
        return count


async def run(options: trials.Options) -> outcomes.Outcome:
    """Measure the decisions at each size.

    Args:
        options: Options of the run.
    """
    outcome = outcomes.Outcome("placement", options.seed, options.seconds)
    costs = [_measure(size, options.seed) for size in SIZES]
    headers = (
        "sidecars",
        "submission us",
        "report us",
        "pass at a full queue ms",
        "pass with releases ms",
        "idle messages/s",
    )
    rows: list[tuple[object, ...]] = [attrs.astuple(item) for item in costs]
    outcome.tables.append(outcomes.Table("Decisions", headers, rows))
    sizes = [float(item.sidecars) for item in costs]
    for label, values in (
        ("Submission us", [item.submission_us for item in costs]),
        ("Report us", [item.report_us for item in costs]),
        ("Pass ms", [item.pass_ms for item in costs]),
        ("Pass with releases ms", [item.mixed_ms for item in costs]),
    ):
        fit = fits.fit_line(sizes, values, relative=True)
        outcome.notes.append(f"{label} by sidecars: {fit}.")
    for item in costs:
        target = PASS_TARGET_MS.get(item.sidecars)
        if target is None:
            continue
        for label, value in (
            ("at a full queue", item.pass_ms),
            ("with releases", item.mixed_ms),
        ):
            name = f"pass {label}, {item.sidecars} sidecars, ms"
            outcome.measures.append(outcomes.Measure(name, value, target))
    return outcome


def _measure(size: int, seed: int) -> Costs:
    gateway = Gateway(size, seed)
    gateway.advance(WARM_UP_MS)
    idle = gateway.advance(1_000)
    gateway.pop_spent_ms()
    submission_ms, report_ms = _measure_runs(gateway)
    return Costs(
        size,
        1_000 * submission_ms / RUNS,
        1_000 * report_ms / RUNS,
        _measure_passes(gateway, is_mixed=False),
        _measure_passes(Gateway(size, seed), is_mixed=True),
        idle,
    )


def _measure_runs(gateway: Gateway) -> tuple[float, float]:
    """Return the total times in ms for submissions and for the reports that end them."""
    submission_ms = report_ms = 0.0
    for number in range(RUNS):
        gateway.pop_spent_ms()
        produced = gateway.step(jobevents.Submit(_build_request(f"r{number}", 1)))
        submission_ms += gateway.pop_spent_ms()
        for item in produced:
            if not isinstance(item, effects.Send):
                continue
            if not isinstance(item.message, runmessages.StartRuns):
                continue
            start = item.message
            done = runmessages.RunReport(start.orders[0].name, "done", "", 100, 100)
            name = item.peer.partition(":")[0]
            gateway.pop_spent_ms()
            gateway.receive_reports(name, done, started=start.number)
            report_ms += gateway.pop_spent_ms()
        if number % 10 == 0:
            gateway.advance(TICK_MS)
    return submission_ms, report_ms


def _measure_passes(gateway: Gateway, is_mixed: bool) -> float:
    """Return the mean time in ms of a pass over waiting jobs without free capacity.

    Args:
        gateway: Gateway with empty queues.
        is_mixed: Whether tasks are of many sizes and sidecars report releases.
    """
    gateway.free = runmessages.Resources(1_000, 1_024, 0)
    if is_mixed:
        gateway.releases = [
            runmessages.Release(after_ms, runmessages.Resources(cpu_millis, 8_192, 0))
            for after_ms, cpu_millis in RELEASES
        ]
    gateway.advance(WARM_UP_MS)
    for number in range(QUEUE_JOBS):
        # Inserted directly into the queue, as admission would reject them.
        request = _build_request(f"q{number}", 4)
        if is_mixed:
            request = _build_mixed_request(f"q{number}", number)
        job = jobs.build_job(request, gateway.now_ms)
        job.start_by_ms = job.end_by_ms = gateway.now_ms + DEADLINE_MS
        gateway.dispatcher.jobs[request.id] = job
        gateway.dispatcher.waiting.insert(gateway.dispatcher.build_entry(job))
    gateway.advance(WARM_UP_MS)
    gateway.pop_spent_ms()
    names = [item.name for item in gateway.dispatcher.fleet.list_members()]
    for number in range(PASSES):
        # Each report has slightly more free capacity, which triggers another pass.
        gateway.free = runmessages.Resources(1_000 + number, 1_024, 0)
        gateway.receive_reports(names[number % len(names)])
    return gateway.pop_spent_ms() / PASSES


def _build_request(name: str, tasks: int) -> jobs.Request:
    queue = jobs.Queue("recalculate", SERVICE, 0, 3, 1.6, 60)
    return jobs.Request(name, queue, "spec", (jobs.Step(tasks, NEEDS, 100),))


def _build_mixed_request(name: str, number: int) -> jobs.Request:
    """Build a job of one of many sizes.

    Needs fall from each job to the next, so that a pass can't rule out one by another.
    """
    cpu_millis = max(2_000, 11_000 - 40 * (number % 64) * 3)
    needs = runmessages.Resources(cpu_millis, 1_024, 0)
    queue = jobs.Queue("recalculate", SERVICE, 0, 3, 1.6, 60)
    step = jobs.Step(4, needs, 100 + 7 * (number % 64))
    return jobs.Request(name, queue, "spec", (step,))
