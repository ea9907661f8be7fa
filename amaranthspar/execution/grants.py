"""Grants of credits from a sidecar to its gateways."""

from amaranthspar import effects
from amaranthspar.execution import gateways, slots
from amaranthspar.schema import messages


class CreditGranter:
    """Distributes free slots to gateways and builds the messages that grant credits.

    Args:
        allocator: Allocation of the upstream's slots.
        gateways: Gateways that send tasks to the sidecar.

    Attributes:
        is_granting: Whether free slots are distributed; false while no task may
            start.
    """

    def __init__(self, allocator: slots.Allocator, gateways: gateways.Gateways) -> None:
        self.is_granting = False
        self._allocator = allocator
        self._gateways = gateways

    def update_demand(
        self,
        gateway: gateways.Gateway,
        message: messages.StartTasks | messages.ReportDemand,
    ) -> None:
        """Record the demand that a gateway reports.

        Args:
            gateway: Gateway.
            message: Message that contains its demand.
        """
        self._allocator.update_demand(
            gateway.name, message.sent, message.queued, message.oldest_wait_ms
        )

    def answer_demand(
        self, gateway: gateways.Gateway, message: messages.ReportDemand
    ) -> list[effects.Send]:
        """Return the grants that follow from a gateway's report of its demand.

        Args:
            gateway: Gateway.
            message: Report of its demand.
        """
        self.update_demand(gateway, message)
        share = self._allocator.shares[gateway.name]
        recipients = dict.fromkeys(self.redistribute())
        needs_credits = self.is_granting and not message.limit > message.sent
        if needs_credits and (self._allocator.lend(gateway.name) or not share.unused):
            recipients.update(dict.fromkeys(self._allocator.recall(gateway.name)))
        if message.limit < share.limit:
            recipients[gateway.name] = None
        return self.build_grants(list(recipients))

    def redistribute(self, freed_by: str = "") -> list[str]:
        """Distribute free slots, unless no task may start.

        Args:
            freed_by: Gateway whose task has just ended; empty for none.

        Returns:
            Gateways whose limit must be sent at once.
        """
        if not self.is_granting:
            return []
        return self._allocator.distribute(freed_by)

    def grant_pending(self) -> list[effects.Send]:
        """Distribute free slots and return the grants that cannot wait for a result."""
        recipients = dict.fromkeys(self.redistribute())
        recipients.update(dict.fromkeys(self._allocator.list_unreported()))
        return self.build_grants(list(recipients))

    def build_grants(self, names: list[str]) -> list[effects.Send]:
        """Return messages that grant gateways their credits.

        Args:
            names: Process names of the gateways.
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
        """Return messages that recall every credit."""
        for share in self._allocator.shares.values():
            share.recalled = max(0, share.unused)
        return self.build_grants(list(self._allocator.shares))
