"""The whole path over the platform's protocol: callers, operators and an upstream."""

import asyncio
import contextlib
import json

import aiohttp
import structlog

from amaranthspar import clock, places, ports
from amaranthspar.observation import metering
from amaranthspar.platform import callers, operators, servers, statements, upstreams
from amaranthspar.roles import controller, jobgateway, runsidecar
from amaranthspar.scheduling import runevents
from amaranthspar.schema import codec, options, runmessages, viewmessages
from tests import builders_platform as builders

WAIT_S = 20
JOB = "00ff00ff00ff00ff"
HEADERS = {"Host": "desk.example"}


class System:
    """One controller, gateway, sidecar and upstream in this process."""

    def __init__(self, folder) -> None:
        found = ports.find_addresses(6)
        control, gate, side = found[:3]
        self.callers, self.operators, self.statements = found[3:]
        self.upstream = builders.StandInUpstream()
        self.controller = controller.Controller(
            options.ProcessOptions("core", control, [control], "east"),
            options.LinkOptions(),
            options.ControllerOptions(
                "c1",
                [f"c1={control}"],
                str(folder),
                election_ms=100,
                heartbeat_ms=20,
            ),
        )
        meters = metering.Meters()
        self.gateway = jobgateway.JobGateway(
            places.Place("gate", gate, [control]), meters
        )
        self.sidecar = runsidecar.RunSidecar(
            places.Place("side", side, [control]),
            "quotes",
            "east",
            upstreams.Upstream(self.upstream.address, 1_000),
            meters,
        )
        handler = callers.Callers(self.gateway)
        told = statements.Statements(self.sidecar, "quotes")
        requests = operators.Operators(self.controller.document_requests)
        self.servers = {
            self.callers: servers.Server(handler.handle),
            self.operators: servers.Server(requests.handle),
            self.statements: servers.Server(told.handle),
        }

    async def open(self) -> None:
        await self.upstream.open()
        for role in (self.controller, self.gateway, self.sidecar):
            await role.start()
        for address, server in self.servers.items():
            await server.open(address)
        self.session = aiohttp.ClientSession()

    async def close(self) -> None:
        await self.session.close()
        for server in self.servers.values():
            await server.close()
        self.gateway.close()
        await self.sidecar.close()
        self.controller.abort()
        await self.upstream.close()

    async def call(self, method, address, path, body=None):
        """Return the status and the body of an answer."""
        url = f"http://{address}{path}"
        async with self.session.request(
            method, url, data=body, headers=HEADERS
        ) as response:
            return response.status, await response.read()

    async def wait_for(self, status, method, address, path, body=None):
        """Repeat a call until it has a status, and return the body."""
        async with asyncio.timeout(WAIT_S):
            while True:
                found, answer = await self.call(method, address, path, body)
                if found == status:
                    return answer
                await asyncio.sleep(0.02)

    async def prepare(self) -> None:
        """Put a configuration in force and have the upstream state itself."""
        body = builders.build_configuration(1)
        await self.wait_for(200, "POST", self.operators, operators.PUT_PATH, body)
        path = f"{statements.PATH}i-1/heartbeat"
        body = builders.build_heartbeat()
        await self.wait_for(200, "POST", self.statements, path, body)
        await self.wait_for(200, "GET", self.callers, "/quotes/")

    async def submit(self, job=JOB, **changes):
        body = builders.build_job(**changes)
        return await self.call("POST", self.callers, f"/quotes/{job}", body)

    async def submit_until_done(self, job=JOB, **changes):
        async with asyncio.timeout(WAIT_S):
            while True:
                status, body = await self.submit(job, **changes)
                if status == 200:
                    return json.loads(body)["State"]
                await asyncio.sleep(0.02)

    async def start_long_runs(self, job, count) -> asyncio.Task:
        """Submit a job that does not end by itself, and return its caller."""
        self.upstream.task_s = 30.0
        caller = asyncio.create_task(self.submit(job, count=count))
        async with asyncio.timeout(WAIT_S):
            while len(self.upstream.runs) < count:
                await asyncio.sleep(0.02)
        return caller


def play(tmp_path, scenario) -> None:
    async def run() -> None:
        system = System(tmp_path)
        await system.open()
        try:
            await system.prepare()
            await scenario(system)
        finally:
            await system.close()

    asyncio.run(run())


def test_job_is_answered_once_all_its_tasks_have_run_once(tmp_path):
    async def scenario(system) -> None:
        assert await system.submit_until_done(count=3) == "completed"
        tasks = [task for task, _ in system.upstream.starts]
        assert sorted(tasks) == [f"{JOB}.0.0.{index}" for index in range(3)]

    play(tmp_path, scenario)


def test_job_whose_tasks_fail_each_time_is_shown_as_failed(tmp_path):
    async def scenario(system) -> None:
        system.upstream.fails = True
        assert await system.submit_until_done(count=1) == "failed"
        assert [run for _, run in system.upstream.starts] == [1, 2, 3]

    play(tmp_path, scenario)


