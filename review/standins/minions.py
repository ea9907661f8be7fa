"""Stand-in of a minion, as the platform's protocol describes it.

The specification of a task states how long it works, as in ``ms=800``.
"""

import asyncio
import contextlib
import json
import time

import aiohttp
import recording
from aiohttp import web

HEARTBEAT_S = 1.5
HEARTBEAT_RETRY_S = 0.05
MAX_HOLD_MS = 1000
MAX_WAIT_MS = 2000
STEP_S = 0.002


class Run:
    """A task at work."""

    def __init__(self, task: str, number: int, cpu: int, work_ms: int) -> None:
        self.task = task
        self.number = number
        self.cpu = cpu
        self.start_s = time.monotonic()
        self.work_s = work_ms / 1000


class Minion:
    """One life of a minion; `open` starts it and `crash` ends it."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        address: str,
        control: str,
        labels: list[str],
        recorder: recording.Recorder,
        cpu: int = 64_000,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.control = control
        self.labels = labels
        self.cpu = cpu
        self.state = "ready"
        self._recorder = recorder
        self._born_ms = 0
        self._born_s = 0.0
        self._fence = 0
        self._sequence = 0
        self._lease_ms = 0
        self._ended_number = 0
        self._ended: list[list] = []
        self._barred: dict[str, int] = {}
        self._running: dict[str, Run] = {}
        self._runner: web.AppRunner | None = None
        self._tasks: list[asyncio.Task] = []
        self._has_ended = False

    async def open(self) -> None:
        """Start to serve and to send heartbeats."""
        self._born_ms = time.time_ns() // 1_000_000
        self._born_s = time.monotonic()
        app = web.Application()
        app.router.add_post("/amaranthspar/run-start", self._start)
        app.router.add_post("/amaranthspar/run-stop", self._stop)
        app.router.add_post("/amaranthspar/hold", self._hold)
        self._runner = web.AppRunner(app, shutdown_timeout=0.01, access_log=None)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port), reuse_address=True).start()
        self._recorder.note("minion up", minion=self.name, labels=self.labels)
        self._tasks = [
            asyncio.create_task(self._work()),
            asyncio.create_task(self._send_heartbeats()),
        ]

    async def crash(self) -> None:
        """End at once; everything that runs ends too."""
        self._has_ended = True
        for task in self._tasks:
            task.cancel()
        for run in list(self._running.values()):
            self._end(run, "crashed")
        self._recorder.note("minion down", minion=self.name)
        if self._runner is None:
            return
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await self._runner.cleanup()

    def read_clock_ms(self) -> int:
        """Return the time on this minion's clock in ms."""
        return round((time.monotonic() - self._born_s) * 1000)

    def _answer(self, status: int = 200, **fields: object) -> web.Response:
        body = {"ClockMs": self.read_clock_ms(), "born": self._born_ms} | fields
        return web.json_response(body, status=status)

    async def _read(self, request: web.Request) -> tuple[dict, web.Response | None]:
        """Return the body, and a response if the call is not for this minion."""
        body = await request.json()
        if self._has_ended:
            # A call that was on its way when this life ended is not carried out.
            raise web.HTTPServiceUnavailable
        expected = request.headers.get("X-Amaranthspar-Expected-Instance", self.name)
        if expected != self.name:
            return body, self._answer(421)
        fence = body.get("Fence", 0)
        if fence < self._fence:
            return body, self._answer(409, Reason="fence")
        self._fence = fence
        return body, None

    def _extend(self, deadline_ms: int) -> None:
        latest_ms = self.read_clock_ms() + MAX_HOLD_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, latest_ms))

    async def _start(self, request: web.Request) -> web.Response:
        body, refusal = await self._read(request)
        if refusal is not None:
            return refusal
        self._finish()
        task, number = body["Task"], body["Run"]
        running = self._running.get(task)
        if running is not None and running.number == number:
            return self._answer()
        if body["DeadlineMs"] <= self.read_clock_ms():
            return self._answer(409, Reason="late")
        self._extend(body["DeadlineMs"])
        if number <= self._barred.get(task, 0):
            return self._answer(409, Reason="old")
        words = dict(part.split("=") for part in body["Spec"].split())
        cpu = int(words["cpu"])
        used = sum(run.cpu for run in self._running.values())
        if used + cpu > self.cpu or running is not None:
            return self._answer(409, Reason="room")
        self._running[task] = Run(task, number, cpu, int(words["ms"]))
        self._recorder.note(
            "run begins",
            minion=self.name,
            zone=self.zone,
            labels=self.labels,
            task=task,
            run=number,
        )
        return self._answer()

    async def _stop(self, request: web.Request) -> web.Response:
        body, refusal = await self._read(request)
        if refusal is not None:
            return refusal
        task, number = body["Task"], body["Run"]
        self._barred[task] = max(self._barred.get(task, 0), number)
        run = self._running.get(task)
        if run is not None and run.number <= number:
            self._end(run, "stopped")
        return self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        body, refusal = await self._read(request)
        if refusal is not None:
            return refusal
        self._finish()
        if body.get("DeadlineMs"):
            self._extend(body["DeadlineMs"])
        seen = body.get("SeenUpto", 0)
        self._ended = [row for row in self._ended if row[0] > seen]
        wait_s = min(body.get("WaitMs", 0), MAX_WAIT_MS) / 1000
        until_s = time.monotonic() + wait_s
        while not self._ended and time.monotonic() < until_s:
            await asyncio.sleep(STEP_S)
        running = [
            [run.task, run.number, "", self._read_percent(run), run.cpu]
            for run in self._running.values()
        ]
        return self._answer(Running=running, Ended=self._ended[:500])

    @staticmethod
    def _read_percent(run: Run) -> int:
        return min(99, int(100 * (time.monotonic() - run.start_s) / run.work_s))

    async def _work(self) -> None:
        while True:
            self._finish()
            await asyncio.sleep(STEP_S)

    def _finish(self) -> None:
        has_lapsed = self.read_clock_ms() > self._lease_ms
        for run in list(self._running.values()):
            if time.monotonic() - run.start_s >= run.work_s:
                self._end(run, "done")
            elif has_lapsed:
                self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        del self._running[run.task]
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.number)
        self._ended_number += 1
        self._ended.append([self._ended_number, run.task, run.number, how, ""])
        self._recorder.note(
            "run ends",
            minion=self.name,
            zone=self.zone,
            task=run.task,
            run=run.number,
            how=how,
        )

    async def _send_heartbeats(self) -> None:
        url = f"http://{self.control}/amaranthspar/instances/{self.name}/heartbeat"
        async with aiohttp.ClientSession() as session:
            while True:
                accepted = False
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    accepted = await self._send_heartbeat(session, url)
                await asyncio.sleep(HEARTBEAT_S if accepted else HEARTBEAT_RETRY_S)

    async def _send_heartbeat(self, session: aiohttp.ClientSession, url: str) -> bool:
        self._sequence += 1
        body = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemMb": 262_144, "Gpu": 0},
            "Labels": self.labels,
            "ClockMs": self.read_clock_ms(),
            "Seq": self._sequence,
            "born": self._born_ms,
        }
        timeout = aiohttp.ClientTimeout(total=1)
        async with session.post(
            url,
            data=json.dumps(body),
            headers={"Content-Type": "application/json"},
            timeout=timeout,
        ) as response:
            return 200 <= response.status < 300
