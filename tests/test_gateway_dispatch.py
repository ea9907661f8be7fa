"""Tests of the gateway's dispatcher: admission, placement, retries and renewals."""

import pytest

from amaranthspar.scheduling import (
    dispatcher,
    jobevents,
    renewals,
    runmanager,
    sidecars,
)
from amaranthspar.schema import runmessages
from tests import builders_scheduling as builders


def build_gateway(*names, **room):
    gateway = builders.Gateway()
    gateway.list_sidecars(*(names or ("one",)))
    for name in names or ("one",):
        gateway.receive_room(name, **room)
    return gateway


def report(order, state, reason="", **changes):
    return runmessages.RunReport(order.name, state, reason, **changes)


def test_job_completes_when_all_tasks_are_done():
    gateway = build_gateway()
    (start,) = gateway.submit(
        builders.build_request(steps=[builders.build_step(count=3)])
    )
    assert len(start.orders) == 3
    done = [report(order, "done", elapsed_ms=100) for order in start.orders]
    gateway.receive("one", builders.build_room(2, started=1), *done[:2])
    assert gateway.ended == {}
    gateway.receive("one", builders.build_room(3, started=1), done[2])
    assert gateway.ended["a1"].outcome is jobevents.Outcome.COMPLETED


def test_order_states_the_expected_duration_of_its_run():
    # Without it a sidecar can neither measure the speed of its upstream nor predict
    # when its runs end.
    gateway = build_gateway()
    steps = [builders.build_step(duration_ms=120)]
    (start,) = gateway.submit(builders.build_request(steps=steps))
    assert start.orders[0].expected_ms == 120
    done = report(start.orders[0], "done", elapsed_ms=240)
    gateway.receive("one", builders.build_room(2, started=1), done)
    (start,) = gateway.submit(builders.build_request("a2", steps=steps))
    assert start.orders[0].expected_ms > 120


def test_step_waits_for_preceding_steps():
    gateway = build_gateway()
    steps = [builders.build_step(), builders.build_step(after=(0,))]
    (first,) = gateway.submit(builders.build_request(steps=steps))
    assert builders.list_orders([first]) == ["a1.0.0.0"]
    starts = gateway.receive(
        "one", builders.build_room(2, started=1), report(first.orders[0], "done")
    )
    assert builders.list_orders(starts) == ["a1.0.1.0"]


def test_starts_do_not_exceed_reported_capacity_less_reservations():
    gateway = build_gateway(free=3.0)
    starts = gateway.submit(builders.build_request(steps=[builders.build_step(5)]))
    assert len(builders.list_orders(starts)) == 3
    assert gateway.receive_room("one", free=3.0) == []
    again = gateway.receive_room("one", free=1.0, started=1)
    assert len(builders.list_orders(again)) == 1


def test_refused_task_starts_on_another_sidecar_with_next_run_number():
    gateway = build_gateway("one", "two")
    (start,) = gateway.submit(builders.build_request())
    name = gateway.sent[-1].peer.partition(":")[0]
    refused = report(start.orders[0], "refused", "no room")
    room = builders.build_room(2, free=0.0, started=1)
    (again,) = gateway.receive(name, room, refused)
    assert again.orders[0].name == runmessages.RunName("a1.0.0.0", 2)
    assert gateway.sent[-1].peer.partition(":")[0] != name


def test_stale_run_is_retried_above_the_reported_run_number():
    gateway = build_gateway()
    (start,) = gateway.submit(builders.build_request())
    stale = report(start.orders[0], "stale", "7")
    (again,) = gateway.receive("one", builders.build_room(2, started=1), stale)
    assert again.orders[0].name.run == 8


def test_job_fails_when_a_task_fails_on_every_attempt():
    gateway = build_gateway("one", "two")
    starts = gateway.submit(builders.build_request())
    for number in range(2, 5):
        name = gateway.sent[-1].peer.partition(":")[0]
        failed = report(starts[0].orders[0], "failed")
        starts = gateway.receive(name, builders.build_room(number, started=9), failed)
    assert gateway.ended["a1"].outcome is jobevents.Outcome.FAILED


