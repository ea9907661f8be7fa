"""Files of one folder; the package reads and writes them only through this module."""

import contextlib
import errno
import fcntl
import os
import pathlib
from collections.abc import Iterator

from amaranthspar import errors


class FilesError(errors.InputOutputError):
    """A file system call failed."""


class SpaceError(FilesError):
    """The file system is full."""


class DeviceError(FilesError):
    """The device of the file system failed; it may work again."""


class Files:
    """Files of one folder, which stay open until they are closed or replaced.

    Each method raises `FilesError` or a subclass of it, and no error of the system.

    Args:
        folder: Path of the folder; `lock` creates it if it does not exist.
    """

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self._path = pathlib.Path(folder)
        self._descriptors: dict[str, int] = {}
        self._lock: int | None = None

    def lock(self, name: str) -> bool:
        """Lock the folder and return whether this succeeded.

        Args:
            name: Name of the lock file; it is created if it does not exist.
        """
        with _convert_errors():
            self._path.mkdir(parents=True, exist_ok=True)
            lock = os.open(self._path / name, os.O_CREAT | os.O_RDWR, 0o600)
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(lock)
                return False
            except OSError:
                os.close(lock)
                raise
        self._lock = lock
        return True

    def list_names(self) -> list[str]:
        """Return the names of all files."""
        with _convert_errors():
            return sorted(item.name for item in self._path.iterdir())

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or nothing if it does not exist.

        Args:
            name: File name.
        """
        with _convert_errors():
            try:
                return (self._path / name).read_bytes()
            except FileNotFoundError:
                return None

    def read_inode(self, name: str) -> int:
        """Return the inode number of a file, which is created if it does not exist.

        Args:
            name: File name.
        """
        with _convert_errors():
            return os.fstat(self._open(name)).st_ino

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it does not exist.

        Args:
            name: File name.
            data: Bytes to append.
        """
        with _convert_errors():
            descriptor = self._open(name)
            remaining = memoryview(data)
            while remaining:
                remaining = remaining[os.write(descriptor, remaining) :]

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file.

        Args:
            name: File name.
            size: New size in bytes.
        """
        with _convert_errors():
            os.ftruncate(self._open(name), size)

    def sync(self, name: str) -> None:
        """Sync the content of a file to disk.

        Args:
            name: File name.
        """
        with _convert_errors():
            os.fsync(self._open(name))

    def rename(self, old: str, new: str) -> None:
        """Rename a file; an existing file of the new name is replaced.

        Args:
            old: Present name.
            new: New name.
        """
        with _convert_errors():
            os.rename(self._path / old, self._path / new)
            self._close(new)
        descriptor = self._descriptors.pop(old, None)
        if descriptor is not None:
            self._descriptors[new] = descriptor

    def remove(self, name: str) -> None:
        """Remove a file if it exists.

        Args:
            name: File name.
        """
        with _convert_errors():
            self._close(name)
            (self._path / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Sync the file names in the folder to disk."""
        with _convert_errors():
            descriptor = os.open(self._path, os.O_RDONLY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)

    def close(self) -> None:
        """Close all files and release the lock."""
        with _convert_errors():
            for name in list(self._descriptors):
                self._close(name)
            if self._lock is not None:
                os.close(self._lock)
                self._lock = None

    def _open(self, name: str) -> int:
        descriptor = self._descriptors.get(name)
        if descriptor is None:
            flags = os.O_CREAT | os.O_RDWR | os.O_APPEND
            descriptor = os.open(self._path / name, flags, 0o600)
            self._descriptors[name] = descriptor
        return descriptor

    def _close(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


@contextlib.contextmanager
def _convert_errors() -> Iterator[None]:
    try:
        yield
    except OSError as error:
        raise _convert_error(error) from error


def _convert_error(error: OSError) -> FilesError:
    if error.errno in (errno.ENOSPC, errno.EDQUOT):
        return SpaceError(str(error))
    if error.errno == errno.EIO:
        return DeviceError(str(error))
    return FilesError(str(error))
