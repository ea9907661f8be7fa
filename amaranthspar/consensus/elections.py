"""Leader election: timeouts, pre-votes, votes and changes of role."""

import abc
import random

from amaranthspar.consensus import (
    addresses,
    following,
    journal,
    leadership,
    replicas,
    transitions,
)
from amaranthspar.schema import messages

FIRST_TIMEOUT_DIVISORS = (16, 1)
"""Divisors of the election timeout that bound the wait before the first pre-vote.

They apply to a replica that has had no leader since its start. The wait can be short:
after an outage of all replicas there is no leader, and while a leader exists, the
others do not grant votes.
"""


class ElectionParticipant(abc.ABC):
    """Raft state of one replica, and the election part of the protocol.

    Args:
        identity: Replica id and data folder of this replica.
        initial: Initial set of replicas, used until the log defines one.
        settings: Timeouts and limits.
        rng: Source of random election timeouts and round numbers.
        stored: Content of the data folder at start.
        now_ms: Current monotonic time in ms.

    Attributes:
        replica: Replica id.
        folder: Random number of the data folder.
        address: Address at which this replica listens; empty if it is not known.
        failure_domain: Failure domain of this host; empty if it is not known.
        journal: Term, vote, log and snapshot, with their writes to disk.
        commit_index: Last index that is known to be committed.
        role: ``follower``, ``pre_candidate``, ``candidate`` or ``leader``.
        leader: Replica id of the leader; empty if unknown.
        leading: State of the leader; nothing unless this replica leads.
        rejected_folders: Number of messages rejected by `replicas.check_folder`.
        follower: State of a follower.
        votes: Data folders of the replicas that granted a vote, by replica id.
    """

    def __init__(
        self,
        identity: transitions.Identity,
        initial: messages.ChangeReplicas,
        settings: transitions.Settings,
        rng: random.Random,
        stored: transitions.Stored,
        now_ms: int,
    ) -> None:
        self.replica = identity.replica
        self.folder = identity.folder
        self.address = identity.address
        self.failure_domain = identity.failure_domain
        self.journal = journal.Journal(initial, stored, settings.trailing_entries)
        self.commit_index = self.journal.log.base_index
        self.role = "follower"
        self.leader = ""
        self.leading: leadership.Leadership | None = None
        self.rejected_folders = 0
        self._addresses = addresses.AddressBook()
        self.follower = following.Follower(identity, rng)
        self._view_ms = -1
        self._settings = settings
        self._rng = rng
        self.votes: dict[str, int] = {}
        self._vote_write = 0
        self._leader_contact_ms = now_ms - settings.election_ms
        self._had_leader = False
        self._election_deadline_ms = 0
        self._reset_first_election_timer(now_ms)

    @property
    def term(self) -> int:
        """Current term."""
        return self.journal.term

    def _accept_sender(self, replica: str, folder: int, address: str) -> bool:
        """Return whether a message counts, and note where its sender is reached."""
        if replicas.check_folder(self.journal.members, replica, folder):
            self._note_address(replica, address)
            return True
        self.rejected_folders += 1
        return False

    def _note_address(self, replica: str, address: str) -> None:
        if self._addresses.note(self.journal.members, replica, address):
            self.journal.emit(transitions.ReplicaMoved(replica, address))

    def _reset_election_timer(self, now_ms: int) -> None:
        election_ms = self._settings.election_ms
        self._election_deadline_ms = now_ms + self._rng.randint(
            election_ms, 2 * election_ms
        )

    def _reset_first_election_timer(self, now_ms: int) -> None:
        shortest, longest = FIRST_TIMEOUT_DIVISORS
        election_ms = self._settings.election_ms
        self._election_deadline_ms = now_ms + self._rng.randint(
            election_ms // shortest, election_ms // longest
        )

    def _may_campaign(self) -> bool:
        # A leader that removed itself must stay electable until the removal is
        # committed.
        committed = self.journal.find_members(self.commit_index)
        for members in (self.journal.members, committed):
            member = replicas.find_replica(members, self.replica)
            if member is not None and member.voter:
                return member.folder in (0, self.folder)
        return False

    def _start_pre_vote(self, now_ms: int) -> None:
        if self._had_leader:
            self._reset_election_timer(now_ms)
        else:
            self._reset_first_election_timer(now_ms)
        self._change_leader("")
        if not self._may_campaign():
            return
        self.role = "pre_candidate"
        self.votes = {}
        self._request_votes(self.term + 1, pre_vote=True, transfer=False)
        self._count_vote(self.replica, self.folder, now_ms)

    def _campaign(self, transfer: bool, now_ms: int) -> None:
        if not self._may_campaign() or self.leading is not None:
            return
        self._reset_election_timer(now_ms)
        self._change_leader("")
        self.role = "candidate"
        self.votes = {}
        self._vote_write = self.journal.save_vote(self.term + 1, self.replica)
        self._request_votes(self.term, pre_vote=False, transfer=transfer)

    def _request_votes(self, term: int, pre_vote: bool, transfer: bool) -> None:
        log = self.journal.log
        request = messages.RequestVote(
            term,
            self.replica,
            log.last_index,
            log.last_term,
            pre_vote,
            transfer,
            self.folder,
        )
        for peer in self.journal.members.replicas:
            if peer.voter and peer.id != self.replica:
                address = self._addresses.find(peer)
                self.journal.send_when_synced(address, request)

    def _handle_vote_request(
        self, address: str, message: messages.RequestVote, now_ms: int
    ) -> None:
        if not message.transfer and self._has_active_leader(now_ms):
            return
        log = self.journal.log
        is_up_to_date = (message.last_term, message.last_index) >= (
            log.last_term,
            log.last_index,
        )
        if message.pre_vote:
            granted = is_up_to_date and message.term > self.term
            term = message.term if granted else self.term
            vote = messages.Vote(term, self.replica, granted, True, self.folder)
            self.journal.send_when_synced(address, vote)
            return
        if message.term > self.term:
            self._become_follower(message.term, "", now_ms)
        can_vote = self.journal.vote in ("", message.candidate)
        granted = message.term == self.term and can_vote and is_up_to_date
        if granted:
            self.journal.save_vote(self.term, message.candidate)
            self._reset_election_timer(now_ms)
        vote = messages.Vote(self.term, self.replica, granted, False, self.folder)
        self.journal.send_when_synced(address, vote)

    def _has_active_leader(self, now_ms: int) -> bool:
        if self.leading is None:
            return now_ms - self._leader_contact_ms < self._settings.election_ms
        confirmed_ms = self.leading.find_confirmed_ms(self.journal.members, now_ms)
        return now_ms - confirmed_ms < self._settings.election_ms

    def _handle_vote(self, message: messages.Vote, now_ms: int) -> None:
        if message.term > self.term and not message.granted:
            self._become_follower(message.term, "", now_ms)
            return
        if not message.granted:
            return
        expected_term = self.term + 1 if message.pre_vote else self.term
        expected_role = "pre_candidate" if message.pre_vote else "candidate"
        if self.role == expected_role and message.term == expected_term:
            self._count_vote(message.voter, message.folder, now_ms)

    def _count_vote(self, voter: str, folder: int, now_ms: int) -> None:
        self.votes[voter] = folder
        members = self.journal.members
        if not replicas.is_elected(members, self.votes, self.journal.formed):
            return
        if self.role == "pre_candidate":
            self._campaign(False, now_ms)
        elif self._vote_write <= self.journal.last_synced:
            self._become_leader(now_ms)

    def _become_leader(self, now_ms: int) -> None:
        log = self.journal.log
        self._had_leader = True
        self.role = "leader"
        self.leading = leadership.Leadership(
            self.term, self.replica, log.last_index + 1, now_ms
        )
        self._change_leader(self.replica)
        command = transitions.Command("", b"")
        if not self.journal.formed:
            bound = replicas.bind_folders(self.journal.members, self.votes)
            command = journal.encode_change(bound)
        self._propose([command], now_ms)

    def _become_follower(self, term: int, leader: str, now_ms: int) -> None:
        if term > self.term:
            self.journal.save_vote(term, "")
        if self.role != "follower":
            self._reset_election_timer(now_ms)
        self.role = "follower"
        self.leading = None
        self._change_leader(leader)

    def _change_leader(self, leader: str) -> None:
        if leader != self.leader:
            self.leader = leader
            self.journal.emit(transitions.ChangeLeader(leader, self.term))

    @abc.abstractmethod
    def _propose(self, commands: list[transitions.Command], now_ms: int) -> None:
        """Append commands to the log and replicate them, if this replica leads."""
