"""Backlog of tasks that wait in a gateway for a slot."""

from collections.abc import Callable, Iterable

import attrs

from amaranthspar.dispatch import capacity, fairqueue, routing, submissions
from amaranthspar.membership import leaseholder
from amaranthspar.schema import entries

RESPONSE = "response"
RESPONSE_WEIGHT = 8.0
"""Weight of requests for a response relative to a team's other tasks."""


@attrs.frozen(slots=True)
class QueuedTask:
    """A task in the backlog.

    Attributes:
        submission: Submission of the task.
        task: Task.
        needs: Requirements of the task on an upstream.
        cost_ms: Expected run time in ms.
    """

    submission: submissions.Submission
    task: submissions.Task
    needs: routing.Needs
    cost_ms: float


@attrs.define(slots=True)
class _Queue:
    """Queue of one pool.

    Attributes:
        served_ms: Virtual time of the queue: expected run time served, divided
            by the weight of the queue at that time.
        tasks: Waiting tasks.
        teams: Number of waiting tasks by team.
    """

    served_ms: float
    tasks: fairqueue.FairQueue[QueuedTask] = attrs.field(factory=fairqueue.FairQueue)
    teams: dict[str, int] = attrs.field(factory=dict)

    def count(self, team: str, amount: int) -> None:
        """Add an amount to the number of a team's waiting tasks."""
        count = self.teams.get(team, 0) + amount
        if count:
            self.teams[team] = count
        else:
            self.teams.pop(team, None)


@attrs.frozen(slots=True, cache_hash=True)
class _Flow:
    """Tasks of one team with one objective."""

    team: str
    objective: str


@attrs.define(slots=True)
class _QueuedSubmission:
    """Waiting tasks of one submission.

    Attributes:
        path: Flow of the submission in the fair queues.
        flow: Team and objective.
        counts: Number of waiting tasks by pool.
    """

    path: fairqueue.Path
    flow: _Flow
    counts: dict[capacity.Pool, int] = attrs.field(factory=dict)


