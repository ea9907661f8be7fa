"""Files of one folder, the only calls that touch the disk."""

import errno
import fcntl
import os
import pathlib

from amaranthspar import errors


class FilesError(errors.InputOutputError):
    """A call of the file system failed."""


class SpaceError(FilesError):
    """The file system is full."""


class Files:
    """Files of one folder.

    Args:
        folder: Path of the folder; it is created if it does not exist.

    Raises:
        FilesError: The folder cannot be created.
    """

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self._path = pathlib.Path(folder)
        self._descriptors: dict[str, int] = {}
        self._lock: int | None = None
        try:
            self._path.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise _turn(error) from error

    def lock(self, name: str) -> bool:
        """Take the lock of the folder and return whether it was free.

        Args:
            name: File that carries the lock.
        """
        self._lock = os.open(self._path / name, os.O_CREAT | os.O_RDWR, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            self._lock = None
            return False
        return True

    def list_names(self) -> list[str]:
        """Return the names of all files."""
        return sorted(item.name for item in self._path.iterdir())

    def read(self, name: str) -> bytes | None:
        """Return the bytes of a file, nothing if there is none.

        Args:
            name: File name.
        """
        try:
            return (self._path / name).read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise _turn(error) from error

    def read_inode(self, name: str) -> int:
        """Return the inode of a file, which is created if it does not exist.

        Args:
            name: File name.
        """
        try:
            return os.fstat(self._open(name)).st_ino
        except OSError as error:
            raise _turn(error) from error

    def append(self, name: str, data: bytes) -> None:
        """Add bytes at the end of a file, which is created if it does not exist.

        Args:
            name: File name.
            data: Bytes to add.
        """
        try:
            descriptor = self._open(name)
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
        except OSError as error:
            raise _turn(error) from error

    def truncate(self, name: str, size: int) -> None:
        """Cut a file.

        Args:
            name: File name.
            size: Size in bytes after the cut.
        """
        try:
            os.ftruncate(self._open(name), size)
        except OSError as error:
            raise _turn(error) from error

    def sync(self, name: str) -> None:
        """Wait until the bytes of a file are on disk.

        Args:
            name: File name.
        """
        try:
            os.fsync(self._open(name))
        except OSError as error:
            raise _turn(error) from error

    def rename(self, old: str, new: str) -> None:
        """Give a file another name and replace the file of that name.

        Args:
            old: Present name.
            new: Name after the call.
        """
        self._close(new)
        descriptor = self._descriptors.pop(old, None)
        try:
            os.rename(self._path / old, self._path / new)
        except OSError as error:
            raise _turn(error) from error
        if descriptor is not None:
            self._descriptors[new] = descriptor

    def remove(self, name: str) -> None:
        """Remove a file if it exists.

        Args:
            name: File name.
        """
        self._close(name)
        (self._path / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Wait until the names in the folder are on disk."""
        try:
            descriptor = os.open(self._path, os.O_RDONLY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
        except OSError as error:
            raise _turn(error) from error

    def close(self) -> None:
        """Close all files and release the lock."""
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


def _turn(error: OSError) -> FilesError:
    if error.errno in (errno.ENOSPC, errno.EDQUOT):
        return SpaceError(str(error))
    return FilesError(str(error))
