"""Answers the requests that processes and operators send to a controller.

The machine has no I/O: it returns messages to send, and commands for the log
when it is asked for them. Whatever is asked in one turn is proposed together.
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
    """What consensus says of this replica at one moment.

    Attributes:
        leading: Whether it is the leader and accepts proposals.
        leader_address: Address of the leader, empty if none other is known.
        view_age_ms: Age of the quorum-confirmed view in ms; -1 for none.
        now_ms: Monotonic clock in ms.
        wall_ms: Wall clock in ms.
    """

    leading: bool
    leader_address: str
    view_age_ms: int
    now_ms: int
    wall_ms: int


@attrs.frozen(slots=True)
class Request:
    """A request and where its answer goes.

    Attributes:
        sender: Process name of the first sender.
        incarnation: Incarnation of the first sender.
        address: Address for the answer.
        message: Message of the schema.
        forwarded: Whether another controller handed it on.
    """

    sender: str
    incarnation: int
    address: str
    message: codec.Message
    forwarded: bool = False


@attrs.frozen(slots=True)
class _Waiting:
    """A request whose answer waits for the log or for a confirmed view."""

    address: str
    since_ms: int
    message: Any


@attrs.frozen(slots=True)
class _Served:
    """A holder that renewed its lease here."""

    address: str
    renewed_ms: int


class RequestHandler:
    """All requests of one controller.

    Args:
        state: Registry of this replica.
        grants: Grants of leases.
        lease_ms: Length of a lease in ms.
    """

    def __init__(
        self, state: registry.Registry, issuer: leases.LeaseIssuer, lease_ms: int
    ) -> None:
        self.granted = 0
        self._served: dict[str, _Served] = {}
        self.denied = 0
        self.renewed: set[str] = set()
        self._state = state
        self._issuer = issuer
        self._lease_ms = lease_ms
        self._seen_ms: dict[str, int] = {}
        self._led_ms = 0
        self._stamped_ms = 0
        self._decided_ms = 0
        self._joins: dict[str, messages.Member] = {}
        self._removals: dict[str, messages.MemberRemoval] = {}
        self._claims: list[messages.ClaimSubmission] = []
        self._releases: list[messages.ReleaseClaim] = []
        self._changes: list[codec.Message] = []
        self._renewing: dict[str, _Waiting] = {}
        self._claiming: dict[str, list[_Waiting]] = {}
        self._proposing: dict[str, list[_Waiting]] = {}
        self._reading: list[_Waiting] = []

    @property
    def has_pending_reads(self) -> bool:
        """Whether requests wait for a confirmed view."""
        return bool(self._reading)

    def start_leading(self, now_ms: int) -> None:
        """Count every member as seen and drop what an earlier term left.

        Args:
            now_ms: Monotonic clock in ms.
        """
        self._led_ms = now_ms
        self._stamped_ms = now_ms
        self._decided_ms = 0
        self._seen_ms.clear()
        self._joins.clear()
        self._removals.clear()
        self._claims.clear()
        self._releases.clear()
        self._changes.clear()

    def handle(self, request: Request, status: ReplicaStatus) -> list[effects.Send]:
        """Take one request.

        Args:
            request: Request.
            standing: What consensus says now.

        Returns:
            Answers that can be given at once.
        """
        match request.message:
            case messages.RenewLease() as message:
                return self._renew(request, message, status)
            case (
                messages.FetchConfiguration() | viewmessages.FetchDocument() as message
            ):
                waiting = _Waiting(request.address, status.now_ms, message)
                if status.leading:
                    self._reading.append(waiting)
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
            case messages.ReplaceReplica() | messages.JoinReplicas():
                return _forward(request, status)
            case messages.LeaveMembership() as message:
                if not status.leading:
                    return _forward(request, status)
                self._leave(message)
        return []

    def collect_commands(self, now_ms: int) -> list[transitions.Command]:
        """Return the commands that wait, and forget them.

        Args:
            now_ms: Monotonic clock in ms.
        """
        decided_ms = self._stamp_claims(now_ms)
        found: list[codec.Message] = [*self._changes, *self._releases]
        joins = list(self._joins.values())
        removals = list(self._removals.values())
        for start in range(0, max(len(joins), len(removals)), MAX_BATCH):
            end = start + MAX_BATCH
            found.append(messages.ChangeMembers(joins[start:end], removals[start:end]))
        for start in range(0, len(self._claims), MAX_BATCH):
            batch = self._claims[start : start + MAX_BATCH]
            found.append(messages.RecordClaims(batch, decided_ms, CLAIM_RETENTION_MS))
        self._changes.clear()
        self._joins.clear()
        self._removals.clear()
        self._claims.clear()
        self._releases.clear()
        return [encode_command(command) for command in found]

    def _stamp_claims(self, now_ms: int) -> int:
        """Return the time of claims, which goes on from what is in the log.

        No wall clock is used: one that is fast would end the retention early.
        """
        elapsed_ms = now_ms - self._stamped_ms
        newest_ms = max(self._decided_ms, self._state.claims.newest_ms)
        self._decided_ms = newest_ms + elapsed_ms
        self._stamped_ms = now_ms
        return self._decided_ms

    def answer_outcomes(
        self, outcomes: list[registry.Outcome], status: ReplicaStatus
    ) -> list[effects.Send]:
        """Answer those that waited for applied entries.

        Args:
            outcomes: What the registry decided.
            standing: What consensus says now.
        """
        sends: list[effects.Send] = []
        for outcome in outcomes:
            match outcome:
                case registry.ConfigurationApplied(decision=decision):
                    waiting = self._proposing.pop(decision.change_id, [])
                    sends += [effects.Send(item.address, decision) for item in waiting]
                    if decision.outcome == ACCEPTED:
                        sends += self._announce_version(decision.version, status)
                case registry.DocumentApplied(state=state):
                    waiting = self._proposing.pop(state.request, [])
                    sends += [effects.Send(item.address, state) for item in waiting]
                case registry.ClaimApplied(claim=claim):
                    waiting = self._claiming.pop(claim.key, [])
                    decided = self._decide_claim(claim.key)
                    sends += [effects.Send(item.address, decided) for item in waiting]
                case registry.MembersApplied(processes=processes):
                    for process in processes:
                        sends += self._renew_waiting(process, status)
        return sends

    def _announce_version(
        self, version: int, status: ReplicaStatus
    ) -> list[effects.Send]:
        """Wake the holders that renew here, so that none waits for its next turn."""
        oldest_ms = status.now_ms - self._lease_ms
        served = self._served.items()
        recent = {name: item for name, item in served if item.renewed_ms > oldest_ms}
        self._served = recent
        announcement = messages.AnnounceVersion(version)
        return [effects.Send(item.address, announcement) for item in recent.values()]

    def record_renewals(self, processes: list[str], now_ms: int) -> None:
        """Note members whose leases a follower has renewed.

        Args:
            processes: Process names.
            now_ms: Monotonic clock in ms.
        """
        self._seen_ms.update(dict.fromkeys(processes, now_ms))

    def answer_reads(self, status: ReplicaStatus) -> list[effects.Send]:
        """Answer the reads that arrived before the confirmed view.

        Args:
            standing: What consensus says now.
        """
        if status.view_age_ms < 0:
            return []
        view_ms = status.now_ms - status.view_age_ms
        ready = [item for item in self._reading if item.since_ms <= view_ms]
        self._reading = [item for item in self._reading if item.since_ms > view_ms]
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
        """Propose a change; without a leader it stays unanswered, and is sent again."""
        if not status.leading:
            return _forward(request, status)
        waiting = _Waiting(request.address, status.now_ms, message)
        self._proposing.setdefault(message.request, []).append(waiting)
        self._changes.append(message)
        return []

    def expire(self, status: ReplicaStatus) -> None:
        """Remove members that were not seen, and forget requests that waited long.

        Args:
            standing: What consensus says now.
        """
        oldest_ms = status.now_ms - REQUEST_TIMEOUT_MS
        self._reading = [item for item in self._reading if item.since_ms > oldest_ms]
        for waiting in (self._claiming, self._proposing):
            for key, items in list(waiting.items()):
                if items[-1].since_ms <= oldest_ms:
                    del waiting[key]
        if not status.leading:
            return
        limit_ms = status.now_ms - MEMBER_EXPIRY_LEASES * self._lease_ms
        for process, member in self._state.members.items():
            if self._seen_ms.get(process, self._led_ms) < limit_ms:
                removal = messages.MemberRemoval(process, member.incarnation, False)
                self._removals[process] = removal

    def _renew(
        self, request: Request, message: messages.RenewLease, status: ReplicaStatus
    ) -> list[effects.Send]:
        decision = self._issuer.decide(self._state, message, status.view_age_ms)
        process = message.member.process
        if decision is None:
            if not status.leading:
                return _forward(request, status)
            self._joins[process] = message.member
            self._seen_ms[process] = status.now_ms
            waiting = _Waiting(request.address, status.now_ms, message)
            self._renewing[process] = waiting
            return []
        if isinstance(decision, messages.LeaseGranted):
            self.granted += 1
            self._served[process] = _Served(request.address, status.now_ms)
            self.renewed.add(process)
            self._seen_ms[process] = status.now_ms
        else:
            self.denied += 1
        return [effects.Send(request.address, decision)]

    def _renew_waiting(self, process: str, status: ReplicaStatus) -> list[effects.Send]:
        waiting = self._renewing.pop(process, None)
        if waiting is None or waiting.since_ms <= status.now_ms - REQUEST_TIMEOUT_MS:
            return []
        renewal = waiting.message
        decision = self._issuer.decide(self._state, renewal, status.view_age_ms)
        return [] if decision is None else [effects.Send(waiting.address, decision)]

    def _propose(
        self,
        request: Request,
        message: messages.ProposeConfiguration,
        status: ReplicaStatus,
    ) -> list[effects.Send]:
        known = proposals.find_decision(self._state, message)
        if known is not None:
            return [effects.Send(request.address, known)]
        if not status.leading:
            forwarded = _forward(request, status)
            if forwarded:
                return forwarded
            known = proposals.refuse_proposal(self._state, message, "unavailable", [])
            return [effects.Send(request.address, known)]
        command = proposals.build_command(self._state, message, status.wall_ms)
        if isinstance(command, messages.ConfigurationDecided):
            return [effects.Send(request.address, command)]
        waiting = _Waiting(request.address, status.now_ms, message)
        self._proposing.setdefault(message.change_id, []).append(waiting)
        self._changes.append(command)
        return []

    def _claim(
        self, request: Request, message: messages.ClaimSubmission, status: ReplicaStatus
    ) -> list[effects.Send]:
        if self._state.claims.find_holder(message.key) is not None:
            decided = self._decide_claim(message.key)
            return [effects.Send(request.address, decided)]
        if status.leading:
            waiting = _Waiting(request.address, status.now_ms, message)
            self._claiming.setdefault(message.key, []).append(waiting)
            self._claims.append(message)
            return []
        forwarded = _forward(request, status)
        if forwarded:
            return forwarded
        refused = messages.ClaimDecided(message.key, message.fingerprint, "", "", 0)
        return [effects.Send(request.address, refused)]

    def _decide_claim(self, key: str) -> messages.ClaimDecided:
        holder = self._state.claims.kept[key].claim
        return messages.ClaimDecided(
            key,
            holder.fingerprint,
            holder.submission,
            holder.gateway,
            holder.incarnation,
        )

    def _leave(self, message: messages.LeaveMembership) -> None:
        known = self._state.members.get(message.process)
        if known is None or known.incarnation != message.incarnation:
            return
        if message.stopped:
            removal = messages.MemberRemoval(message.process, known.incarnation, True)
            self._removals[message.process] = removal
        else:
            self._joins[message.process] = attrs.evolve(known, leaving=True)


def encode_command(command: codec.Message) -> transitions.Command:
    """Return a message as a command for the log.

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
