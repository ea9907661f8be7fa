"""Tests of the manager of a sidecar's runs."""

import attrs
import pytest

from amaranthspar.scheduling import orderqueue, runevents, runmanager
from amaranthspar.schema import runmessages
from tests import builders_runmanager as builders

T1 = runmessages.RunName("t", 1)


def test_run_is_reported_as_started_and_done():
    sidecar = builders.Sidecar()
    calls = sidecar.start()
    assert [call.order.name.task for call in calls] == ["t"]
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.list(("t", 1, 50))
    sidecar.list(ends=[("t", 1, "done")])
    assert sidecar.read_states() == [("t", 1, "started"), ("t", 1, "done")]
    assert sidecar.room.free == builders.CAPACITY


def test_duplicate_order_starts_once():
    sidecar = builders.Sidecar()
    assert len(sidecar.start()) == 1
    assert sidecar.start() == []


def test_duplicate_order_of_an_ended_run_repeats_its_final_report():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.list(ends=[("t", 1, "done")])
    sidecar.reports.clear()
    assert sidecar.start() == []
    assert sidecar.read_states() == [("t", 1, "done")]


@pytest.mark.parametrize(
    ("event", "reason"),
    [
        (runevents.Leave(), "sidecar is stopping"),
        (runevents.DomainChanged(True), "failure domain is out of service"),
        (
            runevents.UpstreamKnown("u@1", builders.CAPACITY, ("a", "r1"), True),
            "upstream is leaving",
        ),
        (runevents.UpstreamGone("gone"), "no upstream"),
    ],
)
def test_start_is_refused_while_runs_are_not_allowed(event, reason):
    sidecar = builders.Sidecar()
    sidecar.step(event)
    assert sidecar.start() == []
    assert [(item.state, item.reason) for item in sidecar.reports] == [
        ("refused", reason)
    ]


def test_start_beyond_the_free_capacity_is_refused_without_a_call():
    sidecar = builders.Sidecar()
    assert sidecar.start("a", cores=6)
    assert sidecar.start("b", cores=3) == []
    assert sidecar.step(runevents.Tick(), orderqueue.MAX_WAIT_MS) == []
    assert sidecar.reports[-1].reason == "no room"


def test_start_for_another_incarnation_of_the_upstream_is_refused():
    sidecar = builders.Sidecar()
    assert sidecar.start(upstream="u@0") == []
    assert sidecar.reports[-1].reason == "another upstream was meant"


def test_unanswered_start_is_stopped_before_it_is_reported_as_refused():
    sidecar = builders.Sidecar()
    sidecar.start()
    calls = sidecar.answer(runevents.Answer.UNKNOWN)
    assert [type(call) for call in calls] == [runevents.CallStop]
    sidecar.list()
    assert sidecar.reports == []
    stopped = runevents.StopAnswered(
        runmessages.RunName("t", 1), runevents.Answer.ACCEPTED
    )
    sidecar.step(stopped)
    sidecar.list(asked_ms=sidecar.now_ms - 1)
    assert sidecar.reports == []
    sidecar.list(asked_ms=sidecar.now_ms + 1)
    assert sidecar.read_states() == [("t", 1, "refused")]


def test_start_in_transit_to_a_lost_upstream_is_unconfirmed_until_it_expires():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.step(runevents.UpstreamGone("lease has run out"))
    assert sidecar.reports == []
    sidecar.step(runevents.Tick(), runmanager.UNKNOWN_UPSTREAM_MS)
    assert sidecar.reports == []
    sidecar.step(runevents.Tick(), 1)
    assert sidecar.read_states() == [("t", 1, "lost")]


def test_confirmed_stop_completes_without_a_list_after_the_time_limit():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.UNKNOWN)
    stopped = runevents.StopAnswered(
        runmessages.RunName("t", 1), runevents.Answer.ACCEPTED
    )
    sidecar.step(stopped)
    sidecar.step(runevents.Tick(), runmanager.STOP_COMPLETION_MS)
    assert sidecar.reports == []
    sidecar.step(runevents.Tick(), 1)
    assert sidecar.read_states() == [("t", 1, "refused")]


