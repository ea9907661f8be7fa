"""Builders of controllers in one process, and a client that sends them requests."""

import asyncio
import itertools
import pathlib

from amaranthspar import clock, ports
from amaranthspar.network import links
from amaranthspar.roles import controller
from amaranthspar.schema import codec, messages, options
from tests import builders_links

TEXT = "[service lookup]\nidempotent = yes\n\n[domain gyor]\n\n[domain pecs]\n"
WAIT_S = 10
UNAVAILABLE_PAUSE_S = 0.05


def find_address() -> str:
    return ports.find_addresses()[0]


def build_announcement(**changes) -> messages.Announcement:
    values = {
        "worker": "w1",
        "rack": "r1",
        "group": "main",
        "failure_domain": "gyor",
        "services": ["lookup"],
        "slots": 8,
        "connections": 64,
        "cores": 64,
        "memory_mb": 262144,
        "accelerators": 0,
    }
    return messages.Announcement(**{**values, **changes})


def build_member(
    process: str = "s1", role: str = "sidecar", incarnation: int = 1, address: str = ""
) -> messages.Member:
    announcement = build_announcement() if role == "sidecar" else None
    return messages.Member(process, role, incarnation, address, 0, False, announcement)


class Client:
    """Sends requests to controllers and queues their answers."""

    def __init__(self, name: str = "client", section=None) -> None:
        self.address = find_address()
        section = section or options.LinkOptions()
        self.links = links.Links(name, 1, self.address, self._receive, section)
        self.clock = clock.Clock()
        self._answers: asyncio.Queue[codec.Message] = asyncio.Queue()

    def _receive(self, frame: codec.Frame) -> None:
        for message in frame.messages:
            self._answers.put_nowait(message)

    def send(self, address: str, message: codec.Message) -> None:
        self.links.send(address, message)

    async def ask(self, addresses, message, kind, wait_s=0.5):
        """Return the first answer of a kind that is a decision.

        Like ``control.ControllerClient``, it sends the request to the next address after a
        timeout, and again while there is no leader.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + WAIT_S
        for target in itertools.cycle(addresses):
            if loop.time() >= until:
                break
            self.send(target, message)
            answer = await self.wait(kind, wait_s)
            if answer is None or not _belongs(answer, message):
                continue
            if getattr(answer, "outcome", "") != "unavailable":
                return answer
            await asyncio.sleep(UNAVAILABLE_PAUSE_S)
        raise AssertionError(f"no {kind} within {WAIT_S} s")

    async def wait(self, kind, wait_s=WAIT_S):
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            try:
                answer = await asyncio.wait_for(
                    self._answers.get(), until - loop.time()
                )
            except TimeoutError:
                return None
            if isinstance(answer, kind):
                return answer

    def build_renewal(self, member=None, version=0, revision=0) -> messages.RenewLease:
        member = member or build_member(address=self.address)
        now_ms = self.clock.read_monotonic()
        return messages.RenewLease(member, now_ms, version, revision)


def _belongs(answer: codec.Message, message: codec.Message) -> bool:
    """Return whether an answer is for this message's change, not an earlier one."""
    change = getattr(message, "change_id", "")
    return getattr(answer, "change_id", change) == change


class Cluster:
    """Controllers that run in one process."""

    def __init__(self, folder: pathlib.Path, names=("a", "b", "c"), **changes) -> None:
        self.folder = folder
        self.addresses = {name: find_address() for name in names}
        self.first = names
        self.changes = changes
        self.domains: dict[str, str] = {}
        self.running: dict[str, controller.Controller] = {}
        self.listens = dict(self.addresses)
        self.sections: dict[str, options.LinkOptions] = {}
        self.relays: dict[str, builders_links.Relay] = {}
        self.bootstrap = folder / "first.ini"
        self.bootstrap.write_text(TEXT)

    @property
    def targets(self) -> list[str]:
        return list(self.addresses.values())

    def build(self, name: str) -> controller.Controller:
        replicas = [f"{key}={self.addresses[key]}" for key in self.first]
        domain = self.domains.get(name, "gyor")
        process = options.ProcessOptions(name, self.listens[name], self.targets, domain)
        settings = {
            "replica": name,
            "replicas": replicas,
            "data": str(self.folder / name),
            "bootstrap": str(self.bootstrap),
            "election_ms": 150,
            "heartbeat_ms": 20,
            **self.changes,
        }
        return controller.Controller(
            process,
            self.sections.get(name, options.LinkOptions()),
            options.ControllerOptions(**settings),
        )

    async def open_relays(self) -> None:
        """Start a relay in front of each replica; peers get the address of the relay."""
        for name, address in self.listens.items():
            self.relays[name] = builders_links.Relay(address)
            self.addresses[name] = self.relays[name].address
            await self.relays[name].open()

    async def start(self, *names: str) -> None:
        for name in names or self.addresses:
            self.listens.setdefault(name, self.addresses[name])
            self.running[name] = self.build(name)
            await self.running[name].start()
            self.running[name]._links.address = self.addresses[name]
            self.running[name].machine.address = self.addresses[name]

    async def find_leader(self) -> str:
        for _ in range(WAIT_S * 100):
            for name, item in self.running.items():
                if item.leading and item.state.version > 0:
                    return name
            await asyncio.sleep(0.01)
        raise AssertionError(f"no leader within {WAIT_S} s")

    def kill(self, name: str) -> None:
        self.running.pop(name).abort()

    def close(self) -> None:
        for name in list(self.running):
            self.kill(name)
