"""End-to-end tests of the platform's protocol: callers, operators and an upstream."""

import asyncio
import contextlib
import json

import aiohttp
import pytest
import structlog

from amaranthspar import clock, ports, processes
from amaranthspar.observation import metering
from amaranthspar.platform import callers, operators, registrations, servers, upstreams
from amaranthspar.roles import controller, jobgateway, runsidecar
from amaranthspar.scheduling import runevents
from amaranthspar.schema import codec, options, runmessages, viewmessages
from tests import builders_platform as builders

WAIT_S = 20
JOB = "00ff00ff00ff00ff"
HEADERS = {"Host": "desk.example"}


class System:
    """One controller, gateway, sidecar and fake upstream in this process."""

    def __init__(self, folder) -> None:
        addresses = ports.find_addresses(6)
        control, gate, side = addresses[:3]
        self.callers, self.operators, self.registrations = addresses[3:]
        self.upstream = builders.FakeUpstream()
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
            processes.ProcessSettings("gate", gate, [control]), meters
        )
        self.sidecar = runsidecar.RunSidecar(
            processes.ProcessSettings("side", side, [control]),
            "quotes",
            "east",
            upstreams.Upstream(self.upstream.address, 1_000),
            meters,
        )
        handler = callers.Callers(self.gateway)
        registration = registrations.Registrations(self.sidecar, "quotes")
        requests = operators.Operators(self.controller.document_requests)
        self.servers = {
            self.callers: servers.Server(handler.handle),
            self.operators: servers.Server(requests.handle),
            self.registrations: servers.Server(registration.handle),
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
        """Return the status and the body of a response."""
        url = f"http://{address}{path}"
        async with self.session.request(
            method, url, data=body, headers=HEADERS
        ) as response:
            return response.status, await response.read()

    async def wait_for(self, status, method, address, path, body=None):
        """Repeat a call until the response has a status, and return its body."""
        async with asyncio.timeout(WAIT_S):
            while True:
                received, answer = await self.call(method, address, path, body)
                if received == status:
                    return answer
                await asyncio.sleep(0.02)

    async def prepare(self) -> None:
        """Put a configuration, register the upstream and wait for the routes."""
        body = builders.build_configuration(1)
        await self.wait_for(200, "POST", self.operators, operators.PUT_PATH, body)
        path = f"{registrations.PATH}i-1/heartbeat"
        body = builders.build_heartbeat()
        await self.wait_for(200, "POST", self.registrations, path, body)
        await self.wait_for(200, "GET", self.callers, "/quotes/")
        async with asyncio.timeout(WAIT_S):
            while not (
                self.gateway._contact.has_contact and self.sidecar._contact.has_contact
            ):
                await asyncio.sleep(0.02)

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
        """Submit a job whose tasks do not end by themselves, and return the call."""
        self.upstream.task_s = 30.0
        caller = asyncio.create_task(self.submit(job, count=count))
        async with asyncio.timeout(WAIT_S):
            while len(self.upstream.runs) < count:
                await asyncio.sleep(0.02)
        return caller


def run_scenario(tmp_path, scenario) -> None:
    async def run() -> None:
        system = System(tmp_path)
        await system.open()
        try:
            await system.prepare()
            await scenario(system)
        finally:
            await system.close()

    asyncio.run(run())


def test_job_completes_after_each_task_has_run_once(tmp_path):
    async def scenario(system) -> None:
        assert await system.submit_until_done(count=3) == "completed"
        tasks = [task for task, _ in system.upstream.starts]
        assert sorted(tasks) == [f"{JOB}.0.0.{index}" for index in range(3)]

    run_scenario(tmp_path, scenario)


def test_job_fails_after_all_attempts_of_a_task_failed(tmp_path):
    async def scenario(system) -> None:
        system.upstream.is_failing = True
        assert await system.submit_until_done(count=1) == "failed"
        assert [run for _, run in system.upstream.starts] == [1, 2, 3]

    run_scenario(tmp_path, scenario)


def test_unanswered_start_causes_no_concurrent_duplicate_run(tmp_path):
    async def scenario(system) -> None:
        system.upstream.task_s = 0.5
        system.upstream.unanswered_starts = 1
        assert await system.submit_until_done(count=1) == "completed"
        assert len(system.upstream.runs) == 0

    run_scenario(tmp_path, scenario)


class PausableClock(clock.Clock):
    """Clock that is ahead by the time for which the process was paused."""

    paused_ms = 0

    def read_monotonic(self) -> int:
        return super().read_monotonic() + self.paused_ms


def test_start_decided_before_a_pause_is_not_sent_after_it(tmp_path):
    """The gateway's lease may have expired while the sidecar process was paused."""

    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        sidecar, time = system.sidecar, PausableClock()
        sidecar._clock = time
        run = sidecar._create_task

        def pause(call) -> None:
            sidecar._create_task = run
            time.paused_ms += 2 * runsidecar.MAX_DECISION_AGE_MS
            run(call)

        sidecar._create_task = pause
        job = JOB[::-1]
        assert await system.submit_until_done(job, count=1) == "completed"
        runs = [number for task, number in system.upstream.starts if job in task]
        assert runs == [2]

    run_scenario(tmp_path, scenario)


def test_runs_are_lost_when_upstream_refuses_connections(tmp_path):
    """An upstream crashes with runs, and its next incarnation starts seconds later."""

    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        submission = await system.start_long_runs(JOB[::-1], count=2)
        with structlog.testing.capture_logs() as lines:
            await system.upstream.close()
            async with asyncio.timeout(WAIT_S):
                while system.sidecar.has_runs:
                    await asyncio.sleep(0.02)
        submission.cancel()
        lost = [line["reason"] for line in lines if line["event"] == "run lost"]
        assert lost == ["upstream has no listener"] * 2

    run_scenario(tmp_path, scenario)


def test_undelivered_renewal_does_not_extend_lease(tmp_path):
    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        async with asyncio.timeout(WAIT_S):
            while not system.sidecar._upstream.find_lease_end_ms():
                await asyncio.sleep(0.02)
        known = system.sidecar._incarnations
        life, fence = known.current, known.fence
        system.sidecar._loops[1].cancel()
        await system.upstream.close()
        calls = system.sidecar._upstream
        end_ms = calls.find_lease_end_ms()
        for _ in range(20):
            with contextlib.suppress(runsidecar.RefusedError):
                await calls.renew_lease(life, 0, 0, fence)
            await asyncio.sleep(0.01)
        assert calls.find_lease_end_ms() == end_ms

    run_scenario(tmp_path, scenario)


def test_start_does_not_reach_the_next_incarnation_of_an_upstream(tmp_path):
    """It is back at once under its id, perhaps without a label that the task needs."""

    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        known = system.sidecar._incarnations
        life, fence = known.current, known.fence
        system.sidecar._loops[1].cancel()
        calls = system.sidecar._upstream
        name = runmessages.RunName("late.0.0.0", 1)
        order = runmessages.RunOrder(name, runmessages.Resources(1000, 64, 0))
        answer = await calls.start(life, order, "x", fence)
        assert answer is runevents.Answer.ACCEPTED
        system.upstream.replace_process()
        started = list(system.upstream.starts)
        answers = [await calls.start(life, order, "x", fence) for _ in range(10)]
        assert answers[-1] is runevents.Answer.REPLACED
        # The end of a connection may not have been noticed yet.
        assert set(answers) <= {runevents.Answer.REPLACED, runevents.Answer.UNKNOWN}
        assert system.upstream.starts == started

    run_scenario(tmp_path, scenario)


def test_calls_to_unresponsive_upstream_are_rate_limited(tmp_path):
    """An upstream fails with runs, and its host refuses connections immediately."""

    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        calls = []

        async def refuse(*_arguments):
            calls.append("stop")
            return runevents.Answer.UNKNOWN

        async def fail(*_arguments):
            calls.append("hold")
            raise runsidecar.SilentError("connection refused")

        submission = await system.start_long_runs(JOB[::-1], count=4)
        system.sidecar._upstream.stop = refuse
        system.sidecar._upstream.renew_lease = fail
        began_s = asyncio.get_running_loop().time()
        system.gateway.cancel(JOB[::-1], "test")
        await asyncio.sleep(0.5)
        async with asyncio.timeout(WAIT_S):
            while calls.count("stop") < 8:
                await asyncio.sleep(0.02)
        passed_ms = 1000 * (asyncio.get_running_loop().time() - began_s)
        submission.cancel()
        tries = passed_ms // runsidecar.RETRY_PAUSE_MS + 2
        assert calls.count("stop") <= 4 * tries
        assert calls.count("hold") <= tries

    run_scenario(tmp_path, scenario)


def test_request_is_answered_after_unexpected_error(tmp_path):
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

    run_scenario(tmp_path, scenario)


def test_messages_with_invalid_values_stop_no_process(tmp_path):
    """Each message contains values that no process of this system sends."""

    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        name = runmessages.RunName("", -1)
        stale = runmessages.RunReport(name, "stale", "not a number")
        bad = [
            runmessages.StopRuns([name] * 3),
            runmessages.KeepRuns(10**15, 10**15, True, [name], -5),
            runmessages.StartRuns(-1, "", "", [], 10**15),
            viewmessages.View(10**6, -1, [""], ["no address"], [], ["x"], 7, 9, b"{"),
            viewmessages.View(
                -1, -1, [], ["no address"], [], [], 0, 0, b"", 10**15, 10**15
            ),
            viewmessages.FetchView(-5, -5, -5, -5, wants_document=True),
            runmessages.FindJob(-1, "", cancels=True),
            runmessages.JobFound(-1, "cancelled"),
            runmessages.RunReports([stale], build_room()),
        ]
        for message in bad:
            frame = codec.Frame("stranger", 1, "127.0.0.1:1", [message])
            system.gateway._receive(frame)
            system.sidecar._receive(frame)
            system.controller._receive(frame)
        await asyncio.sleep(0.3)
        assert await system.submit_until_done(JOB[::-1], count=2) == "completed"

    run_scenario(tmp_path, scenario)


def build_room() -> runmessages.Room:
    needs = runmessages.Resources(-1, -1, -1)
    return runmessages.Room(1, 0, "u@9", "quotes", "", [], needs, needs, False)


def test_runs_are_stopped_after_caller_disconnects(tmp_path):
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

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("deadline", ["300", "x", "0", "9" * 400])
def test_job_ends_once_its_caller_has_given_up(tmp_path, deadline):
    """The end of the connection does not arrive, and the job may run elsewhere."""

    async def scenario(system) -> None:
        system.upstream.task_s = 30.0
        headers = HEADERS | {callers.DEADLINE_HEADER: deadline}
        url = f"http://{system.callers}/quotes/{JOB}"
        body = builders.build_job(count=2)
        call = system.session.post(url, data=body, headers=headers)
        if deadline != "300":
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1):
                    await call
            return
        async with call as response:
            assert response.status == 504
        async with asyncio.timeout(WAIT_S):
            while system.upstream.runs:
                await asyncio.sleep(0.02)
        assert len(system.upstream.starts) == 2

    run_scenario(tmp_path, scenario)


