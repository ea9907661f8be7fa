"""Simulation of gateways and sidecars in virtual time.

The real state machines are joined by delayed messages instead of sockets.
"""

import collections
import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterable

import attrs

from amaranthspar import configuration, effects
from amaranthspar.dispatch import dispatcher, submissions
from amaranthspar.execution import executor
from amaranthspar.membership import leaseholder
from amaranthspar.schema import messages
from benchmarks import arrivals as workloads

DELAY_MS = (0.5, 1.5)
TICK_MS = 50
LEASE_MS = 100_000_000
SERVICES = ["lookup", "recalculate", "hold"]
DOMAINS = ("gyor", "pecs", "veszprem")
WIDTH = 24


class Loop:
    """Event loop whose clock jumps from event to event."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()

    def call_at(self, at_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call for a time in ms."""
        heapq.heappush(self._events, (at_ms, next(self._serial), call))

    def run(self, until_ms: float) -> None:
        """Run the calls that are due until a time in ms."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._events)
            call()
        self.now_ms = until_ms


@attrs.define(slots=True)
class Behaviour:
    """Behaviour of one upstream.

    Attributes:
        slowness: Factor on run times.
        fails: Whether every task fails, after 1 ms.
    """

    slowness: float = 1.0
    fails: bool = False


@attrs.define(slots=True)
class Record:
    """Measurements of a simulation.

    Attributes:
        responses_ms: Response time of each answered arrival in ms, by its position.
        outcomes: Number of answers by outcome and reason.
        messages: Number of messages by class name.
        useful_messages: Number of start messages, and of result messages with at
            least one completed task.
        starts: Number of starts of each task.
        busy_ms: Total run time of the started tasks in ms, by sidecar.
        by_sidecar: Number of starts by sidecar.
    """

    responses_ms: dict[int, float] = attrs.field(factory=dict)
    outcomes: collections.Counter[str] = attrs.field(factory=collections.Counter)
    messages: collections.Counter[str] = attrs.field(factory=collections.Counter)
    useful_messages: int = 0
    starts: collections.Counter[tuple[str, int]] = attrs.field(
        factory=collections.Counter
    )
    busy_ms: collections.Counter[str] = attrs.field(factory=collections.Counter)
    by_sidecar: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def compute_wasted_per_task(self) -> float:
        """Return the messages per task that are not counted as useful."""
        total = sum(self.messages.values())
        return (total - self.useful_messages) / max(1, len(self.starts))


@attrs.define(slots=True)
class Gateway:
    """A gateway and its lease holder."""

    member: messages.Member
    lease_holder: leaseholder.LeaseHolder
    machine: dispatcher.Dispatcher


@attrs.define(slots=True)
class Sidecar:
    """A sidecar with its lease holder and the behaviour of its upstream."""

    member: messages.Member
    lease_holder: leaseholder.LeaseHolder
    machine: executor.Executor
    behaviour: Behaviour
    is_alive: bool = True


class Fleet:
    """Gateways and sidecars on a network with random delays.

    Args:
        gateways: Number of gateways.
        sidecars: Number of sidecars.
        slots: Number of slots of each sidecar.
        seed: Seed of the random delays.
    """

    def __init__(
        self, gateways: int = 2, sidecars: int = 9, slots: int = 8, seed: int = 1
    ) -> None:
        self.loop = Loop()
        self.record = Record()
        self.settings = build_settings()
        self._rng = random.Random(seed)
        self._last_delivery_ms: dict[tuple[str, str], float] = {}
        self._arrivals: dict[str, tuple[int, workloads.Arrival]] = {}
        self._running: dict[tuple[str, int], str] = {}
        self._revision = 0
        self._version = 1
        self.sidecars = {
            member.process: self._build_sidecar(member)
            for member in (build_member(n, slots) for n in range(sidecars))
        }
        self.gateways = {
            member.process: self._build_gateway(member, DOMAINS[n % len(DOMAINS)])
            for n, member in enumerate(map(build_gateway_member, range(gateways)))
        }
        self.update_view()
        for number, name in enumerate([*self.gateways, *self.sidecars]):
            self._schedule_tick(name, number * 3.0)

    def _build_gateway(self, member: messages.Member, domain: str) -> Gateway:
        lease_holder = leaseholder.LeaseHolder(member, ["c"], 0, random.Random(1))
        return Gateway(
            member, lease_holder, dispatcher.Dispatcher(lease_holder, domain)
        )

    def _build_sidecar(self, member: messages.Member) -> Sidecar:
        lease_holder = leaseholder.LeaseHolder(member, ["c"], 0, random.Random(1))
        return Sidecar(
            member, lease_holder, executor.Executor(lease_holder), Behaviour()
        )

    def update_view(self) -> None:
        """Grant every process a lease with the current configuration and members."""
        self._revision += 1
        self._version += 1
        members = [item.member for item in self.gateways.values()]
        members += [item.member for item in self.sidecars.values() if item.is_alive]
        grant = messages.LeaseGranted(
            sent_ms=int(self.loop.now_ms),
            duration_ms=LEASE_MS,
            age_ms=0,
            configuration_version=self._version,
            membership_revision=self._revision,
            configuration=messages.ConfigurationChange(
                0, self._version, self.settings.list_sections(), []
            ),
            membership=messages.MembershipChange(0, self._revision, members, []),
        )
        now_ms = int(self.loop.now_ms)
        for sidecar in self.sidecars.values():
            sidecar.lease_holder.handle(grant, now_ms)
        for gateway in self.gateways.values():
            gateway.lease_holder.handle(grant, now_ms)
            self._perform(
                gateway, gateway.machine.handle(dispatcher.ViewChanged(), now_ms)
            )

    def add_arrivals(self, arrivals: Iterable[workloads.Arrival]) -> None:
        """Schedule the submission of arrivals."""
        names = list(self.gateways)
        for position, arrival in enumerate(arrivals):
            name = names[arrival.gateway % len(names)]
            call = functools.partial(self._submit, name, position, arrival)
            self.loop.call_at(arrival.at_ms, call)

    def _submit(self, name: str, position: int, arrival: workloads.Arrival) -> None:
        now_ms = int(self.loop.now_ms)
        gateway = self.gateways[name]
        submission = build_submission(f"s{position}", arrival, now_ms)
        self._arrivals[submission.name] = (position, arrival)
        event = dispatcher.Submitted(submission)
        self._perform(gateway, gateway.machine.handle(event, now_ms))

    def cancel(self, name: str, position: int) -> None:
        """Cancel the submission of the arrival at a position."""
        gateway = self.gateways[name]
        event = dispatcher.Cancelled(f"s{position}")
        self._perform(gateway, gateway.machine.handle(event, int(self.loop.now_ms)))

    def restart_sidecar(self, name: str) -> None:
        """Replace a sidecar by a new incarnation; its running tasks are lost."""
        old = self.sidecars[name]
        member = attrs.evolve(old.member, incarnation=old.member.incarnation + 1)
        self.sidecars[name] = self._build_sidecar(member)
        for task in [task for task, role in self._running.items() if role == name]:
            del self._running[task]
        self.update_view()

    def _schedule_tick(self, name: str, at_ms: float) -> None:
        self.loop.call_at(at_ms, lambda: self._tick(name))

    def _tick(self, name: str) -> None:
        now_ms = int(self.loop.now_ms)
        role = self.gateways.get(name) or self.sidecars[name]
        self._perform(role, role.machine.tick(now_ms))
        self._schedule_tick(name, self.loop.now_ms + TICK_MS)

    def _perform(self, role: Gateway | Sidecar, produced: Iterable[object]) -> None:
        for effect in produced:
            match effect:
                case effects.Send():
                    self._send(role, effect)
                case submissions.Answer():
                    self._record_answer(effect)
                case executor.RunTask():
                    assert isinstance(role, Sidecar)
                    self._run_task(role, effect)
                case executor.StopTask():
                    self._stop_task(role, effect)

    def _send(self, role: Gateway | Sidecar, send: effects.Send) -> None:
        message = send.message
        self.record.messages[type(message).__name__] += 1
        if isinstance(message, messages.StartTasks):
            self.record.useful_messages += 1
        if isinstance(message, messages.ReportResults):
            self.record.useful_messages += any(
                item.outcome == "done" for item in message.results
            )
        link = (role.member.process, send.peer)
        at_ms = self.loop.now_ms + self._rng.uniform(*DELAY_MS)
        at_ms = max(at_ms, self._last_delivery_ms.get(link, 0.0))
        self._last_delivery_ms[link] = at_ms
        sender = role.member
        self.loop.call_at(at_ms, lambda: self._deliver(sender, send.peer, message))

    def _deliver(self, sender: messages.Member, peer: str, message: object) -> None:
        now_ms = int(self.loop.now_ms)
        if peer in self.gateways:
            gateway = self.gateways[peer]
            received = dispatcher.Received(sender.process, sender.incarnation, message)
            self._perform(gateway, gateway.machine.handle(received, now_ms))
        elif peer in self.sidecars and self.sidecars[peer].is_alive:
            sidecar = self.sidecars[peer]
            event = executor.Received(
                sender.process, sender.incarnation, sender.address, message
            )
            self._perform(sidecar, sidecar.machine.handle(event, now_ms))

    def _run_task(self, role: Sidecar, run: executor.RunTask) -> None:
        _, arrival = self._arrivals[run.submission]
        name = (run.submission, run.index)
        run_ms = arrival.runs_ms[run.index] * role.behaviour.slowness
        failed = arrival.fails or role.behaviour.fails
        if role.behaviour.fails:
            run_ms = 1.0
        self.record.starts[name] += 1
        self.record.by_sidecar[role.member.process] += 1
        self.record.busy_ms[role.member.process] += int(run_ms)
        self._running[name] = role.member.process
        result = messages.TaskResult(
            *name, "done", status=500 if failed else 200, run_ms=int(run_ms)
        )
        self.loop.call_at(
            self.loop.now_ms + run_ms, lambda: self._end_task(role, result)
        )

    def _stop_task(self, role: Gateway | Sidecar, stop: executor.StopTask) -> None:
        result = messages.TaskResult(
            stop.submission, stop.index, "unknown", "cancelled"
        )
        assert isinstance(role, Sidecar)
        self.loop.call_at(self.loop.now_ms, lambda: self._end_task(role, result))

    def _end_task(self, role: Sidecar, result: messages.TaskResult) -> None:
        name = (result.submission, result.index)
        if self.sidecars[role.member.process] is not role:
            return
        if self._running.pop(name, None) is None:
            return
        event = executor.TaskEnded(result)
        self._perform(role, role.machine.handle(event, int(self.loop.now_ms)))

    def _record_answer(self, answer: submissions.Answer) -> None:
        position, arrival = self._arrivals[answer.submission]
        self.record.outcomes[f"{answer.outcome} {answer.reason}".strip()] += 1
        if answer.outcome == submissions.DONE:
            self.record.responses_ms[position] = self.loop.now_ms - arrival.at_ms


def build_settings() -> configuration.Configuration:
    """Return the configuration of the simulated processes."""
    result = configuration.Configuration()
    result.add_service("lookup", idempotent=True, deadline_ms=3_600_000)
    result.add_service("recalculate", idempotent=True, objective="completion")
    result.add_service("hold")
    result.add_team("field")
    result.add_team("office")
    for domain in DOMAINS:
        result.add_domain(domain)
    return result


def build_gateway_member(number: int) -> messages.Member:
    """Return the membership entry of a gateway by its number."""
    name = f"gateway-{number + 1}"
    return messages.Member(name, "gateway", 1, name, revision=0)


def build_member(number: int, slots: int) -> messages.Member:
    """Return the membership entry of a sidecar by its number."""
    name = f"sidecar-{number + 1}"
    announcement = messages.Announcement(
        worker=f"worker-{number + 1}",
        rack=f"rack-{number // 3 + 1}",
        group="main",
        failure_domain=DOMAINS[number % len(DOMAINS)],
        services=SERVICES,
        slots=slots,
        connections=64,
        cores=16,
        memory_mb=65536,
        accelerators=0,
    )
    return messages.Member(
        name, "sidecar", 1, name, revision=0, announcement=announcement
    )


def build_submission(
    name: str, arrival: workloads.Arrival, now_ms: int, deadline_ms: int = 600_000
) -> submissions.Submission:
    """Return the submission of an arrival."""
    tasks = [
        submissions.Task(index, b"", expected_ms)
        for index, expected_ms in enumerate(arrival.declared_ms)
    ]
    return submissions.Submission(
        name=name,
        service=arrival.service,
        account=arrival.team,
        team=arrival.team,
        caller=arrival.caller,
        desk="",
        is_job=arrival.is_job,
        content_type="application/json",
        admitted_ms=now_ms,
        deadline_ms=now_ms + deadline_ms,
        tasks=tasks,
    )
