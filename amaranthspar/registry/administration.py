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


@attrs.frozen(slots=True)
class _PendingReplacement:
    """A requested replacement that is in the log but not yet committed."""

    address: str
    index: int
    term: int
    request: messages.ReplaceReplica


class ReplicaAdministration:
    """Handles changes of the set of replicas at one controller.

    Args:
        machine: Consensus of this replica.
    """

    def __init__(self, machine: consensus.Consensus) -> None:
        self._machine = machine
        self._pending: list[_PendingReplacement] = []

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

        A replica repeats its request until it is in the set.

        Args:
            joining: Request of the new replica.
            now_ms: Monotonic clock in ms.

        Returns:
            Effects to carry out in order.
        """
        leading = self._machine.leading
        if leading is None:
            return []
        unresponsive = leading.list_unresponsive(now_ms, REPLICA_TIMEOUT_MS)
        members = self._machine.journal.members
        removed = replacement.plan_join(members, joining, unresponsive)
        if removed is None:
            return []
        event = transitions.Replace(removed, joining.replica, joining.address)
        return self._machine.step(event, now_ms)

    def remove_unresponsive(self, now_ms: int) -> list[transitions.Effect]:
        """Remove an unresponsive voter if the number of voters is even.

        Args:
            now_ms: Monotonic clock in ms.

        Returns:
            Effects to carry out in order.
        """
        leading = self._machine.leading
        if leading is None:
            return []
        unresponsive = leading.list_unresponsive(now_ms, REPLICA_TIMEOUT_MS)
        removed = replacement.plan_removal(self._machine.journal.members, unresponsive)
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
        removed = replicas.find_replica(members, request.removed) is None
        added = replicas.find_replica(members, request.added) is not None
        is_removed = not request.removed or (
            removed and request.removed in members.retired
        )
        return is_removed and (added or not request.added)

    def _build_answer(
        self, request: messages.ReplaceReplica, outcome: str, reason: str
    ) -> messages.ReplicasChanged:
        return messages.ReplicasChanged(
            request.request,
            outcome,
            reason,
            self._machine.journal.members.replicas,
            self._machine.leader,
        )