class Backlog:
    """Queues of waiting tasks, one for each pool.

    Pools with waiting tasks share the slots for which they compete by the weights
    of the teams that wait in them. The weight of a team that waits in several
    pools is divided equally among these. Within a pool, teams share by weight.

    Args:
        holder: Lease of this gateway; its view holds the services and teams.
    """

    def __init__(self, holder: leaseholder.LeaseHolder) -> None:
        self._holder = holder
        self._costs_ms: dict[_Flow, float] = {}
        self._queues: dict[capacity.Pool, _Queue] = {}
        self._entries: dict[str, _QueuedSubmission] = {}
        self._response_admitted_ms: dict[str, int] = {}
        self._teams: dict[str, int] = {}
        self._held_teams: set[str] = set()
        self._virtual_time_ms = 0.0
        self._total = 0

    def __len__(self) -> int:
        """Return how many tasks wait."""
        return self._total

    def count_team(self, team: str) -> int:
        """Return how many tasks of a team wait."""
        return self._teams.get(team, 0)

    def sum_cost(self) -> float:
        """Return the expected run time of all waiting tasks in ms."""
        return sum(self._costs_ms.values())

    def estimate_cost_ahead(self, team: str, service: entries.Service) -> float:
        """Return the expected run time in ms that is served before a new task.

        The estimate assumes that a team waits only for its own tasks and has
        only its share of the slots.

        Args:
            team: Team of the task.
            service: Service of the task.
        """
        flow = _Flow(team, service.objective)
        own_ms = self._costs_ms.get(flow, 0.0)
        if service.objective != RESPONSE:
            own_ms += self._costs_ms.get(_Flow(team, RESPONSE), 0.0)
        if not own_ms:
            return 0.0
        teams = {item.team for item, cost_ms in self._costs_ms.items() if cost_ms > 1}
        weights = sum(self._find_weight(name) for name in teams | {team})
        return own_ms * weights / self._find_weight(team)

    def list_pools(self) -> list[capacity.Pool]:
        """Return the pools with waiting tasks, the least virtual time first."""
        if len(self._queues) == 1:
            return list(self._queues)
        return sorted(self._queues, key=lambda pool: self._queues[pool].served_ms)

    def rank_pools(self, pools: Iterable[capacity.Pool]) -> list[capacity.Pool]:
        """Return pools in the order in which they would be served with new tasks.

        Args:
            pools: Pools of the new tasks, in the order of the tasks.
        """
        new = dict.fromkeys(pools)
        served_ms = dict.fromkeys(new, self._virtual_time_ms)
        served_ms |= {
            pool: queue.served_ms for pool, queue in self._queues.items() if pool in new
        }
        # Of pools with equal times, those with waiting tasks come first.
        waiting = [pool for pool in self._queues if pool in new]
        return sorted(dict.fromkeys([*waiting, *new]), key=served_ms.__getitem__)

    def push(self, pool: capacity.Pool, queued: QueuedTask) -> None:
        """Add a task.

        Args:
            pool: Shapes of the upstreams that may take the task.
            queued: Task and its submission.
        """
        submission, task = queued.submission, queued.task
        task.state = submissions.TaskState.QUEUED
        task.sidecar = ""
        entry = self._entries.get(submission.name)
        if entry is None:
            entry = self._add_entry(submission)
        queue = self._get_queue(pool)
        queue.tasks.push(entry.path, queued, queued.cost_ms)
        queue.count(submission.team, 1)
        entry.counts[pool] = entry.counts.get(pool, 0) + 1
        self._count(entry, queued, 1)

    def pop(self, pool: capacity.Pool) -> QueuedTask | None:
        """Remove and return the next task of a pool, None if none may be served.

        Args:
            pool: Shapes of the upstreams that may take the task.
        """
        queue = self._queues.get(pool)
        if queue is None:
            return None
        queued = queue.tasks.pop()
        if queued is None:
            return None
        self._virtual_time_ms = queue.served_ms
        queue.served_ms += queued.cost_ms / self._compute_weight(queue)
        queue.count(queued.submission.team, -1)
        self._count(self._entries[queued.submission.name], queued, -1)
        self._remove_one(queued.submission.name, pool)
        self._remove_if_empty(pool)
        return queued

    def drop(self, submission: submissions.Submission) -> None:
        """Remove the tasks of a submission that has ended.

        Args:
            submission: Submission that has ended.
        """
        entry = self._entries.pop(submission.name, None)
        if entry is None:
            return
        for pool in entry.counts:
            queue = self._queues[pool]
            for queued in queue.tasks.drop(entry.path):
                self._count(entry, queued, -1)
                queue.count(submission.team, -1)
            self._remove_if_empty(pool)
        self._response_admitted_ms.pop(submission.name, None)

    def hold_team(self, team: str) -> None:
        """Hold the tasks of a team back until it is released."""
        self._held_teams.add(team)
        for queue in self._queues.values():
            queue.tasks.hold(team)

    def release_team(self, team: str) -> None:
        """Serve the tasks of a team again."""
        if team not in self._held_teams:
            return
        self._held_teams.discard(team)
        for queue in self._queues.values():
            queue.tasks.release(team)

    def regroup(self, find_pool: Callable[[routing.Needs], capacity.Pool]) -> None:
        """Assign all waiting tasks to pools again.

        Args:
            find_pool: Returns the pool for the needs of a task.
        """
        held = set(self._held_teams)
        for team in held:
            self.release_team(team)
        old, self._queues = self._queues, {}
        for entry in self._entries.values():
            entry.counts = {}
        for queue in old.values():
            while (queued := queue.tasks.pop()) is not None:
                pool = find_pool(queued.needs)
                entry = self._entries[queued.submission.name]
                new_queue = self._get_queue(pool)
                new_queue.tasks.push(entry.path, queued, queued.cost_ms)
                new_queue.count(queued.submission.team, 1)
                entry.counts[pool] = entry.counts.get(pool, 0) + 1
        for team in held:
            self.hold_team(team)

    def measure_oldest_wait(self, now_ms: int) -> int:
        """Return the wait in ms of the oldest request for a response.

        Args:
            now_ms: Monotonic time in ms.
        """
        if not self._response_admitted_ms:
            return 0
        return now_ms - next(iter(self._response_admitted_ms.values()))

    def _get_queue(self, pool: capacity.Pool) -> _Queue:
        queue = self._queues.get(pool)
        if queue is None:
            queue = _Queue(self._virtual_time_ms)
            self._queues[pool] = queue
            for team in self._held_teams:
                queue.tasks.hold(team)
        return queue

    def _compute_weight(self, queue: _Queue) -> float:
        """Return the weight of a queue relative to others, from its waiting teams."""
        weight = 0.0
        for team in queue.teams:
            if team not in self._held_teams:
                spread = sum(team in other.teams for other in self._queues.values())
                weight += self._find_weight(team) / spread
        return weight or 1.0

    def _remove_if_empty(self, pool: capacity.Pool) -> None:
        if not len(self._queues[pool].tasks):
            del self._queues[pool]

    def _count(self, entry: _QueuedSubmission, queued: QueuedTask, amount: int) -> None:
        self._total += amount
        flow = entry.flow
        self._teams[flow.team] = self._teams.get(flow.team, 0) + amount
        cost_ms = self._costs_ms.get(flow, 0.0) + amount * queued.cost_ms
        self._costs_ms[flow] = cost_ms
        if not self._teams[flow.team]:
            del self._teams[flow.team]
            self._costs_ms.pop(_Flow(flow.team, RESPONSE), None)
            self._costs_ms.pop(flow, None)

    def _add_entry(self, submission: submissions.Submission) -> _QueuedSubmission:
        services = self._holder.view.settings.services
        service = services.get(submission.service)
        objective = RESPONSE if service is None else service.objective
        path = (
            fairqueue.Level(submission.team, self._find_weight(submission.team)),
            fairqueue.Level(objective, RESPONSE_WEIGHT if objective == RESPONSE else 1),
            fairqueue.Level(submission.caller),
            fairqueue.Level(submission.name),
        )
        entry = _QueuedSubmission(path, _Flow(submission.team, objective))
        self._entries[submission.name] = entry
        if objective == RESPONSE:
            self._response_admitted_ms[submission.name] = submission.admitted_ms
        return entry

    def _find_weight(self, team: str) -> int:
        found = self._holder.view.settings.teams.get(team)
        return 1 if found is None else found.weight

    def _remove_one(self, submission: str, pool: capacity.Pool) -> None:
        entry = self._entries[submission]
        entry.counts[pool] -= 1
        if not entry.counts[pool]:
            del entry.counts[pool]
        if not entry.counts:
            del self._entries[submission]
            self._response_admitted_ms.pop(submission, None)
