"""Tasks that each team runs through a gateway, against its quota."""

import collections

from amaranthspar.dispatch import backlog
from amaranthspar.membership import leaseholder


class Quotas:
    """Holds a team's waiting tasks back while it runs as many as it may.

    Args:
        holder: Lease of this gateway; its view names the teams.
        waiting: Tasks that wait.
    """

    def __init__(
        self, holder: leaseholder.LeaseHolder, waiting: backlog.Backlog
    ) -> None:
        self._holder = holder
        self._backlog = waiting
        self._running: collections.Counter[str] = collections.Counter()

    def start(self, team: str) -> None:
        """Note that a task of a team is sent."""
        self._running[team] += 1
        most = self._find_most(team)
        if most and self._running[team] >= most:
            self._backlog.hold_team(team)

    def end(self, team: str, count: int = 1) -> None:
        """Note that tasks of a team are no longer waited for.

        Args:
            team: Team name.
            count: How many tasks.
        """
        if not count:
            return
        self._running[team] -= count
        most = self._find_most(team)
        if not most or self._running[team] < most:
            self._backlog.release_team(team)

    def follow(self) -> None:
        """Follow changed quotas."""
        for team, running in self._running.items():
            most = self._find_most(team)
            if most and running >= most:
                self._backlog.hold_team(team)
            else:
                self._backlog.release_team(team)

    def _find_most(self, team: str) -> int:
        found = self._holder.view.settings.teams.get(team)
        return 0 if found is None else found.max_running
