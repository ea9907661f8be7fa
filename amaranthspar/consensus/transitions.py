"""Events that the consensus state machine takes, and effects that it returns."""

import attrs

from amaranthspar import effects
from amaranthspar.schema import codec, messages


@attrs.frozen(slots=True)
class Tick:
    """Time has passed; timeouts and heartbeats are checked."""


@attrs.frozen(slots=True)
class Received:
    """A message from another replica arrived.

    Attributes:
        address: Address of the sender.
        message: Message received.
    """

    address: str
    message: codec.Message


@attrs.frozen(slots=True)
class Command:
    """Command to replicate.

    Attributes:
        kind: Class name of the encoded message; empty for no operation.
        payload: Encoded command.
    """

    kind: str
    payload: bytes


@attrs.frozen(slots=True)
class Propose:
    """Commands are to be replicated; has no effect unless this replica leads."""

    commands: list[Command]


@attrs.frozen(slots=True)
class Persisted:
    """All writes up to a number are on disk.

    Attributes:
        number: Number of the last synced `Persist` or `SaveSnapshot`.
    """

    number: int


@attrs.frozen(slots=True)
class Compact:
    """The registry was encoded as a snapshot; the log can be compacted.

    Attributes:
        index: Last index that is applied to the state.
        state: Encoded state of the registry at that index.
    """

    index: int
    state: bytes


@attrs.frozen(slots=True)
class ConfirmView:
    """The leader's view is to be confirmed as of now, by a round of heartbeats."""


@attrs.frozen(slots=True)
class StartTransfer:
    """The leader is to transfer leadership to another voter."""


@attrs.frozen(slots=True)
class Replace:
    """A replica is to be removed, added or both.

    Attributes:
        removed: Replica id to remove; empty for none.
        added: Replica id to add as a learner; empty for none.
        address: Address of the added replica.
        returns: Whether the added replica asks for it itself, so that it has the data
            folder that it had under this id before.
        failure_domain: Failure domain of the added replica; empty if it is not known.
        predecessor: Address of the host that the added one replaces; empty for none.
    """

    removed: str
    added: str
    address: str
    returns: bool = False
    failure_domain: str = ""
    predecessor: str = ""


@attrs.frozen(slots=True)
class ChangeSet:
    """The set of replicas is to be changed; has no effect if it has changed since.

    Attributes:
        change: Set after the change, of at most one vote.
        members_index: Index of the entry with the set that the change is based on.
    """

    change: messages.ChangeReplicas
    members_index: int


Event = (
    Tick
    | Received
    | Propose
    | Persisted
    | Compact
    | ConfirmView
    | StartTransfer
    | Replace
    | ChangeSet
)


@attrs.frozen(slots=True)
class Persist:
    """Writes to the log on disk; the caller confirms the sync by `Persisted`.

    Attributes:
        number: Number of the write; it grows with each write.
        state: Term and vote.
        truncate_from: Index from which entries are removed first; 0 for none.
        entries: Entries to append.
    """

    number: int
    state: messages.ReplicaState
    truncate_from: int
    entries: list[messages.LogEntry]


@attrs.frozen(slots=True)
class SaveSnapshot:
    """Replaces snapshot and log on disk; the caller confirms the sync by `Persisted`.

    Attributes:
        number: Number of the write; it grows with each write.
        state: Term and vote.
        snapshot: Snapshot to store.
        entries: All entries after the snapshot.
    """

    number: int
    state: messages.ReplicaState
    snapshot: messages.LogSnapshot
    entries: list[messages.LogEntry]


@attrs.frozen(slots=True)
class Apply:
    """Applies committed entries to the registry."""

    entries: list[messages.LogEntry]


@attrs.frozen(slots=True)
class Restore:
    """Replaces the state of the registry by that of a snapshot."""

    state: bytes


@attrs.frozen(slots=True)
class RenewLeases:
    """Renews the leases of processes that a follower reported as seen."""

    processes: list[str]


@attrs.frozen(slots=True)
class ChangeLeader:
    """Reports that the known leader changed.

    Attributes:
        leader: Replica id of the leader; empty for none.
        term: Current term.
    """

    leader: str
    term: int


@attrs.frozen(slots=True)
class ReplicaMoved:
    """Reports that a replica of the set is now reached at another address.

    Attributes:
        replica: Replica id.
        address: Address at which it was heard.
    """

    replica: str
    address: str


@attrs.frozen(slots=True)
class Refuse:
    """Reports that a `Replace` was refused.

    Attributes:
        reason: Reason for the operator.
    """

    reason: str


Effect = (
    Persist
    | SaveSnapshot
    | Apply
    | Restore
    | RenewLeases
    | ChangeLeader
    | ReplicaMoved
    | Refuse
    | effects.Send
)


@attrs.frozen(slots=True)
class Stored:
    """Content of a data folder at start.

    Attributes:
        state: Term and vote.
        snapshot: Newest snapshot, if any.
        entries: Entries of the log.
    """

    state: messages.ReplicaState = messages.ReplicaState(0, "")
    snapshot: messages.LogSnapshot | None = None
    entries: list[messages.LogEntry] = attrs.field(factory=list)


@attrs.frozen(slots=True)
class Identity:
    """Identity of a replica and of its data folder.

    Attributes:
        replica: Replica id.
        folder: Random number that identifies its data folder.
        address: Address at which the replica listens; empty if it is not known.
        failure_domain: Failure domain of its host; empty if it is not known.
    """

    replica: str
    folder: int
    address: str = ""
    failure_domain: str = ""


@attrs.frozen(slots=True)
class Settings:
    """Timeouts and limits of a replica.

    Attributes:
        election_ms: Minimum election timeout in ms; the maximum is twice as long.
        heartbeat_ms: Interval between heartbeat rounds in ms.
        trailing_entries: Number of entries up to the snapshot's index that stay in
            memory.
        chunk_bytes: Maximum size in bytes of the chunks in which snapshots are sent.
        voter_target: Number of voters that bears the losses to be tolerated, beyond
            which a learner waits until its vote is useful; 0 if each learner is to vote.
    """

    election_ms: int = 600
    heartbeat_ms: int = 100
    trailing_entries: int = 256
    chunk_bytes: int = 65_536
    voter_target: int = 0
