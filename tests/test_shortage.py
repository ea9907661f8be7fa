"""Tests of order, admission and forecast under a temporary shortage of capacity.

`benchmarks.shortage` replays the bursts of docs/hard-load.md, with a quarter of the
sidecars cut off, through real dispatchers and run managers.
"""

import random

import pytest

from amaranthspar.scheduling import delivery, jobevents, jobqueue, jobs, sidecars
from amaranthspar.schema import runmessages
from benchmarks import shortage
from tests import builders_scheduling as builders

URGENT = "urgent"
BULK = "bulk"
PRIORITIES = {URGENT: 0, BULK: 2}


def build_entry(name, arrived_ms=0, cores=1.0, duration_ms=100, queue=URGENT):
    needs = builders.build_step(1, cores, duration_ms)
    request = builders.build_request(
        name, builders.build_queue(name=queue, priority=PRIORITIES[queue]), [needs]
    )
    job = jobs.build_job(request, arrived_ms)
    return jobqueue.Entry(job, cores, cores * duration_ms, duration_ms)


def build_queue(*entries, cores=100.0):
    """Build a queue in which both priorities are in use and some jobs wait."""
    queue = jobqueue.JobQueue()
    forecast = jobqueue.Forecast(0, cores, 0.0)
    for name in PRIORITIES:
        assert queue.admit(build_entry(name, queue=name), forecast).is_admitted
        queue.remove(name)
    for entry in entries:
        assert queue.admit(entry, forecast).is_admitted
    return queue


def list_names(found):
    return [item.request.id for item in found]


def list_waiting(queue):
    return list_names(entry.job for entry in queue.list_entries())


def begin_shortage(gateway, priorities=(0, 2)):
    """Let jobs of a gateway without free capacity miss their start deadlines."""
    for number, priority in enumerate(priorities):
        queue = builders.build_queue(name=f"waiting-{number}", priority=priority)
        step = builders.build_step(1, 8, 100)
        gateway.submit(builders.build_request(f"waiting-{number}", queue, [step]))
    gateway.wait(300)
    for name in gateway.dispatcher.jobs.copy():
        gateway.step(jobevents.Cancel(name, jobevents.Outcome.CANCELLED, "test"))
    gateway.sent.clear()
    gateway.ended.clear()


@pytest.fixture(scope="module")
def burst():
    """What callers got of the jobs that arrived in a burst, by queue."""
    simulation = shortage.Simulation(shortage.Scenario(seconds=10))
    simulation.run()
    begin_ms, end_ms = simulation.shortage.burst
    return simulation.summarize(begin_ms, end_ms + 1_000)


def test_urgent_jobs_keep_their_value_in_a_burst(burst):
    """Order by deadline earned 0.30 for the most urgent queue and 0.56 for the next."""
    assert burst["lookup"].value > 0.4
    assert burst["flag"].value > 0.65


def test_few_answers_are_late_in_a_burst(burst):
    """Order by deadline made 36% of all jobs late once it had fallen behind."""
    late = sum(found.counts["late"] for found in burst.values())
    assert late < 0.2 * sum(found.counts.total() for found in burst.values())


def test_no_queue_is_left_without_service_in_a_burst(burst):
    """Priority alone would leave the least urgent queue nothing."""
    served = [
        (found.counts["in time"] + found.counts["late"]) / found.counts.total()
        for found in burst.values()
    ]
    assert min(served) > max(served) / 2


def test_every_job_is_answered(burst):
    assert not any(found.counts["unanswered"] for found in burst.values())


def test_nothing_is_refused_or_late_at_ordinary_load():
    scenario = shortage.Scenario(
        seconds=4, large=1.0, small=1.0, cut=0.0, failing=0.0, late=0.0, hopeless=0.0
    )
    simulation = shortage.Simulation(scenario)
    simulation.run()
    for found in simulation.summarize().values():
        assert set(found.counts) == {"in time"}


# Order and admission.


