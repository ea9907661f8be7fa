"""Tests of the fair queue."""

import collections

from hypothesis import given, settings, strategies

from amaranthspar.dispatch import fairqueue


def path(*names, weights=()):
    levels = [*weights, *[1.0] * (len(names) - len(weights))]
    return tuple(fairqueue.Level(*item) for item in zip(names, levels, strict=True))


def drain(queue):
    result = []
    while (item := queue.pop()) is not None:
        result.append(item)
    return result


def test_large_flow_does_not_delay_a_small_one():
    queue = fairqueue.FairQueue()
    for number in range(1200):
        queue.push(path("team", "job"), number, 100)
    for _ in range(10):
        queue.pop()
    queue.push(path("team", "lookup"), "lookup", 100)
    assert "lookup" in [queue.pop(), queue.pop()]


def test_longest_task_of_a_job_comes_first():
    queue = fairqueue.FairQueue()
    for cost_ms in (5, 50, 1, 20):
        queue.push(path("job"), cost_ms, cost_ms)
    assert drain(queue) == [50, 20, 5, 1]


def test_equal_jobs_end_in_the_order_of_arrival():
    queue = fairqueue.FairQueue()
    for name in ("first", "second", "third"):
        for _ in range(3):
            queue.push(path("caller", name), name, 10)
    assert drain(queue) == ["first"] * 3 + ["second"] * 3 + ["third"] * 3


def test_large_job_is_not_starved_by_small_ones():
    queue = fairqueue.FairQueue()
    for _ in range(20):
        queue.push(path("caller", "large"), "large", 10)
    ended = []
    for number in range(100):
        queue.push(path("caller", f"small {number}"), number, 10)
        ended.append(queue.pop())
    assert ended.count("large") == 20
    assert ended.index("large") > 10


def test_weights_divide_the_service():
    queue = fairqueue.FairQueue()
    for _ in range(400):
        queue.push(path("heavy", "x", weights=[3.0]), "heavy", 10)
        queue.push(path("light", "x"), "light", 10)
    served = collections.Counter(queue.pop() for _ in range(400))
    assert abs(served["heavy"] - 300) <= 2


def test_held_flow_is_skipped_until_released():
    queue = fairqueue.FairQueue()
    queue.push(path("a", "x"), "a", 1)
    queue.push(path("b", "x"), "b", 1)
    queue.hold("a")
    assert drain(queue) == ["b"]
    assert len(queue) == 1
    queue.release("a")
    assert drain(queue) == ["a"]


operations = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["push", "pop", "drop", "hold", "release"]),
        strategies.sampled_from(["a", "b", "c"]),
        strategies.sampled_from(["x", "y"]),
        strategies.integers(0, 500),
    ),
    max_size=80,
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(operations)
def test_each_item_is_served_or_dropped_exactly_once(steps):
    queue = fairqueue.FairQueue()
    waiting = {}
    held = set()
    for number, (action, team, caller, cost_ms) in enumerate(steps):
        match action:
            case "push":
                queue.push(path(team, caller), number, cost_ms)
                waiting[number] = (team, caller)
            case "pop":
                item = queue.pop()
                free = [n for n, flow in waiting.items() if flow[0] not in held]
                assert (item is None) == (not free)
                if item is not None:
                    assert waiting.pop(item)[0] not in held
            case "drop":
                expected = {n for n, flow in waiting.items() if flow == (team, caller)}
                assert set(queue.drop(path(team, caller))) == expected
                waiting = {n: f for n, f in waiting.items() if n not in expected}
            case "hold":
                queue.hold(team)
                held.add(team)
            case "release":
                queue.release(team)
                held.discard(team)
        assert len(queue) == len(waiting)
    for team in ("a", "b", "c"):
        queue.release(team)
    assert set(drain(queue)) == set(waiting)
