"""Order in which admitted jobs wait, and which jobs are admitted at all.

Load pattern: for seconds, more work arrives than the upstreams can do. Serving it in the
order of arrival would make every answer late. Here each job has a time by which its
tasks should start, and waiting jobs are served in that order. A new one is admitted only
while all that wait can still start in time, and while it would itself start early in the
time that it could wait: the rest is headroom for shorter jobs that come later and go
first. Without it long jobs, which can wait, fill the queue and short ones are refused.
"""

from __future__ import annotations

import bisect

import attrs

from amaranthspar.scheduling import jobs

LATE_FACTOR = 3.0
"""Multiple of its objective up to which a late answer still helps a caller."""
SLACK_SHARE = 0.5
"""Part of the time that a job could wait which the forecast at admission may use."""
ON_TIME_MARGIN_MS = 15
"""Time for the hops of a start and an answer that the objective must leave, in ms."""


@attrs.define(slots=True, eq=False)
class Entry:
    """A waiting job with what it takes to serve it.

    Attributes:
        job: Job that waits.
        cores: Cores that its waiting tasks need together.
        work: Work of its waiting tasks in ms of one core.
        critical_path_ms: Expected time from its next start to its end in ms.
    """

    job: jobs.Job
    cores: float
    core_ms: float
    critical_path_ms: int

    @property
    def key(self) -> tuple[int, int, str]:
        """By what entries are ordered."""
        job = self.job
        return job.start_by_ms, job.request.queue.priority, job.request.id


@attrs.frozen(slots=True)
class Forecast:
    """What the gateway expects of the upstreams.

    Attributes:
        now_ms: Current time in ms.
        rate: Cores that work for this gateway.
        free: Cores that are free now.
    """

    now_ms: int
    working_cores: float
    free_cores: float

    def find_start_ms(self, cores: float, core_ms: float) -> float:
        """Return when the last of some tasks starts.

        Args:
            cores: Cores that all tasks up to and with it need.
            work: Their work in ms of one core.
        """
        if cores <= self.free_cores:
            return self.now_ms
        if self.working_cores <= 0:
            return float("inf")
        return (
            self.now_ms + core_ms * (1 - self.free_cores / cores) / self.working_cores
        )


class JobQueue:
    """Jobs with tasks that wait for room."""

    def __init__(self) -> None:
        self._entries: list[Entry] = []
        self._by_id: dict[str, Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def core_ms(self) -> float:
        """Work of all that waits in ms of one core."""
        return sum(entry.core_ms for entry in self._entries)

    def list_entries(self) -> list[Entry]:
        """Return the entries in the order in which they are served."""
        return list(self._entries)

    def count_undispatched(self, queue: str) -> int:
        """Return how many jobs of a queue have not been offered to an upstream.

        Args:
            queue: Name of the queue.
        """
        return sum(
            entry.job.request.queue.name == queue and not entry.job.is_dispatched
            for entry in self._entries
        )

    def admit(self, entry: Entry, forecast: Forecast) -> bool:
        """Take a new job in if it and all others can start by their times.

        A job that finds no other waiting is taken even if it will be late.

        Args:
            entry: New job; its times are set where it is taken.
            forecast: What is expected of the upstreams.

        Returns:
            Whether it was taken.
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
        """Add a job at its place in the order.

        Args:
            entry: Job with tasks that wait.
        """
        bisect.insort(self._entries, entry, key=lambda item: item.key)
        self._by_id[entry.job.request.id] = entry

    def find(self, job: str) -> Entry | None:
        """Return the entry of a job, nothing if none of its tasks waits.

        Args:
            job: Id of the job.
        """
        return self._by_id.get(job)

    def remove(self, job: str) -> None:
        """Remove a job.

        Args:
            job: Id of the job.
        """
        entry = self._by_id.pop(job, None)
        if entry is not None:
            self._entries.remove(entry)

    def pop_expired(self, now_ms: int) -> list[jobs.Job]:
        """Remove and return the jobs never offered whose answer would be of no use.

        Args:
            now_ms: Current time in ms.
        """
        found = [
            entry.job
            for entry in self._entries
            if not entry.job.is_dispatched
            and now_ms + entry.critical_path_ms > entry.job.end_by_ms
        ]
        for job in found:
            self.remove(job.request.id)
        return found

    def _is_feasible(self, entry: Entry, start_by_ms: int, forecast: Forecast) -> bool:
        """Return whether a job starts by some time and all behind it by theirs."""
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
        """Return whether a job's answer would be of no use even if it were next."""
        start_ms = forecast.find_start_ms(entry.cores, entry.core_ms)
        return start_ms + entry.critical_path_ms > entry.job.end_by_ms


def find_objective_ms(queue: jobs.Queue, critical_path_ms: int) -> int:
    """Return within what time a job should be answered in ms.

    Args:
        queue: Queue of the job.
        critical_path_ms: Expected length of its longest chain in ms.
    """
    return round(queue.stretch * critical_path_ms) + queue.target_ms
