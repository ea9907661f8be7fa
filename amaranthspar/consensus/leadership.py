"""State of a leader: replication progress, heartbeat rounds and transfers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from amaranthspar.consensus import replicas
from amaranthspar.schema import codec, messages

if TYPE_CHECKING:
    from amaranthspar.consensus import replicalog

MAX_APPEND_BYTES = 256 * 1024
MAX_APPEND_ENTRIES = 512
KEPT_ROUNDS = 256
"""Maximum number of rounds whose sending time is kept."""


@attrs.define(slots=True)
class Progress:
    """Replication progress of one follower.

    Attributes:
        since_ms: Time in ms from which the leader sends to the follower.
        match: Last index known to be on the follower's disk.
        next: Index of the next entry to send.
        acknowledged_ms: Sending time in ms of the newest round that the follower
            answered; -1 for none.
        follower_round: Number of the follower's last response, echoed to it.
        folder: Random number of the follower's data folder.
        failure_domain: Failure domain of the follower; empty if it is not known.
        offset: Bytes of the snapshot that the follower has received.
        snapshot_index: Index of the snapshot being sent; 0 for none.
    """

    since_ms: int
    match: int = 0
    next: int = 1
    acknowledged_ms: int = -1
    follower_round: int = -1
    folder: int = 0
    failure_domain: str = ""
    offset: int = 0
    snapshot_index: int = 0

    def rank(self, replica: str) -> tuple[int, int, str]:
        """Return the sort key of this follower as target of a leadership transfer.

        Args:
            replica: Replica id of this follower; the last part of the key.
        """
        return self.acknowledged_ms, self.match, replica


@attrs.define(slots=True)
class Leadership:
    """Volatile state of a leader during one term.

    A round is one broadcast of AppendEntries to all followers.

    Attributes:
        term: Term of the leader.
        replica: Replica id of the leader.
        first_index: Index of the first entry of this term.
        elected_ms: Time of the election in ms.
        peers: Progress of the followers by replica id.
        round: Number of the newest round.
        round_sent_ms: Sending times in ms of the newest rounds by number.
        transfer_target: Replica id that leadership is transferred to; empty for none.
        transfer_deadline_ms: Time in ms at which the transfer is abandoned.
        next_heartbeat_ms: Time in ms at which the next heartbeat round is due.
        encoded_snapshot_index: Index of the snapshot in `encoded_snapshot`.
        encoded_snapshot: Newest snapshot that was sent, encoded.
    """

    term: int
    replica: str
    first_index: int
    elected_ms: int
    peers: dict[str, Progress] = attrs.field(factory=dict)
    round: int = 0
    round_sent_ms: dict[int, int] = attrs.field(factory=dict)
    transfer_target: str = ""
    transfer_deadline_ms: int = 0
    next_heartbeat_ms: int = 0
    encoded_snapshot_index: int = 0
    encoded_snapshot: bytes = b""

    def start_round(self, now_ms: int) -> None:
        """Start a new round and record its sending time.

        Args:
            now_ms: Time of sending in ms.
        """
        self.round += 1
        self.round_sent_ms[self.round] = now_ms
        self.round_sent_ms.pop(self.round - KEPT_ROUNDS, None)

    def find_progress(self, replica: str, last_index: int, now_ms: int) -> Progress:
        """Return the progress of a follower, which is created if it is missing.

        Args:
            replica: Replica id.
            last_index: Last index of the leader's log.
            now_ms: Current time in ms.
        """
        progress = self.peers.get(replica)
        if progress is None:
            progress = self.peers[replica] = Progress(now_ms, next=last_index + 1)
        return progress

    def drop_removed(self, members: messages.ChangeReplicas) -> None:
        """Drop the progress of replicas outside of the set; one may be added again.

        Args:
            members: Current set of replicas.
        """
        for replica in list(self.peers):
            if replicas.find_replica(members, replica) is None:
                del self.peers[replica]

    def record_response(
        self, progress: Progress, message: messages.Appended, last_index: int
    ) -> bool:
        """Update a follower's progress by its response to an append of this term.

        Args:
            progress: Progress of the follower.
            message: Response of the follower.
            last_index: Last index of the leader's log.

        Returns:
            Whether the next append can be sent now.
        """
        if progress.folder != message.folder:
            progress.folder = message.folder
            progress.match = 0
            progress.next = last_index + 1
        progress.failure_domain = message.failure_domain
        sent_ms = self.round_sent_ms.get(message.round, -1)
        progress.acknowledged_ms = max(progress.acknowledged_ms, sent_ms)
        progress.follower_round = message.follower_round
        if message.success:
            progress.match = max(progress.match, message.match_index)
            progress.next = max(progress.next, progress.match + 1)
            return True
        rejected_next = progress.next
        hint = min(message.match_index + 1, rejected_next)
        progress.next = max(progress.match + 1, hint)
        return progress.next < rejected_next

    def list_unresponsive(self, now_ms: int, timeout_ms: int) -> frozenset[str]:
        """Return the followers that have answered no recent round.

        No follower is in it before this leader has sent to it for as long as the timeout.

        Args:
            now_ms: Current time in ms.
            timeout_ms: Time in ms since the last answered round was sent.
        """
        return frozenset(
            replica
            for replica, progress in self.peers.items()
            if now_ms - max(progress.acknowledged_ms, progress.since_ms) >= timeout_ms
        )

    def find_confirmed_ms(self, members: messages.ChangeReplicas, now_ms: int) -> int:
        """Return the sending time of the newest round that a majority answered.

        The leader counts as having answered now.

        Args:
            members: Current set of replicas.
            now_ms: Current time in ms.

        Returns:
            Time in ms; -1 for none.
        """
        acknowledged = {
            replica: progress.acknowledged_ms
            for replica, progress in self.peers.items()
        }
        acknowledged[self.replica] = now_ms
        return replicas.find_quorum_value(members, acknowledged)

    def find_quorum_match(
        self, members: messages.ChangeReplicas, durable_index: int
    ) -> int:
        """Return the last index that is on the disks of a majority of voters.

        Args:
            members: Current set of replicas.
            durable_index: Last index on the leader's own disk.
        """
        matches = {replica: item.match for replica, item in self.peers.items()}
        matches[self.replica] = durable_index
        return replicas.find_quorum_value(members, matches)

    def build_append(
        self,
        progress: Progress,
        log: replicalog.ReplicaLog,
        commit_index: int,
        view_age_ms: int,
    ) -> messages.AppendEntries:
        """Return the next append for a follower and advance its next index.

        Args:
            progress: Progress of the follower.
            log: Log of the leader.
            commit_index: Commit index of the leader.
            view_age_ms: Age in ms of the leader's confirmed view; -1 for none.
        """
        previous = max(progress.next - 1, log.base_index)
        entries = []
        if progress.next > log.base_index:
            entries = _select_entries(log, progress.next)
            progress.next += len(entries)
        return messages.AppendEntries(
            self.term,
            self.replica,
            previous,
            log.read_term(previous) or 0,
            commit_index,
            self.round,
            view_age_ms,
            progress.follower_round,
            entries,
        )

    def build_chunk(
        self, progress: Progress, snapshot: messages.LogSnapshot, size: int
    ) -> messages.InstallSnapshot:
        """Return the next chunk of a snapshot for a follower.

        Args:
            progress: Progress of the follower.
            snapshot: Newest snapshot.
            size: Maximum size of the chunk in bytes.
        """
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index = snapshot.index
            progress.offset = 0
        if self.encoded_snapshot_index != snapshot.index:
            self.encoded_snapshot_index = snapshot.index
            self.encoded_snapshot = codec.encode_message(snapshot)
        end = progress.offset + size
        return messages.InstallSnapshot(
            self.term,
            self.replica,
            snapshot.index,
            snapshot.term,
            progress.offset,
            self.encoded_snapshot[progress.offset : end],
            end >= len(self.encoded_snapshot),
        )

    def record_chunk_response(
        self, progress: Progress, message: messages.SnapshotReceived
    ) -> bool:
        """Update a follower's progress by its response to a snapshot chunk.

        Args:
            progress: Progress of the follower.
            message: Response of the follower.

        Returns:
            Whether the follower advanced, so that the next message can be sent.
        """
        if message.done:
            progress.match = max(progress.match, message.last_index)
            progress.next = max(progress.next, progress.match + 1)
            return True
        is_current = message.last_index == progress.snapshot_index
        if not is_current or message.offset == progress.offset:
            return False
        progress.offset = message.offset
        return True

    def choose_transfer_target(self, members: messages.ChangeReplicas) -> str:
        """Return the target for a leadership transfer; empty for none.

        The target is the voter that answered the newest round, and among equals the
        one whose log is the longest on disk.

        Args:
            members: Current set of replicas.
        """
        ranks = [
            self.peers[voter].rank(voter)
            for voter in replicas.list_voters(members)
            if voter in self.peers and self.peers[voter].acknowledged_ms >= 0
        ]
        return max(ranks)[-1] if ranks else ""


def _select_entries(log: replicalog.ReplicaLog, first: int) -> list[messages.LogEntry]:
    selected: list[messages.LogEntry] = []
    size = 0
    for entry in log.slice(first, min(log.last_index, first + MAX_APPEND_ENTRIES - 1)):
        size += len(entry.payload)
        if selected and size > MAX_APPEND_BYTES:
            break
        selected.append(entry)
    return selected
