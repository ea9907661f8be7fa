"""Crashes at every call, changed bytes, foreign folders and full disks."""

import shutil

import pytest

from amaranthspar import errors
from amaranthspar.storage import disk, files, records
from tests import builders_disk

CHANGES = builders_disk.build_changes()


def open_memory(content):
    return disk.open_folder(content, "a", 77)


def write_all(content):
    """Write until the files fail and return how many writes were confirmed."""
    confirmed = 0
    try:
        folder = open_memory(content)
        for change in CHANGES:
            folder.write([change])
            confirmed += 1
    except (builders_disk.Crash, errors.DiskError):
        pass
    return confirmed


def read_expected():
    """Return what the folder holds after each number of writes."""
    expected = []
    for count in range(len(CHANGES) + 1):
        content = builders_disk.MemoryFiles()
        folder = open_memory(content)
        for change in CHANGES[:count]:
            folder.write([change])
        expected.append(open_memory(content).stored)
    return expected


EXPECTED = read_expected()
CALLS = builders_disk.MemoryFiles()
write_all(CALLS)


@pytest.mark.parametrize("seed", range(6))
def test_crash_at_every_call_keeps_what_was_confirmed(seed):
    for call in range(1, CALLS.calls + 1):
        content = builders_disk.MemoryFiles(call)
        confirmed = write_all(content)
        stored = open_memory(content.crash(seed * 1000 + call)).stored
        assert stored in EXPECTED[confirmed : confirmed + 2], call


def test_full_disk_at_every_call_loses_nothing():
    for call in range(1, CALLS.calls + 1):
        content = builders_disk.MemoryFiles(call, files.SpaceError("no space left"))
        confirmed = write_all(content)
        content.fail_at = 0
        stored = open_memory(content).stored
        assert stored in EXPECTED[confirmed : confirmed + 2], call


def test_full_disk_has_an_error_of_its_own_and_stops_the_folder():
    content = builders_disk.MemoryFiles()
    folder = open_memory(content)
    content.fail_at = content.calls + 1
    content.failure = files.SpaceError("no space left")
    with pytest.raises(disk.FullError, match="no space left"):
        folder.write(CHANGES[:1])
    with pytest.raises(errors.DiskError, match="earlier write failed"):
        folder.write(CHANGES[:1])


@pytest.mark.parametrize("name", [disk.LOG, disk.SNAPSHOT, disk.IDENTITY])
def test_every_flipped_byte_is_found(name):
    content = builders_disk.MemoryFiles()
    write_all(content)
    data = bytes(content.names[name].data)
    for position in range(len(data)):
        content.names[name].data[position] ^= 0x41
        with pytest.raises(errors.DiskError):
            open_memory(content)
        content.names[name].data[position] ^= 0x41
    assert bytes(content.names[name].data) == data
    assert open_memory(content).stored == EXPECTED[-1]


def test_torn_tail_is_cut_and_counted():
    content = builders_disk.MemoryFiles()
    folder = open_memory(content)
    for change in CHANGES[:3]:
        folder.write([change])
    half = records.encode_record(records.Record(3, 0, b"x" * 100))[:60]
    content.append(disk.LOG, half)
    reopened = open_memory(content)
    assert reopened.torn_bytes == 60
    assert reopened.stored == EXPECTED[3]
    reopened.write([CHANGES[3]])
    assert open_memory(content).stored == EXPECTED[4]


def test_lost_log_is_an_error():
    content = builders_disk.MemoryFiles()
    write_all(content)
    del content.names[disk.LOG]
    with pytest.raises(disk.CorruptError, match="missing"):
        open_memory(content)


def test_folder_of_another_replica_is_refused():
    content = builders_disk.MemoryFiles()
    write_all(content)
    with pytest.raises(disk.ForeignFolderError, match="belongs to replica a"):
        disk.open_folder(content, "b", 5)


def test_unknown_format_version_is_refused(monkeypatch):
    content = builders_disk.MemoryFiles()
    write_all(content)
    monkeypatch.setattr(disk, "FORMAT_VERSION", 2)
    with pytest.raises(disk.FormatError, match="format version 1"):
        open_memory(content)


def test_copied_folder_is_refused(tmp_path):
    original = str(tmp_path / "original")
    disk.open_folder(files.Files(original), "a", 5).close()
    shutil.copytree(original, tmp_path / "copy")
    with pytest.raises(disk.ForeignFolderError, match="copy"):
        disk.open_folder(files.Files(str(tmp_path / "copy")), "a", 5)
    restored = files.Files(str(tmp_path / "copy"))
    disk.open_folder(restored, "a", 5, detects_copies=False).close()


def test_folder_with_other_files_is_refused(tmp_path):
    (tmp_path / "letter.txt").write_text("not ours")
    with pytest.raises(disk.ForeignFolderError, match=r"letter\.txt"):
        disk.open_folder(files.Files(str(tmp_path)), "a", 5)
    assert (tmp_path / "letter.txt").read_text() == "not ours"


def test_real_files_keep_all_over_a_restart(tmp_path):
    folder = disk.open_folder(files.Files(str(tmp_path)), "a", 5)
    folder.write(CHANGES)
    with pytest.raises(disk.LockedError):
        disk.open_folder(files.Files(str(tmp_path)), "a", 5)
    folder.close()
    reopened = disk.open_folder(files.Files(str(tmp_path)), "a", 6)
    assert (reopened.folder_id, reopened.stored) == (5, EXPECTED[-1])
