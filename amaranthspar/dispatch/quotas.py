"""Limits on the tasks that each team runs through a gateway."""

import collections

from amaranthspar.dispatch import backlog
from amaranthspar.membership import leaseholder


class Quotas:
    """Holds a team's waiting tasks back while it runs as many as its quota allows.

    Args:
        holder: Lease of this gateway; its view holds the teams.
        queue: Backlog of waiting tasks.
    """

    def __init__(self, holder: leaseholder.LeaseHolder, queue: backlog.Backlog) -> None:
        self._holder = holder
        self._backlog = queue
        self._running: collections.Counter[str] = collections.Counter()

    def start(self, team: str) -> None:
        """Count a task of a team that is sent."""
        self._running[team] += 1
        limit = self._find_limit(team)
        if limit and self._running[team] >= limit:
            self._backlog.hold_team(team)

    def end(self, team: str, count: int = 1) -> None:
        """Count tasks of a team that are no longer in flight.

        Args:
            team: Team name.
            count: Number of tasks.
        """
        if not count:
            return
        self._running[team] -= count
        limit = self._find_limit(team)
        if not limit or self._running[team] < limit:
            self._backlog.release_team(team)

    def count_allowed(self, team: str) -> int | None:
        """Return how many more tasks a team may run now, None for no limit.

        Args:
            team: Team name.
        """
        limit = self._find_limit(team)
        return max(0, limit - self._running[team]) if limit else None

    def apply_limits(self) -> None:
        """Apply the quotas of a newer configuration."""
        for team, running in self._running.items():
            limit = self._find_limit(team)
            if limit and running >= limit:
                self._backlog.hold_team(team)
            else:
                self._backlog.release_team(team)

    def _find_limit(self, team: str) -> int:
        found = self._holder.view.settings.teams.get(team)
        return 0 if found is None else found.max_running
