"""Tracing by OpenTelemetry, which is off unless the settings turn it on.

While it is off, OpenTelemetry is not imported, so that it costs nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from opentelemetry.sdk.trace import export

    from amaranthspar.execution import executor
    from amaranthspar.schema import messages, options

    Result = messages.TaskResult
    Call = Callable[[executor.RunTask], Awaitable[Result]]

TRACEPARENT = "traceparent"
"""Key of the W3C trace context."""
EXPORT_PATH = "/v1/traces"
"""Path of the OTLP endpoint that receives spans over HTTP."""


class Span:
    """Span of one step of a request.

    Args:
        span: Span of OpenTelemetry.
        traceparent: W3C trace context with this span as the parent.
    """

    def __init__(self, span: Any, traceparent: str) -> None:
        self.traceparent = traceparent
        self._span = span

    def end(self, outcome: str = "") -> None:
        """End the span.

        Args:
            outcome: Outcome to record in the span; empty to record none.
        """
        if outcome:
            self._span.set_attribute("amaranthspar.outcome", outcome)
        self._span.end()


class Tracer:
    """Creates the spans of one process.

    Args:
        process: Process name.
        ratio: Sampling ratio from 0 to 1 for requests without a trace context of the
            caller.
        exporter: Exporter of ended spans; none to export nothing.
    """

    def __init__(
        self, process: str, ratio: float, exporter: export.SpanExporter | None
    ) -> None:
        from opentelemetry.sdk import resources, trace
        from opentelemetry.sdk.trace import export, sampling
        from opentelemetry.trace.propagation import tracecontext

        resource = resources.Resource(
            {"service.name": "amaranthspar", "service.instance.id": process}
        )
        sampler = sampling.ParentBased(sampling.TraceIdRatioBased(ratio))
        self._provider = trace.TracerProvider(sampler, resource, shutdown_on_exit=False)
        if exporter is not None:
            # The processor exports spans in a separate thread.
            processor = export.BatchSpanProcessor(exporter)
            self._provider.add_span_processor(processor)
        self._tracer = self._provider.get_tracer("amaranthspar")
        self._propagator = tracecontext.TraceContextTextMapPropagator()

    def start(self, name: str, parent: str, **attributes: str) -> Span:
        """Start a span.

        Args:
            name: Name of the span.
            parent: W3C trace context of the parent span; empty for none.
            attributes: Attributes of the span without the prefix ``amaranthspar.``.
        """
        from opentelemetry import context, trace

        parent_context = self._propagator.extract(
            {TRACEPARENT: parent}, context.Context()
        )
        span = self._tracer.start_span(name, parent_context)
        for key, value in attributes.items():
            span.set_attribute(f"amaranthspar.{key}", value)
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, trace.set_span_in_context(span))
        return Span(span, carrier.get(TRACEPARENT, parent))

    def close(self) -> None:
        """Export all ended spans and stop the thread that exports them."""
        self._provider.shutdown()


async def trace_call(tracer: Tracer, run: executor.RunTask, call: Call) -> Result:
    """Run a task on an upstream and record the call as a span.

    Args:
        tracer: Tracer of the process.
        run: Task to run.
        call: Function that runs the task.

    Returns:
        Result of the task.
    """
    task = f"{run.submission}/{run.index}"
    span = tracer.start("upstream", run.traceparent, service=run.service, task=task)
    outcome = "unknown"
    try:
        result = await call(attrs.evolve(run, traceparent=span.traceparent))
        outcome = result.outcome
        return result
    finally:
        span.end(outcome)


def build_tracer(process: options.ProcessOptions) -> Tracer | None:
    """Return a tracer as configured in the settings, or none if tracing is off.

    Args:
        process: Section ``process`` of the settings.
    """
    if not process.trace_ratio and not process.trace_endpoint:
        return None
    exporter: export.SpanExporter | None = None
    if process.trace_endpoint:
        from opentelemetry.exporter.otlp.proto.http import trace_exporter

        exporter = trace_exporter.OTLPSpanExporter(
            process.trace_endpoint.rstrip("/") + EXPORT_PATH
        )
    return Tracer(process.name, process.trace_ratio, exporter)