def test_unanswered_start_is_refused_as_soon_as_a_list_shows_that_it_ended():
    sidecar = builders.Sidecar()
    sidecar.start("other")
    sidecar.answer(runevents.Answer.ACCEPTED, "other")
    sidecar.start()
    assert sidecar.find_list_wait_ms() == runmanager.LIST_WAIT_BUSY_MS
    sidecar.answer(runevents.Answer.UNKNOWN)
    name = runmessages.RunName("t", 1)
    sidecar.step(runevents.StopAnswered(name, runevents.Answer.ACCEPTED), 2)

    asked_ms = sidecar.now_ms + 1
    assert sidecar.find_list_wait_ms() == runmanager.LIST_WAIT_STOPPED_MS
    sidecar.list(("other", 1, 10), asked_ms=asked_ms)

    assert ("t", 1, "refused") in sidecar.read_states()
    assert sidecar.now_ms < asked_ms + runmanager.STOP_COMPLETION_MS
    assert sidecar.find_list_wait_ms() == runmanager.LIST_WAIT_BUSY_MS


def test_list_wait_is_short_while_list_requests_are_unanswered():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.step(runevents.Unlisted())
    assert sidecar.find_list_wait_ms() == runmanager.LIST_WAIT_UNANSWERED_MS

    sidecar.step(runevents.Tick(), runmanager.UNANSWERED_WINDOW_MS)

    assert sidecar.find_list_wait_ms() == runmanager.LIST_WAIT_BUSY_MS


def test_unanswered_stop_is_repeated():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.UNKNOWN)
    silent = runevents.StopAnswered(
        runmessages.RunName("t", 1), runevents.Answer.UNKNOWN
    )
    calls = sidecar.step(silent)
    assert [type(call) for call in calls] == [runevents.CallStop]


def test_unanswered_start_that_is_listed_counts_as_started():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.UNKNOWN)
    sidecar.list(("t", 1, 10))
    sidecar.step(runevents.Tick(), runmanager.MAX_REPORT_DELAY_MS)
    assert sidecar.read_states() == [("t", 1, "started")]


def test_list_requested_before_the_start_does_not_end_the_run():
    sidecar = builders.Sidecar()
    asked_ms = sidecar.now_ms
    sidecar.start()
    sidecar.now_ms += 5
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.list(asked_ms=asked_ms)
    sidecar.step(runevents.Tick(), runmanager.MAX_REPORT_DELAY_MS)
    assert sidecar.read_states() == [("t", 1, "started")]
    sidecar.list(asked_ms=sidecar.now_ms + 1)
    assert sidecar.read_states()[-1] == ("t", 1, "lost")


def test_runs_of_an_unresponsive_gateway_stop_within_a_second():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    assert sidecar.step(runevents.Tick(), runmanager.GATEWAY_LEASE_MS) == []
    calls = sidecar.step(runevents.Tick(), 1)
    assert [type(call) for call in calls] == [runevents.CallStop]
    assert runmanager.GATEWAY_LEASE_MS < 1_000


def test_renewal_keeps_the_runs_it_names_and_stops_the_others():
    sidecar = builders.Sidecar()
    for task in ("a", "b"):
        sidecar.start(task)
        sidecar.answer(runevents.Answer.ACCEPTED, task)
    named = [runmessages.RunName("a", 1)]
    keep = runmessages.KeepRuns(1, sidecar.number, False, named, sidecar.newest_report)
    calls = sidecar.ask(keep)
    assert [call.name.task for call in calls] == ["b"]


def test_run_that_never_arrived_is_blocked_once_it_is_reported_as_refused():
    sidecar = builders.Sidecar()
    name = runmessages.RunName("t", 1)
    sidecar.ask(runmessages.KeepRuns(1, 0, False, [name], 0))
    assert sidecar.read_states() == [("t", 1, "refused")]
    assert sidecar.start() == []


def test_unknown_runs_are_not_reported_before_the_first_list_of_the_upstream():
    sidecar = builders.Sidecar(is_listed=False)
    name = runmessages.RunName("t", 1)
    sidecar.ask(runmessages.KeepRuns(1, 0, False, [name], 0))
    sidecar.ask(runmessages.StopRuns([name]))
    sidecar.ask(
        runmessages.KeepRuns(2, 0, False, [name], 0), runmanager.UNKNOWN_UPSTREAM_MS
    )
    assert sidecar.reports == []


