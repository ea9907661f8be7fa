"""Raft consensus among replicas as a state machine without I/O.

`Consensus.step` takes an event with the current time and returns effects for the
caller to carry out. A response to another replica is sent only after
`transitions.Persisted` has confirmed that everything it states is on disk. The one
exception is `Consensus._acknowledge_early`, which states only what is on disk already.
"""

from amaranthspar import effects, errors
from amaranthspar.consensus import (
    elections,
    following,
    journal,
    leadership,
    replacement,
    replicas,
    succession,
    transitions,
)
from amaranthspar.schema import messages

QUORUM_LOSS_TIMEOUTS = 2
"""A leader steps down after this many election timeouts without a quorum."""
EAGER_COMMIT_KIND = messages.AcceptConfiguration.__name__
"""Entry kind whose commit the leader broadcasts without waiting for a heartbeat."""


class Consensus(elections.ElectionParticipant):
    """One Raft replica: replication, snapshots, transfers and membership changes.

    The base class implements elections.

    Args:
        identity: Replica id and data folder of this replica.
        initial: Initial set of replicas, used until the log defines one.
        settings: Timeouts and limits.
        rng: Source of random election timeouts and round numbers.
        stored: Content of the data folder at start.
        now_ms: Current monotonic time in ms.
    """

    @property
    def accepts_proposals(self) -> bool:
        """Whether this replica leads and no leadership transfer is in progress."""
        return self.leading is not None and not self.leading.transfer_target

    @property
    def leader_address(self) -> str:
        """Address of the current leader; empty for none or this replica itself."""
        if self.leader in ("", self.replica):
            return ""
        leader = replicas.find_replica(self.journal.members, self.leader)
        if leader is None:
            return self.follower.leader_address
        return self._addresses.find(leader)

    def read_leader_silence(self, now_ms: int) -> int:
        """Return the time since this replica led or last heard a leader.

        Args:
            now_ms: Current monotonic time in ms.

        Returns:
            Time in ms, at most the time since the start and an election timeout.
        """
        return 0 if self.leading is not None else now_ms - self._leader_contact_ms

    def read_view_age(self, now_ms: int) -> int:
        """Return the age of the newest view that a quorum has confirmed.

        The state applied here contains everything that any replica had committed by
        the time of that view.

        Args:
            now_ms: Current monotonic time in ms.

        Returns:
            Age in ms; -1 if no view has been confirmed yet.
        """
        view_ms = max(self._view_ms, self.follower.view_ms)
        return now_ms - view_ms if view_ms >= 0 else -1

    def step(self, event: transitions.Event, now_ms: int) -> list[transitions.Effect]:
        """Process one event.

        Args:
            event: Event to process.
            now_ms: Current monotonic time in ms.

        Returns:
            Effects to carry out in order.
        """
        if self.journal.is_synced:
            self.follower.disk_progress_ms = now_ms
        match event:
            case transitions.Tick():
                self._tick(now_ms)
            case transitions.Received():
                self._receive(event, now_ms)
            case transitions.Propose():
                self._propose(event.commands, now_ms)
            case transitions.Persisted():
                self._handle_persisted(event.number, now_ms)
            case transitions.Compact():
                self.journal.compact(event.index, event.state)
            case transitions.ConfirmView():
                self._broadcast(now_ms)
            case transitions.StartTransfer():
                self._start_transfer(now_ms)
            case transitions.Replace():
                self._replace(event, now_ms)
            case transitions.ChangeSet():
                self._change_set(event, now_ms)
        return self.journal.end_step()

    def _tick(self, now_ms: int) -> None:
        if self.leading is None:
            if now_ms >= self._election_deadline_ms:
                self._start_pre_vote(now_ms)
            return
        self._confirm_view(now_ms)
        if self.address:
            self._record_move(self.replica, self.address, now_ms)
        if now_ms >= self.leading.transfer_deadline_ms:
            self.leading.transfer_target = ""
        confirmed_ms = max(
            self.leading.find_confirmed_ms(self.journal.members, now_ms),
            self.leading.elected_ms,
        )
        if now_ms - confirmed_ms > QUORUM_LOSS_TIMEOUTS * self._settings.election_ms:
            self._become_follower(self.term, "", now_ms)
        elif now_ms >= self.leading.next_heartbeat_ms:
            self._broadcast(now_ms)

    def _receive(self, event: transitions.Received, now_ms: int) -> None:
        match event.message:
            case messages.RequestVote() as message:
                if self._accept_sender(
                    message.candidate, message.folder, event.address
                ):
                    self._handle_vote_request(event.address, message, now_ms)
            case messages.Vote() as message:
                if self._accept_sender(message.voter, message.folder, event.address):
                    self._handle_vote(message, now_ms)
            case messages.AppendEntries() as message:
                self._handle_append(event.address, message, now_ms)
            case messages.Appended() as message:
                if self._accept_sender(message.follower, message.folder, event.address):
                    self._handle_append_response(event.address, message, now_ms)
            case messages.InstallSnapshot() as message:
                self._handle_snapshot_chunk(event.address, message, now_ms)
            case messages.SnapshotReceived() as message:
                if self._accept_sender(message.follower, message.folder, event.address):
                    self._handle_snapshot_response(message, now_ms)
            case messages.JoinReplicas() as message:
                # A replica of the set that hears no leader: it may have moved.
                self._accept_sender(message.replica, message.folder, event.address)
            case messages.TransferLeadership() as message:
                if message.term == self.term and message.leader == self.leader:
                    self._campaign(True, now_ms)
            case other:
                raise errors.DecisionError(f"unexpected message {other!r}")

    # Leader.

    def _propose(self, commands: list[transitions.Command], now_ms: int) -> None:
        if self.leading is None or self.leading.transfer_target or not commands:
            return
        first = self.journal.log.last_index + 1
        self.journal.append(
            [
                messages.LogEntry(first + offset, self.term, item.kind, item.payload)
                for offset, item in enumerate(commands)
            ]
        )
        self._broadcast(now_ms)

    def _broadcast(self, now_ms: int) -> None:
        if self.leading is None:
            return
        self.leading.start_round(now_ms)
        self.leading.drop_removed(self.journal.members)
        self.leading.next_heartbeat_ms = now_ms + self._settings.heartbeat_ms
        for peer in self.journal.members.replicas:
            if peer.id != self.replica:
                self._replicate(peer, now_ms)

    def _replicate(self, peer: messages.Replica, now_ms: int) -> None:
        if self.leading is None:
            return
        log = self.journal.log
        progress = self.leading.find_progress(peer.id, log.last_index, now_ms)
        age_ms = self.read_view_age(now_ms)
        append = self.leading.build_append(progress, log, self.commit_index, age_ms)
        address = self._addresses.find(peer)
        self.journal.emit(effects.Send(address, append))
        snapshot = self.journal.snapshot
        if progress.next <= log.base_index and snapshot is not None:
            chunk = self.leading.build_chunk(
                progress, snapshot, self._settings.chunk_bytes
            )
            self.journal.emit(effects.Send(address, chunk))

    def _handle_append_response(
        self, address: str, message: messages.Appended, now_ms: int
    ) -> None:
        if message.term > self.term:
            self._become_follower(message.term, "", now_ms)
        peer = replicas.find_replica(self.journal.members, message.follower)
        if self.leading is None or message.term < self.term or peer is None:
            return
        last_index = self.journal.log.last_index
        progress = self.leading.find_progress(peer.id, last_index, now_ms)
        has_more = self.leading.record_response(progress, message, last_index)
        if message.seen:
            self.journal.emit(transitions.RenewLeases(message.seen))
        self._advance_commit(now_ms)
        self._confirm_view(now_ms)
        if self.leading is not None:
            self._complete_transfer(peer, progress)
            self._promote(peer, progress, now_ms)
            self._record_move(peer.id, address, now_ms)
            if has_more and self.journal.log.base_index < progress.next <= last_index:
                self._replicate(peer, now_ms)

    def _advance_commit(self, now_ms: int) -> None:
        if self.leading is None:
            return
        members = self.journal.members
        index = self.leading.find_quorum_match(members, self.journal.durable_index)
        if index <= self.commit_index or index < self.leading.first_index:
            return
        committed = self._commit(index)
        self._confirm_view(now_ms)
        if any(entry.kind == EAGER_COMMIT_KIND for entry in committed):
            self._broadcast(now_ms)
        has_vote = self.replica in replicas.list_voters(members)
        if not has_vote and self.journal.members_index <= index:
            self._broadcast(now_ms)
            self._become_follower(self.term, "", now_ms)

    def _confirm_view(self, now_ms: int) -> None:
        if self.leading is None or self.commit_index < self.leading.first_index:
            return
        confirmed_ms = self.leading.find_confirmed_ms(self.journal.members, now_ms)
        self._view_ms = max(self._view_ms, confirmed_ms)

    def _handle_snapshot_response(
        self, message: messages.SnapshotReceived, now_ms: int
    ) -> None:
        if message.term > self.term:
            self._become_follower(message.term, "", now_ms)
        peer = replicas.find_replica(self.journal.members, message.follower)
        if self.leading is None or message.term < self.term or peer is None:
            return
        progress = self.leading.find_progress(
            peer.id, self.journal.log.last_index, now_ms
        )
        if self.leading.record_chunk_response(progress, message):
            self._replicate(peer, now_ms)
            self._advance_commit(now_ms)

    def _start_transfer(self, now_ms: int) -> None:
        if self.leading is None:
            return
        target = self.leading.choose_transfer_target(self.journal.members)
        peer = replicas.find_replica(self.journal.members, target)
        if peer is not None:
            self.leading.transfer_target = target
            self.leading.transfer_deadline_ms = now_ms + self._settings.election_ms
            self._complete_transfer(peer, self.leading.peers[target])

    def _complete_transfer(
        self, peer: messages.Replica, progress: leadership.Progress
    ) -> None:
        if self.leading is None or self.leading.transfer_target != peer.id:
            return
        if progress.match == self.journal.log.last_index:
            transfer = messages.TransferLeadership(self.term, self.replica)
            self.journal.emit(effects.Send(self._addresses.find(peer), transfer))

    def _replace(self, event: transitions.Replace, now_ms: int) -> None:
        if not self.may_change_members():
            reason = "no leader here, or an earlier change is not yet committed"
            self.journal.emit(transitions.Refuse(reason))
            return
        members = self.journal.members
        try:
            change = replacement.plan_replacement(
                members,
                event.removed,
                event.added,
                event.address,
                event.returns,
                event.failure_domain,
                event.predecessor,
            )
        except replacement.RefusedError as error:
            self.journal.emit(transitions.Refuse(str(error)))
            return
        self._propose([journal.encode_change(change)], now_ms)

    def _change_set(self, event: transitions.ChangeSet, now_ms: int) -> None:
        is_current = event.members_index == self.journal.members_index
        if is_current and self.may_change_members():
            self._propose([journal.encode_change(event.change)], now_ms)

    def may_change_members(self) -> bool:
        """Return whether this replica leads and may change the set of replicas now."""
        return (
            self.leading is not None
            and not self.leading.transfer_target
            and self.commit_index >= self.leading.first_index
            and self.commit_index >= self.journal.members_index
        )

    def _promote(
        self, peer: messages.Replica, progress: leadership.Progress, now_ms: int
    ) -> None:
        members = self.journal.members
        caught_up = progress.match >= self.commit_index
        if peer.voter or not caught_up or not self.may_change_members():
            return
        if not self._is_vote_useful(peer):
            return
        change = replacement.plan_promotion(members, peer.id, progress.folder)
        self._propose([journal.encode_change(change)], now_ms)

    def _is_vote_useful(self, learner: messages.Replica) -> bool:
        target = self._settings.voter_target
        if self.leading is None or not target:
            return True
        members = self.journal.members
        waiting = sum(
            not item.voter
            and item.id != learner.id
            and item.id in self.leading.peers
            and self.leading.peers[item.id].match >= self.commit_index
            and not succession.is_replaced(members, item)
            for item in members.replicas
        )
        return succession.is_vote_useful(members, learner.id, waiting, target)

    def _record_move(self, replica: str, address: str, now_ms: int) -> None:
        """Change the address of a replica in the set to the one it answers from."""
        change = replacement.plan_move(self.journal.members, replica, address)
        if change is not None and self.may_change_members():
            self._propose([journal.encode_change(change)], now_ms)

    # Follower.

    def _accept_leader(self, term: int, leader: str, now_ms: int) -> bool:
        if term < self.term:
            return False
        self._become_follower(term, leader, now_ms)
        self._had_leader = True
        self._leader_contact_ms = now_ms
        self._reset_election_timer(now_ms)
        return True

    def _handle_append(
        self, address: str, message: messages.AppendEntries, now_ms: int
    ) -> None:
        matched = None
        if self._accept_leader(message.term, message.leader, now_ms):
            self.follower.leader_address = address
            self._note_address(message.leader, address)
            matched = following.merge_entries(self.journal, self.commit_index, message)
            if matched is not None:
                self._commit(min(message.commit_index, matched))
            self.follower.record_view(message)
            self.follower.confirm_view(self.commit_index)
        if matched is not None and self._is_disk_slow(now_ms):
            self._acknowledge_early(address, message, matched, now_ms)
        hint = following.find_reject_hint(self.journal.log, self.commit_index, message)
        response = self.follower.build_response(
            message, self.term, matched, hint, now_ms
        )
        self.journal.send_when_synced(address, response)

    def _is_disk_slow(self, now_ms: int) -> bool:
        return now_ms - self.follower.disk_progress_ms >= self._settings.heartbeat_ms

    def _acknowledge_early(
        self, address: str, message: messages.AppendEntries, matched: int, now_ms: int
    ) -> None:
        """Answer an append while a slow write is under way, with the durable index.

        Writing a snapshot can take longer than an election timeout; until it ends,
        this answer confirms the leader.
        """
        if not self.journal.is_vote_synced:
            return
        durable = min(matched, self.journal.durable_index)
        response = self.follower.build_response(message, self.term, durable, 0, now_ms)
        self.journal.emit(effects.Send(address, response))

    def _handle_snapshot_chunk(
        self, address: str, message: messages.InstallSnapshot, now_ms: int
    ) -> None:
        if not self._accept_leader(message.term, message.leader, now_ms):
            return
        snapshot = self.follower.add_chunk(message)
        is_covered = message.last_index <= self.commit_index
        if snapshot is not None and not is_covered:
            self.journal.install_snapshot(snapshot)
            self.commit_index = snapshot.index
            self.journal.emit(transitions.Restore(snapshot.state))
            is_covered = True
        response = self.follower.build_chunk_response(message, self.term, is_covered)
        self.journal.send_when_synced(address, response)

    # Leader and follower.

    def _commit(self, index: int) -> list[messages.LogEntry]:
        if index <= self.commit_index:
            return []
        entries = self.journal.log.slice(self.commit_index + 1, index)
        self.commit_index = index
        self.journal.emit(transitions.Apply(entries))
        return entries

    def _handle_persisted(self, number: int, now_ms: int) -> None:
        self.journal.handle_persisted(number)
        self.follower.disk_progress_ms = now_ms
        if self.role == "candidate" and number >= self._vote_write:
            self._count_vote(self.replica, self.folder, now_ms)
        self._advance_commit(now_ms)
