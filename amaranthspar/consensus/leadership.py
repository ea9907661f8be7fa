"""What a leader knows of its followers: progress, rounds and their answers."""

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


@attrs.define(slots=True)
class Progress:
    """State of replication to one follower.

    Attributes:
        match: Last index known to be on the follower's disk.
        next: Next index to send.
        acknowledged_ms: Sending time of the newest round it answered; -1 for none.
        follower_round: Last round of its own that arrived.
        folder: Random number of its data folder.
        offset: Bytes of the snapshot that it holds.
        snapshot_index: Index of the snapshot being sent; 0 for none.
    """

    match: int = 0
    next: int = 1
    acknowledged_ms: int = -1
    follower_round: int = -1
    folder: int = 0
    offset: int = 0
    snapshot_index: int = 0

    def rank(self, replica: str) -> tuple[int, int, str]:
        """Return by what candidates for a handover compare, the id last.

        Args:
            replica: Replica id of this follower.
        """
        return self.acknowledged_ms, self.match, replica


@attrs.define(slots=True)
class Leadership:
    """Volatile state of one term of leadership.

    Attributes:
        term: Term of the leader.
        replica: Replica id of the leader.
        first_index: Index of the first entry of this term.
        elected_ms: Time of the election in ms.
        peers: Progress by replica id.
        round: Number of the newest round.
        transfer_target: Replica that leadership is handed to; empty for none.
        transfer_deadline_ms: Time at which the handover is given up in ms.
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
        """Number a new round.

        Args:
            now_ms: Time of sending in ms.
        """
        self.round += 1
        self.round_sent_ms[self.round] = now_ms
        self.round_sent_ms.pop(self.round - KEPT_ROUNDS, None)

    def find_progress(self, replica: str, last_index: int) -> Progress:
        """Return the progress of a follower, a new one where there is none.

        Args:
            replica: Replica id.
            last_index: Last index of the leader's log.
        """
        progress = self.peers.get(replica)
        if progress is None:
            progress = self.peers[replica] = Progress(next=last_index + 1)
        return progress

    def record_response(
        self, progress: Progress, message: messages.Appended, last_index: int
    ) -> bool:
        """Take in an answer of this term.

        Args:
            progress: Progress of the follower that answered.
            message: Its answer.
            last_index: Last index of the leader's log.

        Returns:
            Whether more can be sent now.
        """
        if progress.folder != message.folder:
            progress.folder = message.folder
            progress.match = 0
            progress.next = last_index + 1
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
        """Return the followers that have not answered for some time.

        Args:
            now_ms: Current time in ms.
            timeout_ms: Time in ms.
        """
        if now_ms - self.elected_ms < timeout_ms:
            return frozenset()
        return frozenset(
            replica
            for replica, progress in self.peers.items()
            if now_ms - progress.acknowledged_ms >= timeout_ms
        )

    def find_confirmed_ms(self, members: messages.ChangeReplicas, now_ms: int) -> int:
        """Return the sending time of the newest round that a majority answered.

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
        """Return the last index that is on the disks of a majority.

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
        """Return the next entries for a follower and note them as sent.

        Args:
            progress: Progress of the follower.
            log: Log of the leader.
            commit_index: Commit index of the leader.
            view_age_ms: Age of the confirmed view in ms; -1 for none.
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
            size: Most bytes in the chunk.
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
        """Take in an answer to a chunk.

        Args:
            progress: Progress of the follower.
            message: Its answer.

        Returns:
            Whether there is more to send.
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
        """Return the voter that is best to lead next, empty for none.

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
