"""Questions about a set of replicas."""

from collections.abc import Iterable

from amaranthspar.schema import messages


def find_replica(
    members: messages.ChangeReplicas, replica: str
) -> messages.Replica | None:
    """Return a replica of a set, or nothing.

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
    """Return whether a message may come from the folder that a replica is bound to.

    A replica that lost its folder has another random number, so that nothing it
    says counts under its former id.

    Args:
        members: Set of replicas.
        replica: Replica id of the sender.
        folder: Random number of the sender's data folder.
    """
    known = find_replica(members, replica)
    return known is None or known.folder in (0, folder)


def find_quorum_value(members: messages.ChangeReplicas, values: dict[str, int]) -> int:
    """Return the greatest value that a majority of voters has reached.

    Args:
        members: Set of replicas.
        values: Value of each voter by id; a missing one counts as -1.
    """
    voters = list_voters(members)
    if not voters:
        return -1
    ordered = sorted((values.get(voter, -1) for voter in voters), reverse=True)
    return ordered[len(voters) // 2]


def is_elected(
    members: messages.ChangeReplicas, votes: Iterable[str], formed: bool
) -> bool:
    """Return whether some votes elect a leader.

    The first leader of a cluster needs every voter: only then is it certain that
    no voter has lost its folder.

    Args:
        members: Set of replicas.
        votes: Replica ids that gave their vote.
        formed: Whether the candidate's log holds any entry.
    """
    voters = set(list_voters(members))
    given = len(voters.intersection(votes))
    if not formed:
        return given == len(voters) > 0
    return given > len(voters) // 2


def bind_folders(
    members: messages.ChangeReplicas, folders: dict[str, int]
) -> messages.ChangeReplicas:
    """Return the set with each replica bound to its data folder.

    Args:
        members: Set of replicas.
        folders: Random number of the data folder by replica id.
    """
    bound = [
        messages.Replica(
            item.id, item.address, item.voter, folders.get(item.id, item.folder)
        )
        for item in members.replicas
    ]
    return messages.ChangeReplicas(bound, members.retired, members.reason)
