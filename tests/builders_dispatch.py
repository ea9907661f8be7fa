"""Simulation of gateways and sidecars in a faulty network, with a test oracle.

`Simulation` runs the state machines of gateways and sidecars with a network that
loses, duplicates, delays, reorders and damages messages, and a simple model of
the controllers. `Oracle` records and checks starts and answers.
"""

import heapq
import random
from collections.abc import Iterable
from typing import Any

import attrs

from amaranthspar import configuration, effects
from amaranthspar.dispatch import dispatcher, submissions, tracking
from amaranthspar.execution import executor
from amaranthspar.membership import desks, leaseholder
from amaranthspar.schema import messages

TICK_MS = 50
LEASE_MS = 3000
EXPIRY_MS = 2 * LEASE_MS
SLOTS = 3
CONTROLLER = "controller"
SIDECARS = {"s1": ("gyor", "main"), "s2": ("pecs", "main"), "s3": ("pecs", "ledger")}
GATEWAYS = ("g1", "g2")
DESK = "desk-1"
SERVICES = {"lookup": True, "recalculate": True, "hold": False}


class Violation(AssertionError):
    """A guarantee of the system was violated."""


@attrs.define
class SubmissionRecord:
    """Record of one submission."""

    submission: submissions.Submission
    gateway: "Process"
    deadline_ms: int
    answer: submissions.Answer | None = None
    abandoned: bool = False


class Oracle:
    """Checks starts and answers against the guarantees of the system."""

    def __init__(self) -> None:
        self.starts: dict[tuple[str, int], int] = {}
        self.records: dict[str, SubmissionRecord] = {}
        self.second_starts = 0

    def note_start(self, name: str, index: int) -> None:
        record = self.records[name]
        count = self.starts[name, index] = self.starts.get((name, index), 0) + 1
        idempotent = (
            SERVICES[record.submission.service] and not record.submission.is_job
        )
        if count > (2 if idempotent else 1):
            raise Violation(f"{name}/{index} started {count} times")
        self.second_starts += count - 1
        if record.answer is not None and record.answer.outcome == submissions.NOT_RUN:
            raise Violation(f"{name}/{index} started after the answer 'not-run'")

    def note_answer(self, answer: submissions.Answer, now_ms: int) -> None:
        record = self.records[answer.submission]
        if record.answer is not None:
            raise Violation(f"{answer.submission} was answered twice")
        record.answer = answer
        tasks = record.submission.tasks
        started = any((answer.submission, task.index) in self.starts for task in tasks)
        if answer.outcome == submissions.NOT_RUN and started:
            raise Violation(f"{answer.submission}: false 'not-run' {answer.reason!r}")
        if now_ms > record.deadline_ms + 2 * TICK_MS:
            raise Violation(f"{answer.submission} was answered too late")
        if answer.reason or not answer.results:
            if answer.results:
                raise Violation(f"{answer.submission}: partial answer")
            return
        bodies = [item.body for item in answer.results]
        wanted = [f"{answer.submission}/{task.index}".encode() for task in tasks]
        if bodies != wanted or answer.outcome != submissions.DONE:
            raise Violation(f"{answer.submission}: wrong answer {bodies}")

    def check(self, now_ms: int, retried: int) -> None:
        """Check that overdue submissions have ended and retries were counted."""
        if self.second_starts > retried:
            raise Violation(f"{self.second_starts} second starts, {retried} retries")
        for name, record in self.records.items():
            overdue = now_ms > record.deadline_ms + 2 * TICK_MS
            if overdue and record.answer is None and not record.abandoned:
                raise Violation(f"{name} was never answered")


