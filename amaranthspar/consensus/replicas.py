"""Functions on a set of replicas: lookup, majorities and data folders."""

from collections.abc import Iterable

import attrs

from amaranthspar.schema import messages


def find_replica(
    members: messages.ChangeReplicas, replica: str
) -> messages.Replica | None:
    """Return the replica with an id, or nothing.

    Args:
        members: Set of replicas.
        replica: Replica id.
    """
    return next((item for item in members.replicas if item.id == replica), None)


def list_voters(members: messages.ChangeReplicas) -> list[str]:
    """Return the ids of the voters.

    Args:
        members: Set of replicas.
    """
    return [item.id for item in members.replicas if item.voter]


def check_folder(members: messages.ChangeReplicas, replica: str, folder: int) -> bool:
    """Return whether a sender has the data folder that its replica id is bound to.

    A replica that lost its folder has another random number, so that its messages
    under its former id are rejected. Unknown and unbound replicas are accepted.

    Args:
        members: Set of replicas.
        replica: Replica id of the sender.
        folder: Random number of the sender's data folder.
    """
    member = find_replica(members, replica)
    return member is None or member.folder in (0, folder)


def find_quorum_value(members: messages.ChangeReplicas, values: dict[str, int]) -> int:
    """Return the greatest value that a majority of voters has reached.

    Args:
        members: Set of replicas.
        values: Value by replica id; a missing one counts as -1.
    """
    voters = list_voters(members)
    if not voters:
        return -1
    ordered = sorted((values.get(voter, -1) for voter in voters), reverse=True)
    return ordered[len(voters) // 2]


def is_elected(
    members: messages.ChangeReplicas, votes: Iterable[str], formed: bool
) -> bool:
    """Return whether the granted votes elect a leader.

    The first leader of a cluster needs the votes of all voters, because only then is
    it certain that no voter has lost its data folder.

    Args:
        members: Set of replicas.
        votes: Ids of the replicas that granted their vote.
        formed: Whether the cluster is formed: the candidate's log has had any entry.
    """
    voters = set(list_voters(members))
    granted = len(voters.intersection(votes))
    if not formed:
        return granted == len(voters) > 0
    return granted > len(voters) // 2


def bind_folders(
    members: messages.ChangeReplicas, folders: dict[str, int]
) -> messages.ChangeReplicas:
    """Return the set of replicas with each bound to its data folder.

    Args:
        members: Set of replicas.
        folders: Random numbers of the data folders by replica id.
    """
    bound = [
        attrs.evolve(item, folder=folders.get(item.id, item.folder))
        for item in members.replicas
    ]
    return attrs.evolve(members, replicas=bound)
