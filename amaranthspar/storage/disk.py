"""The data folder of one replica."""

import attrs

from amaranthspar import errors
from amaranthspar.consensus import transitions
from amaranthspar.schema import codec, messages
from amaranthspar.storage import files, records

FORMAT_VERSION = 1
LOCK = "lock"
IDENTITY = "identity"
SNAPSHOT = "snapshot"
LOG = "log"
NEW = ".new"
KNOWN_NAMES = {
    name + suffix for name in (LOCK, IDENTITY, SNAPSHOT, LOG) for suffix in ("", NEW)
}
KINDS = ["FolderIdentity", "LogSnapshot", "ReplicaState", "LogEntry", "LogTruncation"]


class LockedError(errors.DiskError):
    """Another process uses the folder."""


class ForeignFolderError(errors.DiskError):
    """The folder belongs to another replica, is a copy or holds other files."""


class FormatError(errors.DiskError):
    """The folder is of an unknown format version."""


class CorruptError(errors.DiskError):
    """Synced bytes have changed."""


class FullError(errors.DiskError):
    """The file system is full."""


@attrs.define(slots=True)
class Folder:
    """Data folder of one replica; open it with `open_folder`.

    Attributes:
        folder_id: Random number that identifies the folder.
        stored: What it held when it was opened.
        torn_bytes: Bytes of a torn tail that were cut.
    """

    folder_id: int
    stored: transitions.Stored
    torn_bytes: int
    _files: files.Files
    _size: int
    _synced: int
    _state: messages.ReplicaState
    _failed: bool = False

    def write(
        self, changes: list[transitions.Persist | transitions.SaveSnapshot]
    ) -> None:
        """Write changes in order and sync them; may run in another thread.

        Args:
            changes: Changes that consensus asked for.

        Raises:
            FullError: The file system is full; nothing synced is lost.
            errors.DiskError: The folder cannot be written; it must be opened anew.
        """
        if self._failed:
            raise errors.DiskError(f"{self._files.folder}: an earlier write failed")
        try:
            self._write(changes)
        except files.SpaceError as error:
            self._failed = True
            raise FullError(f"{self._files.folder}: {error}") from error
        except files.FilesError as error:
            self._failed = True
            raise errors.DiskError(f"{self._files.folder}: {error}") from error

    def close(self) -> None:
        """Close the files and release the lock."""
        self._files.close()

    def _write(
        self, changes: list[transitions.Persist | transitions.SaveSnapshot]
    ) -> None:
        pending = b""
        for change in changes:
            match change:
                case transitions.Persist():
                    pending += self._encode_change(change)
                case transitions.SaveSnapshot():
                    self._append(pending)
                    pending = b""
                    self._replace(change)
        self._append(pending)
        if self._size > self._synced:
            self._files.sync(LOG)
            self._synced = self._size

    def _append(self, data: bytes) -> None:
        if data:
            self._files.append(LOG, data)
            self._size += len(data)

    def _encode_change(self, change: transitions.Persist) -> bytes:
        parts = []
        if change.state != self._state:
            parts.append(self._encode(change.state))
            self._state = change.state
        if change.truncate_from:
            parts.append(self._encode(messages.LogTruncation(change.truncate_from)))
        parts += [self._encode(entry) for entry in change.entries]
        return b"".join(parts)

    def _encode(self, message: codec.Message) -> bytes:
        return _encode_message(message, self._synced)

    def _replace(self, change: transitions.SaveSnapshot) -> None:
        _replace_file(self._files, SNAPSHOT, _encode_message(change.snapshot, 0))
        parts = [_encode_message(change.state, 0)]
        parts += [_encode_message(entry, 0) for entry in change.entries]
        data = b"".join(parts)
        _replace_file(self._files, LOG, data)
        self._state = change.state
        self._size = self._synced = len(data)


def open_folder(
    content: files.Files, replica: str, new_folder_id: int, detects_copies: bool = True
) -> Folder:
    """Open or create the data folder of a replica.

    Args:
        content: Files of the folder.
        replica: Replica id.
        new_folder_id: Random number for a new folder; not 0.
        detects_copies: Whether changed file numbers mean that it is a copy.

    Returns:
        The folder with all that it holds.

    Raises:
        LockedError: Another process uses it.
        ForeignFolderError: It belongs to another replica, is a copy or holds
            other files.
        FormatError: It is of an unknown format version.
        CorruptError: Synced bytes have changed.
        errors.DiskError: It cannot be read or written.
    """
    if not content.lock(LOCK):
        raise LockedError(f"{content.folder} is in use by another process")
    try:
        return _open_locked(content, replica, new_folder_id, detects_copies)
    except files.SpaceError as error:
        content.close()
        raise FullError(f"{content.folder}: {error}") from error
    except files.FilesError as error:
        content.close()
        raise errors.DiskError(f"{content.folder}: {error}") from error
    except errors.DiskError:
        content.close()
        raise


def find_replica(content: files.Files) -> str:
    """Return the replica id that a data folder belongs to, empty for a new folder.

    Args:
        content: Files of the folder.

    Raises:
        errors.DiskError: It cannot be read.
    """
    if content.read(IDENTITY) is None:
        return ""
    identity = _read_single(content, IDENTITY)
    if not isinstance(identity, messages.FolderIdentity):
        raise FormatError(f"{content.folder}/{IDENTITY} is of an unknown format")
    return identity.replica


