"""Decides under which replica id a controller takes part."""

import secrets

import attrs

ID_BYTES = 6
"""Random bytes in the id of a replica that joins later."""


@attrs.frozen(slots=True)
class Plan:
    """How a controller takes part.

    Attributes:
        replica: Replica id.
        first: First set of replicas as ``id=address``; empty for one that joins.
        join: Controllers that take it in where the set does not name it.
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
    """Return how a controller takes part.

    A replica of the first set is named after its host. One that finds its data folder
    empty later has lost its vote: it joins under a new id.

    Args:
        host: Name of this host among the seeds.
        address: Address of this controller.
        stored: Replica id that the data folder holds; empty for an empty folder.
        seeds: Addresses of the first controllers by host.
        is_first_start: Whether the whole system starts for the first time.
    """
    join = [item for item in seeds.values() if item != address]
    first = [f"{name}={item}" for name, item in seeds.items()]
    if stored:
        return Plan(stored, first if stored == host else [], join)
    if is_first_start and host in seeds:
        return Plan(host, first, join)
    return Plan(f"{host}-{secrets.token_hex(ID_BYTES)}", [], join)
