"""Tests of settings files that change while a process runs."""

import asyncio
import os
import signal

import structlog

from amaranthspar import errors, reloading


def parse(text: str) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise errors.SettingsError([f"{text!r}: no number"]) from error


def build_reloader(path, current: int = 1):
    path.write_text(str(current))
    applied: list[int] = []
    reloader = reloading.Reloader(path, parse, current)
    reloader.subscribe(applied.append)
    return reloader, applied


def test_changed_file_is_applied_once(tmp_path):
    path = tmp_path / "settings"
    reloader, applied = build_reloader(path)
    assert not reloader.reload()
    path.write_text("2")
    assert reloader.reload()
    assert not reloader.reload()
    assert applied == [1, 2]


def test_subscriber_gets_settings_that_changed_while_it_was_set_up(tmp_path):
    path = tmp_path / "settings"
    reloader, _ = build_reloader(path)
    path.write_text("2")
    reloader.reload()
    late: list[int] = []
    reloader.subscribe(late.append)
    assert late == [2]


def test_faulty_file_changes_nothing_and_is_logged_once(tmp_path):
    path = tmp_path / "settings"
    reloader, applied = build_reloader(path)
    with structlog.testing.capture_logs() as logs:
        for content in (b"no number", b"\xff"):
            path.write_bytes(content)
            assert not reloader.reload()
            assert not reloader.reload()
        path.unlink()
        assert not reloader.reload()
        assert not reloader.reload()
    assert [item["event"] for item in logs] == ["settings reload failed"] * 3
    path.write_text("3")
    assert reloader.reload()
    assert applied == [1, 3]


def test_signal_reads_the_file_at_once(tmp_path):
    path = tmp_path / "settings"
    reloader, applied = build_reloader(path)

    async def run() -> None:
        reloader.start()
        path.write_text("2")
        os.kill(os.getpid(), signal.SIGHUP)
        for _ in range(100):
            if applied == [1, 2]:
                break
            await asyncio.sleep(0.002)
        reloader.close()

    asyncio.run(run())
    assert applied == [1, 2]
