"""Slots of an upstream, handed out to gateways as credits.

A gateway may have sent as many tasks in total as its credit limit says. The
counters only grow, so lost and doubled messages do no harm.
"""

import attrs

REBALANCE_WAIT_MS = 20


@attrs.define(slots=True)
class Share:
    """One gateway's part of the slots.

    Attributes:
        limit: Total of tasks that the gateway may have sent.
        used: Total of tasks received and of credits handed back.
        queued: Tasks that wait in the gateway.
        oldest_wait_ms: Wait of the oldest of them when reported.
        recalled: Credits asked back and not yet returned.
    """

    limit: int = 0
    used: int = 0
    queued: int = 0
    oldest_wait_ms: int = 0
    recalled: int = 0

    @property
    def unused(self) -> int:
        """Credits that the gateway holds."""
        return self.limit - self.used

    @property
    def is_starving(self) -> bool:
        """Whether the gateway has more tasks than credits."""
        return self.queued > self.unused


class Slots:
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
        held = sum(share.unused for share in self.shares.values())
        return self.count - self.running - held

    def add_gateway(self, name: str) -> None:
        """Add a gateway without credits, replacing an older incarnation."""
        self.shares[name] = Share()

    def remove_gateway(self, name: str) -> None:
        """Take back the credits of a gateway that is gone."""
        self.shares.pop(name, None)

    def distribute(self, freed_for: str = "") -> list[str]:
        """Hand free slots out.

        Args:
            freed_for: Gateway whose task has just ended; it keeps the slot
                unless another one starves and waits longer.

        Returns:
            Gateways whose limit has grown.
        """
        grown: dict[str, None] = {}
        for _ in range(self.count_free()):
            name = self._choose(freed_for)
            if name is None:
                break
            self.shares[name].limit += 1
            grown[name] = None
        return list(grown)

    def recall(self) -> list[str]:
        """Ask credits back from gateways without work for a starving one.

        Returns:
            Gateways that are to return credits.
        """
        if not any(share.is_starving for share in self.shares.values()):
            return []
        idle = [
            name
            for name, share in self.shares.items()
            if not share.queued and share.unused > share.recalled
        ]
        for name in idle:
            share = self.shares[name]
            share.recalled = (share.unused + 1) // 2
        return idle

    def _choose(self, freed_for: str) -> str | None:
        starving = [name for name, share in self.shares.items() if share.is_starving]
        if starving:
            longest = max(starving, key=lambda name: self.shares[name].oldest_wait_ms)
            owner = self.shares.get(freed_for)
            if owner is None or not owner.is_starving:
                return longest
            gap_ms = self.shares[longest].oldest_wait_ms - owner.oldest_wait_ms
            return longest if gap_ms > REBALANCE_WAIT_MS else freed_for
        if freed_for in self.shares:
            return freed_for
        if not self.shares:
            return None
        return min(self.shares, key=lambda name: self.shares[name].unused)
