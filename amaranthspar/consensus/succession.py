"""Decisions on which replicas vote while hosts are replaced.

A host may be removed without a word, and another one lose its disk right after. So the
vote of a host is taken over before it goes: by a newer host in its failure domain, once
that one votes. The older one stays in the set as a learner, and votes again while too few
others do.
"""

import attrs

from amaranthspar.consensus import replacement, replicas
from amaranthspar.schema import messages


@attrs.frozen(slots=True)
class SetStatus:
    """What a leader knows of its set of replicas.

    Attributes:
        members: Current set.
        leader: Replica id of the leader.
        unresponsive: Ids of replicas that have not answered the leader recently.
        leaving: Ids of voters that are about to stop.
        folders: Random numbers of the data folders by replica id, of those that have
            caught up.
        target: Number of voters that bears the losses to be tolerated.
    """

    members: messages.ChangeReplicas
    leader: str
    unresponsive: frozenset[str]
    leaving: frozenset[str]
    folders: dict[str, int]
    target: int

    @property
    def departing(self) -> frozenset[str]:
        """Ids of replicas whose votes cannot be relied on."""
        return self.unresponsive | self.leaving


@attrs.frozen(slots=True)
class HandOver:
    """The leader is to hand over leadership, because its vote is taken over."""


def find_predecessor(
    members: messages.ChangeReplicas, joining: messages.JoinReplicas, target: int
) -> str:
    """Return the address of the host that a joining one replaces; empty for none.

    It is the oldest one in its failure domain for which no successor has joined yet. A
    host that was in the set before replaces none, nor does one that joins an incomplete
    set.

    Args:
        members: Current set.
        joining: Request of the new replica.
        target: Number of voters that bears the losses to be tolerated.
    """
    known = {item.address for item in members.replicas}.union(members.replaced)
    is_back = joining.replica in members.retired or joining.address in known
    if is_back or not joining.failure_domain or len(members.replicas) < target:
        return ""
    candidates = [
        item.address
        for item in members.replicas
        if item.failure_domain == joining.failure_domain
        and item.address not in members.replaced
    ]
    return next(iter(candidates), "")


def is_replaced(members: messages.ChangeReplicas, replica: messages.Replica) -> bool:
    """Return whether the successor of a replica's host votes.

    Args:
        members: Current set.
        replica: Replica of the set.
    """
    return replica.address in members.replaced and any(
        item.voter
        and item.failure_domain == replica.failure_domain
        and item.address not in members.replaced
        for item in members.replicas
    )


def is_vote_useful(
    members: messages.ChangeReplicas, learner: str, waiting: int, target: int
) -> bool:
    """Return whether the set bears more losses once a learner votes.

    An even number of voters bears no more losses than one voter fewer, and the loss of
    the last one would count. The votes that are taken over by that of the learner are
    not counted.

    Args:
        members: Current set.
        learner: Replica id of the learner.
        waiting: Number of other learners that could vote at once.
        target: Number of voters that bears the losses to be tolerated.
    """
    after = replacement.plan_promotion(members, learner, 0)
    promoted = replicas.find_replica(after, learner)
    if promoted is None or is_replaced(after, promoted):
        return False
    lasting = sum(
        item.voter and not is_replaced(after, item) for item in after.replicas
    )
    return lasting <= target or lasting % 2 == 1 or waiting > 0


def plan_domains(
    members: messages.ChangeReplicas, domains: dict[str, str]
) -> messages.ChangeReplicas | None:
    """Return the set with the failure domains of its hosts; none if nothing changes.

    Args:
        members: Current set.
        domains: Failure domains by replica id; empty if one is not known.
    """
    changed = [
        attrs.evolve(
            item, failure_domain=domains.get(item.id, "") or item.failure_domain
        )
        for item in members.replicas
    ]
    if changed == members.replicas:
        return None
    return attrs.evolve(members, replicas=changed, reason="failure domains recorded")


def plan_change(status: SetStatus) -> messages.ChangeReplicas | HandOver | None:
    """Return the next change of the set, of at most one vote; none if there is none.

    Args:
        status: What the leader knows of the set.
    """
    return _plan_departure(status) or _plan_stand_in(status) or _plan_demotion(status)


def find_stand_in(status: SetStatus) -> str:
    """Return a learner that can vote in place of another one; empty for none.

    The one that joined last is the least likely to be removed.

    Args:
        status: What the leader knows of the set.
    """
    learners = [
        item.id
        for item in status.members.replicas
        if not item.voter
        and item.id in status.folders
        and item.id not in status.departing
    ]
    return learners[-1] if learners else ""


def _plan_departure(status: SetStatus) -> messages.ChangeReplicas | None:
    """Remove a learner that does not respond, or a departing voter that can be spared."""
    members = status.members
    for item in members.replicas:
        if not item.voter and item.id in status.unresponsive:
            return replacement.plan_replacement(members, item.id, "", "")
    removed = replacement.plan_removal(members, status.departing, status.target)
    if not removed:
        return None
    return replacement.plan_replacement(members, removed, "", "")


def _plan_stand_in(status: SetStatus) -> messages.ChangeReplicas | None:
    """Promote a learner if too few voters can be relied on."""
    voters = replicas.list_voters(status.members)
    reliable = [voter for voter in voters if voter not in status.departing]
    stand_in = find_stand_in(status)
    if not stand_in or len(reliable) >= status.target:
        return None
    return replacement.plan_promotion(
        status.members, stand_in, status.folders[stand_in]
    )


def _plan_demotion(status: SetStatus) -> messages.ChangeReplicas | HandOver | None:
    """Take the vote of a replaced replica if enough others vote."""
    members = status.members
    voters = replicas.list_voters(members)
    reliable = [voter for voter in voters if voter not in status.departing]
    replaced = [
        item.id
        for item in members.replicas
        if item.voter and is_replaced(members, item)
    ]
    if not replaced or len(reliable) - (replaced[0] in reliable) < status.target:
        return None
    if replaced[0] == status.leader:
        return HandOver()
    return replacement.plan_demotion(members, replaced[0])