def test_unknown_runs_are_refused_once_those_of_the_previous_process_have_lapsed():
    sidecar = builders.Sidecar(is_listed=False)
    name = runmessages.RunName("t", 1)
    passed_ms = runmanager.UNKNOWN_UPSTREAM_MS + 1
    sidecar.ask(runmessages.KeepRuns(1, 0, False, [name], 0), passed_ms)
    assert sidecar.read_states() == [("t", 1, "refused")]


def test_order_that_the_previous_process_may_have_started_is_not_refused():
    """The order is sent again to a restarted sidecar, while its first start runs."""
    sidecar = builders.Sidecar(is_listed=False)
    assert sidecar.start() == []
    assert sidecar.reports == []
    calls = sidecar.list(("t", 1, 40))
    assert [type(call) for call in calls] == [runevents.CallStop]
    assert sidecar.start() == []
    sidecar.ask(runmessages.KeepRuns(1, 2, False, [runmessages.RunName("t", 1)], 0))
    assert sidecar.reports == []
    sidecar.list(ends=[("t", 1, "stopped")])
    sidecar.ask(runmessages.KeepRuns(2, 2, False, [runmessages.RunName("t", 1)], 0))
    assert sidecar.read_states() == [("t", 1, "stopped")]


@pytest.mark.parametrize("run", [1, 2, 3])
def test_run_is_not_refused_while_another_gateway_has_a_run_of_its_task(run):
    """A caller sends its job to a second gateway while the first one's run is active."""
    sidecar = builders.Sidecar()
    sidecar.start(run=2)
    sidecar.answer(runevents.Answer.ACCEPTED)
    second = runevents.Sender("second", 1, "second:1")
    name = runmessages.RunName("t", run)
    order = runmessages.RunOrder(name, runmessages.Resources(1_000, 64, 0))
    sidecar.reports.clear()
    for message in (
        runmessages.StartRuns(1, "u@1", "spec", [order], 0),
        runmessages.KeepRuns(1, 1, False, [name], 0),
        runmessages.StopRuns([name]),
    ):
        assert sidecar.step(runevents.Asked(second, message)) == []
    assert sidecar.read_states() == []
    sidecar.list(ends=[("t", 2, "done")])
    sidecar.step(runevents.Asked(second, runmessages.KeepRuns(2, 1, False, [name], 0)))
    assert sidecar.read_states()[-1][:2] == ("t", run)


def test_run_of_a_previous_process_is_stopped_before_capacity_is_offered():
    sidecar = builders.Sidecar()
    sidecar.step(runevents.UpstreamGone("lease has run out"))
    sidecar.step(builders.KNOWN)
    calls = sidecar.list(("old", 3, 40))
    assert [call.name for call in calls] == [runmessages.RunName("old", 3)]
    sidecar.ask(runmessages.KeepRuns(1, 0, False, [], 0))
    assert sidecar.room.upstream == ""
    sidecar.list(ends=[("old", 3, "stopped")])
    sidecar.ask(runmessages.KeepRuns(2, 0, False, [], 0))
    assert sidecar.room.upstream == "u@1"


def test_runs_of_a_restarted_gateway_are_stopped():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    sender = runevents.Sender("gate", 2, "gate:1")
    keep = runmessages.KeepRuns(1, 0, False, [], 0)
    calls = sidecar.step(runevents.Asked(sender, keep))
    assert [type(call) for call in calls] == [runevents.CallStop]


def test_message_of_an_earlier_incarnation_is_ignored():
    sidecar = builders.Sidecar()
    sidecar.start()
    sender = runevents.Sender("gate", 0, "gate:1")
    stop = runmessages.StopRuns([runmessages.RunName("t", 1)])
    assert sidecar.step(runevents.Asked(sender, stop)) == []


def test_stale_run_reports_the_highest_run_number():
    sidecar = builders.Sidecar()
    sidecar.start(run=4)
    sidecar.answer(runevents.Answer.ACCEPTED, run=4)
    sidecar.list(ends=[("t", 4, "failed")])
    sidecar.start(run=2)
    assert (sidecar.reports[-1].state, sidecar.reports[-1].reason) == ("stale", "4")


def test_starts_pause_after_the_upstream_refused_one_as_unhealthy():
    sidecar = builders.Sidecar()
    sidecar.start("a")
    sidecar.answer(runevents.Answer.UNHEALTHY, "a")
    assert sidecar.start("b") == []
    sidecar.now_ms += runmanager.UNHEALTHY_PAUSE_MS
    assert len(sidecar.start("c")) == 1


