"""Durable state of a replica, and the messages that are sent once it is synced."""

import attrs

from amaranthspar import effects
from amaranthspar.consensus import replicalog, transitions
from amaranthspar.schema import codec, messages

REPLICAS_KIND = "ChangeReplicas"
MAX_PENDING_SENDS = 1_024
"""Most messages that wait for the disk; beyond it the oldest are dropped."""


@attrs.define(slots=True)
class _PendingWrite:
    """Write that is not yet confirmed to be on disk.

    Attributes:
        number: Number of the write.
        last_index: Last index of the log once the write is on disk.
    """

    number: int
    last_index: int


@attrs.define(slots=True)
class _Step:
    """Changes and effects collected during one step of the state machine."""

    emitted: list[transitions.Effect] = attrs.field(factory=list)
    sends_after_sync: list[effects.Send] = attrs.field(factory=list)
    state_changed: bool = False
    truncate_from: int = 0
    entries: list[messages.LogEntry] = attrs.field(factory=list)
    new_snapshot: messages.LogSnapshot | None = None

    @property
    def changed(self) -> bool:
        """Whether anything must be written to disk."""
        return (
            self.state_changed
            or bool(self.entries)
            or self.truncate_from > 0
            or self.new_snapshot is not None
        )


class Journal:
    """Term, vote, log, snapshot and set of replicas of one replica.

    Changes take effect in memory at once. `end_step` returns them as one numbered
    write; `handle_persisted` confirms writes by their number.

    Args:
        initial: Initial set of replicas, used until the log defines one.
        stored: Content of the data folder at start.
        trailing_entries: Number of entries up to the snapshot's index that stay in
            memory.

    Attributes:
        term: Current term.
        vote: Replica id that has the vote of this term; empty for none.
        snapshot: Newest snapshot, if any.
        log: Entries in memory.
        durable_index: Last index that is on disk.
        last_write: Number of the last write that was issued.
        last_synced: Number of the last write that is on disk.
    """

    def __init__(
        self,
        initial: messages.ChangeReplicas,
        stored: transitions.Stored,
        trailing_entries: int,
    ) -> None:
        self._trailing_entries = trailing_entries
        self.term = stored.state.term
        self.vote = stored.state.vote
        self.snapshot = stored.snapshot
        self.log = replicalog.ReplicaLog()
        self._member_changes: list[tuple[int, messages.ChangeReplicas]] = [(0, initial)]
        if stored.snapshot is not None:
            self.log.reset(stored.snapshot.index, stored.snapshot.term)
            self._member_changes = [(stored.snapshot.index, stored.snapshot.replicas)]
        self.log.append(stored.entries)
        self._record_member_changes(stored.entries)
        self.durable_index = self.log.last_index
        self.last_write = 0
        self.last_synced = 0
        self._last_vote_write = 0
        self._pending_writes: list[_PendingWrite] = []
        self._pending_sends: list[tuple[int, effects.Send]] = []
        self._step = _Step()

    @property
    def members(self) -> messages.ChangeReplicas:
        """Current set of replicas: the newest in the log, committed or not."""
        return self._member_changes[-1][1]

    @property
    def members_index(self) -> int:
        """Index of the entry that holds the current set of replicas."""
        return self._member_changes[-1][0]

    @property
    def formed(self) -> bool:
        """Whether the cluster is formed: the log has had any entry."""
        return self.log.last_index > 0

    @property
    def is_synced(self) -> bool:
        """Whether all issued writes are on disk."""
        return self.last_synced >= self.last_write

    @property
    def is_vote_synced(self) -> bool:
        """Whether the current term and vote are on disk."""
        return (
            not self._step.state_changed and self.last_synced >= self._last_vote_write
        )

    def find_members(self, index: int) -> messages.ChangeReplicas:
        """Return the set of replicas that is in effect at an index.

        Args:
            index: Index in the log, not before the snapshot's.
        """
        return self._find_member_change(index)[1]

    def find_members_index(self, index: int) -> int:
        """Return the index of the entry that holds the set in effect at an index.

        Args:
            index: Index in the log, not before the snapshot's.
        """
        return self._find_member_change(index)[0]

    def _find_member_change(self, index: int) -> tuple[int, messages.ChangeReplicas]:
        return [item for item in self._member_changes if item[0] <= index][-1]

    def save_vote(self, term: int, vote: str) -> int:
        """Set term and vote, to be written at the end of the step.

        Args:
            term: Current term.
            vote: Replica id that has the vote; empty for none.

        Returns:
            Number of the write that will contain them.
        """
        if (term, vote) != (self.term, self.vote):
            self.term = term
            self.vote = vote
            self._step.state_changed = True
        return self.last_write + 1

    def append(self, entries: list[messages.LogEntry]) -> None:
        """Append entries to the log.

        Args:
            entries: Entries that follow the last index.
        """
        self.log.append(entries)
        self._record_member_changes(entries)
        self._step.entries += entries

    def truncate(self, first: int) -> None:
        """Remove the entries from an index on.

        Args:
            first: First index to remove.
        """
        self.log.truncate(first)
        while len(self._member_changes) > 1 and self.members_index >= first:
            self._member_changes.pop()
        self.durable_index = min(self.durable_index, first - 1)
        for write in self._pending_writes:
            write.last_index = min(write.last_index, first - 1)
        self._step.truncate_from = first
        self._step.entries = []

    def compact(self, index: int, state: bytes) -> None:
        """Take a snapshot at an index and compact the log.

        Args:
            index: Last index that is applied to the state.
            state: Encoded state of the registry at that index.
        """
        term = self.log.read_term(index)
        covered = self.snapshot.index if self.snapshot is not None else 0
        if index <= covered or term is None:
            return
        self.snapshot = messages.LogSnapshot(
            index, term, self.find_members(index), state
        )
        self._step.new_snapshot = self.snapshot
        new_base_index = index - self._trailing_entries
        if new_base_index > self.log.base_index:
            self.log.compact(new_base_index)

    def install_snapshot(self, snapshot: messages.LogSnapshot) -> None:
        """Replace snapshot and log by a snapshot from the leader.

        Entries after the snapshot are kept if the log matches it.

        Args:
            snapshot: Snapshot beyond the commit index of this replica.
        """
        if self.log.read_term(snapshot.index) == snapshot.term:
            self.log.compact(snapshot.index)
        else:
            self.log.reset(snapshot.index, snapshot.term)
            self.durable_index = 0
            for write in self._pending_writes:
                write.last_index = 0
        self._member_changes = [(snapshot.index, snapshot.replicas)]
        self._record_member_changes(self.log.entries)
        self.snapshot = snapshot
        self._step.new_snapshot = snapshot

    def emit(self, effect: transitions.Effect) -> None:
        """Add an effect that does not wait for the disk.

        Args:
            effect: Effect that states nothing beyond what is on disk.
        """
        self._step.emitted.append(effect)

    def send_when_synced(self, address: str, message: codec.Message) -> None:
        """Send a message once all changes made so far are on disk.

        Args:
            address: Address of the receiver.
            message: Message to send.
        """
        self._step.sends_after_sync.append(effects.Send(address, message))

    def handle_persisted(self, number: int) -> None:
        """Mark writes as synced and release the messages that waited for them.

        Args:
            number: Number of the last synced write; earlier ones are synced too.
        """
        self.last_synced = max(self.last_synced, number)
        while self._pending_writes and self._pending_writes[0].number <= number:
            self.durable_index = self._pending_writes.pop(0).last_index
        for write_number, send in self._pending_sends:
            if write_number <= number:
                self.emit(send)
        self._pending_sends = [item for item in self._pending_sends if item[0] > number]

    def end_step(self) -> list[transitions.Effect]:
        """Return the effects of this step, the write first, and begin the next step."""
        step = self._step
        self._step = _Step()
        result: list[transitions.Effect] = []
        if step.changed:
            result.append(self._write(step))
        result += step.emitted
        if not self.is_synced:
            self._pending_sends += [
                (self.last_write, send) for send in step.sends_after_sync
            ]
            # Any message may be lost, and a later one of its kind states more.
            del self._pending_sends[:-MAX_PENDING_SENDS]
        else:
            result += step.sends_after_sync
        return result

    def _write(self, step: _Step) -> transitions.Effect:
        self.last_write += 1
        if step.state_changed:
            self._last_vote_write = self.last_write
        self._pending_writes.append(_PendingWrite(self.last_write, self.log.last_index))
        state = messages.ReplicaState(self.term, self.vote)
        if step.new_snapshot is None:
            return transitions.Persist(
                self.last_write, state, step.truncate_from, step.entries
            )
        tail = self.log.slice(step.new_snapshot.index + 1, self.log.last_index)
        return transitions.SaveSnapshot(self.last_write, state, step.new_snapshot, tail)

    def _record_member_changes(self, entries: list[messages.LogEntry]) -> None:
        for entry in entries:
            if entry.kind == REPLICAS_KIND:
                change = codec.decode_message(entry.kind, entry.payload)
                if isinstance(change, messages.ChangeReplicas):
                    self._member_changes.append((entry.index, change))


def encode_change(change: messages.ChangeReplicas) -> transitions.Command:
    """Return the command that sets the replicas.

    Args:
        change: Set of replicas.
    """
    return transitions.Command(REPLICAS_KIND, codec.encode_message(change))