def test_job_that_can_be_on_time_goes_before_late_ones():
    """A late job at the head of the queue made each next one late as well."""
    queue = build_queue(build_entry("late"), build_entry("long", 0, 1, 900))
    late_ms = queue.find("late").job.start_by_ms + 1
    queue.advance(late_ms)
    fresh = build_entry("fresh", late_ms)
    assert queue.admit(fresh, jobqueue.Forecast(late_ms, 100.0, 0.0)).is_admitted
    assert list_waiting(queue) == ["fresh", "long", "late"]


def test_late_job_with_runs_is_finished_while_its_answer_has_value():
    """Its runs would be wasted if its other tasks waited behind all later jobs."""
    queue = build_queue(build_entry("begun"), build_entry("late"))
    job = queue.find("begun").job
    job.is_dispatched = True
    queue.advance(job.start_by_ms + 1)
    assert list_waiting(queue) == ["begun", "late"]
    fresh = build_entry("fresh", job.start_by_ms + 1)
    queue.admit(fresh, jobqueue.Forecast(job.start_by_ms + 1, 100.0, 0.0))
    assert list_waiting(queue) == ["begun", "fresh", "late"]
    last = build_entry("last", job.end_by_ms)
    queue.admit(last, jobqueue.Forecast(job.end_by_ms, 100.0, 0.0))
    assert list_waiting(queue) == ["last", "begun", "late", "fresh"]


def test_late_job_with_runs_counts_as_work_ahead():
    """It is served first, so that a job admitted as if it were not there starts late."""
    queue = build_queue(build_entry("begun", 0, 30, 100), cores=100.0)
    job = queue.find("begun").job
    job.is_dispatched = True
    late_ms = job.start_by_ms + 1
    queue.advance(late_ms)
    forecast = jobqueue.Forecast(late_ms, 50.0, 0.0)
    assert not queue.admit(build_entry("new", late_ms, 20, 100), forecast).is_admitted
    job.is_dispatched = False
    assert queue.admit(build_entry("next", late_ms, 20, 100), forecast).is_admitted


def test_urgent_job_displaces_the_largest_less_urgent_one():
    """Large jobs admitted earlier held the queue, and urgent ones were refused."""
    small = build_entry("small", 0, 10, 200, BULK)
    large = build_entry("large", 0, 30, 300, BULK)
    queue = build_queue(small, large)
    admission = queue.admit(
        build_entry("new", 0, 30, 100), jobqueue.Forecast(0, 60.0, 0.0)
    )
    assert admission.is_admitted
    assert list_names(admission.displaced) == ["large"]
    assert list_waiting(queue) == ["new", "small"]


def test_job_with_runs_is_never_displaced():
    """Its refusal would not be true."""
    large = build_entry("large", 0, 50, 300, BULK)
    queue = build_queue(large)
    large.job.is_dispatched = True
    forecast = jobqueue.Forecast(0, 90.0, 0.0)
    admission = queue.admit(build_entry("new", 0, 30, 100), forecast)
    assert admission.displaced == ()
    assert "large" in list_waiting(queue)


def test_less_urgent_job_displaces_nothing():
    queue = build_queue(build_entry("urgent-1", 0, 30, 100))
    forecast = jobqueue.Forecast(0, 30.0, 0.0)
    admission = queue.admit(build_entry("new", 0, 100, 300, BULK), forecast)
    assert admission == jobqueue.Admission(False)
    assert list_waiting(queue) == ["urgent-1"]


def test_single_priority_keeps_the_order_by_deadline():
    """The order under shortage is opt-in by priorities that differ."""
    queue = jobqueue.JobQueue()
    forecast = jobqueue.Forecast(0, 60.0, 0.0)
    for name in ("a", "b"):
        queue.admit(build_entry(name, 0, 10, 100), forecast)
    queue.advance(10_000)
    refused = queue.admit(
        build_entry("late", 0, 500, 100), jobqueue.Forecast(10_000, 60.0, 0.0)
    )
    assert refused == jobqueue.Admission(False)
    assert not queue.is_short(builders.SERVICE)
    assert list_waiting(queue) == ["a", "b"]