def test_failed_job_stops_its_other_tasks():
    gateway = build_gateway()
    queue = builders.build_queue(max_attempts=1)
    request = builders.build_request(queue=queue, steps=[builders.build_step(2)])
    (start,) = gateway.submit(request)
    gateway.sent.clear()
    failed = report(start.orders[0], "failed")
    gateway.receive("one", builders.build_room(2, started=1), failed)
    stops = [
        item.message
        for item in gateway.sent
        if isinstance(item.message, runmessages.StopRuns)
    ]
    assert stops == [runmessages.StopRuns([start.orders[1].name])]


def test_cancelled_job_stops_its_runs():
    gateway = build_gateway()
    (start,) = gateway.submit(builders.build_request())
    outcome = jobevents.Outcome.ABANDONED
    sent = gateway.step(jobevents.Cancel("a1", outcome, "caller left"))
    assert runmessages.StopRuns([start.orders[0].name]) in [
        item.message for item in sent
    ]
    assert gateway.ended["a1"].outcome is outcome


def test_unresponsive_sidecar_gets_no_runs():
    gateway = build_gateway("one", "two")
    gateway.now_ms += sidecars.UNRESPONSIVE_MS + 1
    gateway.receive_room("two")
    gateway.submit(builders.build_request())
    assert gateway.sent[-1].peer == "two:1"


def test_task_of_unresponsive_sidecar_is_retried_only_after_lease_expiry():
    gateway = build_gateway("one")
    gateway.submit(builders.build_request())
    gateway.list_sidecars("one", "two")
    since_ms = gateway.now_ms
    while gateway.now_ms - since_ms <= sidecars.RUN_EXPIRY_MS:
        starts = gateway.receive_room("two")
        assert starts == [], gateway.now_ms - since_ms
        sent = gateway.wait(builders.STEP_MS)
        if gateway.now_ms - since_ms <= sidecars.RUN_EXPIRY_MS:
            assert not [
                item for item in sent if item.peer == "two:1" and is_start(item)
            ]
    found = [item for item in sent if is_start(item) and item.peer == "two:1"]
    assert [item.message.orders[0].name.run for item in found] == [2]


def is_start(item):
    return isinstance(item.message, runmessages.StartRuns)


def list_renewals(sent):
    return [item for item in sent if isinstance(item.message, runmessages.KeepRuns)]


def test_runs_are_renewed_four_times_within_a_lease():
    gateway = build_gateway()
    gateway.submit(builders.build_request())
    assert len(list_renewals(gateway.wait(800))) >= 4


def test_start_orders_that_acknowledge_reports_replace_renewals():
    gateway = build_gateway()
    gateway.sent.clear()
    reported_ms = [gateway.now_ms]
    ages_ms = []
    for step in range(200):
        if step % 10 == 0:
            (start,) = gateway.submit(builders.build_request(f"j{step}"))
        if step % 10 == 5:
            reported_ms.append(gateway.now_ms)
            room = builders.build_room(len(reported_ms), started=start.number)
            gateway.receive("one", room, report(start.orders[0], "done"))
        gateway.wait(builders.STEP_MS)
        confirmed = max([item.message.heard for item in gateway.sent], default=1)
        ages_ms.append(gateway.now_ms - reported_ms[confirmed - 1])

    assert len(list_renewals(gateway.sent)) <= 2_000 / renewals.MAX_RENEWAL_INTERVAL_MS
    assert max(ages_ms) <= renewals.ACKNOWLEDGE_INTERVALS * renewals.RENEWAL_INTERVAL_MS


def test_sidecar_without_runs_gets_renewals_before_its_report_expires():
    gateway = build_gateway()
    for _ in range(5):
        assert list_renewals(gateway.wait(renewals.IDLE_RENEWAL_INTERVAL_MS))
    assert renewals.IDLE_RENEWAL_INTERVAL_MS < sidecars.UNRESPONSIVE_MS
    assert 2 * renewals.IDLE_RENEWAL_INTERVAL_MS <= runmanager.GATEWAY_LEASE_MS


