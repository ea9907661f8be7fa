"""Tests of a sidecar's decisions on runs."""

import pytest

from amaranthspar.scheduling import orderqueue, runevents, runmanager
from amaranthspar.schema import runmessages
from tests import builders_runmanager as builders


def test_run_goes_from_start_to_its_end():
    sidecar = builders.Sidecar()
    calls = sidecar.start()
    assert [call.order.name.task for call in calls] == ["t"]
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.list(("t", 1, 50))
    sidecar.list(ends=[("t", 1, "done")])
    assert sidecar.read_states() == [("t", 1, "started"), ("t", 1, "done")]
    assert sidecar.room.free == builders.CAPACITY


def test_order_that_comes_twice_starts_once():
    sidecar = builders.Sidecar()
    assert len(sidecar.start()) == 1
    assert sidecar.start() == []


def test_end_is_told_again_when_the_order_comes_again():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.list(ends=[("t", 1, "done")])
    sidecar.told.clear()
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
def test_no_run_starts_where_none_may(event, reason):
    sidecar = builders.Sidecar()
    sidecar.step(event)
    assert sidecar.start() == []
    assert [(item.state, item.reason) for item in sidecar.told] == [("refused", reason)]


def test_start_beyond_the_room_is_refused_without_a_call():
    sidecar = builders.Sidecar()
    assert sidecar.start("a", cores=6)
    assert sidecar.start("b", cores=3) == []
    assert sidecar.step(runevents.Tick(), orderqueue.WAIT_MS) == []
    assert sidecar.told[-1].reason == "no room"


def test_start_meant_for_another_life_of_the_upstream_is_refused():
    sidecar = builders.Sidecar()
    assert sidecar.start(upstream="u@0") == []
    assert sidecar.told[-1].reason == "another upstream was meant"


def test_silent_start_is_stopped_before_the_task_is_given_back():
    sidecar = builders.Sidecar()
    sidecar.start()
    calls = sidecar.answer(runevents.Answer.UNKNOWN)
    assert [type(call) for call in calls] == [runevents.CallStop]
    sidecar.list()
    assert sidecar.told == []
    stopped = runevents.StopAnswered(
        runmessages.RunName("t", 1), runevents.Answer.ACCEPTED
    )
    sidecar.step(stopped)
    sidecar.list(asked_ms=sidecar.now_ms - 1)
    assert sidecar.told == []
    sidecar.list(asked_ms=sidecar.now_ms + 1)
    assert sidecar.read_states() == [("t", 1, "refused")]


def test_start_on_its_way_to_a_lost_upstream_is_in_doubt_until_it_is_barred():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.step(runevents.UpstreamGone("lease has run out"))
    assert sidecar.told == []
    sidecar.step(runevents.Tick(), runmanager.START_BARRED_MS)
    assert sidecar.told == []
    sidecar.step(runevents.Tick(), 1)
    assert sidecar.read_states() == [("t", 1, "lost")]


def test_confirmed_stop_needs_no_list_after_the_time_that_a_stop_takes():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.UNKNOWN)
    stopped = runevents.StopAnswered(
        runmessages.RunName("t", 1), runevents.Answer.ACCEPTED
    )
    sidecar.step(stopped)
    sidecar.step(runevents.Tick(), runmanager.STOPPED_MS)
    assert sidecar.told == []
    sidecar.step(runevents.Tick(), 1)
    assert sidecar.read_states() == [("t", 1, "refused")]


def test_task_of_an_unanswered_start_is_given_back_as_soon_as_a_list_shows_it_is_over():
    sidecar = builders.Sidecar()
    sidecar.start("other")
    sidecar.answer(runevents.Answer.ACCEPTED, "other")
    sidecar.start()
    assert sidecar.find_list_wait_ms() == runmanager.WAIT_BUSY_MS
    sidecar.answer(runevents.Answer.UNKNOWN)
    name = runmessages.RunName("t", 1)
    sidecar.step(runevents.StopAnswered(name, runevents.Answer.ACCEPTED), 2)

    asked_ms = sidecar.now_ms + 1
    assert sidecar.find_list_wait_ms() == runmanager.WAIT_STOPPED_MS
    sidecar.list(("other", 1, 10), asked_ms=asked_ms)

    assert ("t", 1, "refused") in sidecar.read_states()
    assert sidecar.now_ms < asked_ms + runmanager.STOPPED_MS
    assert sidecar.find_list_wait_ms() == runmanager.WAIT_BUSY_MS