def test_failure_domain_out_of_service_starts_no_runs_until_returned(tmp_path):
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

    run_scenario(tmp_path, scenario)


def test_highest_version_is_kept_and_resending_changes_nothing(tmp_path):
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

    run_scenario(tmp_path, scenario)


def test_malformed_bodies_are_rejected_without_effect(tmp_path):
    async def scenario(system) -> None:
        put = await system.call("POST", system.operators, operators.PUT_PATH, b"{")
        path = f"{registrations.PATH}i-2/heartbeat"
        heartbeat = await system.call("POST", system.registrations, path, b"\xff")
        job = await system.call("POST", system.callers, f"/quotes/{JOB}", b"[")
        assert [put[0], heartbeat[0], job[0]] == [400, 400, 400]
        assert await system.submit_until_done(count=1) == "completed"

    run_scenario(tmp_path, scenario)


def test_stored_jobs_are_rejected_and_never_run(tmp_path):
    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        count = len(system.upstream.starts)
        status, body = await system.submit(JOB[::-1], BestEffort=False)
        assert (status, json.loads(body)["outcome"]) == (503, "not-run")
        assert len(system.upstream.starts) == count

    run_scenario(tmp_path, scenario)


def test_new_incarnation_of_upstream_replaces_old_one(tmp_path):
    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        system.upstream.born = 2
        path = f"{registrations.PATH}i-1/heartbeat"
        body = builders.build_heartbeat(1, born=2)
        await system.call("POST", system.registrations, path, body)
        late = builders.build_heartbeat(99, born=1)
        await system.call("POST", system.registrations, path, late)
        assert await system.submit_until_done(JOB[::-1], count=2) == "completed"

    run_scenario(tmp_path, scenario)


