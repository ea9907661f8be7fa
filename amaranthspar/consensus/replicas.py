"""Questions about a set of replicas."""

from collections.abc import Iterable

from amaranthspar.schema import messages


def find_replica(
    replicas: messages.ChangeReplicas, replica: str
) -> messages.Replica | None:
    """Return a replica of a set, or nothing.

    Args:
        replicas: Set of replicas.
        replica: Replica id.
    """
    return next((item for item in replicas.replicas if item.id == replica), None)


def list_voters(replicas: messages.ChangeReplicas) -> list[str]:
    """Return the ids of the voters.

    Args:
        replicas: Set of replicas.
    """
    return [item.id for item in replicas.replicas if item.voter]


def trust_folder(replicas: messages.ChangeReplicas, replica: str, folder: int) -> bool:
    """Return whether a message may come from the folder that a replica is bound to.

    A replica that lost its folder has another random number, so that nothing it
    says counts under its former id.

    Args:
        replicas: Set of replicas.
        replica: Replica id of the sender.
        folder: Random number of the sender's data folder.
    """
    known = find_replica(replicas, replica)
    return known is None or known.folder in (0, folder)


def find_majority(replicas: messages.ChangeReplicas, values: dict[str, int]) -> int:
    """Return the greatest value that a majority of voters has reached.

    Args:
        replicas: Set of replicas.
        values: Value of each voter by id; a missing one counts as -1.
    """
    voters = list_voters(replicas)
    if not voters:
        return -1
    ordered = sorted((values.get(voter, -1) for voter in voters), reverse=True)
    return ordered[len(voters) // 2]


def win_election(
    replicas: messages.ChangeReplicas, votes: Iterable[str], formed: bool
) -> bool:
    """Return whether some votes elect a leader.

    The first leader of a cluster needs every voter: only then is it certain that
    no voter has lost its folder.

    Args:
        replicas: Set of replicas.
        votes: Replica ids that gave their vote.
        formed: Whether the candidate's log holds any entry.
    """
    voters = set(list_voters(replicas))
    given = len(voters.intersection(votes))
    if not formed:
        return given == len(voters) > 0
    return given > len(voters) // 2


def bind_folders(
    replicas: messages.ChangeReplicas, folders: dict[str, int]
) -> messages.ChangeReplicas:
    """Return the set with each replica bound to its data folder.

    Args:
        replicas: Set of replicas.
        folders: Random number of the data folder by replica id.
    """
    bound = [
        messages.Replica(
            item.id, item.address, item.voter, folders.get(item.id, item.folder)
        )
        for item in replicas.replicas
    ]
    return messages.ChangeReplicas(bound, replicas.retired, replicas.reason)
