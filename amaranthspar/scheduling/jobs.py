"""Jobs with their steps and tasks, as a gateway holds them in memory."""

from __future__ import annotations

import enum

import attrs

from amaranthspar.schema import runmessages

FIRST_OCCURRENCE = 0
"""Occurrence number in the task names of a job that runs once."""


@attrs.frozen(slots=True)
class Step:
    """Group of identical tasks of a job.

    Attributes:
        count: Number of tasks.
        needs: Resources that each task needs.
        estimate_ms: Duration of a task in ms as the caller declares it.
        after: Positions of the steps that must be done before this one starts.
        label: Label that an upstream must have; empty if none is required.
        data_rack: Rack in which the input data is stored; empty for none.
        max_per_upstream: Maximum number of tasks of this step on one upstream at once;
            0 for no limit.
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
    """Queue for jobs, as the routing document defines it.

    Attributes:
        name: Name of the queue.
        service: Service whose upstreams run the tasks.
        priority: Priority of its jobs among equal start deadlines, and under a shortage
            before these; 0 comes first.
        max_attempts: Number of failed runs of one task after which its job fails.
        stretch: Latency objective as a multiple of the job's critical path.
        target_ms: Constant part of the latency objective in ms.
    """

    name: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_ms: int


@attrs.frozen(slots=True)
class Request:
    """Job as its caller submits it.

    Attributes:
        id: Id of the job, chosen by the caller.
        queue: Queue of the job.
        spec: Specification that is passed to every task.
        steps: Steps of the job; `Step.after` refers to positions in this tuple.
    """

    id: str
    queue: Queue
    spec: str
    steps: tuple[Step, ...]


class TaskState(enum.Enum):
    """State of a task.

    Attributes:
        BLOCKED: An earlier step is not done.
        WAITING: The task waits to be placed.
        PLACED: A start was sent to a sidecar.
        DONE: The task needs no further run.
    """

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
        state: State of the task.
        run: Number of its last run; 0 before the first.
        failures: Number of its runs that failed.
        sidecar: Name of the sidecar of its current run; empty for none.
        incarnation: Incarnation of that sidecar when the run was placed.
        upstream: Incarnation of its upstream when the run was placed.
        placed_ms: Time at which the start was last sent in ms.
        start_number: Number of the message that first requested the current run.
        is_running: Whether the sidecar confirmed the start.
        percent: Progress of its run in percent.
        progressed_ms: Age of its run in ms at which `percent` last grew.
        avoided: Names of sidecars that failed or refused it or were slow.
        is_held: Whether it waits for a better sidecar although another one has enough
            free capacity.
        held_ms: Time at which it was first held in ms; -1 if it was not.
    """

    job: Job
    step: int
    name: str
    state: TaskState = TaskState.BLOCKED
    run: int = 0
    failures: int = 0
    sidecar: str = ""
    incarnation: int = 0
    upstream: str = ""
    placed_ms: int = 0
    start_number: int = 0
    is_running: bool = False
    percent: int = 0
    progressed_ms: int = 0
    avoided: set[str] = attrs.field(factory=set)
    is_held: bool = False
    held_ms: int = -1

    @property
    def definition(self) -> Step:
        """Step that the task belongs to."""
        return self.job.request.steps[self.step]

    @property
    def run_name(self) -> runmessages.RunName:
        """Name of the current run."""
        return runmessages.RunName(self.name, self.run)


@attrs.define(slots=True, eq=False)
class Job:
    """Admitted job.

    Attributes:
        request: Job as submitted.
        arrived_ms: Time of its arrival in ms.
        tasks: All tasks, ordered by step.
        waiting: Tasks that can start; the last one is placed first.
        remaining: Number of tasks that are not done, by step.
        is_dispatched: Whether a start of any of its tasks was sent.
        start_by_ms: Time in ms by which its waiting tasks should start.
        end_by_ms: Time in ms after which its answer is useless to the caller.
        precedence: Priority that it has under a shortage; the lowest comes first.
        suspect: Task for whose success its siblings wait; `None` for none.
        held: Tasks that are not placed until the suspect has succeeded.
    """

    request: Request
    arrived_ms: int
    tasks: list[Task] = attrs.field(factory=list)
    waiting: list[Task] = attrs.field(factory=list)
    remaining: list[int] = attrs.field(factory=list)
    is_dispatched: bool = False
    start_by_ms: int = 0
    end_by_ms: int = 0
    precedence: int = 0
    suspect: Task | None = None
    held: list[Task] = attrs.field(factory=list)

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return not any(self.remaining)

    def release_steps(self) -> None:
        """Make the tasks wait for placement whose earlier steps are done."""
        for task in self.tasks:
            after = task.definition.after
            if task.state is TaskState.BLOCKED and not any(
                self.remaining[step] for step in after
            ):
                task.state = TaskState.WAITING
                (self.waiting if self.suspect is None else self.held).append(task)

    def requeue_task(self, task: Task) -> None:
        """Make a task wait for placement again after a run without success.

        Args:
            task: Task of this job.
        """
        task.state = TaskState.WAITING
        task.is_running = False
        task.percent = 0
        task.progressed_ms = 0
        task.is_held = False
        task.held_ms = -1
        task.sidecar = ""
        if self.suspect is not None and self.suspect is not task:
            self.held.append(task)
        else:
            self.waiting.append(task)

    def hold_siblings(self, task: Task) -> bool:
        """Hold back all other waiting tasks until one that fails has succeeded.

        Args:
            task: Waiting task of this job; ignored if others wait for another one.

        Returns:
            Whether its siblings wait for it from now on.
        """
        if self.suspect is not None:
            return False
        self.suspect = task
        self.held = [item for item in self.waiting if item is not task]
        self.waiting = [task]
        return True

    def release_siblings(self, task: Task) -> bool:
        """Make the tasks that were held back wait for placement again.

        Args:
            task: Task of this job that has succeeded.

        Returns:
            Whether any task was held back for it.
        """
        if self.suspect is not task:
            return False
        self.suspect = None
        released, self.held = self.held, []
        self.waiting += released
        return bool(released)


def build_job(request: Request, now_ms: int) -> Job:
    """Build a job; the tasks of its first steps wait for placement.

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
    """Return the expected length of the critical path in ms.

    Args:
        steps: Steps of a job; each refers only to earlier ones.
        durations_ms: Expected duration of a task of each step in ms.
    """
    ends_ms: list[int] = []
    for step, duration_ms in zip(steps, durations_ms, strict=True):
        begin_ms = max((ends_ms[number] for number in step.after), default=0)
        ends_ms.append(begin_ms + duration_ms)
    return max(ends_ms, default=0)