class Crowd:
    """A sidecar whose gateways all have waiting tasks."""

    def __init__(self, count: int, runs: int = 0) -> None:
        self.sidecar = builders.Sidecar()
        for number in range(runs):
            self.sidecar.start(f"t{number}", cores=8 / runs)
            self.sidecar.answer(runevents.Answer.ACCEPTED, f"t{number}")
        self.reported: list[tuple[int, str]] = []
        self.orders = 0
        self.names = [f"gate{number}" for number in range(count)]
        self.keep(1)

    def step(self, event, advance_ms=0):
        """Process an event and return the reports to the waiting gateways."""
        self.sidecar.now_ms += advance_ms
        now_ms = self.sidecar.now_ms
        sent = [
            effect
            for effect in self.sidecar.manager.step(event, now_ms)
            if isinstance(effect, runevents.SendReports)
        ]
        self.reported += [(now_ms, message.gateway) for message in sent]
        return [message for message in sent if message.gateway in self.names]

    def use_reported_capacity(self, message):
        """Order a run that needs all the free capacity reported to a gateway."""
        self.orders += 1
        room = message.reports.room
        name = runmessages.RunName(f"{message.gateway}.{self.orders}", 1)
        order = runmessages.RunOrder(name, room.free)
        sender = runevents.Sender(message.gateway, 1, message.address)
        start = runmessages.StartRuns(self.orders, "u@1", "spec", [order], room.number)
        refused = self.step(runevents.Asked(sender, start))
        assert not any(message.reports.reports for message in refused)

    def keep(self, number):
        for name in self.names:
            message = runmessages.KeepRuns(number, 0, True, [], 0)
            sender = runevents.Sender(name, 1, f"{name}:1")
            self.step(runevents.Asked(sender, message))


def test_gateways_receive_changed_capacity_in_turn():
    """Load pattern: tasks wait at ten gateways, and a run ends every few ms."""
    crowd = Crowd(10, runs=100)
    sidecar = crowd.sidecar
    crowd.reported.clear()
    start_ms = sidecar.now_ms
    names = [runmessages.RunName(f"t{number}", 1) for number in range(100)]
    for number, name in enumerate(names):
        end = runevents.EndedRun(name, "done", "")
        left = tuple(runevents.ListedRun(item, "", 1) for item in names[number + 1 :])
        for message in crowd.step(runevents.Listed(sidecar.now_ms, left, (end,)), 5):
            crowd.use_reported_capacity(message)
    reported = [(at_ms, name) for at_ms, name in crowd.reported if name in crowd.names]
    limit = (sidecar.now_ms - start_ms) // runmanager.CAPACITY_REPORT_INTERVAL_MS + 1
    assert len({at_ms for at_ms, _ in reported}) == len(reported) <= limit
    counts = [sum(name == receiver for _, receiver in reported) for name in crowd.names]
    assert max(counts) - min(counts) <= 1 < min(counts)


def test_gateway_that_expects_as_much_capacity_gets_no_report():
    """Load pattern: runs of one gateway start and end; large tasks wait at others."""
    crowd = Crowd(10)
    sidecar = crowd.sidecar
    crowd.reported.clear()
    for number in range(100):
        task = f"t{number}"
        sidecar.start(task)
        name = runmessages.RunName(task, 1)
        crowd.step(runevents.StartAnswered(name, runevents.Answer.ACCEPTED))
        end = runevents.EndedRun(name, "done", "")
        crowd.step(runevents.Listed(sidecar.now_ms, (), (end,)), 5)
    assert not [name for _, name in crowd.reported if name in crowd.names]


def test_progress_is_sent_only_with_the_answer_to_a_renewal():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.step(runevents.Tick(), runmanager.MAX_REPORT_DELAY_MS + 1)
    sidecar.reports.clear()
    for _ in range(20):
        sidecar.list(("t", 1, 50))
    assert sidecar.reports == []
    names = [runmessages.RunName("t", 1)]
    sidecar.ask(runmessages.KeepRuns(1, 1, False, names, sidecar.newest_report))
    (running,) = sidecar.reports
    assert (running.state, running.percent) == ("running", 50)
    assert running.elapsed_ms == sidecar.now_ms - 1_001


