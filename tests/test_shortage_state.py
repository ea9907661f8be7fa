"""Tests of state that the order under shortage keeps for each queue."""

from amaranthspar.scheduling import delivery, jobs, servedshares
from tests import builders_scheduling as builders

SERVICE = builders.SERVICE


def test_window_that_is_never_read_stays_bounded():
    """Without priorities no forecast reads the windows, which grew with every run."""
    window = delivery.Window()
    for now_ms in range(0, 100 * delivery.WINDOW_MS, delivery.BUCKET_MS):
        window.add(1.0, now_ms)
    assert len(window._buckets) <= delivery.WINDOW_MS // delivery.BUCKET_MS + 1
    assert window.read_sum(now_ms) == delivery.WINDOW_MS / delivery.BUCKET_MS


def record(shares, queue, admitted, refused, now_ms):
    for number in range(admitted + refused):
        shares.record(SERVICE, queue, number < admitted, now_ms)


def test_idle_queue_is_not_the_best_served_one():
    """Its old share of 1 put all busy queues before all others, so none came first."""
    shares = servedshares.ServedShares()
    record(shares, "idle", 10, 0, 0)
    late_ms = 10 * servedshares.MEMORY_MS
    record(shares, "busy", 5, 5, late_ms)
    record(shares, "other", 5, 5, late_ms)
    assert not shares.is_underserved(SERVICE, "busy", late_ms)
    record(shares, "idle", 10, 0, late_ms)
    assert shares.is_underserved(SERVICE, "busy", late_ms)


def test_rare_queue_is_not_the_best_served_one():
    """Its share is unknown after a single job and counted as 1."""
    shares = servedshares.ServedShares()
    record(shares, "rare", 1, 0, 0)
    record(shares, "busy", 5, 5, 0)
    assert not shares.is_underserved(SERVICE, "busy", 0)


def test_later_steps_wait_for_the_suspect_as_well():
    """Tasks of a step that became ready were started while their siblings were held."""
    steps = [builders.build_step(2), builders.build_step(1)]
    steps.append(builders.build_step(3, after=(1,)))
    job = jobs.build_job(builders.build_request(steps=steps), 0)
    suspect, sibling, first = job.tasks[:3]
    job.waiting.remove(first)
    first.state = jobs.TaskState.DONE
    assert job.hold_siblings(suspect)
    job.remaining[1] = 0
    job.release_steps()
    assert job.waiting == [suspect]
    job.waiting.clear()
    job.release_siblings(suspect)
    assert job.waiting == [sibling, *job.tasks[3:]]
