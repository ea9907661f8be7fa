"""Addresses at which the other replicas are reached."""

import attrs

from amaranthspar.consensus import replicas
from amaranthspar.schema import messages


@attrs.frozen(slots=True)
class _Move:
    """Address at which a replica was heard, and the one that the set had then."""

    heard: str
    listed: str


@attrs.define(slots=True)
class AddressBook:
    """Addresses of replicas that answer elsewhere than the set in the log says.

    The set is changed by a leader, and a leader may be elected only once replicas that
    have moved reach one another. So the address at which a replica was last heard
    goes before the one in the set, until the set names another one.
    """

    _moves: dict[str, _Move] = attrs.field(factory=dict)

    def note(
        self, members: messages.ChangeReplicas, replica: str, address: str
    ) -> bool:
        """Note at which address a replica was heard.

        Args:
            members: Current set of replicas; others are not noted.
            replica: Replica id.
            address: Address at which it listens.

        Returns:
            Whether it is reached at another address than before.
        """
        member = replicas.find_replica(members, replica)
        if member is None:
            self._moves.pop(replica, None)
            return False
        has_changed = self.find(member) != address
        if member.address == address:
            self._moves.pop(replica, None)
        elif has_changed:
            self._moves[replica] = _Move(address, member.address)
        return has_changed

    def find(self, member: messages.Replica) -> str:
        """Return the address of a replica.

        Args:
            member: Replica as the set names it.
        """
        move = self._moves.get(member.id)
        if move is None or move.listed != member.address:
            return member.address
        return move.heard
