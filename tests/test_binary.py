"""Tests of the zipapp that bundles the program with its dependencies."""

import contextlib
import os
import pathlib

import psutil

from tests import builders_shell
from tools import bundle


def list_open_files(pid: int) -> list[str]:
    """Return the targets of open file descriptors, skipping those closed meanwhile."""
    folder = f"/proc/{pid}/fd"
    files = []
    for name in os.listdir(folder):
        with contextlib.suppress(FileNotFoundError):
            files.append(os.readlink(f"{folder}/{name}"))
    return files


def test_zipapp_serves_requests_without_child_processes_or_io_uring(
    tmp_path: pathlib.Path,
) -> None:
    target = tmp_path / "dist" / "amaranthspar"
    bundle.build_zipapp(target)
    served = builders_shell.ServedDemo(
        program=(str(target),), SHIV_ROOT=str(tmp_path / "unpacked"), PYTHONPATH=""
    )
    try:
        served.wait_ready()
        answer = builders_shell.call(
            f"{served.urls[0]}/v1/services/lookup/requests", "POST", b'{"echo": 1}'
        )
        assert answer.decode()["echo"] == 1
        process = psutil.Process(served.process.pid)
        assert process.children(recursive=True) == []
        files = list_open_files(process.pid)
        assert len(files) > 10
        assert not [name for name in files if "io_uring" in name]
        maps = pathlib.Path(f"/proc/{process.pid}/maps").read_text()
        assert "/dev/shm" not in maps
    finally:
        code = served.stop()
    assert code == 0
