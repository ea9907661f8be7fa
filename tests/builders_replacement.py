"""Builders of simulated controllers that join, leave and replace one another."""

from __future__ import annotations

import attrs

from amaranthspar.consensus import replacement, replicas, transitions
from amaranthspar.registry import administration
from amaranthspar.schema import messages
from tools import simulation

STEP_MS = 5
REPLICA_TIMEOUT_MS = 750
LEADER_TIMEOUT_MS = 375
JOIN_INTERVAL_MS = 125
LEAVE_TIMEOUT_MS = 750
FREEZE_MS = 1_000
"""Longer than the timeout after which a silent voter is removed."""
DOWN_MS = 250
CALM_MS = 1_500
"""Time in which a host that is back catches up."""
NEW_HOST = "new"


@attrs.define
class Host:
    """One host with its current replica.

    Attributes:
        replica: Replica id.
        administration: Administration of the replica; none while it is down.
        frozen: Whether the host stands still.
        next_join_ms: Time in ms of its next request to join.
    """

    replica: str
    administration: administration.ReplicaAdministration | None = None
    frozen: bool = False
    next_join_ms: int = 0


class ReplicaHosts(simulation.Simulation):
    """Simulated replicas that change their set as the controllers do.

    A host's name is its address until it moves, also of the replica with an empty data
    folder that follows the loss of a disk.

    Args:
        seed: Seed of all random choices.
        names: Hosts of the first set.
        domains: Failure domains by host; a host that is missing has one of its own.
    """

    def __init__(
        self, seed: int, names: tuple[str, ...], domains: dict[str, str] | None = None
    ) -> None:
        self.domains = domains or {}
        self.hosts: dict[str, Host] = {}
        # Addresses of the replicas, and the hosts that are reached at each.
        self._addresses: dict[str, str] = {}
        self._located: dict[str, str] = {}
        self._voter_target = replacement.find_voter_target(0, len(names))
        self._losses = 0
        self._moves = 0
        settings = attrs.evolve(simulation.SETTINGS, voter_target=self._voter_target)
        super().__init__(seed, names, settings)
        self.wait(4 * CALM_MS)

    def add_host(self, name: str) -> None:
        self._addresses[name] = self._located[name] = name
        self.hosts[name] = Host(name)
        super().add_host(name)
        self._administer(name)

    def _administer(self, host: str) -> None:
        machine = self.nodes[self.hosts[host].replica].machine
        assert machine is not None
        machine.address = self.find_address(host)
        self.hosts[host].administration = administration.ReplicaAdministration(
            machine, self._voter_target, REPLICA_TIMEOUT_MS, LEADER_TIMEOUT_MS
        )

    def kill(self, host: str) -> None:
        """End the process of a host."""
        self.crash(self.hosts[host].replica, synced=100)
        self.hosts[host].administration = None

    def stop(self, host: str) -> None:
        """End the process of a host after it has asked to leave the set."""
        replica = self.hosts[host].replica
        self.transfer_leadership(replica)
        self.wait(2 * simulation.ELECTION_MS)
        for _ in range(LEAVE_TIMEOUT_MS // STEP_MS):
            found = self.hosts[host].administration
            assert found is not None
            if not found.can_leave() or self._leave(host):
                break
            self.wait(STEP_MS)
        self.kill(host)

    def _leave(self, host: str) -> bool:
        replica = self.hosts[host].replica
        machine = self.nodes[replica].machine
        assert machine is not None
        request = messages.LeaveReplicas(1, replica, machine.journal.members_index)
        for leader in self._list_leading_hosts():
            found = leader.administration
            assert found is not None
            node = self.nodes[leader.replica]
            self.carry_out(node, found.leave(host, request, self.read_clock(node)))
            if found._is_removed(replica):
                return True
        return False

    def lose_disk(self, host: str) -> None:
        """End the process of a host and empty its data folder."""
        self.kill(host)
        self._losses += 1
        replica = f"{host}-{self._losses}"
        self._addresses[replica] = self.find_address(host)
        self.hosts[host].replica = replica

    def find_address(self, host: str) -> str:
        """Return the address of a host."""
        return self._addresses[self.hosts[host].replica]

    def find_failure_domain(self, name: str) -> str:
        (host,) = [key for key, item in self.hosts.items() if item.replica == name]
        return self.domains.get(host, host)

    def move(self, host: str) -> None:
        """Give a host whose process has ended another address."""
        del self._located[self.find_address(host)]
        self._moves += 1
        address = f"{host}/{self._moves}"
        self._addresses[self.hosts[host].replica] = address
        self._located[address] = host

    def restart(self, host: str) -> None:
        """Start the process of a host again."""
        replica = self.hosts[host].replica
        if replica in self.nodes:
            self.start(replica)
        else:
            super().add_host(replica)
        self._administer(host)

    def freeze(self, host: str) -> None:
        """Let a host stand still; what is sent to it waits."""
        self.hosts[host].frozen = True

    def thaw(self, host: str) -> None:
        """Let a host go on."""
        self.hosts[host].frozen = False

    def wait(self, duration_ms: int) -> None:
        """Let time pass."""
        for _ in range(duration_ms // STEP_MS):
            self._pass_step()

    def _pass_step(self) -> None:
        self.now_ms += STEP_MS
        packets, self.packets = self.packets, []
        for packet in packets:
            name = self._located.get(packet.receiver)
            if name is None or isinstance(packet.message, messages.ReplicasChanged):
                continue
            host = self.hosts[name]
            if host.frozen:
                self.packets.append(packet)
            elif host.administration is not None:
                event = transitions.Received(
                    self._addresses[packet.sender], packet.message
                )
                self.step(self.nodes[host.replica], event)
        for name, host in self.hosts.items():
            if host.administration is None or host.frozen:
                continue
            node = self.nodes[host.replica]
            self.sync(host.replica, 100)
            self.step(node, transitions.Tick())
            now_ms = self.read_clock(node)
            self.carry_out(node, host.administration.adjust(now_ms))
            self._request_join(name, host)
        self.check_logs()

    def _request_join(self, name: str, host: Host) -> None:
        node = self.nodes[host.replica]
        assert host.administration is not None
        is_due = host.administration.is_join_due(self.read_clock(node))
        if not is_due or self.now_ms < host.next_join_ms:
            return
        host.next_join_ms = self.now_ms + JOIN_INTERVAL_MS
        request = messages.JoinReplicas(
            host.replica,
            self.find_address(name),
            node.disk.folder,
            self.find_failure_domain(host.replica),
        )
        for other in self.hosts.values():
            if other.administration is not None and not other.frozen:
                event = transitions.Received(request.address, request)
                self.step(self.nodes[other.replica], event)
        for leader in self._list_leading_hosts():
            found = leader.administration
            assert found is not None
            node = self.nodes[leader.replica]
            self.carry_out(node, found.join(request, self.read_clock(node)))

    def _list_leading_hosts(self) -> list[Host]:
        leading = set(self.list_leaders())
        return [
            host
            for host in self.hosts.values()
            if host.replica in leading and not host.frozen
        ]

    def find_leading_host(self) -> str:
        """Return the host of the leader; empty for none."""
        leading = self._list_leading_hosts()
        names = [name for name, host in self.hosts.items() if host in leading]
        return names[0] if len(names) == 1 else ""

    def is_member(self, host: str) -> bool:
        """Return whether a replica of a host is in the set, committed or not, of a leader."""
        return any(
            replicas.find_replica(machine.journal.members, self.hosts[host].replica)
            for machine in (
                self.nodes[item.replica].machine for item in self._list_leading_hosts()
            )
            if machine is not None
        )

    def commits(self) -> bool:
        """Return whether a change proposed now is committed."""
        leader = self.find_leading_host()
        if not leader or not self.propose(self.hosts[leader].replica):
            return False
        before = max(self.committed)
        self.wait(2 * simulation.ELECTION_MS)
        return max(self.committed) > before


def choose_host(hosts: ReplicaHosts, which: str, old: str) -> str:
    """Return the leading, a following or the newest host, other than the old one.

    Args:
        hosts: Simulated hosts.
        which: ``leader``, ``follower`` or ``newest``.
        old: Host that is replaced.
    """
    leader = hosts.find_leading_host()
    running = [name for name, item in hosts.hosts.items() if item.administration]
    others = [name for name in running if name not in (old, leader)]
    match which:
        case "leader" if leader not in ("", old):
            return leader
        case "newest":
            return others[-1]
        case _:
            return others[0]
