"""Credits of a sidecar's gateways, and what these are notified of them."""

from amaranthspar import effects
from amaranthspar.execution import gateways, slots
from amaranthspar.schema import messages


class CreditGranter:
    """Distributes free slots and states the limits to gateways.

    Args:
        allocator: Slots of the upstream.
        known_gateways: Gateways.
    """

    def __init__(
        self, allocator: slots.Allocator, known_gateways: gateways.Gateways
    ) -> None:
        self.is_granting = False
        self._allocator = allocator
        self._gateways = known_gateways

    def update_demand(
        self,
        gateway: gateways.Gateway,
        message: messages.StartTasks | messages.ReportDemand,
    ) -> None:
        """Take what a gateway states of its work.

        Args:
            gateway: Gateway.
            message: Its message.
        """
        self._allocator.update_demand(
            gateway.name, message.sent, message.queued, message.oldest_wait_ms
        )

    def answer_demand(
        self, gateway: gateways.Gateway, message: messages.ReportDemand
    ) -> list[effects.Send]:
        """Distribute slots after a gateway has stated its demand.

        Args:
            gateway: Gateway.
            message: Its demand.
        """
        self.update_demand(gateway, message)
        share = self._allocator.shares[gateway.name]
        notified = dict.fromkeys(self.redistribute())
        needs_credits = self.is_granting and not message.limit > message.sent
        if needs_credits and (self._allocator.lend(gateway.name) or not share.unused):
            notified.update(dict.fromkeys(self._allocator.recall(gateway.name)))
        if message.limit < share.limit:
            notified[gateway.name] = None
        return self.build_grants(list(notified))

    def redistribute(self, freed_by: str = "") -> list[str]:
        """Hand free slots out, unless nothing may start.

        Args:
            freed_by: Gateway whose task has just ended; empty for none.

        Returns:
            Gateways that are to be notified.
        """
        if not self.is_granting:
            return []
        return self._allocator.distribute(freed_by)

    def grant_pending(self) -> list[effects.Send]:
        """Hand free slots out and tell the gateways that wait to be notified."""
        notified = dict.fromkeys(self.redistribute())
        notified.update(dict.fromkeys(self._allocator.list_unreported()))
        return self.build_grants(list(notified))

    def build_grants(self, names: list[str]) -> list[effects.Send]:
        """Tell gateways of their credits.

        Args:
            names: Gateways.
        """
        result: list[effects.Send] = []
        for name in names:
            gateway = self._gateways[name]
            share = self._allocator.shares[name]
            grant = messages.GrantCredits(
                self._allocator.report_limit(name),
                gateway.incarnation,
                share.recalled,
                self._allocator.count,
                gateway.received_sequence,
            )
            result.append(effects.Send(gateway.address, grant))
        return result

    def recall_all(self) -> list[effects.Send]:
        """Ask for every credit back."""
        for share in self._allocator.shares.values():
            share.recalled = max(0, share.unused)
        return self.build_grants(list(self._allocator.shares))
