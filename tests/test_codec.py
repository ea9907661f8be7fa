"""Tests of the codec."""

import msgspec
import pytest

from amaranthspar import codec, errors, messages


def test_frame_survives_round_trip() -> None:
    reply = messages.HeartbeatReply(7)
    result = messages.TaskResult("s", 3, "done", body=b"\x00\xff")
    frame = codec.Frame("gateway-1", 5, "127.0.0.1:1", [reply, result])
    assert codec.decode_frame(codec.encode_frame(frame)) == frame


def test_unknown_version_is_refused() -> None:
    data = msgspec.msgpack.encode((codec.FORMAT_VERSION + 1, "g", 1, "", []))
    with pytest.raises(errors.SchemaError, match="format version"):
        codec.decode_frame(data)


def test_unknown_tag_is_refused() -> None:
    data = msgspec.msgpack.encode(
        (codec.FORMAT_VERSION, "g", 1, "", [("Nonsense", {})])
    )
    with pytest.raises(errors.SchemaError, match="unknown message"):
        codec.decode_frame(data)
