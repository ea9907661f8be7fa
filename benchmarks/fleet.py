"""Processes of the roles and of their stand-ins, on loopback addresses."""

from __future__ import annotations

import asyncio
import os
import pathlib
import secrets
import signal
import subprocess
import sys
from collections.abc import Sequence
from typing import Any

import attrs
import msgspec
import psutil

from amaranthspar import configuration, ports
from amaranthspar.clients import client
from amaranthspar.schema import options
from amaranthspar.web import tokens
from benchmarks import firms, loglines

CONTROLLERS = 3
GATEWAYS = 2
READY_TIMEOUT_SECONDS = 30
READY_POLL_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 20
DEADLINE_MS = 120_000


class FleetError(Exception):
    """A process of the experiment did not reach the state that is needed."""


@attrs.define(slots=True)
class Process:
    """A started process.

    Attributes:
        name: Process name.
        popen: Handle of the operating system's process.
        address: Address at which it listens for links, HTTP or control.
    """

    name: str
    popen: subprocess.Popen[bytes]
    address: str = ""

    def send_signal(self, number: int) -> None:
        """Send a signal to this process only."""
        self.popen.send_signal(number)

    def read_cpu(self) -> float:
        """Return the CPU time used so far in s."""
        times = psutil.Process(self.popen.pid).cpu_times()
        return float(times.user + times.system)

    def read_memory(self) -> float:
        """Return the resident memory in MB."""
        return float(psutil.Process(self.popen.pid).memory_info().rss) / 2**20


