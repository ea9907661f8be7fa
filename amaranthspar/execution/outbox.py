"""Outbox of results, which are retained until their gateway acknowledges them."""

import attrs

from amaranthspar.schema import messages

MAX_REPORT_BYTES = 4 * 1024 * 1024
"""Size of the bodies in one report; a report may hold one larger body alone."""
MAX_RETAINED_BYTES = 16 * 1024 * 1024
"""Size of the retained bodies of one gateway above which bodies are dropped."""
RESEND_INTERVAL_MS = 1500


@attrs.define(slots=True)
class Outbox:
    """Results that one incarnation of a gateway has not acknowledged.

    Attributes:
        incarnation: Incarnation of the gateway.
        reported_sequence: Sequence of the newest result reported.
        dropped_sequence: Sequence up to which results were dropped.
        retained_bytes: Size of the bodies that are retained in bytes.
    """

    incarnation: int
    reported_sequence: int = 0
    dropped_sequence: int = 0
    retained_bytes: int = 0
    _unsent: list[messages.TaskResult] = attrs.field(factory=list)
    _unacknowledged: dict[int, messages.TaskResult] = attrs.field(factory=dict)
    _last_report_ms: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether no result waits for a report or an acknowledgement."""
        return not self._unsent and not self._unacknowledged

    @property
    def has_unsent(self) -> bool:
        """Whether results wait for their first report."""
        return bool(self._unsent)

    def is_overdue(self, now_ms: int) -> bool:
        """Return whether unacknowledged results are due to be sent again.

        Args:
            now_ms: Monotonic time in ms.
        """
        return (
            bool(self._unacknowledged)
            and now_ms - self._last_report_ms >= RESEND_INTERVAL_MS
        )

    def add(self, result: messages.TaskResult) -> None:
        """Add a result to the next report."""
        self._unsent.append(result)
        self.retained_bytes += len(result.body or b"")

    def has_result(self, task: messages.TaskReference) -> bool:
        """Return whether the result of a start is retained.

        Args:
            task: Task and the sequence of the start message that contained it.
        """
        name = (task.submission, task.index)
        return any(
            (item.submission, item.index) == name and item.start >= task.sequence
            for item in (*self._unacknowledged.values(), *self._unsent)
        )

    def report_unsent(
        self, limit: int, received_sequence: int, now_ms: int, spare: int = 0
    ) -> list[messages.ReportResults]:
        """Return reports of bounded size with the results not reported before.

        Args:
            limit: Credit limit of the gateway.
            received_sequence: Start sequence up to which every task is accounted
                for; 0 if uncertain.
            now_ms: Monotonic time in ms.
            spare: Idle slots for which the gateway holds no credit.
        """
        first = self.reported_sequence + 1
        for item in self._unsent:
            self.reported_sequence += 1
            self._unacknowledged[self.reported_sequence] = item
        items = self._unsent
        self._unsent = []
        return self._build_reports(
            first, items, limit, received_sequence, now_ms, spare
        )

    def report_unacknowledged(
        self, limit: int, received_sequence: int, now_ms: int
    ) -> list[messages.ReportResults]:
        """Return reports with every result that was reported and not acknowledged.

        Args:
            limit: Credit limit of the gateway.
            received_sequence: Start sequence up to which every task is accounted
                for; 0 if uncertain.
            now_ms: Monotonic time in ms.
        """
        if not self._unacknowledged:
            return []
        items = list(self._unacknowledged.values())
        return self._build_reports(
            min(self._unacknowledged), items, limit, received_sequence, now_ms
        )

    def acknowledge(self, sequence: int) -> None:
        """Remove the results that the gateway has acknowledged.

        Args:
            sequence: Sequence up to which the gateway has received results.
        """
        while self._unacknowledged:
            first = next(iter(self._unacknowledged))
            if first > sequence:
                return
            self.retained_bytes -= len(self._unacknowledged.pop(first).body or b"")

    def drop_bodies(self) -> int:
        """Replace each reported result that has a body by a lost result.

        Returns:
            Number of results replaced.
        """
        replaced = 0
        for sequence, item in self._unacknowledged.items():
            if item.body:
                replaced += 1
                self._unacknowledged[sequence] = build_lost_result(item)
        self.retained_bytes = sum(len(item.body or b"") for item in self._unsent)
        return replaced

    def drop_all(self) -> int:
        """Drop every result.

        Returns:
            Number of results dropped.
        """
        count = len(self._unacknowledged) + len(self._unsent)
        self.reported_sequence += len(self._unsent)
        self.dropped_sequence = self.reported_sequence
        self.retained_bytes = 0
        self._unacknowledged.clear()
        self._unsent.clear()
        return count

    def _build_reports(
        self,
        first: int,
        items: list[messages.TaskResult],
        limit: int,
        received_sequence: int,
        now_ms: int,
        spare: int = 0,
    ) -> list[messages.ReportResults]:
        self._last_report_ms = now_ms
        reports = []
        for batch in _split(items):
            reports.append(
                messages.ReportResults(
                    self.incarnation,
                    first,
                    batch,
                    limit,
                    received_sequence,
                    self.dropped_sequence,
                    spare,
                )
            )
            first += len(batch)
        return reports


def build_lost_result(result: messages.TaskResult) -> messages.TaskResult:
    """Return the result to report for a task whose own result is not retained."""
    return messages.TaskResult(
        result.submission,
        result.index,
        "unknown",
        "result no longer held",
        start=result.start,
    )


def _split(items: list[messages.TaskResult]) -> list[list[messages.TaskResult]]:
    batches: list[list[messages.TaskResult]] = []
    remaining_bytes = 0
    for item in items:
        size = len(item.body or b"")
        if not batches or size > remaining_bytes:
            batches.append([])
            remaining_bytes = MAX_REPORT_BYTES
        batches[-1].append(item)
        remaining_bytes -= size
    return batches
