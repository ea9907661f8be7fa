"""Tests of a placement pass: expected starts, reservations and backfill."""

import hypothesis
from hypothesis import strategies

from amaranthspar.scheduling import (
    fleet,
    jobevents,
    jobs,
    placement,
    resources,
    sidecars,
    timelines,
)
from amaranthspar.schema import runmessages
from tests import builders_scheduling as builders

NOW_MS = 1_000


def build_amount(cores):
    return runmessages.Resources(round(cores * 1_000), 64 * round(cores), 0)


def build_releases(*pairs):
    """Build releases from pairs of time in ms and cores released by then."""
    return [runmessages.Release(ms, build_amount(cores)) for ms, cores in pairs]


def build_sidecar(name="one", free=0.0, releases=(), capacity=8.0, **changes):
    peer = builders.build_peer(name)
    sidecar = sidecars.Sidecar(name, 1, peer.address, peer.service)
    room = builders.build_room(
        free=free, capacity=capacity, releases=build_releases(*releases), **changes
    )
    sidecar.received_ms = NOW_MS
    sidecar.update_room(room, NOW_MS)
    return sidecar


def build_task(name="a1", cores=1.0, duration_ms=100, **changes):
    step = builders.build_step(1, cores, duration_ms, **changes)
    job = jobs.build_job(builders.build_request(name, steps=[step]), NOW_MS)
    return job.waiting[-1]


def build_pass(*members, now_ms=NOW_MS):
    """Build a pass over some sidecars, which are the members of one pool."""
    gateway = builders.Gateway()
    gateway.now_ms = now_ms
    gateway.list_sidecars(*(item.name for item in members))
    for item in members:
        gateway.receive(item.name, item.room)
    found = gateway.dispatcher.fleet
    for item in members:
        found.sidecars[item.name].slowness = item.slowness
    return placement.Pass(
        found, now_ms, lambda task: task.definition.estimate_ms
    ), found


def place(current, task):
    """Place a task as the dispatcher does, and return the name of its sidecar."""
    sidecar = current.choose(task)
    if sidecar is None:
        return ""
    task.state = jobs.TaskState.PLACED
    task.sidecar = sidecar.name
    task.incarnation = sidecar.incarnation
    task.upstream = sidecar.room.upstream
    task.placed_ms = NOW_MS
    task.start_number = sidecar.started + 1
    sidecar.add_task(task)
    return sidecar.name


def find_start_ms(sidecar, cores, now_ms=NOW_MS):
    timeline = timelines.build_timeline(
        sidecar, lambda task, _: task.definition.estimate_ms, now_ms
    )
    step = timeline.find_start(build_amount(cores))
    return None if step is None else step.from_ms


# Expected starts.


def test_task_starts_at_the_first_release_that_covers_its_needs():
    sidecar = build_sidecar(free=1, releases=[(50, 1), (200, 4)])
    assert find_start_ms(sidecar, 1) == NOW_MS
    assert find_start_ms(sidecar, 2) == NOW_MS + 50
    assert find_start_ms(sidecar, 5) == NOW_MS + 200
    assert find_start_ms(sidecar, 6) is None


def test_releases_age_with_the_report_and_never_lie_in_the_past():
    sidecar = build_sidecar(releases=[(50, 1), (200, 4)])
    assert find_start_ms(sidecar, 4, NOW_MS + 150) == NOW_MS + 200
    assert find_start_ms(sidecar, 1, NOW_MS + 150) == NOW_MS + 150


def test_task_that_the_report_does_not_cover_releases_at_its_own_end():
    # If its end were unknown, each backfilled task would seem to delay the reserved
    # start, and so make room for the next one.
    sidecar = build_sidecar(free=2, releases=[(500, 2)])
    task = build_task(cores=2, duration_ms=100)
    task.start_number, task.placed_ms = sidecar.started + 1, NOW_MS
    task.incarnation, task.upstream = sidecar.incarnation, sidecar.room.upstream
    sidecar.add_task(task)
    assert find_start_ms(sidecar, 2) == NOW_MS + 100
    assert find_start_ms(sidecar, 4) == NOW_MS + 500


def test_task_that_the_report_covers_is_not_counted_twice():
    sidecar = build_sidecar(free=2, releases=[(500, 2)])
    task = build_task(cores=2, duration_ms=100)
    task.start_number, task.placed_ms = 1, NOW_MS
    task.incarnation, task.upstream = sidecar.incarnation, sidecar.room.upstream
    sidecar.add_task(task)
    room = builders.build_room(
        2, free=0, releases=build_releases((100, 2), (500, 4)), started=1
    )
    sidecar.update_room(room, NOW_MS)
    assert find_start_ms(sidecar, 4) == NOW_MS + 500
    assert find_start_ms(sidecar, 6) is None


# Reservations.


def test_sidecar_with_the_soonest_start_is_reserved():
    current, _ = build_pass(
        build_sidecar("idle", free=5, releases=[(900, 3)]),
        build_sidecar("soon", free=1, releases=[(100, 6)]),
    )
    assert current.reserve(build_task(cores=6))
    assert set(current.reserved) == {"soon"}
    assert current.reserved["soon"].start_ms == NOW_MS + 100


