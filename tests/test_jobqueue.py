"""Tests of the order of waiting jobs and of admission, also under simulated load."""

import random

from amaranthspar.scheduling import jobqueue, jobs
from tests import builders_scheduling

CORES = 700.0
"""Eleven upstreams of 64 cores, as at a survey firm."""


def build_entry(name, arrived_ms, cores, duration_ms, **changes):
    queue = builders_scheduling.build_queue(**changes)
    step = builders_scheduling.build_step(1, cores, duration_ms)
    request = builders_scheduling.build_request(name, queue, [step])
    job = jobs.build_job(request, arrived_ms)
    return jobqueue.Entry(job, cores, cores * duration_ms, duration_ms)


def admits(queue, entry, forecast):
    return queue.admit(entry, forecast).is_admitted


def test_job_with_less_slack_is_served_first():
    queue = jobqueue.JobQueue()
    forecast = jobqueue.Forecast(0, CORES, 0.0)
    for name, duration_ms in (("long", 1_800), ("short", 120), ("middle", 400)):
        assert admits(queue, build_entry(name, 0, 1, duration_ms), forecast)
    order = [entry.job.request.id for entry in queue.list_entries()]
    assert order == ["short", "middle", "long"]


def test_job_that_would_make_others_miss_their_deadlines_is_refused():
    queue = jobqueue.JobQueue()
    forecast = jobqueue.Forecast(0, 30.0, 0.0)
    assert admits(queue, build_entry("first", 0, 10, 120), forecast)
    taken = [
        admits(queue, build_entry(f"more-{number}", 0, 10, 120), forecast)
        for number in range(20)
    ]
    assert not all(taken)
    work = 0.0
    for entry in queue.list_entries():
        work += entry.core_ms
        assert work / 30.0 <= entry.job.start_by_ms


def test_job_that_fits_into_free_cores_is_admitted():
    queue = jobqueue.JobQueue()
    forecast = jobqueue.Forecast(0, 0.0, 50.0)
    assert admits(queue, build_entry("a", 0, 50, 120), forecast)
    assert not admits(queue, build_entry("b", 0, 1, 120), forecast)


def test_only_job_is_admitted_although_it_will_be_late():
    queue = jobqueue.JobQueue()
    assert admits(queue, build_entry("a", 0, 10, 1_000), jobqueue.Forecast(0, 5.0, 0.0))
    queue = jobqueue.JobQueue()
    assert not admits(
        queue, build_entry("a", 0, 10, 1_000), jobqueue.Forecast(0, 1.0, 0.0)
    )


def test_undispatched_job_that_is_too_late_is_removed():
    queue = jobqueue.JobQueue()
    entry = build_entry("a", 0, 1, 100)
    assert admits(queue, entry, jobqueue.Forecast(0, CORES, 0.0))
    last_ms = entry.job.end_by_ms - 100
    assert queue.pop_expired(last_ms) == []
    assert queue.pop_expired(last_ms + 1) == [entry.job]
    assert len(queue) == 0


def replay(load: float, in_order_of_arrival: bool, seed: int = 1):
    """Serve 20 s of random arrivals and return the share served in time, by kind.

    The mix is that of a survey firm: many small checks and few long recalculations.
    """
    chance = random.Random(seed)
    kinds = {
        "check": (6.0, 120, 0.4),
        "flag": (6.0, 400, 0.5),
        "stand": (6.0, 1_800, 0.1),
    }
    mean = sum(cores * time_ms * share for cores, time_ms, share in kinds.values())
    per_ms = load * CORES / mean
    queue = jobqueue.JobQueue()
    running: list[tuple[float, float]] = []
    free = CORES
    submitted: dict[str, int] = dict.fromkeys(kinds, 0)
    served: dict[str, int] = dict.fromkeys(kinds, 0)
    fifo: list[jobqueue.Entry] = []
    for now_ms in range(0, 20_000, 5):
        for end_ms, cores in [item for item in running if item[0] <= now_ms]:
            running.remove((end_ms, cores))
            free += cores
        for _ in range(sum(chance.random() < per_ms for _ in range(5))):
            kind = chance.choices(list(kinds), [item[2] for item in kinds.values()])[0]
            cores, time_ms, _ = kinds[kind]
            name = f"{kind}-{sum(submitted.values())}"
            submitted[kind] += 1
            entry = build_entry(name, now_ms, cores, time_ms)
            if in_order_of_arrival:
                fifo.append(entry)
            else:
                queue.admit(entry, jobqueue.Forecast(now_ms, CORES, free))
        if not in_order_of_arrival:
            queue.pop_expired(now_ms)
        for entry in list(fifo) if in_order_of_arrival else queue.list_entries():
            if entry.cores > free:
                break
            if in_order_of_arrival:
                fifo.remove(entry)
            else:
                queue.remove(entry.job.request.id)
            free -= entry.cores
            running.append((now_ms + entry.critical_path_ms, entry.cores))
            kind = entry.job.request.id.partition("-")[0]
            objective = jobqueue.find_objective_ms(
                entry.job.request.queue, entry.critical_path_ms
            )
            is_in_time = (
                now_ms + entry.critical_path_ms <= entry.job.arrived_ms + objective
            )
            served[kind] += is_in_time
    return {kind: served[kind] / max(submitted[kind], 1) for kind in kinds}


def test_most_answers_are_in_time_during_overload():
    """At 1.3 times the capacity, at most three quarters of the jobs can be in time."""
    found = replay(1.3, in_order_of_arrival=False)
    naive = replay(1.3, in_order_of_arrival=True)
    total = sum(found.values()) / len(found)
    assert total > sum(naive.values()) / len(naive) + 0.2
    assert min(found.values()) > 0.4


def test_few_jobs_are_refused_at_ordinary_load():
    found = replay(0.7, in_order_of_arrival=False)
    assert min(found.values()) > 0.95
