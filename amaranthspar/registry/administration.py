"""Replaces, adds and removes replicas on the leader, and answers operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from amaranthspar import effects
from amaranthspar.consensus import replacement, replicas, succession, transitions
from amaranthspar.schema import messages

if TYPE_CHECKING:
    from amaranthspar.consensus import consensus, leadership

REPLICA_TIMEOUT_MS = 3_000
"""Time without messages after which a replica may be replaced; a restart takes about
1 s."""
LEADER_TIMEOUT_MS = 1_500
"""Time without a leader after which a replica asks whether it is still in the set."""
LEAVING_MS = 500
"""Time after its last request to leave for which a voter counts as leaving."""


@attrs.frozen(slots=True)
class _PendingReplacement:
    """A requested replacement that is in the log but not yet committed."""

    address: str
    index: int
    term: int
    request: messages.ReplaceReplica | messages.LeaveReplicas


class ReplicaAdministration:
    """Handles changes of the set of replicas at one controller.

    Args:
        machine: Consensus of this replica.
        voter_target: Number of voters that bears the losses to be tolerated.
        replica_timeout_ms: Time in ms without messages after which a replica may be
            replaced.
        leader_timeout_ms: Time in ms without a leader after which a replica asks to
            join again.
    """

    def __init__(
        self,
        machine: consensus.Consensus,
        voter_target: int = replacement.MIN_VOTERS,
        replica_timeout_ms: int = REPLICA_TIMEOUT_MS,
        leader_timeout_ms: int = LEADER_TIMEOUT_MS,
    ) -> None:
        self._machine = machine
        self._voter_target = voter_target
        self._replica_timeout_ms = replica_timeout_ms
        self._leader_timeout_ms = leader_timeout_ms
        self._pending: list[_PendingReplacement] = []
        self._leaving: dict[str, int] = {}

    def is_join_due(self, now_ms: int) -> bool:
        """Return whether this replica is not in the set, or may have been removed.

        A replica is not told of its removal, since the leader stops sending to it.

        Args:
            now_ms: Monotonic clock in ms.
        """
        machine = self._machine
        if replicas.find_replica(machine.journal.members, machine.replica) is None:
            return True
        return machine.read_leader_silence(now_ms) >= self._leader_timeout_ms

    def can_leave(self) -> bool:
        """Return whether the set, as this replica knows it, can do without this one.

        It has a voter to spare, or another replica can take over the vote, or there is
        no vote to be taken over.
        """
        members = self._machine.journal.members
        return replacement.has_spare_voter(members, self._voter_target) or any(
            not item.voter for item in members.replicas
        )

    def replace(
        self, address: str, request: messages.ReplaceReplica, now_ms: int
    ) -> list[transitions.Effect]:
        """Handle a request for a replacement on the leader.

        Args:
            address: Address for the answer.
            request: Replica to remove and replica to add.
            now_ms: Monotonic clock in ms.

        Returns:
            Effects to carry out in order.
        """
        if self._is_done(request):
            return [effects.Send(address, self._build_answer(request, "accepted", ""))]
        event = transitions.Replace(request.removed, request.added, request.address)
        return self._change(address, request, event, now_ms)

    def _change(
        self,
        address: str,
        request: messages.ReplaceReplica | messages.LeaveReplicas,
        event: transitions.Replace,
        now_ms: int,
    ) -> list[transitions.Effect]:
        result = self._machine.step(event, now_ms)
        refusals = [item for item in result if isinstance(item, transitions.Refuse)]
        if refusals:
            answer = self._build_answer(request, "refused", refusals[0].reason)
            return [*result, effects.Send(address, answer)]
        index = self._machine.journal.log.last_index
        self._pending.append(
            _PendingReplacement(address, index, self._machine.term, request)
        )
        return result

    def join(
        self, joining: messages.JoinReplicas, now_ms: int
    ) -> list[transitions.Effect]:
        """Add a joining replica to the set.

        A replica repeats its request until it hears a leader and is in the set.

        Args:
            joining: Request of the new replica.
            now_ms: Monotonic clock in ms.

        Returns:
            Effects to carry out in order.
        """
        leading = self._machine.leading
        if leading is None:
            return []
        unresponsive = leading.list_unresponsive(now_ms, self._replica_timeout_ms)
        members = self._machine.journal.members
        removed = replacement.plan_join(members, joining, unresponsive)
        if removed is None:
            return []
        event = transitions.Replace(
            removed,
            joining.replica,
            joining.address,
            True,
            joining.failure_domain,
            succession.find_predecessor(members, joining, self._voter_target),
        )
        return self._machine.step(event, now_ms)

    def leave(
        self, address: str, leaving: messages.LeaveReplicas, now_ms: int
    ) -> list[transitions.Effect]:
        """Remove a stopping replica from the set, if the set can spare it.

        Where another replica can take over its vote, it is removed after that, and its
        next request is accepted.

        Args:
            address: Address for the answer.
            leaving: Request of the replica.
            now_ms: Monotonic clock in ms.

        Returns:
            Effects to carry out in order.
        """
        machine = self._machine
        leading = machine.leading
        if leading is None:
            return []
        members = machine.journal.members
        if self._is_removed(leaving.replica):
            answer = self._build_answer(leaving, "accepted", "")
            return [effects.Send(address, answer)]
        try:
            if leaving.members_index != machine.journal.members_index:
                reason = f"the set has changed at {machine.journal.members_index}"
                raise replacement.RefusedError(reason)
            self._leaving[leaving.replica] = now_ms
            status = self._read_status(leading, now_ms)
            replacement.check_leave(
                members,
                leaving.replica,
                status.unresponsive,
                self._voter_target,
            )
        except replacement.RefusedError as error:
            answer = self._build_answer(leaving, "refused", str(error))
            return [effects.Send(address, answer)]
        return self._change(
            address, leaving, transitions.Replace(leaving.replica, "", ""), now_ms
        )

    def adjust(self, now_ms: int) -> list[transitions.Effect]:
        """Change the set by one step where hosts are replaced, silent or stopping.

        Args:
            now_ms: Monotonic clock in ms.

        Returns:
            Effects to carry out in order.
        """
        machine = self._machine
        leading = machine.leading
        if leading is None or not machine.may_change_members():
            return []
        members = machine.journal.members
        domains = {
            replica: item.failure_domain for replica, item in leading.peers.items()
        }
        domains[machine.replica] = machine.failure_domain
        change: messages.ChangeReplicas | succession.HandOver | None
        change = succession.plan_domains(members, domains)
        if change is None:
            change = succession.plan_change(self._read_status(leading, now_ms))
        match change:
            case messages.ChangeReplicas():
                event = transitions.ChangeSet(change, machine.journal.members_index)
                return machine.step(event, now_ms)
            case succession.HandOver():
                return machine.step(transitions.StartTransfer(), now_ms)
            case None:
                return []

    def _read_status(
        self, leading: leadership.Leadership, now_ms: int
    ) -> succession.SetStatus:
        self._leaving = {
            replica: requested_ms
            for replica, requested_ms in self._leaving.items()
            if now_ms - requested_ms < LEAVING_MS
        }
        return succession.SetStatus(
            self._machine.journal.members,
            self._machine.replica,
            leading.list_unresponsive(now_ms, self._replica_timeout_ms),
            frozenset(self._leaving),
            {
                replica: item.folder
                for replica, item in leading.peers.items()
                if item.match >= self._machine.commit_index
            },
            self._voter_target,
        )

    def answer_committed(self) -> list[effects.Send]:
        """Answer the committed replacements and drop those of earlier terms."""
        machine = self._machine
        current = [item for item in self._pending if item.term == machine.term]
        self._pending = [item for item in current if item.index > machine.commit_index]
        return [
            effects.Send(item.address, self._build_answer(item.request, "accepted", ""))
            for item in current
            if item.index <= machine.commit_index
        ]

    def _is_done(self, request: messages.ReplaceReplica) -> bool:
        if self._machine.commit_index < self._machine.journal.members_index:
            return False
        members = self._machine.journal.members
        added = replicas.find_replica(members, request.added) is not None
        is_removed = not request.removed or self._is_removed(request.removed)
        return is_removed and (added or not request.added)

    def _is_removed(self, replica: str) -> bool:
        """Return whether the committed set is one from which a replica was removed."""
        if self._machine.commit_index < self._machine.journal.members_index:
            return False
        members = self._machine.journal.members
        is_member = replicas.find_replica(members, replica) is not None
        return not is_member and replica in members.retired

    def _build_answer(
        self,
        request: messages.ReplaceReplica | messages.LeaveReplicas,
        outcome: str,
        reason: str,
    ) -> messages.ReplicasChanged:
        return messages.ReplicasChanged(
            request.request,
            outcome,
            reason,
            self._machine.journal.members.replicas,
            self._machine.leader,
        )
