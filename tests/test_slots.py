"""Tests of the allocation of slots to gateways."""

import random

from amaranthspar.execution import slots


def build_slots(count=4, gateways=("a", "b")):
    result = slots.Slots(count)
    for name in gateways:
        result.add_gateway(name)
    result.distribute()
    return result


def use(allocation, name, queued=0, wait_ms=0):
    share = allocation.shares[name]
    allocation.note_demand(name, share.used + 1, queued, wait_ms)
    allocation.start(name)


def test_idle_slots_are_shared_evenly():
    allocation = build_slots()
    assert [share.unused for share in allocation.shares.values()] == [2, 2]


def test_freed_slot_stays_with_its_gateway_without_a_message():
    allocation = build_slots()
    use(allocation, "a")
    allocation.end("a")
    assert allocation.distribute("a") == []
    assert allocation.shares["a"].unused == 2


def test_gateway_without_work_keeps_one_freed_slot_and_leaves_the_next():
    allocation = build_slots()
    for name in ("a", "a", "b", "b"):
        use(allocation, name, queued=0 if name == "a" else 5)
    allocation.end("a")
    assert allocation.distribute("a") == []
    allocation.end("a")
    assert allocation.distribute("a") == ["b"]
    assert [allocation.shares[name].unused for name in "ab"] == [1, 1]


def test_waiting_request_takes_a_slot_from_a_job():
    allocation = build_slots()
    for name in ("a", "a", "b", "b"):
        use(allocation, name, queued=5)
    allocation.note_demand("b", 2, 1, 15)
    allocation.end("a")
    assert allocation.distribute("a") == ["b"]


def test_gateway_without_credits_is_lent_idle_slots_and_gets_its_part_back():
    allocation = slots.Slots(4)
    allocation.add_gateway("a")
    allocation.distribute()
    allocation.add_gateway("b")
    allocation.note_demand("b", 0, 3, 10)
    assert allocation.distribute() == []
    assert allocation.lend("b")
    assert allocation.shares["b"].unused == 3
    assert allocation.recall("b") == []
    allocation.note_demand("b", 3, 0, 0)
    assert allocation.recall("b") == ["a"]
    assert allocation.shares["a"].recalled == 2


def test_credits_of_a_lost_gateway_return():
    allocation = build_slots()
    allocation.remove_gateway("a")
    allocation.distribute()
    assert allocation.shares["b"].unused == 4


def test_no_slot_is_stranded_after_a_burst_at_either_gateway():
    chance = random.Random(1)
    allocation = build_slots(8)
    for _ in range(500):
        name = chance.choice("ab")
        share = allocation.shares[name]
        if share.unused and allocation.running < 8 and chance.random() < 0.7:
            use(allocation, name, chance.randrange(20), chance.randrange(500))
        elif share.running:
            allocation.end(name)
            allocation.distribute(name)
    for name in "ab":
        allocation.note_demand(name, allocation.shares[name].used, 0, 0)
        for _ in range(allocation.shares[name].running):
            allocation.end(name)
            allocation.distribute(name)
    assert allocation.running == 0
    assert allocation.count_free() == 0
    assert min(share.unused for share in allocation.shares.values()) >= 0
