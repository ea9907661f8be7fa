"""Tests that a job that can run nowhere now does not keep others from being placed."""

from amaranthspar.scheduling import jobevents
from tests import builders_scheduling as builders


def submit(gateway, name, step, service=builders.SERVICE):
    queue = builders.build_queue(name=name, service=service)
    starts = gateway.submit(builders.build_request(name, queue, [step]))
    return builders.list_orders(starts)


def test_task_at_its_limit_on_each_upstream_does_not_block_the_queue():
    """Later jobs waited for the end of its siblings although there was capacity."""
    gateway = builders.Gateway()
    gateway.list_sidecars("s1", "s2")
    gateway.receive_room("s1")
    gateway.receive_room("s2")
    wide = builders.build_step(3, 1.0, 1_000, max_per_upstream=1)
    assert len(submit(gateway, "wide", wide)) == 2
    later = builders.build_step(1, 1.0, 5_000)
    assert submit(gateway, "later", later) == ["later.0.0.0"]


def test_task_whose_upstreams_have_left_does_not_block_the_queue():
    """A job with runs never expires, so that it could block all jobs for ever."""
    gateway = builders.Gateway()
    gateway.list_sidecars("s1", "s2")
    gateway.receive_room("s1", labels=["gpu"], free=1.0, capacity=1.0)
    gateway.receive_room("s2", labels=[])
    only = builders.build_step(2, 1.0, 1_000, label="gpu")
    assert submit(gateway, "only", only) == ["only.0.0.1"]
    gateway.receive_room("s1", labels=["gpu"], free=0.0, capacity=1.0, is_leaving=True)
    later = builders.build_step(1, 1.0, 5_000)
    assert submit(gateway, "later", later) == ["later.0.0.0"]


def test_failing_upstreams_are_counted_if_there_are_no_others():
    """The forecast counted nothing, and jobs were refused that would have started."""
    gateway = builders.Gateway()
    gateway.list_sidecars("s1")
    gateway.receive_room("s1")
    service_queues = [builders.build_queue(name=f"q{i}", priority=i) for i in range(2)]
    for queue in service_queues:
        gateway.submit(builders.build_request(queue.name, queue))
        gateway.step(jobevents.Cancel(queue.name, jobevents.Outcome.FAILED, "left"))
    (sidecar,) = gateway.dispatcher.fleet.list_members()
    sidecar.failure_rate, sidecar.failed_ms = 1.0, gateway.now_ms
    request = builders.build_request("next", service_queues[0])
    assert builders.list_orders(gateway.submit(request)) == ["next.0.0.0"]