def test_heartbeat_of_another_upstream_ends_no_runs(tmp_path):
    """A complete heartbeat with another id, or a later start, and a wrong address."""

    async def scenario(system) -> None:
        caller = await system.start_long_runs(JOB, count=2)
        with structlog.testing.capture_logs() as lines:
            for name, born in (("i-2", 5), ("i-1", 5), ("i-1", 0)):
                path = f"{registrations.PATH}{name}/heartbeat"
                address = "127.0.0.1:9"
                body = builders.build_heartbeat(1, born=born, Address=address)
                await system.call("POST", system.registrations, path, body)
                await asyncio.sleep(0.4)
        assert [line for line in lines if line["event"] == "run lost"] == []
        assert sorted(run for _, run in system.upstream.starts) == [1, 1]
        assert len(system.upstream.runs) == 2
        caller.cancel()
        system.upstream.task_s = 0.05
        assert await system.submit_until_done(JOB[::-1], count=1) == "completed"

    run_scenario(tmp_path, scenario)


def test_deregistration_under_the_name_of_a_live_upstream_ends_no_runs(tmp_path):
    async def scenario(system) -> None:
        caller = await system.start_long_runs(JOB, count=2)
        path = f"{registrations.PATH}i-1/deregister"
        with structlog.testing.capture_logs() as lines:
            await system.call("POST", system.registrations, path)
            await asyncio.sleep(0.4)
        assert [line for line in lines if line["event"] == "run lost"] == []
        assert sorted(run for _, run in system.upstream.starts) == [1, 1]
        assert len(system.upstream.runs) == 2
        caller.cancel()

    run_scenario(tmp_path, scenario)


