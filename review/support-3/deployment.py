"""Small deployment of the project's own programs on loopback addresses.

The processes are started with the commands of the deploy file. Upstreams, callers and
the operator are stand-ins of this module; they need nothing but the standard library.
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
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("east", "middle", "west")
SERVICE = "desk"
HOST = "desk.example"
PREFIX = "/quotes/"
FRONT_PORT, READY_PORT, CONTROL_PORT, APP_PORT = 8161, 8167, 8166, 8165
FIRST_LINK_PORT = 7720
SETTINGS = """\
Node={node}
Role={role}
MachineClass={machine}
Serves={serves}
Ip={ip}
Zone={zone}
Region=land
Zones.east=land
Zones.middle=land
Zones.west=land
{listen}
InternalPorts=7720,7735
Seeds={seeds}
Bootstrap={bootstrap}
InTolerance={tolerance}
Limits.CpuShare=0.7
Limits.Cores=2
Limits.MemoryMb=300
Limits.MaxFds=4096
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=local
Entry=vip
HeartbeatMs=1500
Contracts=base,drain,config,cost,recover,sched,places,advice,upkeep,sharing
FaultTolerance.Machines=1
FaultTolerance.Zones=1
FaultTolerance.Regions=0
Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.ContactMs=3000
Bounds.AckTimeoutMs=4000
Bounds.CatchUpS=4
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.RollbackSlackMs=250
Bounds.MaxStretchMs=5000
Bounds.EvacuateMs=5000
Bounds.RecoveryS=12
Bounds.MaxHoldMs=1000
Bounds.StopTimeoutMs=50
Bounds.GangWaitMs=3000
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.early_ms=250
Bounds.finish_s=14
Bounds.status_s=120
Bounds.SpreadFactor=1.5
Bounds.CheckpointS=1
Bounds.RestoreMs=250
Bounds.NoticeMs=4500
Bounds.RequireFence=true
Bounds.LeaseMs=3000
Bounds.RetryMs=1300
config_mode=highest
Orders=call
"""


class UnusableError(Exception):
    """The case could not run; nothing can be said about the rule."""


class Record:
    """Events of a case with their times, written to a file as they come."""

    def __init__(self, path):
        self._path = path
        self._path.write_text("", encoding="utf-8")
        self.began_s = time.monotonic()

    def now_s(self):
        """Return the time since the start of the case in s."""
        return time.monotonic() - self.began_s

    def note(self, text):
        """Write one event and return its time in s."""
        now_s = self.now_s()
        line = f"{now_s:9.3f}  {text}"
        with self._path.open("a", encoding="utf-8") as file:
            file.write(line + "\n")
        print(line)
        return now_s


class Machine:
    """One machine with one process of the system."""

    def __init__(self, name, role, zone, ip):
        self.name, self.role, self.zone, self.ip = name, role, zone, ip
        self.process = None
        self.starts = 0


class Deployment:
    """Three controllers, and as many gateways and sidecars as a case needs."""

    def __init__(self, record, gateways=3, sidecars=3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.is_closed = False
        text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        self.roles = tomllib.loads(text)["roles"]
        self.net = find_free_net()
        self.machines = {}
        self.minions = {}
        for role, count in (
            ("controller", 3),
            ("gateway", gateways),
            ("sidecar", sidecars),
        ):
            for number in range(count):
                zone = ZONES[number % len(ZONES)]
                ip = f"{self.net}.{len(self.machines) + 1}"
                name = f"{role}-{number + 1}"
                self.machines[name] = Machine(name, role, zone, ip)
        for machine in self.machines.values():
            if machine.role == "sidecar":
                self.minions[machine.name] = Minion(record, machine)

    def write_settings(self, machine, is_first):
        """Write the settings file of a machine and return its path."""
        seeds = ",".join(
            f"{item.ip}:{CONTROL_PORT}"
            for item in self.machines.values()
            if item.role == "controller"
        )
        listen = {
            "gateway": f"Listen.Front={machine.ip}:{FRONT_PORT}\n"
            f"Listen.ReadinessAddr={machine.ip}:{READY_PORT}",
            "controller": f"Listen.Control={machine.ip}:{CONTROL_PORT}\n"
            f"DataDir={self.folder / ('data-' + machine.name)}",
            "sidecar": f"Listen.Control={machine.ip}:{CONTROL_PORT}\n"
            f"app={machine.ip}:{APP_PORT}\nService={SERVICE}",
        }[machine.role]
        role = self.roles[machine.role]
        text = SETTINGS.format(
            node=machine.name,
            role=machine.role,
            machine=role["on"],
            serves=",".join(role["serves"]),
            ip=machine.ip,
            zone=machine.zone,
            listen=listen,
            seeds=seeds,
            bootstrap="true" if is_first else "false",
            tolerance="true" if machine.role == "controller" else "false",
        )
        path = self.folder / f"{machine.name}.conf"
        path.write_text(text, encoding="utf-8")
        if machine.role == "controller":
            (self.folder / f"data-{machine.name}").mkdir(exist_ok=True)
        return path

    def start(self, name):
        """Start the process of a machine with the command of the deploy file."""
        if self.is_closed:
            return
        machine = self.machines[name]
        path = self.write_settings(machine, machine.starts == 0)
        role = self.roles[machine.role]
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment |= role.get("env", {})
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["AMARANTHSPAR_SETTINGS"] = str(path)
        with open(self.folder / f"{name}.log", "ab") as log:
            machine.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        machine.starts += 1
        self.record.note(f"{name} started, process {machine.process.pid}")

    def signal(self, name, number):
        """Send a signal to the process of a machine."""
        self.record.note(f"{name} gets {signal.Signals(number).name}")
        self.machines[name].process.send_signal(number)

    async def open(self):
        """Start everything, set the configuration and wait until all is ready."""
        for minion in self.minions.values():
            await minion.open()
        for name in self.machines:
            self.start(name)
        await self.put_configuration(1)
        for name, machine in self.machines.items():
            if machine.role == "gateway":
                await self._wait_ready(name, machine)
        # Heartbeats of the upstreams and the lists of gateways settle.
        await asyncio.sleep(4)
        self.record.note("deployment is ready")

    async def _wait_ready(self, name, machine):
        for _ in range(200):
            status, _ = await call(
                machine.ip, READY_PORT, "GET", "/amaranthspar/ready", timeout_s=1
            )
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise UnusableError(f"{name} is not ready")

    def build_configuration(self, version):
        """Return a configuration with one queue."""
        return {
            "Version": version,
            "Routes": [
                {
                    "Name": "r-1",
                    "Host": HOST,
                    "PathPrefix": PREFIX,
                    "Kind": "unsafe",
                    "TimeoutMs": 1500,
                    "TargetLatencyMs": 60,
                    "Priority": 0,
                    "Service": SERVICE,
                    "MaxAttempts": 3,
                    "Stretch": 1.6,
                }
            ],
            "Services": [
                {
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
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 262144,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        }

    async def put_configuration(self, version):
        """Send a configuration to the controllers in turn until one accepts it."""
        body = self.build_configuration(version)
        names = [item for item in self.machines.values() if item.role == "controller"]
        for attempt in range(60):
            machine = names[attempt % len(names)]
            status, _ = await call(
                machine.ip,
                CONTROL_PORT,
                "POST",
                "/amaranthspar/config/put",
                body,
                timeout_s=1,
            )
            if status == 200:
                self.record.note(f"configuration {version} acknowledged")
                return
            await asyncio.sleep(0.3)
        raise UnusableError("no controller accepted the configuration")

    async def send(self, gateway, method, job, body=None, timeout_s=10.0):
        """Make a call of a caller at a gateway, on a connection of its own."""
        machine = self.machines[gateway]
        self.record.note(f"caller: {method} {job} to {gateway}")
        status, data = await call(
            machine.ip,
            FRONT_PORT,
            method,
            PREFIX + job,
            body,
            {"X-Amaranthspar-Deadline-Ms": str(round(1000 * timeout_s))},
            timeout_s,
        )
        answer = data.decode(errors="replace")[:100]
        at_s = self.record.note(
            f"caller: {method} {job} to {gateway} answered {status} {answer}"
        )
        return status, data, at_s

    async def close(self):
        """End all processes that were started and remove the temporary folder."""
        self.is_closed = True
        for minion in self.minions.values():
            await minion.close()
        for machine in self.machines.values():
            if machine.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.kill()
                machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Run:
    """One run of a task on a stand-in upstream."""

    def __init__(self, task, number, spec, now_s):
        self.task, self.number, self.started_s = task, number, now_s
        self.needs = json.loads(spec)
        self.ends_s = now_s + self.needs["ms"] / 1000
        self.stop_s = None


class Minion:
    """Stand-in upstream that follows the pages: fences, leases, stops and lists."""

    def __init__(self, record, machine):
        self.record, self.machine = record, machine
        self.id = f"i-{machine.name}"
        self.cores = 8000
        self.starts = []
        self.intervals = []
        self._begin_life()
        self._server = None
        self._tasks = []
        self._writers = set()
        self.state = "ready"
        self.acknowledged = {}

    def _begin_life(self):
        self.born = int(time.time() * 1000)
        self.began_s = time.monotonic()
        self.fence = 0
        self.sequence = 0
        self.lease_s = 0.0
        self.runs = {}
        self.barred = {}
        self.ended = []
        self.last_end = 0

    def clock_ms(self):
        """Return the time on the steady clock of this life in ms."""
        return int((time.monotonic() - self.began_s) * 1000) + 1000

    async def open(self):
        """Listen and begin to send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self.machine.ip, APP_PORT
        )
        self._tasks = [
            asyncio.create_task(self._beat_forever()),
            asyncio.create_task(self._expire_forever()),
        ]

    async def close(self):
        """Stop."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.5 if self.acknowledged else 0.3)

    async def beat(self):
        """Send one heartbeat and return whether it was acknowledged."""
        self.sequence += 1
        body = {
            "Service": SERVICE,
            "Address": f"{self.machine.ip}:{APP_PORT}",
            "Zone": self.machine.zone,
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": self.cores, "MemMb": 65536, "Gpu": 0},
            "Labels": ["a", f"r1-{self.machine.zone}"],
            "ClockMs": self.clock_ms(),
            "Seq": self.sequence,
            "born": self.born,
        }
        status, _ = await call(
            self.machine.ip,
            CONTROL_PORT,
            "POST",
            f"/amaranthspar/instances/{self.id}/heartbeat",
            body,
            timeout_s=1,
        )
        if status == 200:
            self.acknowledged.setdefault(self.state, time.monotonic())
        return status == 200

    async def _expire_forever(self):
        while True:
            self.expire()
            await asyncio.sleep(0.005)

    def expire(self):
        """End the runs that are done, stopped or without a lease."""
        now_s = time.monotonic()
        for run in list(self.runs.values()):
            if run.stop_s is not None and now_s >= run.stop_s:
                self._end(run, "stopped")
            elif run.stop_s is None and now_s >= run.ends_s:
                self._end(run, "done")
            elif self.clock_ms() > self.lease_s * 1000:
                self._end(run, "lapsed")

    def _end(self, run, how):
        del self.runs[run.task]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, how, ""])
        now_s = self.record.now_s()
        self.intervals.append((run.task, run.number, run.began_s, now_s, how))
        self.record.note(f"{self.id}: run {run.number} of {run.task} ended {how}")

    def lengthen(self, deadline_ms):
        """Lengthen the lease, at most by the longest hold of 1 s."""
        limit_ms = min(deadline_ms, self.clock_ms() + 1000)
        self.lease_s = max(self.lease_s, limit_ms / 1000)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                first, headers, data = request
                path = first.split(" ")[1]
                body = json.loads(data or b"{}")
                status, answer = await self.answer(path, headers, body)
                answer |= {"ClockMs": self.clock_ms(), "born": self.born}
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, path, headers, body):
        """Return status and body of the answer to a call."""
        wanted = headers.get("x-amaranthspar-expected-instance", self.id)
        if wanted != self.id:
            return 421, {}
        if path == "/health":
            return 200, {}
        if body.get("Fence", 0) < self.fence:
            return 409, {"Reason": "fence"}
        self.fence = body.get("Fence", 0)
        self.expire()
        match path:
            case "/amaranthspar/run-start":
                return self._start(body)
            case "/amaranthspar/run-stop":
                return self._stop(body)
            case "/amaranthspar/hold":
                return await self._hold(body)
        return 404, {}

    def _start(self, body):
        task, number = body["Task"], body["Run"]
        if self.clock_ms() > body["DeadlineMs"]:
            return 409, {"Reason": "late"}
        self_run = self.runs.get(task)
        if self_run is not None and self_run.number == number:
            return 200, {}
        if number <= self.barred.get(task, 0) or self_run is not None:
            self.lengthen(body["DeadlineMs"])
            return 409, {"Reason": "old"}
        run = Run(task, number, body["Spec"], time.monotonic())
        used = sum(item.needs["cpu"] for item in self.runs.values())
        self.lengthen(body["DeadlineMs"])
        if used + run.needs["cpu"] > self.cores:
            return 409, {"Reason": "room"}
        run.began_s = self.record.note(f"{self.id}: run {number} of {task} started")
        self.runs[task] = run
        self.starts.append((task, number, run.began_s))
        return 200, {}

    def _stop(self, body):
        task, number = body["Task"], body["Run"]
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stop_s is None:
            run.stop_s = time.monotonic() + 0.02
        return 200, {}

    async def _hold(self, body):
        if body.get("DeadlineMs"):
            self.lengthen(body["DeadlineMs"])
        seen = body.get("SeenUpto", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        until_s = time.monotonic() + body.get("WaitMs", 0) / 1000
        while not self.ended and time.monotonic() < until_s:
            await asyncio.sleep(0.003)
            self.expire()
        now_s = time.monotonic()
        running = [
            [
                run.task,
                run.number,
                "",
                int(100 * (now_s - run.started_s) / (run.ends_s - run.started_s)),
                run.needs["cpu"],
            ]
            for run in self.runs.values()
        ]
        return 200, {"Running": running, "Ended": self.ended[:500]}


def build_job(count, cpu, task_ms):
    """Return the body of a job that need not be stored."""
    return {
        "Spec": json.dumps({"ms": task_ms, "cpu": cpu}),
        "BestEffort": True,
        "Steps": [{"Count": count, "Cpu": cpu, "MemMb": 64, "EstimateMs": task_ms}],
    }


def build_id():
    """Return a new job id."""
    return f"{random.getrandbits(64):016x}"


def find_free_net():
    """Return a loopback network on whose first addresses all ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(64, 223)}.{random.randint(1, 250)}"
        if all(
            is_free(f"{net}.{host}", port)
            for host in range(1, 13)
            for port in (FRONT_PORT, READY_PORT, CONTROL_PORT, APP_PORT, 9464)
            + tuple(range(FIRST_LINK_PORT, FIRST_LINK_PORT + 3))
        ):
            return net
    raise UnusableError("no free ports")


