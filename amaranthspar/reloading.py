"""Reads a settings file again, after SIGHUP and at an interval without a signal."""

import asyncio
import pathlib
import signal
from collections.abc import Callable
from typing import Generic, TypeVar

import structlog

from amaranthspar import errors, loop as loops

RELOAD_INTERVAL_MS = 1_000
"""Interval at which the file is read; it may change without a signal."""

Settings = TypeVar("Settings")

_log = structlog.get_logger()


class Reloader(Generic[Settings]):
    """Reads a settings file repeatedly and passes on its changes.

    A file that cannot be read or has faults changes nothing: the settings that were
    read last stay in force.

    Args:
        path: Settings file.
        parse: Function that returns the settings in the text of the file.
        current: Settings that the process started with.
    """

    def __init__(
        self, path: pathlib.Path, parse: Callable[[str], Settings], current: Settings
    ) -> None:
        self._path = path
        self._parse = parse
        self._current = current
        self._text: str | None = None
        self._failure = ""
        self._subscribers: list[Callable[[Settings], None]] = []
        self._watching: asyncio.Task[None] | None = None

    def subscribe(self, apply: Callable[[Settings], None]) -> None:
        """Call a function with the settings, now and whenever they have changed.

        They may have changed already while the subscriber was being set up.

        Args:
            apply: Function to call; settings that it knows must change nothing.
        """
        self._subscribers.append(apply)
        apply(self._current)

    def start(self) -> None:
        """Start to watch the file; call it in the event loop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload_after_signal)
        watching = loops.repeat(RELOAD_INTERVAL_MS, self._check)
        self._watching = loop.create_task(watching)

    def close(self) -> None:
        """Stop watching the file; SIGHUP then has no effect."""
        if self._watching is not None:
            self._watching.cancel()

    def _check(self) -> None:
        self.reload()

    def _reload_after_signal(self) -> None:
        is_changed = self.reload()
        _log.info("reload requested", is_changed=is_changed, failure=self._failure)

    def reload(self) -> bool:
        """Read the file, pass on its settings if they differ, and return whether so."""
        try:
            text = self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            self._record_failure(str(error))
            return False
        if text == self._text:
            return False
        self._text = text
        try:
            found = self._parse(text)
        except errors.SettingsError as error:
            self._record_failure(str(error))
            return False
        self._failure = ""
        if found == self._current:
            return False
        self._current = found
        _log.info("settings reloaded", path=str(self._path))
        for apply in self._subscribers:
            apply(found)
        return True

    def _record_failure(self, reason: str) -> None:
        if reason != self._failure:
            self._failure = reason
            _log.warning("settings reload failed", reason=reason)
