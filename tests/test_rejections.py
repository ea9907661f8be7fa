"""Tests of the log of rejected input."""

import structlog

from amaranthspar import clock, rejections


class SetClock(clock.Clock):
    """Clock that a test sets."""

    now_ms = 1_000

    def read_monotonic(self) -> int:
        return self.now_ms


def build_log() -> tuple[rejections.RejectionLog, SetClock]:
    log, time = rejections.RejectionLog(), SetClock()
    log._clock = time
    return log, time


def test_first_rejection_of_each_event_is_logged():
    log, _ = build_log()
    with structlog.testing.capture_logs() as lines:
        log.record("one", reason="a")
        log.record("two", reason="b")
    assert [(line["event"], line["reason"]) for line in lines] == [
        ("one", "a"),
        ("two", "b"),
    ]


def test_rejections_within_the_interval_are_counted_in_the_next_line():
    log, time = build_log()
    with structlog.testing.capture_logs() as lines:
        for _ in range(1_000):
            log.record("one", reason="a")
        time.now_ms += rejections.INTERVAL_MS
        log.record("one", reason="b")
        time.now_ms += rejections.INTERVAL_MS
        log.record("one", reason="c")
    found = [(line["reason"], line["unlogged"]) for line in lines]
    assert found == [("a", 0), ("b", 999), ("c", 0)]


def test_long_fields_are_shortened():
    log, _ = build_log()
    with structlog.testing.capture_logs() as lines:
        log.record("one", reason="a" * 100_000)
    assert len(lines[0]["reason"]) == rejections.MAX_TEXT_LENGTH