def test_order_by_deadline_returns_after_a_shortage():
    queue = build_queue(
        build_entry("first", 0, 1, 100, BULK), build_entry("second", 0, 1, 900)
    )
    late = build_entry("late", 0, 1, 100)
    queue.insert(late)
    late.job.start_by_ms = 0
    queue.advance(1)
    assert list_waiting(queue) == ["second", "first", "late"]
    queue.remove("late")
    first = queue.find("first").job
    first.start_by_ms = jobqueue.SHORTAGE_HOLD_MS + 1_000
    queue.find("second").job.start_by_ms = first.start_by_ms + 1
    queue.advance(jobqueue.SHORTAGE_HOLD_MS + 2)
    assert list_waiting(queue) == ["first", "second"]


def test_less_urgent_queue_gets_its_share_of_a_lasting_shortage():
    """Urgent arrivals alone could fill all capacity."""
    queue = jobqueue.JobQueue()
    admitted = dict.fromkeys(PRIORITIES, 0)
    for now_ms in range(0, 4_000, 10):
        forecast = jobqueue.Forecast(now_ms, 10.0, 0.0)
        for name in PRIORITIES:
            entry = build_entry(f"{name}-{now_ms}", now_ms, 1, 100, name)
            found = queue.admit(entry, forecast)
            admitted[name] += found.is_admitted
            for job in found.displaced:
                admitted[job.request.queue.name] -= 1
        if now_ms % 20 == 0 and len(queue):
            queue.remove(queue.list_entries()[0].job.request.id)
        queue.pop_expired(now_ms)
    assert admitted[BULK] >= admitted[URGENT] / 2


# Displacement by the dispatcher.


def test_displaced_job_is_refused_at_once_and_never_started():
    gateway = builders.Gateway()
    gateway.list_sidecars("one")
    gateway.receive_room("one", free=0.0, capacity=80.0)
    bulk = builders.build_queue(name=BULK, priority=2, target_ms=180)
    urgent = builders.build_queue(name=URGENT)
    large = builders.build_request("large", bulk, [builders.build_step(6, 10, 300)])
    small = builders.build_request("small", urgent, [builders.build_step(2, 10, 100)])
    gateway.submit(large)
    gateway.submit(small)
    assert list(gateway.ended) == ["large"]
    ended = gateway.ended["large"]
    assert ended.outcome is jobevents.Outcome.REFUSED
    assert ended.retry_after_ms > 0
    starts = gateway.receive_room("one", free=80.0, capacity=80.0)
    assert {item.partition(".")[0] for item in builders.list_orders(starts)} == {
        "small"
    }


# Forecast.


def build_sidecar(used_cores, received_ms=0, **changes):
    sidecar = sidecars.Sidecar("one", 1, "one:1", builders.SERVICE)
    sidecar.update_room(builders.build_room(), 0)
    request = builders.build_request(steps=[builders.build_step(1, used_cores)])
    sidecar.add_task(jobs.build_job(request, 0).tasks[0])
    sidecar.received_ms = received_ms
    for name, value in changes.items():
        setattr(sidecar, name, value)
    return sidecar


def test_runs_on_silent_sidecar_are_no_working_capacity():
    members = [build_sidecar(4.0), build_sidecar(2.0, received_ms=400)]
    assert delivery.count_working_cores(members, 200) == 6.0
    assert delivery.count_working_cores(members, 500) == 2.0


def test_runs_on_slow_sidecar_count_by_its_speed():
    members = [build_sidecar(4.0, slowness=4.0), build_sidecar(4.0, slowness=1.3)]
    assert delivery.count_working_cores(members, 100) == 5.0


def test_free_cores_count_only_in_units_of_a_task():
    """Remainders on many full upstreams made a full fleet look free."""
    sidecar = build_sidecar(1.0)
    sidecar.update_room(builders.build_room(2, free=7.0), 0)
    assert delivery.count_usable_cores([sidecar] * 3, 4_000) == 12.0
    assert delivery.count_usable_cores([sidecar] * 3, 7_200) == 0.0