def test_restarted_upstream_runs_no_task_twice_at_once(tmp_path):
    """Starts on open connections reach its next incarnation before its first heartbeat."""

    async def scenario(system) -> None:
        await system.submit_until_done(JOB[::-1], count=2)
        system.upstream.restart()
        caller = await system.start_long_runs(JOB, count=2)
        body = builders.build_heartbeat(1, born=2)
        path = f"{registrations.PATH}i-1/heartbeat"
        with structlog.testing.capture_logs() as lines:
            await system.call("POST", system.registrations, path, body)
            async with asyncio.timeout(WAIT_S):
                while len(system.upstream.starts) < 6:
                    await asyncio.sleep(0.02)
        assert [line for line in lines if line["event"] == "run lost"] == []
        assert system.upstream.overlaps == []
        caller.cancel()

    run_scenario(tmp_path, scenario)


def test_sidecar_exceeds_higher_fencing_token_of_upstream(tmp_path):
    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        system.upstream.fence += 1_000
        assert await system.submit_until_done(JOB[::-1], count=1) == "completed"

    run_scenario(tmp_path, scenario)


def test_server_answers_pending_request_while_closing():
    """A gateway without jobs closed its server and cut off a request just received."""

    async def run() -> None:
        requested = asyncio.Event()

        async def answer(_request):
            requested.set()
            await asyncio.sleep(0.5)
            return servers.answer_json(200)

        server = servers.Server(answer, shutdown_ms=5_000)
        (address,) = ports.find_addresses()
        await server.open(address)
        async with aiohttp.ClientSession() as session:
            call = asyncio.create_task(session.get(f"http://{address}/"))
            await requested.wait()
            await server.close()
            response = await call
            assert response.status == 200

    asyncio.run(run())


def test_job_that_becomes_too_large_beside_others_is_refused_as_not_run(tmp_path):
    """A body of 69 bytes with 100,000 tasks takes 46 MB; several end a process."""

    async def scenario(system) -> None:
        await system.submit_until_done(count=1)
        server = system.servers[system.callers]
        holder = server._guard.open(lambda _response: None)
        holder.receive(1)
        holder.complete()
        assert holder.reserve(30_000_000)
        status, body = await system.submit(JOB[::-1], count=100_000, cpu=1)
        assert status == 503
        assert json.loads(body)["outcome"] == "not-run"
        holder.close()
        assert server._guard.drops["decoded"] == 1
        assert await system.submit_until_done(JOB[::-1], count=1) == "completed"

    run_scenario(tmp_path, scenario)