def test_progress_is_reported_with_the_elapsed_time_of_its_list():
    """A list from just after the start must not show a stalled run 200 ms later."""
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.list(("t", 1, 0))
    names = [runmessages.RunName("t", 1)]
    sidecar.ask(runmessages.KeepRuns(1, 1, False, names, sidecar.newest_report), 200)
    assert "running" not in [item.state for item in sidecar.reports]
    sidecar.list(("t", 1, 40))
    start_ms = sidecar.now_ms
    sidecar.ask(runmessages.KeepRuns(2, 1, False, names, sidecar.newest_report), 100)
    (running,) = [item for item in sidecar.reports if item.state == "running"]
    assert running.elapsed_ms == start_ms - 1_001


def test_tick_is_due_for_a_delayed_report_and_for_the_end_of_a_lease():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    due_ms = sidecar.manager.find_due_ms(sidecar.now_ms)
    assert due_ms - sidecar.now_ms <= runmanager.MAX_REPORT_DELAY_MS
    sidecar.step(runevents.Tick(), due_ms - sidecar.now_ms)
    assert sidecar.read_states() == [("t", 1, "started")]
    for _ in range(runmanager.GATEWAY_LEASE_MS):
        due_ms = sidecar.manager.find_due_ms(sidecar.now_ms)
        if sidecar.step(runevents.Tick(), due_ms - sidecar.now_ms):
            break
    assert sidecar.manager.runs["t"].state is runevents.RunState.STOPPING
    assert sidecar.now_ms <= 1_000 + runmanager.GATEWAY_LEASE_MS + 5


def test_tick_is_due_when_a_stopped_run_must_have_ended():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.ask(runmessages.StopRuns([runmessages.RunName("t", 1)]))
    sidecar.step(
        runevents.StopAnswered(runmessages.RunName("t", 1), runevents.Answer.ACCEPTED)
    )
    for _ in range(5):
        due_ms = sidecar.manager.find_due_ms(sidecar.now_ms)
        sidecar.step(runevents.Tick(), due_ms - sidecar.now_ms)
    assert ("t", 1, "stopped") in sidecar.read_states()


def test_idle_sidecar_needs_few_ticks():
    sidecar = builders.Sidecar()
    sidecar.step(runevents.Tick(), runmanager.MAX_REPORT_DELAY_MS + 1)
    due_ms = sidecar.manager.find_due_ms(sidecar.now_ms)
    assert due_ms - sidecar.now_ms == runmanager.MAX_TICK_INTERVAL_MS


def test_every_gateway_gets_a_report_at_once_when_the_domain_goes_out_of_service():
    crowd = Crowd(10)
    crowd.reported.clear()
    crowd.step(runevents.DomainChanged(True))
    reported = sorted(name for _, name in crowd.reported if name in crowd.names)
    assert reported == sorted(crowd.names)


def test_report_of_a_start_is_sent_with_the_end_that_soon_follows():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    assert sidecar.reports == []
    sidecar.list(ends=[("t", 1, "done")])
    assert sidecar.read_states() == [("t", 1, "started"), ("t", 1, "done")]


def test_renewals_that_acknowledge_no_newer_report_do_not_keep_runs():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    named = [runmessages.RunName("t", 1)]
    sidecar.ask(runmessages.KeepRuns(1, 1, False, named, 0))
    old = sidecar.newest_report
    calls = []
    for number in range(2, 12):
        keep = runmessages.KeepRuns(number, 1, False, named, old)
        calls += sidecar.ask(keep, 100)
        calls += sidecar.step(runevents.Tick())
    assert [type(call) for call in calls] == [runevents.CallStop]


def test_renewals_that_acknowledge_the_newest_report_keep_runs():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    named = [runmessages.RunName("t", 1)]
    for number in range(1, 40):
        keep = runmessages.KeepRuns(number, 1, False, named, sidecar.newest_report)
        assert sidecar.ask(keep, 200) == []
        assert sidecar.step(runevents.Tick()) == []


def test_order_based_on_an_outdated_report_is_refused():
    sidecar = builders.Sidecar()
    sidecar.ask(runmessages.KeepRuns(1, 0, False, [], 0))
    heard = sidecar.newest_report
    sidecar.step(runevents.Tick(), runmanager.GATEWAY_LEASE_MS + 1)
    needs = runmessages.Resources(1_000, 64, 0)
    order = runmessages.RunOrder(runmessages.RunName("t", 1), needs)
    late = runmessages.StartRuns(1, "u@1", "spec", [order], heard)
    assert sidecar.ask(late) == []
    assert sidecar.read_states() == [("t", 1, "refused")]


