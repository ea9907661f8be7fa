"""Queue of jobs that wait for capacity, in deadline order and with admission control.

During an overload of some seconds, serving jobs in order of arrival would make every
answer late. Each job has a deadline for its start, and jobs are served in the order of
these deadlines. A new job is admitted only if all waiting jobs can still start in time
and if its own expected start uses only a part of its slack. The rest of the slack is
headroom for shorter jobs that arrive later and are served first. Without this headroom
long jobs, which have much slack, would fill the queue and short ones would be refused.

Where queues of one service differ in priority and not everything fits, jobs that can
still be on time go before late ones, the more urgent first, and a more urgent job
displaces waiting ones: see docs/design/order-under-shortage.md.
"""

from __future__ import annotations

import bisect
import heapq

import attrs

from amaranthspar.scheduling import delivery, jobs, servedshares

LATE_FACTOR = 3.0
"""Multiple of its latency objective up to which a late answer is useful to a caller."""
SLACK_SHARE = 0.5
"""Share of its slack that a job's expected wait may use at admission."""
ON_TIME_MARGIN_MS = 15
"""Time in ms that the objective must leave for the hops of a start and an answer."""
PRIORITY_MEMORY_MS = 30_000
"""Time in ms after its last job for which a priority counts as in use."""
URGENT_HEADROOM = 1.3
"""Multiple of the work admitted lately for more urgent jobs that is set aside from the
capacity for others; more urgent jobs arrive in bunches."""
MIN_RESIDUAL_SHARE = 0.25
"""Lower bound of the share of the capacity that less urgent jobs are planned with."""
SHORTAGE_HOLD_MS = 500
"""Time in ms after the last sign of a shortage for which its order stays in effect."""


@attrs.define(slots=True, eq=False)
class Entry:
    """Waiting job with the resources and the time that it still needs.

    Attributes:
        job: Job that waits.
        cores: Cores that its waiting tasks need in total.
        core_ms: Processor time that its waiting tasks need, in core-milliseconds.
        critical_path_ms: Expected length of its critical path in ms.
    """

    job: jobs.Job
    cores: float
    core_ms: float
    critical_path_ms: int

    @property
    def key(self) -> tuple[int, int, str]:
        """Sort key: start deadline, priority, id."""
        job = self.job
        return job.start_by_ms, job.request.queue.priority, job.request.id

    @property
    def service(self) -> str:
        """Service whose upstreams run the job."""
        return self.job.request.queue.service

    def is_late(self, now_ms: int) -> bool:
        """Return whether the job can't be on time even if its tasks started now.

        Args:
            now_ms: Current time in ms.
        """
        by_ms = self.job.start_by_ms
        if not all(self.job.remaining):
            # The start deadline is that of the first steps; later ones have until the
            # end of the objective.
            by_ms += self.critical_path_ms
        return now_ms > by_ms


@attrs.frozen(slots=True)
class Admission:
    """Decision on a new job.

    Attributes:
        is_admitted: Whether the job was admitted.
        displaced: Undispatched jobs that left the queue for it.
    """

    is_admitted: bool
    displaced: tuple[jobs.Job, ...] = ()


@attrs.frozen(slots=True)
class Forecast:
    """Capacity that the gateway expects to get from the upstreams.

    Attributes:
        now_ms: Current time in ms.
        working_cores: Number of cores that work for this gateway.
        free_cores: Number of cores that are free now.
    """

    now_ms: int
    working_cores: float
    free_cores: float

    def find_start_ms(self, cores: float, core_ms: float) -> float:
        """Return the expected time in ms at which the last of some tasks starts.

        Args:
            cores: Cores that all these tasks need in total.
            core_ms: Processor time that they need in total, in core-milliseconds.
        """
        if cores <= self.free_cores:
            return self.now_ms
        if self.working_cores <= 0:
            return float("inf")
        return (
            self.now_ms + core_ms * (1 - self.free_cores / cores) / self.working_cores
        )


