"""Simulates replicas over a faulty network and faulty disks and checks invariants.

The simulation runs the consensus state machines of the package itself. It raises
`Violation` when an invariant does not hold; each invariant is stated in a comment
where it is checked.
"""

import random

import attrs

from amaranthspar import effects
from amaranthspar.consensus import consensus, replicas, transitions
from amaranthspar.registry import leases, registry, requests
from amaranthspar.schema import codec, messages

ELECTION_MS = 100
HEARTBEAT_MS = 20
LEASE_MS = 600
MAX_DRIFT = 0.1
ROUNDING_MS = 3
SNAPSHOT_ENTRIES = 6
SETTINGS = transitions.Settings(
    ELECTION_MS, HEARTBEAT_MS, trailing_entries=2, chunk_bytes=200
)


class Violation(AssertionError):
    """An invariant does not hold."""


@attrs.define
class Disk:
    """The disk of one replica: synced state and writes that are not yet synced.

    Attributes:
        folder: Random number of the data folder; a wiped replica gets a new one.
        stored: State that survives a crash.
        pending: Writes that are not yet synced, oldest first.
    """

    folder: int
    stored: transitions.Stored = attrs.field(factory=transitions.Stored)
    pending: list[transitions.Persist | transitions.SaveSnapshot] = attrs.field(
        factory=list
    )

    def sync(self, count: int) -> int:
        """Sync the oldest pending writes.

        Args:
            count: Most writes to sync.

        Returns:
            Number of the last write synced; 0 if there was none.
        """
        number = 0
        for change in self.pending[:count]:
            self._write(change)
            number = change.number
        del self.pending[:count]
        return number

    def _write(self, change: transitions.Persist | transitions.SaveSnapshot) -> None:
        if isinstance(change, transitions.SaveSnapshot):
            self.stored = transitions.Stored(
                change.state, change.snapshot, list(change.entries)
            )
            return
        entries = self.stored.entries
        if change.truncate_from:
            entries = [item for item in entries if item.index < change.truncate_from]
        self.stored = transitions.Stored(
            change.state, self.stored.snapshot, entries + change.entries
        )


@attrs.define
class Node:
    """One replica on one host.

    Attributes:
        name: Replica id.
        disk: Disk of the replica.
        clock_rate: Speed of the host's clock relative to true time.
        clock_offset_ms: Offset of the host's clock in ms.
        machine: Consensus state machine; none while the replica is stopped.
        state: Registry built from the applied entries.
        applied: Index of the last applied entry.
        pending_snapshot: Last index covered by a snapshot that is being saved, and
            the encoded registry; none if no snapshot is being saved.
    """

    name: str
    disk: Disk
    clock_rate: float
    clock_offset_ms: int
    machine: consensus.Consensus | None = None
    state: registry.Registry = attrs.field(factory=registry.Registry)
    applied: int = 0
    pending_snapshot: tuple[int, bytes] | None = None


@attrs.frozen
class Packet:
    """A message in transit."""

    sender: str
    receiver: str
    message: object