def test_upstream_that_ends_late_loses_its_reservation_in_the_next_pass():
    # Both upstreams hold a run of the same expectation; one of them is overdue.
    members = [
        build_sidecar("late", free=1, releases=[(200, 6)]),
        build_sidecar("other", free=1, releases=[(300, 6)]),
    ]
    current, _ = build_pass(*members)
    current.reserve(build_task(cores=6))
    assert set(current.reserved) == {"late"}
    members[0] = build_sidecar("late", free=1, releases=[(400, 6)])
    current, _ = build_pass(*members)
    current.reserve(build_task(cores=6))
    assert set(current.reserved) == {"other"}


def test_sidecar_without_releases_is_reserved_after_those_with_an_expected_start():
    current, _ = build_pass(
        build_sidecar("old", free=5), build_sidecar("new", releases=[(900, 8)])
    )
    current.reserve(build_task("a1", cores=6))
    assert set(current.reserved) == {"new"}
    current.reserve(build_task("a2", cores=6))
    assert set(current.reserved) == {"new", "old"}
    assert current.reserved["old"].start_ms is None
    assert place(current, build_task("b1")) == ""


# Backfill.


def test_small_tasks_use_the_gap_beside_a_wide_one_that_waits():
    current, _ = build_pass(build_sidecar(free=4, releases=[(500, 4)]))
    wide = build_task("wide", cores=8)
    assert place(current, wide) == ""
    current.reserve(wide)
    names = [place(current, build_task(f"b{item}", 2)) for item in range(3)]
    assert names == ["one", "one", ""]


def test_task_that_would_delay_a_reserved_start_does_not_use_the_gap():
    current, _ = build_pass(build_sidecar(free=4, releases=[(500, 4)]))
    current.reserve(build_task("wide", cores=8))
    assert place(current, build_task("b1", 2, duration_ms=500)) == ""


def test_duration_has_a_margin_for_errors_of_estimates():
    # 400 ms that turn out to be 40% longer would end after the start at 500 ms.
    current, _ = build_pass(build_sidecar(free=4, releases=[(500, 4)]))
    current.reserve(build_task("wide", cores=8))
    assert place(current, build_task("b1", 2, duration_ms=400)) == ""
    assert place(current, build_task("b2", 2, duration_ms=350)) == "one"


def test_duration_follows_the_speed_of_the_upstream():
    slow = build_sidecar(free=4, releases=[(500, 4)])
    slow.slowness = 1.5
    current, _ = build_pass(slow)
    current.reserve(build_task("wide", cores=8))
    assert place(current, build_task("b1", 2, duration_ms=300)) == ""


def test_duration_grows_outside_the_rack_of_the_data():
    current, _ = build_pass(build_sidecar(free=4, releases=[(500, 4)]))
    current.reserve(build_task("wide", cores=8))
    away = build_task("b1", 2, duration_ms=300, data_rack="elsewhere")
    assert place(current, away) == ""
    assert place(current, build_task("b2", 2, 300, data_rack="r1")) == "one"


def test_long_tasks_use_what_remains_beside_the_reserved_start_once():
    current, _ = build_pass(build_sidecar(free=3, releases=[(500, 5)]))
    current.reserve(build_task("wide", cores=6))
    names = [place(current, build_task(f"b{item}", 1, 5_000)) for item in range(3)]
    assert names == ["one", "one", ""]


def test_need_that_fits_nowhere_does_not_rule_out_a_shorter_task():
    current, _ = build_pass(build_sidecar(free=4, releases=[(500, 4)]))
    current.reserve(build_task("wide", cores=8))
    assert place(current, build_task("b1", 2, duration_ms=900)) == ""
    assert place(current, build_task("b2", 2, duration_ms=100)) == "one"


def submit_all(releases):
    """Submit ten wide jobs and a small one, and return the tasks that are placed."""
    gateway = builders.Gateway()
    names = [f"s{number}" for number in range(10)]
    gateway.list_sidecars(*names)
    for name in names:
        gateway.receive_room(name, free=2, releases=build_releases(*releases))
    for number in range(10):
        step = builders.build_step(1, 8, 400)
        queue = builders.build_queue(target_ms=10_000)
        gateway.submit(builders.build_request(f"w{number}", queue, [step]))
    queue = builders.build_queue(target_ms=20_000)
    request = builders.build_request("small", queue, [builders.build_step(1, 1, 50)])
    return builders.list_orders(gateway.submit(request))


def test_jobs_behind_the_last_reservation_use_gaps():
    assert submit_all([(2_000, 6)]) == ["small.0.0.0"]


def test_pass_ends_at_the_last_reservation_without_releases():
    assert submit_all([]) == []


