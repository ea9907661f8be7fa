"""Work done and guarantees kept while processes are lost, and after their return."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

import attrs

from amaranthspar.upstreams import standin
from benchmarks import audit, driver, firms, fleet, ideal, outcomes, timing, trials

LOAD = 0.5
SETTLE_SECONDS = 4.0
AFTER_SECONDS = 10.0
WORK_TARGET = 0.9
LAST_START_TARGET_MS = 3000
RESEND = driver.Resend(400, 0.25, not_run=True)
REGIONS = ("127.0.0.1", "127.0.0.2")
DOMAINS = ("domain-1", "domain-2", "domain-3", "domain-4", "domain-5")
FAR_DOMAINS = DOMAINS[2:4]

Choice = Callable[[fleet.Fleet], list[str]]


@attrs.frozen(slots=True)
class Loss:
    """A loss of processes, or a partition between regions.

    Attributes:
        name: Name of the loss in the report.
        controllers: Number of controllers.
        domains: Failure domains that must not start tasks during the loss.
        choose_processes: Returns the names of the processes that get the signal;
            `None` starts a partition between the regions instead.
        upstreams: Numbers of further upstreams that must not start tasks.
        signal: Signal that is sent to the chosen processes.
        refusals: Greatest number of refusals allowed; `None` if it is only reported.
    """

    name: str
    controllers: int
    domains: tuple[str, ...] = ()
    choose_processes: Choice | None = None
    upstreams: tuple[int, ...] = ()
    signal: signal.Signals = signal.SIGKILL
    refusals: int | None = None

    def list_upstreams(self, firm: firms.Firm) -> set[str]:
        """Return the names of the upstreams that must not start tasks."""
        return {
            fleet.name_upstream(number)
            for number in range(firm.upstreams)
            if number in self.upstreams or firm.find_domain(number) in self.domains
        }


@attrs.frozen(slots=True)
class LossTimes:
    """Monotonic times in ms of a loss and of the return of what was lost."""

    lost_ms: float
    back_ms: float


async def run(options: trials.Options) -> outcomes.Outcome:
    """Kill a rack, a failure domain, and two of three and of five controllers.

    Args:
        options: Options of the run; its length is that of each loss.
    """
    firm = options.firms[0]
    rack = (0, 1, 2)
    losses = [
        Loss("rack", 3, choose_processes=_choose_sidecars(rack), upstreams=rack),
        Loss("domain", 3, firm.domains[:1], _list_domain),
        Loss("2 of 3 controllers", 3, firm.domains, _list_two_controllers),
        Loss("2 of 5 controllers", 5, choose_processes=_list_two_controllers),
    ]
    return await _run_losses(options, firm, losses)


async def run_leader(options: trials.Options) -> outcomes.Outcome:
    """Kill the leading controller, and suspend it with its connections open.

    Args:
        options: Options of the run; its length is that of each loss.
    """
    losses = [
        Loss("leader killed", 3, choose_processes=_list_leader, refusals=0),
        Loss("leader silent", 3, (), _list_leader, (), signal.SIGSTOP, 0),
    ]
    return await _run_losses(options, options.firms[0], losses)


async def run_regions(options: trials.Options) -> outcomes.Outcome:
    """Separate two regions by a partition; the fifth domain is in the first region.

    Args:
        options: Options of the run; its length is that of the partition.
    """
    firm = attrs.evolve(options.firms[0], domains=DOMAINS)
    loss = Loss("regions", 5, FAR_DOMAINS)
    return await _run_losses(options, firm, [loss])


async def _run_losses(
    options: trials.Options, firm: firms.Firm, losses: list[Loss]
) -> outcomes.Outcome:
    outcome = outcomes.Outcome("losses", options.seed, options.seconds)
    for loss in losses:
        await _measure(outcome, options, firm, loss)
    return outcome


async def _measure(
    outcome: outcomes.Outcome, options: trials.Options, firm: firms.Firm, loss: Loss
) -> None:
    regions = {} if loss.choose_processes else _assign_regions()
    seconds = SETTLE_SECONDS + options.seconds + AFTER_SECONDS
    arrivals = firms.generate(firm, options.seed, seconds, LOAD)
    async with trials.open_trial(
        firm, controllers=loss.controllers, gateways=3, regions=regions
    ) as trial:
        earlier_count = len(await trial.read_spans())
        trial.driver.resend = RESEND
        driving = trial.driver.run(arrivals, loss.name)
        _, loss_times = await asyncio.gather(
            driving, _inject_loss(trial, loss, options.seconds)
        )
        await trial.fleet.wait_ready(firm.upstreams)
        spans = await trial.read_spans(earlier_count)
    sender = trial.driver
    end_ms = sender.started_ms + seconds * 1000
    lost = loss.list_upstreams(firm)
    outage = ideal.Outage(
        len(lost) * firm.slots,
        loss_times.lost_ms - sender.started_ms,
        loss_times.back_ms - sender.started_ms,
    )
    best = ideal.schedule(arrivals, firm.total_slots, outage)
    ideal_spans = [
        (item.started_ms + sender.started_ms, item.ended_ms + sender.started_ms)
        for item in best.spans
    ]
    completed = [(item.started_ms, item.ended_ms) for item in spans if not item.cut]
    work = ideal.measure_between(completed, loss_times.lost_ms, end_ms)
    work /= ideal.measure_between(ideal_spans, loss_times.lost_ms, end_ms)
    findings = audit.check(sender.samples, spans)
    outcome.measures += [
        outcomes.Measure(f"{loss.name} work / ideal", work, WORK_TARGET, "at least"),
        outcomes.Measure(
            f"{loss.name} last start ms",
            _find_last_start(spans, lost, loss_times),
            LAST_START_TARGET_MS,
        ),
        outcomes.Measure(
            f"{loss.name} all upstreams work after ms",
            _measure_recovery(spans, lost, loss_times),
        ),
        *findings.list_measures(loss.name),
        outcomes.Measure(
            f"{loss.name} refused and sent again", sender.refusals, loss.refusals
        ),
        outcomes.Measure(f"{loss.name} submissions", len(sender.samples)),
        outcomes.Measure(
            f"{loss.name} driver lag p99 ms", driver.measure_lag(sender.samples)
        ),
    ]
    outcome.notes += trials.describe_failures(sender.samples)


async def _inject_loss(trial: trials.Trial, loss: Loss, seconds: float) -> LossTimes:
    await asyncio.sleep(SETTLE_SECONDS)
    group = trial.fleet
    names = loss.choose_processes(group) if loss.choose_processes else []
    lost_ms = timing.read_ms()
    if not loss.choose_processes:
        group.set_partition(active=True)
    for name in names:
        group.processes[name].send_signal(loss.signal)
    await asyncio.sleep(seconds)
    back_ms = timing.read_ms()
    if not loss.choose_processes:
        group.set_partition(active=False)
    for name in names:
        group.processes[name].send_signal(signal.SIGCONT)
        if group.processes[name].popen.poll() is not None:
            group.restart_role(name)
    return LossTimes(lost_ms, back_ms)


def _find_last_start(
    spans: list[standin.Span], lost: set[str], loss_times: LossTimes
) -> float:
    starts = [
        item.started_ms - loss_times.lost_ms
        for item in spans
        if item.upstream in lost
        and loss_times.lost_ms < item.started_ms < loss_times.back_ms
    ]
    return max(starts, default=0.0)


def _measure_recovery(
    spans: list[standin.Span], lost: set[str], loss_times: LossTimes
) -> float:
    """Return the time in ms from the return until every upstream has started a task."""
    first = dict.fromkeys(lost, float("inf"))
    for item in spans:
        if item.upstream in lost and item.started_ms > loss_times.back_ms:
            wait_ms = item.started_ms - loss_times.back_ms
            first[item.upstream] = min(first[item.upstream], wait_ms)
    return max(first.values(), default=0.0)


def _assign_regions() -> dict[str, str]:
    return {domain: REGIONS[domain in FAR_DOMAINS] for domain in DOMAINS}


def _choose_sidecars(numbers: tuple[int, ...]) -> Choice:
    return lambda group: [f"sidecar-{number + 1}" for number in numbers]


def _list_domain(group: fleet.Fleet) -> list[str]:
    """Return the processes of the first failure domain."""
    count = len(group.firm.domains)
    return [
        name
        for name in group.link_addresses
        if (int(name.rpartition("-")[2]) - 1) % count == 0
    ]


def _list_leader(group: fleet.Fleet) -> list[str]:
    leader = group.find_leader()
    if leader is None:
        raise fleet.FleetError("no leader in the logs")
    return [leader.name]


def _list_two_controllers(group: fleet.Fleet) -> list[str]:
    return ["controller-1", "controller-2"]