def test_ends_are_heard_of_soon_while_renewals_are_left_unanswered():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.step(runevents.Unlisted())
    assert sidecar.find_list_wait_ms() == runmanager.WAIT_DOUBT_MS

    sidecar.step(runevents.Tick(), runmanager.DOUBT_MS)

    assert sidecar.find_list_wait_ms() == runmanager.WAIT_BUSY_MS


def test_silent_stop_is_asked_for_again():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.UNKNOWN)
    silent = runevents.StopAnswered(
        runmessages.RunName("t", 1), runevents.Answer.UNKNOWN
    )
    calls = sidecar.step(silent)
    assert [type(call) for call in calls] == [runevents.CallStop]


def test_silent_start_that_runs_counts_as_started():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.UNKNOWN)
    sidecar.list(("t", 1, 10))
    sidecar.step(runevents.Tick(), runmanager.QUIET_REPORT_MS)
    assert sidecar.read_states() == [("t", 1, "started")]


def test_list_asked_before_the_start_says_nothing_about_it():
    sidecar = builders.Sidecar()
    asked_ms = sidecar.now_ms
    sidecar.start()
    sidecar.now_ms += 5
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.list(asked_ms=asked_ms)
    sidecar.step(runevents.Tick(), runmanager.QUIET_REPORT_MS)
    assert sidecar.read_states() == [("t", 1, "started")]
    sidecar.list(asked_ms=sidecar.now_ms + 1)
    assert sidecar.read_states()[-1] == ("t", 1, "lost")


def test_runs_of_a_silent_gateway_stop_within_a_second():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    assert sidecar.step(runevents.Tick(), runmanager.GATEWAY_LEASE_MS) == []
    calls = sidecar.step(runevents.Tick(), 1)
    assert [type(call) for call in calls] == [runevents.CallStop]
    assert runmanager.GATEWAY_LEASE_MS < 1_000


def test_renewed_lease_keeps_runs_and_stops_those_not_named():
    sidecar = builders.Sidecar()
    for task in ("a", "b"):
        sidecar.start(task)
        sidecar.answer(runevents.Answer.ACCEPTED, task)
    named = [runmessages.RunName("a", 1)]
    keep = runmessages.KeepRuns(1, sidecar.number, False, named, sidecar.heard)
    calls = sidecar.ask(keep)
    assert [call.name.task for call in calls] == ["b"]


def test_run_that_never_arrived_is_barred_when_it_is_told_so():
    sidecar = builders.Sidecar()
    name = runmessages.RunName("t", 1)
    sidecar.ask(runmessages.KeepRuns(1, 0, False, [name], 0))
    assert sidecar.read_states() == [("t", 1, "refused")]
    assert sidecar.start() == []


def test_nothing_is_said_of_unknown_runs_before_the_upstream_is_clean():
    sidecar = builders.Sidecar()
    sidecar.step(runevents.UpstreamGone("lease has run out"))
    sidecar.ask(runmessages.KeepRuns(1, 0, False, [runmessages.RunName("t", 1)], 0))
    assert sidecar.told == []


def test_run_of_a_predecessor_is_stopped_before_room_is_offered():
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


def test_gateway_that_has_restarted_has_its_runs_stopped():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    sender = runevents.Sender("gate", 2, "gate:1")
    keep = runmessages.KeepRuns(1, 0, False, [], 0)
    calls = sidecar.step(runevents.Asked(sender, keep))
    assert [type(call) for call in calls] == [runevents.CallStop]


def test_message_of_an_incarnation_before_changes_nothing():
    sidecar = builders.Sidecar()
    sidecar.start()
    sender = runevents.Sender("gate", 0, "gate:1")
    stop = runmessages.StopRuns([runmessages.RunName("t", 1)])
    assert sidecar.step(runevents.Asked(sender, stop)) == []


def test_stale_run_tells_the_highest_one_known():
    sidecar = builders.Sidecar()
    sidecar.start(run=4)
    sidecar.answer(runevents.Answer.ACCEPTED, run=4)
    sidecar.list(ends=[("t", 4, "failed")])
    sidecar.start(run=2)
    assert (sidecar.told[-1].state, sidecar.told[-1].reason) == ("stale", "4")


