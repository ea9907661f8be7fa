"""Contact of a gateway with the sidecars that it works with: renewals and additions.

Renewals name the runs that the gateway counts on, and ask for room. Their number follows
the members of the pools, not the sidecars of the site.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthspar import effects
from amaranthspar.schema import runmessages

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthspar.scheduling import fleet, pool, sidecars

RENEWAL_INTERVAL_MS = 200
"""Interval of lease renewals to a sidecar with runs of this gateway; four fit into its
limit of 800 ms."""
IDLE_RENEWAL_INTERVAL_MS = 280
"""Interval of renewals to a sidecar without them, whose room is asked for; below the
heartbeat of links, so that these need no frames of their own."""
ACKNOWLEDGE_INTERVALS = 2
"""Age, in intervals, of what a sidecar was last told to have stated from which it is told
anew: what renewals alone come to, each of which confirms the answer to the one before."""
MAX_RENEWAL_INTERVAL_MS = 600
"""Longest time between two renewals while orders confirm statements: a run that a lost
message should have stopped ends well before its caller sends it again after 1.3 s."""
WAITING_HOLD_MS = 1_000
"""Time for which a gateway whose tasks have waited asks to be told of room, so that a
queue that empties and fills again costs no messages."""


class Renewals:
    """Renewals of one gateway.

    Args:
        known: Sidecars of the gateway.
        send: Takes a message to a sidecar, in order with all others.
    """

    def __init__(
        self, gateway_fleet: fleet.Fleet, send: Callable[[effects.Send], None]
    ) -> None:
        self._fleet = gateway_fleet
        self._send = send
        self._waited_ms = -WAITING_HOLD_MS - 1
        self._is_waiting = False

    def set_waiting(self, has_waiting: bool, now_ms: int) -> None:
        """Take whether tasks wait; all members hear at once that they do.

        Args:
            has_waiting: Whether any task waits for room.
            now_ms: Current time in ms.
        """
        if has_waiting:
            self._waited_ms = now_ms
        was_waiting = self._is_waiting
        self._is_waiting = now_ms - self._waited_ms <= WAITING_HOLD_MS
        if self._is_waiting and not was_waiting:
            for sidecar in self._fleet.list_members():
                self._send_renewal(sidecar, now_ms)

    def renew(self, now_ms: int) -> None:
        """Send the renewals that are due.

        Load pattern: every gateway sends orders to every member several times a second.
        These confirm statements as renewals do, which are then sent for the names alone.

        Args:
            now_ms: Current time in ms.
        """
        for sidecar in self._fleet.list_members():
            if _is_due(sidecar, now_ms):
                self._send_renewal(sidecar, now_ms)

    def fill(self, now_ms: int) -> None:
        """Make up for members that take no runs.

        Args:
            now_ms: Current time in ms.
        """
        for found in self._fleet.pools.values():
            self._send_renewals(found.fill(now_ms), now_ms)

    def rebalance(self, now_ms: int) -> None:
        """Let new sidecars take the places of members that rank behind them.

        Args:
            now_ms: Current time in ms.
        """
        for found in self._fleet.pools.values():
            self._send_renewals(found.rebalance(now_ms), now_ms)

    def grow(self, found: pool.Pool, now_ms: int) -> None:
        """Add members to a pool whose members have little room.

        Args:
            found: Pool.
            now_ms: Current time in ms.
        """
        self._send_renewals(found.grow(now_ms), now_ms)

    def find_suitable(
        self,
        found: pool.Pool,
        suits: Callable[[sidecars.Sidecar], bool],
        now_ms: int,
    ) -> bool:
        """Add members that suit a task, or some that were never heard.

        Args:
            found: Pool of which no member suits.
            suits: Tells whether a sidecar does, by its last statement.
            now_ms: Current time in ms.

        Returns:
            Whether any sidecar suits or may turn out to.
        """
        outside = [item for item in found.list_reported() if suits(item)]
        self._send_renewals(
            found.add_suitable(outside, now_ms) or found.add_unreported(now_ms), now_ms
        )
        return bool(outside) or found.has_unreported(now_ms)

    def _send_renewals(self, added: list[sidecars.Sidecar], now_ms: int) -> None:
        for sidecar in added:
            self._send_renewal(sidecar, now_ms)

    def _send_renewal(self, sidecar: sidecars.Sidecar, now_ms: int) -> None:
        sidecar.renewed_ms = now_ms
        sidecar.renewal_number += 1
        names = [task.run_name for task in sidecar.tasks.values()]
        message = runmessages.KeepRuns(
            sidecar.renewal_number,
            sidecar.started,
            self._is_waiting,
            names,
            sidecar.acknowledge(),
        )
        self._send(effects.Send(sidecar.address, message))


def _is_due(sidecar: sidecars.Sidecar, now_ms: int) -> bool:
    """Return whether a sidecar needs a renewal for its runs, or to state its room."""
    interval_ms = RENEWAL_INTERVAL_MS if sidecar.tasks else IDLE_RENEWAL_INTERVAL_MS
    passed_ms = now_ms - sidecar.renewed_ms
    if passed_ms < interval_ms:
        return False
    return (
        passed_ms >= MAX_RENEWAL_INTERVAL_MS
        or now_ms - sidecar.reported_ms >= interval_ms
        or now_ms - sidecar.acknowledged_ms >= ACKNOWLEDGE_INTERVALS * interval_ms
    )
