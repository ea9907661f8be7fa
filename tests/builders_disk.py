"""In-memory files with simulated crashes and torn writes, and files on a full disk."""

import errno
import os
import random
import time

from amaranthspar.consensus import transitions
from amaranthspar.schema import messages
from amaranthspar.storage import files

SECTOR = 512
ERRORS = {
    errno.ENOSPC: files.SpaceError,
    errno.EIO: files.DeviceError,
    errno.EROFS: files.FilesError,
}


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


class RefusingFiles(files.Files):
    """Files on a disk that refuses all that needs room, for as long as it is told.

    Attributes:
        error: Number of the error of refused calls; 0 while the disk works.
        kept_bytes: Bytes of a refused write that still reach the file.
        stall_s: Time in s for which each sync hangs.
        refused: Number of refused calls.
    """

    def __init__(self, folder, error=0, kept_bytes=30):
        super().__init__(folder)
        self.error = error
        self.kept_bytes = kept_bytes
        self.stall_s = 0.0
        self.refused = 0

    def release(self):
        """Let the disk work again."""
        self.error = 0
        self.stall_s = 0.0

    def _refuse(self):
        if self.error:
            self.refused += 1
            raise ERRORS[self.error](os.strerror(self.error))

    def lock(self, name):
        self._refuse()
        return super().lock(name)

    def append(self, name, data):
        if self.error and data:
            super().append(name, data[: self.kept_bytes])
        self._refuse()
        super().append(name, data)

    def truncate(self, name, size):
        if self.error != errno.ENOSPC:
            self._refuse()
        super().truncate(name, size)

    def sync(self, name):
        time.sleep(self.stall_s)
        self._refuse()
        super().sync(name)

    def rename(self, old, new):
        self._refuse()
        super().rename(old, new)

    def sync_folder(self):
        time.sleep(self.stall_s)
        self._refuse()
        super().sync_folder()


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
