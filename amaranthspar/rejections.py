"""Log of rejected input, bounded in volume however often the same input arrives."""

import attrs
import structlog

from amaranthspar import clock

INTERVAL_MS = 5_000
"""Shortest time between two log lines of the same event."""
MAX_TEXT_LENGTH = 200
"""Longest text of a field; the rest is cut off."""

_log = structlog.get_logger()


@attrs.define(slots=True)
class _Rejected:
    """Time of the last log line of an event, and the rejections since then."""

    logged_ms: int
    count: int = 0


class RejectionLog:
    """Logs rejections: for each event the first one, then at most one per interval."""

    def __init__(self) -> None:
        self._clock = clock.Clock()
        self._events: dict[str, _Rejected] = {}

    def record(self, event: str, **fields: str) -> None:
        """Log a rejection, or count it if the event was logged within the interval.

        Args:
            event: Name of the event, of which there are only a few.
            fields: Fields of the line; long ones are shortened. The line also states
                how many rejections were not logged since the last line.
        """
        now_ms = self._clock.read_monotonic()
        last = self._events.get(event)
        if last is not None and now_ms - last.logged_ms < INTERVAL_MS:
            last.count += 1
            return
        self._events[event] = _Rejected(now_ms)
        texts = {name: value[:MAX_TEXT_LENGTH] for name, value in fields.items()}
        _log.warning(event, unlogged=last.count if last is not None else 0, **texts)
