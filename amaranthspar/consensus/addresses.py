"""Addresses at which the other replicas are reached."""

import attrs

from amaranthspar.consensus import replicas
from amaranthspar.schema import messages


@attrs.define(slots=True)
class AddressBook:
    """Addresses of replicas that answer elsewhere than the set in the log says.

    The set is changed by a leader, and a leader may be elected only once replicas that
    have moved reach one another. So the address at which a replica was last heard
    goes before the one in the set.
    """

    _moved: dict[str, str] = attrs.field(factory=dict)

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
            self._moved.pop(replica, None)
            return False
        has_changed = self.find(member) != address
        if member.address == address:
            self._moved.pop(replica, None)
        else:
            self._moved[replica] = address
        return has_changed

    def find(self, member: messages.Replica) -> str:
        """Return the address of a replica.

        Args:
            member: Replica as the set names it.
        """
        return self._moved.get(member.id, member.address)
