"""Tests of the one file that holds the program."""

import os
import pathlib

import psutil

from tests import builders_shell
from tools import bundle


def test_one_file_serves_without_children_or_io_uring(tmp_path: pathlib.Path) -> None:
    target = tmp_path / "dist" / "amaranthspar"
    bundle.build_file(target)
    served = builders_shell.Served(
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
        folder = f"/proc/{process.pid}/fd"
        files = [os.readlink(f"{folder}/{name}") for name in os.listdir(folder)]
        assert len(files) > 10
        assert not [name for name in files if "io_uring" in name]
        maps = pathlib.Path(f"/proc/{process.pid}/maps").read_text()
        assert "/dev/shm" not in maps
    finally:
        code = served.stop()
    assert code == 0
