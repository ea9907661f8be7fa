"""Record of what clients, minions and the operator saw, as JSON lines."""

import json
import pathlib
import time


class Recorder:
    """Writes one line for each event, with the time since the start in ms."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def read_ms(self) -> int:
        """Return the time since the start in ms."""
        return round((time.monotonic() - self._start_s) * 1000)

    def note(self, event: str, **details: object) -> int:
        """Write an event and return its time in ms."""
        now_ms = self.read_ms()
        line = {"ms": now_ms, "event": event} | details
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()
        return now_ms

    def read(self) -> list[dict]:
        """Return all events so far."""
        lines = self._path.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def close(self) -> None:
        """Close the file."""
        self._file.close()
