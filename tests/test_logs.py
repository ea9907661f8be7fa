"""Tests of the bounded buffer of log lines."""

import json
import os

import structlog

from amaranthspar.observation import logs


def test_stopped_reader_does_not_block_and_dropped_lines_are_reported(
    monkeypatch,
):
    monkeypatch.setattr(logs, "BUFFER_LINES", 100)
    reader, writer = os.pipe()
    try:
        buffer = logs.LineBuffer(writer)
        line = b"x" * 2_000
        for _ in range(300):
            buffer.msg(line)
            buffer.flush()
        assert buffer.dropped > 0
        output = b""
        while b"log lines dropped" not in output:
            output += os.read(reader, 65_536)
            buffer.flush()
        reports = [item for item in output.split(b"\n") if item.startswith(b"{")]
        assert json.loads(reports[0])["count"] > 0
    finally:
        os.close(reader)
        os.close(writer)


def test_lines_are_json_with_process_and_event():
    reader, writer = os.pipe()
    original = structlog.get_config()
    try:
        buffer = logs.set_up_buffered_logs("gate", writer)
        structlog.get_logger().info("job admitted", request="a1", ahead=2)
        buffer.flush()
        line = json.loads(os.read(reader, 65_536))
        assert line["event"] == "job admitted"
        assert (line["process"], line["request"], line["ahead"]) == ("gate", "a1", 2)
    finally:
        structlog.configure(**original)
        os.close(reader)
        os.close(writer)
