"""Tests of the allocation of slots to gateways by credits."""

import random

from amaranthspar.execution import slots


def build_allocator(count=4, gateways=("a", "b")):
    result = slots.Allocator(count)
    for name in gateways:
        result.add_gateway(name)
    result.distribute()
    return result


def start_task(allocator, name, queued=0, wait_ms=0):
    share = allocator.shares[name]
    allocator.update_demand(name, share.used + 1, queued, wait_ms)
    allocator.start(name)


def test_idle_slots_are_allocated_evenly():
    allocator = build_allocator()
    assert [share.unused for share in allocator.shares.values()] == [2, 2]


def test_freed_slot_stays_with_its_gateway_without_a_message():
    allocator = build_allocator()
    start_task(allocator, "a")
    allocator.end("a")
    assert allocator.distribute("a") == []
    assert allocator.shares["a"].unused == 2


def test_gateway_without_waiting_tasks_keeps_one_freed_slot_only():
    allocator = build_allocator()
    for name in ("a", "a", "b", "b"):
        start_task(allocator, name, queued=0 if name == "a" else 5)
    allocator.end("a")
    assert allocator.distribute("a") == []
    allocator.end("a")
    assert allocator.distribute("a") == ["b"]
    assert [allocator.shares[name].unused for name in "ab"] == [1, 1]


def test_waiting_request_takes_a_slot_that_a_job_has_freed():
    allocator = build_allocator()
    for name in ("a", "a", "b", "b"):
        start_task(allocator, name, queued=5)
    allocator.update_demand("b", 2, 1, 15)
    allocator.end("a")
    assert allocator.distribute("a") == ["b"]


def test_gateway_without_credits_borrows_idle_slots_and_recalls_credits():
    allocator = slots.Allocator(4)
    allocator.add_gateway("a")
    allocator.distribute()
    allocator.add_gateway("b")
    allocator.update_demand("b", 0, 3, 10)
    assert allocator.distribute() == []
    assert allocator.lend("b")
    assert allocator.shares["b"].unused == 3
    assert allocator.recall("b") == []
    allocator.update_demand("b", 3, 0, 0)
    assert allocator.recall("b") == ["a"]
    assert allocator.shares["a"].recalled == 2


def test_credits_of_a_removed_gateway_are_reallocated():
    allocator = build_allocator()
    allocator.remove_gateway("a")
    allocator.distribute()
    assert allocator.shares["b"].unused == 4


def test_no_slot_is_lost_after_bursts_at_either_gateway():
    chance = random.Random(1)
    allocator = build_allocator(8)
    for _ in range(500):
        name = chance.choice("ab")
        share = allocator.shares[name]
        if share.unused and allocator.running < 8 and chance.random() < 0.7:
            start_task(allocator, name, chance.randrange(20), chance.randrange(500))
        elif share.running:
            allocator.end(name)
            allocator.distribute(name)
    for name in "ab":
        allocator.update_demand(name, allocator.shares[name].used, 0, 0)
        for _ in range(allocator.shares[name].running):
            allocator.end(name)
            allocator.distribute(name)
    assert allocator.running == 0
    assert allocator.count_free() == 0
    assert min(share.unused for share in allocator.shares.values()) >= 0
