"""Credits of a sidecar's gateways, and what these are told of them."""

from amaranthspar import effects
from amaranthspar.execution import peers, slots
from amaranthspar.schema import messages


class Grants:
    """Distributes free slots and states the limits to gateways.

    Args:
        shared: Slots of the upstream.
        known: Gateways.
    """

    def __init__(self, shared: slots.Slots, known: peers.Peers) -> None:
        self.is_open = False
        self._slots = shared
        self._peers = known

    def note_share(
        self, peer: peers.Peer, message: messages.StartTasks | messages.ReportDemand
    ) -> None:
        """Take what a gateway states of its work.

        Args:
            peer: Gateway.
            message: Its message.
        """
        self._slots.note_demand(
            peer.name, message.sent, message.queued, message.oldest_wait_ms
        )

    def answer_demand(
        self, peer: peers.Peer, message: messages.ReportDemand
    ) -> list[effects.Send]:
        """Distribute slots after a gateway has stated its demand.

        Args:
            peer: Gateway.
            message: Its demand.
        """
        self.note_share(peer, message)
        share = self._slots.shares[peer.name]
        told = dict.fromkeys(self.redistribute())
        asks = self.is_open and not message.limit > message.sent
        if asks and (self._slots.lend(peer.name) or not share.unused):
            told.update(dict.fromkeys(self._slots.recall(peer.name)))
        if message.limit < share.limit:
            told[peer.name] = None
        return self.state(list(told))

    def redistribute(self, freed_for: str = "") -> list[str]:
        """Hand free slots out, unless nothing may start.

        Args:
            freed_for: Gateway whose task has just ended; empty for none.

        Returns:
            Gateways that are to be told.
        """
        if not self.is_open:
            return []
        return self._slots.distribute(freed_for)

    def state_changes(self) -> list[effects.Send]:
        """Hand free slots out and tell the gateways that wait to be told."""
        told = dict.fromkeys(self.redistribute())
        told.update(dict.fromkeys(self._slots.list_untold()))
        return self.state(list(told))

    def state(self, names: list[str]) -> list[effects.Send]:
        """Tell gateways of their credits.

        Args:
            names: Gateways.
        """
        result: list[effects.Send] = []
        for name in names:
            peer = self._peers[name]
            share = self._slots.shares[name]
            grant = messages.GrantCredits(
                self._slots.state_limit(name),
                peer.incarnation,
                share.recalled,
                self._slots.count,
                peer.received,
            )
            result.append(effects.Send(peer.address, grant))
        return result

    def take_back(self) -> list[effects.Send]:
        """Ask for every credit back."""
        for share in self._slots.shares.values():
            share.recalled = max(0, share.unused)
        return self.state(list(self._slots.shares))