def _open_locked(
    content: files.Files, replica: str, new_folder_id: int, detects_copies: bool
) -> Folder:
    if content.read(IDENTITY) is None:
        _create(content, replica, new_folder_id)
    identity = _read_identity(content, replica, detects_copies)
    for name in (IDENTITY, SNAPSHOT, LOG):
        content.remove(name + NEW)
    snapshot = _read_snapshot(content)
    data = content.read(LOG)
    if data is None:
        raise CorruptError(f"{content.folder}/{LOG} is missing")
    scan = records.scan_records(data)
    if scan.corrupt:
        raise CorruptError(f"{content.folder}/{LOG}: bad record at {scan.valid_bytes}")
    if scan.valid_bytes < len(data):
        content.truncate(LOG, scan.valid_bytes)
        content.sync(LOG)
    stored = _replay(content.folder, scan.records, snapshot)
    return Folder(
        identity.folder,
        stored,
        len(data) - scan.valid_bytes,
        content,
        scan.valid_bytes,
        scan.valid_bytes,
        stored.state,
    )


def _create(content: files.Files, replica: str, new_folder_id: int) -> None:
    others = [name for name in content.list_names() if name not in KNOWN_NAMES]
    held = [name for name in (SNAPSHOT, LOG) if content.read(name)]
    if others or held:
        raise ForeignFolderError(
            f"{content.folder} has no {IDENTITY} but {', '.join(others + held)}"
        )
    content.append(LOG, b"")
    content.sync(LOG)
    content.remove(IDENTITY + NEW)
    inode = content.read_inode(IDENTITY + NEW)
    identity = messages.FolderIdentity(FORMAT_VERSION, replica, new_folder_id, inode)
    content.append(IDENTITY + NEW, _encode_message(identity, 0))
    content.sync(IDENTITY + NEW)
    content.rename(IDENTITY + NEW, IDENTITY)
    content.sync_folder()


def _read_identity(
    content: files.Files, replica: str, detects_copies: bool
) -> messages.FolderIdentity:
    place = f"{content.folder}/{IDENTITY}"
    identity = _read_single(content, IDENTITY)
    if not isinstance(identity, messages.FolderIdentity):
        raise FormatError(f"{place} is of an unknown format")
    if identity.format_version != FORMAT_VERSION:
        raise FormatError(f"{place} has format version {identity.format_version}")
    if identity.replica != replica:
        raise ForeignFolderError(
            f"{content.folder} belongs to replica {identity.replica}, not {replica}"
        )
    if detects_copies and identity.inode != content.read_inode(IDENTITY):
        raise ForeignFolderError(
            f"{content.folder} is a copy; start a new replica id with an empty folder"
        )
    return identity


def _read_snapshot(content: files.Files) -> messages.LogSnapshot | None:
    if content.read(SNAPSHOT) is None:
        return None
    snapshot = _read_single(content, SNAPSHOT)
    if not isinstance(snapshot, messages.LogSnapshot):
        raise CorruptError(f"{content.folder}/{SNAPSHOT} is no snapshot")
    return snapshot


def _read_single(content: files.Files, name: str) -> codec.Message:
    data = content.read(name) or b""
    scan = records.scan_records(data)
    if len(scan.records) != 1 or scan.valid_bytes != len(data):
        raise CorruptError(f"{content.folder}/{name}: bad record")
    return _decode_record(content.folder, scan.records[0])


def _replay(
    place: str, found: list[records.Record], snapshot: messages.LogSnapshot | None
) -> transitions.Stored:
    state = messages.ReplicaState(0, "")
    entries: list[messages.LogEntry] = []
    for record in found:
        match _decode_record(place, record):
            case messages.ReplicaState() as message:
                state = message
            case messages.LogTruncation() as message:
                kept = message.index - (entries[0].index if entries else 0)
                del entries[max(kept, 0) :]
            case messages.LogEntry() as message:
                if entries and message.index != entries[-1].index + 1:
                    raise CorruptError(f"{place}/{LOG}: gap before {message.index}")
                entries.append(message)
            case _:
                raise CorruptError(f"{place}/{LOG}: unexpected record")
    return transitions.Stored(state, snapshot, _select_tail(place, entries, snapshot))


def _select_tail(
    place: str,
    entries: list[messages.LogEntry],
    snapshot: messages.LogSnapshot | None,
) -> list[messages.LogEntry]:
    """Return the entries that follow the snapshot.

    A crash between the two renames leaves the log of the snapshot before.
    """
    covered = snapshot.index if snapshot is not None else 0
    if not entries:
        return []
    first = entries[0].index
    if first > covered + 1:
        raise CorruptError(f"{place}/{LOG} begins at {first}, after {covered}")
    if first == covered + 1:
        return entries
    last = covered - first
    if last >= len(entries) or snapshot is None or entries[last].term != snapshot.term:
        return []
    return entries[last + 1 :]


def _replace_file(content: files.Files, name: str, data: bytes) -> None:
    content.remove(name + NEW)
    content.append(name + NEW, data)
    content.sync(name + NEW)
    content.rename(name + NEW, name)
    content.sync_folder()


def _encode_message(message: codec.Message, synced_bytes: int) -> bytes:
    kind = KINDS.index(type(message).__name__)
    body = codec.encode_message(message)
    return records.encode_record(records.Record(kind, synced_bytes, body))


def _decode_record(place: str, record: records.Record) -> codec.Message:
    if record.kind >= len(KINDS):
        raise FormatError(f"{place}: unknown record kind {record.kind}")
    try:
        return codec.decode_message(KINDS[record.kind], record.body)
    except errors.SchemaError as error:
        raise FormatError(f"{place}: {error}") from error
