"""Tests of the encoding and decoding of frames and messages."""

import msgspec
import pytest

from amaranthspar import errors
from amaranthspar.schema import codec, messages, runmessages


def test_decoded_frame_equals_encoded_frame() -> None:
    reply = messages.LeaseDenied(7, "no_quorum")
    result = messages.TaskResult("s", 3, "done", body=b"\x00\xff")
    frame = codec.Frame("gateway-1", 5, "127.0.0.1:1", [reply, result], 8, 9)
    assert codec.decode_frame(codec.encode_frame(frame)) == frame


def test_unknown_format_version_is_rejected() -> None:
    data = msgspec.msgpack.encode((codec.FORMAT_VERSION + 1, "g", 1, "", 0, 0, []))
    with pytest.raises(errors.SchemaError, match="format version"):
        codec.decode_frame(data)


def test_unknown_message_class_is_rejected() -> None:
    data = msgspec.msgpack.encode(
        (codec.FORMAT_VERSION, "g", 1, "", 0, 0, [("Nonsense", {})])
    )
    with pytest.raises(errors.SchemaError, match="unknown message"):
        codec.decode_frame(data)


@pytest.mark.parametrize("version", [1, 3])
def test_error_names_format_version_of_frame_with_other_fields(version: int) -> None:
    data = msgspec.msgpack.encode((version, "g", 1))
    with pytest.raises(errors.SchemaError, match=f"format version {version}"):
        codec.decode_frame(data)


def test_deeply_nested_data_is_rejected() -> None:
    deep = b"\x91" * 5000
    result = msgspec.Raw(deep)
    body = [("TaskResult", {"submission": result})]
    part = msgspec.msgpack.encode((codec.FORMAT_VERSION, "g", 1, "", 0, 0, body))
    for data in (deep, part):
        with pytest.raises(errors.SchemaError):
            codec.decode_frame(data)
    with pytest.raises(errors.SchemaError):
        codec.decode_message("TaskResult", deep)


@pytest.mark.parametrize("number", [2**64, -(2**63) - 1, 10**400])
def test_number_of_more_than_64_bits_is_a_schema_error(number: int) -> None:
    with pytest.raises(errors.SchemaError, match="LeaseDenied"):
        codec.encode_part(messages.LeaseDenied(number, "no_quorum"))


def test_messages_of_the_previous_build_are_read_with_defaults() -> None:
    # A process of the previous build states neither durations nor releases; its
    # orders and reports must not be dropped as malformed during an upgrade.
    amounts = {"cpu_millis": 1_000, "memory_mb": 64, "accelerators": 0}
    order = {"name": {"task": "t", "run": 1}, "needs": amounts}
    start = {
        "number": 1,
        "upstream": "u@1",
        "spec": "",
        "orders": [order],
        "heard": 1,
    }
    room = {
        "number": 1,
        "started": 0,
        "upstream": "u@1",
        "service": "s",
        "failure_domain": "d",
        "labels": [],
        "capacity": amounts,
        "free": amounts,
        "is_leaving": False,
    }
    reports = {"reports": [], "room": room}
    body = [("StartRuns", start), ("RunReports", reports)]
    data = msgspec.msgpack.encode((codec.FORMAT_VERSION, "g", 1, "", 0, 0, body))
    starts, heard = codec.decode_frame(data).messages
    assert isinstance(starts, runmessages.StartRuns)
    assert starts.orders[0].expected_ms == 0
    assert isinstance(heard, runmessages.RunReports)
    assert heard.room.slowness_permille == 0
    assert heard.room.releases == []


def test_fields_of_the_next_build_are_ignored() -> None:
    amounts = {"cpu_millis": 1_000, "memory_mb": 64, "accelerators": 0, "more": 1}
    order = {"name": {"task": "t", "run": 1}, "needs": amounts, "more": [1]}
    start = {
        "number": 1,
        "upstream": "u@1",
        "spec": "",
        "orders": [order],
        "heard": 1,
        "more": {"a": 1},
    }
    body = [("StartRuns", start)]
    data = msgspec.msgpack.encode((codec.FORMAT_VERSION, "g", 1, "", 0, 0, body))
    starts = codec.decode_frame(data).messages[0]
    assert isinstance(starts, runmessages.StartRuns)
    assert starts.orders[0].name == runmessages.RunName("t", 1)
