"""A small deployment on loopback addresses: the project's programs and stand-ins.

The programs of the deploy file run as separate processes, each with a settings file of its
own, on the real clock. Minions, clients and the operator are stand-ins that follow
PROTOCOL.md; all of them live in this process. Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
DOMAINS = ("dunantul-gyor", "dunantul-pecs", "dunantul-veszprem")
SERVICE = "kerulet-api"
HOST = "nony24.example"
PREFIX = "/lohu930/"
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckTimeoutMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxStretchMs": 5000,
    "EvacuateMs": 5000,
    "RecoveryS": 12,
    "MaxHoldMs": 1000,
    "StopTimeoutMs": 50,
    "GangWaitMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "SpreadFactor": 1.5,
    "RetryMs": 1300,
}
"""Bounds of sites/kerekes-felmeres.toml, as the settings file states them."""
SERVER_HEADERS = "Content-Type: application/json\r\n"


class CannotRunError(Exception):
    """The case could not run; it says nothing about the rule."""


class Record:
    """What was sent, answered and run, in order of time, in `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8", buffering=1)

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write a line with the time."""
        line = f"{self.now():8.3f} s  {text}"
        self._file.write(line + "\n")


def find_free_port() -> int:
    """Return a port that is free on every loopback address, with fifteen after it."""
    for _ in range(200):
        first = random.randrange(20_000, 31_000)
        try:
            with contextlib.ExitStack() as stack:
                for port in range(first, first + 16):
                    sock = stack.enter_context(socket.socket())
                    sock.bind(("0.0.0.0", port))
        except OSError:
            continue
        return first
    raise CannotRunError("no free ports")


# HTTP.


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP message with a content length; the first line is empty at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Answer:
    """Status and body of a response; status 0 where there was none."""

    def __init__(self, status: int, body: dict | None, error: str = "") -> None:
        self.status = status
        self.body = body
        self.error = error

    def __str__(self) -> str:
        return f"{self.status or self.error} {json.dumps(self.body)}"


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
    host: str = "",
) -> Answer:
    """Make one call on a connection of its own; the connection is closed at the end."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host or address}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if body:
                lines.append("Content-Type: application/json")
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            first, _, data = await read_message(reader)
        status = int(first.split()[1])
        try:
            return Answer(status, json.loads(data) if data else None)
        except ValueError:
            return Answer(status, None)
    except TimeoutError:
        return Answer(0, None, "no response")
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(0, None, f"broken connection ({type(error).__name__})")
    finally:
        if writer is not None:
            writer.close()


# Minions.


class Run:
    """One run of a task on a minion."""

    def __init__(self, task: str, run: int, work_s: float, began_s: float) -> None:
        self.task = task
        self.run = run
        self.work_s = work_s
        self.began_s = began_s
        self.ended_s: float | None = None
        self.how = ""
        self.waking: asyncio.TimerHandle | None = None


class Minion:
    """Stand-in for a minion: starts, stops and lists runs, and sends heartbeats.

    A task works for the milliseconds that its `Spec` begins with, as in ``ms=400``.

    Attributes:
        started: All runs that ever began here, with their times.
        is_draining: Whether its heartbeats say that it leaves.
    """

    def __init__(
        self, deployment: "Deployment", number: int, ip: str, zone: str
    ) -> None:
        self.deployment = deployment
        self.ip = ip
        self.zone = zone
        self.name = f"minion-{number}"
        self.id = f"i-{random.getrandbits(32):08x}"
        self.address = f"{ip}:{deployment.app_port}"
        self.control = f"{ip}:{deployment.control_port}"
        self.capacity = {"Cpu": 64000, "MemMb": 262144, "Gpu": 0}
        self.labels = ["a", f"r{number // 3}"]
        self.started: list[Run] = []
        self.is_draining = False
        self._born_ms = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self._sequence = 0
        self._fence = 0
        self._lease_ms = 0
        self._running: dict[str, Run] = {}
        self._ended: list[list] = []
        self._highest: dict[str, int] = {}
        self._next_end = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []
        self._writers: set[asyncio.StreamWriter] = set()

    def read_clock(self) -> int:
        """Return the time on the minion's steady clock in ms."""
        return int((time.monotonic() - self._born_s) * 1000)

    async def open(self) -> None:
        """Listen, and begin to send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.deployment.app_port
        )
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._watch_lease()),
        ]

    async def close(self) -> None:
        """End the minion with all that runs on it."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            body = {
                "Service": SERVICE,
                "Address": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Slots": 8,
                "State": "draining" if self.is_draining else "ready",
                "ColdRemainingMs": 0,
                "Capacity": self.capacity,
                "Labels": self.labels,
                "ClockMs": self.read_clock(),
                "Seq": self._sequence,
                "born": self._born_ms,
            }
            if self.is_draining:
                body["RemainingMs"] = 10_000
            path = f"/amaranthspar/instances/{self.id}/heartbeat"
            answer = await call(self.control, "POST", path, json.dumps(body).encode())
            await asyncio.sleep(1.5 if answer.status == 200 else 0.3)

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.002)
            if self._running and self.read_clock() > self._lease_ms:
                for run in list(self._running.values()):
                    self._end(run, "lapsed")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, data = await read_message(reader)
                path = first.split()[1]
                status, body = await self._handle(path, headers, json.loads(data))
                text = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\n{SERVER_HEADERS}"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _state(self, **fields) -> dict:
        return {"ClockMs": self.read_clock(), "born": self._born_ms} | fields

    async def _handle(self, path: str, headers: dict, body: dict) -> tuple[int, dict]:
        if headers.get("x-amaranthspar-expected-instance", self.id) != self.id:
            return 421, self._state()
        fence = body.get("Fence", 0)
        if fence < self._fence:
            return 409, self._state(Reason="fence")
        self._fence = fence
        match path:
            case "/amaranthspar/run-start":
                return self._start(body)
            case "/amaranthspar/run-stop":
                return self._stop(body)
            case "/amaranthspar/hold":
                return await self._hold(body)
            case _:
                return 404, self._state()

    def _extend(self, body: dict) -> None:
        limit = self.read_clock() + BOUNDS["MaxHoldMs"]
        self._lease_ms = max(self._lease_ms, min(body.get("DeadlineMs", 0), limit))

    def _start(self, body: dict) -> tuple[int, dict]:
        task, number = body["Task"], body["Run"]
        present = self._running.get(task)
        if present is not None and present.run == number:
            self._extend(body)
            return 200, self._state()
        if body["DeadlineMs"] < self.read_clock():
            return 409, self._state(Reason="late")
        self._extend(body)
        if present is not None or number <= self._highest.get(task, 0):
            return 409, self._state(Reason="old")
        parts = dict(item.partition("=")[::2] for item in body["Spec"].split())
        work_s = int(parts.get("ms", "100")) / 1000
        run = Run(task, number, work_s, time.monotonic())
        loop = asyncio.get_running_loop()
        run.waking = loop.call_later(work_s, self._end, run, "done")
        self._running[task] = run
        self.started.append(run)
        self.deployment.note_start(self, run, body)
        return 200, self._state()

    def _stop(self, body: dict) -> tuple[int, dict]:
        task, number = body["Task"], body["Run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._running.get(task)
        if run is not None and run.run <= number:
            asyncio.get_running_loop().call_later(0.02, self._end, run, "stopped")
        return 200, self._state()

    async def _hold(self, body: dict) -> tuple[int, dict]:
        self._extend(body)
        self._ended = [row for row in self._ended if row[0] > body["SeenUpto"]]
        if not self._ended and body.get("WaitMs"):
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(body["WaitMs"] / 1000):
                    await self._changed.wait()
        now_s = time.monotonic()
        running = [
            [run.task, run.run, "", int(100 * (now_s - run.began_s) / run.work_s), 0]
            for run in self._running.values()
        ]
        return 200, self._state(Running=running, Ended=self._ended[:500])

    def _end(self, run: Run, how: str) -> None:
        if self._running.get(run.task) is not run:
            return
        del self._running[run.task]
        if run.waking is not None:
            run.waking.cancel()
        run.ended_s, run.how = time.monotonic(), how
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.run)
        self._ended.append([self._next_end, run.task, run.run, how, ""])
        self._next_end += 1
        self._changed.set()
        self.deployment.record.write(
            f"{self.name}: run {run.run} of {run.task} ends {how}"
        )


# The deployment.


class Process:
    """One process of the project."""

    def __init__(self, name: str, role: str, ip: str, settings: pathlib.Path) -> None:
        self.name = name
        self.role = role
        self.ip = ip
        self.settings = settings
        self.child: asyncio.subprocess.Process | None = None


class Deployment:
    """Controllers, gateways, sidecars with their minions, operator and clients.

    Args:
        folder: Folder of the case, for `record.txt`.
        sidecars: Number of sidecars, spread over the three zones.
        gateways: Number of gateways, spread over the three zones.
    """

    def __init__(
        self, folder: pathlib.Path, sidecars: int = 3, gateways: int = 3
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.starts: list[tuple[float, Minion, Run, dict]] = []
        self._work = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._net = random.randrange(20, 250)
        base = find_free_port()
        self.first_port = base
        self.app_port = base + 12
        self.control_port = base + 13
        self.front_port = base + 14
        self.ready_port = base + 15
        self.processes: dict[str, Process] = {}
        self.minions: list[Minion] = []
        self.version = 0
        self._logs = contextlib.ExitStack()
        cores = [f"127.{self._net}.{zone}.1" for zone in (1, 2, 3)]
        self.seeds = [f"{ip}:{self.control_port}" for ip in cores]
        for number, zone in enumerate(DOMAINS, 1):
            ip = f"127.{self._net}.{number}"
            self._add(f"core-{number}", "controller", f"{ip}.1", zone)
        for number in range(gateways):
            zone = number % len(DOMAINS)
            ip = f"127.{self._net}.{zone + 1}.{100 + number}"
            self._add(f"front-{number + 1}", "gateway", ip, DOMAINS[zone])
        for number in range(sidecars):
            zone = number % len(DOMAINS)
            ip = f"127.{self._net}.{zone + 1}.{10 + number}"
            self._add(f"side-{number + 1}", "sidecar", ip, DOMAINS[zone])
            self.minions.append(Minion(self, number + 1, ip, DOMAINS[zone]))

    def _add(self, name: str, role: str, ip: str, zone: str) -> None:
        path = self._work / f"{name}.conf"
        self.processes[name] = Process(name, role, ip, path)
        self.write_settings(name, zone, True)

    def write_settings(self, name: str, zone: str, is_first: bool) -> None:
        """Write the settings file of a process."""
        process = self.processes[name]
        kind = {"controller": "core", "gateway": "front", "sidecar": "side"}[
            process.role
        ]
        memory = {"core": 296, "front": 300, "side": 168}[kind]
        lines = [
            f"Node={name}",
            f"Role={process.role}",
            f"MachineClass={kind}",
            f"Ip={process.ip}",
            f"Zone={zone}",
            "Region=dunantul",
            *(f"Zones.{item}=dunantul" for item in DOMAINS),
            f"InternalPorts={self.first_port},{self.first_port + 11}",
            f"Seeds={','.join(self.seeds)}",
            f"Bootstrap={'true' if is_first else 'false'}",
            f"InTolerance={'true' if kind == 'core' else 'false'}",
            "Limits.CpuShare=0.645",
            "Limits.Cores=1",
            f"Limits.MemoryMb={memory}",
            "Limits.MaxFds=4096",
            "Limits.LinkMbps=1000.0",
            "Discovery=local",
            "Entry=vip",
            "HeartbeatMs=1500",
            "Contracts=base,drain,config,cost,recover,sched",
            "FaultTolerance.Machines=1",
            "FaultTolerance.Zones=1",
            "FaultTolerance.Regions=0",
            *(f"Bounds.{key}={value}" for key, value in BOUNDS.items()),
            "config_mode=highest",
            "Orders=call",
        ]
        match process.role:
            case "controller":
                data = self._work / f"{name}-data"
                data.mkdir(exist_ok=True)
                lines += [
                    "Serves=control",
                    f"Listen.Control={process.ip}:{self.control_port}",
                    f"DataDir={data}",
                ]
            case "gateway":
                lines += [
                    "Serves=front",
                    f"Listen.Front={process.ip}:{self.front_port}",
                    f"Listen.ReadinessAddr={process.ip}:{self.ready_port}",
                ]
            case "sidecar":
                lines += [
                    "Serves=side",
                    f"Listen.Control={process.ip}:{self.control_port}",
                    f"Service={SERVICE}",
                    f"app={process.ip}:{self.app_port}",
                ]
        process.settings.write_text("\n".join(lines) + "\n", encoding="utf-8")

    def add_controller(self, number: int) -> str:
        """Add a machine of the core at a new address, with an empty disk.

        Args:
            number: Its number; the zones follow one another.
        """
        zone = (number - 1) % len(DOMAINS)
        name = f"core-{number}"
        ip = f"127.{self._net}.{zone + 1}.{200 + number}"
        self.processes[name] = Process(
            name, "controller", ip, self._work / f"{name}.conf"
        )
        self.write_settings(name, DOMAINS[zone], False)
        return name

    def note_start(self, minion: Minion, run: Run, body: dict) -> None:
        """Record a start of a run."""
        self.starts.append((run.began_s, minion, run, body))
        self.record.write(
            f"{minion.name} ({minion.zone}): starts run {run.run} of {run.task}"
        )

    # Processes.

    async def start_process(self, name: str) -> None:
        """Start a process as the deploy file says."""
        process = self.processes[name]
        log = self._logs.enter_context((self._work / f"{name}.log").open("ab"))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SSL_CERT_FILE": "/dev/null",
            "AMARANTHSPAR_SETTINGS": str(process.settings),
        }
        process.child = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "amaranthspar",
            "platform",
            process.role,
            cwd=REPOSITORY,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.record.write(f"{name}: started")

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this deployment started."""
        child = self.processes[name].child
        if child is not None and child.returncode is None:
            child.send_signal(number)
            self.record.write(f"{name}: {number.name}")

    async def kill(self, name: str) -> None:
        """Kill a process and wait until it has ended."""
        self.send_signal(name, signal.SIGKILL)
        child = self.processes[name].child
        if child is not None:
            await child.wait()

    def wipe(self, name: str) -> None:
        """Empty the data folder of a controller."""
        data = self._work / f"{name}-data"
        shutil.rmtree(data)
        data.mkdir()

    def list_names(self, role: str) -> list[str]:
        """Return the names of the processes with a role."""
        return [item.name for item in self.processes.values() if item.role == role]

    def front(self, name: str) -> str:
        """Return the address of a gateway for clients."""
        return f"{self.processes[name].ip}:{self.front_port}"

    def control(self, name: str) -> str:
        """Return the address of a controller for operators."""
        return f"{self.processes[name].ip}:{self.control_port}"

    async def open(self) -> None:
        """Start everything, put the first configuration and wait until jobs are served."""
        if not (REPOSITORY / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: build the deploy file first")
        for minion in self.minions:
            await minion.open()
        for name in self.processes:
            await self.start_process(name)
        await self.put_configuration()
        for name in self.list_names("gateway"):
            for _ in range(100):
                answer = await self.submit(name, new_id(), "ms=20", deadline_ms=2000)
                if answer.status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRunError(f"{name} serves no job")
        await asyncio.sleep(1)

    async def close(self) -> None:
        """End all processes that were started."""
        for process in self.processes.values():
            child = process.child
            if child is not None and child.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    child.send_signal(signal.SIGCONT)
                    child.kill()
                await child.wait()
        for minion in self.minions:
            await minion.close()
        self._logs.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._work, keep, dirs_exist_ok=True)
        shutil.rmtree(self._work, ignore_errors=True)

    # The operator.

    async def order(
        self, path: str, body: bytes = b"", limit_s: float = 20.0
    ) -> Answer:
        """Send an order of the operator until it gets a clear response."""
        names = self.list_names("controller")
        end_s = time.monotonic() + limit_s
        number = 0
        while time.monotonic() < end_s:
            name = names[number % len(names)]
            number += 1
            answer = await call(self.control(name), "POST", path, body)
            self.record.write(f"operator: POST {path} to {name}: {answer}")
            if (
                answer.status
                and answer.status not in (408, 429)
                and answer.status < 500
            ):
                return answer
            await asyncio.sleep(min(0.1 * number, 0.5))
        raise CannotRunError(f"no acknowledgement of {path}")

    async def put_configuration(self, **changes) -> None:
        """Put the next version of the configuration."""
        self.version += 1
        route = {
            "Name": "r-3hwrr6x",
            "Host": HOST,
            "PathPrefix": PREFIX,
            "Kind": "unsafe",
            "TimeoutMs": 60_000,
            "TargetLatencyMs": 60_000,
            "Priority": 0,
            "Service": SERVICE,
            "MaxAttempts": 3,
            "Stretch": 1.6,
        }
        service = {
            "Name": SERVICE,
            "HealthPath": "/health",
            "MaxConnections": 64,
            "Protocol": "h1",
            "Tls": False,
            "ColdStartS": 0.0,
            "ColdPerS": 0.0,
            "RejectsOverload": True,
            "Spare": False,
        }
        body = {
            "Version": self.version,
            "Routes": [route],
            "Services": [service],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 262144,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        }
        answer = await self.order(
            "/amaranthspar/config/put", json.dumps(body | changes).encode(), 60
        )
        if answer.status != 200:
            raise CannotRunError("the configuration was not accepted")

    # Clients.

    async def submit(
        self,
        gateway: str,
        job: str,
        spec: str,
        steps: list[dict] | None = None,
        deadline_ms: int = 30_000,
    ) -> Answer:
        """Submit a job and wait for the response, at most until the client's deadline."""
        steps = steps or [{"Count": 1, "Cpu": 500, "MemMb": 64, "EstimateMs": 100}]
        body = {"Spec": spec, "BestEffort": True, "Steps": steps}
        self.record.write(f"client: POST job {job} to {gateway}")
        answer = await call(
            self.front(gateway),
            "POST",
            PREFIX + job,
            json.dumps(body).encode(),
            {"X-Amaranthspar-Deadline-Ms": str(deadline_ms)},
            deadline_ms / 1000,
            HOST,
        )
        self.record.write(f"client: job {job} at {gateway} gets {answer}")
        return answer

    async def ask(self, gateway: str, method: str, job: str) -> Answer:
        """Send a GET or a DELETE for a job once."""
        answer = await call(
            self.front(gateway),
            method,
            PREFIX + job,
            headers={"X-Amaranthspar-Deadline-Ms": "1500"},
            timeout_s=1.5,
            host=HOST,
        )
        self.record.write(f"client: {method} {job} at {gateway} gets {answer}")
        return answer


def new_id() -> str:
    """Return the id of a new job."""
    return f"{random.getrandbits(64):016x}"


def run_case(
    folder: pathlib.Path,
    play,
    sidecars: int = 3,
    gateways: int = 3,
    limit_s: float = 110.0,
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    Args:
        folder: Folder of the case.
        play: Coroutine function that takes the deployment and whether there is trouble,
            and returns a list of what broke the rule.
        sidecars: Number of sidecars.
        gateways: Number of gateways.
        limit_s: Longest time of the case in s.
    """

    async def main() -> int:
        # The processes end also if the script is told to end.
        playing = asyncio.current_task()
        if playing is not None:
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, playing.cancel)
        deployment = Deployment(folder, sidecars, gateways)
        record = deployment.record
        try:
            async with asyncio.timeout(limit_s):
                await deployment.open()
                has_trouble = os.environ.get("TROUBLE", "1") != "0"
                breaks = await play(deployment, has_trouble)
        except (CannotRunError, TimeoutError, OSError) as error:
            record.write(f"the case could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            await deployment.close()
        for item in breaks:
            record.write(f"BROKEN: {item}")
        record.write("rule broken" if breaks else "rule held")
        return 1 if breaks else 0

    try:
        code = asyncio.run(main())
    except asyncio.CancelledError:
        code = 2
    print(pathlib.Path(folder / "record.txt").read_text(encoding="utf-8")[-1500:])
    sys.exit(code)
