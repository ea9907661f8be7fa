"""Machines of a small deployment: processes of the project on loopback addresses."""

import asyncio
import contextlib
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT, APP_PORT, INTERNAL_PORT = range(5)
INTERNAL_PORTS = 15
PORT_COUNT = INTERNAL_PORT + INTERNAL_PORTS
CONTACT_S = 3
ROLES = {"front": "gateway", "side": "sidecar", "core": "controller"}
"""Role of each class of machines, as in the deploy file."""

BOUNDS = {
    "SeedLagS": "3",
    "ReuseAfterS": "2",
    "ContactMs": "3000",
    "AckTimeoutMs": "4000",
    "CatchUpS": "4",
    "DrainMs": "2000",
    "GraceS": "6",
    "LossSlackMs": "200",
    "ConfigApplyMs": "2000",
    "RollbackSlackMs": "250",
    "MaxStretchMs": "5000",
    "EvacuateMs": "5000",
    "RecoveryS": "12",
    "MaxHoldMs": "1000",
    "StopTimeoutMs": "50",
    "GangWaitMs": "3000",
    "cancel_ms": "3000",
    "visible_ms": "3000",
    "RequireFence": "true",
    "LeaseMs": "3000",
    "ThawMs": "300",
    "RetryMs": "1300",
}


class Machine:
    """One machine with one process of the project."""

    def __init__(
        self, site: "Site", kind: str, zone: str, ip: str, number: int = 1
    ) -> None:
        self.site = site
        self.kind = kind
        self.zone = zone
        self.ip = ip
        self.name = f"{kind}-{zone}-{number}"
        self.log = site.folder / f"{self.name}.log"
        self.data = site.folder / "data" / self.name
        self._process: subprocess.Popen | None = None
        self._is_first = number == 1

    def find_address(self, port: int) -> str:
        """Return an address of this machine."""
        return f"{self.ip}:{self.site.first_port + port}"

    def start(self) -> None:
        """Start the process."""
        settings = self.site.folder / f"{self.name}.conf"
        settings.write_text(self._build_settings())
        self._is_first = False
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SSL_CERT_FILE": "/dev/null",
            "AMARANTHSPAR_SETTINGS": str(settings),
        }
        with self.log.open("a") as log:
            self._process = subprocess.Popen(
                ["python3", "-m", "amaranthspar", "platform", ROLES[self.kind]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def lose_disk(self) -> None:
        """Empty the data folder of a machine that is down."""
        shutil.rmtree(self.data)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def _build_settings(self) -> str:
        site = self.site
        values = {
            "Node": self.name,
            "Role": f"my-{self.kind}",
            "MachineClass": self.kind,
            "Serves": {"core": "control"}.get(self.kind, self.kind),
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": "r",
            "InternalPorts": f"{site.first_port + INTERNAL_PORT},"
            f"{site.first_port + PORT_COUNT - 1}",
            "Seeds": ",".join(
                item.find_address(CONTROL_PORT) for item in site.machines("core")
            ),
            "Bootstrap": "true" if self._is_first else "false",
            "InTolerance": "true" if self.kind == "core" else "false",
            "Discovery": "local",
            "Entry": "vip",
            "HeartbeatMs": "1500",
            "config_mode": "highest",
            "Orders": "call",
        }
        values |= {f"Bounds.{name}": text for name, text in BOUNDS.items()}
        if self.kind == "front":
            values["Listen.Front"] = self.find_address(FRONT_PORT)
            values["Listen.ReadinessAddr"] = self.find_address(READY_PORT)
        else:
            values["Listen.Control"] = self.find_address(CONTROL_PORT)
        if self.kind == "side":
            values["app"] = self.find_address(APP_PORT)
            values["Service"] = site.service
        if self.kind == "core":
            self.data.mkdir(parents=True, exist_ok=True)
            values["DataDir"] = str(self.data)
        return "".join(f"{name}={text}\n" for name, text in values.items())


class Site:
    """A deployment of one front, one side and one core machine in each zone."""

    def __init__(self, folder: pathlib.Path, service: str, zones: list[str]) -> None:
        self.folder = folder
        self.service = service
        self.zones = zones
        self._machines: dict[tuple[str, str], Machine] = {}
        network, self.first_port = _find_network(3 * len(zones) + 1)
        number = 0
        for kind in ROLES:
            for zone in zones:
                number += 1
                ip = f"{network}.{number}"
                self._machines[kind, zone] = Machine(self, kind, zone, ip)
        ip = f"{network}.{number + 1}"
        self._spare = Machine(self, "core", zones[0], ip, 2)

    def machine(self, kind: str, zone: str) -> Machine:
        """Return a machine."""
        return self._machines[kind, zone]

    def machines(self, kind: str) -> list[Machine]:
        """Return the machines of a class."""
        return [self._machines[kind, zone] for zone in self.zones]

    @property
    def spare(self) -> Machine:
        """Machine of the core that is added later, in the first zone."""
        return self._spare

    def start(self) -> None:
        """Start all processes."""
        for machine in self._machines.values():
            machine.start()

    async def stop(self) -> None:
        """End all processes."""
        machines = [*self._machines.values(), self._spare]
        for machine in machines:
            machine.send(signal.SIGCONT)
            machine.send(signal.SIGTERM)
        until_s = time.monotonic() + 8
        while time.monotonic() < until_s and any(item.is_running for item in machines):
            await asyncio.sleep(0.05)
        for machine in machines:
            machine.kill()

    def find_leader(self) -> str:
        """Return the name of the leading core machine by the logs; empty for none."""
        latest = ("", "")
        for machine in self.machines("core"):
            for line in machine.log.read_text().splitlines():
                with contextlib.suppress(ValueError, KeyError, IndexError):
                    if '"leader changed"' not in line:
                        continue
                    leader = line.split('"leader":"')[1].split('"')[0]
                    stamp = line.split('"timestamp":"')[1].split('"')[0]
                    if leader and stamp > latest[0]:
                        latest = (stamp, leader)
        ips = {machine.ip: machine.name for machine in self.machines("core")}
        return ips.get(latest[1], latest[1])


def _find_network(count: int) -> tuple[str, int]:
    """Return three bytes of loopback addresses and a first port that are free."""
    for _ in range(200):
        network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        first_port = random.randrange(10_000, 30_000)
        if all(
            _is_free(f"{network}.{number}", first_port + offset)
            for number in range(1, count + 1)
            for offset in range(PORT_COUNT)
        ):
            return network, first_port
    raise OSError("no free addresses")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
