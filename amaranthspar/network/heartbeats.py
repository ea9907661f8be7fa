"""Decides when to probe, redial or close the link to one peer.

Frames are numbered, and each frame acknowledges the last number received from the
peer, so that the traffic of a busy link serves as its heartbeat. A separate
acknowledgement is sent only if no other frame has carried it for one interval, and a
probe only if an acknowledgement is late or the link has been idle for a long
time. A probe is acknowledged immediately.
"""

import enum

import attrs

TIMEOUT_INTERVALS = 3
"""Heartbeat intervals without an acknowledgement after which a link is redialled."""
PROBE_INTERVALS = 2
"""Intervals after the last frame until a probe, while an acknowledgement is missing."""
IDLE_PROBE_INTERVALS = 20
"""Intervals after the last frame until a probe, while all frames are acknowledged."""
UNUSED_INTERVALS = 120
"""Intervals without a message after which a link is closed."""


class Action(enum.Enum):
    """Action that a link needs."""

    NONE = enum.auto()
    ACKNOWLEDGE = enum.auto()
    PROBE = enum.auto()
    REDIAL = enum.auto()
    CLOSE = enum.auto()


@attrs.define(slots=True)
class Heartbeats:
    """Heartbeat state of the link to one peer.

    Attributes:
        interval_ms: Heartbeat interval in ms.
        used_ms: Monotonic time in ms at which a message was last sent or received.
        last_sent: Number of the last numbered frame sent.
        last_received: Highest number of a frame received from this incarnation of the
            peer.
    """

    interval_ms: int
    used_ms: int
    last_sent: int = 0
    last_received: int = 0
    _peer_incarnation: int = 0
    _sent_ms: int = 0
    _last_acknowledged: int = 0
    _is_suspect: bool = False
    _waiting_since_ms: int = 0
    _unacked_since_ms: int | None = None

    def note_use(self, now_ms: int) -> None:
        """Note that a message is sent to the peer or was received from it.

        Args:
            now_ms: Monotonic time in ms.
        """
        self.used_ms = now_ms

    def restart_timeout(self, now_ms: int) -> None:
        """Restart the timeout when an idle link gets a new connection.

        Args:
            now_ms: Monotonic time in ms.
        """
        self._waiting_since_ms = now_ms

    def note_sent(self, now_ms: int) -> int:
        """Note that a numbered frame is sent, and return its number.

        The frame also acknowledges all frames received so far.

        Args:
            now_ms: Monotonic time in ms.
        """
        if self._last_acknowledged == self.last_sent:
            self._waiting_since_ms = now_ms
        self.last_sent += 1
        self._sent_ms = now_ms
        self._unacked_since_ms = None
        return self.last_sent

    def note_acknowledgement(self) -> None:
        """Note that an unnumbered frame has acknowledged the frames received so far."""
        self._unacked_since_ms = None

    def note_received(
        self, incarnation: int, number: int, acknowledged: int, now_ms: int
    ) -> None:
        """Update the state from the header of a frame received from the peer.

        Args:
            incarnation: Incarnation of the peer.
            number: Number of the frame; 0 if it needs no acknowledgement.
            acknowledged: Number of the last frame that the peer has received.
            now_ms: Monotonic time in ms.
        """
        if incarnation != self._peer_incarnation:
            self._peer_incarnation = incarnation
            self.last_received = 0
        if number:
            self.last_received = max(self.last_received, number)
            if self._unacked_since_ms is None:
                self._unacked_since_ms = now_ms
        if self._last_acknowledged < acknowledged <= self.last_sent:
            self._last_acknowledged = acknowledged
            self._is_suspect = False
            self._waiting_since_ms = now_ms

    def note_peer_redial(self) -> Action:
        """Return what the link needs after the peer has redialled its connection.

        The failure that interrupted the peer's connection may have interrupted this
        one as well, and then its acknowledgements do not arrive. It is therefore
        probed, with a shorter timeout.
        """
        if not self.last_sent:
            return Action.NONE
        self._is_suspect = True
        return Action.PROBE

    def tick(self, now_ms: int) -> Action:
        """Return the action that is due now.

        Args:
            now_ms: Monotonic time in ms.
        """
        if now_ms - self.used_ms >= UNUSED_INTERVALS * self.interval_ms:
            return (
                Action.CLOSE if self._unacked_since_ms is None else Action.ACKNOWLEDGE
            )
        waiting = self._last_acknowledged < self.last_sent
        timeout = 1 if self._is_suspect else TIMEOUT_INTERVALS
        if waiting and now_ms - self._waiting_since_ms >= timeout * self.interval_ms:
            self._waiting_since_ms = now_ms
            self._is_suspect = False
            return Action.REDIAL
        intervals = PROBE_INTERVALS if waiting else IDLE_PROBE_INTERVALS
        if now_ms - self._sent_ms >= intervals * self.interval_ms:
            return Action.PROBE
        since_ms = self._unacked_since_ms
        if since_ms is None or now_ms - since_ms < self.interval_ms:
            return Action.NONE
        return Action.ACKNOWLEDGE
