"""Reading of the roles' JSON log lines."""

import datetime
import pathlib

import attrs
import msgspec


@attrs.frozen(slots=True)
class Line:
    """What the experiments read of a log line.

    Attributes:
        event: Text of the event.
        timestamp: ISO time of the wall clock.
        configuration: Configuration version, if the line tells one.
        leader: Replica id of the leader, if the line tells one.
        term: Term of the leader, if the line tells one.
    """

    event: str = ""
    timestamp: str = ""
    configuration: int = 0
    leader: str = ""
    term: int = 0

    def read_wall_ms(self) -> float:
        """Return the wall clock of the line in ms."""
        return datetime.datetime.fromisoformat(self.timestamp).timestamp() * 1000


def read_lines(path: pathlib.Path) -> list[Line]:
    """Return the JSON lines of a log; other lines are left out.

    Args:
        path: File with the output of a process.
    """
    result: list[Line] = []
    for text in path.read_bytes().splitlines():
        try:
            result.append(msgspec.json.decode(text, type=Line))
        except msgspec.MsgspecError:
            continue
    return result


def find_adoption(path: pathlib.Path, version: int) -> float | None:
    """Return when a process first held a configuration version.

    Args:
        path: Log of the process.
        version: Configuration version.

    Returns:
        Wall clock in ms, none if the log does not tell it.
    """
    for line in read_lines(path):
        if line.event == "configuration changed" and line.configuration >= version:
            return line.read_wall_ms()
    return None
