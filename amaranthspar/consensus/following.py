"""State of a follower: age of its view, log matching and snapshot chunks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from amaranthspar.schema import codec, messages

if TYPE_CHECKING:
    import random

    from amaranthspar.consensus import journal, replicalog, transitions

KEPT_ROUNDS = 64
"""Maximum number of responses whose sending time is kept, and of pending views."""
FIRST_ROUND_BITS = 48


@attrs.define(slots=True)
class _Incoming:
    """Partly received snapshot."""

    term: int
    last_index: int
    data: bytearray = attrs.field(factory=bytearray)


class Follower:
    """Volatile state of a follower.

    A follower numbers its responses, and the leader echoes the last number in its next
    append together with the age of the leader's confirmed view. From the time at which
    the follower sent that response, it calculates the age of its own view by its own
    clock.

    Args:
        identity: Replica id, data folder and failure domain of this replica.
        rng: Source of the first round number, so that no two runs of a process use
            the same numbers.

    Attributes:
        leader_address: Address of the sender of the last accepted append.
        view_ms: Time in ms as of which the applied state is confirmed; -1 for never.
        disk_progress_ms: Last time in ms at which a write ended or none was pending.
        seen: Processes whose leases are to be renewed by the next response.
    """

    def __init__(self, identity: transitions.Identity, rng: random.Random) -> None:
        self.leader_address = ""
        self.view_ms = -1
        self.disk_progress_ms = 0
        self.seen: set[str] = set()
        self._replica = identity.replica
        self._folder = identity.folder
        self._failure_domain = identity.failure_domain
        self._round = rng.getrandbits(FIRST_ROUND_BITS)
        self._round_sent_ms: dict[int, int] = {}
        self._pending_views: list[tuple[int, int]] = []
        self._incoming: _Incoming | None = None

    def record_view(self, message: messages.AppendEntries) -> None:
        """Record the age of the leader's view, which is valid at its commit index.

        The leader sent it after it had received the response whose round it echoes.

        Args:
            message: Append of the current leader.
        """
        sent_ms = self._round_sent_ms.get(message.echoed_round)
        if sent_ms is None or message.view_age_ms < 0:
            return
        view_ms = sent_ms - message.view_age_ms
        self._pending_views.append((message.commit_index, view_ms))
        del self._pending_views[:-KEPT_ROUNDS]

    def confirm_view(self, commit_index: int) -> None:
        """Advance the view to the recorded ones whose commit index is applied.

        Args:
            commit_index: Last index that is applied on this replica.
        """
        for index, view_ms in self._pending_views:
            if index <= commit_index:
                self.view_ms = max(self.view_ms, view_ms)
        self._pending_views = [
            item for item in self._pending_views if item[0] > commit_index
        ]

    def build_response(
        self,
        message: messages.AppendEntries,
        term: int,
        matched: int | None,
        hint: int,
        now_ms: int,
    ) -> messages.Appended:
        """Return the response to an append, with a new round number.

        Args:
            message: Append that is answered.
            term: Current term.
            matched: Last index known to match the leader's log; nothing on a mismatch.
            hint: Index after which the leader should continue after a mismatch.
            now_ms: Current time in ms.
        """
        self._round += 1
        self._round_sent_ms[self._round] = now_ms
        self._round_sent_ms.pop(self._round - KEPT_ROUNDS, None)
        seen = sorted(self.seen)
        self.seen.clear()
        return messages.Appended(
            term,
            self._replica,
            matched is not None,
            hint if matched is None else matched,
            message.round,
            self._round,
            seen,
            self._folder,
            self._failure_domain,
        )

    def add_chunk(
        self, message: messages.InstallSnapshot
    ) -> messages.LogSnapshot | None:
        """Add a chunk of a snapshot; one out of order is ignored.

        Args:
            message: Chunk from the current leader.

        Returns:
            The snapshot if this chunk completes it, else nothing.
        """
        incoming = self._incoming
        key = (message.term, message.last_index)
        if incoming is None or (incoming.term, incoming.last_index) != key:
            incoming = self._incoming = _Incoming(*key)
        if message.offset != len(incoming.data):
            return None
        incoming.data += message.chunk
        if not message.done:
            return None
        self._incoming = None
        snapshot = codec.decode_message("LogSnapshot", bytes(incoming.data))
        return snapshot if isinstance(snapshot, messages.LogSnapshot) else None

    def build_chunk_response(
        self, message: messages.InstallSnapshot, term: int, done: bool
    ) -> messages.SnapshotReceived:
        """Return the response to a snapshot chunk.

        Args:
            message: Chunk that is answered.
            term: Current term.
            done: Whether everything that the snapshot covers is applied here.
        """
        offset = len(self._incoming.data) if self._incoming is not None else 0
        return messages.SnapshotReceived(
            term, self._replica, message.last_index, offset, done, self._folder
        )


def merge_entries(
    follower_journal: journal.Journal,
    commit_index: int,
    message: messages.AppendEntries,
) -> int | None:
    """Append the entries of a leader and remove entries that conflict with them.

    Args:
        follower_journal: Journal of the follower.
        commit_index: Last index that is committed on this replica.
        message: Append of the current leader.

    Returns:
        Last index known to match the leader's log; nothing if the entry before the
        new ones does not match.
    """
    log = follower_journal.log
    previous = message.previous_index
    if previous > log.base_index and log.read_term(previous) != message.previous_term:
        return None
    for offset, entry in enumerate(message.entries):
        if entry.index <= max(log.base_index, commit_index):
            continue
        if log.read_term(entry.index) == entry.term:
            continue
        if entry.index <= log.last_index:
            follower_journal.truncate(entry.index)
        follower_journal.append(message.entries[offset:])
        break
    return previous + len(message.entries)


def find_reject_hint(
    log: replicalog.ReplicaLog, commit_index: int, message: messages.AppendEntries
) -> int:
    """Return the index after which the leader should continue after a mismatch.

    It goes back over all entries of one term at a time, at most to the commit index.

    Args:
        log: Log of the follower.
        commit_index: Last index that is committed on this replica.
        message: Append that did not match.
    """
    hint = min(log.last_index, message.previous_index - 1)
    conflicting = log.read_term(hint)
    while hint > commit_index and log.read_term(hint) == conflicting:
        hint -= 1
    return max(hint, commit_index)
