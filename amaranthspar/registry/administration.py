"""Replaces, adds and removes replicas on the leader, and answers operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from amaranthspar import effects
from amaranthspar.consensus import replacement, replicas, transitions
from amaranthspar.schema import messages

if TYPE_CHECKING:
    from amaranthspar.consensus import consensus

REPLICA_TIMEOUT_MS = 3_000
"""Time without messages after which a replica may be replaced; a restart takes about
1 s."""
LEADER_TIMEOUT_MS = 1_500
"""Time without a leader after which a replica asks whether it is still in the set."""


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
        """Return whether the set, as this replica knows it, has a voter to spare."""
        return replacement.has_spare_voter(
            self._machine.journal.members, self._voter_target
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
        event = transitions.Replace(removed, joining.replica, joining.address, True)
        return self._machine.step(event, now_ms)

    def leave(
        self, address: str, leaving: messages.LeaveReplicas, now_ms: int
    ) -> list[transitions.Effect]:
        """Remove a stopping replica from the set, if the set can spare it.

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
            replacement.check_leave(
                members,
                leaving.replica,
                leading.list_unresponsive(now_ms, self._replica_timeout_ms),
                self._voter_target,
            )
        except replacement.RefusedError as error:
            answer = self._build_answer(leaving, "refused", str(error))
            return [effects.Send(address, answer)]
        return self._change(
            address, leaving, transitions.Replace(leaving.replica, "", ""), now_ms
        )

    def remove_unresponsive(self, now_ms: int) -> list[transitions.Effect]:
        """Remove an unresponsive voter that the set can spare.

        Args:
            now_ms: Monotonic clock in ms.

        Returns:
            Effects to carry out in order.
        """
        leading = self._machine.leading
        if leading is None:
            return []
        unresponsive = leading.list_unresponsive(now_ms, self._replica_timeout_ms)
        removed = replacement.plan_removal(
            self._machine.journal.members, unresponsive, self._voter_target
        )
        if not removed:
            return []
        return self._machine.step(transitions.Replace(removed, "", ""), now_ms)

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
