"""Slots of an upstream, handed out to gateways as credits.

A gateway may have sent as many tasks in total as its credit limit says. The
counters only grow, so lost and doubled messages do no harm. New limits ride on
results; only a gateway that has work and no credits is notified at once. A gateway that
starves may send beyond its limit to a sidecar that has just reported idle slots for
which another gateway holds the credits; the limit then follows what it sent.
"""

import attrs

REBALANCE_WAIT_MS = 1000
MIN_SHARE_DIVISOR = 8


@attrs.define(slots=True)
class Share:
    """One gateway's part of the slots.

    Attributes:
        limit: Total of tasks that the gateway may have sent.
        stated: Limit that the gateway was notified last.
        used: Total of tasks received and of credits handed back.
        running: Tasks of the gateway that run.
        queued: Part of the gateway's waiting tasks that this upstream may take.
        oldest_wait_ms: Wait of the oldest request for a response when reported.
        recalled: Credits asked back and not yet returned.
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
        """Slots that the gateway uses or may use."""
        return self.running + self.unused

    @property
    def is_starving(self) -> bool:
        """Whether the gateway has more tasks than credits."""
        return self.queued > self.unused

    @property
    def has_unreported_credits(self) -> bool:
        """Whether the gateway holds credits only by a limit not yet stated."""
        return self.reported_limit <= self.used < self.limit


class Allocator:
    """Allocation of slots to gateways.

    Args:
        count: Slots of the upstream.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.running = 0
        self.shares: dict[str, Share] = {}

    def count_free(self) -> int:
        """Return the slots that neither run a task nor stand for a credit."""
        granted = sum(share.unused for share in self.shares.values())
        return self.count - self.running - granted

    def count_spare(self, name: str) -> int:
        """Return the idle slots for which a gateway holds no credit.

        Args:
            name: Gateway.
        """
        return max(0, self.count - self.running - self.shares[name].unused)

    def add_gateway(self, name: str) -> None:
        """Add a gateway without credits, replacing an older incarnation."""
        self.shares[name] = Share()

    def remove_gateway(self, name: str) -> None:
        """Take back the credits of a gateway that is gone."""
        self.shares.pop(name, None)

    def update_demand(
        self, name: str, sent: int, queued: int, oldest_wait_ms: int
    ) -> None:
        """Take what a gateway states with a start or a report.

        Args:
            name: Gateway.
            sent: Total of tasks sent and of credits handed back.
            queued: Part of its waiting tasks that this upstream may take.
            oldest_wait_ms: Wait of its oldest request for a response.
        """
        share = self.shares[name]
        share.queued = queued
        share.oldest_wait_ms = oldest_wait_ms
        if sent > share.used:
            share.recalled = max(0, share.recalled - (sent - share.used))
            share.used = sent
        share.limit = max(share.limit, share.used)

    def start(self, name: str) -> None:
        """Note that a task of a gateway starts."""
        self.running += 1
        self.shares[name].running += 1

    def end(self, name: str) -> None:
        """Note that a task of a gateway has ended."""
        self.running -= 1
        share = self.shares.get(name)
        if share is not None and share.running:
            share.running -= 1

    def report_limit(self, name: str) -> int:
        """Return a gateway's limit, which is about to be notified to it."""
        share = self.shares[name]
        share.reported_limit = share.limit
        return share.limit

    def distribute(self, freed_by: str = "") -> list[str]:
        """Hand free slots out.

        Args:
            freed_by: Gateway whose task has just ended and that is notified of its
                limit anyway; it keeps the slot unless another one needs it more.

        Returns:
            Other gateways that are to be notified at once.
        """
        notified: dict[str, None] = {}
        for _ in range(self.count_free()):
            name = self._choose_receiver(freed_by)
            if name is None:
                break
            share = self.shares[name]
            if share.is_starving:
                notified[name] = None
            share.limit += 1
        notified.pop(freed_by, None)
        return list(notified)

    def lend(self, name: str) -> bool:
        """Raise a gateway's limit by slots that lie idle for other gateways.

        Args:
            name: Gateway that asks for slots.

        Returns:
            Whether its limit has grown.
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
        """Ask for idle credits back on behalf of a gateway that has none.

        Args:
            name: Gateway without credits.

        Returns:
            Gateways that are to return credits.
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
        """Return the gateways that wait for a statement of their credits."""
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
