"""Tests of the estimates of run times."""

import math
import random

from amaranthspar.dispatch import estimates


def train(declare):
    chance = random.Random(3)
    found = estimates.Estimates()
    for _ in range(500):
        run_ms = math.exp(chance.uniform(math.log(50), math.log(1000)))
        found.observe("s", max(1, int(declare(run_ms, chance))), int(run_ms))
    return found


def test_constant_factor_is_corrected():
    found = train(lambda run_ms, _: 10 * run_ms)
    assert 90 < found.predict("s", 1000) < 110
    assert 450 < found.predict("s", 5000) < 550


def test_uncorrelated_declared_times_have_little_influence():
    found = train(lambda _, chance: math.exp(chance.uniform(0, 10)))
    assert found.predict("s", 20_000) < 1.5 * found.predict("s", 2)


def test_noisy_declared_times_still_order_tasks():
    found = train(lambda run_ms, chance: run_ms * 10 ** chance.uniform(-1, 1))
    assert found.predict("s", 5000) > found.predict("s", 50)
    assert found.predict("s", 10_000) < 2000


def test_declared_time_is_the_estimate_for_an_unknown_service():
    assert round(estimates.Estimates().predict("s", 700)) == 700
