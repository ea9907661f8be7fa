"""Tests of replicas whose disks refuse writes for a while, in simulated time."""

import random

import pytest

from amaranthspar import errors
from amaranthspar.consensus import journal
from amaranthspar.roles import diskwriter
from amaranthspar.storage import disk, files
from tests import builders_disk
from tools import simulation

ACK_MS = 4_000
"""Time within which a change must be acknowledged."""
OUTAGE_MS = (1_000, 5_000)
"""Shortest and longest time for which a disk refuses writes."""
STEP_MS = 5
LONG_OUTAGE_MS = 60_000


class FolderDisk(simulation.Disk):
    """Disk of a simulated replica that also writes to a data folder.

    While the data folder refuses, nothing is synced, and writes are repeated as
    `diskwriter.DiskWriter` does. What it stores is compared with
    what the simulation holds for stored.
    """

    __slots__ = ("_folder", "directory", "is_repeating", "refusal", "rng")

    def __init__(self, name, number, rng):
        super().__init__(number)
        self.rng = rng
        self.refusal = None
        self.is_repeating = False
        self.directory = builders_disk.MemoryFiles()
        self._folder = disk.open_folder(self.directory, name, number)

    def sync(self, count):
        if self.is_repeating:
            self.pending = diskwriter.drop_superseded(self.pending)
            count = 1
        if self.refusal is not None:
            self.directory.failure = self.refusal
            self.directory.fail_at = self.directory.calls + self.rng.randint(1, 6)
        try:
            self._folder.write(self.pending[:count])
        except errors.DiskError:
            self.is_repeating = True
            return 0
        finally:
            self.directory.fail_at = 0
        self.is_repeating = False
        return super().sync(count)

    def lose_power(self, name):
        """Lose power, and check that all that was confirmed is stored."""
        self.directory = self.directory.crash(self.rng.getrandbits(32))
        self._folder = disk.open_folder(self.directory, name, self.folder)
        found = self._folder.stored
        assert found.state.term >= self.stored.state.term
        stored = {item.index: item for item in found.entries}
        covered = found.snapshot.index if found.snapshot is not None else 0
        for entry in self.stored.entries:
            held = stored.get(entry.index)
            assert entry.index <= covered or held is not None
        self.stored = found
        self.pending.clear()


class Cluster(simulation.Simulation):
    """Simulated replicas of which one at a time has a disk that refuses writes."""

    def __init__(self, seed, names):
        super().__init__(seed, tuple(names))
        for name, node in self.nodes.items():
            node.disk = FolderDisk(name, node.disk.folder, self.random)
            self.start(name)
        self.heal(500)

    def run(self, duration_ms):
        """Let time pass; a disk that refuses keeps refusing."""
        for _ in range(duration_ms // STEP_MS):
            self.settle()
            self.advance(STEP_MS)

    def change(self, duration_ms=ACK_MS):
        """Propose a change as an operator does, and return its index once committed."""
        for _ in range(duration_ms // STEP_MS):
            accepted = [name for name in self.list_leaders() if self.propose(name)]
            indexes = {
                name: self.nodes[name].machine.journal.log.last_index
                for name in accepted
            }
            for _ in range(20):
                self.run(STEP_MS)
                for index in indexes.values():
                    if index in self.committed:
                        return index
        raise AssertionError(f"no change within {duration_ms} ms")

    def check_all_hold(self, index):
        """Check that each replica has applied and stored an index and counts again."""
        self.run(ACK_MS)
        for node in self.nodes.values():
            held = node.machine.journal
            assert node.applied >= index
            assert held.is_synced and held.is_vote_synced
            assert held.durable_index == held.log.last_index >= index
            assert not held._pending_sends and not held._pending_writes
        (leader,) = self.list_leaders()
        machine = self.nodes[leader].machine
        matches = [item.match for item in machine.leading.peers.values()]
        assert matches == [machine.journal.log.last_index] * (len(self.nodes) - 1)
        self.check_logs()


@pytest.mark.parametrize("names", ["abc", "abcde"])
@pytest.mark.parametrize("seed", range(12))
def test_changes_go_on_while_disks_refuse_writes_in_turn(seed, names):
    rng = random.Random(seed)
    cluster = Cluster(seed, names)
    kind = rng.choice((files.SpaceError, files.DeviceError, files.FilesError))
    turns = rng.sample(names, len(names)) + rng.choices(names, k=3)
    for name in turns:
        held = cluster.nodes[name].disk
        held.refusal = kind("refused")
        remaining_ms = rng.randint(*OUTAGE_MS)
        while remaining_ms > 0:
            before_ms = cluster.now_ms
            action = rng.random()
            if action < 0.5:
                cluster.change()
            elif action < 0.55 and cluster.list_leaders():
                cluster.transfer_leadership(cluster.list_leaders()[0])
            elif action < 0.6:
                cluster.crash(name)
                held.lose_power(name)
                cluster.start(name)
            cluster.run(rng.choice((5, 20, 200)))
            remaining_ms -= cluster.now_ms - before_ms
        held.refusal = None
        cluster.run(rng.choice((0, 5, 50)))
    cluster.check_all_hold(cluster.change())
    for name, node in cluster.nodes.items():
        index = max(cluster.committed)
        cluster.crash(name)
        node.disk.lose_power(name)
        cluster.start(name)
        assert node.machine.journal.log.last_index >= index


def test_long_outage_of_a_disk_holds_back_a_bounded_number_of_messages():
    cluster = Cluster(1, "abc")
    (leader,) = cluster.list_leaders()
    name = next(item for item in cluster.nodes if item != leader)
    cluster.nodes[name].disk.refusal = files.SpaceError("refused")
    for _ in range(LONG_OUTAGE_MS // 1_000):
        cluster.change()
        cluster.run(1_000)
    held = cluster.nodes[name].machine.journal
    assert len(held._pending_sends) <= journal.MAX_PENDING_SENDS
    cluster.nodes[name].disk.refusal = None
    cluster.check_all_hold(cluster.change())
