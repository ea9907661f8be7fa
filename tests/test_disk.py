"""Tests of the data folder: crashes, full disks, corruption and foreign folders."""

import copy
import errno
import os
import shutil

import pytest

from amaranthspar import errors
from amaranthspar.storage import disk, files, records
from tests import builders_disk

CHANGES = builders_disk.build_changes()


def open_in_memory(directory):
    return disk.open_folder(directory, "a", 77)


def write_all(directory):
    """Write the changes until a call fails; return the number of completed writes."""
    confirmed = 0
    try:
        folder = open_in_memory(directory)
        for change in CHANGES:
            folder.write([change])
            confirmed += 1
    except (builders_disk.Crash, errors.DiskError):
        pass
    return confirmed


def build_expected():
    """Return the stored content after each number of writes."""
    expected = []
    for count in range(len(CHANGES) + 1):
        directory = builders_disk.MemoryFiles()
        folder = open_in_memory(directory)
        for change in CHANGES[:count]:
            folder.write([change])
        expected.append(open_in_memory(directory).stored)
    return expected


EXPECTED = build_expected()
COMPLETE_RUN = builders_disk.MemoryFiles()
write_all(COMPLETE_RUN)


@pytest.mark.parametrize("seed", range(6))
def test_crash_at_any_call_keeps_confirmed_writes(seed):
    for call in range(1, COMPLETE_RUN.calls + 1):
        directory = builders_disk.MemoryFiles(call)
        confirmed = write_all(directory)
        stored = open_in_memory(directory.crash(seed * 1000 + call)).stored
        assert stored in EXPECTED[confirmed : confirmed + 2], call


@pytest.mark.parametrize("seed", range(6))
def test_replica_that_writes_on_after_a_crash_can_be_opened_again(seed):
    for call in range(1, COMPLETE_RUN.calls + 1):
        directory = builders_disk.MemoryFiles(call)
        confirmed = write_all(directory)
        after = directory.crash(seed * 1000 + call)
        folder = open_in_memory(after)
        done = EXPECTED.index(folder.stored, confirmed)
        for position in range(done, len(CHANGES)):
            folder.write([CHANGES[position]])
            assert read_stored(after) == EXPECTED[position + 1], (call, position)


@pytest.mark.parametrize("seed", range(6))
def test_what_a_restarted_replica_states_survives_a_power_loss(seed):
    for call in range(1, COMPLETE_RUN.calls + 1):
        directory = builders_disk.MemoryFiles(call)
        write_all(directory)
        stated = open_in_memory(directory).stored
        after = directory.crash(seed * 1000 + call)
        assert open_in_memory(after).stored == stated, call


def test_full_disk_at_any_call_keeps_confirmed_writes():
    for call in range(1, COMPLETE_RUN.calls + 1):
        directory = builders_disk.MemoryFiles(call, files.SpaceError("no space left"))
        confirmed = write_all(directory)
        directory.fail_at = 0
        stored = open_in_memory(directory).stored
        assert stored in EXPECTED[confirmed : confirmed + 2], call


def test_full_disk_raises_full_error_until_it_has_room_again():
    directory = builders_disk.MemoryFiles()
    folder = open_in_memory(directory)
    directory.failure = files.SpaceError("no space left")
    for _ in range(3):
        directory.fail_at = directory.calls + 1
        with pytest.raises(disk.FullError, match="no space left"):
            folder.write(CHANGES[:1])
    folder.write(CHANGES[:1])
    assert open_in_memory(directory).stored == EXPECTED[1]


def read_stored(directory):
    """Return what a replica that is killed now would read, without a change."""
    copied = copy.deepcopy(directory)
    copied.fail_at = 0
    return open_in_memory(copied).stored


def write_all_with_refusals(call, batch, refusals):
    """Write the changes in batches; return whether any call was refused.

    Some calls in a row are refused, the first one given by its number. A refused
    batch is repeated with one more change.
    """
    directory = builders_disk.MemoryFiles(call, files.SpaceError("no space left"))
    directory.fail_at = 0
    folder = open_in_memory(directory)
    directory.fail_at = directory.calls + call
    confirmed, repeated = 0, 0
    while confirmed < len(CHANGES):
        end = confirmed + batch + repeated
        try:
            folder.write(CHANGES[confirmed:end])
        except disk.FullError:
            repeated += 1
            directory.fail_at = directory.calls + 1 if repeated < refusals else 0
            restarted = open_in_memory(directory.crash(call)).stored
            assert restarted in EXPECTED[confirmed : end + 1]
            assert read_stored(directory) in EXPECTED[confirmed : end + 1]
            continue
        confirmed = min(end, len(CHANGES))
        assert read_stored(directory) == EXPECTED[confirmed]
        assert open_in_memory(directory.crash(call)).stored == EXPECTED[confirmed]
    return repeated > 0


@pytest.mark.parametrize("batch", [1, 4, len(CHANGES)])
@pytest.mark.parametrize("refusals", [1, 3])
def test_write_refused_at_any_call_is_repeated_in_order(batch, refusals):
    tried = 0
    for call in range(1, 2 * COMPLETE_RUN.calls):
        tried += write_all_with_refusals(call, batch, refusals)
    assert tried > 20