@attrs.define(slots=True)
class Fleet:
    """Processes of one experiment.

    Attributes:
        firm: Workload and sizes of the upstreams.
        folder: Folder for settings, logs and the controllers' data.
        statsd: Address of the StatsD listener; empty for none.
        gateways: Number of gateways.
        controllers: Number of controllers.
        heartbeat_ms: Interval between heartbeats on links.
        isolated_processes: Names of the processes that a partition separates from
            the controllers.
        regions: Loopback address of each failure domain's region, if there are
            several regions; a partition separates these from each other.
        desks: Home of each desk.
        groups: Upstream group by number of the upstream, if not the main group.
        token: Bearer token of the operator's account.
        processes: Started processes by name.
        urls: URLs of the gateways.
        upstream_specs: Upstreams as ``NAME=DOMAIN=ADDRESS``.
        control: Address of the stand-ins' control interface.
        link_addresses: Address for links of each role, by process name.
        controller_addresses: Addresses for links of the controllers.
    """

    firm: firms.Firm
    folder: pathlib.Path
    statsd: str = ""
    gateways: int = GATEWAYS
    controllers: int = CONTROLLERS
    heartbeat_ms: int = 500
    isolated_processes: frozenset[str] = frozenset()
    regions: dict[str, str] = attrs.field(factory=dict)
    desks: dict[str, str] = attrs.field(factory=dict)
    groups: dict[int, str] = attrs.field(factory=dict)
    token: str = attrs.field(factory=lambda: secrets.token_hex(16))
    processes: dict[str, Process] = attrs.field(factory=dict)
    urls: list[str] = attrs.field(factory=list)
    upstream_specs: list[str] = attrs.field(factory=list)
    control: str = ""
    link_addresses: dict[str, str] = attrs.field(factory=dict)
    controller_addresses: list[str] = attrs.field(factory=list)

    async def start(self) -> None:
        """Start every role and wait until all gateways use all sidecars.

        Raises:
            FleetError: A gateway did not become ready in time.
        """
        self.start_upstreams()
        self.start_controllers()
        for number in range(self.firm.upstreams):
            self.start_sidecar(number)
        for number in range(self.gateways):
            self.start_gateway(number)
        await self.wait_ready(self.firm.upstreams)

    def start_upstreams(self) -> None:
        """Start the process that runs all stand-ins of upstreams."""
        addresses = ports.find_addresses(self.firm.upstreams + 1)
        self.control = addresses.pop()
        self.upstream_specs = [
            f"{name_upstream(number)}={self.firm.find_domain(number)}={address}"
            for number, address in enumerate(addresses)
        ]
        arguments = ["-m", "benchmarks.upstreams", "--control", self.control]
        arguments += ["--slots", str(self.firm.slots), *self.upstream_specs]
        self.spawn("upstreams", arguments, self.control)

    def start_controllers(self) -> None:
        """Start the controllers with an initial configuration."""
        bootstrap = self.folder / "bootstrap.ini"
        bootstrap.write_text(str(self.build_configuration()))
        self.controller_addresses = [
            self._choose_address(number) for number in range(self.controllers)
        ]
        for number in range(self.controllers):
            self.start_controller(number)

    def start_controller(self, number: int) -> None:
        """Start a controller by its number."""
        addresses = enumerate(self.controller_addresses)
        replicas = [f"c{index + 1}={item}" for index, item in addresses]
        name = f"controller-{number + 1}"
        bootstrap = self.folder / "bootstrap.ini"
        section = options.ControllerOptions(
            f"c{number + 1}", replicas, str(self.folder / name), str(bootstrap)
        )
        address = self.controller_addresses[number]
        self._start_role(name, "controller", number, section, address)

    def start_sidecar(self, number: int) -> None:
        """Start the sidecar of an upstream by its number."""
        section = options.SidecarOptions(
            self.upstream_specs[number].split("=")[2],
            worker=f"worker-{number + 1}",
            rack=f"rack-{number // 3 + 1}",
            services=[kind.service for kind in self.firm.kinds],
            platform=self.control,
            group=self.groups.get(number, "main"),
            slots=self.firm.slots,
            connections=firms.CONNECTIONS,
            cores=self.firm.cores,
            memory_mb=self.firm.memory_mb,
        )
        self._start_role(f"sidecar-{number + 1}", "sidecar", number, section)

    def start_gateway(self, number: int) -> None:
        """Start a gateway by its number."""
        name = f"gateway-{number + 1}"
        if number >= len(self.urls):
            self.urls.append(f"http://{ports.find_addresses()[0]}")
        http = self.urls[number].removeprefix("http://")
        section = options.GatewayOptions(http, tokens.hash_token(self.token), 100)
        self._start_role(name, "gateway", number, section)

    def restart_role(self, name: str) -> None:
        """Start a role again that has ended, by its process name."""
        role, _, number = name.rpartition("-")
        starts = {
            "gateway": self.start_gateway,
            "sidecar": self.start_sidecar,
            "controller": self.start_controller,
        }
        starts[role](int(number) - 1)

    def build_configuration(self) -> configuration.Configuration:
        """Return the initial configuration."""
        result = configuration.Configuration()
        for kind in self.firm.kinds:
            result.add_service(
                kind.service, idempotent=kind.idempotent, deadline_ms=DEADLINE_MS
            )
        for domain in self.firm.domains:
            result.add_domain(domain)
        for desk, home in self.desks.items():
            result.add_desk(desk, home=home)
        result.add_team("field")
        digest = tokens.hash_token(self.token)
        return result.add_account(
            "field", team="field", token_hash=digest, operator=True
        )

    def start_naive(self) -> str:
        """Start the naive dispatcher with the same upstreams.

        Returns:
            Its URL.
        """
        address = ports.find_addresses()[0]
        arguments = ["-m", "benchmarks.naive", "--http", address, *self.upstream_specs]
        self.spawn("naive", arguments, address)
        return f"http://{address}"

    async def wait_ready(
        self, sidecars: int, seconds: float = READY_TIMEOUT_SECONDS
    ) -> None:
        """Wait until each gateway is ready and uses at least a number of sidecars.

        Raises:
            FleetError: A gateway did not become ready in time.
        """
        for url in self.urls:
            caller = client.Client(url, self.token)
            try:
                async with asyncio.timeout(seconds):
                    while not await _is_ready(caller, sidecars):
                        await asyncio.sleep(READY_POLL_SECONDS)
            except TimeoutError as error:
                text = f"{url} not ready in {seconds} s, see {self.folder}"
                raise FleetError(text) from error
            finally:
                await caller.close()

    async def wait_http(self, url: str) -> None:
        """Wait until a URL answers 200 at ``/readyz``."""
        caller = client.Client(url, self.token)
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while True:
                try:
                    if (await caller.call("GET", "/readyz")).status == 200:
                        break
                except client.ClientError:
                    pass
                await asyncio.sleep(READY_POLL_SECONDS)
        await caller.close()

    def spawn(self, name: str, arguments: Sequence[str], address: str) -> Process:
        """Start a Python process whose output goes to a file in the folder."""
        environment = os.environ | {"UV_USE_IO_URING": "0"}
        with (self.folder / f"{name}.log").open("ab") as output:
            popen = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                env=environment,
                start_new_session=True,
            )
        self.processes[name] = Process(name, popen, address)
        return self.processes[name]

    def list_processes(self, prefix: str) -> list[Process]:
        """Return the processes whose name has a prefix."""
        return [
            item for name, item in self.processes.items() if name.startswith(prefix)
        ]

    def find_leader(self) -> Process | None:
        """Return the leading controller according to the logs, `None` if unknown."""
        changes = [
            line
            for item in self.list_processes("controller")
            for line in loglines.read_lines(self.folder / f"{item.name}.log")
            if line.event == "leader changed"
        ]
        newest = max(changes, key=lambda line: line.term, default=None)
        if newest is None:
            return None
        leaders = [line.leader for line in changes if line.term == newest.term]
        replica = max(leaders)
        name = f"controller-{replica.removeprefix('c')}"
        return self.processes.get(name)

    async def stop(self) -> dict[str, int]:
        """Shut all processes down gracefully, gateways first.

        Returns:
            Exit code of each process.
        """
        codes: dict[str, int] = {}
        order = ("naive", "gateway", "sidecar", "controller", "")
        try:
            for prefix in order:
                batch = self.list_processes(prefix)
                for item in batch:
                    if item.popen.poll() is None:
                        item.send_signal(signal.SIGCONT)
                        item.send_signal(signal.SIGTERM)
                for item in batch:
                    codes[item.name] = await wait_exit(item)
                    del self.processes[item.name]
        finally:
            self.kill()
        return codes

    def kill(self) -> None:
        """Kill all processes."""
        for item in self.processes.values():
            if item.popen.poll() is None:
                item.popen.kill()
            item.popen.wait()
        self.processes.clear()

    def set_partition(self, active: bool) -> None:
        """Start or end the partition.

        Links that the partition separates lose all frames without closing.

        Args:
            active: Whether the partition starts rather than ends.
        """
        number = signal.SIGUSR1 if active else signal.SIGUSR2
        for item in self.processes.values():
            if self._list_blocked_prefixes(item.name) and item.popen.poll() is None:
                item.send_signal(number)

    def _list_blocked_prefixes(self, name: str) -> list[str]:
        """Return prefixes of the addresses that a partition separates from a process."""
        if name not in self.link_addresses:
            return []
        if name in self.isolated_processes:
            return self.controller_addresses
        home = self.link_addresses[name].partition(":")[0]
        return sorted({f"{item}:" for item in self.regions.values() if item != home})

    def _choose_address(self, number: int) -> str:
        host = self.regions.get(self.firm.find_domain(number), ports.HOST)
        return ports.find_addresses()[0].replace(ports.HOST, host)

    def _start_role(
        self, name: str, role: str, number: int, section: Any, listen: str = ""
    ) -> Process:
        domain = self.firm.find_domain(number)
        listen = listen or self.link_addresses.get(name) or self._choose_address(number)
        self.link_addresses[name] = listen
        process = options.ProcessOptions(
            name, listen, self.controller_addresses, domain, statsd=self.statsd
        )
        link = options.LinkOptions(self.heartbeat_ms)
        path = self.folder / f"{name}.ini"
        path.write_text(
            format_settings({"process": process, "links": link, role: section})
        )
        arguments = ["-m", "amaranthspar"]
        if prefixes := self._list_blocked_prefixes(name):
            arguments = ["-m", "benchmarks.partition", "--foreign", ",".join(prefixes)]
        return self.spawn(name, [*arguments, role, "--settings", str(path)], listen)


