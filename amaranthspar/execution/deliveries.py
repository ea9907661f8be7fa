"""Results that a sidecar keeps until their gateway has acknowledged them."""

import attrs

from amaranthspar.schema import messages

REPORT_BYTES = 4 * 1024 * 1024
RETAINED_BYTES = 16 * 1024 * 1024
RESEND_RESULTS_MS = 1500


@attrs.define(slots=True)
class Deliveries:
    """Results for one incarnation of a gateway.

    Attributes:
        incarnation: Incarnation of the gateway.
        sequence: Sequence of the newest result reported.
        dropped: Sequence up to which results are no longer held.
        retained_bytes: Size of the bodies that wait for an acknowledgement.
    """

    incarnation: int
    sequence: int = 0
    dropped: int = 0
    retained_bytes: int = 0
    _ready: list[messages.TaskResult] = attrs.field(factory=list)
    _held: dict[int, messages.TaskResult] = attrs.field(factory=dict)
    _reported_ms: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether every result was acknowledged."""
        return not self._ready and not self._held

    @property
    def is_ready(self) -> bool:
        """Whether results wait for their first report."""
        return bool(self._ready)

    def is_overdue(self, now_ms: int) -> bool:
        """Return whether an acknowledgement is late.

        Args:
            now_ms: Monotonic time in ms.
        """
        return bool(self._held) and now_ms - self._reported_ms >= RESEND_RESULTS_MS

    def add(self, result: messages.TaskResult) -> None:
        """Keep a result for the next report."""
        self._ready.append(result)
        self.retained_bytes += len(result.body or b"")

    def holds(self, task: messages.TaskReference) -> bool:
        """Return whether the answer to a start is held.

        Args:
            task: Task and the sequence of the start message that carried it.
        """
        name = (task.submission, task.index)
        return any(
            (item.submission, item.index) == name and item.start >= task.sequence
            for item in (*self._held.values(), *self._ready)
        )

    def report(
        self, limit: int, received: int, now_ms: int, spare: int = 0
    ) -> list[messages.ReportResults]:
        """Return the results not reported before, as messages of bounded size.

        Args:
            limit: Credit limit of the gateway.
            received: Start sequence up to which every task is accounted for.
            now_ms: Monotonic time in ms.
            spare: Idle slots for which the gateway holds no credit.
        """
        first = self.sequence + 1
        for item in self._ready:
            self.sequence += 1
            self._held[self.sequence] = item
        items = self._ready
        self._ready = []
        return self._build(first, items, limit, received, now_ms, spare)

    def resend(
        self, limit: int, received: int, now_ms: int
    ) -> list[messages.ReportResults]:
        """Return every result that was reported and not acknowledged.

        Args:
            limit: Credit limit of the gateway.
            received: Start sequence up to which every task is accounted for.
            now_ms: Monotonic time in ms.
        """
        if not self._held:
            return []
        items = list(self._held.values())
        return self._build(min(self._held), items, limit, received, now_ms)

    def acknowledge(self, sequence: int) -> None:
        """Forget the results that the gateway has taken.

        Args:
            sequence: Sequence up to which it has taken them.
        """
        while self._held:
            first = next(iter(self._held))
            if first > sequence:
                return
            self.retained_bytes -= len(self._held.pop(first).body or b"")

    def drop_bodies(self) -> int:
        """Replace the results held by ones that say that they are lost.

        Returns:
            How many results lost their body.
        """
        stripped = 0
        for sequence, item in self._held.items():
            if item.body:
                stripped += 1
                self._held[sequence] = lose_result(item)
        self.retained_bytes = sum(len(item.body or b"") for item in self._ready)
        return stripped

    def drop(self) -> int:
        """Forget every result.

        Returns:
            How many results were dropped.
        """
        count = len(self._held) + len(self._ready)
        self.sequence += len(self._ready)
        self.dropped = self.sequence
        self.retained_bytes = 0
        self._held.clear()
        self._ready.clear()
        return count

    def _build(
        self,
        first: int,
        items: list[messages.TaskResult],
        limit: int,
        received: int,
        now_ms: int,
        spare: int = 0,
    ) -> list[messages.ReportResults]:
        self._reported_ms = now_ms
        reports = []
        for batch in _split(items):
            reports.append(
                messages.ReportResults(
                    self.incarnation,
                    first,
                    batch,
                    limit,
                    received,
                    self.dropped,
                    spare,
                )
            )
            first += len(batch)
        return reports


def lose_result(result: messages.TaskResult) -> messages.TaskResult:
    """Return what is left of a result whose body is no longer held."""
    return messages.TaskResult(
        result.submission,
        result.index,
        "unknown",
        "result no longer held",
        start=result.start,
    )


def _split(items: list[messages.TaskResult]) -> list[list[messages.TaskResult]]:
    batches: list[list[messages.TaskResult]] = []
    room = 0
    for item in items:
        size = len(item.body or b"")
        if not batches or size > room:
            batches.append([])
            room = REPORT_BYTES
        batches[-1].append(item)
        room -= size
    return batches
