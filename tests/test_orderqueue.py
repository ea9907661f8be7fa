"""Tests of the queue of orders that wait in a sidecar for free capacity."""

import hypothesis
import pytest
from hypothesis import strategies

from amaranthspar.scheduling import orderqueue, runevents, runmanager
from amaranthspar.schema import runmessages
from tests import builders_runmanager as builders

GATEWAYS = ("g1", "g2", "g3")


def build_full() -> builders.Sidecar:
    """Return a sidecar whose upstream has two of eight cores free."""
    sidecar = builders.Sidecar()
    assert sidecar.start("a", cores=6)
    sidecar.answer(runevents.Answer.ACCEPTED, "a")
    return sidecar


def list_started(calls) -> list[str]:
    return [
        call.order.name.task for call in calls if isinstance(call, runevents.CallStart)
    ]


def end_run(sidecar, task="a") -> list[str]:
    return list_started(sidecar.list(ends=[(task, 1, "done")]))


def test_order_for_capacity_that_was_just_taken_waits_and_starts():
    sidecar = build_full()
    assert sidecar.start("b", cores=3) == []
    sidecar.step(runevents.Tick(), orderqueue.MAX_WAIT_MS - 5)
    assert "refused" not in [state for _, _, state in sidecar.read_states()]

    assert end_run(sidecar) == ["b"]


def test_capacity_reserved_by_a_queued_order_is_not_offered():
    sidecar = build_full()
    sidecar.start("b", cores=3)

    names = [runmessages.RunName("a", 1), runmessages.RunName("b", 1)]
    sidecar.ask(runmessages.KeepRuns(1, 2, True, names, sidecar.newest_report))

    assert sidecar.room.free.cpu_millis == 0


def test_small_order_does_not_overtake_a_large_queued_one():
    sidecar = build_full()
    sidecar.start("b", cores=3)
    assert sidecar.start("c", cores=1) == []

    assert end_run(sidecar)[0] == "b"


def test_order_queued_for_one_resource_does_not_block_one_that_needs_another():
    sidecar = builders.Sidecar()
    assert sidecar.start("a", cores=1, memory_mb=8_000)
    assert sidecar.start("b", cores=1, memory_mb=500) == []

    assert list_started(sidecar.start("c", cores=4, memory_mb=0)) == ["c"]


def test_number_of_queued_orders_is_limited():
    sidecar = build_full()
    for number in range(orderqueue.MAX_ORDERS):
        sidecar.start(f"b{number}", cores=3)
    assert sidecar.reports == [] or "refused" not in [
        item.state for item in sidecar.reports
    ]

    sidecar.start("c", cores=3)

    assert sidecar.reports[-1].name.task == "c"
    assert sidecar.reports[-1].reason == runmanager.NO_ROOM


def test_tick_is_due_when_a_queued_order_expires():
    sidecar = build_full()
    sidecar.start("b", cores=3)
    since_ms = sidecar.now_ms

    assert sidecar.manager.find_due_ms(since_ms) <= since_ms + orderqueue.MAX_WAIT_MS


@pytest.mark.parametrize(
    "event",
    [
        runevents.Leave(),
        runevents.DomainChanged(True),
        runevents.UpstreamKnown("u@1", builders.CAPACITY, ("a", "r1"), True),
        runevents.UpstreamKnown("u@2", builders.CAPACITY, ("a", "r1"), False),
        runevents.UpstreamGone("gone"),
        runevents.Asked(
            runevents.Sender("gate", 2, "gate:1"),
            runmessages.KeepRuns(1, 0, False, [], 0),
        ),
        runevents.Asked(
            builders.SENDER, runmessages.StopRuns([runmessages.RunName("b", 1)])
        ),
        runevents.Asked(
            builders.SENDER,
            runmessages.KeepRuns(1, 2, False, [runmessages.RunName("a", 1)], 0),
        ),
    ],
)
def test_queued_order_does_not_start_once_it_is_no_longer_valid(event):
    sidecar = build_full()
    sidecar.start("b", cores=3)

    calls = sidecar.step(event)
    calls += sidecar.list(ends=[("a", 1, "done")])
    calls += sidecar.step(runevents.DomainChanged(False))
    calls += sidecar.start("b", cores=3)

    assert "b" not in list_started(calls)