def test_run_carried_out_by_a_restarted_upstream_is_not_lost_while_it_runs():
    """The start was meant for the former incarnation, and the next one confirmed it."""
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.step(attrs.evolve(builders.KNOWN, incarnation="u@2"))
    calls = sidecar.list(("t", 1, 10))
    assert [type(call) for call in calls] == [runevents.CallStop]
    assert "lost" not in [state for _, _, state in sidecar.read_states()]
    assert sidecar.room.upstream == ""
    sidecar.list(ends=[("t", 1, "stopped")])
    assert sidecar.read_states()[-1] == ("t", 1, "stopped")
    assert sidecar.room.upstream == "u@2"


@pytest.mark.parametrize("answer", [None, *runevents.Answer])
def test_run_of_a_former_incarnation_is_lost_once_the_next_one_does_not_list_it(answer):
    sidecar = builders.Sidecar()
    sidecar.start()
    if answer in (None, runevents.Answer.UNKNOWN, runevents.Answer.ACCEPTED):
        if answer is not None:
            sidecar.answer(answer)
        sidecar.step(attrs.evolve(builders.KNOWN, incarnation="u@2"))
        assert "lost" not in [state for _, _, state in sidecar.read_states()]
        sidecar.list()
        assert sidecar.read_states()[-1] == ("t", 1, "lost")
        assert sidecar.room.upstream == "u@2"
    else:
        sidecar.answer(answer)
        assert sidecar.read_states()[-1][2] in ("refused", "stale")


def test_refused_connection_does_not_end_runs_confirmed_after_the_call_began():
    sidecar = builders.Sidecar()
    sidecar.start()
    asked_ms = sidecar.now_ms
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.step(runevents.UpstreamGone("no listener", asked_ms))
    assert sidecar.read_states() == [("t", 1, "started")]
    sidecar.step(runevents.UpstreamGone("no listener", sidecar.now_ms + 1))
    assert sidecar.read_states()[-1] == ("t", 1, "lost")


def test_unconfirmed_run_that_was_to_stop_is_not_lost_with_its_upstream():
    """Its start is in transit and may reach the next incarnation."""
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.ask(runmessages.StopRuns([runmessages.RunName("t", 1)]))
    sidecar.step(runevents.UpstreamGone("lease has run out"))
    assert sidecar.read_states() == []
    sidecar.step(runevents.Tick(), runmanager.UNKNOWN_UPSTREAM_MS + 1)
    assert sidecar.read_states() == [("t", 1, "lost")]


def test_lease_on_the_upstream_ends_before_callers_of_a_lost_gateway_resend():
    sidecar = builders.Sidecar()
    lease_ms = sidecar.manager.find_lease_ms(sidecar.now_ms)
    assert lease_ms == runmanager.RUN_LEASE_MS
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    keep = runmessages.KeepRuns(1, 1, False, [T1], sidecar.newest_report)
    sidecar.ask(keep)
    lost_ms = sidecar.now_ms
    for _ in range(runmanager.RUN_LEASE_MS // 100):
        sidecar.step(runevents.Tick(), 100)
        lease_ms = sidecar.manager.find_lease_ms(sidecar.now_ms)
        assert sidecar.now_ms + lease_ms <= lost_ms + runmanager.RUN_LEASE_MS
    assert lease_ms == 0


def test_lease_ends_although_the_upstream_leaves_stops_unanswered():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.ask(runmessages.StopRuns([T1]))
    stopped_ms = sidecar.now_ms
    for number in range(runmanager.RUN_LEASE_MS // 100):
        keep = runmessages.KeepRuns(number + 1, 1, False, [], sidecar.newest_report)
        sidecar.ask(keep, 100)
        sidecar.step(runevents.StopAnswered(T1, runevents.Answer.UNKNOWN))
        lease_ms = sidecar.manager.find_lease_ms(sidecar.now_ms)
        assert sidecar.now_ms + lease_ms <= stopped_ms + runmanager.RUN_LEASE_MS
    assert lease_ms == 0


def test_runs_of_a_previous_process_are_not_leased():
    sidecar = builders.Sidecar(is_listed=False)
    sidecar.list(("t", 1, 40))
    assert sidecar.manager.find_lease_ms(sidecar.now_ms) == 0
