"""Processor time of a gateway's decisions on jobs with needs, by the number of sidecars.

The pure decisions run alone, without links: a submission, a report that ends a run, and
a pass over a full queue, at sizes up to that of two years.
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
STEP_MS = 20
PASS_TARGET_MS = {160: 2.0, 2_500: 4.0}
PATIENT_MS = 600_000


@attrs.frozen(slots=True)
class Costs:
    """Processor time at one size.

    Attributes:
        sidecars: Sidecars of the service.
        submission_us: Time of a submission with its placement in us.
        report_us: Time of a report that ends a run in us.
        pass_ms: Time of a pass over a queue of 1,000 jobs without room in ms.
        idle_messages: Messages of an idle gateway in a second.
    """

    sidecars: int
    submission_us: float
    report_us: float
    pass_ms: float
    idle_messages: int


class Gateway:
    """A dispatcher whose sidecars answer at once.

    Args:
        count: Number of sidecars.
        seed: Seed of the lot.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.dispatcher = dispatcher.Dispatcher(random.Random(seed))
        self.now_ms = 1_000
        self.free = CAPACITY
        self._number = 0
        self._spent_s = 0.0
        peers = tuple(
            viewmessages.Peer(
                f"s{number}", "sidecar", 1, f"s{number}:1", SERVICE, "", False
            )
            for number in range(count)
        )
        self.answer(self.step(jobevents.Found(peers, frozenset())))

    def step(self, event: jobevents.Event) -> list[jobevents.Effect]:
        """Take an event, and add its processor time to what was spent."""
        began_s = time.process_time()
        found = self.dispatcher.step(event, self.now_ms)
        self._spent_s += time.process_time() - began_s
        return found

    def take_spent_ms(self) -> float:
        """Return the processor time spent since the last call in ms."""
        spent_s, self._spent_s = self._spent_s, 0.0
        return spent_s * 1000

    def hear(
        self, name: str, *reports: runmessages.RunReport, started: int = 0
    ) -> list[jobevents.Effect]:
        """Hear a sidecar."""
        self._number += 1
        room = runmessages.Room(
            self._number, started, "u@1", SERVICE, "", [], CAPACITY, self.free, False
        )
        body = runmessages.RunReports(list(reports), room)
        return self.step(jobevents.Heard(name, 1, f"{name}:1", body))

    def answer(self, found: list[jobevents.Effect]) -> int:
        """Let the sidecars that were asked state their room, and count them."""
        asked = [
            item.peer.partition(":")[0]
            for item in found
            if isinstance(item, effects.Send)
            and isinstance(item.message, runmessages.KeepRuns)
        ]
        for name in asked:
            known = self.dispatcher.fleet.sidecars[name]
            self.answer(self.hear(name, started=known.started))
        return len(asked)

    def wait(self, time_ms: int) -> int:
        """Let time pass, and return how many messages went to sidecars."""
        count = 0
        for _ in range(0, time_ms, STEP_MS):
            self.now_ms += STEP_MS
            count += self.answer(self.step(jobevents.Tick()))
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
        "idle messages/s",
    )
    rows: list[tuple[object, ...]] = [attrs.astuple(item) for item in costs]
    outcome.tables.append(outcomes.Table("Decisions", headers, rows))
    sizes = [float(item.sidecars) for item in costs]
    for label, values in (
        ("Submission us", [item.submission_us for item in costs]),
        ("Report us", [item.report_us for item in costs]),
        ("Pass ms", [item.pass_ms for item in costs]),
    ):
        fit = fits.fit_line(sizes, values, relative=True)
        outcome.notes.append(f"{label} by sidecars: {fit}.")
    for item in costs:
        target = PASS_TARGET_MS.get(item.sidecars)
        name = f"pass at a full queue, {item.sidecars} sidecars, ms"
        if target is not None:
            outcome.measures.append(outcomes.Measure(name, item.pass_ms, target))
    return outcome


def _measure(size: int, seed: int) -> Costs:
    gateway = Gateway(size, seed)
    gateway.wait(WARM_UP_MS)
    idle = gateway.wait(1_000)
    gateway.take_spent_ms()
    submission_ms, report_ms = _measure_runs(gateway)
    return Costs(
        size,
        1_000 * submission_ms / RUNS,
        1_000 * report_ms / RUNS,
        _measure_passes(gateway),
        idle,
    )


def _measure_runs(gateway: Gateway) -> tuple[float, float]:
    """Return the time of some submissions and of the reports that end them in ms."""
    submission_ms = report_ms = 0.0
    for number in range(RUNS):
        gateway.take_spent_ms()
        found = gateway.step(jobevents.Submit(_build_request(f"r{number}", 1)))
        submission_ms += gateway.take_spent_ms()
        for item in found:
            if not isinstance(item, effects.Send):
                continue
            if not isinstance(item.message, runmessages.StartRuns):
                continue
            start = item.message
            done = runmessages.RunReport(start.orders[0].name, "done", "", 100, 100)
            name = item.peer.partition(":")[0]
            gateway.take_spent_ms()
            gateway.hear(name, done, started=start.number)
            report_ms += gateway.take_spent_ms()
        if number % 10 == 0:
            gateway.wait(STEP_MS)
    return submission_ms, report_ms


def _measure_passes(gateway: Gateway) -> float:
    """Return the time of a pass over many waiting jobs that find no room in ms."""
    gateway.free = runmessages.Resources(1_000, 1_024, 0)
    gateway.wait(WARM_UP_MS)
    for number in range(QUEUE_JOBS):
        # Queued by hand: admission would turn them away.
        request = _build_request(f"q{number}", 4)
        job = jobs.build_job(request, gateway.now_ms)
        job.start_by_ms = job.end_by_ms = gateway.now_ms + PATIENT_MS
        gateway.dispatcher.jobs[request.id] = job
        gateway.dispatcher.waiting.insert(gateway.dispatcher.build_entry(job))
    gateway.wait(WARM_UP_MS)
    gateway.take_spent_ms()
    names = [item.name for item in gateway.dispatcher.fleet.list_members()]
    for number in range(PASSES):
        # Each statement has a little more room, which is reason to look again.
        gateway.free = runmessages.Resources(1_000 + number, 1_024, 0)
        gateway.hear(names[number % len(names)])
    return gateway.take_spent_ms() / PASSES


def _build_request(name: str, tasks: int) -> jobs.Request:
    queue = jobs.Queue("recalculate", SERVICE, 0, 3, 1.6, 60)
    return jobs.Request(name, queue, "spec", (jobs.Step(tasks, NEEDS, 100),))
