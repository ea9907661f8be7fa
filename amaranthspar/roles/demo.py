"""Demonstration: every role in one process, a workload and an audit of it."""

import asyncio
import pathlib
import random
import secrets
import socket
import sys
import tempfile
import uuid
from typing import Any

import attrs
import msgspec
import tabulate
import tqdm

from amaranthspar import addresses, clock, configuration, errors, ports
from amaranthspar.clients import client
from amaranthspar.roles import cluster

JOB_TASKS = 200
LOOKUPS = 500
CALLERS = 40
HOLDS = 50
SEED = 7
OUT_AFTER_MS = 500
IN_AFTER_MS = 2500


@attrs.frozen(slots=True)
class Check:
    """One line of the audit.

    Attributes:
        name: What was checked.
        found: Result of the check.
        passed: Whether the result is as required.
    """

    name: str
    found: str
    passed: bool


@attrs.define(slots=True)
class Tally:
    """Counts and times as observed by the callers.

    Attributes:
        own: Complete answers that belong to the caller's own request.
        wrong: Other answers.
        refused: Numbers of refusals by reason.
        waits_ms: Response time of each lookup less its run time, in ms.
    """

    own: int = 0
    wrong: int = 0
    refused: dict[str, int] = attrs.field(factory=dict)
    waits_ms: list[float] = attrs.field(factory=list)

    def refuse(self, reply: client.Reply) -> None:
        """Count a refusal."""
        reason = f"{reply.status} {reply.outcome}"
        self.refused[reason] = self.refused.get(reason, 0) + 1


