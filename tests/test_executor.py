"""Tests of the state machine of a sidecar."""

import random

import pytest

from amaranthspar import effects
from amaranthspar.execution import executor, gateways, outbox, starts
from amaranthspar.membership import leaseholder
from amaranthspar.schema import messages
from tests import builders_dispatch

NOW_MS = 10_000


def build_holder() -> leaseholder.LeaseHolder:
    member = builders_dispatch.build_sidecar_member("s1", 7)
    holder = leaseholder.LeaseHolder(member, ["c"], NOW_MS, random.Random(1))
    authority = builders_dispatch.ControllerModel(builders_dispatch.build_text())
    renewal = holder.tick(NOW_MS)[0].message
    holder.handle(authority.handle(renewal, NOW_MS), NOW_MS)
    return holder


@pytest.fixture
def sidecar() -> executor.Executor:
    return executor.Executor(build_holder())


def build_start(sequence=1, indexes=(0,), sent=1, acknowledged=0, target=7):
    tasks = [messages.TaskStart(index, b"{}") for index in indexes]
    return messages.StartTasks(
        sequence,
        target,
        1,
        "job",
        "hold",
        "json",
        4000,
        0,
        0,
        sent,
        acknowledged,
        tasks,
    )


def receive(sidecar, message, now_ms=NOW_MS, incarnation=1, gateway="g1"):
    event = executor.Received(gateway, incarnation, gateway, message)
    return sidecar.handle(event, now_ms)


def list_runs(emitted):
    return [item.index for item in emitted if isinstance(item, executor.RunTask)]


def list_results(emitted):
    return [
        result
        for item in emitted
        if isinstance(item, effects.Send)
        and isinstance(item.message, messages.ReportResults)
        for result in item.message.results
    ]


def end(sidecar, index=0, outcome="done", body=b"", now_ms=NOW_MS):
    result = messages.TaskResult("job", index, outcome, body=body)
    return sidecar.handle(executor.TaskEnded(result), now_ms)


def test_late_start_message_of_an_unresponsive_gateway_starts_nothing(sidecar):
    inquiry = messages.InquireTasks(7, 3, [messages.TaskReference("job", 0, 3)])
    refused = list_results(receive(sidecar, inquiry))
    assert [item.outcome for item in refused] == ["not-run"]
    later_ms = NOW_MS + executor.RESULT_RETENTION_MS + 1
    sidecar.tick(later_ms)
    assert not list_runs(receive(sidecar, build_start(sequence=3), later_ms))


def test_sidecar_in_a_domain_out_of_service_starts_nothing():
    holder = build_holder()
    holder.view.settings.add_domain("gyor", state="out")
    sidecar = executor.Executor(holder)
    refused = list_results(receive(sidecar, build_start()))
    assert [(item.outcome, item.reason) for item in refused] == [
        ("not-run", starts.Refusal.DOMAIN_OUT.value)
    ]


def test_start_for_an_older_incarnation_changes_nothing(sidecar):
    receive(sidecar, build_start())
    end(sidecar)
    receive(sidecar, build_start(sequence=9, sent=100, acknowledged=50, target=6))
    assert not sidecar.is_idle
    assert sidecar.allocator.shares["g1"].used == 1


def test_restarted_sidecar_answers_no_inquiry_to_the_older_incarnation(sidecar):
    inquiry = messages.InquireTasks(6, 3, [messages.TaskReference("job", 0, 3)])
    assert not list_results(receive(sidecar, inquiry))
    assert list_runs(receive(sidecar, build_start(sequence=1))) == [0]


def test_result_for_an_older_gateway_incarnation_is_not_sent_to_the_newer(sidecar):
    receive(sidecar, build_start())
    receive(sidecar, messages.ReportDemand(7, 0, 0, 0, 0), incarnation=2)
    assert not list_results(end(sidecar))
    assert sidecar.counts["results.undeliverable"] == 1


def test_draining_sidecar_grants_no_credits(sidecar):
    demand = messages.ReportDemand(7, 5, 10, 0, 0)
    receive(sidecar, demand)
    sidecar.drain(NOW_MS)
    limit = sidecar.allocator.shares["g1"].limit
    receive(sidecar, messages.ReportDemand(7, 5, 10, limit, 0))
    sidecar.tick(NOW_MS + 100)
    assert sidecar.allocator.shares["g1"].limit == limit


def test_sidecar_with_an_expired_lease_recalls_credits_and_grants_none(sidecar):
    receive(sidecar, messages.ReportDemand(7, 5, 10, 0, 0))
    sidecar.tick(NOW_MS)
    expired_ms = NOW_MS + builders_dispatch.LEASE_MS
    recalled = [item.message.recalled for item in sidecar.tick(expired_ms)]
    assert recalled == [builders_dispatch.SLOTS]
    receive(sidecar, messages.ReportDemand(7, 5, 10, 3, 0), expired_ms)
    assert sidecar.allocator.shares["g1"].limit == builders_dispatch.SLOTS