def test_upstream_that_refuses_as_unhealthy_gets_a_pause():
    sidecar = builders.Sidecar()
    sidecar.start("a")
    sidecar.answer(runevents.Answer.UNHEALTHY, "a")
    assert sidecar.start("b") == []
    sidecar.now_ms += runmanager.SICK_PAUSE_MS
    assert len(sidecar.start("c")) == 1


class Crowd:
    """A sidecar whose gateways all have tasks that wait."""

    def __init__(self, count: int, runs: int = 0) -> None:
        self.sidecar = builders.Sidecar()
        for number in range(runs):
            self.sidecar.start(f"t{number}", cores=8 / runs)
            self.sidecar.answer(runevents.Answer.ACCEPTED, f"t{number}")
        self.told: list[tuple[int, str]] = []
        self.orders = 0
        self.names = [f"gate{number}" for number in range(count)]
        self.keep(1)

    def step(self, event, advance_ms=0):
        """Take an event and return the statements that it caused."""
        self.sidecar.now_ms += advance_ms
        now_ms = self.sidecar.now_ms
        tells = [
            effect
            for effect in self.sidecar.manager.step(event, now_ms)
            if isinstance(effect, runevents.SendReports)
        ]
        self.told += [(now_ms, tell.gateway) for tell in tells]
        return [tell for tell in tells if tell.gateway in self.names]

    def take_room(self, tell):
        """Order a run that needs all the room that a gateway was told of."""
        self.orders += 1
        room = tell.reports.room
        name = runmessages.RunName(f"{tell.gateway}.{self.orders}", 1)
        order = runmessages.RunOrder(name, room.free)
        sender = runevents.Sender(tell.gateway, 1, tell.address)
        start = runmessages.StartRuns(self.orders, "u@1", "spec", [order], room.number)
        refused = self.step(runevents.Asked(sender, start))
        assert not any(tell.reports.reports for tell in refused)

    def keep(self, number):
        for name in self.names:
            message = runmessages.KeepRuns(number, 0, True, [], 0)
            sender = runevents.Sender(name, 1, f"{name}:1")
            self.step(runevents.Asked(sender, message))


def test_gateways_hear_of_changed_room_one_after_the_other():
    """Load pattern: tasks wait at ten gateways, and a run ends every few ms."""
    crowd = Crowd(10, runs=100)
    sidecar = crowd.sidecar
    crowd.told.clear()
    began_ms = sidecar.now_ms
    names = [runmessages.RunName(f"t{number}", 1) for number in range(100)]
    for number, name in enumerate(names):
        end = runevents.EndedRun(name, "done", "")
        left = tuple(runevents.ListedRun(item, "", 1) for item in names[number + 1 :])
        for tell in crowd.step(runevents.Listed(sidecar.now_ms, left, (end,)), 5):
            crowd.take_room(tell)
    told = [(at_ms, name) for at_ms, name in crowd.told if name in crowd.names]
    most = (sidecar.now_ms - began_ms) // runmanager.ROOM_INTERVAL_MS + 1
    assert len({at_ms for at_ms, _ in told}) == len(told) <= most
    counts = [sum(name == told_name for _, told_name in told) for name in crowd.names]
    assert max(counts) - min(counts) <= 1 < min(counts)


def test_gateway_that_knows_of_as_much_room_is_not_told_again():
    """Load pattern: runs of one gateway come and go while large tasks wait at others."""
    crowd = Crowd(10)
    sidecar = crowd.sidecar
    crowd.told.clear()
    for number in range(100):
        task = f"t{number}"
        sidecar.start(task)
        name = runmessages.RunName(task, 1)
        crowd.step(runevents.StartAnswered(name, runevents.Answer.ACCEPTED))
        end = runevents.EndedRun(name, "done", "")
        crowd.step(runevents.Listed(sidecar.now_ms, (), (end,)), 5)
    assert not [name for _, name in crowd.told if name in crowd.names]


def test_progress_goes_with_the_answer_to_a_renewal_and_costs_no_message():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.step(runevents.Tick(), runmanager.QUIET_REPORT_MS + 1)
    sidecar.told.clear()
    for _ in range(20):
        sidecar.list(("t", 1, 50))
    assert sidecar.told == []
    names = [runmessages.RunName("t", 1)]
    sidecar.ask(runmessages.KeepRuns(1, 1, False, names, sidecar.heard))
    (running,) = sidecar.told
    assert (running.state, running.percent) == ("running", 50)
    assert running.elapsed_ms == sidecar.now_ms - 1_001


