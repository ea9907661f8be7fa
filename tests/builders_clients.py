"""Processes with lowered limits, and clients that send what a server must bound."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import time
from collections.abc import Callable, Iterator

import attrs

from amaranthspar import ports
from amaranthspar.platform import metrics, settings
from amaranthspar.roles import cluster
from amaranthspar.web import tokens
from tests import builders_platform, builders_shell

MEMORY_MB = 96
"""Lowered memory of the host; a twelfth of it is for requests, and 12 MB on the
product."""
MAX_FDS = 420
"""Lowered descriptors: 220 remain beside the 200 that are reserved for files."""
CLIENTS = 64
SEND_S = 4
"""Time for which clients send; afterwards they stay connected."""
BODY_BYTES = 900_000
"""Body below the 1 MiB that every listener accepts today."""
ANSWER_S = 20
DESK = "desk.example"
JOB_PATH = "/quotes/00ff00ff00ff00f0"
_GATEWAY_PATH = "/v1/services/lookup/jobs"


@attrs.define
class Listener:
    """Address that clients can reach, with one ordinary request to it.

    Attributes:
        process: Process that listens.
        address: Address, as in ``127.0.0.1:8000``.
        path: Path to which clients send bodies.
        ordinary: Ordinary request.
        status: Status of the answer to it.
        first_mb: Resident memory of the process before any client in MB.
        host: Value of the field ``Host``.
    """

    process: subprocess.Popen[bytes]
    address: str
    path: str
    ordinary: bytes
    status: int = 200
    first_mb: float = 0.0
    host: str = DESK

    def build_head(self, *fields: str) -> bytes:
        lines = [f"POST {self.path} HTTP/1.1", f"Host: {self.host}", *fields, "", ""]
        return "\r\n".join(lines).encode()

    def ask(self) -> int:
        """Send the ordinary request and return the status; 0 if it is refused."""
        host, port = self.address.split(":")
        with socket.create_connection((host, int(port)), ANSWER_S) as connection:
            connection.sendall(self.ordinary)
            answer = connection.recv(4096)
        line = answer.split(b" ")
        is_refused = b"Amaranthspar-Outcome: not-run" in answer
        return int(line[1]) if len(line) > 1 and not is_refused else 0

    def is_answered(self) -> bool:
        """Repeat the ordinary request until it is answered, within a time limit."""
        until_s = time.monotonic() + ANSWER_S
        while time.monotonic() < until_s:
            with contextlib.suppress(OSError):
                if self.ask() == self.status:
                    return True
            time.sleep(0.2)
        return False

    def read_resident_mb(self) -> float:
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(item for item in status.splitlines() if item.startswith("VmRSS:"))
        return int(line.split()[1]) / 1024

    def count_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


@attrs.define
class Observed:
    """Largest values seen while clients stayed connected."""

    grown_mb: float = 0.0
    descriptors: int = 0


Data = Callable[[Listener], Iterator[bytes]]


def send_headers(listener: Listener) -> Iterator[bytes]:
    """Yield a head of many large fields that never ends."""
    yield listener.build_head()[:-2]
    for number in range(120):
        yield f"X-{number}: ".encode() + b"a" * 16_000 + b"\r\n"


def send_empty_lines(_listener: Listener) -> Iterator[bytes]:
    """Yield empty lines before a request that never comes."""
    for _ in range(512):
        yield b"\r\n" * 8192


def send_whole_body(listener: Listener) -> Iterator[bytes]:
    """Yield a body of legal size at once, which stops just short of its end."""
    yield listener.build_head(f"Content-Length: {BODY_BYTES}")
    yield b"a" * (BODY_BYTES - 10)


def send_pieces(listener: Listener) -> Iterator[bytes]:
    """Yield a body of legal size piece by piece, which stops just short of its end."""
    yield listener.build_head(f"Content-Length: {BODY_BYTES}")
    for _ in range(BODY_BYTES // 9_000 - 1):
        yield b"a" * 9_000


def send_large_chunks(listener: Listener) -> Iterator[bytes]:
    """Yield chunks of 64 KB without the last one."""
    yield listener.build_head("Transfer-Encoding: chunked")
    for _ in range(BODY_BYTES // 65_536):
        yield b"10000\r\n" + b"a" * 65_536 + b"\r\n"


def send_small_chunks(listener: Listener) -> Iterator[bytes]:
    """Yield chunks of one byte without the last one."""
    yield listener.build_head("Transfer-Encoding: chunked")
    for _ in range(BODY_BYTES // 4_096):
        yield b"1\r\na\r\n" * 4_096


def send_nothing(_listener: Listener) -> Iterator[bytes]:
    """Yield nothing: the connection stays idle."""
    yield b""


def press(listener: Listener, data: Data, count: int = CLIENTS) -> Observed:
    """Let clients send for a while, stay, and return what the process reached."""
    observed = Observed()

    async def send(writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_S):
                for part in data(listener):
                    writer.write(part)
                    await writer.drain()

    async def connect() -> asyncio.StreamWriter | None:
        host, port = listener.address.split(":")
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            return writer
        return None

    async def observe() -> None:
        while True:
            grown_mb = listener.read_resident_mb() - listener.first_mb
            observed.grown_mb = max(observed.grown_mb, grown_mb)
            descriptors = listener.count_descriptors()
            observed.descriptors = max(observed.descriptors, descriptors)
            await asyncio.sleep(0.05)

    async def run() -> None:
        watching = asyncio.create_task(observe())
        writers = [item for item in [await connect() for _ in range(count)] if item]
        await asyncio.gather(*(send(item) for item in writers))
        await asyncio.sleep(0.5)
        watching.cancel()
        for item in writers:
            item.transport.abort()

    asyncio.run(run())
    return observed


class Site:
    """Controller, sidecar and gateway on the platform and on the product's interface.

    Args:
        folder: Folder for settings and data.

    Attributes:
        listeners: Addresses that clients can reach, by name.
        is_sound: Whether a test may use the processes after the one before.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        # Each process has its own loopback address, as the port of metrics is fixed.
        number = os.getpid()
        self.prefix = f"127.{64 + number % 128}.{number // 128 % 250}"
        self.processes: list[subprocess.Popen[bytes]] = []
        self.listeners: dict[str, Listener] = {}
        self.is_sound = True
        try:
            self.start_platform()
            self.start_product()
        except BaseException:
            self.close()
            raise
        for listener in self.listeners.values():
            listener.first_mb = listener.read_resident_mb()

    def start_platform(self) -> None:
        control = self._start_role("controller", "Listen.Control", "8166")
        put = "/amaranthspar/config/put"
        self._listen("controller", control, 1, 8166, put, "/amaranthspar/config/get")
        sidecar = self._start_role("sidecar", "Listen.Control", "8166")
        heartbeat = "/amaranthspar/instances/i-1/heartbeat"
        ordinary = "/amaranthspar/instances/i-1/none"
        self._listen("sidecar", sidecar, 2, 8166, heartbeat, ordinary, "POST", 404)
        gateway = self._start_role("gateway", "Listen.Front", "8161")
        self._listen("callers", gateway, 3, 8161, JOB_PATH, "/quotes/")
        # The gateway is not ready, as no upstream has registered.
        self._listen("readiness", gateway, 3, 8167, "/", "/", status=503)
        self._listen("metrics", gateway, 3, metrics.PORT, "/metrics", "/metrics")
        body = builders_platform.build_configuration()
        url = f"http://{self.prefix}.1:8166{put}"
        builders_shell.wait_until(
            lambda: _call(url, body) == 200, self.listeners["controller"].process
        )
        callers = self.listeners["callers"]
        builders_shell.wait_until(lambda: _ask(callers) == 200, callers.process)

    def start_product(self) -> None:
        bootstrap = self.folder / "bootstrap.ini"
        bootstrap.write_text(str(cluster.build_configuration(builders_shell.TOKEN)))
        control, links, http = ports.find_addresses(3)
        self._start_product_role(
            "controller",
            control,
            control,
            f"replica = c1\nreplicas = c1={control}\ndata = {self.folder}/product\n"
            f"bootstrap = {bootstrap}\n",
        )
        digest = tokens.hash_token(builders_shell.TOKEN)
        process = self._start_product_role(
            "gateway",
            links,
            control,
            f"http = {http}\noperator_token_hash = {digest}\n"
            f"read_budget_mb = {MEMORY_MB // 8}\nmax_connections = {MAX_FDS - 200}\n",
        )
        ordinary = (
            f"GET /v1/configuration HTTP/1.1\r\nHost: {DESK}\r\n"
            f"Authorization: Bearer {builders_shell.TOKEN}\r\n\r\n"
        )
        product = Listener(process, http, _GATEWAY_PATH, ordinary.encode())
        self.listeners["product"] = product
        builders_shell.wait_until(lambda: _ask(product) == 200, process)

    def close(self) -> None:
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            try:
                process.wait(ANSWER_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _start_role(self, role: str, key: str, port: str) -> subprocess.Popen[bytes]:
        number = len(self.processes) + 1
        ip = f"{self.prefix}.{number}"
        lines = [
            f"Node={role}-1",
            "Zone=east",
            f"Ip={ip}",
            f"{key}={ip}:{port}",
            "InternalPorts=7720,7735",
            f"Seeds={self.prefix}.1:8166",
            "Bootstrap=true",
            "Bounds.GraceS=6",
            "Bounds.MaxHoldMs=1000",
            f"Limits.MemoryMb={MEMORY_MB}",
            f"Limits.MaxFds={MAX_FDS}",
        ]
        match role:
            case "controller":
                lines.append(f"DataDir={self.folder}/platform")
            case "gateway":
                lines.append(f"Listen.ReadinessAddr={ip}:8167")
            case _:
                lines += ["Service=quotes", f"app={ip}:8170"]
        path = self.folder / f"{role}.settings"
        path.write_text("\n".join(lines) + "\n")
        variable = {settings.VARIABLE: str(path)}
        process = builders_shell.start_program("platform", role, **variable)
        self.processes.append(process)
        return process

    def _start_product_role(
        self, role: str, listen: str, controller: str, section: str
    ) -> subprocess.Popen[bytes]:
        path = self.folder / f"{role}.ini"
        path.write_text(
            f"[process]\nname = {role}\nlisten = {listen}\n"
            f"controllers = {controller}\nfailure_domain = gyor\n[{role}]\n{section}"
        )
        process = builders_shell.start_program(role, "--settings", str(path))
        self.processes.append(process)
        return process

    def _listen(
        self, name, process, number, port, path, ordinary, method="GET", status=200
    ) -> None:
        request = f"{method} {ordinary} HTTP/1.1\r\nHost: {DESK}\r\n\r\n".encode()
        address = f"{self.prefix}.{number}:{port}"
        self.listeners[name] = Listener(process, address, path, request, status)


def _call(url: str, body: bytes) -> int:
    with contextlib.suppress(OSError):
        return builders_shell.call(url, "POST", body, token=None).status
    return 0


def _ask(listener: Listener) -> int:
    with contextlib.suppress(OSError):
        return listener.ask()
    return 0
