"""Measurements of the controllers: failover, restarts, removal of a domain, changes."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import signal
import statistics
import tempfile
import time
from collections.abc import AsyncIterator

import attrs

from amaranthspar import clock, effects, ports
from amaranthspar.membership import leaseholder
from amaranthspar.network import links
from amaranthspar.registry import registry
from amaranthspar.schema import codec, messages
from amaranthspar.storage import disk, files
from benchmarks import fits, fleet, holders, outcomes, trials

LEASES = 500
KILLS = 5
REMOVALS = 5
CHANGES = 1_000
CLAIMS = 2_000
CONCURRENT_CLAIMS = 64
PROBE_MS = 10
SETTLE_SECONDS = 4.0
MEASURE_SECONDS = 4.0
LEASE_COUNTS = (0, 250, 500, 1_000, 2_500)
REMOVAL_TARGET_MS = 3_000
RESTART_TARGET_MS = 1_000
SYNCED_WRITES = 200
RESTART_LEASES = (250, 1_000)
ONE_BY_ONE = "one after the other"
RESTART_WAYS = {ONE_BY_ONE: 0.0, "killed": 0.0, "killed, 10 s down": 10.0}
START_INTERVAL_MS = 100
PEAK_TARGET = 4.0
HOLDER_PROCESSES = 5
SETTLED_TARGET = 1.5


@attrs.define(slots=True)
class Cluster:
    """Controllers that run as processes, and a client for them.

    Attributes:
        fleet: Processes of the controllers.
        client: Client that sends them requests.
    """

    fleet: fleet.Fleet
    client: Client

    @property
    def addresses(self) -> list[str]:
        """Addresses of the controllers."""
        return self.fleet.controller_addresses

    async def find_leader(self) -> int:
        """Return the position of the leader."""
        request = messages.ReplaceReplica(0, "", "", "", "")
        while True:
            for address in self.addresses:
                answer = await self.client.ask(address, request)
                if isinstance(answer, messages.ReplicasChanged) and answer.leader:
                    return int(answer.leader.removeprefix("c")) - 1

    async def propose(self, change_id: str, text: str, base: int) -> int:
        """Propose a configuration until it is decided, and return its version.

        Raises:
            fleet.FleetError: The change was not accepted.
        """
        proposal = messages.ProposeConfiguration(change_id, base, "benchmark", text)
        while True:
            for address in self.addresses:
                answer = await self.client.ask(address, proposal)
                if isinstance(answer, messages.ConfigurationDecided):
                    if answer.outcome == "accepted":
                        return answer.version
                    if answer.outcome != "unavailable":
                        raise fleet.FleetError(f"{change_id}: {answer}")

    def restart(self, position: int) -> None:
        """Start a controller again that has ended, by its position."""
        name = f"controller-{position + 1}"
        path = self.fleet.folder / f"{name}.ini"
        words = ["-m", "amaranthspar", "controller", "--settings", str(path)]
        self.fleet.spawn(name, words, self.addresses[position])


class Client:
    """Client of the controllers, which matches answers with requests."""

    def __init__(self) -> None:
        self.decided_ms: list[float] = []
        self._waiting: dict[object, asyncio.Future[codec.Message]] = {}
        address = ports.find_addresses()[0]
        self.links = links.Links("benchmark", 1, address, self._receive)

    async def ask(
        self, address: str, request: codec.Message, wait_s: float = 0.7
    ) -> codec.Message | None:
        """Send a request and return its answer, `None` after a timeout."""
        key = _find_correlation_key(request)
        future = asyncio.get_running_loop().create_future()
        self._waiting[key] = future
        self.links.send(address, request)
        try:
            return await asyncio.wait_for(future, wait_s)
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(key, None)

    def _receive(self, frame: codec.Frame) -> None:
        for message in frame.messages:
            if isinstance(message, messages.ClaimDecided) and message.submission:
                self.decided_ms.append(time.monotonic() * 1000)
            future = self._waiting.get(_find_correlation_key(message))
            if future is not None and not future.done():
                future.set_result(message)


def _find_correlation_key(message: codec.Message) -> object:
    match message:
        case messages.ProposeConfiguration() | messages.ConfigurationDecided():
            return message.change_id
        case messages.ClaimSubmission() | messages.ClaimDecided():
            return message.key
        case messages.ReplaceReplica() | messages.ReplicasChanged():
            return "replicas"
    return type(message).__name__


@contextlib.asynccontextmanager
async def open_cluster(options: trials.Options) -> AsyncIterator[Cluster]:
    """Run three controllers for the length of a block.

    Args:
        options: Options of the run; the first firm gives the configuration.
    """
    with tempfile.TemporaryDirectory(dir=os.environ.get("TMPDIR")) as folder:
        started = fleet.Fleet(options.firms[0], pathlib.Path(folder))
        cluster = Cluster(started, Client())
        await cluster.client.links.open()
        try:
            started.start_controllers()
            async with asyncio.timeout(30):
                await cluster.find_leader()
            yield cluster
        finally:
            cluster.client.links.close()
            started.kill()


async def run_failover(options: trials.Options) -> outcomes.Outcome:
    """Kill the leader repeatedly while leases are held.

    Args:
        options: Options of the run.
    """
    outcome = outcomes.Outcome("failover", options.seed, options.seconds)
    async with open_cluster(options) as cluster:
        lease_holders = holders.Holders(LEASES, cluster.addresses, options.seed)
        await lease_holders.open()
        await asyncio.sleep(SETTLE_SECONDS)
        gaps = [await _measure_kill(cluster, number) for number in range(KILLS)]
        lease_holders.close()
        lapses = lease_holders.lapses
    median, longest = statistics.median(gaps), max(gaps)
    outcome.measures += [
        outcomes.Measure("leases lapsed", lapses, 0),
        outcomes.Measure("without leader, median ms", median),
        outcomes.Measure("without leader, longest ms", longest),
        outcomes.Measure("leases held", LEASES),
        outcomes.Measure("leaders killed", KILLS),
    ]
    return outcome


async def _measure_kill(cluster: Cluster, number: int) -> float:
    """Return the longest time in ms between two accepted claims around a kill."""
    leader = await cluster.find_leader()
    others = [item for item in cluster.addresses if item != cluster.addresses[leader]]
    cluster.client.decided_ms.clear()
    killed = cluster.fleet.processes[f"controller-{leader + 1}"]
    for step in range(int(SETTLE_SECONDS * 1000 / PROBE_MS)):
        if step == 1000 // PROBE_MS:
            killed.popen.kill()
            killed.popen.wait()
        key = f"kill-{number}-{step}"
        claim = messages.ClaimSubmission(key, "", key, "benchmark", 1)
        for address in others:
            cluster.client.links.send(address, claim)
        await asyncio.sleep(PROBE_MS / 1000)
    times = cluster.client.decided_ms
    cluster.restart(leader)
    await asyncio.sleep(SETTLE_SECONDS)
    return max(b - a for a, b in zip(times, times[1:], strict=False))


async def run_restarts(options: trials.Options) -> outcomes.Outcome:
    """Restart all controllers in several ways while leases are held.

    Args:
        options: Options of the run.
    """
    outcome = outcomes.Outcome("restarts", options.seed, options.seconds)
    rows: list[tuple[object, ...]] = []
    for count in RESTART_LEASES:
        async with open_cluster(options) as cluster:
            lease_holders = holders.Holders(count, cluster.addresses, options.seed)
            await lease_holders.open()
            await asyncio.sleep(SETTLE_SECONDS)
            for way in RESTART_WAYS:
                restart = await _measure_restarts(cluster, lease_holders, way)
                rows.append((count, way, *attrs.astuple(restart)))
                _add_restart_measures(outcome, f"{count} leases, {way}", restart)
            lease_holders.close()
    headers = ("leases", "way", *(field.name for field in attrs.fields(Restart)))
    outcome.tables.append(outcomes.Table("Restarts of all controllers", headers, rows))
    return outcome


@attrs.frozen(slots=True)
class Restart:
    """Effects of a restart of all controllers.

    Attributes:
        lapsed: Number of leases that expired.
        refused: Starts that would have been refused if each holder had one every
            100 ms.
        down_ms: Time in ms from the first stop until the last start.
        back_ms: Time in ms from the last start until all leases are in force.
        peak: Most renewals sent in 200 ms, as a rate per s and lease.
        settled: The same rate from 4 s after all leases are in force again.
    """

    lapsed: int
    refused: int
    down_ms: float
    back_ms: float
    peak: float
    settled: float


def _add_restart_measures(
    outcome: outcomes.Outcome, place: str, restart: Restart
) -> None:
    target = 0 if place.endswith(ONE_BY_ONE) else None
    outcome.measures += [
        outcomes.Measure(f"{place}: lapsed leases", restart.lapsed, target),
        outcomes.Measure(f"{place}: refused starts", restart.refused, target),
        outcomes.Measure(f"{place}: leases back after ms", restart.back_ms),
        outcomes.Measure(f"{place}: peak a lease", restart.peak, PEAK_TARGET),
        outcomes.Measure(f"{place}: settled peak", restart.settled, SETTLED_TARGET),
    ]


async def _measure_restarts(
    cluster: Cluster, lease_holders: holders.Holders, way: str
) -> Restart:
    lapses, lapsed_ms = lease_holders.lapses, lease_holders.lapsed_ms
    now_ms = clock.Clock().read_monotonic
    stopped_ms = now_ms()
    if way == ONE_BY_ONE:
        await _restart_one_by_one(cluster)
    else:
        await _restart_at_once(cluster, RESTART_WAYS[way])
    started_ms = now_ms()
    await lease_holders.wait_granted()
    back_ms = now_ms() - started_ms
    await asyncio.sleep(SETTLE_SECONDS)
    settled_ms = now_ms()
    await asyncio.sleep(SETTLE_SECONDS)
    count = len(lease_holders.holders)
    return Restart(
        lease_holders.lapses - lapses,
        (lease_holders.lapsed_ms - lapsed_ms) // START_INTERVAL_MS,
        started_ms - stopped_ms,
        back_ms,
        lease_holders.find_peak_rate(stopped_ms) / count,
        lease_holders.find_peak_rate(settled_ms) / count,
    )


async def _restart_one_by_one(cluster: Cluster) -> None:
    """Restart each controller, the next one once this one answers with a leader."""
    for position, address in enumerate(cluster.addresses):
        process = cluster.fleet.processes[f"controller-{position + 1}"]
        process.send_signal(signal.SIGTERM)
        await fleet.wait_exit(process)
        cluster.restart(position)
        request = messages.ReplaceReplica(0, "", "", "", "")
        while await cluster.client.ask(address, request) is None:
            await asyncio.sleep(PROBE_MS / 1000)


async def _restart_at_once(cluster: Cluster, down_seconds: float) -> None:
    group = cluster.fleet.list_processes("controller")
    for process in group:
        process.popen.kill()
    for process in group:
        process.popen.wait()
    await asyncio.sleep(down_seconds)
    for position in range(len(group)):
        cluster.restart(position)


async def run_removal(options: trials.Options) -> outcomes.Outcome:
    """Take a failure domain out while its lease holders are cut off.

    Args:
        options: Options of the run.
    """
    outcome = outcomes.Outcome("removal", options.seed, options.seconds)
    last_expiry_ms: list[float] = []
    spread_ms: list[float] = []
    async with open_cluster(options) as cluster:
        lease_holders = holders.Holders(LEASES, cluster.addresses, options.seed)
        await lease_holders.open()
        text = str(cluster.fleet.build_configuration())
        version = 1
        for number in range(REMOVALS):
            changed = text.replace("[domain gyor]", "[domain gyor]\nstate = out")
            isolated = _IsolatedHolders(cluster.addresses, options.seed + number)
            await isolated.hold_and_isolate()
            version = await cluster.propose(f"out-{number}", changed, version)
            accepted_ms = time.monotonic() * 1000
            last_expiry_ms.append(isolated.find_last_expiry() - accepted_ms)
            spread_ms.append(await _wait_version(lease_holders, version, accepted_ms))
            isolated.close()
            version = await cluster.propose(f"in-{number}", text, version)
            await asyncio.sleep(1.5)
        lease_holders.close()
    outcome.measures += [
        outcomes.Measure(
            "last start allowed, worst ms", max(last_expiry_ms), REMOVAL_TARGET_MS
        ),
        outcomes.Measure(
            "last start allowed, median ms", statistics.median(last_expiry_ms)
        ),
        outcomes.Measure("in force everywhere, worst ms", max(spread_ms), 3_000),
        outcomes.Measure("removals", REMOVALS),
        outcomes.Measure("leases held", LEASES),
    ]
    return outcome


async def _wait_version(
    lease_holders: holders.Holders, version: int, accepted_ms: float
) -> float:
    while not all(item.version >= version for item in lease_holders.holders):
        await asyncio.sleep(0.005)
    return time.monotonic() * 1000 - accepted_ms


class _IsolatedHolders:
    """Lease holders of a domain whose messages are lost from some time on."""

    def __init__(self, controllers: list[str], seed: int) -> None:
        self._clock = clock.Clock()
        now_ms = self._clock.read_monotonic()
        self._pairs: list[tuple[leaseholder.LeaseHolder, links.Links]] = []
        self._is_isolated = False
        for number, address in enumerate(ports.find_addresses(6)):
            name = f"cut-{seed}-{number}"
            member = holders.build_member(name, address)
            rng = random.Random(seed * 10 + number)
            holder = leaseholder.LeaseHolder(member, controllers, now_ms, rng)
            link = links.Links(name, 1, address, self._build_receiver(holder))
            self._pairs.append((holder, link))

    def _build_receiver(self, holder: leaseholder.LeaseHolder) -> links.FrameHandler:
        def receive(frame: codec.Frame) -> None:
            for message in frame.messages:
                if not self._is_isolated:
                    holder.handle(message, self._clock.read_monotonic())

        return receive

    async def hold_and_isolate(self) -> None:
        """Hold leases for two renewals, then neither receive nor send."""
        for _, link in self._pairs:
            await link.open()
        for _ in range(220):
            for holder, link in self._pairs:
                for effect in holder.tick(self._clock.read_monotonic()):
                    if isinstance(effect, effects.Send):
                        link.send(effect.peer, effect.message)
            await asyncio.sleep(holders.TICK_MS / 1000)
        self._is_isolated = True

    def find_last_expiry(self) -> float:
        """Return the monotonic time in ms at which the last of the leases expires."""
        now_ms = self._clock.read_monotonic()
        left = max(holder.find_remaining_ms(now_ms) for holder, _ in self._pairs)
        return time.monotonic() * 1000 + left

    def close(self) -> None:
        """Close the links."""
        for _, link in self._pairs:
            link.close()


async def run_config(options: trials.Options) -> outcomes.Outcome:
    """Measure changes, claims, renewals, synced writes and a restart.

    Args:
        options: Options of the run.
    """
    outcome = outcomes.Outcome("config", options.seed, options.seconds)
    async with open_cluster(options) as cluster:
        sync_ms = _measure_sync(cluster.fleet.folder)
        await _measure_renewals(cluster, options, outcome)
        changes = await _measure_changes(cluster)
        singles = await _measure_claims(cluster, "single", 1, CLAIMS // 8)
        batched = await _measure_claims(cluster, "batched", CONCURRENT_CLAIMS, CLAIMS)
        leader = await cluster.find_leader()
        name = f"controller-{leader + 1}"
        process = cluster.fleet.processes[name].popen
        process.kill()
        process.wait()
        folder = str(cluster.fleet.folder / name)
        restart_ms = _measure_restart(folder, f"c{leader + 1}")
    outcome.measures += [
        outcomes.Measure("synced write, median ms", sync_ms),
        outcomes.Measure("configuration changes a second", 1000 / changes[0]),
        outcomes.Measure("configuration change, median ms", changes[1]),
        outcomes.Measure("claims a second, one at a time", 1000 / singles[0]),
        outcomes.Measure("claim, one at a time, median ms", singles[1]),
        outcomes.Measure("claims a second, 64 at once", 1000 / batched[0]),
        outcomes.Measure("claim, 64 at once, median ms", batched[1]),
        outcomes.Measure(
            f"restart after {CHANGES} changes, ms", restart_ms, RESTART_TARGET_MS
        ),
    ]
    return outcome


def _measure_sync(folder: pathlib.Path) -> float:
    """Return the median time in ms of a small write with its sync to disk."""
    content = files.Files(str(folder / "sync"))
    times = []
    for _ in range(SYNCED_WRITES):
        begin = time.perf_counter()
        content.append("log", b"x" * 300)
        content.sync("log")
        times.append((time.perf_counter() - begin) * 1000)
    content.close()
    return statistics.median(times)


async def _measure_changes(cluster: Cluster) -> tuple[float, float]:
    """Return the mean and the median time in ms of consecutive changes."""
    built = cluster.fleet.build_configuration()
    times = []
    version = 1
    begin = time.perf_counter()
    for number in range(CHANGES):
        built.add_team(f"team-{number % 250}", weight=number + 1)
        started = time.perf_counter()
        version = await cluster.propose(f"change-{number}", str(built), version)
        times.append((time.perf_counter() - started) * 1000)
    mean = (time.perf_counter() - begin) * 1000 / CHANGES
    return mean, statistics.median(times)


async def _measure_claims(
    cluster: Cluster, name: str, concurrent: int, count: int
) -> tuple[float, float]:
    leader = cluster.addresses[await cluster.find_leader()]
    times: list[float] = []
    numbers = iter(range(count))

    async def work() -> None:
        for number in numbers:
            key = f"{name}-{number}"
            claim = messages.ClaimSubmission(key, "", key, "benchmark", 1)
            started = time.perf_counter()
            await cluster.client.ask(leader, claim)
            times.append((time.perf_counter() - started) * 1000)

    begin = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(concurrent)))
    mean = (time.perf_counter() - begin) * 1000 / count
    return mean, statistics.median(times)


async def _measure_renewals(
    cluster: Cluster, options: trials.Options, outcome: outcomes.Outcome
) -> None:
    rows: list[tuple[object, ...]] = []
    for count in LEASE_COUNTS:
        lease_holders = holders.Holders(count, cluster.addresses, options.seed + count)
        await lease_holders.open()
        await asyncio.sleep(1.5)
        processes = cluster.fleet.list_processes("controller")
        before = [item.read_cpu() for item in processes]
        grants, begin = lease_holders.grants, time.monotonic()
        await asyncio.sleep(MEASURE_SECONDS)
        elapsed = time.monotonic() - begin
        spent = sum(item.read_cpu() for item in processes) - sum(before)
        rate = (lease_holders.grants - grants) / elapsed
        memory = max(item.read_memory() for item in processes)
        rows.append((count, rate, spent / elapsed * 100, memory, lease_holders.lapses))
        lease_holders.close()
    first, last = rows[0], rows[-1]
    cost = (float(str(last[2])) - float(str(first[2]))) / float(str(last[1]))
    headers = ("leases", "renewals/s", "CPU % of a core, all three", "MB", "lapses")
    outcome.tables.append(outcomes.Table("Renewals", headers, rows))
    outcome.measures += [
        outcomes.Measure("renewal, CPU of all controllers us", cost * 10_000),
        outcomes.Measure("renewal, bytes asked", _measure_renewal_bytes()),
        outcomes.Measure("renewal, bytes granted", _measure_grant_bytes()),
    ]


async def run_links(options: trials.Options) -> outcomes.Outcome:
    """Measure renewals by lease holders that have separate links.

    Args:
        options: Options of the run.
    """
    outcome = outcomes.Outcome("links", options.seed, options.seconds)
    rows = [await _measure_links(options, count) for count in LEASE_COUNTS[1:]]
    headers = ("leases", "us/s of one controller", "MB", "bytes a renewal", "lapses")
    outcome.tables.append(outcomes.Table("Separate links", headers, [*rows]))
    sizes = [float(row[0]) for row in rows]
    for index in (1, 2, 3):
        fit = fits.fit_line(sizes, [float(row[index]) for row in rows])
        outcome.notes.append(f"- {headers[index]} by leases: {fit}.")
    lapses = sum(row[4] for row in rows)
    outcome.measures.append(outcomes.Measure("leases lapsed", lapses, 0))
    return outcome


async def _measure_links(
    options: trials.Options, count: int
) -> tuple[int, float, float, float, int]:
    async with open_cluster(options) as cluster:
        group = cluster.fleet
        names = [f"holders-{number + 1}" for number in range(HOLDER_PROCESSES)]
        for number, name in enumerate(names):
            words = ["-m", "benchmarks.holders", "--seed", str(number + 1)]
            words += ["--controllers", ",".join(cluster.addresses)]
            words += ["--count", str(count // HOLDER_PROCESSES)]
            group.spawn(name, words, "")
            async with asyncio.timeout(holders.START_SECONDS):
                while not (group.folder / f"{name}.log").read_text():
                    await asyncio.sleep(PROBE_MS / 1000)
        await asyncio.sleep(SETTLE_SECONDS)
        controllers = group.list_processes("controller")
        before = sum(item.read_cpu() for item in controllers)
        await asyncio.sleep(2 * MEASURE_SECONDS)
        spent = sum(item.read_cpu() for item in controllers) - before
        cost = spent / (2 * MEASURE_SECONDS) / len(controllers) * 1e6
        memory = max(item.read_memory() for item in controllers)
        totals: collections.Counter[str] = collections.Counter()
        for name in names:
            group.processes[name].send_signal(signal.SIGTERM)
            await fleet.wait_exit(group.processes[name])
            last_line = (group.folder / f"{name}.log").read_text().splitlines()[-1]
            totals.update(json.loads(last_line))
    size = totals["links.bytes.sent"] + totals["links.bytes.received"]
    return count, cost, memory, size / totals["grants"], totals["lapses"]


def _measure_renewal_bytes() -> int:
    member = holders.build_member("holder-1-1000", "127.0.0.1:20000")
    renewal = messages.RenewLease(member, 1_000_000_000, 6_200, 2_500)
    frame = codec.Frame("holder-1-1000", 1, "127.0.0.1:20000", [renewal])
    return len(codec.encode_frame(frame))


def _measure_grant_bytes() -> int:
    grant = messages.LeaseGranted(1_000_000_000, 3_000, 150, 6_200, 2_500)
    frame = codec.Frame("controller-1", 1, "127.0.0.1:20000", [grant])
    return len(codec.encode_frame(frame))


def _measure_restart(folder: str, replica: str) -> float:
    """Return the time in ms to read a data folder and apply its snapshot and log."""
    begin = time.perf_counter()
    opened = disk.open_folder(files.Files(folder), replica, 1)
    state = registry.Registry()
    if opened.stored.snapshot is not None:
        state.restore(opened.stored.snapshot.state)
    for entry in opened.stored.entries:
        state.apply(entry)
    elapsed = (time.perf_counter() - begin) * 1000
    opened.close()
    if state.version < CHANGES:
        raise fleet.FleetError(f"only {state.version} versions after the restart")
    return elapsed