def test_yield_follows_failed_runs_for_a_second():
    found = delivery.Delivery()
    assert found.measure_yield(0) == 1.0
    found.record_run(10.0, 4_000, False, 0)
    assert found.measure_yield(0) == 1.0
    found.record_run(10.0, 5_000, True, 100)
    assert found.measure_yield(100) == pytest.approx(0.5)
    assert found.measure_yield(100 + 2 * delivery.WINDOW_MS) == 1.0


def test_forecast_without_differing_priorities_counts_allocated_cores():
    """The forecast by delivery is opt-in by priorities that differ."""
    found = {}
    for priority in (0, 2):
        gateway = builders.Gateway()
        gateway.list_sidecars("one", "two")
        for name in ("one", "two"):
            gateway.receive_room(name, free=0.0, capacity=60.0)
        begin_shortage(gateway, (0, priority))
        for name in ("one", "two"):
            gateway.receive_room(name, free=60.0, capacity=60.0)
        step = builders.build_step(10, 10, 2_000)
        gateway.submit(builders.build_request("a", steps=[step]))
        other = builders.build_queue(name="other", priority=priority)
        gateway.submit(builders.build_request("b", other))
        gateway.now_ms += delivery.REPORT_GAP_MS + 100
        gateway.receive_room("one", free=20.0, capacity=60.0, started=9)
        job = gateway.dispatcher.jobs["a"]
        entry = gateway.dispatcher.build_entry(job)
        forecast = gateway.dispatcher._build_forecast(entry, gateway.now_ms)
        found[priority] = forecast.working_cores
    assert found[0] == 101.0
    assert found[2] < found[0]


def test_nothing_is_refused_after_a_start_or_an_idle_time():
    """That nothing has ended lately says nothing about the capacity."""
    gateway = builders.Gateway()
    gateway.list_sidecars("one", "two")
    number = 0
    for _ in range(2):
        for name in ("one", "two"):
            number += 1
            room = builders.build_room(number, free=60.0, capacity=60.0, started=999)
            gateway.receive(name, room)
        for _ in range(40):
            number += 1
            name = (URGENT, BULK)[number % 2]
            queue = builders.build_queue(name=name, priority=PRIORITIES[name])
            step = builders.build_step(3, 1.0, 300)
            gateway.submit(builders.build_request(f"j{number}", queue, [step]))
        gateway.wait(500)
    assert gateway.ended == {}


# Retry-After and jobs that can't succeed.


def test_retry_time_follows_the_decrease_of_the_backlog():
    """A backlog that hardly decreases takes longer than its work over all cores."""
    assert delivery.find_drain_ms(6_000, 60, 0) == 100
    assert delivery.find_drain_ms(6_000, 60, 50) == 600
    assert delivery.find_drain_ms(6_000, 60, 60) == delivery.MAX_DRAIN_MS
    assert delivery.find_drain_ms(6_000, 0, 0) == delivery.MAX_DRAIN_MS
    assert delivery.find_drain_ms(0, 0, 0) == 0


def test_callers_refused_in_a_shortage_are_spread_over_the_backlog():
    gateway = builders.Gateway()
    gateway.list_sidecars("one")
    gateway.receive_room("one", free=0.0, capacity=80.0)
    begin_shortage(gateway)
    for number in range(60):
        name = (URGENT, BULK)[number % 2]
        queue = builders.build_queue(name=name, priority=PRIORITIES[name])
        step = builders.build_step(4, 10, 100)
        gateway.submit(builders.build_request(f"j{number}", queue, [step]))
    times = [ended.retry_after_ms for ended in gateway.ended.values()]
    assert len(times) > 30
    assert min(times) >= delivery.MAX_DRAIN_MS
    assert max(times) - min(times) > delivery.MAX_DRAIN_MS / 2


