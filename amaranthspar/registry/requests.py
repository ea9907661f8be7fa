"""Handles the requests that processes and operators send to a controller.

The handler performs no I/O. It returns messages to send, and hands out the pending
commands for the replicated log on request. All commands that arise in one turn of the
event loop are proposed together.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from amaranthspar import effects
from amaranthspar.consensus import transitions
from amaranthspar.registry import proposals, registry
from amaranthspar.schema import codec, messages, viewmessages

if TYPE_CHECKING:
    from amaranthspar.registry import leases

MAX_BATCH = 512
ACCEPTED = "accepted"
CLAIM_RETENTION_MS = 1_800_000
MEMBER_EXPIRY_LEASES = 2
REQUEST_TIMEOUT_MS = 5_000


@attrs.frozen(slots=True)
class ReplicaStatus:
    """Consensus status of this replica at one moment.

    Attributes:
        leading: Whether the replica is the leader and accepts proposals.
        leader_address: Address of the leader; empty if no other replica is known to
            lead.
        view_age_ms: Age of the quorum-confirmed view in ms; -1 for none.
        now_ms: Monotonic clock in ms.
        wall_ms: Wall clock in ms.
        controllers: Addresses in the committed set of replicas.
        controllers_revision: Revision of this set.
    """

    leading: bool
    leader_address: str
    view_age_ms: int
    now_ms: int
    wall_ms: int
    controllers: tuple[str, ...] = ()
    controllers_revision: int = 0


@attrs.frozen(slots=True)
class Request:
    """A request with the address that its answer is sent to.

    Attributes:
        sender: Process name of the original sender.
        incarnation: Incarnation of the original sender.
        address: Address for the answer.
        message: Message of the schema.
        forwarded: Whether another controller forwarded the request.
    """

    sender: str
    incarnation: int
    address: str
    message: codec.Message
    forwarded: bool = False


@attrs.frozen(slots=True)
class _Waiter:
    """A request whose answer depends on a log entry or on a confirmed view."""

    address: str
    received_ms: int
    message: Any


@attrs.frozen(slots=True)
class _RecentHolder:
    """A lease holder that renewed its lease at this controller."""

    address: str
    renewed_ms: int


class RequestHandler:
    """Handles all requests sent to one controller.

    Args:
        state: Registry of this replica.
        issuer: Decides on renewals of leases.
        lease_ms: Duration of a lease in ms.

    Attributes:
        granted: Number of granted leases.
        denied: Number of denied renewals.
        renewed: Processes granted a lease here since the controller last cleared the set;
            a follower reports them to the leader.
    """

    def __init__(
        self, state: registry.Registry, issuer: leases.LeaseIssuer, lease_ms: int
    ) -> None:
        self.granted = 0
        self._recent_holders: dict[str, _RecentHolder] = {}
        self.denied = 0
        self.renewed: set[str] = set()
        self._state = state
        self._issuer = issuer
        self._lease_ms = lease_ms
        self._last_renewal_ms: dict[str, int] = {}
        self._leading_since_ms = 0
        self._clock_read_ms = 0
        self._claim_clock_ms = 0
        self._joins: dict[str, messages.Member] = {}
        self._removals: dict[str, messages.MemberRemoval] = {}
        self._claims: list[messages.ClaimSubmission] = []
        self._releases: list[messages.ReleaseClaim] = []
        self._changes: list[codec.Message] = []
        self._renewal_waiters: dict[str, _Waiter] = {}
        self._claim_waiters: dict[str, list[_Waiter]] = {}
        self._change_waiters: dict[str, list[_Waiter]] = {}
        self._read_waiters: list[_Waiter] = []

    @property
    def has_pending_reads(self) -> bool:
        """Whether reads wait for a confirmed view."""
        return bool(self._read_waiters)

    def start_leading(self, now_ms: int) -> None:
        """Start a term as leader: discard commands and renewal times of earlier terms.

        Every member counts as renewed at this moment.

        Args:
            now_ms: Monotonic clock in ms.
        """
        self._leading_since_ms = now_ms
        self._clock_read_ms = now_ms
        self._claim_clock_ms = 0
        self._last_renewal_ms.clear()
        self._joins.clear()
        self._removals.clear()
        self._claims.clear()
        self._releases.clear()
        self._changes.clear()

    def handle(self, request: Request, status: ReplicaStatus) -> list[effects.Send]:
        """Handle one request.

        Args:
            request: Request.
            status: Current status of this replica.

        Returns:
            Answers that are available at once, or the request forwarded to the leader.
        """
        match request.message:
            case messages.RenewLease() as message:
                return self._renew(request, message, status)
            case (
                messages.FetchConfiguration() | viewmessages.FetchDocument() as message
            ):
                waiter = _Waiter(request.address, status.now_ms, message)
                if status.leading:
                    self._read_waiters.append(waiter)
                    return []
                return _forward(request, status)
            case messages.ProposeConfiguration() as message:
                return self._propose(request, message, status)
            case messages.ClaimSubmission() as message:
                return self._claim(request, message, status)
            case viewmessages.PutDocument() | viewmessages.SetDomain() as message:
                return self._change_document(request, message, status)
            case messages.ReleaseClaim() as message:
                if not status.leading:
                    return _forward(request, status)
                self._releases.append(message)
            case (
                messages.ReplaceReplica()
                | messages.JoinReplicas()
                | messages.LeaveReplicas()
            ):
                return _forward(request, status)
            case messages.LeaveMembership() as message:
                if not status.leading:
                    return _forward(request, status)
                self._leave_membership(message)
        return []

    def collect_commands(self, now_ms: int) -> list[transitions.Command]:
        """Return the pending commands and clear them.

        Args:
            now_ms: Monotonic clock in ms.
        """
        decided_ms = self._advance_claim_clock(now_ms)
        commands: list[codec.Message] = [*self._changes, *self._releases]
        joins = list(self._joins.values())
        removals = list(self._removals.values())
        for start in range(0, max(len(joins), len(removals)), MAX_BATCH):
            end = start + MAX_BATCH
            commands.append(
                messages.ChangeMembers(joins[start:end], removals[start:end])
            )
        for start in range(0, len(self._claims), MAX_BATCH):
            batch = self._claims[start : start + MAX_BATCH]
            commands.append(
                messages.RecordClaims(batch, decided_ms, CLAIM_RETENTION_MS)
            )
        self._changes.clear()
        self._joins.clear()
        self._removals.clear()
        self._claims.clear()
        self._releases.clear()
        return [encode_command(command) for command in commands]

    def _advance_claim_clock(self, now_ms: int) -> int:
        """Advance the clock of the claims to now and return its time in ms.

        The clock continues from the newest time in the log. The wall clock is not used,
        because a fast one would end the retention of claims too early.
        """
        elapsed_ms = now_ms - self._clock_read_ms
        newest_ms = max(self._claim_clock_ms, self._state.claims.newest_ms)
        self._claim_clock_ms = newest_ms + elapsed_ms
        self._clock_read_ms = now_ms
        return self._claim_clock_ms

    def answer_outcomes(
        self, outcomes: list[registry.Outcome], status: ReplicaStatus
    ) -> list[effects.Send]:
        """Answer the requests that waited for entries that are now applied.

        Args:
            outcomes: Outcomes of the applied entries.
            status: Current status of this replica.
        """
        sends: list[effects.Send] = []
        for outcome in outcomes:
            match outcome:
                case registry.ConfigurationApplied(decision=decision):
                    waiters = self._change_waiters.pop(decision.change_id, [])
                    sends += [effects.Send(item.address, decision) for item in waiters]
                    if decision.outcome == ACCEPTED:
                        sends += self._announce_version(decision.version, status)
                case registry.DocumentApplied(state=state):
                    waiters = self._change_waiters.pop(state.request, [])
                    sends += [effects.Send(item.address, state) for item in waiters]
                case registry.ClaimApplied(claim=claim):
                    waiters = self._claim_waiters.pop(claim.key, [])
                    decided = self._build_claim_decision(claim.key)
                    sends += [effects.Send(item.address, decided) for item in waiters]
                case registry.MembersApplied(processes=processes):
                    for process in processes:
                        sends += self._renew_waiting(process, status)
        return sends

    def _announce_version(
        self, version: int, status: ReplicaStatus
    ) -> list[effects.Send]:
        """Announce a version to the holders that renewed here within the last lease.

        They renew at once instead of at their next scheduled renewal.
        """
        oldest_ms = status.now_ms - self._lease_ms
        holders = self._recent_holders.items()
        recent = {name: item for name, item in holders if item.renewed_ms > oldest_ms}
        self._recent_holders = recent
        announcement = messages.AnnounceVersion(version)
        return [effects.Send(item.address, announcement) for item in recent.values()]

    def record_renewals(self, processes: list[str], now_ms: int) -> None:
        """Record that a follower has renewed the leases of members.

        Args:
            processes: Process names.
            now_ms: Monotonic clock in ms.
        """
        self._last_renewal_ms.update(dict.fromkeys(processes, now_ms))

    def answer_reads(self, status: ReplicaStatus) -> list[effects.Send]:
        """Answer the reads that arrived before the last confirmed view.

        Args:
            status: Current status of this replica.
        """
        if status.view_age_ms < 0:
            return []
        view_ms = status.now_ms - status.view_age_ms
        ready = [item for item in self._read_waiters if item.received_ms <= view_ms]
        self._read_waiters = [
            item for item in self._read_waiters if item.received_ms > view_ms
        ]
        return [effects.Send(item.address, self._fetch(item.message)) for item in ready]

    def _fetch(
        self, message: messages.FetchConfiguration | viewmessages.FetchDocument
    ) -> codec.Message:
        match message:
            case viewmessages.FetchDocument(request=name):
                return self._state.documents.fetch(name)
            case _:
                return self._state.fetch(message)

    def _change_document(
        self,
        request: Request,
        message: viewmessages.PutDocument | viewmessages.SetDomain,
        status: ReplicaStatus,
    ) -> list[effects.Send]:
        """Propose a change, or forward it to the leader.

        If no leader is known, the request stays unanswered and the sender repeats it.
        """
        if not status.leading:
            return _forward(request, status)
        waiter = _Waiter(request.address, status.now_ms, message)
        self._change_waiters.setdefault(message.request, []).append(waiter)
        self._changes.append(message)
        return []

    def expire(self, status: ReplicaStatus) -> None:
        """Drop requests that timed out and queue removals of expired members.

        Only the leader removes members.

        Args:
            status: Current status of this replica.
        """
        oldest_ms = status.now_ms - REQUEST_TIMEOUT_MS
        self._read_waiters = [
            item for item in self._read_waiters if item.received_ms > oldest_ms
        ]
        for waiters in (self._claim_waiters, self._change_waiters):
            for key, items in list(waiters.items()):
                if items[-1].received_ms <= oldest_ms:
                    del waiters[key]
        if not status.leading:
            return
        limit_ms = status.now_ms - MEMBER_EXPIRY_LEASES * self._lease_ms
        for process, member in self._state.members.items():
            if self._last_renewal_ms.get(process, self._leading_since_ms) < limit_ms:
                removal = messages.MemberRemoval(process, member.incarnation, False)
                self._removals[process] = removal

    def _renew(
        self, request: Request, message: messages.RenewLease, status: ReplicaStatus
    ) -> list[effects.Send]:
        decision = self._decide(message, status)
        process = message.member.process
        if decision is None:
            if not status.leading:
                return _forward(request, status)
            self._joins[process] = message.member
            self._last_renewal_ms[process] = status.now_ms
            waiter = _Waiter(request.address, status.now_ms, message)
            self._renewal_waiters[process] = waiter
            return []
        if isinstance(decision, messages.LeaseGranted):
            self.granted += 1
            self._recent_holders[process] = _RecentHolder(
                request.address, status.now_ms
            )
            self.renewed.add(process)
            self._last_renewal_ms[process] = status.now_ms
        else:
            self.denied += 1
        return [effects.Send(request.address, decision)]

    def _renew_waiting(self, process: str, status: ReplicaStatus) -> list[effects.Send]:
        waiter = self._renewal_waiters.pop(process, None)
        if waiter is None or waiter.received_ms <= status.now_ms - REQUEST_TIMEOUT_MS:
            return []
        decision = self._decide(waiter.message, status)
        return [] if decision is None else [effects.Send(waiter.address, decision)]

    def _decide(
        self, renewal: messages.RenewLease, status: ReplicaStatus
    ) -> messages.LeaseGranted | messages.LeaseDenied | None:
        """Decide on a renewal, and add the set of replicas if the holder lacks it."""
        decision = self._issuer.decide(self._state, renewal, status.view_age_ms)
        match decision:
            case messages.LeaseGranted() if (
                renewal.controllers_revision < status.controllers_revision
            ):
                return attrs.evolve(
                    decision,
                    controllers=list(status.controllers),
                    controllers_revision=status.controllers_revision,
                )
            case _:
                return decision

    def _propose(
        self,
        request: Request,
        message: messages.ProposeConfiguration,
        status: ReplicaStatus,
    ) -> list[effects.Send]:
        decided = proposals.find_decision(self._state, message)
        if decided is not None:
            return [effects.Send(request.address, decided)]
        if not status.leading:
            forwarded = _forward(request, status)
            if forwarded:
                return forwarded
            decided = proposals.refuse_proposal(self._state, message, "unavailable", [])
            return [effects.Send(request.address, decided)]
        command = proposals.build_command(self._state, message, status.wall_ms)
        if isinstance(command, messages.ConfigurationDecided):
            return [effects.Send(request.address, command)]
        waiter = _Waiter(request.address, status.now_ms, message)
        self._change_waiters.setdefault(message.change_id, []).append(waiter)
        self._changes.append(command)
        return []

    def _claim(
        self, request: Request, message: messages.ClaimSubmission, status: ReplicaStatus
    ) -> list[effects.Send]:
        if self._state.claims.find_holder(message.key) is not None:
            decided = self._build_claim_decision(message.key)
            return [effects.Send(request.address, decided)]
        if status.leading:
            waiter = _Waiter(request.address, status.now_ms, message)
            self._claim_waiters.setdefault(message.key, []).append(waiter)
            self._claims.append(message)
            return []
        forwarded = _forward(request, status)
        if forwarded:
            return forwarded
        refused = messages.ClaimDecided(message.key, message.fingerprint, "", "", 0)
        return [effects.Send(request.address, refused)]

    def _build_claim_decision(self, key: str) -> messages.ClaimDecided:
        holder = self._state.claims.kept[key].claim
        return messages.ClaimDecided(
            key,
            holder.fingerprint,
            holder.submission,
            holder.gateway,
            holder.incarnation,
        )

    def _leave_membership(self, message: messages.LeaveMembership) -> None:
        member = self._state.members.get(message.process)
        if member is None or member.incarnation != message.incarnation:
            return
        if message.stopped:
            removal = messages.MemberRemoval(message.process, member.incarnation, True)
            self._removals[message.process] = removal
        else:
            self._joins[message.process] = attrs.evolve(member, leaving=True)


def encode_command(command: codec.Message) -> transitions.Command:
    """Encode a message as a command for the replicated log.

    Args:
        command: Message of the schema.
    """
    return transitions.Command(type(command).__name__, codec.encode_message(command))


def _forward(request: Request, status: ReplicaStatus) -> list[effects.Send]:
    if request.forwarded or not status.leader_address:
        return []
    forwarded = messages.Forwarded(
        request.sender,
        request.incarnation,
        request.address,
        type(request.message).__name__,
        codec.encode_message(request.message),
    )
    return [effects.Send(status.leader_address, forwarded)]
