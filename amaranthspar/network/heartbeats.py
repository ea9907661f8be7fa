"""Decides on one link when to probe it, dial it anew or close it.

Frames are numbered, and each one tells the number last heard from the other
side, so that on a busy link the traffic itself is the heartbeat. An answer of its own goes out
only when no other frame has carried it for an interval, a probe only when an answer
is late or the link was idle for long. A probe is answered at once.
"""

import enum

import attrs

SILENT_INTERVALS = 3
PROBE_INTERVALS = 2
IDLE_INTERVALS = 20
UNUSED_INTERVALS = 120


class Action(enum.Enum):
    """What a link needs."""

    NONE = enum.auto()
    ANSWER = enum.auto()
    PROBE = enum.auto()
    REDIAL = enum.auto()
    CLOSE = enum.auto()


@attrs.define(slots=True)
class Heartbeats:
    """State of the link to one peer.

    Attributes:
        interval_ms: Heartbeat interval in ms.
        used_ms: Monotonic time at which the link was last used.
        number: Number of the last frame sent.
        heard: Number of the last frame heard from the peer.
    """

    interval_ms: int
    used_ms: int
    number: int = 0
    heard: int = 0
    _peer_incarnation: int = 0
    _sent_ms: int = 0
    _confirmed: int = 0
    _is_suspect: bool = False
    _waiting_ms: int = 0
    _owed_since_ms: int | None = None

    def note_use(self, now_ms: int) -> None:
        """Note that a message goes to the peer or came from it.

        Args:
            now_ms: Monotonic time in ms.
        """
        self.used_ms = now_ms

    def note_dial(self, now_ms: int) -> None:
        """Note that a link that rested is dialled again.

        Args:
            now_ms: Monotonic time in ms.
        """
        self._waiting_ms = now_ms

    def take_number(self, now_ms: int) -> int:
        """Return the number of the next frame, which tells what was heard.

        Args:
            now_ms: Monotonic time in ms.
        """
        if self._confirmed == self.number:
            self._waiting_ms = now_ms
        self.number += 1
        self._sent_ms = now_ms
        self._owed_since_ms = None
        return self.number

    def note_answer(self) -> None:
        """Note that a frame without a number told what was heard."""
        self._owed_since_ms = None

    def note_frame(
        self, incarnation: int, number: int, confirmed: int, now_ms: int
    ) -> None:
        """Take what a frame from the peer tells.

        Args:
            incarnation: Incarnation of the peer.
            number: Number of the frame; 0 if it wants no answer.
            confirmed: Number that the peer has heard.
            now_ms: Monotonic time in ms.
        """
        if incarnation != self._peer_incarnation:
            self._peer_incarnation = incarnation
            self.heard = 0
        if number:
            self.heard = max(self.heard, number)
            if self._owed_since_ms is None:
                self._owed_since_ms = now_ms
        if self._confirmed < confirmed <= self.number:
            self._confirmed = confirmed
            self._is_suspect = False
            self._waiting_ms = now_ms

    def note_redial(self) -> Action:
        """Return what the link needs once the peer has dialled its own anew.

        What silenced the peer's connection may have silenced this one as well,
        and its answers would not arrive: it is probed, with less patience.
        """
        if not self.number:
            return Action.NONE
        self._is_suspect = True
        return Action.PROBE

    def tick(self, now_ms: int) -> Action:
        """Return what the link needs now.

        Args:
            now_ms: Monotonic time in ms.
        """
        if now_ms - self.used_ms >= UNUSED_INTERVALS * self.interval_ms:
            return Action.CLOSE if self._owed_since_ms is None else Action.ANSWER
        waiting = self._confirmed < self.number
        patience = 1 if self._is_suspect else SILENT_INTERVALS
        if waiting and now_ms - self._waiting_ms >= patience * self.interval_ms:
            self._waiting_ms = now_ms
            self._is_suspect = False
            return Action.REDIAL
        intervals = PROBE_INTERVALS if waiting else IDLE_INTERVALS
        if now_ms - self._sent_ms >= intervals * self.interval_ms:
            return Action.PROBE
        owed_ms = self._owed_since_ms
        if owed_ms is None or now_ms - owed_ms < self.interval_ms:
            return Action.NONE
        return Action.ANSWER
