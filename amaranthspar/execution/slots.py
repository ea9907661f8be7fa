"""Allocation of an upstream's slots to gateways by credit-based flow control.

The credit limit of a gateway is the total number of tasks that it may have sent.
Limits and totals only grow, so lost and duplicate messages cause no error. New
limits are sent along with results; only a gateway that has tasks and no credits
gets a message of its own at once. A gateway without enough credits may send beyond
its limit to a sidecar that has just reported idle slots for which another gateway
holds the credits; the limit is then raised to the number that it sent.
"""

import attrs

REBALANCE_WAIT_MS = 1000
"""Difference in waiting time above which a gateway's request takes a slot that was
freed by a gateway with a waiting request of its own, in ms.
"""
MIN_SHARE_DIVISOR = 8
"""Neither a longer wait nor a smaller share of others takes a freed slot from a gateway
that occupies at most 1/8 of the slots.
"""


@attrs.define(slots=True)
class Share:
    """Credits and demand of one gateway.

    Attributes:
        limit: Total number of tasks that the gateway may have sent.
        reported_limit: Limit that was last sent to the gateway.
        used: Total number of tasks received and credits returned.
        running: Tasks of the gateway that run or wait at the sidecar for a slot.
        queued: Part of the gateway's waiting tasks that this upstream may take.
        oldest_wait_ms: Waiting time in ms of the gateway's oldest request for a
            response when it was reported.
        recalled: Credits recalled and not yet returned.
    """

    limit: int = 0
    reported_limit: int = 0
    used: int = 0
    running: int = 0
    queued: int = 0
    oldest_wait_ms: int = 0
    recalled: int = 0

    @property
    def unused(self) -> int:
        """Credits that the gateway holds."""
        return self.limit - self.used

    @property
    def occupied(self) -> int:
        """Slots that the gateway uses or holds credits for."""
        return self.running + self.unused

    @property
    def is_starving(self) -> bool:
        """Whether the gateway has more waiting tasks than credits."""
        return self.queued > self.unused

    @property
    def has_unreported_credits(self) -> bool:
        """Whether the gateway has credits of which none has been reported to it."""
        return self.reported_limit <= self.used < self.limit


class Allocator:
    """Allocates the slots of an upstream to gateways.

    Args:
        count: Number of slots of the upstream.

    Attributes:
        count: Number of slots of the upstream.
        running: Tasks that run or wait at the sidecar for a slot.
        shares: Shares of the responsive gateways, by process name.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.running = 0
        self.shares: dict[str, Share] = {}

    def count_free(self) -> int:
        """Return the number of slots without a task for which no credit is granted."""
        granted = sum(share.unused for share in self.shares.values())
        return self.count - self.running - granted

    def count_spare(self, name: str) -> int:
        """Return the number of idle slots for which a gateway holds no credit.

        Args:
            name: Process name of the gateway.
        """
        return max(0, self.count - self.running - self.shares[name].unused)

    def add_gateway(self, name: str) -> None:
        """Add a gateway without credits, replacing an older incarnation."""
        self.shares[name] = Share()

    def remove_gateway(self, name: str) -> None:
        """Withdraw the credits of a gateway that is unresponsive."""
        self.shares.pop(name, None)

    def update_demand(
        self, name: str, sent: int, queued: int, oldest_wait_ms: int
    ) -> None:
        """Record the demand that a gateway reports.

        Args:
            name: Process name of the gateway.
            sent: Total number of tasks sent and credits returned.
            queued: Part of its waiting tasks that this upstream may take.
            oldest_wait_ms: Waiting time of its oldest request for a response in ms.
        """
        share = self.shares[name]
        share.queued = queued
        share.oldest_wait_ms = oldest_wait_ms
        if sent > share.used:
            share.recalled = max(0, share.recalled - (sent - share.used))
            share.used = sent
        share.limit = max(share.limit, share.used)

    def start(self, name: str) -> None:
        """Count a task of a gateway that starts or waits at the sidecar for a slot."""
        self.running += 1
        self.shares[name].running += 1

    def end(self, name: str) -> None:
        """Stop counting a task of a gateway that has ended or will not start."""
        self.running -= 1
        share = self.shares.get(name)
        if share is not None and share.running:
            share.running -= 1

    def report_limit(self, name: str) -> int:
        """Return a gateway's limit and record it as reported."""
        share = self.shares[name]
        share.reported_limit = share.limit
        return share.limit

    def distribute(self, freed_by: str = "") -> list[str]:
        """Grant credits for the free slots.

        Args:
            freed_by: Gateway whose task has just ended and whose limit is sent with
                the result; it keeps the slot unless another gateway needs it more.

        Returns:
            Other gateways whose limit must be sent at once.
        """
        recipients: dict[str, None] = {}
        for _ in range(self.count_free()):
            name = self._choose_receiver(freed_by)
            if name is None:
                break
            share = self.shares[name]
            if share.is_starving:
                recipients[name] = None
            share.limit += 1
        recipients.pop(freed_by, None)
        return list(recipients)

    def lend(self, name: str) -> bool:
        """Raise a gateway's limit by idle slots for which others hold unused credits.

        Args:
            name: Gateway that needs credits.

        Returns:
            Whether its limit was raised.
        """
        share = self.shares[name]
        needed = sum(
            min(other.queued, other.unused)
            for key, other in self.shares.items()
            if key != name
        )
        idle = self.count - self.running - needed
        amount = min(share.queued, idle) - share.unused
        if amount <= 0:
            return False
        share.limit += amount
        return True

    def recall(self, name: str) -> list[str]:
        """Recall unused credits of other gateways in favour of one that needs them.

        Args:
            name: Gateway that needs credits.

        Returns:
            Gateways that must return credits.
        """
        own_unused = self.shares[name].unused
        idle = [
            key
            for key, share in self.shares.items()
            if not share.is_starving and share.unused - share.recalled > own_unused + 1
        ]
        for key in idle:
            share = self.shares[key]
            share.recalled = (share.unused - own_unused) // 2
        return idle

    def list_unreported(self) -> list[str]:
        """Return the gateways whose limit no result will report to them."""
        return [
            name
            for name, share in self.shares.items()
            if share.has_unreported_credits and not share.running
        ]

    def _choose_receiver(self, freed_by: str) -> str | None:
        if not self.shares:
            return None
        owner = self.shares.get(freed_by)
        starving = [name for name, share in self.shares.items() if share.is_starving]
        if not starving:
            least = min(self.shares, key=lambda name: self.shares[name].unused)
            if owner and owner.unused <= self.shares[least].unused + 1:
                return freed_by
            return least
        neediest = max(starving, key=self._rank_need)
        if owner is None or (owner.unused > 0 and not owner.is_starving):
            return neediest
        if not self.shares[neediest].running:
            return neediest
        if self._takes_precedence(neediest, owner):
            return neediest
        return freed_by

    def _rank_need(self, name: str) -> tuple[int, int]:
        share = self.shares[name]
        return share.oldest_wait_ms, -share.occupied

    def _takes_precedence(self, name: str, owner: Share) -> bool:
        share = self.shares[name]
        if owner.occupied <= self.count / MIN_SHARE_DIVISOR:
            return False
        if owner.oldest_wait_ms:
            gap_ms = share.oldest_wait_ms - owner.oldest_wait_ms
            return gap_ms > REBALANCE_WAIT_MS
        return (
            share.oldest_wait_ms > 0 or owner.occupied - share.occupied > self.count / 4
        )