def test_reservations_and_used_gaps_are_logged_and_counted():
    gateway = builders.Gateway()
    gateway.list_sidecars("one")
    gateway.receive_room("one", free=2, releases=build_releases((2_000, 6)))
    wide = builders.build_request("wide", steps=[builders.build_step(1, 8, 400)])
    queue = builders.build_queue(target_ms=20_000)
    small = builders.build_request("small", queue, [builders.build_step(1, 1, 50)])
    found = {}
    for request in (wide, small):
        for item in gateway.dispatcher.step(jobevents.Submit(request), gateway.now_ms):
            if isinstance(item, jobevents.LogRecord):
                found[item.event] = item
    reserved, used = found["sidecar reserved"], found["gap used"]
    assert reserved.job == "wide"
    assert dict(reserved.details)["start_in_ms"] == 2_000
    assert used.job == "small"
    assert dict(used.details)["reserved_for"] == "wide"
    assert gateway.dispatcher.reserved_jobs == {"wide": "one"}
    assert gateway.dispatcher.gap_starts == 1
    gateway.step(jobevents.Cancel("wide", jobevents.Outcome.REFUSED, "test"))
    assert gateway.dispatcher.reserved_jobs == {}


# Without releases, a pass decides as one that considers free capacity only.


class FreeCapacityPass:
    """The pass that considers free capacity only, as the reference."""

    def __init__(self, gateway_fleet, now_ms):
        self.reserved = set()
        self._fleet, self._now_ms = gateway_fleet, now_ms
        self._unmet, self._sorted = {}, {}

    def choose(self, task):
        needs = task.definition.needs
        unmet = self._unmet.setdefault(task.job.request.queue.service, [])
        if any(resources.fits(smaller, needs) for smaller in unmet):
            return None
        fitting = self._fleet.list_fitting(task, self.reserved, self._now_ms)
        if not fitting:
            unmet.append(needs)
        return self._fleet.choose_among(fitting, task, self._now_ms)

    def reserve(self, task):
        if len(self.reserved) >= 8:
            return False
        able = healthy = preferred = None
        for sidecar in self._list_sorted(task.job.request.queue.service):
            if sidecar.name in self.reserved or not fleet.may_run(task, sidecar):
                continue
            able = able or sidecar
            if sidecar.is_unhealthy(self._now_ms):
                continue
            healthy = healthy or sidecar
            if sidecar.name not in task.avoided:
                preferred = sidecar
                break
        chosen = preferred or healthy or able
        if chosen is None:
            return False
        self.reserved.add(chosen.name)
        return True

    def _list_sorted(self, service):
        if service not in self._sorted:
            accepting = self._fleet.list_accepting(service, self._now_ms)
            self._sorted[service] = sorted(accepting, key=lambda s: -s.free.cpu_millis)
        return self._sorted[service]


MEMBERS = strategies.lists(
    strategies.tuples(strategies.integers(0, 8), strategies.sampled_from((1.0, 3.0))),
    min_size=1,
    max_size=12,
)
TASKS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 8),
        strategies.sampled_from((20, 100, 2_000)),
        strategies.sets(strategies.integers(0, 11)),
    ),
    max_size=20,
)


def run_pass(current, tasks):
    """Place or reserve for each task; return the choices and the reserved sidecars."""
    found = []
    for number, (cores, duration_ms, avoided) in enumerate(tasks):
        task = build_task(f"t{number}", cores, duration_ms)
        task.avoided = {f"s{item}" for item in avoided}
        found.append((place(current, task), not task.sidecar and current.reserve(task)))
    return found, set(current.reserved)


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(MEMBERS, TASKS)
def test_reservations_are_as_without_look_ahead_where_no_releases_are_reported(
    members, tasks
):
    results = []
    for is_reference in (True, False):
        built = [
            build_sidecar(f"s{number}", free=free)
            for number, (free, _) in enumerate(members)
        ]
        for item, (_, slowness) in zip(built, members, strict=True):
            item.slowness = slowness
        current, found = build_pass(*built)
        for item in found.sidecars.values():
            if item.slowness > 1:
                item.slow_ms = NOW_MS
        if is_reference:
            current = FreeCapacityPass(found, NOW_MS)
        results.append(run_pass(current, tasks))
    assert results[0] == results[1]


RELEASES = strategies.lists(
    strategies.tuples(strategies.integers(1, 1_000), strategies.integers(1, 4)),
    max_size=4,
)


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 8), RELEASES), min_size=1, max_size=6
    ),
    TASKS,
)
def test_pass_overcommits_nothing_and_delays_no_reserved_start(members, tasks):
    built = []
    for number, (free, parts) in enumerate(members):
        total, releases = 0, []
        for after_ms, cores in sorted(parts):
            total = min(total + cores, 8 - free)
            if total:
                releases.append((after_ms, total))
        built.append(build_sidecar(f"s{number}", free=free, releases=releases))
    current, found = build_pass(*built)
    starts = {}
    for number, (cores, duration_ms, _) in enumerate(tasks):
        task = build_task(f"t{number}", cores, duration_ms)
        if not place(current, task) and current.reserve(task):
            (name,) = set(current.reserved) - set(starts)
            starts[name] = (cores, current.reserved[name].start_ms)
    for item in found.sidecars.values():
        assert item.free.cpu_millis >= 0
    for name, (cores, start_ms) in starts.items():
        if start_ms is not None:
            sidecar = found.sidecars[name]
            assert find_start_ms(sidecar, cores) <= start_ms
