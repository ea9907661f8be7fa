"""Fake upstream with the platform's protocol, and builders of request bodies."""

import asyncio
import json
import time

import attrs
from aiohttp import web

from amaranthspar import ports

UPSTREAM_ID = "i-1"
SETTINGS = """\
Node=front-east-1
Zone=east
Ip=127.0.0.1
Listen.Front=127.0.0.1:8161
Listen.ReadinessAddr=127.0.0.1:8167
InternalPorts=7720,7735
Seeds=127.0.0.1:8166,127.0.0.2:8166
Bootstrap=true
Bounds.GraceS=6
Bounds.MaxHoldMs=1000
Bounds.StopTimeoutMs=50
Unknown.Key=anything
"""


def build_route(**changes):
    route = {
        "Name": "r-1",
        "Host": "desk.example",
        "PathPrefix": "/quotes/",
        "Kind": "unsafe",
        "TimeoutMs": 1500,
        "TargetLatencyMs": 60,
        "Priority": 0,
        "Service": "quotes",
        "MaxAttempts": 3,
        "Stretch": 1.6,
    }
    return route | changes


def build_configuration(version=1, routes=None, **changes) -> bytes:
    body = {
        "Version": version,
        "Routes": [build_route()] if routes is None else routes,
        "Services": [{"Name": "quotes", "MaxConnections": 64}],
        "Limits": {"MaxBodyBytes": 262144},
    }
    return json.dumps(body | changes).encode()


def build_job(count=2, cpu=1000, estimate_ms=50, **changes) -> bytes:
    step = {"Count": count, "Cpu": cpu, "MemMb": 64, "EstimateMs": estimate_ms}
    body = {"Spec": "x", "BestEffort": True, "Steps": [step]}
    return json.dumps(body | changes).encode()


def build_heartbeat(sequence=1, born=1, **changes) -> bytes:
    body = {
        "Service": "quotes",
        "Address": "127.0.0.1:1",
        "Zone": "east",
        "Version": "v1",
        "Slots": 8,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Capacity": {"Cpu": 8000, "MemMb": 8192, "Gpu": 0},
        "Labels": ["a", "r1"],
        "ClockMs": 1,
        "Seq": sequence,
        "born": born,
    }
    return json.dumps(body | changes).encode()


@attrs.define
class FakeRun:
    """Run on the fake upstream."""

    task: str
    run: int
    start_s: float
    end_s: float


class FakeUpstream:
    """Fake upstream that serves starts, stops and renewals; tasks take 50 ms.

    Attributes:
        overlaps: Starts of tasks of which another run had not ended.
    """

    def __init__(self, born: int = 1) -> None:
        self.address = ports.find_addresses()[0]
        self.born = born
        self.task_s = 0.05
        self.is_failing = False
        self.unanswered_starts = 0
        self.fence = 0
        self.starts: list[tuple[str, int]] = []
        self.overlaps: list[tuple[str, int]] = []
        self.runs: dict[str, FakeRun] = {}
        self.ends: list[list] = []
        self.lease_s = 0.0
        self._runner: web.AppRunner | None = None

    async def open(self) -> None:
        app = web.Application()
        app.router.add_post("/amaranthspar/run-start", self._start)
        app.router.add_post("/amaranthspar/run-stop", self._stop)
        app.router.add_post("/amaranthspar/hold", self._hold)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        host, port = self.address.split(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def close(self) -> None:
        await self._runner.cleanup()

    def restart(self) -> None:
        """Begin another incarnation under the same id, at a listener that stays open."""
        self.born += 1
        self.fence = 0
        self.runs.clear()
        self.ends.clear()

    def replace_process(self) -> None:
        """Begin another incarnation in a new process that took over the listener."""
        self.restart()
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    @staticmethod
    def _is_for_another(request) -> bool:
        header = "X-Amaranthspar-Expected-Instance"
        return request.headers.get(header, UPSTREAM_ID) != UPSTREAM_ID

    def _answer(self, status=200, **fields) -> web.Response:
        body = {"ClockMs": int(time.monotonic() * 1000), "born": self.born} | fields
        return web.json_response(body, status=status)

    def _is_fenced(self, body) -> bool:
        if body["Fence"] < self.fence:
            return True
        self.fence = body["Fence"]
        return False

    async def _start(self, request) -> web.Response:
        body = await request.json()
        if self._is_for_another(request):
            return self._answer(421)
        if self._is_fenced(body):
            return self._answer(409, Reason="fence")
        now_s = time.monotonic()
        run = FakeRun(body["Task"], body["Run"], now_s, now_s + self.task_s)
        self.starts.append((run.task, run.run))
        if run.task in self.runs:
            self.overlaps.append((run.task, run.run))
        self.runs[run.task] = run
        if self.unanswered_starts:
            self.unanswered_starts -= 1
            await asyncio.sleep(1)
        return self._answer()

    async def _stop(self, request) -> web.Response:
        body = await request.json()
        if self._is_for_another(request):
            return self._answer(421)
        if self._is_fenced(body):
            return self._answer(409, Reason="fence")
        run = self.runs.get(body["Task"])
        if run is not None and run.run <= body["Run"]:
            self._end(run, "stopped")
        return self._answer()

    async def _hold(self, request) -> web.Response:
        body = await request.json()
        if self._is_for_another(request):
            return self._answer(421)
        if self._is_fenced(body):
            return self._answer(409, Reason="fence")
        if body.get("DeadlineMs"):
            self.lease_s = body["DeadlineMs"] / 1000
        self.ends = [row for row in self.ends if row[0] > body["SeenUpto"]]
        until_s = time.monotonic() + body.get("WaitMs", 0) / 1000
        while True:
            self._finish_runs()
            if self.ends or time.monotonic() >= until_s:
                break
            await asyncio.sleep(0.002)
        now_s = time.monotonic()
        running = [
            [run.task, run.run, "", self._read_percent(run, now_s), 0]
            for run in self.runs.values()
        ]
        return self._answer(Running=running, Ended=self.ends)

    def _read_percent(self, run, now_s) -> int:
        return int(100 * (now_s - run.start_s) / (run.end_s - run.start_s))

    def _finish_runs(self) -> None:
        now_s = time.monotonic()
        for run in list(self.runs.values()):
            if now_s >= run.end_s:
                self._end(run, "failed" if self.is_failing else "done")

    def _end(self, run, how) -> None:
        del self.runs[run.task]
        number = self.ends[-1][0] + 1 if self.ends else len(self.starts) * 10
        self.ends.append([number, run.task, run.run, how, ""])