class ControllerModel:
    """Simple model of the controllers: configuration, members and leases."""

    def __init__(self, text: str) -> None:
        self.available = True
        self.version = 0
        self.revision = 0
        self.members: dict[str, messages.Member] = {}
        self.granted_ms: dict[tuple[str, int], int] = {}
        self.out_since: dict[str, int] = {}
        self.homes: list[tuple[int, str]] = [(0, "main")]
        self._seen_ms: dict[str, int] = {}
        self._floors: dict[str, int] = {}
        self._sections: dict[str, messages.Section] = {}
        self.accept(text)

    def accept(self, text: str) -> None:
        self.version += 1
        wanted = configuration.parse_text(text).list_sections()
        named = {item.name: item for item in wanted}
        self._sections = desks.update_moved_versions(
            self._sections, named, self.version
        )

    def handle(self, message: object, now_ms: int) -> object:
        """Return the answer to a message, None if it has no answer."""
        match message:
            case messages.RenewLease() if self.available:
                return self._renew(message, now_ms)
            case messages.LeaveMembership() if self.available:
                self._leave(message)
        return None

    def expire(self, now_ms: int) -> None:
        if not self.available:
            self._seen_ms = dict.fromkeys(self.members, now_ms)
        for name, member in list(self.members.items()):
            if now_ms - self._seen_ms[name] > EXPIRY_MS:
                self._remove(member, member.incarnation - 1)

    def _remove(self, member: messages.Member, floor: int) -> None:
        del self.members[member.process]
        self._floors[member.process] = floor
        self.revision += 1

    def _leave(self, message: messages.LeaveMembership) -> None:
        member = self.members.get(message.process)
        if member is None or member.incarnation != message.incarnation:
            return
        if message.stopped:
            self._remove(member, member.incarnation)
            return
        self.revision += 1
        self.members[message.process] = attrs.evolve(member, leaving=True)

    def _renew(
        self, message: messages.RenewLease, now_ms: int
    ) -> messages.LeaseGranted | messages.LeaseDenied:
        member = message.member
        current = self.members.get(member.process)
        newest = self._floors.get(member.process, -1)
        if current is not None:
            newest = max(newest, current.incarnation - 1)
        if member.incarnation <= newest:
            return messages.LeaseDenied(message.sent_ms, "superseded", newest + 1)
        if current is None or current.incarnation != member.incarnation:
            self.revision += 1
            self.members[member.process] = member
        self._seen_ms[member.process] = now_ms
        return messages.LeaseGranted(
            message.sent_ms,
            LEASE_MS,
            0,
            self.version,
            self.revision,
            messages.ConfigurationChange(
                0, self.version, list(self._sections.values()), []
            ),
            messages.MembershipChange(
                0, self.revision, list(self.members.values()), []
            ),
        )


@attrs.define(eq=False)
class Process:
    """A running gateway or sidecar."""

    name: str
    offset_ms: int
    holder: leaseholder.LeaseHolder
    machine: Any
    running: dict[tuple[str, int], executor.RunTask] = attrs.field(factory=dict)
    run_ms: dict[tuple[str, int], int] = attrs.field(factory=dict)
    draining: bool = False

    @property
    def incarnation(self) -> int:
        return self.holder.member.incarnation


def build_text(out: Iterable[str] = (), home: str = "main") -> str:
    built = configuration.Configuration()
    for name, idempotent in SERVICES.items():
        built.add_service(name, idempotent=idempotent)
    for domain in ("gyor", "pecs"):
        built.add_domain(domain, state="out" if domain in out else "in")
    return str(built.add_desk(DESK, home=home))


def build_sidecar_member(name: str, incarnation: int) -> messages.Member:
    domain, group = SIDECARS[name]
    services = list(SERVICES)
    announcement = messages.Announcement(
        f"w-{name}", "r1", group, domain, services, SLOTS, 64, 16, 65536, 0
    )
    return messages.Member(name, "sidecar", incarnation, name, 0, False, announcement)