def test_start_without_an_answer_runs_no_task_twice_at_once(tmp_path):
    async def scenario(system) -> None:
        system.upstream.task_s = 0.5
        system.upstream.mute_starts = 1
        assert await system.submit_until_done(count=1) == "completed"
        assert len(system.upstream.runs) == 0

    play(tmp_path, scenario)


class PausableClock(clock.Clock):
    """A clock that shows how long the process has been paused."""

    paused_ms = 0

    def read_monotonic(self) -> int:
        return super().read_monotonic() + self.paused_ms


def test_start_decided_before_a_pause_is_not_sent_after_it(tmp_path):
    """The gateway's lease may have run out while the process stood still."""

    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        sidecar, time = system.sidecar, PausableClock()
        sidecar._clock = time
        run = sidecar._run

        def pause(call) -> None:
            sidecar._run = run
            time.paused_ms += 2 * runsidecar.DECISION_MS
            run(call)

        sidecar._run = pause
        job = JOB[::-1]
        assert await system.submit_until_done(job, count=1) == "completed"
        runs = [number for task, number in system.upstream.starts if job in task]
        assert runs == [2]

    play(tmp_path, scenario)


def test_runs_are_lost_as_soon_as_nobody_listens_at_the_upstream(tmp_path):
    """An upstream crashes with runs; its next life comes seconds later."""

    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        posting = await system.start_long_runs(JOB[::-1], count=2)
        with structlog.testing.capture_logs() as lines:
            await system.upstream.close()
            async with asyncio.timeout(WAIT_S):
                while system.sidecar.has_runs:
                    await asyncio.sleep(0.02)
        posting.cancel()
        lost = [line["reason"] for line in lines if line["event"] == "run lost"]
        assert lost == ["upstream has no listener"] * 2

    play(tmp_path, scenario)


def test_renewal_that_nobody_received_makes_the_lease_no_longer(tmp_path):
    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        async with asyncio.timeout(WAIT_S):
            while not system.sidecar._upstream.find_lease_end_ms():
                await asyncio.sleep(0.02)
        life = system.sidecar._life
        system.sidecar._loops[1].cancel()
        await system.upstream.close()
        calls = system.sidecar._upstream
        end_ms = calls.find_lease_end_ms()
        for _ in range(20):
            with contextlib.suppress(runsidecar.RefusedError):
                await calls.hold(life, 0, 0, system.sidecar._fence)
            await asyncio.sleep(0.01)
        assert calls.find_lease_end_ms() == end_ms

    play(tmp_path, scenario)


def test_dead_upstream_is_called_a_few_times_a_second_only(tmp_path):
    """An upstream goes down with runs, and its host refuses connections at once."""

    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        calls = []

        async def refuse(*_arguments):
            calls.append("stop")
            return runevents.Answer.SILENT

        async def fail(*_arguments):
            calls.append("hold")
            raise runsidecar.SilentError("connection refused")

        posting = await system.start_long_runs(JOB[::-1], count=4)
        system.sidecar._upstream.stop = refuse
        system.sidecar._upstream.hold = fail
        began_s = asyncio.get_running_loop().time()
        system.gateway.cancel(JOB[::-1], "test")
        await asyncio.sleep(0.5)
        async with asyncio.timeout(WAIT_S):
            while calls.count("stop") < 8:
                await asyncio.sleep(0.02)
        passed_ms = 1000 * (asyncio.get_running_loop().time() - began_s)
        posting.cancel()
        tries = passed_ms // runsidecar.PAUSE_MS + 2
        assert calls.count("stop") <= 4 * tries
        assert calls.count("hold") <= tries

    play(tmp_path, scenario)


def test_request_that_meets_an_unexpected_error_is_answered(tmp_path):
    async def scenario(system) -> None:
        def fail(*_arguments):
            raise RuntimeError("unexpected")

        handle = system.gateway._dispatcher.handle
        system.gateway._dispatcher.handle = fail
        assert (await system.submit())[0] == 503
        system.gateway._dispatcher.handle = handle
        assert await system.submit_until_done(count=1) == "completed"
        show, system.gateway.find_state = system.gateway.find_state, fail
        assert (await system.call("GET", system.callers, f"/quotes/{JOB}"))[0] == 500
        system.gateway.find_state = show
        status, _ = await system.call("GET", system.callers, f"/quotes/{JOB}")
        assert status == 410

    play(tmp_path, scenario)