@pytest.mark.parametrize("kept_bytes", [0, 3, 30, 700, 10**6])
@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
def test_refused_write_leaves_no_torn_record_in_the_middle(
    tmp_path, number, kept_bytes
):
    directory = builders_disk.RefusingFiles(str(tmp_path), kept_bytes=kept_bytes)
    used = len(os.listdir("/proc/self/fd"))
    folder = disk.open_folder(directory, "a", 5)
    for position, change in enumerate(CHANGES):
        directory.error = number
        for _ in range(2):
            with pytest.raises(errors.DiskError) as caught:
                folder.write([change])
            assert isinstance(caught.value, disk.FullError) == (number == errno.ENOSPC)
        directory.error = 0
        folder.write([change])
        copied = tmp_path / "copies" / str(position)
        shutil.copytree(tmp_path, copied, ignore=shutil.ignore_patterns("copies"))
        reopened = disk.open_folder(files.Files(str(copied)), "a", 6, False)
        assert (reopened.stored, reopened.torn_bytes) == (EXPECTED[position + 1], 0)
        reopened.close()
    folder.close()
    assert len(os.listdir("/proc/self/fd")) <= used


CALLS = {
    "lock": ("os.open", [disk.LOCK]),
    "list_names": ("pathlib.Path.iterdir", []),
    "read": ("pathlib.Path.read_bytes", [disk.LOG]),
    "read_inode": ("os.fstat", [disk.LOG]),
    "append": ("os.write", [disk.LOG, b"data"]),
    "truncate": ("os.ftruncate", [disk.LOG, 0]),
    "sync": ("os.fsync", [disk.LOG]),
    "rename": ("os.rename", [disk.LOG, disk.SNAPSHOT]),
    "remove": ("pathlib.Path.unlink", [disk.LOG]),
    "sync_folder": ("os.fsync", []),
}


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EROFS])
@pytest.mark.parametrize("call", CALLS)
def test_every_error_of_the_system_is_converted(tmp_path, monkeypatch, call, number):
    directory = files.Files(str(tmp_path))
    directory.append(disk.LOG, b"first")
    used = set(os.listdir("/proc/self/fd"))

    def fail(*_arguments, **_options):
        raise OSError(number, "refused")

    function, arguments = CALLS[call]
    with monkeypatch.context() as context:
        context.setattr(function, fail)
        with pytest.raises(files.FilesError) as caught:
            getattr(directory, call)(*arguments)
    assert isinstance(caught.value, files.SpaceError) == (number == errno.ENOSPC)
    assert directory.read(disk.LOG) == b"first"
    assert set(os.listdir("/proc/self/fd")) <= used
    directory.close()
    assert len(os.listdir("/proc/self/fd")) == len(used) - 1


@pytest.mark.parametrize("name", [disk.LOG, disk.SNAPSHOT, disk.IDENTITY])
def test_any_corrupt_byte_is_detected(name):
    directory = builders_disk.MemoryFiles()
    write_all(directory)
    data = bytes(directory.names[name].data)
    for position in range(len(data)):
        directory.names[name].data[position] ^= 0x41
        with pytest.raises(errors.DiskError):
            open_in_memory(directory)
        directory.names[name].data[position] ^= 0x41
    assert bytes(directory.names[name].data) == data
    assert open_in_memory(directory).stored == EXPECTED[-1]


def test_torn_tail_is_cut_and_counted():
    directory = builders_disk.MemoryFiles()
    folder = open_in_memory(directory)
    for change in CHANGES[:3]:
        folder.write([change])
    incomplete = records.encode_record(records.Record(3, 0, b"x" * 100))[:60]
    directory.append(disk.LOG, incomplete)
    reopened = open_in_memory(directory)
    assert reopened.torn_bytes == 60
    assert reopened.stored == EXPECTED[3]
    reopened.write([CHANGES[3]])
    assert open_in_memory(directory).stored == EXPECTED[4]


def test_missing_log_is_corruption():
    directory = builders_disk.MemoryFiles()
    write_all(directory)
    del directory.names[disk.LOG]
    with pytest.raises(disk.CorruptError, match="missing"):
        open_in_memory(directory)


def test_folder_of_another_replica_is_refused():
    directory = builders_disk.MemoryFiles()
    write_all(directory)
    with pytest.raises(disk.ForeignFolderError, match="belongs to replica a"):
        disk.open_folder(directory, "b", 5)


def test_unknown_format_version_is_refused(monkeypatch):
    directory = builders_disk.MemoryFiles()
    write_all(directory)
    monkeypatch.setattr(disk, "FORMAT_VERSION", 2)
    with pytest.raises(disk.FormatError, match="format version 1"):
        open_in_memory(directory)


def test_copied_folder_is_refused(tmp_path):
    original = str(tmp_path / "original")
    disk.open_folder(files.Files(original), "a", 5).close()
    shutil.copytree(original, tmp_path / "copy")
    with pytest.raises(disk.ForeignFolderError, match="copy"):
        disk.open_folder(files.Files(str(tmp_path / "copy")), "a", 5)
    restored = files.Files(str(tmp_path / "copy"))
    disk.open_folder(restored, "a", 5, detects_copies=False).close()


def test_folder_with_unrelated_files_is_refused(tmp_path):
    (tmp_path / "letter.txt").write_text("not ours")
    with pytest.raises(disk.ForeignFolderError, match=r"letter\.txt"):
        disk.open_folder(files.Files(str(tmp_path)), "a", 5)
    assert (tmp_path / "letter.txt").read_text() == "not ours"


def test_folder_on_disk_is_locked_and_keeps_writes_when_reopened(tmp_path):
    folder = disk.open_folder(files.Files(str(tmp_path)), "a", 5)
    folder.write(CHANGES)
    with pytest.raises(disk.LockedError):
        disk.open_folder(files.Files(str(tmp_path)), "a", 5)
    folder.close()
    reopened = disk.open_folder(files.Files(str(tmp_path)), "a", 6)
    assert (reopened.folder_id, reopened.stored) == (5, EXPECTED[-1])
