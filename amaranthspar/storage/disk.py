"""The data folder of one replica: its identity, newest snapshot and log.

These files consist of records with checksums. Every change of the log, including the
removal of entries, is appended to it as records. Saving a snapshot replaces the
snapshot and the log: each new file is written under a temporary name, synced and
renamed, so that a crash leaves either the old file or the new one.
"""

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
NEW_SUFFIX = ".new"
"""Suffix of a file that is not yet renamed to its final name."""
FILE_NAMES = {
    name + suffix
    for name in (LOCK, IDENTITY, SNAPSHOT, LOG)
    for suffix in ("", NEW_SUFFIX)
}
RECORD_KINDS = [
    "FolderIdentity",
    "LogSnapshot",
    "ReplicaState",
    "LogEntry",
    "LogTruncation",
]
"""Message classes in records; a record stores the position as its kind."""


class LockedError(errors.DiskError):
    """Another process has locked the folder."""


class ForeignFolderError(errors.DiskError):
    """The folder belongs to another replica, is a copy or has unrelated files."""


class FormatError(errors.DiskError):
    """The folder has an unknown format or format version."""


class CorruptError(errors.DiskError):
    """Data that was synced to disk is corrupt or missing."""


class FullError(errors.DiskError):
    """The file system is full."""


class DeviceError(errors.DiskError):
    """The device of the file system failed; it may work again."""


@attrs.define(slots=True)
class Folder:
    """Data folder of one replica; open it with `open_folder`.

    Attributes:
        folder_id: Random number that identifies the folder.
        stored: Content of the folder when it was opened.
        torn_bytes: Size in bytes of the torn tail, an incomplete last write, that
            was cut from the log when the folder was opened.
    """

    folder_id: int
    stored: transitions.Stored
    torn_bytes: int
    _files: files.Files
    _log_bytes: int
    _state: messages.ReplicaState
    _written: int = 0
    _is_log_torn: bool = False
    _are_names_synced: bool = True

    def write(
        self, changes: list[transitions.Persist | transitions.SaveSnapshot]
    ) -> None:
        """Write changes in order and sync them; may run in another thread.

        After an error, none of the changes may be taken as written. The same changes,
        with later ones after them or not, can be written again: what is incomplete is
        removed first, and what is already on disk is skipped by its number.

        Args:
            changes: Writes that consensus has issued.

        Raises:
            FullError: The file system is full; synced data is not lost.
            DeviceError: The device failed; synced data is not lost.
            errors.DiskError: The folder cannot be written.
        """
        try:
            self._repair()
            self._write([item for item in changes if item.number > self._written])
        except files.FilesError as error:
            raise _convert_error(self._files.folder, error) from error

    def close(self) -> None:
        """Close the files and release the lock."""
        self._files.close()

    def _repair(self) -> None:
        """Remove what a failed write left, and complete what it left unsynced."""
        if self._is_log_torn:
            self._files.truncate(LOG, self._log_bytes)
            self._is_log_torn = False
        if not self._are_names_synced:
            self._files.sync_folder()
            self._are_names_synced = True

    def _write(
        self, changes: list[transitions.Persist | transitions.SaveSnapshot]
    ) -> None:
        pending: list[transitions.Persist] = []
        for change in changes:
            match change:
                case transitions.Persist():
                    pending.append(change)
                case transitions.SaveSnapshot():
                    self._append(pending)
                    pending = []
                    self._save_snapshot(change)
        self._append(pending)

    def _append(self, changes: list[transitions.Persist]) -> None:
        if not changes:
            return
        data = b""
        state = self._state
        for change in changes:
            data += self._encode_change(change, state)
            state = change.state
        self._append_synced(data)
        self._state = state
        self._written = changes[-1].number

    def _append_synced(self, data: bytes) -> None:
        if not data:
            return
        # After a failed sync, the data must be written again: the system may have
        # dropped it, and another sync would succeed without it.
        self._is_log_torn = True
        self._files.append(LOG, data)
        self._files.sync(LOG)
        self._is_log_torn = False
        self._log_bytes += len(data)

    def _encode_change(
        self, change: transitions.Persist, state: messages.ReplicaState
    ) -> bytes:
        parts = []
        if change.state != state:
            parts.append(self._encode(change.state))
        if change.truncate_from:
            parts.append(self._encode(messages.LogTruncation(change.truncate_from)))
        parts += [self._encode(entry) for entry in change.entries]
        return b"".join(parts)

    def _encode(self, message: codec.Message) -> bytes:
        return _encode_message(message, self._log_bytes)

    def _save_snapshot(self, change: transitions.SaveSnapshot) -> None:
        if change.state != self._state:
            # A crash between the two renames must not leave an older term than that
            # of the snapshot.
            self._append_synced(self._encode(change.state))
            self._state = change.state
        _prepare_file(self._files, SNAPSHOT, _encode_message(change.snapshot, 0))
        self._files.rename(SNAPSHOT + NEW_SUFFIX, SNAPSHOT)
        self._files.sync_folder()
        parts = [_encode_message(change.state, 0)]
        parts += [_encode_message(entry, 0) for entry in change.entries]
        data = b"".join(parts)
        _prepare_file(self._files, LOG, data)
        self._files.rename(LOG + NEW_SUFFIX, LOG)
        # The log is the new file from here on, even if its name cannot be synced.
        self._log_bytes = len(data)
        self._written = change.number
        self._are_names_synced = False
        self._files.sync_folder()
        self._are_names_synced = True


