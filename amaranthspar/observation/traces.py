"""Traces by OpenTelemetry, off without a cost unless the settings ask for them."""

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

PROPAGATED = "traceparent"
EXPORT_PATH = "/v1/traces"


class Span:
    """One hop of a request.

    Args:
        span: Span of the library.
        traceparent: W3C trace context that names the span.
    """

    def __init__(self, span: Any, traceparent: str) -> None:
        self.traceparent = traceparent
        self._span = span

    def end(self, outcome: str = "") -> None:
        """End the span.

        Args:
            outcome: How the hop ended; empty to state nothing.
        """
        if outcome:
            self._span.set_attribute("amaranthspar.outcome", outcome)
        self._span.end()


class Tracer:
    """Makes the spans of one process.

    Args:
        process: Process name.
        ratio: Share of requests traced where the caller decides nothing, 0 to 1.
        exporter: Where ended spans go; none to export nothing.
    """

    def __init__(
        self, process: str, ratio: float, exporter: export.SpanExporter | None
    ) -> None:
        from opentelemetry.sdk import resources, trace
        from opentelemetry.sdk.trace import export, sampling
        from opentelemetry.trace.propagation import tracecontext

        named = resources.Resource(
            {"service.name": "amaranthspar", "service.instance.id": process}
        )
        sampler = sampling.ParentBased(sampling.TraceIdRatioBased(ratio))
        self._provider = trace.TracerProvider(sampler, named, shutdown_on_exit=False)
        if exporter is not None:
            # The library exports on a thread of its own.
            processor = export.BatchSpanProcessor(exporter)
            self._provider.add_span_processor(processor)
        self._tracer = self._provider.get_tracer("amaranthspar")
        self._propagator = tracecontext.TraceContextTextMapPropagator()

    def start(self, name: str, parent: str, **attributes: str) -> Span:
        """Start the span of a hop.

        Args:
            name: Name of the hop.
            parent: W3C trace context of the hop before; empty for none.
            attributes: What the span is about.
        """
        from opentelemetry import context, trace

        above = self._propagator.extract({PROPAGATED: parent}, context.Context())
        span = self._tracer.start_span(name, above)
        for key, value in attributes.items():
            span.set_attribute(f"amaranthspar.{key}", value)
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, trace.set_span_in_context(span))
        return Span(span, carrier.get(PROPAGATED, parent))

    def close(self) -> None:
        """Export what has ended and stop the library's thread."""
        self._provider.shutdown()


async def trace_call(tracer: Tracer, run: executor.RunTask, call: Call) -> Result:
    """Run a task on an upstream within a span of its own.

    Args:
        tracer: Tracer of the process.
        run: Task to run.
        call: Runs it.

    Returns:
        Its result.
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
    """Return the tracer that the settings ask for, none if traces are off.

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
