"""Files in memory that crash, tear writes and run full."""

import random

from amaranthspar.consensus import transitions
from amaranthspar.schema import messages

SECTOR = 512


class Crash(Exception):
    """The host went down at this call."""


class Inode:
    def __init__(self, number, data=b"", synced=b""):
        self.number = number
        self.data = bytearray(data)
        self.synced = bytes(synced)


class MemoryFiles:
    """Stands in for `files.Files`; a crash keeps only what was synced.

    Args:
        fail_at: Number of the call at which `failure` is raised; 0 for none.
        failure: What is raised.
    """

    def __init__(self, fail_at=0, failure=None):
        self.folder = "memory"
        self.calls = 0
        self.fail_at = fail_at
        self.failure = failure or Crash()
        self.inodes = 100
        self.names = {}
        self.synced_names = {}

    def _count(self):
        self.calls += 1
        if self.calls == self.fail_at:
            raise self.failure

    def _open(self, name):
        if name not in self.names:
            self.inodes += 1
            self.names[name] = Inode(self.inodes)
        return self.names[name]

    def lock(self, name):
        return True

    def list_names(self):
        return sorted(self.names)

    def read(self, name):
        found = self.names.get(name)
        return None if found is None else bytes(found.data)

    def read_inode(self, name):
        return self._open(name).number

    def append(self, name, data):
        inode = self._open(name)
        inode.data += data[: len(data) // 2]
        self._count()
        inode.data += data[len(data) // 2 :]
        self._count()

    def truncate(self, name, size):
        self._count()
        del self._open(name).data[size:]

    def sync(self, name):
        self._count()
        inode = self._open(name)
        inode.synced = bytes(inode.data)
        self._count()

    def rename(self, old, new):
        self._count()
        self.names[new] = self.names.pop(old)

    def remove(self, name):
        self.names.pop(name, None)

    def sync_folder(self):
        self._count()
        self.synced_names = dict(self.names)
        self._count()

    def close(self):
        pass

    def crash(self, seed):
        """Return the files after a crash; what was not synced is left to chance."""
        chance = random.Random(seed)
        after = MemoryFiles()
        after.inodes = self.inodes + 100
        names = chance.choice((self.names, self.synced_names))
        for name, inode in names.items():
            after.names[name] = Inode(inode.number, *self._tear(inode, chance))
        after.synced_names = dict(after.names)
        return after

    def _tear(self, inode, chance):
        synced = len(inode.synced)
        if bytes(inode.data[:synced]) != inode.synced:
            return [inode.synced] * 2
        tail = bytearray(inode.data[synced:])
        match chance.randrange(4):
            case 0:
                tail.clear()
            case 1:
                del tail[chance.randint(0, len(tail)) :]
            case 2 if len(tail) > SECTOR:
                hole = chance.randrange(len(tail) - SECTOR)
                hole += -(synced + hole) % SECTOR
                tail[hole : hole + SECTOR] = bytes(len(tail[hole : hole + SECTOR]))
        data = inode.synced + bytes(tail)
        return data, data


def build_entry(index, term=1, size=300):
    return messages.LogEntry(
        index, term, "RecordClaims", bytes([index % 251 + 1]) * size
    )


def build_changes():
    """Return writes as consensus makes them, one record each."""
    state = messages.ReplicaState
    members = messages.ChangeReplicas([], [])
    first, later = state(1, "a"), state(2, "")
    snapshot = messages.LogSnapshot(3, 2, members, b"state" * 200)
    entries = {index: build_entry(index) for index in (1, 2, 3)}
    third = build_entry(3, 2)
    fourth = build_entry(4, 2, 1500)
    newest = messages.LogSnapshot(9, 3, members, b"newest" * 200)
    conflicting = messages.LogSnapshot(10, 4, members, b"other" * 200)
    return [
        transitions.Persist(1, first, 0, []),
        transitions.Persist(2, first, 0, [entries[1]]),
        transitions.Persist(3, first, 0, [entries[2]]),
        transitions.Persist(4, first, 0, [entries[3]]),
        transitions.Persist(5, later, 0, []),
        transitions.Persist(6, later, 3, []),
        transitions.Persist(7, later, 0, [third]),
        transitions.Persist(8, later, 0, [fourth]),
        transitions.SaveSnapshot(9, later, snapshot, [fourth]),
        transitions.Persist(10, later, 0, [build_entry(5, 2)]),
        transitions.SaveSnapshot(11, later, newest, []),
        transitions.Persist(12, later, 0, [build_entry(10, 3)]),
        transitions.Persist(13, later, 0, [build_entry(11, 3)]),
        transitions.SaveSnapshot(14, later, conflicting, []),
        transitions.Persist(15, later, 0, [build_entry(11, 4)]),
    ]
