"""Shares of jobs admitted lately by queue, and sizes of jobs within their queue.

Under a shortage, priority alone would leave the least urgent queue without service, and
the largest jobs of a queue are the first that no longer fit. A queue that is served much
less often than the best served one is given precedence, and the largest jobs more time.
"""

from __future__ import annotations

import collections
import math

import attrs

MEMORY_MS = 2_000
"""Time in ms after which an earlier job counts 1/e as much as a new one."""
MIN_RATIO = 0.8
"""Served share of a queue relative to the best served one below which its jobs go before
all others. Half is required; the rest covers jobs that expire or are displaced later."""
MIN_OFFERED = 3.0
"""Number of recent jobs, with decay, from which the share of a queue is meaningful."""
SIZE_SAMPLES = 100
"""Number of recent jobs of a queue to whose sizes a new one is compared."""
LARGE_QUANTILE = 0.7
"""Quantile of size from which a job is one of the largest of its queue."""


@attrs.define(slots=True)
class _Share:
    """Decaying numbers of jobs offered and admitted."""

    offered: float = 0.0
    admitted: float = 0.0
    updated_ms: int = 0

    def decay(self, now_ms: int) -> None:
        factor = math.exp(-max(now_ms - self.updated_ms, 0) / MEMORY_MS)
        self.offered *= factor
        self.admitted *= factor
        self.updated_ms = now_ms

    @property
    def ratio(self) -> float:
        return self.admitted / self.offered if self.offered >= MIN_OFFERED else 1.0


@attrs.define(slots=True)
class ServedShares:
    """Recent shares of admitted jobs, by service and queue."""

    _shares: dict[tuple[str, str], _Share] = attrs.field(factory=dict)
    _sizes: dict[tuple[str, str], collections.deque[float]] = attrs.field(factory=dict)

    def is_large(self, service: str, queue: str, core_ms: float) -> bool:
        """Return whether a new job is one of the largest, and remember its size.

        Args:
            service: Service of the queue.
            queue: Name of the queue.
            core_ms: Processor time of the job in core-milliseconds.
        """
        sizes = self._sizes.setdefault(
            (service, queue), collections.deque(maxlen=SIZE_SAMPLES)
        )
        smaller = sum(size < core_ms for size in sizes)
        is_large = smaller >= LARGE_QUANTILE * len(sizes)
        sizes.append(core_ms)
        return is_large

    def record(self, service: str, queue: str, admitted: bool, now_ms: int) -> None:
        """Record the decision on a new job.

        Args:
            service: Service of the queue.
            queue: Name of the queue.
            admitted: Whether it was admitted.
            now_ms: Current time in ms.
        """
        share = self._shares.setdefault((service, queue), _Share())
        share.decay(now_ms)
        share.offered += 1
        share.admitted += admitted

    def withdraw(self, service: str, queue: str) -> None:
        """Record that an admitted job was displaced or refused later.

        Args:
            service: Service of the queue.
            queue: Name of the queue.
        """
        share = self._shares.get((service, queue))
        if share is not None:
            share.admitted = max(share.admitted - 1, 0.0)

    def is_underserved(self, service: str, queue: str, now_ms: int) -> bool:
        """Return whether a queue was served too rarely beside others.

        Queues with too few recent jobs are not compared, as their share is unknown.

        Args:
            service: Service of the queue.
            queue: Name of the queue.
            now_ms: Current time in ms.
        """
        own = self._shares.get((service, queue))
        if own is None:
            return False
        best = 0.0
        for (name, _), share in self._shares.items():
            if name != service:
                continue
            share.decay(now_ms)
            if share.offered >= MIN_OFFERED:
                best = max(best, share.ratio)
        return own.ratio < MIN_RATIO * best