def name_upstream(number: int) -> str:
    """Return the name of an upstream by its number."""
    return f"upstream-{number + 1}"


def format_settings(sections: dict[str, Any]) -> str:
    """Return the INI text of a settings file.

    Args:
        sections: Options by section name.
    """
    lines: list[str] = []
    for name, section in sections.items():
        lines.append(f"[{name}]")
        for field in attrs.fields(type(section)):
            value = getattr(section, field.name)
            text = ", ".join(value) if isinstance(value, list) else str(value)
            lines.append(f"{field.name} = {text}")
        lines.append("")
    return "\n".join(lines)


async def _is_ready(caller: client.Client, sidecars: int) -> bool:
    try:
        if (await caller.call("GET", "/readyz")).status != 200:
            return False
        reply = await caller.call("GET", "/v1/status")
    except client.ClientError:
        return False
    if reply.status != 200:
        return False
    return len(msgspec.json.decode(reply.body)["running"]) >= sidecars


async def wait_exit(item: Process) -> int:
    """Wait for a process to end, and kill it after a timeout.

    Returns:
        Exit code of the process.
    """
    for _ in range(STOP_TIMEOUT_SECONDS * 50):
        code = item.popen.poll()
        if code is not None:
            return code
        await asyncio.sleep(0.02)
    item.popen.kill()
    return item.popen.wait()
