"""Tests of graceful stops: each role is a process under load that gets two signals."""

import asyncio
import contextlib
import json
import pathlib
import signal
import subprocess
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs
import pytest

from amaranthspar import errors, ports, stopping
from amaranthspar.clients import client
from amaranthspar.roles import cluster
from amaranthspar.upstreams import standin
from tests import builders_shell

DOMAINS = ("gyor", "pecs", "veszprem")
CALLERS = 24
SLEEP_MS = 150
DRAIN_MS = 1500
SPARE_PORT = 13
STOPPED_TWICE = """
import asyncio, os, signal
from amaranthspar import loop, stopping

async def serve():
    stop = stopping.watch_signals()
    os.kill(os.getpid(), signal.{first})
    await asyncio.wait_for(stop.wait(), 10)
    os.kill(os.getpid(), signal.SIGTERM)

class EndOfInterpreter:
    def __del__(self, kill=os.kill, pid=os.getpid(), number=signal.SIGTERM):
        kill(pid, number)

end = EndOfInterpreter()
loop.run_loop(serve())
os.kill(os.getpid(), signal.SIGINT)
os.kill(os.getpid(), signal.SIGTERM)
"""


@attrs.define
class Load:
    """Callers behind a load balancer that routes them to ready gateways only."""

    urls: list[str]
    ready: list[str] = attrs.field(factory=list)
    answered: int = 0
    failures: list[str] = attrs.field(factory=list)
    refused: list[list[int]] = attrs.field(factory=list)
    is_over: bool = False

    async def wait_answered(self, count: int) -> None:
        wanted = self.answered + count
        async with asyncio.timeout(builders_shell.START_TIMEOUT_S):
            while self.answered < wanted:
                await asyncio.sleep(0.1)

    async def watch_readiness(self) -> None:
        clients = {url: client.Client(url, "") for url in self.urls}
        while not self.is_over:
            found = []
            for url, item in clients.items():
                with contextlib.suppress(client.ClientError):
                    reply = await item.call("GET", "/readyz")
                    found += [url] if reply.status == 200 else []
            self.ready = found
            await asyncio.sleep(0.1)
        for item in clients.values():
            await item.close()

    async def send_requests(self, number: int) -> None:
        clients = {url: client.Client(url, "secret") for url in self.urls}
        count = 0
        while not self.is_over:
            if not self.ready:
                await asyncio.sleep(0.05)
                continue
            count += 1
            item = clients[self.ready[(number + count) % len(self.ready)]]
            echo = [number, count]
            body = {"sleep_ms": SLEEP_MS, "echo": echo}
            try:
                reply = await item.send_request("lookup", json.dumps(body).encode())
                own = reply.status == 200 and json.loads(reply.body)["echo"] == echo
                self.refused += [echo] if reply.outcome == "not-run" else []
                failure = "" if own else f"{reply.status} {reply.body[:300]!r}"
            except client.ClientError as error:
                failure = repr(error)
            self.answered += not failure
            self.failures += [failure] if failure else []
        for item in clients.values():
            await item.close()