class Simulation:
    """Simulated replicas and network, with checks of the invariants.

    Args:
        seed: Seed of all random choices of the simulation and the state machines.
        names: Ids of the initial replicas.
        settings: Timeouts and limits of the replicas.

    Attributes:
        now_ms: True time in ms.
        packets: Messages in transit, oldest first.
        blocked_links: Pairs of replica ids between which no message passes.
        nodes: Replicas by id.
        initial_members: Set of replicas at the first start.
        committed: Committed entries by index.
        commit_terms: Term of the replica that first applied an entry, by index.
        commit_times: Index and true time in ms of the first application of each entry.
        leaders: Replica that became leader, by term.
        proposal_count: Number of configurations proposed.
        checked_views: Number of views checked by `check_view_age`.
        installed_snapshots: Number of snapshots installed from a leader.
    """

    def __init__(
        self,
        seed: int,
        names: tuple[str, ...] = ("a", "b", "c"),
        settings: transitions.Settings = SETTINGS,
    ) -> None:
        self.now_ms = 1_000
        self.settings = settings
        self.random = random.Random(seed)
        self.packets: list[Packet] = []
        self.blocked_links: set[frozenset[str]] = set()
        self.nodes: dict[str, Node] = {}
        self.initial_members = messages.ChangeReplicas(
            [messages.Replica(name, name, True) for name in names], []
        )
        self.committed: dict[int, messages.LogEntry] = {}
        self.commit_terms: dict[int, int] = {}
        self.commit_times: list[tuple[int, int]] = []
        self.leaders: dict[int, str] = {}
        self.versions: dict[int, str] = {}
        self.proposal_count = 0
        self.checked_views = 0
        self.installed_snapshots = 0
        for name in names:
            self.add_host(name)

    # Actions on the cluster.

    def add_host(self, name: str) -> None:
        """Start a replica with an empty data folder.

        Args:
            name: Replica id, which is also its address.
        """
        clock_rate = 1 + self.random.choice((-MAX_DRIFT, 0, MAX_DRIFT))
        clock_offset_ms = self.random.randrange(100_000)
        folder = self.random.getrandbits(48) | 1
        self.nodes[name] = Node(name, Disk(folder), clock_rate, clock_offset_ms)
        self.start(name)

    def start(self, name: str) -> None:
        """Start a replica from the state on its disk.

        Args:
            name: Replica id.
        """
        node = self.nodes[name]
        stored = node.disk.stored
        node.machine = consensus.Consensus(
            transitions.Identity(
                name,
                node.disk.folder,
                failure_domain=self.find_failure_domain(name),
            ),
            self.initial_members,
            self.settings,
            random.Random(self.random.getrandbits(64)),
            stored,
            self.read_clock(node),
        )
        node.state = registry.Registry()
        node.applied = 0
        node.pending_snapshot = None
        if stored.snapshot is not None:
            node.state.restore(stored.snapshot.state)
            node.applied = stored.snapshot.index

    def find_failure_domain(self, name: str) -> str:
        """Return the failure domain of a replica's host; empty if it is not known.

        Args:
            name: Replica id.
        """
        return ""

    def crash(self, name: str, synced: int = 0) -> None:
        """Stop a replica and lose its writes that are not synced.

        Args:
            name: Replica id.
            synced: Most pending writes to sync before the crash, without
                confirmation.
        """
        node = self.nodes[name]
        node.disk.sync(synced)
        node.disk.pending.clear()
        node.machine = None

    def wipe(self, name: str) -> None:
        """Stop a replica and replace its data folder with an empty one.

        Args:
            name: Replica id.
        """
        self.crash(name)
        self.nodes[name].disk = Disk(self.random.getrandbits(48) | 1)

    def advance_clock(self, name: str, duration_ms: int) -> None:
        """Move the clock of one host forward.

        Args:
            name: Replica id.
            duration_ms: Size of the jump in ms.
        """
        self.nodes[name].clock_offset_ms += duration_ms

    def sync(self, name: str, count: int) -> None:
        """Sync pending writes of a replica and confirm them to it.

        Args:
            name: Replica id.
            count: Most writes to sync.
        """
        node = self.nodes[name]
        number = node.disk.sync(count)
        if number and node.machine is not None:
            self.step(node, transitions.Persisted(number))

    def advance(self, duration_ms: int) -> None:
        """Advance true time and send a tick to every replica.

        Args:
            duration_ms: True time to advance in ms.
        """
        self.now_ms += duration_ms
        for node in self.nodes.values():
            self.step(node, transitions.Tick())

    def deliver(self, position: int, duplicate: bool = False) -> None:
        """Deliver one message in transit; on a blocked link it is not received.

        Args:
            position: Position of the message among those in transit, modulo their
                number.
            duplicate: Whether the message stays in transit and so can be delivered
                again.
        """
        if not self.packets:
            return
        position %= len(self.packets)
        packet = self.packets[position] if duplicate else self.packets.pop(position)
        if frozenset((packet.sender, packet.receiver)) in self.blocked_links:
            return
        node = self.nodes.get(packet.receiver)
        if node is not None:
            self.step(node, transitions.Received(packet.sender, packet.message))

    def propose(self, name: str) -> bool:
        """Propose a change of the configuration to a replica.

        Args:
            name: Replica id.

        Returns:
            Whether the replica accepts proposals.
        """
        node = self.nodes[name]
        if node.machine is None or not node.machine.accepts_proposals:
            return False
        self.proposal_count += 1
        command = messages.AcceptConfiguration(
            f"c{self.proposal_count}", node.state.version, "", "", self.now_ms, [], []
        )
        self.step(node, transitions.Propose([requests.encode_command(command)]))
        return True

    def check_view_age(self, name: str) -> None:
        """Check the view age that a replica states, and a lease granted from it.

        Args:
            name: Replica id.

        Raises:
            Violation: The view or a lease granted from it is staler than allowed.
        """
        node = self.nodes[name]
        if node.machine is None:
            return
        age_ms = node.machine.read_view_age(self.read_clock(node))
        if age_ms < 0:
            return
        self.checked_views += 1
        self._check_lease(node, age_ms)
        # Invariant: a view includes every entry that any replica committed before
        # the current time minus the age of the view.
        longest_ms = int(age_ms / (1 - MAX_DRIFT)) + ROUNDING_MS
        needed = [at for at, ms in self.commit_times if ms < self.now_ms - longest_ms]
        if needed and node.applied < max(needed):
            raise Violation(
                f"{name} has a view of age {age_ms} ms and applied index "
                f"{node.applied}, but {max(needed)} was committed before that view"
            )

    def _check_lease(self, node: Node, age_ms: int) -> None:
        # Invariant: once an entry is committed, a lease granted without it expires
        # within one lease duration, also if the holder's clock is slow.
        length_ms = LEASE_MS - leases.pad_view_age(age_ms)
        end_ms = self.now_ms + length_ms
        newer = [ms for index, ms in self.commit_times if index > node.applied]
        if newer and end_ms > min(newer) + LEASE_MS + ROUNDING_MS:
            raise Violation(
                f"{node.name} applied index {node.applied} and grants a lease until "
                f"{end_ms} ms, but a newer entry was committed at {min(newer)} ms"
            )

    def transfer_leadership(self, name: str) -> None:
        """Ask a replica to transfer leadership.

        Args:
            name: Replica id.
        """
        self.step(self.nodes[name], transitions.StartTransfer())

    def replace(self, name: str, removed: str, added: str) -> None:
        """Ask the leader to replace one replica with another.

        Args:
            name: Replica id of the leader.
            removed: Replica id to remove; empty for none.
            added: Replica id to add; empty for none.
        """
        node = self.nodes[name]
        self.step(node, transitions.Replace(removed, added, added))

    def heal(self, duration_ms: int) -> None:
        """Unblock all links, start stopped replicas and run without faults.

        Args:
            duration_ms: True time to run in ms.
        """
        self.blocked_links.clear()
        for name, node in self.nodes.items():
            if node.machine is None:
                self.start(name)
        for _ in range(duration_ms // 5):
            self.settle()
            self.advance(5)

    def settle(self) -> None:
        """Sync every disk, then deliver the messages in transit at that point."""
        for name in self.nodes:
            self.sync(name, 100)
        for _ in range(len(self.packets)):
            self.deliver(0)

    def find_committed_members(self) -> messages.ChangeReplicas:
        """Return the set of replicas as of the newest committed change."""
        for entry in reversed(self.committed.values()):
            if entry.kind == "ChangeReplicas":
                change = codec.decode_message(entry.kind, entry.payload)
                assert isinstance(change, messages.ChangeReplicas)
                return change
        return self.initial_members

    def list_leaders(self) -> list[str]:
        """Return the replicas that act as leader, whatever their terms."""
        return [
            name
            for name, node in self.nodes.items()
            if node.machine is not None and node.machine.leading is not None
        ]

    # Events and effects.

    def read_clock(self, node: Node) -> int:
        """Return the time of a host's monotonic clock in ms.

        Args:
            node: Replica on that host.
        """
        return int(self.now_ms * node.clock_rate) + node.clock_offset_ms

    def step(self, node: Node, event: transitions.Event) -> None:
        """Pass one event to a replica and carry out the effects.

        Args:
            node: Replica.
            event: Event to process.
        """
        if node.machine is not None:
            self.carry_out(node, node.machine.step(event, self.read_clock(node)))

    def carry_out(self, node: Node, found: list[transitions.Effect]) -> None:
        """Carry out the effects of a replica.

        Args:
            node: Replica.
            found: Effects to carry out in order.
        """
        if node.machine is None:
            return
        for effect in found:
            match effect:
                case transitions.Persist() | transitions.SaveSnapshot():
                    node.disk.pending.append(effect)
                case transitions.Apply(entries=entries):
                    self._apply(node, entries)
                case transitions.Restore(state=state):
                    self.installed_snapshots += 1
                    node.state.restore(state)
                    node.applied = node.machine.commit_index
                case transitions.ChangeLeader(leader=leader, term=term):
                    if leader == node.name:
                        self._check_leader(node, term)
                case effects.Send(peer=peer, message=message):
                    if frozenset((node.name, peer)) not in self.blocked_links:
                        self.packets.append(Packet(node.name, peer, message))
                case _:
                    pass
        self._compact(node)

    def _apply(self, node: Node, entries: list[messages.LogEntry]) -> None:
        for entry in entries:
            # Invariant: entries are applied in order and once each.
            if entry.index != node.applied + 1:
                raise Violation(f"{node.name} applied index {entry.index} out of order")
            committed = self.committed.setdefault(entry.index, entry)
            # Invariant: the entry committed at an index never changes.
            if committed != entry:
                raise Violation(
                    f"{node.name} applied {entry}, others applied {committed}"
                )
            if committed is entry:
                self.commit_times.append((entry.index, self.now_ms))
                if node.machine is not None:
                    self.commit_terms[entry.index] = node.machine.term
            node.applied = entry.index
            node.state.apply(entry)

    def _compact(self, node: Node) -> None:
        machine = node.machine
        if machine is None:
            return
        snapshot = machine.journal.snapshot
        covered = snapshot.index if snapshot is not None else 0
        if machine.commit_index - covered < SNAPSHOT_ENTRIES:
            return
        if node.pending_snapshot is None:
            # The snapshot is taken now but saved at a later step, because the package
            # encodes it in pieces while further entries are applied.
            node.pending_snapshot = (node.applied, node.state.save())
            return
        event = transitions.Compact(*node.pending_snapshot)
        node.pending_snapshot = None
        for effect in machine.step(event, self.read_clock(node)):
            if isinstance(effect, transitions.SaveSnapshot):
                node.disk.pending.append(effect)

    # Invariants of leaders and logs.

    def _check_leader(self, node: Node, term: int) -> None:
        machine = node.machine
        if machine is None:
            return
        # Invariant: each term has at most one leader.
        if self.leaders.setdefault(term, node.name) != node.name:
            raise Violation(
                f"{node.name} and {self.leaders[term]} both lead term {term}"
            )
        # Invariant: the log of a leader includes every entry that was committed in an
        # earlier term.
        log = machine.journal.log
        for index, entry in self.committed.items():
            if self.commit_terms[index] >= term:
                continue
            held = log.read_term(index)
            if index > log.last_index or held not in (None, entry.term):
                raise Violation(f"{node.name} leads term {term} without entry {index}")
        # Invariant: a vote counts only once it is synced to the disk that the voter
        # has now.
        for voter, folder in machine.votes.items():
            disk = self.nodes[voter].disk
            if disk.folder == folder and disk.stored.state.term < term:
                raise Violation(f"{voter} voted in term {term} without a synced vote")
            self._check_folder(machine, voter, folder)

    def _check_folder(
        self, machine: consensus.Consensus, voter: str, folder: int
    ) -> None:
        # Invariant: a vote does not count if it comes from another data folder than
        # the one that the membership records for the voter.
        if not machine.journal.formed:
            return
        replica = replicas.find_replica(machine.journal.members, voter)
        if replica is not None and replica.voter and replica.folder != folder:
            raise Violation(f"a vote of {voter} from a foreign folder was counted")

    def check_logs(self) -> None:
        """Check the log matching property for all pairs of running replicas.

        If two logs hold an entry with the same index and term, they are equal up to
        that entry.

        Raises:
            Violation: Two logs differ before a matching entry.
        """
        running = [node.machine for node in self.nodes.values() if node.machine]
        for one in running:
            for other in running:
                _compare_logs(one, other)


def _compare_logs(one: consensus.Consensus, other: consensus.Consensus) -> None:
    first = one.journal.log
    second = other.journal.log
    matching = False
    lowest = max(first.base_index, second.base_index) + 1
    for index in range(min(first.last_index, second.last_index), lowest - 1, -1):
        mine = first.slice(index, index)[0]
        theirs = second.slice(index, index)[0]
        if matching and mine != theirs:
            raise Violation(f"{one.replica} and {other.replica} differ at {index}")
        matching = matching or mine.term == theirs.term
        if matching and mine != theirs:
            raise Violation(f"{one.replica} and {other.replica} differ at {index}")


def encode_snapshot(snapshot: messages.LogSnapshot) -> bytes:
    """Encode a snapshot into the bytes that are sent in chunks.

    Args:
        snapshot: Snapshot to encode.
    """
    return codec.encode_message(snapshot)
