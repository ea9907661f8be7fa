"""Builders of controllers that answer announcements, and of processes that look for them."""

import asyncio

from amaranthspar import clock, ports
from amaranthspar.consensus import journal
from amaranthspar.membership import directory, documents
from amaranthspar.network import links
from amaranthspar.schema import codec, messages, options, viewmessages
from tests import builders_platform

WAIT_S = 20
OWN_IP = "127.0.0.1"
FIRST_IP, SECOND_IP = "127.0.0.2", "127.0.0.3"
"""IP addresses of the controllers that a process is told of, one after the other."""
SETTINGS_NAME = "node.conf"


class FakeController:
    """Controller that answers announcements and records what it receives.

    Attributes:
        listed: Addresses of the controllers that its answers name.
        revision: Revision of this list.
        ignored: Names of the processes that get no answer.
        received: Kinds of the messages received, with their sender.
    """

    def __init__(self, address: str, version: int = documents.NO_VERSION) -> None:
        self.address = address
        self.listed = [address]
        self.revision = 1
        self.ignored: set[str] = set()
        self.received: set[tuple[str, str]] = set()
        self.directory = directory.Directory()
        self.documents = documents.Documents()
        self.put(version)
        self._links = links.Links(
            f"core-{address}", 1, address, self._receive, options.LinkOptions()
        )

    def put(self, version: int) -> None:
        content = builders_platform.build_configuration(version)
        self.documents.put(viewmessages.PutDocument("r", version, content))

    async def open(self) -> None:
        await self._links.open()

    def close(self) -> None:
        self._links.close()

    def _receive(self, frame: codec.Frame) -> None:
        for message in frame.messages:
            self.received.add((type(message).__name__, frame.sender))
            if not isinstance(message, viewmessages.Announce):
                continue
            if frame.sender not in self.ignored:
                now_ms = clock.Clock().read_monotonic()
                state = directory.ControllerState(self.listed, self.revision, 0)
                view = self.directory.handle_announcement(
                    message, self.documents, state, now_ms
                )
                self._links.send(frame.address, view)


def build_announcement(role: str = "gateway") -> viewmessages.Announce:
    return viewmessages.Announce(
        process="own",
        role=role,
        incarnation=1,
        address="own:1",
        service="",
        failure_domain="east",
        is_leaving=False,
        document_version=documents.NO_VERSION,
        domains_revision=0,
        wants_document=False,
        wants_peers=role == "gateway",
        peers_digest=0,
    )


def build_peer(process: str, role: str) -> viewmessages.Peer:
    return viewmessages.Peer(process, role, 1, f"{process}:1", "", "east", False)


async def wait_until(condition, wait_s: float = WAIT_S) -> None:
    """Wait until a condition is true.

    Raises:
        TimeoutError: It has not become true in time.
    """
    async with asyncio.timeout(wait_s):
        while not condition():
            await asyncio.sleep(0.02)


def build_platform_settings(role: str, seed: str, first_port: int, folder) -> str:
    """Return the platform's settings of a process that knows one controller."""
    front, ready, control = ports.find_addresses(3)
    own = {
        "gateway": f"Listen.Front={front}\nListen.ReadinessAddr={ready}\n",
        "sidecar": f"Listen.Control={control}\nService=quotes\napp=127.0.0.1:1\n",
        "controller": f"Listen.Control={control}\nDataDir={folder}\n",
    }
    return (
        f"Node={role}\nZone=east\nIp={OWN_IP}\n"
        f"InternalPorts={first_port},{first_port + 15}\n"
        f"Seeds={seed}:8166\nBootstrap=false\n"
        f"Bounds.GraceS=1\nBounds.MaxHoldMs=1000\n{own[role]}"
    )


def build_settings(role: str, listen: str, controller: str, http: str) -> str:
    """Return the INI settings of a gateway or sidecar that knows one controller."""
    own = {
        "gateway": f"[gateway]\nhttp = {http}\n",
        "sidecar": (
            f"[sidecar]\nworker = w1\nrack = r1\nupstream = {http}\n"
            "services = lookup\nslots = 1\nconnections = 1\ncores = 1\nmemory_mb = 64\n"
        ),
    }
    return (
        f"[process]\nname = {role}\nlisten = {listen}\n"
        f"controllers = {controller}\nfailure_domain = gyor\n\n{own[role]}"
    )


def build_replacement(
    removed: str, added: str, address: str
) -> messages.ReplaceReplica:
    return messages.ReplaceReplica(1, removed, added, address, "ops")


def build_set_entry(index: int, address: str) -> messages.LogEntry:
    """Return a log entry that sets another controller as the only one."""
    change = messages.ChangeReplicas([messages.Replica("c8", address, True)], [])
    command = journal.encode_change(change)
    return messages.LogEntry(index, 1, command.kind, command.payload)
