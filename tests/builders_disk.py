"""In-memory files with simulated crashes, torn writes and a full disk."""

import random

from amaranthspar.consensus import transitions
from amaranthspar.schema import messages

SECTOR = 512


class Crash(Exception):
    """Simulated crash of the host at a call."""


class Inode:
    def __init__(self, number, data=b"", synced=b""):
        self.number = number
        self.data = bytearray(data)
        self.synced = bytes(synced)


class MemoryFiles:
    """In-memory replacement of `files.Files` that counts calls and can fail at one.

    Args:
        fail_at: Number of the call at which `failure` is raised; 0 for none.
        failure: Exception to raise; a `Crash` by default.
    """

    def __init__(self, fail_at=0, failure=None):
        self.folder = "memory"
        self.calls = 0
        self.fail_at = fail_at
        self.failure = failure or Crash()
        self.last_inode = 100
        self.names = {}
        self.synced_names = {}

    def _count_call(self):
        self.calls += 1
        if self.calls == self.fail_at:
            raise self.failure

    def _open(self, name):
        if name not in self.names:
            self.last_inode += 1
            self.names[name] = Inode(self.last_inode)
        return self.names[name]

    def lock(self, name):
        return True

    def list_names(self):
        return sorted(self.names)

    def read(self, name):
        inode = self.names.get(name)
        return None if inode is None else bytes(inode.data)

    def read_inode(self, name):
        return self._open(name).number

    def append(self, name, data):
        inode = self._open(name)
        inode.data += data[: len(data) // 2]
        self._count_call()
        inode.data += data[len(data) // 2 :]
        self._count_call()

    def truncate(self, name, size):
        self._count_call()
        del self._open(name).data[size:]

    def sync(self, name):
        self._count_call()
        inode = self._open(name)
        inode.synced = bytes(inode.data)
        self._count_call()

    def rename(self, old, new):
        self._count_call()
        self.names[new] = self.names.pop(old)

    def remove(self, name):
        self.names.pop(name, None)

    def sync_folder(self):
        self._count_call()
        self.synced_names = dict(self.names)
        self._count_call()

    def close(self):
        pass

    def crash(self, seed):
        """Return the files after a crash; unsynced data may be kept, lost or torn."""
        rng = random.Random(seed)
        after = MemoryFiles()
        after.last_inode = self.last_inode + 100
        names = rng.choice((self.names, self.synced_names))
        for name, inode in names.items():
            after.names[name] = Inode(inode.number, *self._tear(inode, rng))
        after.synced_names = dict(after.names)
        return after

    def _tear(self, inode, rng):
        synced = len(inode.synced)
        if bytes(inode.data[:synced]) != inode.synced:
            return [inode.synced] * 2
        tail = bytearray(inode.data[synced:])
        match rng.randrange(4):
            case 0:
                tail.clear()
            case 1:
                del tail[rng.randint(0, len(tail)) :]
            case 2 if len(tail) > SECTOR:
                hole = rng.randrange(len(tail) - SECTOR)
                hole += -(synced + hole) % SECTOR
                tail[hole : hole + SECTOR] = bytes(len(tail[hole : hole + SECTOR]))
        data = inode.synced + bytes(tail)
        return data, data


def build_entry(index, term=1, size=300):
    return messages.LogEntry(
        index, term, "RecordClaims", bytes([index % 251 + 1]) * size
    )


def build_changes():
    """Return the writes of a typical sequence of consensus, one record each."""
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
