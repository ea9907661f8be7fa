"""Jobs, their steps and their tasks as a gateway keeps them."""

from __future__ import annotations

import enum

import attrs

from amaranthspar.schema import runmessages

FIRST_OCCURRENCE = 0
"""Occurrence number of a job that runs once."""


@attrs.frozen(slots=True)
class Step:
    """Tasks of a job that are alike.

    Attributes:
        count: Number of tasks.
        needs: What each task occupies.
        estimate_ms: Duration of a task in ms as its caller states it.
        after: Numbers of the steps that must be done before.
        label: Label that an upstream must have; empty for any.
        data_rack: Rack where the data is; empty for none.
        max_per_upstream: Most tasks of this step on one upstream; 0 for any number.
    """

    count: int
    needs: runmessages.Resources
    estimate_ms: int
    after: tuple[int, ...] = ()
    label: str = ""
    data_rack: str = ""
    max_per_upstream: int = 0


@attrs.frozen(slots=True)
class Queue:
    """Where jobs wait, as the routing document defines it.

    Attributes:
        name: Name of the queue.
        service: Service whose upstreams run the tasks.
        priority: 0 comes first.
        max_attempts: Failed runs after which a task fails its job.
        stretch: Objective as a multiple of the job's longest chain.
        target_ms: Time that the objective adds to that in ms.
    """

    name: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_ms: int


@attrs.frozen(slots=True)
class Request:
    """A job as its caller submits it.

    Attributes:
        id: Name of the job, chosen by the caller.
        queue: Queue of the job.
        spec: Specification that every task gets.
        steps: Steps; `Step.after` refers to their positions.
    """

    id: str
    queue: Queue
    spec: str
    steps: tuple[Step, ...]


class TaskState(enum.Enum):
    """Where a task stands."""

    BLOCKED = enum.auto()
    WAITING = enum.auto()
    PLACED = enum.auto()
    DONE = enum.auto()


@attrs.define(slots=True, eq=False)
class Task:
    """One task of a job.

    Attributes:
        job: Job of the task.
        step: Position of its step.
        name: Name of the task, unique among all jobs.
        state: Where it stands.
        run: Number of its last start.
        failures: Runs that ended as failed.
        sidecar: Sidecar that its current run was sent to.
        placed_ms: Time at which that was sent in ms.
        is_running: Whether its start was confirmed.
        percent: Share of the work that its run has done.
        progressed_ms: Age of its run in ms when that share last grew.
        avoided: Sidecars that failed it or were slow.
    """

    job: Job
    step: int
    name: str
    state: TaskState = TaskState.BLOCKED
    run: int = 0
    failures: int = 0
    sidecar: str = ""
    placed_ms: int = 0
    is_running: bool = False
    percent: int = 0
    progressed_ms: int = 0
    avoided: set[str] = attrs.field(factory=set)

    @property
    def definition(self) -> Step:
        """Step of the task."""
        return self.job.request.steps[self.step]

    @property
    def run_name(self) -> runmessages.RunName:
        """Name of the current run."""
        return runmessages.RunName(self.name, self.run)


@attrs.define(slots=True, eq=False)
class Job:
    """A job that was admitted.

    Attributes:
        request: Job as submitted.
        arrived_ms: Time of admission in ms.
        tasks: All tasks in order of steps.
        waiting: Tasks that may start, the next one last.
        remaining: Tasks that are not done by step.
        is_dispatched: Whether a start of any of its tasks was sent.
        start_by_ms: Time in ms by which its next tasks should start.
        end_by_ms: Time in ms after which its answer is of no use.
    """

    request: Request
    arrived_ms: int
    tasks: list[Task] = attrs.field(factory=list)
    waiting: list[Task] = attrs.field(factory=list)
    remaining: list[int] = attrs.field(factory=list)
    is_dispatched: bool = False
    start_by_ms: int = 0
    end_by_ms: int = 0

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return not any(self.remaining)

    def release_steps(self) -> None:
        """Let the tasks wait whose earlier steps are done."""
        for task in self.tasks:
            after = task.definition.after
            if task.state is TaskState.BLOCKED and not any(
                self.remaining[step] for step in after
            ):
                task.state = TaskState.WAITING
                self.waiting.append(task)

    def requeue_task(self, task: Task) -> None:
        """Let a task wait again whose run has ended without success.

        Args:
            task: Task of this job.
        """
        task.state = TaskState.WAITING
        task.is_running = False
        task.percent = 0
        task.progressed_ms = 0
        task.sidecar = ""
        self.waiting.append(task)


def build_job(request: Request, now_ms: int) -> Job:
    """Return a job whose first steps wait.

    Args:
        request: Job as submitted.
        now_ms: Current time in ms.
    """
    job = Job(request, now_ms, remaining=[step.count for step in request.steps])
    for number, step in enumerate(request.steps):
        prefix = f"{request.id}.{FIRST_OCCURRENCE}.{number}"
        job.tasks += [
            Task(job, number, f"{prefix}.{index}") for index in range(step.count)
        ]
    job.release_steps()
    return job


def find_critical_path_ms(steps: tuple[Step, ...], durations_ms: list[int]) -> int:
    """Return the length of the longest chain of steps in ms.

    Args:
        steps: Steps of a job; each refers only to earlier ones.
        durations_ms: Expected duration of a task of each step in ms.
    """
    ends_ms: list[int] = []
    for step, duration_ms in zip(steps, durations_ms, strict=True):
        begin_ms = max((ends_ms[number] for number in step.after), default=0)
        ends_ms.append(begin_ms + duration_ms)
    return max(ends_ms, default=0)