def start_hopeless_job(is_short):
    """Start a job of eight tasks, the first of which fails on two upstreams."""
    gateway = builders.Gateway()
    names = ("one", "two", "three", "four")
    gateway.list_sidecars(*names)
    for name in names:
        gateway.receive_room(name, free=1.0)
    queue = builders.build_queue(max_attempts=4)
    if is_short:
        begin_shortage(gateway)
        for name in names:
            gateway.receive_room(name, free=1.0, started=9)
    gateway.submit(builders.build_request("bad", queue, [builders.build_step(8)]))
    for _ in range(2):
        task = gateway.dispatcher.jobs["bad"].tasks[-1]
        failed = runmessages.RunReport(task.run_name, "failed", "")
        gateway._numbers[task.sidecar] += 1
        room = builders.build_room(gateway._numbers[task.sidecar], free=0.0, started=99)
        gateway.receive(task.sidecar, room, failed)
        others = [name for name in names if name not in task.avoided]
        gateway.receive_room(others[0], free=1.0, started=99)
    return gateway, task


def test_siblings_of_a_task_that_fails_repeatedly_are_not_started_in_a_shortage():
    """Each of them would fail up to `MaxAttempts` times on capacity that is scarce."""
    gateway, task = start_hopeless_job(is_short=True)
    job = gateway.dispatcher.jobs["bad"]
    assert job.suspect is task
    assert job.held
    starts = len(builders.list_orders(builders.list_starts(gateway.sent)))
    for name in ("one", "two", "three", "four"):
        gateway.receive_room(name, free=8.0, started=999)
    orders = builders.list_orders(builders.list_starts(gateway.sent))[starts:]
    assert set(orders) <= {task.name}


def test_held_siblings_start_once_the_task_has_succeeded():
    gateway, task = start_hopeless_job(is_short=True)
    for name in ("one", "two", "three", "four"):
        gateway.receive_room(name, free=8.0, started=999)
    held = {item.name for item in gateway.dispatcher.jobs["bad"].held}
    done = runmessages.RunReport(task.run_name, "done", "", elapsed_ms=100)
    gateway._numbers[task.sidecar] += 1
    room = builders.build_room(gateway._numbers[task.sidecar], started=999)
    starts = gateway.receive(task.sidecar, room, done)
    assert held
    assert held == set(builders.list_orders(starts))


def test_siblings_start_without_a_shortage():
    gateway, _ = start_hopeless_job(is_short=False)
    assert gateway.dispatcher.jobs["bad"].suspect is None


def measure_classes(seed):
    """Serve 20 s of 1.6 times the capacity; return served shares of bulk jobs.

    The shares are those of the largest tenth, the fifth below it, and all.
    """
    chance = random.Random(seed)
    queue = jobqueue.JobQueue()
    sizes: dict[str, float] = {}
    served: set[str] = set()
    work_done = 0.0
    for now_ms in range(0, 20_000, 10):
        forecast = jobqueue.Forecast(now_ms, 100.0, 0.0)
        work_done = min(work_done + 100.0 * 10, 1_000.0)
        for name, share, cores, duration_ms in (
            (URGENT, 0.25, 20, 100),
            (BULK, 0.1, 24, 500),
        ):
            if chance.random() < share:
                cores *= chance.lognormvariate(-0.32, 0.8)
                entry = build_entry(
                    f"{name}-{now_ms}", now_ms, cores, duration_ms, name
                )
                if name == BULK:
                    sizes[entry.job.request.id] = cores
                queue.admit(entry, forecast)
        queue.advance(now_ms)
        queue.pop_expired(now_ms)
        for entry in queue.list_entries():
            if work_done <= 0:
                break
            work_done -= entry.core_ms
            queue.remove(entry.job.request.id)
            served.add(entry.job.request.id)
    ordered = sorted(sizes, key=lambda name: sizes[name])
    tenth = len(ordered) // 10
    parts = (ordered[-tenth:], ordered[-3 * tenth : -tenth], ordered)
    return [sum(name in served for name in part) / len(part) for part in parts]


def test_largest_jobs_of_a_queue_are_not_starved():
    """With half of their slack, the largest were the first that no longer fitted."""
    found = [measure_classes(seed) for seed in range(5)]
    largest, below, whole = (
        sum(part) / len(found) for part in zip(*found, strict=True)
    )
    assert largest >= whole / 2
    assert below >= whole / 2
