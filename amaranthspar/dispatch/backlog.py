"""Tasks that wait in a gateway for a slot."""

from collections.abc import Callable

import attrs

from amaranthspar.dispatch import capacity, fairqueue, routing, submissions
from amaranthspar.membership import leaseholder
from amaranthspar.schema import entries

RESPONSE = "response"
RESPONSE_WEIGHT = 8.0


@attrs.frozen(slots=True)
class Waiting:
    """A task in the queue.

    Attributes:
        submission: Submission of the task.
        task: Task.
        needs: What the task asks of an upstream.
        cost_ms: Expected run time in ms.
    """

    submission: submissions.Submission
    task: submissions.Task
    needs: routing.Needs
    cost_ms: float


@attrs.define(slots=True)
class _Queue:
    """Tasks of one pool.

    Attributes:
        served_ms: Expected run time served, by the weight of those that waited.
        tasks: What waits.
        teams: Waiting tasks by team.
    """

    served_ms: float
    tasks: fairqueue.FairQueue[Waiting] = attrs.field(factory=fairqueue.FairQueue)
    teams: dict[str, int] = attrs.field(factory=dict)

    def count(self, team: str, amount: int) -> None:
        """Change the count of a team's waiting tasks."""
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
class _Entry:
    """What waits of one submission."""

    path: fairqueue.Path
    flow: _Flow
    counts: dict[capacity.Pool, int] = attrs.field(factory=dict)