@attrs.define
class RoleProcesses:
    """Processes of all roles, with their ports and settings."""

    folder: pathlib.Path
    processes: dict[str, subprocess.Popen[bytes]] = attrs.field(factory=dict)
    ports: list[int] = attrs.field(factory=lambda: ports.find_ports(16))

    def start(self, role: str, number: int, listen: int, section: str) -> None:
        controllers = ", ".join(f"127.0.0.1:{port}" for port in self.ports[:3])
        name = f"{role}-{number + 1}"
        path = self.folder / f"{name}.ini"
        path.write_text(
            f"[process]\nname = {name}\nlisten = 127.0.0.1:{listen}\n"
            f"controllers = {controllers}\nfailure_domain = {DOMAINS[number % 3]}\n"
            f"[{role}]\n{section}"
        )
        self.processes[name] = builders_shell.start_program(
            role, "--settings", str(path)
        )

    def start_controller(self, number: int) -> None:
        replicas = ", ".join(
            f"c{number}=127.0.0.1:{port}" for number, port in enumerate(self.ports[:3])
        )
        section = (
            f"replica = c{number}\nreplicas = {replicas}\n"
            f"data = {self.folder}/data-{number}\n"
            f"bootstrap = {self.folder}/bootstrap.ini\n"
        )
        listen = self.ports[number if number < 3 else SPARE_PORT]
        self.start("controller", number, listen, section)

    def start_gateway(self, number: int) -> str:
        address = f"127.0.0.1:{self.ports[8 + number]}"
        section = f"http = {address}\ndrain_ms = {DRAIN_MS}\n"
        self.start("gateway", number, self.ports[6 + number], section)
        return f"http://{address}"

    def start_controllers(self) -> None:
        bootstrap = self.folder / "bootstrap.ini"
        bootstrap.write_text(str(cluster.build_configuration("secret")))
        for number in range(3):
            self.start_controller(number)

    def start_all(self, upstreams: list[int]) -> list[str]:
        self.start_controllers()
        for number, port in enumerate(upstreams):
            section = (
                f"upstream = 127.0.0.1:{port}\nworker = w{number}\nrack = r{number}\n"
                "services = lookup, recalculate, hold\n"
            )
            self.start("sidecar", number, self.ports[3 + number], section)
        return [self.start_gateway(number) for number in range(2)]

    def kill(self, *names: str) -> None:
        """Kill processes and wait until they have ended."""
        for name in names:
            self.processes[name].kill()
        for name in names:
            self.processes.pop(name).wait()

    async def stop(self, name: str) -> None:
        """Send SIGTERM twice and check the exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
        code = await asyncio.to_thread(process.wait, builders_shell.START_TIMEOUT_S)
        assert code == 0, (name, builders_shell.read_output(process))


Scenario = Callable[[RoleProcesses], Awaitable[None]]


async def find_leader(url: str) -> str:
    """Return the name of the controller that is the leader."""
    caller = client.Client(url, "secret")
    leader = (await caller.fetch_replicas()).leader
    await caller.close()
    return f"controller-{int(leader.removeprefix('c')) + 1}"


@contextlib.asynccontextmanager
async def open_load(
    roles: RoleProcesses,
) -> AsyncIterator[tuple[Load, standin.StartRecord]]:
    """Run every role under load, then stop the remaining processes."""
    record = standin.StartRecord(None)
    stand_ins = []
    for number, domain in enumerate(DOMAINS):
        item = standin.StandIn(f"upstream-{number}", domain, record)
        await item.open(f"127.0.0.1:{roles.ports[10 + number]}")
        stand_ins.append(item)
    load = Load(roles.start_all(roles.ports[10:13]))
    running = [asyncio.create_task(load.watch_readiness())]
    running += [
        asyncio.create_task(load.send_requests(number)) for number in range(CALLERS)
    ]
    await load.wait_answered(3 * CALLERS)
    yield load, record
    load.is_over = True
    await asyncio.gather(*running)
    for name in list(roles.processes):
        await roles.stop(name)
    await asyncio.gather(*(item.close() for item in stand_ins))
    assert not record.list_duplicates()


def run(tmp_path: pathlib.Path, scenario: Scenario) -> None:
    """Run a scenario and kill the processes that it leaves behind."""
    roles = RoleProcesses(tmp_path)
    try:
        asyncio.run(scenario(roles))
    finally:
        roles.kill(*roles.processes)


@pytest.mark.parametrize("first", ["SIGTERM", "SIGINT"])
def test_signal_during_exit_of_stopped_process_has_no_effect(first: str) -> None:
    program = ("-c", STOPPED_TWICE.format(first=first))
    process = builders_shell.start_program(program=program)
    code = process.wait(builders_shell.START_TIMEOUT_S)
    assert code == 0, builders_shell.read_output(process)


def test_graceful_stops_lose_no_answer(tmp_path: pathlib.Path) -> None:
    async def scenario(roles: RoleProcesses) -> None:
        async with open_load(roles) as (load, _):
            leader = await find_leader(load.urls[0])
            for name in ("sidecar-2", leader, "gateway-1"):
                await roles.stop(name)
                await load.wait_answered(2 * CALLERS)
        assert load.failures == []

    run(tmp_path, scenario)


def test_served_demo_answers_every_request_when_stopped() -> None:
    served = builders_shell.ServedDemo()
    served.wait_ready()

    async def run() -> list[client.Reply]:
        callers = [client.Client(url, builders_shell.TOKEN) for url in served.urls]
        body = b'{"sleep_ms": 1500}'
        asked = [
            asyncio.create_task(callers[number % 2].send_request("lookup", body))
            for number in range(40)
        ]
        await asyncio.sleep(0.5)
        served.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        served.process.send_signal(signal.SIGTERM)
        replies = await asyncio.gather(*asked)
        for caller in callers:
            await caller.close()
        return replies

    replies = asyncio.run(run())
    assert {reply.status for reply in replies} == {200}
    assert served.process.wait(builders_shell.START_TIMEOUT_S) == 0


def test_work_that_waits_is_cancelled_by_a_requested_stop():
    async def scenario():
        stop = asyncio.Event()
        cancelled = asyncio.Event()

        async def wait_for_room():
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        asyncio.get_running_loop().call_later(0.05, stop.set)
        assert not await stopping.run_unless_stopped(wait_for_room(), stop)
        await asyncio.wait_for(cancelled.wait(), 1)

        async def start():
            await asyncio.sleep(0)

        assert await stopping.run_unless_stopped(start(), asyncio.Event())

        async def fail():
            raise errors.DiskError("broken")

        with pytest.raises(errors.DiskError, match="broken"):
            await stopping.run_unless_stopped(fail(), asyncio.Event())

    asyncio.run(scenario())
