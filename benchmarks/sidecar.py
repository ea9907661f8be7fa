"""Memory, CPU time and network bytes of one sidecar at the size expected in two years.

The sidecar runs as a process of its own. Stand-ins for its 40 gateways and its
upstream, and its controller, share the process of the benchmark.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import random
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator

import attrs
import psutil

from amaranthspar import clock, configuration, effects, ports
from amaranthspar.dispatch import dispatcher, submissions
from amaranthspar.membership import leaseholder
from amaranthspar.network import links
from amaranthspar.roles import controller
from amaranthspar.schema import codec, messages, options
from amaranthspar.upstreams import standin
from benchmarks import counters, outcomes, trials

GATEWAYS = 40
SERVICES = 50
DOMAINS = 20
DESKS = 500
SLOTS = 8
STARTS_PER_SECOND = 52
RUN_MS = 100
BODY_BYTES = 400
TICK_MS = 50
SETTLE_SECONDS = 6
FRAME_OVERHEAD_BYTES = 60
MEMORY_TARGET_MB = 64
CPU_TARGET_PERCENT = 2.8
BYTES_TARGET = 7000
DOMAIN = "domain-0"


@attrs.frozen(slots=True)
class Phase:
    """Resources that the sidecar used in one phase.

    Attributes:
        cpu_percent: CPU time in percent of one core.
        bytes_per_second: Bytes on its links in both directions.
        frames_per_second: Frames on its links in both directions.
        memory_mb: Resident memory at the end in MB.
        ended: Number of tasks that ended.
    """

    cpu_percent: float
    bytes_per_second: float
    frames_per_second: float
    memory_mb: float
    ended: int


@attrs.frozen(slots=True)
class SidecarCost:
    """Resources that one sidecar uses.

    Attributes:
        idle: Phase without tasks.
        loaded: Phase with 52 tasks a second.
    """

    idle: Phase
    loaded: Phase


class GatewayStandIn:
    """A gateway's dispatcher, lease holder and links, without its HTTP server."""

    def __init__(self, number: int, controllers: list[str]) -> None:
        self.name = f"gateway-{number}"
        self.ended = 0
        self._clock = clock.Clock()
        address = ports.find_addresses()[0]
        incarnation = self._clock.read_wall()
        member = messages.Member(self.name, "gateway", incarnation, address, 0)
        self.holder = leaseholder.LeaseHolder(
            member, controllers, self._clock.read_monotonic(), random.Random(number)
        )
        self.dispatcher = dispatcher.Dispatcher(self.holder, DOMAIN)
        self.links = links.Links(self.name, incarnation, address, self._receive)
        self._submission_count = 0

    def tick(self) -> None:
        """Do the periodic work of the lease holder and the dispatcher."""
        now_ms = self._clock.read_monotonic()
        self._perform(self.holder.tick(now_ms))
        self._perform(self.dispatcher.tick(now_ms))

    def submit(self) -> None:
        """Submit a request with one task."""
        self._submission_count += 1
        now_ms = self._clock.read_monotonic()
        body = b'{"sleep_ms": %d, "echo": "%s"}' % (RUN_MS, b"x" * BODY_BYTES)
        name = f"{self.name}.{self._submission_count}"
        names = (name, "service-0", "field", "team", "caller", "")
        submission = submissions.Submission(
            *names,
            False,
            "application/json",
            now_ms,
            now_ms + 10_000,
            [submissions.Task(0, body)],
        )
        self._handle(dispatcher.Submitted(submission))

    def _handle(self, event: dispatcher.Event) -> None:
        self._perform(self.dispatcher.handle(event, self._clock.read_monotonic()))

    def _receive(self, frame: codec.Frame) -> None:
        for message in frame.messages:
            match message:
                case messages.LeaseGranted() | messages.LeaseDenied():
                    now_ms = self._clock.read_monotonic()
                    self._perform(self.holder.handle(message, now_ms))
                case _:
                    sender = (frame.sender, frame.incarnation)
                    self._handle(dispatcher.Received(*sender, message))

    def _perform(
        self, produced: list[dispatcher.Effect] | list[leaseholder.Effect]
    ) -> None:
        for effect in produced:
            match effect:
                case effects.Send():
                    self.links.send(effect.peer, effect.message)
                case submissions.Answer():
                    self.ended += effect.outcome == submissions.DONE
                case leaseholder.ViewChanged():
                    self._handle(dispatcher.ViewChanged())


