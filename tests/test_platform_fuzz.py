"""Fuzz tests of the decoders of the platform's bodies.

Any body gives a typed error or values that can be sent on links and to an upstream.
"""

import json

import hypothesis
import msgspec
from hypothesis import strategies

from amaranthspar.platform import wire
from amaranthspar.schema import codec, runmessages
from tests import builders_platform as builders, builders_scheduling

FUZZ_SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    suppress_health_check=list(hypothesis.HealthCheck),
)
QUEUE = builders_scheduling.build_queue()
NAME = runmessages.RunName("t.0.0.0", 1)
NUMBERS = strategies.sampled_from(
    [0, 1, -1, 2**53 - 1, 2**53, 2**63, 2**64, -(2**63), 10**30, 10**400, 1.5, 1e308]
)
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | NUMBERS
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=8,
)
HEARTBEAT = json.loads(builders.build_heartbeat())
CONFIGURATION = json.loads(builders.build_configuration())
JOB = json.loads(builders.build_job())
LISTING = {
    "ClockMs": 5,
    "born": 3,
    "Running": [["t.0.0.1", 2, "s", 41, 0]],
    "Ended": [[58, "t.0.0.9", 1, "done", ""]],
}


def list_paths(value, path=()):
    """Return the paths of all values within a value of JSON."""
    paths = [path] if path else []
    if isinstance(value, dict):
        for key, inner in value.items():
            paths += list_paths(inner, (*path, key))
    elif isinstance(value, list):
        for number, inner in enumerate(value):
            paths += list_paths(inner, (*path, number))
    return paths


def build_bodies(valid):
    """Return a strategy of bodies that differ from a valid one in one to three values.

    Args:
        valid: Decoded body.
    """
    paths = list_paths(valid)
    numeric = [path for path in paths if isinstance(read_value(valid, path), int)]
    any_change = strategies.tuples(strategies.sampled_from(paths), VALUES)
    odd_number = strategies.tuples(strategies.sampled_from(numeric), NUMBERS)
    changed = [
        strategies.lists(change, min_size=1, max_size=3)
        .map(lambda changes: apply_changes(valid, changes))
        .map(json.dumps)
        .map(str.encode)
        for change in (odd_number, any_change, odd_number | any_change)
    ]
    cut = strategies.integers(0, 200).map(
        lambda length: json.dumps(valid).encode()[:length]
    )
    return strategies.one_of(*changed, strategies.binary(max_size=60), cut)


def read_value(value, path):
    """Return the value at a path."""
    for key in path:
        value = value[key]
    return value


def apply_changes(valid, changes):
    result = json.loads(json.dumps(valid))
    for path, value in changes:
        target = result
        try:
            for key in path[:-1]:
                target = target[key]
            target[path[-1]] = value
        except (TypeError, KeyError, IndexError):
            continue
    return result


def check_numbers(*numbers) -> None:
    assert all(0 <= number <= wire.MAX_NUMBER for number in numbers)


@FUZZ_SETTINGS
@hypothesis.given(build_bodies(HEARTBEAT))
def test_any_heartbeat_can_be_reported_or_is_rejected(body: bytes) -> None:
    try:
        heartbeat = wire.decode_heartbeat(body)
    except wire.BodyError:
        return
    check_numbers(heartbeat.born_ms, heartbeat.sequence)
    room = runmessages.Room(
        *(1, 1, "u@1", heartbeat.service, "east", list(heartbeat.labels)),
        *(heartbeat.capacity, heartbeat.capacity, heartbeat.is_leaving),
    )
    assert len(bytes(codec.encode_part(room))) < 200_000


@FUZZ_SETTINGS
@hypothesis.given(build_bodies(LISTING))
def test_any_list_of_runs_can_be_reported_or_is_rejected(body: bytes) -> None:
    try:
        listing = wire.decode_listing(body)
    except wire.BodyError:
        return
    check_numbers(listing.clock_ms, listing.born_ms, listing.last)
    for run in listing.running:
        report = runmessages.RunReport(run.name, "running", "", 1, run.percent)
        codec.encode_part(report)
    for end in listing.ends:
        codec.encode_part(runmessages.RunReport(end.name, "lost", end.outcome))
    wire.encode_renewal(listing.last, 0, listing.clock_ms, 1)


@FUZZ_SETTINGS
@hypothesis.given(build_bodies({"ClockMs": 5, "Reason": "fence"}))
def test_any_answer_is_decoded(body: bytes) -> None:
    clock_ms, reason = wire.decode_answer(body)
    check_numbers(clock_ms)
    assert reason.encode() is not None


@FUZZ_SETTINGS
@hypothesis.given(build_bodies(JOB))
def test_any_job_can_be_started_or_is_rejected(body: bytes) -> None:
    try:
        job = wire.decode_job(body, "00ff00ff00ff00ff", QUEUE)
    except wire.BodyError:
        return
    for step in job.request.steps:
        check_numbers(step.estimate_ms, step.max_per_upstream)
        order = runmessages.RunOrder(NAME, step.needs)
        codec.encode_part(runmessages.StartRuns(1, "u@1", job.request.spec, [order], 1))
        wire.encode_start(order, job.request.spec, 1, 1)


@FUZZ_SETTINGS
@hypothesis.given(build_bodies(CONFIGURATION))
def test_any_configuration_can_be_read_in_full_or_is_rejected(body: bytes) -> None:
    try:
        table = wire.decode_configuration(body)
    except wire.BodyError:
        return
    check_numbers(table.version)
    msgspec.json.decode(body)
    msgspec.msgpack.encode(table.version)
