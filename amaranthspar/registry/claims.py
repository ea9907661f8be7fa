"""Replicated claims of the idempotency keys of submissions."""

import collections

from amaranthspar.schema import messages


class Claims:
    """Table of claims by key.

    Attributes:
        kept: Recorded claims that hold a key, by key.
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
        recorded = self.kept.get(key)
        return recorded.claim if recorded is not None else None

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
            recorded = self.kept.get(claim.key)
            if recorded is None:
                recorded = messages.KeptClaim(command.decided_ms, claim)
                self.kept[claim.key] = recorded
                self._expiry_queue.append(recorded)
            holders.append(recorded.claim)
        return holders

    def release(self, command: messages.ReleaseClaim) -> None:
        """Release a key if the named submission holds it.

        Args:
            command: Key and submission.
        """
        recorded = self.kept.get(command.key)
        if recorded is not None and recorded.claim.submission == command.submission:
            del self.kept[command.key]

    def restore(self, saved: list[messages.KeptClaim]) -> None:
        """Replace all claims by those of a snapshot.

        Args:
            saved: Claims in order of decision.
        """
        self.kept = {recorded.claim.key: recorded for recorded in saved}
        self.newest_ms = max((recorded.decided_ms for recorded in saved), default=0)
        self._expiry_queue = collections.deque(saved)

    def _expire(self, before_ms: int) -> None:
        while self._expiry_queue and self._expiry_queue[0].decided_ms < before_ms:
            recorded = self._expiry_queue.popleft()
            if self.kept.get(recorded.claim.key) is recorded:
                del self.kept[recorded.claim.key]
