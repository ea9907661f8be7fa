"""Queue of jobs that wait for capacity, in deadline order and with admission control.

During an overload of some seconds, serving jobs in order of arrival would make every
answer late. Each job has a deadline for its start, and jobs are served in the order of
these deadlines. A new job is admitted only if all waiting jobs can still start in time
and if its own expected start uses only a part of its slack. The rest of the slack is
headroom for shorter jobs that arrive later and are served first. Without this headroom
long jobs, which have much slack, would fill the queue and short ones would be refused.
"""

from __future__ import annotations

import bisect

import attrs

from amaranthspar.scheduling import jobs

LATE_FACTOR = 3.0
"""Multiple of its latency objective up to which a late answer is useful to a caller."""
SLACK_SHARE = 0.5
"""Share of its slack that a job's expected wait may use at admission."""
ON_TIME_MARGIN_MS = 15
"""Time in ms that the objective must leave for the hops of a start and an answer."""


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
    """Jobs with tasks that wait for capacity, ordered by start deadline."""

    def __init__(self) -> None:
        self._entries: list[Entry] = []
        self._by_id: dict[str, Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def core_ms(self) -> float:
        """Processor time that all waiting tasks need, in core-milliseconds."""
        return sum(entry.core_ms for entry in self._entries)

    def list_entries(self) -> list[Entry]:
        """Return the entries in the order of service."""
        return list(self._entries)

    def count_undispatched(self, queue: str) -> int:
        """Return the number of jobs of a queue for which no start has been sent.

        Args:
            queue: Name of the queue.
        """
        return sum(
            entry.job.request.queue.name == queue and not entry.job.is_dispatched
            for entry in self._entries
        )

    def admit(self, entry: Entry, forecast: Forecast) -> bool:
        """Admit a new job if it and all waiting jobs can start by their deadlines.

        If no other job waits, a job is admitted even if its answer will be late, unless
        it would come too late to be useful.

        Args:
            entry: New job; its deadlines are set.
            forecast: Capacity expected from the upstreams.

        Returns:
            Whether it was admitted.
        """
        job = entry.job
        objective_ms = find_objective_ms(job.request.queue, entry.critical_path_ms)
        job.end_by_ms = job.arrived_ms + round(LATE_FACTOR * objective_ms)
        slack_ms = max(objective_ms - entry.critical_path_ms - ON_TIME_MARGIN_MS, 0)
        job.start_by_ms = job.arrived_ms + slack_ms
        admit_by_ms = job.arrived_ms + round(SLACK_SHARE * slack_ms)
        if self._entries and not self._is_feasible(entry, admit_by_ms, forecast):
            return False
        if not self._entries and self._is_too_late(entry, forecast):
            return False
        self.insert(entry)
        return True

    def insert(self, entry: Entry) -> None:
        """Insert a job according to its start deadline.

        Args:
            entry: Job with tasks that wait.
        """
        bisect.insort(self._entries, entry, key=lambda item: item.key)
        self._by_id[entry.job.request.id] = entry

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
            self.remove(job.request.id)
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