def test_order_queued_while_the_process_was_paused_does_not_start():
    sidecar = build_full()
    sidecar.start("b", cores=3)

    calls = sidecar.step(runevents.Tick(), runmanager.GATEWAY_LEASE_MS + 1)

    assert list_started(calls) == []
    assert end_run(sidecar) == []


class Crowd:
    """Gateways that send orders to one sidecar, whose upstream ends runs at random."""

    def __init__(self) -> None:
        self.sidecar = builders.Sidecar()
        self.sidecar.manager.gateways.clear()
        self.newest_reports = dict.fromkeys(GATEWAYS, 0)
        self.sent = 0
        self.running: dict[str, int] = {}
        self.final: set[str] = set()
        self.needs: dict[str, int] = {}
        for name in GATEWAYS:
            self.ask(name, runmessages.KeepRuns(0, 0, True, [], 0))

    def ask(self, name, message) -> None:
        self.step(runevents.Asked(runevents.Sender(name, 1, name), message))

    def step(self, event, advance_ms=0) -> None:
        sidecar = self.sidecar
        sidecar.now_ms += advance_ms
        for effect in sidecar.manager.step(event, sidecar.now_ms):
            match effect:
                case runevents.CallStart(order=order):
                    task = order.name.task
                    assert task not in self.running and task not in self.final
                    assert not sidecar.manager.refusal_reason
                    self.running[task] = order.needs.cpu_millis
                    used = sum(self.running.values())
                    assert used <= builders.CAPACITY.cpu_millis
                case runevents.SendReports(gateway=name, reports=reports):
                    self.newest_reports[name] = reports.room.number
                    for report in reports.reports:
                        if report.state not in ("started", "running"):
                            self.final.add(report.name.task)

    def send(self, name, cores) -> None:
        self.sent += 1
        order = runmessages.RunOrder(
            runmessages.RunName(f"t{self.sent}", 1),
            runmessages.Resources(cores * 1000, 1, 0),
        )
        message = runmessages.StartRuns(
            self.sent, "u@1", "spec", [order], self.newest_reports[name]
        )
        self.ask(name, message)

    def end(self) -> None:
        """End the run that started first."""
        if not self.running:
            return
        task = next(iter(self.running))
        name = runmessages.RunName(task, 1)
        self.step(runevents.StartAnswered(name, runevents.Answer.ACCEPTED))
        del self.running[task]
        self.step(
            runevents.Listed(
                self.sidecar.now_ms + 1,
                tuple(
                    runevents.ListedRun(runmessages.RunName(item, 1), "", 1)
                    for item in self.running
                ),
                (runevents.EndedRun(name, "done", ""),),
            ),
            1,
        )


@hypothesis.given(
    strategies.lists(
        strategies.one_of(
            strategies.tuples(
                strategies.sampled_from(GATEWAYS), strategies.integers(1, 5)
            ),
            strategies.sampled_from(["end", "tick", "stop", "out", "in"]),
        ),
        max_size=60,
    )
)
def test_crowded_upstream_is_never_overcommitted_and_each_order_starts_at_most_once(
    actions,
):
    crowd = Crowd()
    for action in actions:
        match action:
            case (name, cores):
                crowd.send(name, cores)
            case "end":
                crowd.end()
            case "tick":
                crowd.step(runevents.Tick(), 15)
            case "stop":
                task = runmessages.RunName(f"t{crowd.sent}", 1)
                crowd.ask(GATEWAYS[crowd.sent % 3], runmessages.StopRuns([task]))
            case "out" | "in":
                crowd.step(runevents.DomainChanged(action == "out"))
    crowd.step(runevents.DomainChanged(False))
    for _ in range(2 * len(actions) + 10):
        crowd.end()
    crowd.step(runevents.Tick(), orderqueue.MAX_WAIT_MS)
    assert not crowd.running
    assert crowd.sidecar.manager.read_offered() == builders.CAPACITY