def open_folder(
    directory: files.Files,
    replica: str,
    new_folder_id: int,
    detects_copies: bool = True,
) -> Folder:
    """Open or create the data folder of a replica.

    Args:
        directory: Files of the folder.
        replica: Replica id.
        new_folder_id: Random number that identifies the folder if it is created;
            not 0.
        detects_copies: Whether to reject a folder as a copy if the inode of its
            identity file has changed.

    Returns:
        The folder with its stored content.

    Raises:
        LockedError: Another process has locked it.
        ForeignFolderError: It belongs to another replica, is a copy or has
            unrelated files.
        FormatError: It has an unknown format or format version.
        CorruptError: Synced data is corrupt or missing.
        FullError: The file system is full.
        DeviceError: The device failed.
        errors.DiskError: It cannot be read or written.
    """
    try:
        if not directory.lock(LOCK):
            raise LockedError(f"{directory.folder} is in use by another process")
        return _open_locked(directory, replica, new_folder_id, detects_copies)
    except files.FilesError as error:
        directory.close()
        raise _convert_error(directory.folder, error) from error
    except errors.DiskError:
        directory.close()
        raise


def find_replica(directory: files.Files) -> str:
    """Return the id of the replica that owns a folder; empty for a new folder.

    Args:
        directory: Files of the folder.

    Raises:
        errors.DiskError: The folder cannot be read.
    """
    try:
        if directory.read(IDENTITY) is None:
            return ""
        identity = _read_single_record(directory, IDENTITY)
    except files.FilesError as error:
        raise _convert_error(directory.folder, error) from error
    if not isinstance(identity, messages.FolderIdentity):
        raise FormatError(f"{directory.folder}/{IDENTITY} has an unknown format")
    return identity.replica


def _open_locked(
    directory: files.Files, replica: str, new_folder_id: int, detects_copies: bool
) -> Folder:
    if directory.read(IDENTITY) is None:
        _create_folder(directory, replica, new_folder_id)
    identity = _read_identity(directory, replica, detects_copies)
    for name in (IDENTITY, SNAPSHOT, LOG):
        directory.remove(name + NEW_SUFFIX)
    snapshot = _read_snapshot(directory)
    data = directory.read(LOG)
    if data is None:
        raise CorruptError(f"{directory.folder}/{LOG} is missing")
    scan = records.scan_records(data)
    if scan.corrupt:
        raise CorruptError(
            f"{directory.folder}/{LOG}: corrupt record at byte {scan.valid_bytes}"
        )
    if scan.valid_bytes < len(data):
        directory.truncate(LOG, scan.valid_bytes)
    # The process may have been killed between a write or rename and its sync. What is
    # read here is stated to other replicas, so that it must survive a loss of power.
    directory.sync(LOG)
    directory.sync_folder()
    stored, is_log_unused = _replay(directory.folder, scan.records, snapshot)
    log_bytes = scan.valid_bytes
    if is_log_unused:
        log_bytes = _replace_log(directory, stored.state)
    return Folder(
        identity.folder,
        stored,
        len(data) - scan.valid_bytes,
        directory,
        log_bytes,
        stored.state,
    )


def _replace_log(directory: files.Files, state: messages.ReplicaState) -> int:
    """Replace a log of which no entry is used, and return its size in bytes.

    What is appended to the old one would follow other entries and be unreadable.
    """
    data = _encode_message(state, 0)
    _prepare_file(directory, LOG, data)
    directory.rename(LOG + NEW_SUFFIX, LOG)
    directory.sync_folder()
    return len(data)


def _create_folder(directory: files.Files, replica: str, new_folder_id: int) -> None:
    foreign = [name for name in directory.list_names() if name not in FILE_NAMES]
    leftover = [name for name in (SNAPSHOT, LOG) if directory.read(name)]
    if foreign or leftover:
        raise ForeignFolderError(
            f"{directory.folder} has no file {IDENTITY} but holds "
            f"{', '.join(foreign + leftover)}"
        )
    directory.append(LOG, b"")
    directory.sync(LOG)
    directory.remove(IDENTITY + NEW_SUFFIX)
    inode = directory.read_inode(IDENTITY + NEW_SUFFIX)
    identity = messages.FolderIdentity(FORMAT_VERSION, replica, new_folder_id, inode)
    directory.append(IDENTITY + NEW_SUFFIX, _encode_message(identity, 0))
    directory.sync(IDENTITY + NEW_SUFFIX)
    directory.rename(IDENTITY + NEW_SUFFIX, IDENTITY)
    directory.sync_folder()


