"""Tests that a job that can run nowhere now does not keep others from being placed."""

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