class Simulation:
    """Processes, network and upstreams driven by one random generator."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.now_ms = 100_000
        self.oracle = Oracle()
        self.controllers = ControllerModel(build_text())
        self.processes: dict[str, Process] = {}
        self.cut: dict[tuple[str, str], bool] = {}
        self.faults = 0.0
        self.out: set[str] = set()
        self.home = "main"
        self.retried = 0
        self.most_running = 0
        self._queue: list[tuple[int, int, tuple[Any, ...]]] = []
        self._serial = 0
        self._numbers = 0
        self._newest: dict[str, int] = {}
        for name in (*GATEWAYS, *SIDECARS):
            self.start_process(name)
        self._push(TICK_MS, ("tick",))

    # Actions.

    def start_process(self, name: str) -> None:
        if name in self.processes:
            return
        older = self._newest.get(name, 1000)
        incarnation = older + self.chance.choice((1, 1, 1, 50, -20))
        offset_ms = self.chance.randrange(1_000_000)
        member = messages.Member(name, "gateway", incarnation, name, 0)
        if name in SIDECARS:
            member = build_sidecar_member(name, incarnation)
        started_ms = self.now_ms + offset_ms
        chance = random.Random(self.chance.random())
        holder = leaseholder.LeaseHolder(member, [CONTROLLER], started_ms, chance)
        machine = (
            executor.Executor(holder)
            if name in SIDECARS
            else dispatcher.Dispatcher(holder, "gyor")
        )
        self.processes[name] = Process(name, offset_ms, holder, machine)

    def crash(self, name: str) -> None:
        process = self.processes.pop(name, None)
        if process is None:
            return
        self._newest[name] = process.incarnation
        self._count_retries(process)
        for run in self.oracle.records.values():
            if run.gateway is process:
                run.abandoned = True

    def drain(self, name: str) -> None:
        process = self.processes.get(name)
        if process is None or process.draining or name not in SIDECARS:
            return
        process.draining = True
        self._perform(process, process.machine.drain(self._read(process)))
        self._leave(process, stopped=False)

    def set_domain(self, domain: str, state: str) -> None:
        if not self.controllers.available or (domain in self.out) == (state == "out"):
            return
        if state == "out":
            self.out.add(domain)
            self.controllers.out_since[domain] = self.now_ms
        else:
            self.out.remove(domain)
            del self.controllers.out_since[domain]
        self.controllers.accept(build_text(self.out, self.home))

    def move_desk(self, home: str) -> None:
        if not self.controllers.available or home == self.home:
            return
        self.home = home
        self.controllers.homes.append((self.now_ms, home))
        self.controllers.accept(build_text(self.out, home))

    def submit(
        self,
        gateway: str,
        service: str,
        count: int = 1,
        desk: str = "",
        deadline_ms: int = 4000,
    ) -> str | None:
        """Submit a request or a job; return None if the gateway is down."""
        process = self.processes.get(gateway)
        if process is None:
            return None
        self._numbers += 1
        name = f"{gateway}.{process.incarnation}.{self._numbers}"
        now_ms = self._read(process)
        tasks = [submissions.Task(index, b"{}") for index in range(count)]
        submission = submissions.Submission(
            name,
            service,
            "field",
            "team",
            "caller",
            desk,
            service == "recalculate",
            "application/json",
            now_ms,
            now_ms + deadline_ms,
            tasks,
        )
        self.oracle.records[name] = SubmissionRecord(
            submission, process, self.now_ms + deadline_ms
        )
        self._handle(process, dispatcher.Submitted(submission))
        return name

    def cancel(self, name: str) -> None:
        record = self.oracle.records.get(name)
        if record is not None and not record.abandoned:
            self._handle(record.gateway, dispatcher.Cancelled(name))

    def cut_link(self, sender: str, receiver: str, held: bool) -> None:
        """Cut one direction; held messages are delivered once it is restored."""
        self.cut[sender, receiver] = held

    def heal(self) -> None:
        self.cut.clear()
        self.faults = 0.0
        self.controllers.available = True

    def advance(self, duration_ms: int) -> None:
        until_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, event = heapq.heappop(self._queue)
            self._dispatch(event)
        self.now_ms = until_ms
        retried = self.retried + sum(map(_read_retries, self.processes.values()))
        self.oracle.check(self.now_ms, retried)

    def _count_retries(self, process: Process) -> None:
        self.retried += _read_retries(process)

    # Events.

    def _read(self, process: Process) -> int:
        return self.now_ms + process.offset_ms

    def _push(self, delay_ms: int, event: tuple[Any, ...]) -> None:
        self._serial += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._serial, event))

    def _dispatch(self, event: tuple[Any, ...]) -> None:
        match event:
            case ("tick",):
                self._tick()
            case ("deliver", sender, incarnation, receiver, message):
                self._deliver(sender, incarnation, receiver, message)
            case ("end", process, run, failed):
                self._end(process, run, failed)

    def _tick(self) -> None:
        self._push(TICK_MS, ("tick",))
        self.controllers.expire(self.now_ms)
        for process in list(self.processes.values()):
            now_ms = self._read(process)
            self._perform(process, process.holder.tick(now_ms))
            self._perform(process, process.machine.tick(now_ms))
            if process.draining and process.machine.is_idle:
                self._leave(process, stopped=True)
                self.crash(process.name)

    def _leave(self, process: Process, stopped: bool) -> None:
        leave = messages.LeaveMembership(process.name, process.incarnation, stopped)
        self._send(process, CONTROLLER, leave)

    def _send(self, process: Process, receiver: str, message: object) -> None:
        copies = 1
        if self.chance.random() < self.faults:
            copies = self.chance.choice((0, 0, 2))
        for _ in range(copies):
            delay_ms = 1
            if self.chance.random() < self.faults:
                delay_ms = self.chance.choice((2, 10, 100, 1000, 2000, 7000))
            sent = self._damage(message)
            event = ("deliver", process.name, process.incarnation, receiver, sent)
            self._push(delay_ms, event)

    def _damage(self, message: object) -> object:
        if not isinstance(message, messages.ReportResults) or not message.results:
            return message
        if self.chance.random() >= self.faults / 4:
            return message
        results = [
            attrs.evolve(item, body=b"x") if item.body else item
            for item in message.results
        ]
        return attrs.evolve(message, results=results)

    def _deliver(
        self, sender: str, incarnation: int, receiver: str, message: object
    ) -> None:
        held = self.cut.get((sender, receiver))
        if held is not None:
            if held:
                again = ("deliver", sender, incarnation, receiver, message)
                self._push(self.chance.randint(50, 500), again)
            return
        if receiver == CONTROLLER:
            answer = self.controllers.handle(message, self.now_ms)
            if answer is not None:
                self._answer_renewal(sender, incarnation, message, answer)
            return
        process = self.processes.get(receiver)
        if process is None:
            return
        match message:
            case messages.LeaseGranted() | messages.LeaseDenied():
                requested = process.holder.handle(message, self._read(process))
                self._perform(process, requested)
            case _ if receiver in SIDECARS:
                event = executor.Received(sender, incarnation, sender, message)
                self._handle(process, event)
            case _:
                self._handle(process, dispatcher.Received(sender, incarnation, message))

    def _answer_renewal(
        self, receiver: str, incarnation: int, renewal: Any, answer: object
    ) -> None:
        process = self.processes.get(receiver)
        if process is None or process.incarnation != incarnation:
            return
        if isinstance(answer, messages.LeaseGranted):
            sent_ms = renewal.sent_ms - process.offset_ms
            name = (receiver, incarnation)
            newest = self.controllers.granted_ms.get(name, 0)
            self.controllers.granted_ms[name] = max(newest, sent_ms)
        if self.chance.random() >= self.faults:
            delay_ms = self.chance.randint(0, 2)
            self._push(delay_ms, ("deliver", CONTROLLER, 1, receiver, answer))

    def _handle(self, process: Process, event: Any) -> None:
        self._perform(process, process.machine.handle(event, self._read(process)))

    def _perform(self, process: Process, requested: Iterable[object]) -> None:
        for effect in requested:
            match effect:
                case effects.Send():
                    self._send(process, effect.peer, effect.message)
                case submissions.Answer():
                    self.oracle.note_answer(effect, self.now_ms)
                case executor.RunTask():
                    self._run(process, effect)
                case executor.StopTask():
                    run = process.running.get((effect.submission, effect.index))
                    if run is not None and self.chance.random() < 0.5:
                        self._push(1, ("end", process, run, "cancelled"))
                case leaseholder.LeaseLost():
                    self.crash(process.name)
                    self.start_process(process.name)
                    return
                case leaseholder.ViewChanged():
                    if process.name in GATEWAYS:
                        self._handle(process, dispatcher.ViewChanged())

    # Upstreams.

    def _run(self, process: Process, run: executor.RunTask) -> None:
        name = (run.submission, run.index)
        process.running[name] = run
        if self.chance.random() < self.faults / 4:
            self._push(1, ("end", process, run, "refused"))
            return
        self._check_start(process, run)
        self.oracle.note_start(*name)
        self.most_running = max(
            self.most_running,
            sum(len(item.running) for item in self.processes.values()),
        )
        failed = "status" if self.chance.random() < self.faults / 4 else ""
        run_ms = self.chance.choice((5, 50, 50, 300, 1000, 3000))
        if run_ms > run.timeout_ms:
            run_ms, failed = run.timeout_ms, "timeout"
        process.run_ms[name] = run_ms
        self._push(run_ms, ("end", process, run, failed))

    def _check_start(self, process: Process, run: executor.RunTask) -> None:
        domain, group = SIDECARS[process.name]
        if len(process.running) > SLOTS:
            raise Violation(f"{process.name} runs {len(process.running)} tasks")
        granted = self.controllers.granted_ms.get(
            (process.name, process.incarnation), 0
        )
        if self.now_ms > granted + LEASE_MS:
            raise Violation(f"{process.name} started without a lease")
        out_ms = self.controllers.out_since.get(domain, self.now_ms)
        if self.now_ms > out_ms + LEASE_MS:
            raise Violation(f"{process.name} started in an out domain")
        desk = self.oracle.records[run.submission].submission.desk
        if desk and group not in self._list_homes():
            raise Violation(f"{process.name} started for a desk served elsewhere")
        if desk:
            self._check_other_homes(desk, group)

    def _check_other_homes(self, desk: str, group: str) -> None:
        for name in SIDECARS:
            process = self.processes.get(name)
            member = self.controllers.members.get(name)
            if process is None or member is None or SIDECARS[name][1] == group:
                continue
            if member.incarnation != process.incarnation:
                continue
            for submission, _ in process.running:
                if self.oracle.records[submission].submission.desk == desk:
                    raise Violation(f"{desk} runs at two homes")

    def _list_homes(self) -> set[str]:
        homes = set()
        until_ms = self.now_ms
        for since_ms, home in reversed(self.controllers.homes):
            if until_ms >= self.now_ms - LEASE_MS:
                homes.add(home)
            until_ms = since_ms
        return homes

    def _end(self, process: Process, run: executor.RunTask, failed: str) -> None:
        name = (run.submission, run.index)
        if process.running.get(name) is not run:
            return
        del process.running[name]
        if self.processes.get(process.name) is not process:
            return
        body = "/".join(map(str, name)).encode()
        match failed:
            case "refused":
                result = messages.TaskResult(*name, "not-run", "connection refused")
            case "" | "status":
                result = messages.TaskResult(
                    *name,
                    "done",
                    status=500 if failed else 200,
                    body=body,
                    run_ms=process.run_ms[name],
                    digest=tracking.digest_body(body),
                )
            case _:
                result = messages.TaskResult(*name, "unknown", failed)
        self._handle(process, executor.TaskEnded(result))

    # Final checks.

    def settle(self) -> None:
        """Remove all faults and check that the system recovers.

        Raises:
            Violation: A submission does not end, or a slot stays unused.
        """
        self.heal()
        for name in (*GATEWAYS, *SIDECARS):
            if name in self.processes and self.processes[name].draining:
                self.crash(name)
            self.start_process(name)
        for domain in ("gyor", "pecs"):
            self.set_domain(domain, "in")
        self.move_desk("main")
        self.advance(25_000)
        for gateway in GATEWAYS:
            self._check_service(gateway)
            self.advance(6_000)
        self._check_slots()

    def _check_service(self, gateway: str) -> None:
        names = [self.submit(gateway, "hold") for _ in range(SLOTS)]
        self.advance(3_900)
        for name in names:
            answer = self.oracle.records[name or ""].answer
            if answer is None or answer.outcome != submissions.DONE:
                raise Violation(f"{name} did not end after recovery: {answer}")

    def _check_slots(self) -> None:
        """Check that one gateway can use every slot that the other leaves idle."""
        slots = SLOTS * sum(group == "main" for _, group in SIDECARS.values())
        self.most_running = 0
        self.submit(GATEWAYS[0], "recalculate", count=20 * slots, deadline_ms=20_000)
        self.advance(5_000)
        if self.most_running < slots:
            raise Violation(f"{self.most_running} of {slots} slots used")


def _read_retries(process: Process) -> int:
    retried: int = process.machine.counts["tasks.retried"]
    return retried