class Demo:
    """Workload of the demonstration.

    Args:
        running: Cluster that serves the workload.
        progress: Progress bar, advanced by each answer.
    """

    def __init__(self, running: cluster.Cluster, progress: "tqdm.tqdm[Any]") -> None:
        self._cluster = running
        self._progress = progress
        self._clock = clock.Clock()
        self._chance = random.Random(SEED)
        self._clients = [
            client.Client(f"http://{cluster.HOST}:{port}", running.token)
            for port in running.ports
        ]
        self.tally = Tally()
        self.job_ms = 0
        self.job_ideal_ms = 0.0

    async def run(self) -> None:
        """Run the workload while a failure domain goes out of service and returns."""
        callers = [self._send_lookups(number) for number in range(CALLERS)]
        holds = [self._send_hold(number) for number in range(HOLDS)]
        await asyncio.gather(self._submit_job(), self._cycle_domain(), *callers, *holds)
        for item in self._clients:
            await item.close()

    async def _submit_job(self) -> None:
        sleeps = [self._chance.uniform(50, 1000) for _ in range(JOB_TASKS)]
        tasks = [
            {"payload": {"sleep_ms": sleep, "echo": index}}
            for index, sleep in enumerate(sleeps)
        ]
        slots = cluster.UPSTREAMS * cluster.SLOTS
        self.job_ideal_ms = max(max(sleeps), sum(sleeps) / slots)
        started_ms = self._clock.read_monotonic()
        body = msgspec.json.encode({"tasks": tasks})
        reply = await self._clients[0].submit_job("recalculate", body)
        self.job_ms = self._clock.read_monotonic() - started_ms
        expected = list(range(JOB_TASKS))
        if reply.status == 200:
            answers = msgspec.json.decode(reply.body)["answers"]
            self._count_answer([item["echo"] for item in answers] == expected)
        else:
            self.tally.refuse(reply)
        self._progress.update()

    async def _send_lookups(self, caller: int) -> None:
        for number in range(caller, LOOKUPS, CALLERS):
            sleep_ms = self._chance.uniform(20, 80)
            started_ms = self._clock.read_monotonic()
            body = {"sleep_ms": sleep_ms, "echo": [caller, number]}
            service = self._clients[number % len(self._clients)]
            reply = await service.send_request("lookup", msgspec.json.encode(body))
            taken_ms = self._clock.read_monotonic() - started_ms
            self.tally.waits_ms.append(taken_ms - sleep_ms)
            self._check_echo(reply, [caller, number])

    async def _send_hold(self, number: int) -> None:
        await asyncio.sleep(self._chance.uniform(0, 2))
        key = {"Idempotency-Key": f"hold-{number}"}
        body = msgspec.json.encode({"sleep_ms": 50, "echo": number})
        service = self._clients[number % len(self._clients)]
        reply = await service.send_request("hold", body, key)
        self._check_echo(reply, number)

    def _check_echo(self, reply: client.Reply, expected: object) -> None:
        if reply.status == 200:
            self._count_answer(msgspec.json.decode(reply.body)["echo"] == expected)
        else:
            self.tally.refuse(reply)
        self._progress.update()

    def _count_answer(self, own: bool) -> None:
        if own:
            self.tally.own += 1
        else:
            self.tally.wrong += 1

    async def _cycle_domain(self) -> None:
        await asyncio.sleep(OUT_AFTER_MS / 1000)
        await self._set_domain("out")
        await asyncio.sleep((IN_AFTER_MS - OUT_AFTER_MS) / 1000)
        await self._set_domain("in")

    async def _set_domain(self, state: str) -> None:
        fetched = await self._clients[0].fetch_configuration()
        settings = configuration.parse_text(fetched.text)
        settings.add_domain(cluster.DOMAINS[0], state=state)
        await self._clients[0].submit_configuration(
            str(settings), fetched.version, str(uuid.uuid4())
        )

    def audit(self) -> list[Check]:
        """Return the checks of the audit."""
        tally = self.tally
        total = LOOKUPS + HOLDS + 1
        record = self._cluster.record
        most = max(record.starts.values(), default=0)
        expected = LOOKUPS + HOLDS + JOB_TASKS
        versions = [
            item.holder.view.configuration_version for item in self._cluster.gateways
        ]
        refused = ", ".join(f"{key}: {count}" for key, count in tally.refused.items())
        return [
            Check(
                "answers whole and own", f"{tally.own} of {total}", tally.own == total
            ),
            Check("answers of another request", str(tally.wrong), not tally.wrong),
            Check("refused", refused or "none", not tally.refused),
            Check("most starts of one task", str(most), most == 1),
            Check(
                "starts", f"{record.started} of {expected}", record.started == expected
            ),
            Check("configuration versions", str(versions), set(versions) == {3}),
        ]

    def list_times(self) -> list[tuple[str, str]]:
        """Return the response times to print."""
        waits = sorted(self.tally.waits_ms)
        middle, late = waits[len(waits) // 2], waits[int(len(waits) * 0.99)]
        return [
            ("job of 200 tasks", f"{self.job_ms} ms"),
            ("job at best with every slot", f"{self.job_ideal_ms:.0f} ms"),
            ("lookup beyond its run time, p50", f"{middle:.1f} ms"),
            ("lookup beyond its run time, p99", f"{late:.1f} ms"),
        ]


async def run_demo() -> int:
    """Run the demonstration and print its audit.

    Returns:
        Exit code: 0 if every check passed, else 1.
    """
    with tempfile.TemporaryDirectory() as folder:
        chosen = ports.find_ports(cluster.GATEWAYS)
        running = cluster.Cluster(pathlib.Path(folder), secrets.token_hex(16), chosen)
        print("starting 3 controllers, 2 gateways, 9 sidecars and 9 upstreams")
        await running.start()
        total = LOOKUPS + HOLDS + 1
        hidden = not sys.stderr.isatty()
        progress: tqdm.tqdm[Any] = tqdm.tqdm(total=total, unit="answer", disable=hidden)
        with progress:
            demo = Demo(running, progress)
            await demo.run()
        await asyncio.sleep(1.5)
        checks = demo.audit()
        await running.stop()
    rows = [
        (item.name, item.found, "ok" if item.passed else "FAILED") for item in checks
    ]
    print(tabulate.tabulate(rows, headers=("check", "found", "verdict")))
    print()
    print(tabulate.tabulate(demo.list_times(), headers=("response time", "")))
    return 0 if all(item.passed for item in checks) else 1


async def serve(port: int, token: str, stopping: asyncio.Event) -> int:
    """Run the cluster until a stop is requested.

    Args:
        port: HTTP port of the first gateway; the second uses the next one.
        token: Token of the account.
        stopping: Set when the cluster is to stop.

    Returns:
        Exit code 0.

    Raises:
        errors.SettingsError: A port cannot be used, or the token is malformed.
    """
    ports = [port, port + 1]
    _check_ports(ports)
    if not token or not token.isprintable() or token != token.strip():
        fault = f"--token {token!r}: expected printable characters without outer spaces"
        raise errors.SettingsError([fault])
    with tempfile.TemporaryDirectory() as folder:
        running = cluster.Cluster(pathlib.Path(folder), token, ports)
        await running.start()
        print(f"ready on ports {ports[0]} and {ports[1]}", flush=True)
        await stopping.wait()
        await running.stop()
    return 0


def _check_ports(ports: list[int]) -> None:
    for port in ports:
        if not 0 < port <= addresses.MAX_PORT:
            fault = f"--port {ports[0]}: expected 1 to {addresses.MAX_PORT - 1}"
            raise errors.SettingsError([fault])
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((cluster.HOST, port))
            except OSError as error:
                fault = f"--port {ports[0]}: port {port}: {error.strerror}"
                raise errors.SettingsError([fault]) from error
