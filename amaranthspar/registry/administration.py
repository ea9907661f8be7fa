"""Answers operators who replace replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from amaranthspar import effects
from amaranthspar.consensus import replacement, replicas, transitions
from amaranthspar.schema import messages

if TYPE_CHECKING:
    from amaranthspar.consensus import consensus

REPLICA_TIMEOUT_MS = 3_000
"""Silence after which a replica gives way to a new one; a restart takes about 1 s."""


@attrs.frozen(slots=True)
class _Waiting:
    """A replacement that is in the log but not yet committed."""

    address: str
    index: int
    term: int
    request: messages.ReplaceReplica


class ReplicaAdministration:
    """Replacements asked of one controller.

    Args:
        machine: Consensus of this replica.
    """

    def __init__(self, machine: consensus.Consensus) -> None:
        self._machine = machine
        self._waiting: list[_Waiting] = []

    def replace(
        self, address: str, request: messages.ReplaceReplica, now_ms: int
    ) -> list[transitions.Effect]:
        """Take a request on the leader.

        Args:
            address: Address for the answer.
            request: What to replace.
            now_ms: Monotonic clock in ms.

        Returns:
            Effects to carry out in order.
        """
        if self._is_done(request):
            return [effects.Send(address, self._build(request, "accepted", ""))]
        event = transitions.Replace(request.removed, request.added, request.address)
        result = self._machine.step(event, now_ms)
        refused = [item for item in result if isinstance(item, transitions.Refuse)]
        if refused:
            answer = self._build(request, "refused", refused[0].reason)
            return [*result, effects.Send(address, answer)]
        index = self._machine.journal.log.last_index
        self._waiting.append(_Waiting(address, index, self._machine.term, request))
        return result

    def join(
        self, joining: messages.JoinReplicas, now_ms: int
    ) -> list[transitions.Effect]:
        """Take a replica that asks for it into the set; it asks again until it is.

        Args:
            joining: New replica.
            now_ms: Monotonic clock in ms.

        Returns:
            Effects to carry out in order.
        """
        leading = self._machine.leading
        if leading is None:
            return []
        silent = leading.list_silent(now_ms, REPLICA_TIMEOUT_MS)
        members = self._machine.journal.members
        removed = replacement.plan_join(members, joining, silent)
        if removed is None:
            return []
        event = transitions.Replace(removed, joining.replica, joining.address)
        return self._machine.step(event, now_ms)

    def remove_unresponsive(self, now_ms: int) -> list[transitions.Effect]:
        """Remove a silent voter that makes the number of voters even.

        Args:
            now_ms: Monotonic clock in ms.

        Returns:
            Effects to carry out in order.
        """
        leading = self._machine.leading
        if leading is None:
            return []
        silent = leading.list_silent(now_ms, REPLICA_TIMEOUT_MS)
        removed = replacement.plan_removal(self._machine.journal.members, silent)
        if not removed:
            return []
        return self._machine.step(transitions.Replace(removed, "", ""), now_ms)

    def answer_committed(self) -> list[effects.Send]:
        """Answer the replacements that are committed, and forget those of old terms."""
        machine = self._machine
        current = [item for item in self._waiting if item.term == machine.term]
        self._waiting = [item for item in current if item.index > machine.commit_index]
        return [
            effects.Send(item.address, self._build(item.request, "accepted", ""))
            for item in current
            if item.index <= machine.commit_index
        ]

    def _is_done(self, request: messages.ReplaceReplica) -> bool:
        if self._machine.commit_index < self._machine.journal.members_index:
            return False
        members = self._machine.journal.members
        removed = replicas.find_replica(members, request.removed) is None
        added = replicas.find_replica(members, request.added) is not None
        gone = not request.removed or (removed and request.removed in members.retired)
        return gone and (added or not request.added)

    def _build(
        self, request: messages.ReplaceReplica, outcome: str, reason: str
    ) -> messages.ReplicasChanged:
        return messages.ReplicasChanged(
            request.request,
            outcome,
            reason,
            self._machine.journal.members.replicas,
            self._machine.leader,
        )
