"""Spans of a gateway: the request, its time in the queue, and its sidecars."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from amaranthspar.dispatch import submissions
from amaranthspar.schema import messages

if TYPE_CHECKING:
    from amaranthspar.observation import traces


@attrs.define(slots=True)
class _Open:
    """Open spans of one submission."""

    request: traces.Span
    queue: traces.Span | None
    sent: dict[int, traces.Span] = attrs.field(factory=dict)
    left: dict[int, int] = attrs.field(factory=dict)
    batches: dict[int, int] = attrs.field(factory=dict)


class GatewaySpans:
    """Follows submissions through a gateway.

    Args:
        tracer: Tracer of the process.
    """

    def __init__(self, tracer: traces.Tracer) -> None:
        self._tracer = tracer
        self._open: dict[str, _Open] = {}

    def start_request(self, submission: submissions.Submission) -> None:
        """Start the spans of a request and of its time in the queue.

        Args:
            submission: Submission with the caller's trace context.
        """
        request = self._tracer.start(
            "gateway",
            submission.traceparent,
            service=submission.service,
            submission=submission.name,
        )
        queue = self._tracer.start("queue", request.traceparent)
        self._open[submission.name] = _Open(request, queue)

    def start_sidecar(self, message: object) -> object:
        """Start the span of a message to a sidecar.

        Args:
            message: Message that is about to be sent.

        Returns:
            The message, with the span's context if it starts tasks.
        """
        if not isinstance(message, messages.StartTasks):
            return message
        found = self._open.get(message.submission)
        if found is None:
            return message
        if found.queue is not None:
            found.queue.end()
            found.queue = None
        span = self._tracer.start("sidecar", found.request.traceparent)
        batch = message.tasks[0].index
        found.sent[batch] = span
        found.left[batch] = len(message.tasks)
        found.batches.update({task.index: batch for task in message.tasks})
        return attrs.evolve(message, traceparent=span.traceparent)

    def end_sidecars(self, message: object) -> None:
        """End the spans of sidecars whose results are all there.

        Args:
            message: Message from a sidecar.
        """
        if not isinstance(message, messages.ReportResults):
            return
        for result in message.results:
            found = self._open.get(result.submission)
            batch = None if found is None else found.batches.pop(result.index, None)
            if found is None or batch is None:
                continue
            found.left[batch] -= 1
            if not found.left[batch]:
                found.sent.pop(batch).end(result.outcome)

    def end_request(self, answer: submissions.Answer) -> None:
        """End all spans of a submission.

        Args:
            answer: Its answer.
        """
        found = self._open.pop(answer.submission, None)
        if found is None:
            return
        if found.queue is not None:
            found.queue.end(answer.outcome)
        for span in found.sent.values():
            span.end(answer.outcome)
        found.request.end(answer.outcome)
