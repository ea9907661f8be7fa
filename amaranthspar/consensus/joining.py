"""Choice of the replica id under which a controller joins the consensus."""

import secrets

import attrs

ID_BYTES = 6
"""Random bytes in the id of a replica outside the initial set."""


@attrs.frozen(slots=True)
class Plan:
    """Replica id and cluster addresses with which a controller starts.

    Attributes:
        replica: Replica id.
        first: Initial set of replicas as ``id=address``; empty for one that joins
            later.
        join: Addresses of the controllers to ask for admission if the set of replicas
            does not contain this one.
    """

    replica: str
    first: list[str]
    join: list[str]


def plan_replica(
    host: str,
    address: str,
    stored: str,
    seeds: dict[str, str],
    is_first_start: bool,
) -> Plan:
    """Return the replica id and cluster addresses of a starting controller.

    A replica of the initial set is named after its host. If its data folder is empty at
    a later start, its vote is lost, and it joins under a new id.

    Args:
        host: Name of this host among the seeds.
        address: Address of this controller.
        stored: Replica id in the data folder; empty for an empty folder.
        seeds: Addresses of the initial controllers by host.
        is_first_start: Whether the whole system starts for the first time.
    """
    join = [item for item in seeds.values() if item != address]
    first = [f"{name}={item}" for name, item in seeds.items()]
    if stored:
        return Plan(stored, first if stored == host else [], join)
    if is_first_start and host in seeds:
        return Plan(host, first, join)
    return Plan(f"{host}-{secrets.token_hex(ID_BYTES)}", [], join)
