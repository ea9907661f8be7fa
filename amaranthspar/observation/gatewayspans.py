"""Trace spans of a gateway.

A submission has a span ``gateway``, with a child ``queue`` for its time in the queue
and a child ``sidecar`` for each batch of tasks that is sent to a sidecar.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from amaranthspar.dispatch import submissions
from amaranthspar.schema import messages

if TYPE_CHECKING:
    from amaranthspar.observation import traces


@attrs.define(slots=True)
class _SubmissionSpans:
    """Open spans of one submission.

    A batch is the tasks of one message to a sidecar. Its number is the index of its
    first task.

    Attributes:
        request: Span of the submission.
        queue: Span of its time in the queue; none once a task was sent.
        batches: Span by batch number.
        unfinished: Count of tasks without a result, by batch number.
        batch_numbers: Batch number by task index.
    """

    request: traces.Span
    queue: traces.Span | None
    batches: dict[int, traces.Span] = attrs.field(factory=dict)
    unfinished: dict[int, int] = attrs.field(factory=dict)
    batch_numbers: dict[int, int] = attrs.field(factory=dict)


class GatewaySpans:
    """Starts and ends the spans of submissions in a gateway.

    Args:
        tracer: Tracer of the process.
    """

    def __init__(self, tracer: traces.Tracer) -> None:
        self._tracer = tracer
        self._open: dict[str, _SubmissionSpans] = {}

    def start_submission(self, submission: submissions.Submission) -> None:
        """Start the spans of a submission and of its time in the queue.

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
        self._open[submission.name] = _SubmissionSpans(request, queue)

    def start_batch(self, message: object) -> object:
        """Start the span of a batch of tasks and end the time in the queue.

        Args:
            message: Message to a sidecar, before it is sent.

        Returns:
            The message, with the span's trace context if it starts tasks.
        """
        if not isinstance(message, messages.StartTasks):
            return message
        spans = self._open.get(message.submission)
        if spans is None:
            return message
        if spans.queue is not None:
            spans.queue.end()
            spans.queue = None
        span = self._tracer.start("sidecar", spans.request.traceparent)
        batch = message.tasks[0].index
        spans.batches[batch] = span
        spans.unfinished[batch] = len(message.tasks)
        spans.batch_numbers.update({task.index: batch for task in message.tasks})
        return attrs.evolve(message, traceparent=span.traceparent)

    def end_batches(self, message: object) -> None:
        """End the spans of batches whose results have all arrived.

        Args:
            message: Message from a sidecar.
        """
        if not isinstance(message, messages.ReportResults):
            return
        for result in message.results:
            spans = self._open.get(result.submission)
            batch = (
                None if spans is None else spans.batch_numbers.pop(result.index, None)
            )
            if spans is None or batch is None:
                continue
            spans.unfinished[batch] -= 1
            if not spans.unfinished[batch]:
                spans.batches.pop(batch).end(result.outcome)

    def end_submission(self, answer: submissions.Answer) -> None:
        """End all spans of a submission.

        Args:
            answer: Final answer to the submission.
        """
        spans = self._open.pop(answer.submission, None)
        if spans is None:
            return
        if spans.queue is not None:
            spans.queue.end(answer.outcome)
        for span in spans.batches.values():
            span.end(answer.outcome)
        spans.request.end(answer.outcome)