def test_unconfirmed_start_is_sent_again():
    gateway = build_gateway()
    (start,) = gateway.submit(builders.build_request())
    for _ in range(dispatcher.RESEND_MS // builders.STEP_MS + 6):
        gateway.receive_room("one")
        gateway.wait(builders.STEP_MS)
    again = builders.list_starts(gateway.sent)[1:]
    assert again
    assert again[0].orders == start.orders


def test_no_start_is_sent_after_a_pause_before_ended_connections_are_noticed():
    """Callers resend after 1.3 s; the gateway was paused and has not seen them leave."""
    gateway = build_gateway("one", "two")
    (start,) = gateway.submit(builders.build_request())
    (sent,) = [item for item in gateway.sent if item.message is start]
    name = sent.peer.partition(":")[0]
    gateway.now_ms += dispatcher.MAX_SILENCE_MS + 1
    stopped = report(start.orders[0], "stopped", "gateway heard nothing for 801 ms")
    other = "two" if name == "one" else "one"
    assert gateway.receive(other, builders.build_room(2)) == []
    assert gateway.receive(name, builders.build_room(2), stopped) == []
    left = jobevents.Cancel("a1", jobevents.Outcome.ABANDONED, "caller left")
    gateway.step(left)
    gateway.wait(2 * dispatcher.CHECK_INTERVAL_MS)
    assert builders.list_starts(gateway.sent) == [start]


def test_starts_go_on_soon_after_a_pause():
    gateway = build_gateway()
    gateway.now_ms += dispatcher.MAX_SILENCE_MS + 1
    gateway.receive("one", builders.build_room(2))
    assert gateway.submit(builders.build_request()) == []
    gateway.wait(dispatcher.RESUME_MS + dispatcher.CHECK_INTERVAL_MS)
    assert len(builders.list_starts(gateway.sent)) == 1


@pytest.mark.parametrize(("upstream", "incarnation"), [("u@2", 1), ("u@1", 2)])
def test_start_for_another_incarnation_is_withdrawn_and_placed_anew(
    upstream, incarnation
):
    """The next upstream may be of another kind, and the start may have been carried out."""
    gateway = build_gateway()
    step = builders.build_step(label="a")
    (start,) = gateway.submit(builders.build_request(steps=[step]))
    for number in range(2, dispatcher.RESEND_MS // builders.STEP_MS + 8):
        room = builders.build_room(number, upstream=upstream, labels=["b"])
        gateway.receive("one", room, incarnation=incarnation)
        gateway.wait(builders.STEP_MS)
    assert builders.list_starts(gateway.sent)[1:] == []
    stops = [
        item.message
        for item in gateway.sent
        if isinstance(item.message, runmessages.StopRuns)
    ]
    assert stops and stops[0].names == [start.orders[0].name]
    refused = report(start.orders[0], "refused", "order did not arrive")
    room = builders.build_room(99, upstream=upstream, labels=["b"])
    assert gateway.receive("one", room, refused, incarnation=incarnation) == []
    room = builders.build_room(100, upstream="u@3")
    (again,) = gateway.receive("one", room, incarnation=incarnation)
    assert (again.upstream, again.orders[0].name.run) == ("u@3", 2)


def test_capacity_of_a_new_upstream_is_not_reserved_by_orders_for_the_former():
    gateway = build_gateway()
    gateway.submit(builders.build_request(steps=[builders.build_step(cores=8)]))
    gateway.receive("one", builders.build_room(2, upstream="u@2"))
    sidecar = gateway.dispatcher.fleet.sidecars["one"]
    assert sidecar.free == sidecar.room.free


def test_job_larger_than_any_upstream_is_refused_at_once():
    gateway = build_gateway(capacity=4.0, free=4.0)
    gateway.submit(builders.build_request(steps=[builders.build_step(cores=5)]))
    ended = gateway.ended["a1"]
    assert ended.outcome is jobevents.Outcome.REFUSED
    assert "large enough" in ended.reason


def test_refused_callers_get_different_retry_times():
    gateway = builders.Gateway()
    for number in range(30):
        gateway.submit(builders.build_request(f"j{number}"))
    times = {ended.retry_after_ms for ended in gateway.ended.values()}
    assert len(gateway.ended) == 30
    assert len(times) > 20
    assert max(times) - min(times) > dispatcher.RETRY_SPREAD_MS / 2


def test_callers_refused_after_waiting_get_different_retry_times():
    gateway = build_gateway(free=0.0)
    for number in range(6):
        queue = builders.build_queue(target_ms=5_000)
        gateway.submit(builders.build_request(f"j{number}", queue=queue))
    waited = 0
    while len(gateway.ended) < 6 and waited < 40_000:
        gateway.receive_room("one", free=0.0)
        gateway.wait(100)
        waited += 100
    times = {ended.retry_after_ms for ended in gateway.ended.values()}
    assert len(gateway.ended) == 6
    assert len(times) == 6


def test_failure_domain_out_of_service_gets_no_runs():
    gateway = builders.Gateway()
    peers = (builders.build_peer("one"), builders.build_peer("two", "west"))
    gateway.step(jobevents.Found(peers, frozenset(["east"])))
    gateway.receive_room("one")
    gateway.receive_room("two", failure_domain="west")
    gateway.submit(builders.build_request(steps=[builders.build_step(4)]))
    starts = [item for item in gateway.sent if is_start(item)]
    assert {item.peer for item in starts} == {"two:1"}


def test_large_task_at_queue_head_is_not_starved_by_small_ones():
    """A task that needs most of an upstream waits while small tasks keep arriving."""
    gateway = build_gateway("one", "two", free=2.0)
    large = builders.build_request("large", steps=[builders.build_step(1, 6, 100)])
    gateway.submit(large)
    gateway.submit(
        builders.build_request("small", steps=[builders.build_step(1, 1, 400)])
    )
    assert builders.list_orders(builders.list_starts(gateway.sent)) == ["small.0.0.0"]
    starts = gateway.receive_room("one", free=8.0, started=9)
    starts += gateway.receive_room("two", free=8.0, started=9)
    assert "large.0.0.0" in builders.list_orders(starts)


def test_stalled_run_is_stopped_and_retried_elsewhere():
    gateway = build_gateway("one", "two")
    (start,) = gateway.submit(builders.build_request())
    name = gateway.sent[-1].peer.partition(":")[0]
    gateway.sent.clear()
    stalled = report(start.orders[0], "running", elapsed_ms=200, percent=0)
    gateway.receive(name, builders.build_room(2, started=1), stalled)
    stops = [item.message for item in gateway.sent]
    assert runmessages.StopRuns([start.orders[0].name]) in stops
    stopped = report(start.orders[0], "stopped", "gateway asked")
    gateway.receive(name, builders.build_room(3, started=1), stopped)
    assert gateway.sent[-1].peer.partition(":")[0] != name


def test_long_run_with_steady_progress_is_not_stopped():
    gateway = build_gateway("one", "two")
    (start,) = gateway.submit(builders.build_request())
    name = gateway.sent[-1].peer.partition(":")[0]
    gateway.sent.clear()
    for number, percent in enumerate(range(5, 100, 5), 2):
        going = report(
            start.orders[0], "running", elapsed_ms=percent * 20, percent=percent
        )
        gateway.receive(name, builders.build_room(number, started=1), going)
    kinds = {type(item.message) for item in gateway.sent}
    assert runmessages.StopRuns not in kinds


def test_runs_on_a_slow_upstream_are_stopped():
    gateway = build_gateway("slow")
    (start,) = gateway.submit(builders.build_request(steps=[builders.build_step(4)]))
    gateway.list_sidecars("slow", "sound", "third")
    gateway.receive_room("sound")
    gateway.receive_room("third")
    for number in range(2, 6):
        going = [
            report(order, "running", elapsed_ms=number * 30, percent=number * 4)
            for order in start.orders
        ]
        gateway.receive("slow", builders.build_room(number, started=1), *going)
    stops = [
        item for item in gateway.sent if type(item.message) is runmessages.StopRuns
    ]
    assert {name for item in stops for name in item.message.names} == {
        order.name for order in start.orders
    }


def test_sidecar_that_fails_every_run_gets_few_tasks():
    gateway = build_gateway("bad", "good", free=500.0, capacity=500.0)
    sent_to = []
    number = 1
    for index in range(60):
        starts = gateway.submit(builders.build_request(f"j{index}"))
        for _ in range(3):
            if not starts:
                break
            name = gateway.sent[-1].peer.partition(":")[0]
            sent_to.append(name)
            number += 1
            state = "failed" if name == "bad" else "done"
            room = builders.build_room(
                number, started=number, free=500.0, capacity=500.0
            )
            found = report(starts[0].orders[0], state, elapsed_ms=100)
            starts = gateway.receive(name, room, found)
    assert sent_to.count("bad") <= 6
    outcomes = {ended.outcome for ended in gateway.ended.values()}
    assert outcomes == {jobevents.Outcome.COMPLETED}


def test_draining_gateway_admits_only_jobs_that_end_in_time():
    gateway = build_gateway()
    gateway.step(jobevents.Drain(gateway.now_ms + 1_000))
    gateway.submit(builders.build_request("short"))
    gateway.submit(
        builders.build_request("long", steps=[builders.build_step(1, 1, 900)])
    )
    assert list(gateway.ended) == ["long"]


def test_runs_of_restarted_sidecar_stay_unconfirmed_until_reported():
    gateway = build_gateway()
    (start,) = gateway.submit(builders.build_request())
    room = builders.build_room(1, upstream="")
    assert gateway.receive("one", room, incarnation=2) == []
    refused = report(start.orders[0], "refused", "order did not arrive")
    (again,) = gateway.receive("one", builders.build_room(2), refused, incarnation=2)
    assert again.orders[0].name.run == 2


def test_task_is_placed_on_the_only_suitable_upstream_of_a_large_fleet():
    names = [f"s{number:02}" for number in range(60)]
    gateway = build_gateway(*names)
    gateway.receive_room("s41", labels=["b", "r9"])
    step = builders.build_step(label="b")
    (start,) = gateway.submit(builders.build_request(steps=[step]))
    assert len(start.orders) == 1
    assert gateway.sent[-1].peer.partition(":")[0] == "s41"


def test_tasks_are_spread_over_a_large_fleet():
    names = [f"s{number:02}" for number in range(60)]
    gateway = build_gateway(*names)
    for number in range(60):
        request = builders.build_request(f"job{number}")
        assert gateway.submit(request)
    most = max(len(item.tasks) for item in gateway.dispatcher.fleet.sidecars.values())
    assert most <= 4


def test_time_since_arrival_counts_against_the_deadline():
    """A gateway that has just started gets requests that have waited for its start."""
    gateway = build_gateway(free=1.0, capacity=1.0)
    gateway.wait(10_000)
    gateway.receive_room("one", free=1.0, capacity=1.0)
    gateway.wait(dispatcher.RESUME_MS)
    assert gateway.submit(builders.build_request("first"))
    old_ms = gateway.now_ms - 5_000
    old = builders.build_request("old")
    gateway.step(jobevents.Submit(old, old_ms))
    assert gateway.ended["old"].outcome is jobevents.Outcome.REFUSED
    gateway.step(jobevents.Submit(builders.build_request("fresh")))
    assert "fresh" not in gateway.ended


def test_refusal_for_lack_of_capacity_is_logged_with_its_figures():
    gateway = build_gateway(free=1.0, capacity=1.0)
    decided = []
    for number in range(40):
        request = builders.build_request(f"job{number}")
        event = jobevents.Submit(request)
        decided += gateway.dispatcher.step(event, gateway.now_ms)
    refused = [
        item
        for item in decided
        if isinstance(item, jobevents.LogRecord) and item.event == "job refused"
    ]
    names = {name for name, _ in refused[0].details}
    assert {"cores_free", "ahead", "room_age_ms", "spare_ms", "upstreams"} <= names
