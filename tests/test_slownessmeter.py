"""Tests of the slowness that a sidecar measures of its upstream and reports."""

import random

import attrs
import pytest

from amaranthspar.scheduling import runevents, slownessmeter
from amaranthspar.schema import runmessages
from tests import builders_runmanager as builders

EXPECTED_MS = 100
LONG_FACTOR = 7
LONG_SHARE = 0.03


class Load:
    """Runs of several gateways on one upstream, one after the other."""

    def __init__(self, seed: int = 1) -> None:
        self.sidecar = builders.Sidecar()
        self.upstream = "u@1"
        self._chance = random.Random(seed)
        self._count = 0

    def run(
        self, factor: float, expected_ms: int = EXPECTED_MS, end: str = "done"
    ) -> None:
        """Start a run, end it after `factor` times the expected time."""
        sidecar = self.sidecar
        self._count += 1
        task = f"t{self._count}"
        gateway = runevents.Sender(f"gate{self._count % 3}", 1, "gate:1")
        sidecar.step(
            runevents.Asked(
                gateway,
                runmessages.KeepRuns(
                    self._count, sidecar.newest_report, False, [], self._count - 1
                ),
            )
        )
        needs = runmessages.Resources(1_000, 64, 0)
        order = runmessages.RunOrder(
            runmessages.RunName(task, 1), needs, expected_ms=expected_ms
        )
        sidecar.step(
            runevents.Asked(
                gateway,
                runmessages.StartRuns(
                    self._count, self.upstream, "spec", [order], sidecar.newest_report
                ),
            )
        )
        sidecar.answer(runevents.Answer.ACCEPTED, task)
        sidecar.now_ms += round(EXPECTED_MS * factor) - 1
        sidecar.list(ends=[(task, 1, end)])

    def run_many(self, count: int, factor: float) -> None:
        """Run tasks of which 3 in 100 are long, and all are off by up to 40%."""
        for _ in range(count):
            noise = self._chance.uniform(0.6, 1.4)
            if self._chance.random() < LONG_SHARE:
                noise *= LONG_FACTOR
            self.run(factor * noise)

    @property
    def reported(self) -> int:
        return self.sidecar.room.slowness_permille


@pytest.mark.parametrize("factor", [0.8, 1.0, 2.2])
@pytest.mark.parametrize("seed", range(5))
def test_steady_slowness_is_reported_despite_long_tasks(seed: int, factor: float):
    # Gateways learnt the speed of an upstream from few runs each, anew after a restart.
    load = Load(seed)
    load.run_many(100, factor)
    assert load.reported == pytest.approx(1000 * factor, rel=0.2)


def test_nothing_is_reported_after_few_runs_or_runs_of_unknown_duration():
    load = Load()
    for _ in range(slownessmeter.MIN_RUNS - 1):
        load.run(2.0)
    for _ in range(2 * slownessmeter.MIN_RUNS):
        load.run(2.0, expected_ms=0)
    assert load.reported == 0
    load.run(2.0)
    assert load.reported == 2_000


def test_failed_runs_do_not_count():
    # An upstream that fails all runs at once would otherwise count as a fast one.
    load = Load()
    load.run_many(50, 1.0)
    before = load.reported
    for _ in range(50):
        load.run(0.02, end="failed")
    assert load.reported == before


def test_another_incarnation_starts_anew():
    load = Load()
    load.run_many(50, 2.2)
    assert load.reported > 1_500
    load.upstream = "u@2"
    load.sidecar.step(attrs.evolve(builders.KNOWN, incarnation=load.upstream))
    load.sidecar.list()
    assert load.reported == 0
    load.run_many(50, 1.0)
    assert load.reported == pytest.approx(1_000, rel=0.2)


def test_measure_survives_a_loss_of_contact_with_the_same_incarnation():
    load = Load()
    load.run_many(50, 2.2)
    before = load.reported
    load.sidecar.step(runevents.UpstreamGone("lease has expired"))
    load.sidecar.step(builders.KNOWN)
    load.sidecar.list()
    assert load.reported == before


def test_measure_follows_a_lasting_change():
    load = Load()
    load.run_many(100, 1.0)
    load.run_many(slownessmeter.MAX_RUNS, 2.2)
    assert load.reported == pytest.approx(2_200, rel=0.2)


def test_runs_of_a_former_incarnation_do_not_count():
    meter = slownessmeter.SlownessMeter()
    meter.set_incarnation("u@2")
    for _ in range(slownessmeter.MIN_RUNS):
        meter.record_run("u@1", 200, 100)
    assert meter.permille == 0
