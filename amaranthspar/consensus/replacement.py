"""Changes of the set of replicas that alter at most one voter at a time."""

import attrs

from amaranthspar import errors
from amaranthspar.consensus import replicas
from amaranthspar.schema import messages

MIN_VOTERS = 3
"""Smallest number of voters that bears a loss."""


class RefusedError(errors.DecisionError):
    """The requested change of the set of replicas is not allowed."""


def find_voter_target(tolerated_losses: int, first_count: int) -> int:
    """Return the number of voters that bears all losses to be tolerated at once.

    Args:
        tolerated_losses: Number of replicas that may be lost at the same time; 0 for a
            minority of the initial ones.
        first_count: Number of the initial replicas.
    """
    losses = tolerated_losses or (first_count - 1) // 2
    return max(2 * losses + 1, MIN_VOTERS)


def plan_replacement(
    members: messages.ChangeReplicas,
    removed: str,
    added: str,
    address: str,
    returns: bool = False,
    failure_domain: str = "",
    predecessor: str = "",
) -> messages.ChangeReplicas:
    """Return the set after removing a replica and adding another as a learner.

    A learner has no vote, so that at most one voter changes.

    Args:
        members: Current set.
        removed: Replica id to remove; empty for none.
        added: Replica id to add; empty for none.
        address: Address of the added replica.
        returns: Whether the added replica asks for it itself, so that it has the data
            folder that it had under this id before.
        failure_domain: Failure domain of the added replica; empty if it is not known.
        predecessor: Address of the host that the added one replaces; empty for none.

    Raises:
        RefusedError: The id to remove is unknown, the id to add was used before or
            has no address, or no voter would remain.
    """
    updated = [item for item in members.replicas if item.id != removed]
    if removed and len(updated) == len(members.replicas):
        raise RefusedError(f"replica {removed} is not in the set")
    used = [item.id for item in members.replicas]
    if not returns:
        used += members.retired
    if added in used:
        raise RefusedError(f"replica id {added} was used before; choose a new one")
    if added and not address:
        raise RefusedError(f"replica {added} has no address")
    if not any(item.voter for item in updated):
        raise RefusedError("no voter would be left")
    if added:
        updated.append(
            messages.Replica(added, address, False, failure_domain=failure_domain)
        )
    retired = [item for item in members.retired if item != added]
    if removed:
        retired.append(removed)
    reason = f"removed {removed or 'none'}, added {added or 'none'}"
    replaced = [*members.replaced, predecessor] if predecessor else members.replaced
    return messages.ChangeReplicas(updated, retired, reason, replaced)


def plan_join(
    members: messages.ChangeReplicas,
    joining: messages.JoinReplicas,
    unresponsive: frozenset[str],
) -> str | None:
    """Return the replica that a joining one replaces; empty for none.

    A new replica at the address of a member has lost the data folder of that member and
    replaces it. Any other replaces an unresponsive learner, if there is one; an
    unresponsive voter is removed by `plan_removal` once the new one votes, because it
    may still hold its folder. A replica that was removed while it was silent, and kept
    its folder, is added again; its request may have been delayed until another replica
    has its address.

    Args:
        members: Current set.
        joining: Request of the new replica.
        unresponsive: Ids of replicas that have not answered the leader recently.

    Returns:
        Replica id to remove, or nothing if the joining one is already in the set or
        its request is older than the replica at its address.
    """
    if any(item.id == joining.replica for item in members.replicas):
        return None
    for item in members.replicas:
        if item.address == joining.address:
            return None if joining.replica in members.retired else item.id
    learners = [item.id for item in members.replicas if not item.voter]
    return next((learner for learner in learners if learner in unresponsive), "")