class Backlog:
    """Queues of waiting tasks, one for each pool.

    Pools with waiting tasks share what they compete for by the weights of the
    teams that wait in them; a team that waits in several counts in equal parts.
    Within a pool the teams share by their weights.

    Args:
        holder: Lease of this gateway; its view names services and teams.
    """

    def __init__(self, holder: leaseholder.LeaseHolder) -> None:
        self._holder = holder
        self._costs_ms: dict[_Flow, float] = {}
        self._queues: dict[capacity.Pool, _Queue] = {}
        self._entries: dict[str, _Entry] = {}
        self._urgent: dict[str, int] = {}
        self._teams: dict[str, int] = {}
        self._held: set[str] = set()
        self._clock_ms = 0.0
        self._total = 0

    def __len__(self) -> int:
        """Return how many tasks wait."""
        return self._total

    def count_team(self, team: str) -> int:
        """Return how many tasks of a team wait."""
        return self._teams.get(team, 0)

    def count_cost(self) -> float:
        """Return the expected run time in ms of all that waits."""
        return sum(self._costs_ms.values())

    def find_cost_ahead(self, team: str, service: entries.Service) -> float:
        """Return the expected run time in ms that is served before a new task.

        A team waits for its own tasks as if it had only its share of the slots.

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
        """Return the pools with waiting tasks, the least served first."""
        if len(self._queues) == 1:
            return list(self._queues)
        return sorted(self._queues, key=lambda pool: self._queues[pool].served_ms)

    def push(self, pool: capacity.Pool, waiting: Waiting) -> None:
        """Add a task.

        Args:
            pool: Tasks that the same upstreams may take.
            waiting: Task and its submission.
        """
        submission, task = waiting.submission, waiting.task
        task.state = submissions.TaskState.QUEUED
        task.sidecar = ""
        entry = self._entries.get(submission.name)
        if entry is None:
            entry = self._add_entry(submission)
        queue = self._find_queue(pool)
        queue.tasks.push(entry.path, waiting, waiting.cost_ms)
        queue.count(submission.team, 1)
        entry.counts[pool] = entry.counts.get(pool, 0) + 1
        self._count(entry, waiting, 1)

    def pop(self, pool: capacity.Pool) -> Waiting | None:
        """Remove and return the task served next, none if none may be served.

        Args:
            pool: Tasks that the same upstreams may take.
        """
        queue = self._queues.get(pool)
        if queue is None:
            return None
        waiting = queue.tasks.pop()
        if waiting is None:
            return None
        self._clock_ms = queue.served_ms
        queue.served_ms += waiting.cost_ms / self._measure_weight(queue)
        queue.count(waiting.submission.team, -1)
        self._count(self._entries[waiting.submission.name], waiting, -1)
        self._forget_one(waiting.submission.name, pool)
        self._clean(pool)
        return waiting

    def drop(self, submission: submissions.Submission) -> None:
        """Remove the tasks of a submission that is over.

        Args:
            submission: Submission that has ended.
        """
        entry = self._entries.pop(submission.name, None)
        if entry is None:
            return
        for pool in entry.counts:
            queue = self._queues[pool]
            for waiting in queue.tasks.drop(entry.path):
                self._count(entry, waiting, -1)
                queue.count(submission.team, -1)
            self._clean(pool)
        self._urgent.pop(submission.name, None)

    def hold_team(self, team: str) -> None:
        """Serve nothing of a team until it is released."""
        self._held.add(team)
        for queue in self._queues.values():
            queue.tasks.hold(team)

    def release_team(self, team: str) -> None:
        """Serve a team again."""
        if team not in self._held:
            return
        self._held.discard(team)
        for queue in self._queues.values():
            queue.tasks.release(team)

    def regroup(self, find_pool: Callable[[routing.Needs], capacity.Pool]) -> None:
        """Sort what waits into pools anew.

        Args:
            find_pool: Returns the pool of a task's needs.
        """
        held = set(self._held)
        for team in held:
            self.release_team(team)
        old, self._queues = self._queues, {}
        for entry in self._entries.values():
            entry.counts = {}
        for queue in old.values():
            while (waiting := queue.tasks.pop()) is not None:
                pool = find_pool(waiting.needs)
                entry = self._entries[waiting.submission.name]
                regrouped = self._find_queue(pool)
                regrouped.tasks.push(entry.path, waiting, waiting.cost_ms)
                regrouped.count(waiting.submission.team, 1)
                entry.counts[pool] = entry.counts.get(pool, 0) + 1
        for team in held:
            self.hold_team(team)

    def measure_oldest_wait(self, now_ms: int) -> int:
        """Return the wait in ms of the oldest request for a response.

        Args:
            now_ms: Monotonic time in ms.
        """
        if not self._urgent:
            return 0
        return now_ms - next(iter(self._urgent.values()))

    def _find_queue(self, pool: capacity.Pool) -> _Queue:
        queue = self._queues.get(pool)
        if queue is None:
            queue = _Queue(self._clock_ms)
            self._queues[pool] = queue
            for team in self._held:
                queue.tasks.hold(team)
        return queue

    def _measure_weight(self, queue: _Queue) -> float:
        """Return the weight of a pool against others by the teams that wait in it."""
        weight = 0.0
        for team in queue.teams:
            if team not in self._held:
                spread = sum(team in other.teams for other in self._queues.values())
                weight += self._find_weight(team) / spread
        return weight or 1.0

    def _clean(self, pool: capacity.Pool) -> None:
        if not len(self._queues[pool].tasks):
            del self._queues[pool]

    def _count(self, entry: _Entry, waiting: Waiting, amount: int) -> None:
        self._total += amount
        flow = entry.flow
        self._teams[flow.team] = self._teams.get(flow.team, 0) + amount
        cost_ms = self._costs_ms.get(flow, 0.0) + amount * waiting.cost_ms
        self._costs_ms[flow] = cost_ms
        if not self._teams[flow.team]:
            del self._teams[flow.team]
            self._costs_ms.pop(_Flow(flow.team, RESPONSE), None)
            self._costs_ms.pop(flow, None)

    def _add_entry(self, submission: submissions.Submission) -> _Entry:
        services = self._holder.view.settings.services
        service = services.get(submission.service)
        objective = RESPONSE if service is None else service.objective
        path = (
            fairqueue.Step(submission.team, self._find_weight(submission.team)),
            fairqueue.Step(objective, RESPONSE_WEIGHT if objective == RESPONSE else 1),
            fairqueue.Step(submission.caller),
            fairqueue.Step(submission.name),
        )
        entry = _Entry(path, _Flow(submission.team, objective))
        self._entries[submission.name] = entry
        if objective == RESPONSE:
            self._urgent[submission.name] = submission.admitted_ms
        return entry

    def _find_weight(self, team: str) -> int:
        found = self._holder.view.settings.teams.get(team)
        return 1 if found is None else found.weight

    def _forget_one(self, submission: str, pool: capacity.Pool) -> None:
        entry = self._entries[submission]
        entry.counts[pool] -= 1
        if not entry.counts[pool]:
            del entry.counts[pool]
        if not entry.counts:
            del self._entries[submission]
            self._urgent.pop(submission, None)