@attrs.define(slots=True)
class Site:
    """A sidecar and the stand-ins that it is connected to."""

    process: psutil.Process
    gateways: list[GatewayStandIn]
    counters: counters.Counters

    async def measure(self, seconds: float, rate: float) -> Phase:
        """Return the resources that the sidecar uses while tasks arrive at a rate.

        Args:
            seconds: Length of the phase in s.
            rate: Tasks per second; 0 for none.
        """
        before = self._read_totals()
        loop = asyncio.get_running_loop()
        started = loop.time()
        rng = random.Random(1)
        due = started + (rng.expovariate(rate) if rate else seconds)
        while loop.time() < started + seconds:
            while rate and due <= loop.time():
                rng.choice(self.gateways).submit()
                due += rng.expovariate(rate)
            wait = min(due, started + seconds) - loop.time()
            await asyncio.sleep(max(0.0, wait))
        after = self._read_totals()
        length = loop.time() - started
        frames = (after.frames - before.frames) / length
        payload = (after.payload - before.payload) / length
        return Phase(
            100 * (after.cpu - before.cpu) / length,
            payload + frames * FRAME_OVERHEAD_BYTES,
            frames,
            self.process.memory_info().rss / 2**20,
            after.ended - before.ended,
        )

    def _read_totals(self) -> _Totals:
        times = self.process.cpu_times()
        sums = self.counters.sum_metric("links.")
        return _Totals(
            times.user + times.system,
            sums["bytes.sent"] + sums["bytes.received"],
            sums["frames.sent"] + sums["frames.received"],
            sum(item.ended for item in self.gateways),
        )


@attrs.frozen(slots=True)
class _Totals:
    cpu: float
    payload: int
    frames: int
    ended: int


async def run_sidecar(seconds: float = 20.0, gateways: int = GATEWAYS) -> SidecarCost:
    """Measure a sidecar without and with load.

    Args:
        seconds: Length of each of the two phases in s.
        gateways: Number of gateways that are connected to it.
    """
    async with open_site(gateways) as site:
        await asyncio.sleep(SETTLE_SECONDS)
        idle = await site.measure(seconds, 0)
        loaded = await site.measure(seconds, STARTS_PER_SECOND)
    return SidecarCost(idle, loaded)


async def run(options: trials.Options) -> outcomes.Outcome:
    """Measure a sidecar and compare it with its targets.

    Args:
        options: Options of the run.
    """
    cost = await run_sidecar(options.seconds)
    outcome = outcomes.Outcome("sidecar", options.seed, options.seconds)
    rows: list[tuple[object, ...]] = []
    for name, phase in (("idle", cost.idle), ("52 tasks/s", cost.loaded)):
        rows.append((name, *attrs.astuple(phase)))
        outcome.measures += [
            outcomes.Measure(f"{name} CPU %", phase.cpu_percent, CPU_TARGET_PERCENT),
            outcomes.Measure(f"{name} MB", phase.memory_mb, MEMORY_TARGET_MB),
        ]
    idle_bytes = cost.idle.bytes_per_second
    outcome.measures.append(outcomes.Measure("idle bytes/s", idle_bytes, BYTES_TARGET))
    headers = ("phase", "CPU %", "bytes/s", "frames/s", "MB", "ended")
    outcome.tables.append(outcomes.Table("One sidecar, 40 gateways", headers, rows))
    return outcome


@contextlib.asynccontextmanager
async def open_site(count: int) -> AsyncIterator[Site]:
    """Run a sidecar and its stand-ins for the length of a block.

    Args:
        count: Number of gateways.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        control, listen, upstream = ports.find_addresses(3)
        (folder / "first.ini").write_text(_build_configuration())
        listener = counters.Counters()
        await listener.open()
        role = _build_controller(folder, control)
        await role.start()
        stand_in = standin.StandIn("upstream", DOMAIN, standin.StartRecord())
        await stand_in.open(upstream)
        gateways = [GatewayStandIn(number, [control]) for number in range(count)]
        for gateway in gateways:
            await gateway.links.open()
        ticking = asyncio.create_task(_tick(gateways))
        settings = folder / "sidecar.ini"
        settings.write_text(
            _build_settings(control, listen, upstream, listener.address)
        )
        command = [sys.executable, "-m", "amaranthspar", "sidecar"]
        with open(os.devnull, "wb") as devnull:
            popen = subprocess.Popen(
                [*command, "--settings", str(settings)], stdout=devnull, stderr=devnull
            )
        try:
            yield Site(psutil.Process(popen.pid), gateways, listener)
        finally:
            popen.kill()
            popen.wait()
            ticking.cancel()
            for gateway in gateways:
                gateway.links.close()
            await stand_in.close()
            await role.stop()
            listener.close()


async def _tick(gateways: list[GatewayStandIn]) -> None:
    while True:
        for gateway in gateways:
            gateway.tick()
        await asyncio.sleep(TICK_MS / 1000)


def _build_configuration() -> str:
    built = configuration.Configuration()
    for number in range(SERVICES):
        built.add_service(f"service-{number}", idempotent=True)
    for number in range(DOMAINS):
        built.add_domain(f"domain-{number}")
    for number in range(DESKS):
        built.add_desk(f"desk-{number}")
    return str(built)


def _build_controller(folder: pathlib.Path, address: str) -> controller.Controller:
    process = options.ProcessOptions("controller-1", address, [address], DOMAIN)
    section = options.ControllerOptions(
        "c1", [f"c1={address}"], str(folder / "data"), str(folder / "first.ini")
    )
    return controller.Controller(process, options.LinkOptions(), section)


def _build_settings(control: str, listen: str, upstream: str, statsd: str) -> str:
    return f"""[process]
name = sidecar-1
listen = {listen}
controllers = {control}
failure_domain = {DOMAIN}
statsd = {statsd}

[sidecar]
upstream = {upstream}
worker = worker-1
rack = rack-1
services = service-0
slots = {SLOTS}
"""