def test_messages_that_make_no_sense_end_no_process(tmp_path):
    """One frame of each kind with values that no process of ours sends."""

    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        name = runmessages.RunName("", -1)
        stale = runmessages.RunReport(name, "stale", "not a number")
        bad = [
            runmessages.StopRuns([name] * 3),
            runmessages.KeepRuns(10**15, 10**15, True, [name], -5),
            runmessages.StartRuns(-1, "", "", [], 10**15),
            viewmessages.View(10**6, -1, [""], ["no address"], [], ["x"], 7, 9, b"{"),
            runmessages.RunReports([stale], system_room()),
        ]
        for message in bad:
            frame = codec.Frame("stranger", 1, "127.0.0.1:1", [message])
            system.gateway._receive(frame)
            system.sidecar._receive(frame)
            system.controller._receive(frame)
        await asyncio.sleep(0.3)
        assert await system.submit_until_done(JOB[::-1], count=2) == "completed"

    play(tmp_path, scenario)


def system_room() -> runmessages.Room:
    needs = runmessages.Resources(-1, -1, -1)
    return runmessages.Room(1, 0, "u@9", "quotes", "", [], needs, needs, False)


def test_runs_end_soon_after_their_caller_has_left(tmp_path):
    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        system.upstream.task_s = 30.0
        url = f"http://{system.callers}/quotes/{JOB[::-1]}"
        body = builders.build_job(count=2)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                await system.session.post(url, data=body, headers=HEADERS)
        async with asyncio.timeout(WAIT_S):
            while system.upstream.runs:
                await asyncio.sleep(0.02)

    play(tmp_path, scenario)


def test_domain_taken_out_starts_nothing_until_it_is_back(tmp_path):
    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        path = f"{operators.DOMAIN_PATH}east/"
        status, _ = await system.call("POST", system.operators, f"{path}start")
        assert status == 200
        async with asyncio.timeout(WAIT_S):
            while (await system.submit(JOB[::-1]))[0] == 200:
                await asyncio.sleep(0.02)
        count = len(system.upstream.starts)
        status, body = await system.submit(JOB[::-1])
        assert (status, json.loads(body)["outcome"]) == (503, "not-run")
        assert len(system.upstream.starts) == count
        await system.call("POST", system.operators, f"{path}finish")
        assert await system.submit_until_done(JOB[::-1]) == "completed"

    play(tmp_path, scenario)


def test_highest_version_wins_and_a_resend_changes_nothing(tmp_path):
    async def scenario(system) -> None:
        newer = builders.build_configuration(5, routes=[])
        for body in (newer, builders.build_configuration(3), newer):
            status, _ = await system.call(
                "POST", system.operators, operators.PUT_PATH, body
            )
            assert status == 200
        other = builders.build_configuration(5)
        await system.call("POST", system.operators, operators.PUT_PATH, other)
        status, body = await system.call("GET", system.operators, operators.GET_PATH)
        assert (status, body) == (200, newer)
        await system.wait_for(404, "GET", system.callers, "/quotes/")

    play(tmp_path, scenario)


def test_bad_bodies_are_refused_and_change_nothing(tmp_path):
    async def scenario(system) -> None:
        put = await system.call("POST", system.operators, operators.PUT_PATH, b"{")
        path = f"{statements.PATH}i-2/heartbeat"
        beat = await system.call("POST", system.statements, path, b"\xff")
        job = await system.call("POST", system.callers, f"/quotes/{JOB}", b"[")
        assert [put[0], beat[0], job[0]] == [400, 400, 400]
        assert await system.submit_until_done(count=1) == "completed"

    play(tmp_path, scenario)


def test_stored_jobs_are_refused_at_once_and_never_run(tmp_path):
    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        count = len(system.upstream.starts)
        status, body = await system.submit(JOB[::-1], BestEffort=False)
        assert (status, json.loads(body)["outcome"]) == (503, "not-run")
        assert len(system.upstream.starts) == count

    play(tmp_path, scenario)


def test_new_life_of_the_upstream_takes_over(tmp_path):
    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        system.upstream.born = 2
        path = f"{statements.PATH}i-1/heartbeat"
        body = builders.build_heartbeat(1, born=2)
        await system.call("POST", system.statements, path, body)
        late = builders.build_heartbeat(99, born=1)
        await system.call("POST", system.statements, path, late)
        assert await system.submit_until_done(JOB[::-1], count=2) == "completed"

    play(tmp_path, scenario)


def test_higher_fence_is_passed(tmp_path):
    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        system.upstream.fence += 1_000
        assert await system.submit_until_done(JOB[::-1], count=1) == "completed"

    play(tmp_path, scenario)


def test_request_that_comes_while_a_server_closes_gets_its_answer():
    """A gateway without jobs closed its server, and cut off one that had just come."""

    async def run() -> None:
        asked = asyncio.Event()

        async def answer(_request):
            asked.set()
            await asyncio.sleep(0.5)
            return servers.answer_json(200)

        server = servers.Server(answer, shutdown_ms=5_000)
        (address,) = ports.find_addresses()
        await server.open(address)
        async with aiohttp.ClientSession() as session:
            call = asyncio.create_task(session.get(f"http://{address}/"))
            await asked.wait()
            await server.close()
            response = await call
            assert response.status == 200

    asyncio.run(run())
