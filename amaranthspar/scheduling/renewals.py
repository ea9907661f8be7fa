"""Lease renewals that a gateway sends to the members of its pools.

A renewal lists the runs of the gateway on a sidecar and requests a report of its free
capacity. The number of renewals grows with the members of the pools, not with the
sidecars of the site.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthspar import effects
from amaranthspar.schema import runmessages

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthspar.scheduling import fleet, pool, sidecars

RENEWAL_INTERVAL_MS = 200
"""Renewal interval for a sidecar with runs of this gateway; four renewals fit into the
sidecar's lease of 800 ms."""
IDLE_RENEWAL_INTERVAL_MS = 280
"""Renewal interval for a sidecar without runs of this gateway, to request a report;
below the heartbeat of links, so that these need no frames of their own."""
ACKNOWLEDGE_INTERVALS = 2
"""Age of the last acknowledged report, in renewal intervals, from which a renewal is
sent: the age that renewals alone reach, as each of them acknowledges the answer to the
one before."""
MAX_RENEWAL_INTERVAL_MS = 600
"""Longest time between two renewals while start orders acknowledge reports: a run that
a lost message should have stopped ends well before its caller resends after 1.3 s."""
WAITING_HOLD_MS = 1_000
"""Time for which a gateway whose tasks have waited requests reports of free capacity,
so that a queue that empties and fills again costs no messages."""


class Renewals:
    """Sends the renewals of one gateway, the first to each member once it is added.

    Args:
        gateway_fleet: Sidecars of the gateway.
        send: Function that sends a message to a sidecar, in order with all others.
    """

    def __init__(
        self, gateway_fleet: fleet.Fleet, send: Callable[[effects.Send], None]
    ) -> None:
        self._fleet = gateway_fleet
        self._send = send
        self._waited_ms = -WAITING_HOLD_MS - 1
        self._is_waiting = False

    def set_waiting(self, has_waiting: bool, now_ms: int) -> None:
        """Set whether tasks wait; once they do, send it to all members in a renewal.

        Args:
            has_waiting: Whether any task waits for free capacity.
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

        Under load a gateway sends start orders to every member several times a second.
        They acknowledge reports as renewals do, so that renewals are then sent only for
        their list of runs.

        Args:
            now_ms: Current time in ms.
        """
        for sidecar in self._fleet.list_members():
            if _is_due(sidecar, now_ms):
                self._send_renewal(sidecar, now_ms)

    def fill(self, now_ms: int) -> None:
        """Replace members that accept no runs, in all pools.

        Args:
            now_ms: Current time in ms.
        """
        for service_pool in self._fleet.pools.values():
            self._send_renewals(service_pool.fill(now_ms), now_ms)

    def rebalance(self, now_ms: int) -> None:
        """Exchange members for sidecars that rank higher, in all pools.

        Args:
            now_ms: Current time in ms.
        """
        for service_pool in self._fleet.pools.values():
            self._send_renewals(service_pool.rebalance(now_ms), now_ms)

    def grow(self, service_pool: pool.Pool, now_ms: int) -> None:
        """Add members to a pool whose members have little free capacity.

        Args:
            service_pool: Pool to add to.
            now_ms: Current time in ms.
        """
        self._send_renewals(service_pool.grow(now_ms), now_ms)

    def add_suitable_members(
        self,
        service_pool: pool.Pool,
        suits: Callable[[sidecars.Sidecar], bool],
        now_ms: int,
    ) -> bool:
        """Add sidecars that suit a task to a pool, or else some that have not reported.

        Args:
            service_pool: Pool of which no member suits.
            suits: Predicate on a sidecar, based on its latest report.
            now_ms: Current time in ms.

        Returns:
            Whether any sidecar suits, or may do so once it has reported.
        """
        suitable = [item for item in service_pool.list_reported() if suits(item)]
        self._send_renewals(
            service_pool.add_suitable(suitable, now_ms)
            or service_pool.add_unreported(now_ms),
            now_ms,
        )
        return bool(suitable) or service_pool.has_unreported(now_ms)

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
    """Return whether a renewal to a sidecar is due."""
    interval_ms = RENEWAL_INTERVAL_MS if sidecar.tasks else IDLE_RENEWAL_INTERVAL_MS
    passed_ms = now_ms - sidecar.renewed_ms
    if passed_ms < interval_ms:
        return False
    return (
        passed_ms >= MAX_RENEWAL_INTERVAL_MS
        or now_ms - sidecar.reported_ms >= interval_ms
        or now_ms - sidecar.acknowledged_ms >= ACKNOWLEDGE_INTERVALS * interval_ms
    )
