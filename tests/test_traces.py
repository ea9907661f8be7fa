"""Tests of trace spans and of the lazy import of OpenTelemetry."""

import asyncio
import http.server
import json
import pathlib
import subprocess
import sys
import threading

import uvloop
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

from amaranthspar import ports
from amaranthspar.clients import client
from amaranthspar.roles import cluster
from tests import builders_shell

TRACE = "4bf92f3577b34da6a3ce929d0e0e4736"
CALLER = "00f067aa0ba902b7"


class Collector(http.server.BaseHTTPRequestHandler):
    spans: list = []

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers["Content-Length"]))
        request = trace_service_pb2.ExportTraceServiceRequest.FromString(body)
        for resource in request.resource_spans:
            for scope in resource.scope_spans:
                self.spans.extend(scope.spans)
        self.send_response(200)
        self.end_headers()

    def log_message(self, *_: object) -> None:
        pass


def run_traced_job(folder: pathlib.Path, endpoint: str) -> None:
    async def run() -> None:
        running = cluster.Cluster(
            folder, "secret", ports.find_ports(2), trace_endpoint=endpoint
        )
        await running.start()
        url = f"http://{cluster.HOST}:{running.ports[0]}"
        caller = client.Client(url, "secret")
        tasks = [{"payload": {"echo": number}} for number in range(3)]
        trace = {"traceparent": f"00-{TRACE}-{CALLER}-01"}
        body = json.dumps({"tasks": tasks}).encode()
        reply = await caller.submit_job("recalculate", body, trace)
        assert reply.status == 200
        await caller.close()
        await running.stop()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


def test_spans_of_a_job_form_one_tree_below_the_caller(tmp_path: pathlib.Path) -> None:
    Collector.spans.clear()
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Collector)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        run_traced_job(tmp_path, f"http://127.0.0.1:{server.server_port}")
    finally:
        server.shutdown()
        server.server_close()
    spans = list(Collector.spans)
    assert {span.trace_id.hex() for span in spans} == {TRACE}
    names = {span.span_id.hex(): span.name for span in spans}
    assert len(names) == len(spans)
    parents = {(span.name, names.get(span.parent_span_id.hex())) for span in spans}
    assert parents == {
        ("gateway", None),
        ("queue", "gateway"),
        ("sidecar", "gateway"),
        ("upstream", "sidecar"),
    }
    span_names = [span.name for span in spans]
    assert span_names.count("upstream") == 3
    assert span_names.count("gateway") == span_names.count("queue") == 1
    roots = [span for span in spans if span.name == "gateway"]
    assert roots[0].parent_span_id.hex() == CALLER
    assert all(span.end_time_unix_nano >= span.start_time_unix_nano for span in spans)


def test_opentelemetry_is_not_imported_when_tracing_is_off() -> None:
    code = (
        "import sys\n"
        "from amaranthspar.observation import traces\n"
        "from amaranthspar.roles import gateway, sidecar\n"
        "from amaranthspar.schema import options\n"
        "process = options.ProcessOptions('p', '127.0.0.1:1', ['127.0.0.1:2'], 'd')\n"
        "assert traces.build_tracer(process) is None\n"
        "assert not any(name.startswith('opentelemetry') for name in sys.modules)\n"
    )
    command = [sys.executable, "-c", code]
    environment = builders_shell.build_environment()
    subprocess.run(command, env=environment, check=True, timeout=60)