def _read_identity(
    directory: files.Files, replica: str, detects_copies: bool
) -> messages.FolderIdentity:
    path = f"{directory.folder}/{IDENTITY}"
    identity = _read_single_record(directory, IDENTITY)
    if not isinstance(identity, messages.FolderIdentity):
        raise FormatError(f"{path} has an unknown format")
    if identity.format_version != FORMAT_VERSION:
        raise FormatError(f"{path} has format version {identity.format_version}")
    if identity.replica != replica:
        raise ForeignFolderError(
            f"{directory.folder} belongs to replica {identity.replica}, not {replica}"
        )
    if detects_copies and identity.inode != directory.read_inode(IDENTITY):
        raise ForeignFolderError(
            f"{directory.folder} is a copy; use a new replica id with an empty folder"
        )
    return identity


def _read_snapshot(directory: files.Files) -> messages.LogSnapshot | None:
    if directory.read(SNAPSHOT) is None:
        return None
    snapshot = _read_single_record(directory, SNAPSHOT)
    if not isinstance(snapshot, messages.LogSnapshot):
        raise CorruptError(f"{directory.folder}/{SNAPSHOT} does not hold a snapshot")
    return snapshot


def _read_single_record(directory: files.Files, name: str) -> codec.Message:
    data = directory.read(name) or b""
    scan = records.scan_records(data)
    if len(scan.records) != 1 or scan.valid_bytes != len(data):
        raise CorruptError(
            f"{directory.folder}/{name}: expected exactly one valid record"
        )
    return _decode_record(directory.folder, scan.records[0])


def _replay(
    folder_path: str,
    log_records: list[records.Record],
    snapshot: messages.LogSnapshot | None,
) -> tuple[transitions.Stored, bool]:
    """Return what the records hold, and whether entries of the log are unused."""
    state = messages.ReplicaState(0, "")
    entries: list[messages.LogEntry] = []
    for record in log_records:
        match _decode_record(folder_path, record):
            case messages.ReplicaState() as message:
                state = message
            case messages.LogTruncation() as message:
                remaining = message.index - (entries[0].index if entries else 0)
                del entries[max(remaining, 0) :]
            case messages.LogEntry() as message:
                if entries and message.index != entries[-1].index + 1:
                    raise CorruptError(
                        f"{folder_path}/{LOG}: gap before index {message.index}"
                    )
                entries.append(message)
            case _:
                raise CorruptError(f"{folder_path}/{LOG}: unexpected record kind")
    used = _select_entries_after(folder_path, entries, snapshot)
    return transitions.Stored(state, snapshot, used or []), used is None


def _select_entries_after(
    folder_path: str,
    entries: list[messages.LogEntry],
    snapshot: messages.LogSnapshot | None,
) -> list[messages.LogEntry] | None:
    """Return the log entries that follow the snapshot; nothing for another log.

    A crash after the new snapshot is renamed and before the new log is renamed
    leaves the new snapshot with the log of the previous one. That log may lack
    the last entry of the snapshot or have another term there; then none of its
    entries is used.
    """
    covered = snapshot.index if snapshot is not None else 0
    if not entries:
        return []
    first = entries[0].index
    if first > covered + 1:
        raise CorruptError(
            f"{folder_path}/{LOG} begins at index {first}, "
            f"but the snapshot ends at {covered}"
        )
    if first == covered + 1:
        return entries
    last = covered - first
    if last >= len(entries) or snapshot is None or entries[last].term != snapshot.term:
        return None
    return entries[last + 1 :]


def _convert_error(folder_path: str, error: files.FilesError) -> errors.DiskError:
    match error:
        case files.SpaceError():
            return FullError(f"{folder_path}: {error}")
        case files.DeviceError():
            return DeviceError(f"{folder_path}: {error}")
        case _:
            return errors.DiskError(f"{folder_path}: {error}")


def _prepare_file(directory: files.Files, name: str, data: bytes) -> None:
    """Write a file completely under its temporary name."""
    directory.remove(name + NEW_SUFFIX)
    directory.append(name + NEW_SUFFIX, data)
    directory.sync(name + NEW_SUFFIX)


def _encode_message(message: codec.Message, synced_bytes: int) -> bytes:
    kind = RECORD_KINDS.index(type(message).__name__)
    body = codec.encode_message(message)
    return records.encode_record(records.Record(kind, synced_bytes, body))


def _decode_record(folder_path: str, record: records.Record) -> codec.Message:
    if record.kind >= len(RECORD_KINDS):
        raise FormatError(f"{folder_path}: unknown record kind {record.kind}")
    try:
        return codec.decode_message(RECORD_KINDS[record.kind], record.body)
    except errors.SchemaError as error:
        raise FormatError(f"{folder_path}: {error}") from error
