"""Replicated claims of the idempotency keys of submissions."""

import collections

from amaranthspar.schema import messages


class Claims:
    """Table of claims by key.

    Attributes:
        kept: Claims that hold a key, by key.
        newest_ms: Time of the newest decision in ms, by the clock of the claims. That
            clock advances only while there is a leader, and never jumps.
    """

    def __init__(self) -> None:
        self.kept: dict[str, messages.KeptClaim] = {}
        self.newest_ms = 0
        self._expiry_queue: collections.deque[messages.KeptClaim] = collections.deque()

    def find_holder(self, key: str) -> messages.ClaimSubmission | None:
        """Return the claim that holds a key; None if the key is free.

        Args:
            key: Hashed key.
        """
        kept = self.kept.get(key)
        return kept.claim if kept is not None else None

    def record(self, command: messages.RecordClaims) -> list[messages.ClaimSubmission]:
        """Record claims and expire old ones; the first claim of a key holds it.

        Args:
            command: Claims in order.

        Returns:
            The claim that holds the key of each claim, in the same order.
        """
        self.newest_ms = max(self.newest_ms, command.decided_ms)
        self._expire(command.decided_ms - command.retention_ms)
        holders = []
        for claim in command.claims:
            kept = self.kept.get(claim.key)
            if kept is None:
                kept = messages.KeptClaim(command.decided_ms, claim)
                self.kept[claim.key] = kept
                self._expiry_queue.append(kept)
            holders.append(kept.claim)
        return holders

    def release(self, command: messages.ReleaseClaim) -> None:
        """Release a key if the named submission holds it.

        Args:
            command: Key and submission.
        """
        kept = self.kept.get(command.key)
        if kept is not None and kept.claim.submission == command.submission:
            del self.kept[command.key]

    def restore(self, saved: list[messages.KeptClaim]) -> None:
        """Replace all claims by those of a snapshot.

        Args:
            saved: Claims in order of decision.
        """
        self.kept = {kept.claim.key: kept for kept in saved}
        self.newest_ms = max((kept.decided_ms for kept in saved), default=0)
        self._expiry_queue = collections.deque(saved)

    def _expire(self, before_ms: int) -> None:
        while self._expiry_queue and self._expiry_queue[0].decided_ms < before_ms:
            kept = self._expiry_queue.popleft()
            if self.kept.get(kept.claim.key) is kept:
                del self.kept[kept.claim.key]