def test_progress_is_told_with_the_age_that_it_had_when_it_was_listed():
    """A list from just after the start says nothing 200 ms later: no run has stalled."""
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    sidecar.list(("t", 1, 0))
    names = [runmessages.RunName("t", 1)]
    sidecar.ask(runmessages.KeepRuns(1, 1, False, names, sidecar.heard), 200)
    assert "running" not in [item.state for item in sidecar.told]
    sidecar.list(("t", 1, 40))
    began_ms = sidecar.now_ms
    sidecar.ask(runmessages.KeepRuns(2, 1, False, names, sidecar.heard), 100)
    (running,) = [item for item in sidecar.told if item.state == "running"]
    assert running.elapsed_ms == began_ms - 1_001


def test_tick_is_due_when_a_report_has_waited_and_when_a_lease_ends():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    due_ms = sidecar.manager.find_due_ms(sidecar.now_ms)
    assert due_ms - sidecar.now_ms <= runmanager.QUIET_REPORT_MS
    sidecar.step(runevents.Tick(), due_ms - sidecar.now_ms)
    assert sidecar.read_states() == [("t", 1, "started")]
    for _ in range(runmanager.GATEWAY_LEASE_MS):
        due_ms = sidecar.manager.find_due_ms(sidecar.now_ms)
        if sidecar.step(runevents.Tick(), due_ms - sidecar.now_ms):
            break
    assert sidecar.manager.runs["t"].state is runevents.RunState.STOPPING
    assert sidecar.now_ms <= 1_000 + runmanager.GATEWAY_LEASE_MS + 5


def test_tick_is_due_when_a_stopped_run_must_be_over():
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
    sidecar.step(runevents.Tick(), runmanager.QUIET_REPORT_MS + 1)
    due_ms = sidecar.manager.find_due_ms(sidecar.now_ms)
    assert due_ms - sidecar.now_ms == runmanager.IDLE_MS


def test_every_gateway_hears_at_once_that_a_domain_is_out():
    crowd = Crowd(10)
    crowd.told.clear()
    crowd.step(runevents.DomainChanged(True))
    told = sorted(name for _, name in crowd.told if name in crowd.names)
    assert told == sorted(crowd.names)


def test_report_of_a_start_goes_with_the_end_that_soon_follows():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    assert sidecar.told == []
    sidecar.list(ends=[("t", 1, "done")])
    assert sidecar.read_states() == [("t", 1, "started"), ("t", 1, "done")]


def test_renewals_that_confirm_no_newer_statement_do_not_keep_runs():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    named = [runmessages.RunName("t", 1)]
    sidecar.ask(runmessages.KeepRuns(1, 1, False, named, 0))
    old = sidecar.heard
    calls = []
    for number in range(2, 12):
        keep = runmessages.KeepRuns(number, 1, False, named, old)
        calls += sidecar.ask(keep, 100)
        calls += sidecar.step(runevents.Tick())
    assert [type(call) for call in calls] == [runevents.CallStop]


def test_renewals_that_confirm_the_newest_statement_keep_runs():
    sidecar = builders.Sidecar()
    sidecar.start()
    sidecar.answer(runevents.Answer.ACCEPTED)
    named = [runmessages.RunName("t", 1)]
    for number in range(1, 40):
        keep = runmessages.KeepRuns(number, 1, False, named, sidecar.heard)
        assert sidecar.ask(keep, 200) == []
        assert sidecar.step(runevents.Tick()) == []


def test_order_based_on_an_old_statement_starts_nothing():
    sidecar = builders.Sidecar()
    sidecar.ask(runmessages.KeepRuns(1, 0, False, [], 0))
    heard = sidecar.heard
    sidecar.step(runevents.Tick(), runmanager.GATEWAY_LEASE_MS + 1)
    needs = runmessages.Resources(1_000, 64, 0)
    order = runmessages.RunOrder(runmessages.RunName("t", 1), needs)
    late = runmessages.StartRuns(1, "u@1", "spec", [order], heard)
    assert sidecar.ask(late) == []
    assert sidecar.read_states() == [("t", 1, "refused")]
