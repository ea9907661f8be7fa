"""Reader for the JSON log lines of the roles."""

import datetime
import pathlib

import attrs
import msgspec


@attrs.frozen(slots=True)
class Line:
    """The keys of a log line that the experiments use.

    Attributes:
        event: Name of the log event.
        timestamp: Wall-clock time in ISO format.
        configuration: Configuration version; 0 if the line has none.
        leader: Replica id of the leader; empty if the line has none.
        term: Term of the leader; 0 if the line has none.
    """

    event: str = ""
    timestamp: str = ""
    configuration: int = 0
    leader: str = ""
    term: int = 0

    def read_wall_ms(self) -> float:
        """Return the wall-clock time of the line in ms."""
        return datetime.datetime.fromisoformat(self.timestamp).timestamp() * 1000


def read_lines(path: pathlib.Path) -> list[Line]:
    """Return the JSON lines of a log, without other lines.

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
    """Return when a process adopted a configuration version or a later one.

    Args:
        path: Log of the process.
        version: Configuration version.

    Returns:
        Wall-clock time in ms, `None` if it is not in the log.
    """
    for line in read_lines(path):
        if line.event == "configuration changed" and line.configuration >= version:
            return line.read_wall_ms()
    return None
