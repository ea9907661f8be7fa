"""Events and effects of consensus."""

import attrs

from amaranthspar import effects
from amaranthspar.schema import codec, messages


@attrs.frozen(slots=True)
class Tick:
    """Time has passed."""


@attrs.frozen(slots=True)
class Received:
    """A message from another replica arrived.

    Attributes:
        address: Address of the sender.
        message: Message of the schema.
    """

    address: str
    message: codec.Message


@attrs.frozen(slots=True)
class Command:
    """One command to replicate.

    Attributes:
        kind: Tag of the command.
        payload: Encoded command.
    """

    kind: str
    payload: bytes


@attrs.frozen(slots=True)
class Propose:
    """The leader's role wants commands in the log."""

    commands: list[Command]


@attrs.frozen(slots=True)
class Persisted:
    """All up to a number of `Persist` or `SaveSnapshot` is on disk."""

    number: int


@attrs.frozen(slots=True)
class Compact:
    """The role took a snapshot.

    Attributes:
        index: Last index that was applied to it.
        state: Encoded state of the registry at that index.
    """

    index: int
    state: bytes


@attrs.frozen(slots=True)
class ConfirmView:
    """The role needs the leader's view confirmed as of now."""


@attrs.frozen(slots=True)
class StartTransfer:
    """The leader is to hand leadership to another voter."""


@attrs.frozen(slots=True)
class Replace:
    """The set of replicas is to change.

    Attributes:
        removed: Replica id to remove; empty for none.
        added: Replica id to add as a learner; empty for none.
        address: Address of the added replica.
    """

    removed: str
    added: str
    address: str


Event = (
    Tick
    | Received
    | Propose
    | Persisted
    | Compact
    | ConfirmView
    | StartTransfer
    | Replace
)


@attrs.frozen(slots=True)
class Persist:
    """Writes to the log on disk; `Persisted` follows once it is synced.

    Attributes:
        number: Grows with each write.
        state: Term and vote.
        truncate_from: First index to remove before; 0 for none.
        entries: Entries to add.
    """

    number: int
    state: messages.ReplicaState
    truncate_from: int
    entries: list[messages.LogEntry]


@attrs.frozen(slots=True)
class SaveSnapshot:
    """Replaces snapshot and log on disk; `Persisted` follows once it is synced.

    Attributes:
        number: Grows with each write.
        state: Term and vote.
        snapshot: Snapshot.
        entries: All entries that follow the snapshot.
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
    """Replaces the registry by the state of a snapshot."""

    state: bytes


@attrs.frozen(slots=True)
class RenewLeases:
    """A follower has renewed leases of processes."""

    processes: list[str]


@attrs.frozen(slots=True)
class ChangeLeader:
    """Another leader is known; empty for none."""

    leader: str
    term: int


@attrs.frozen(slots=True)
class Refuse:
    """`Replace` is not possible now.

    Attributes:
        reason: Why.
    """

    reason: str


Effect = (
    Persist
    | SaveSnapshot
    | Apply
    | Restore
    | RenewLeases
    | ChangeLeader
    | Refuse
    | effects.Send
)


@attrs.frozen(slots=True)
class Stored:
    """What a data folder holds at start."""

    state: messages.ReplicaState = messages.ReplicaState(0, "")
    snapshot: messages.LogSnapshot | None = None
    entries: list[messages.LogEntry] = attrs.field(factory=list)


@attrs.frozen(slots=True)
class Identity:
    """Who a replica is.

    Attributes:
        replica: Replica id.
        folder: Random number of its data folder.
    """

    replica: str
    folder: int


@attrs.frozen(slots=True)
class Settings:
    """Timeouts and limits of a replica.

    Attributes:
        election_ms: Shortest election timeout in ms; the longest is twice that.
        heartbeat_ms: Interval between heartbeat rounds in ms.
        trailing_entries: Entries kept in memory before the snapshot's end.
        chunk_bytes: Size of the chunks in which snapshots are sent.
    """

    election_ms: int = 600
    heartbeat_ms: int = 100
    trailing_entries: int = 256
    chunk_bytes: int = 65_536