class JobQueue:
    """Jobs with tasks that wait for capacity, in the order of service."""

    def __init__(self) -> None:
        self._entries: list[Entry] = []
        self._by_id: dict[str, Entry] = {}
        self._shares = servedshares.ServedShares()
        self._priorities: dict[str, dict[int, int]] = {}
        self._now_ms = 0
        self._short_ms: dict[str, int] = {}
        self._ordered: list[Entry] | None = None
        self._admitted: dict[tuple[str, int], delivery.Window] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def core_ms(self) -> float:
        """Processor time that all waiting tasks need, in core-milliseconds."""
        return sum(entry.core_ms for entry in self._entries)

    def list_entries(self) -> list[Entry]:
        """Return the entries in the order of service."""
        if not self.has_shortage:
            return list(self._entries)
        if self._ordered is None:
            self._ordered = sorted(self._entries, key=self._find_rank)
        return list(self._ordered)

    def is_short(self, service: str) -> bool:
        """Return whether the order under shortage is in effect for a service.

        Args:
            service: Name of the service.
        """
        since_ms = self._short_ms.get(service)
        return since_ms is not None and self._now_ms - since_ms <= SHORTAGE_HOLD_MS

    def has_priorities(self, service: str) -> bool:
        """Return whether recent jobs of a service differed in priority.

        Args:
            service: Name of the service.
        """
        return len(self._priorities.get(service, ())) > 1

    def _note_priority(self, queue: jobs.Queue) -> None:
        """Record the priority of a new job and forget those that are out of use."""
        seen = self._priorities.setdefault(queue.service, {})
        seen[queue.priority] = self._now_ms
        for priority, seen_ms in list(seen.items()):
            if self._now_ms - seen_ms > PRIORITY_MEMORY_MS:
                del seen[priority]

    @property
    def has_shortage(self) -> bool:
        """Whether the order under shortage is in effect for any service."""
        return any(map(self.is_short, self._short_ms))

    def measure_admitted(self, now_ms: int) -> float:
        """Return the work admitted in the last second, in core-ms per ms.

        Args:
            now_ms: Current time in ms.
        """
        total = sum(window.read_sum(now_ms) for window in self._admitted.values())
        return total / delivery.WINDOW_MS

    def advance(self, now_ms: int) -> None:
        """Set the time by which late jobs are told from those that can be on time.

        Args:
            now_ms: Current time in ms.
        """
        if now_ms == self._now_ms:
            return
        self._now_ms = now_ms
        self._ordered = None
        for entry in self._entries:
            if entry.job.start_by_ms >= now_ms:
                break
            if not entry.job.is_dispatched and entry.is_late(now_ms):
                self._note_shortage(entry.service)

    def count_undispatched(self, queue: str) -> int:
        """Return the number of jobs of a queue for which no start has been sent.

        Args:
            queue: Name of the queue.
        """
        return sum(
            entry.job.request.queue.name == queue and not entry.job.is_dispatched
            for entry in self._entries
        )

    def admit(self, entry: Entry, forecast: Forecast) -> Admission:
        """Admit a new job if it and all waiting jobs can start by their deadlines.

        If no other job waits, a job is admitted even if its answer will be late, unless
        it would come too late to be useful. If priorities differ, a more urgent job
        displaces waiting ones that keep it from starting in time.

        Args:
            entry: New job; its deadlines are set.
            forecast: Capacity expected from the upstreams.

        Returns:
            Whether it was admitted, and the jobs that it displaced.
        """
        job = entry.job
        queue = job.request.queue
        self.advance(forecast.now_ms)
        objective_ms = find_objective_ms(queue, entry.critical_path_ms)
        job.end_by_ms = job.arrived_ms + round(LATE_FACTOR * objective_ms)
        slack_ms = max(objective_ms - entry.critical_path_ms - ON_TIME_MARGIN_MS, 0)
        job.start_by_ms = job.arrived_ms + slack_ms
        admit_by_ms = job.arrived_ms + round(SLACK_SHARE * slack_ms)
        self._note_priority(queue)
        shares = self._shares
        is_large = shares.is_large(queue.service, queue.name, entry.core_ms)
        admission = self._decide(entry, admit_by_ms, is_large, forecast)
        shares.record(
            queue.service,
            queue.name,
            admission.is_admitted,
            forecast.now_ms,
        )
        for displaced in admission.displaced:
            self._withdraw(displaced)
        if admission.is_admitted:
            self.insert(entry)
            window = self._admitted.setdefault(
                (queue.service, job.precedence), delivery.Window()
            )
            window.add(entry.core_ms, forecast.now_ms)
        return admission

    def _decide(
        self, entry: Entry, admit_by_ms: int, is_large: bool, forecast: Forecast
    ) -> Admission:
        queue = entry.job.request.queue
        entry.job.precedence = queue.priority
        if not self._entries:
            return Admission(not self._is_too_late(entry, forecast))
        if not self.is_short(queue.service) and self._is_feasible(
            entry, admit_by_ms, forecast
        ):
            return Admission(True)
        if not self.has_priorities(queue.service):
            return Admission(self._is_feasible(entry, admit_by_ms, forecast))
        job = entry.job
        if self._shares.is_underserved(queue.service, queue.name, self._now_ms):
            job.precedence = min(self._priorities[queue.service]) - 1
        # The largest jobs wait for the most work ahead and need all of their slack.
        by_ms = job.start_by_ms if is_large else admit_by_ms
        return self._find_room(entry, by_ms, forecast)

    def _note_shortage(self, service: str) -> None:
        if self.has_priorities(service):
            self._short_ms[service] = self._now_ms
            self._ordered = None

    def _withdraw(self, job: jobs.Job) -> None:
        queue = job.request.queue
        self._shares.withdraw(queue.service, queue.name)
        self.remove(job.request.id)

    def _find_rank(self, entry: Entry) -> tuple[object, ...]:
        """Return the sort key of an entry while any service is short of capacity.

        Jobs of services without a shortage keep their order by deadline among the jobs
        on time.
        """
        if not self.is_short(entry.service):
            return 0, 0, *entry.key
        if self._is_left_behind(entry):
            return 1, not entry.job.is_dispatched, *entry.key
        return 0, entry.job.precedence, *entry.key

    def _is_left_behind(self, entry: Entry) -> bool:
        """Return whether a job is late and has no runs whose work is still of use."""
        if not entry.is_late(self._now_ms):
            return False
        job = entry.job
        end_ms = self._now_ms + entry.critical_path_ms
        return not job.is_dispatched or end_ms > job.end_by_ms

    def _find_room(
        self, entry: Entry, admit_by_ms: int, forecast: Forecast
    ) -> Admission:
        """Return whether a job starts in time before less urgent ones, which may yield.

        Jobs are added in the order of service. Once one cannot start in time, the less
        urgent one with the most processor time among those so far is displaced, which
        keeps the number of callers that are refused small.
        """
        residuals = self._build_residuals(entry.service, forecast)
        own = (entry.job.precedence, *entry.key)
        ranked = [
            ((item.job.precedence, *item.key), item)
            for item in self._entries
            if item.service == entry.service and not self._is_left_behind(item)
        ]
        cores = core_ms = 0.0
        displaced: list[Entry] = []
        candidates: list[tuple[float, int, Entry]] = []
        for number, (rank, item) in enumerate(sorted([*ranked, (own, entry)])):
            cores += item.cores
            core_ms += item.core_ms
            if self._may_yield(item, entry):
                heapq.heappush(candidates, (-item.core_ms, number, item))
            by_ms = admit_by_ms if item is entry else item.job.start_by_ms
            residual = residuals.get(item.job.precedence, forecast)
            if residual.find_start_ms(cores, core_ms) <= max(by_ms, forecast.now_ms):
                continue
            if item is entry:
                return Admission(False)
            if rank < own or item.is_late(forecast.now_ms):
                # It is late with or without the new job.
                continue
            if not candidates:
                return Admission(False)
            _, _, victim = heapq.heappop(candidates)
            displaced.append(victim)
            cores -= victim.cores
            core_ms -= victim.core_ms
        return Admission(True, tuple(item.job for item in displaced))

    def _build_residuals(self, service: str, forecast: Forecast) -> dict[int, Forecast]:
        """Return the capacity that jobs of each priority can count on.

        More urgent jobs go on arriving while a job waits. They are expected to need as
        much as those admitted lately.
        """
        whole = forecast.working_cores
        residuals: dict[int, Forecast] = {}
        urgent = 0.0
        priorities = self._priorities[service]
        for priority in (min(priorities) - 1, *sorted(priorities)):
            rate = max(whole - URGENT_HEADROOM * urgent, MIN_RESIDUAL_SHARE * whole)
            residuals[priority] = attrs.evolve(forecast, working_cores=rate)
            window = self._admitted.get((service, priority))
            if window is not None:
                urgent += window.read_sum(forecast.now_ms) / delivery.WINDOW_MS
        return residuals

    @staticmethod
    def _may_yield(item: Entry, entry: Entry) -> bool:
        return not item.job.is_dispatched and item.job.precedence > entry.job.precedence

    def insert(self, entry: Entry) -> None:
        """Insert a job according to its start deadline.

        Args:
            entry: Job with tasks that wait.
        """
        bisect.insort(self._entries, entry, key=lambda item: item.key)
        self._by_id[entry.job.request.id] = entry
        self._ordered = None

    def find(self, job: str) -> Entry | None:
        """Return the entry of a job; `None` if none of its tasks waits.

        Args:
            job: Id of the job.
        """
        return self._by_id.get(job)

    def remove(self, job: str) -> None:
        """Remove a job, if it is in the queue.

        Args:
            job: Id of the job.
        """
        entry = self._by_id.pop(job, None)
        if entry is not None:
            self._entries.remove(entry)
            self._ordered = None

    def pop_expired(self, now_ms: int) -> list[jobs.Job]:
        """Remove and return the undispatched jobs whose answer would come too late.

        Args:
            now_ms: Current time in ms.
        """
        expired = [
            entry.job
            for entry in self._entries
            if not entry.job.is_dispatched
            and now_ms + entry.critical_path_ms > entry.job.end_by_ms
        ]
        for job in expired:
            self._withdraw(job)
        return expired

    def _is_feasible(self, entry: Entry, start_by_ms: int, forecast: Forecast) -> bool:
        """Return whether a job starts in time, and later ones by their deadlines."""
        behind = [item for item in self._entries if item.key > entry.key]
        before = self._entries[: len(self._entries) - len(behind)]
        cores = entry.cores + sum(item.cores for item in before)
        core_ms = entry.core_ms + sum(item.core_ms for item in before)
        if forecast.find_start_ms(cores, core_ms) > max(start_by_ms, forecast.now_ms):
            return False
        for item in behind:
            cores += item.cores
            core_ms += item.core_ms
            start_ms = forecast.find_start_ms(cores, core_ms)
            if start_ms > item.job.start_by_ms > forecast.now_ms:
                return False
        return True

    @staticmethod
    def _is_too_late(entry: Entry, forecast: Forecast) -> bool:
        """Return whether a job's answer would come too late even if it were next."""
        start_ms = forecast.find_start_ms(entry.cores, entry.core_ms)
        return start_ms + entry.critical_path_ms > entry.job.end_by_ms


def find_objective_ms(queue: jobs.Queue, critical_path_ms: int) -> int:
    """Return the latency objective of a job in ms.

    Args:
        queue: Queue of the job.
        critical_path_ms: Expected length of its critical path in ms.
    """
    return round(queue.stretch * critical_path_ms) + queue.target_ms
