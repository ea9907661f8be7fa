"""Series of random events on hosts that are replaced, within the losses to be borne."""

import random

from tests import builders_replacement

STEPS = 6
CALM_MS = builders_replacement.CALM_MS
DOWN_MS = builders_replacement.DOWN_MS
FREEZE_MS = builders_replacement.FREEZE_MS
SHORT_MS = (0, 5, 50, 250)
"""Pauses between events that overlap."""
SETS = (
    {"a": "1", "b": "2", "c": "3"},
    {"a": "1", "b": "2", "c": "3", "d": "4", "e": "5"},
    {"a": "1", "b": "2", "c": "3", "d": "1", "e": "2"},
)
"""Failure domains of the first hosts."""


class Series:
    """Hosts with a random series of events; each leaves all but removed hosts up.

    Args:
        seed: Seed of the events and of the simulation.

    Attributes:
        hosts: Simulated hosts.
        events: What has been played, oldest first.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        domains = dict(self._random.choice(SETS))
        self._size = len(domains)
        self._losses = (self._size - 1) // 2
        self.hosts = builders_replacement.ReplicaHosts(seed, tuple(domains), domains)
        self.events: list[str] = []
        self._removed: list[str] = []

    def play_step(self) -> str:
        """Play one random event and wait until all is calm; return its name."""
        play = self._random.choice(
            (
                self._replace,
                self._replace,
                self._lose,
                self._stop_and_start,
                self._return,
            )
        )
        play()
        self.hosts.wait(2 * CALM_MS)
        return self.events[-1]

    def list_present(self) -> set[str]:
        """Return the hosts that are not removed."""
        return set(self.hosts.hosts) - set(self._removed)

    def find_voters(self) -> set[str]:
        """Return the hosts of all replicas in the committed set, which have to vote."""
        members = self.hosts.find_committed_members().replicas
        names = {item.replica: name for name, item in self.hosts.hosts.items()}
        return {names[item.id] for item in members if item.voter}.union(
            f"learner {item.id}" for item in members if not item.voter
        )

    def _choose(self, count: int, without: list[str]) -> list[str]:
        return self._random.sample(sorted(self.list_present() - set(without)), count)

    def _pause(self) -> None:
        self.hosts.wait(self._random.choice(SHORT_MS))

    def _replace(self) -> None:
        """Add one or two hosts, then remove as many old ones, perhaps beside losses."""
        count = self._random.choice((1, 1, 2))
        is_known = self._random.random() < 0.7
        old = self._choose_oldest(count)
        new = [f"{name}+{len(self.events)}" for name in old]
        for name, successor in zip(old, new, strict=True):
            domain = self.hosts.domains[name] if is_known else f"of {successor}"
            self.hosts.domains[successor] = domain
            self.hosts.add_host(successor)
            self._pause()
        self.hosts.wait(CALM_MS)
        how = self._random.choice(("stop", "kill"))
        lost = self._choose(self._random.randint(0, self._losses), old)
        self.events.append(f"replace {old} {how} known={is_known} beside {lost}")
        if how == "stop" and self._random.random() < 0.5:
            self._take_down(lost)
            self._end(old, how)
        else:
            self._end(old, how)
            if not is_known and how == "kill":
                # Nothing tells in advance which host a successor replaces.
                self.hosts.wait(CALM_MS)
            self._take_down(lost)
        self._bring_back(lost)

    def _choose_oldest(self, count: int) -> list[str]:
        """Return the oldest hosts of random failure domains."""
        oldest: dict[str, str] = {}
        for name in self.hosts.hosts:
            if name not in self._removed:
                oldest.setdefault(self.hosts.domains[name], name)
        return self._random.sample(sorted(oldest.values()), count)

    def _end(self, names: list[str], how: str) -> None:
        for name in names:
            if how == "stop":
                self.hosts.stop(name)
            else:
                self.hosts.kill(name)
            self._removed.append(name)
            self._pause()

    def _take_down(self, names: list[str]) -> None:
        for name in names:
            if self._random.random() < 0.5:
                self.hosts.freeze(name)
            else:
                self.hosts.lose_disk(name)
            self._pause()

    def _bring_back(self, names: list[str]) -> None:
        self.hosts.wait(self._random.choice((DOWN_MS, FREEZE_MS)))
        for name in names:
            if self.hosts.hosts[name].frozen:
                self.hosts.thaw(name)
            else:
                self.hosts.restart(name)
            self._pause()

    def _lose(self) -> None:
        lost = self._choose(self._random.randint(1, self._losses), [])
        self.events.append(f"lose {lost}")
        self._take_down(lost)
        self._bring_back(lost)

    def _stop_and_start(self) -> None:
        """Stop hosts in turn as for good, and start them again with their folders."""
        names = self._choose(2, [])
        self.events.append(f"stop and start {names}")
        for name in names:
            self.hosts.stop(name)
            self.hosts.wait(self._random.choice((DOWN_MS, FREEZE_MS)))
            self.hosts.restart(name)
            self.hosts.wait(2 * CALM_MS)

    def _return(self) -> None:
        """Start a removed host with its folder for a while, then remove it again."""
        if not self._removed:
            self._lose()
            return
        name = self._random.choice(self._removed)
        how = self._random.choice(("stop", "kill"))
        lost = self._choose(self._random.randint(0, self._losses), [])
        self.events.append(f"return of {name}, {how}, beside {lost}")
        self.hosts.restart(name)
        self.hosts.wait(2 * CALM_MS)
        if how == "stop":
            self.hosts.stop(name)
        else:
            self.hosts.kill(name)
        self._take_down(lost)
        self._bring_back(lost)