def plan_move(
    members: messages.ChangeReplicas, replica: str, address: str
) -> messages.ChangeReplicas | None:
    """Return the set with a replica at another address; none if nothing changes.

    While another member has that address, the set stays: a replica that joins replaces
    the member at its address, which has to be one.

    Args:
        members: Current set.
        replica: Replica id.
        address: Address from which it answers.
    """
    member = replicas.find_replica(members, replica)
    if member is None or any(item.address == address for item in members.replicas):
        return None
    changed = [
        attrs.evolve(item, address=address) if item.id == replica else item
        for item in members.replicas
    ]
    reason = f"moved {replica} from {member.address} to {address}"
    replaced = [
        address if item == member.address else item for item in members.replaced
    ]
    return messages.ChangeReplicas(changed, members.retired, reason, replaced)


def plan_removal(
    members: messages.ChangeReplicas, unresponsive: frozenset[str], target: int
) -> str:
    """Return an unresponsive voter that should be removed; empty for none.

    A new replica may have been added before the one that it replaces was found to be
    lost.

    Args:
        members: Current set.
        unresponsive: Ids of replicas that have not answered the leader recently.
        target: Number of voters that bears the losses to be tolerated.
    """
    voters = replicas.list_voters(members)
    unresponsive_voters = [voter for voter in voters if voter in unresponsive]
    responsive = len(voters) - len(unresponsive_voters)
    if not unresponsive_voters or 2 * responsive <= len(voters) - 1:
        return ""
    return unresponsive_voters[0] if has_spare_voter(members, target) else ""


def has_spare_voter(members: messages.ChangeReplicas, target: int) -> bool:
    """Return whether the set tolerates enough failures without one of its voters.

    An even number of voters tolerates no more failures than one voter fewer. A number
    beyond the target arises while several replicas are being replaced; each replaced
    one that stayed a voter would use up a tolerated loss for good.

    Two voters need each other: what one of them confirmed alone would be lost with it.

    Args:
        members: Set of replicas.
        target: Number of voters that bears the losses to be tolerated.
    """
    count = len(replicas.list_voters(members))
    return count > MIN_VOTERS and (count % 2 == 0 or count > target)


def check_leave(
    members: messages.ChangeReplicas,
    leaving: str,
    unresponsive: frozenset[str],
    target: int,
) -> None:
    """Check that the set can spare a replica that is about to stop.

    A learner always is. Without a voter, a majority of the remaining ones must respond.

    Args:
        members: Current set.
        leaving: Replica id.
        unresponsive: Ids of replicas that have not answered the leader recently.
        target: Number of voters that bears the losses to be tolerated.

    Raises:
        RefusedError: The replica is not in the set, or the set cannot spare it.
    """
    if replicas.find_replica(members, leaving) is None:
        raise RefusedError(f"replica {leaving} is not in the set")
    voters = replicas.list_voters(members)
    if leaving not in voters:
        return
    remaining = [voter for voter in voters if voter != leaving]
    responsive = [voter for voter in remaining if voter not in unresponsive]
    if not has_spare_voter(members, target):
        raise RefusedError(f"a set of {len(voters)} voters can spare none")
    if 2 * len(responsive) <= len(remaining):
        raise RefusedError("no majority of the remaining voters responds")


def plan_promotion(
    members: messages.ChangeReplicas, learner: str, folder: int
) -> messages.ChangeReplicas:
    """Return the set with a learner made a voter and bound to its data folder.

    Args:
        members: Current set.
        learner: Replica id of a learner that has caught up.
        folder: Random number of its data folder.
    """
    changed = [
        attrs.evolve(item, voter=True, folder=folder) if item.id == learner else item
        for item in members.replicas
    ]
    return attrs.evolve(members, replicas=changed, reason=f"promoted {learner}")


def plan_demotion(
    members: messages.ChangeReplicas, voter: str
) -> messages.ChangeReplicas:
    """Return the set with a voter made a learner.

    Args:
        members: Current set.
        voter: Replica id of a voter.
    """
    changed = [
        attrs.evolve(item, voter=False) if item.id == voter else item
        for item in members.replicas
    ]
    return attrs.evolve(members, replicas=changed, reason=f"demoted {voter}")