def is_free(ip, port):
    """Return whether a port can be listened on."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((ip, port))
        except OSError:
            return False
    return True


async def read_message(reader):
    """Return first line, headers and body of an HTTP message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    data = await reader.readexactly(size) if size else b""
    return lines[0], headers, data


async def call(ip, port, method, path, body=None, headers=None, timeout_s=5.0):
    """Make one HTTP call; status 0 means that there was no answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(build_request(method, path, body, headers))
            message = await read_message(reader)
            if message is None:
                return 0, b"connection ended"
            return int(message[0].split(" ")[1]), message[2]
    except TimeoutError:
        return 0, b"no answer in time"
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        return 0, type(error).__name__.encode()
    finally:
        if writer is not None:
            writer.close()


def build_request(method, path, body=None, headers=None):
    """Return an HTTP request."""
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if data:
        lines.append("Content-Type: application/json")
    lines.append(f"Content-Length: {len(data)}")
    return "\r\n".join([*lines, "", ""]).encode() + data


def run_case(folder, case, limit_s=110, **options):
    """Run a case and return the exit status: 0 held, 1 broken, 2 could not run.

    Args:
        folder: Folder of the case, for its record.
        case: Coroutine function of record and deployment; returns what is broken.
        limit_s: Longest time of the case in s.
        options: Size of the deployment.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"disruption: {'yes' if has_trouble else 'no'}")

    async def run():
        deployment = Deployment(record, **options)
        try:
            async with asyncio.timeout(limit_s):
                await deployment.open()
                return await case(record, deployment, has_trouble)
        finally:
            await deployment.close()

    try:
        broken = asyncio.run(run())
    except Exception as error:
        record.note(f"could not run: {type(error).__name__}: {error}")
        return 2
    for line in broken:
        record.note(f"BROKEN: {line}")
    if not broken:
        record.note("the rule held")
    return 1 if broken else 0