def test_lost_grant_is_sent_again(sidecar):
    receive(sidecar, messages.ReportDemand(7, 5, 10, 0, 0))
    again = receive(sidecar, messages.ReportDemand(7, 5, 10, 0, 0, limit=1))
    assert [item.message.credit_limit for item in again] == [builders_dispatch.SLOTS]


def test_drain_ends_once_every_gateway_has_returned_its_credits(sidecar):
    receive(sidecar, messages.ReportDemand(7, 5, 10, 0, 0))
    receive(sidecar, messages.ReportDemand(7, 5, 10, 0, 0), gateway="g2")
    limits = {name: share.limit for name, share in sidecar.allocator.shares.items()}
    assert max(limits.values()) > 0
    sidecar.drain(NOW_MS)
    assert sidecar.is_idle
    for name, limit in limits.items():
        assert sidecar.is_drained == all(
            share.unused <= 0 for share in sidecar.allocator.shares.values()
        )
        receive(sidecar, messages.ReportDemand(7, 5, 10, limit, 0), gateway=name)
    assert sidecar.is_drained


def test_draining_sidecar_reports_no_spare_slots(sidecar):
    receive(sidecar, build_start())
    sidecar.drain(NOW_MS)
    reports = [
        item.message
        for item in end(sidecar)
        if isinstance(getattr(item, "message", None), messages.ReportResults)
    ]
    assert [report.spare for report in reports] == [0]


def test_unresponsive_gateway_does_not_block_a_drain(sidecar):
    receive(sidecar, build_start())
    end(sidecar)
    sidecar.drain(NOW_MS)
    assert not sidecar.is_idle
    sidecar.tick(NOW_MS + gateways.GATEWAY_TIMEOUT_MS + 1)
    assert sidecar.is_idle


def test_result_is_sent_again_until_acknowledged(sidecar):
    receive(sidecar, build_start())
    end(sidecar)
    overdue_ms = NOW_MS + outbox.RESEND_INTERVAL_MS
    assert len(list_results(sidecar.tick(overdue_ms))) == 1
    receive(sidecar, messages.ReportDemand(7, 0, 0, 1, 1), overdue_ms)
    assert not list_results(sidecar.tick(2 * overdue_ms))


def test_task_that_was_not_run_may_start_again(sidecar):
    receive(sidecar, build_start())
    assert list_results(end(sidecar, outcome="not-run"))[0].start == 1
    assert list_runs(receive(sidecar, build_start(sequence=2, sent=2))) == [0]


def test_size_of_retained_bodies_is_bounded(sidecar):
    body = b"x" * (outbox.MAX_RETAINED_BYTES // 2)
    receive(sidecar, build_start(indexes=(0, 1, 2), sent=3))
    for index in range(3):
        end(sidecar, index, body=body)
    resent = list_results(sidecar.tick(NOW_MS + outbox.RESEND_INTERVAL_MS))
    assert sum(len(item.body) for item in resent) <= outbox.MAX_RETAINED_BYTES
    assert [item.outcome for item in resent] == ["unknown", "unknown", "done"]


def test_large_results_are_split_into_several_reports(sidecar):
    receive(sidecar, build_start(indexes=(0, 1, 2), sent=3))
    for index in range(3):
        end(sidecar, index, body=b"x" * (outbox.MAX_REPORT_BYTES // 2 + 1))
    resent = sidecar.tick(NOW_MS + outbox.RESEND_INTERVAL_MS)
    assert [item.message.first_sequence for item in resent] == [1, 2, 3]


def test_evicted_task_may_still_have_been_started():
    started = starts.StartedTasks(capacity=1)
    started.add(("job", 0), 1)
    started.add(("job", 1), 2)
    assert ("job", 0) not in started
    assert started.may_contain(messages.TaskReference("job", 0, 1))
    assert not started.may_contain(messages.TaskReference("job", 5, 3))


def test_superseded_process_neither_regains_nor_renews_its_lease():
    holder = build_holder()
    lost = holder.handle(messages.LeaseDenied(NOW_MS, "superseded", 8), NOW_MS)
    assert lost == [leaseholder.LeaseLost()]
    late = messages.LeaseGranted(NOW_MS + 1, 3000, 0, 1, 1)
    holder.handle(late, NOW_MS + 2)
    assert not holder.is_valid(NOW_MS + 2)
    assert holder.tick(NOW_MS + 5000) == []


def test_new_process_after_a_clock_step_back_takes_a_higher_incarnation():
    member = builders_dispatch.build_sidecar_member("s1", 7)
    holder = leaseholder.LeaseHolder(member, ["c"], NOW_MS, random.Random(1))
    holder.tick(NOW_MS)
    changed = holder.handle(messages.LeaseDenied(NOW_MS, "superseded", 90), NOW_MS)
    assert isinstance(changed[0], leaseholder.IncarnationChanged)
    assert changed[1].message.member.incarnation > 90
