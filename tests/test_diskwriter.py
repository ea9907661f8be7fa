"""Tests of controllers whose disks are full, fail or hang for a while, in turn."""

import asyncio
import contextlib
import errno
import json
import pathlib

import aiohttp
import pytest
import structlog
import uvloop

from amaranthspar import errors, ports
from amaranthspar.consensus import transitions
from amaranthspar.platform import operators, servers
from amaranthspar.registry import documentrequests
from amaranthspar.roles import controller, diskwriter
from amaranthspar.schema import messages
from amaranthspar.storage import disk, files
from tests import builders_control, builders_disk, builders_platform

ACK_S = 4
"""Time within which a change of an operator must be acknowledged."""
OUTAGE_S = 0.8
HANG = 0
"""Stands for a disk that hangs, among the numbers of errors."""


class Disks:
    """Disks of the controllers of a cluster, by replica id."""

    def __init__(self, monkeypatch) -> None:
        self.by_name: dict[str, builders_disk.RefusingFiles] = {}
        self.at_start: dict[str, int] = {}
        monkeypatch.setattr(controller.files, "Files", self._open)

    def _open(self, folder):
        name = pathlib.Path(folder).name
        item = self.by_name.get(name)
        if item is None or item.folder != folder:
            item = builders_disk.RefusingFiles(folder, self.at_start.get(name, 0))
            self.by_name[name] = item
        return item

    def disturb(self, name, error) -> None:
        if error == HANG:
            self.by_name[name].stall_s = OUTAGE_S
        else:
            self.by_name[name].error = error


def run(scenario, tmp_path, monkeypatch, names=("a", "b", "c"), **at_start):
    async def main():
        disks = Disks(monkeypatch)
        disks.at_start = at_start
        cluster = builders_control.Cluster(tmp_path, names)
        try:
            await cluster.start()
            await scenario(cluster, disks)
        finally:
            cluster.close()

    uvloop.run(main())


async def put(cluster, version, first=None, without=None):
    """Put a document as an operator's tool does, which goes on to another controller.

    Returns the acknowledged version.
    """
    names = [name for name in cluster.running if name != without]
    names.sort(key=lambda name: name != first)
    async with asyncio.timeout(ACK_S):
        while True:
            for name in names:
                role = cluster.running[name]
                try:
                    state = await role.document_requests.put(version, b"%d" % version)
                    return state.version
                except documentrequests.UnavailableError:
                    continue


def is_settled(role, version):
    journal = role.machine.journal
    return (
        role.state.documents.version == version
        and journal.is_synced
        and journal.is_vote_synced
        and journal.durable_index == journal.log.last_index
        and not journal._pending_sends
        and not journal._pending_writes
    )


async def check_all_hold(cluster, version):
    """Check that each replica has a version in force, on disk, and reads it back."""
    async with asyncio.timeout(ACK_S):
        while not all(is_settled(item, version) for item in cluster.running.values()):
            await asyncio.sleep(0.01)
    for role in cluster.running.values():
        async with asyncio.timeout(ACK_S):
            state = await role.document_requests.fetch()
        assert (state.version, state.content) == (version, b"%d" % version)
    leading = next(item for item in cluster.running.values() if item.leading)
    peers = leading.machine.leading.peers
    async with asyncio.timeout(ACK_S):
        while any(
            item.match < leading.machine.journal.log.last_index
            for item in peers.values()
        ):
            await asyncio.sleep(0.01)


def check_stored(cluster, version):
    """Check what each replica would read after a restart."""
    names = list(cluster.running)
    cluster.close()
    for name in names:
        folder = disk.open_folder(files.Files(str(cluster.folder / name)), name, 1)
        versions = [
            item.payload for item in folder.stored.entries if item.kind == "PutDocument"
        ]
        assert folder.torn_bytes == 0
        assert any(b"%d" % version in item for item in versions)
        folder.close()


@pytest.mark.parametrize("names", ["abc", "abcde"])
@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EROFS, HANG])
def test_disks_that_fail_in_turn_hold_up_no_change(tmp_path, monkeypatch, names, error):
    async def scenario(cluster, disks):
        leader = await cluster.find_leader()
        version = 0
        for name in sorted(names, key=lambda item: item != leader):
            disks.disturb(name, error)
            for asked in names:
                version += 1
                assert await put(cluster, version, asked) == version
            await asyncio.sleep(OUTAGE_S)
            disks.by_name[name].release()
        version += 1
        assert await put(cluster, version) == version
        await check_all_hold(cluster, version)
        assert not any(item.stopped.is_set() for item in cluster.running.values())
        check_stored(cluster, version)

    run(scenario, tmp_path, monkeypatch, tuple(names))


def test_each_leader_has_a_full_disk_when_another_replica_is_restarted(
    tmp_path, monkeypatch
):
    """A vote that waits for room is given late and keeps nobody from leading."""

    async def scenario(cluster, disks):
        version = 0
        for _ in range(3):
            leader = await cluster.find_leader()
            full = next(item for item in cluster.running if item != leader)
            disks.disturb(full, errno.ENOSPC)
            stopping = cluster.running.pop(leader)
            await stopping.stop()
            await cluster.start(leader)
            version += 1
            assert await put(cluster, version) == version
            await asyncio.sleep(OUTAGE_S)
            disks.by_name[full].release()
            version += 1
            assert await put(cluster, version) == version
            await check_all_hold(cluster, version)

    run(scenario, tmp_path, monkeypatch)


async def call(session, method, addresses, path, body=None):
    """Call one controller after the other, 1 s each, as an operator's tool does."""
    async with asyncio.timeout(ACK_S):
        while True:
            for address in addresses:
                url = f"http://{address}{path}"
                timeout = aiohttp.ClientTimeout(total=1)
                with contextlib.suppress(TimeoutError, aiohttp.ClientError):
                    async with session.request(
                        method, url, data=body, timeout=timeout
                    ) as response:
                        if response.status == 200:
                            return json.loads(await response.read())


@pytest.mark.parametrize("error", [errno.ENOSPC, HANG])
def test_operators_are_answered_while_disks_fail_in_turn(tmp_path, monkeypatch, error):
    """The platform's own interface: configuration, and domains out of service."""

    async def scenario(cluster, disks):
        leader = await cluster.find_leader()
        opened = []
        addresses = ports.find_addresses(len(cluster.running))
        for role, address in zip(cluster.running.values(), addresses, strict=True):
            handler = operators.Operators(role.document_requests)
            opened.append(servers.Server(handler.handle))
            await opened[-1].open(address)
        version = 0
        async with aiohttp.ClientSession() as session:
            for name in sorted(cluster.running, key=lambda item: item != leader):
                disks.disturb(name, error)
                for first in addresses:
                    asked = sorted(addresses, key=lambda item: item != first)
                    version += 1
                    body = builders_platform.build_configuration(version)
                    await call(session, "POST", asked, operators.PUT_PATH, body)
                    found = await call(session, "GET", asked, operators.GET_PATH)
                    assert found == json.loads(body)
                    for action in (operators.START, operators.FINISH):
                        path = f"{operators.DOMAIN_PATH}east/{action}"
                        await call(session, "POST", asked, path)
                await asyncio.sleep(OUTAGE_S)
                disks.by_name[name].release()
        async with asyncio.timeout(ACK_S):
            while not all(is_settled(i, version) for i in cluster.running.values()):
                await asyncio.sleep(0.01)
        for server in opened:
            await server.close()

    run(scenario, tmp_path, monkeypatch)


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_first_start_with_a_full_disk_forms_the_cluster_later(
    tmp_path, monkeypatch, error
):
    async def main():
        disks = Disks(monkeypatch)
        disks.at_start = {"c": error}
        cluster = builders_control.Cluster(tmp_path)
        try:
            starting = asyncio.ensure_future(cluster.start())
            await asyncio.sleep(OUTAGE_S)
            assert not starting.done()
            disks.by_name["c"].release()
            await starting
            await cluster.find_leader()
            assert await put(cluster, 1) == 1
            await check_all_hold(cluster, 1)
        finally:
            cluster.close()

    uvloop.run(main())


def test_replica_restarted_on_a_full_disk_takes_part_once_there_is_room(
    tmp_path, monkeypatch
):
    async def scenario(cluster, disks):
        leader = await cluster.find_leader()
        assert await put(cluster, 1) == 1
        disks.disturb(leader, errno.ENOSPC)
        assert await put(cluster, 2) == 2
        cluster.kill(leader)
        starting = asyncio.ensure_future(cluster.start(leader))
        await asyncio.sleep(OUTAGE_S)
        assert await put(cluster, 3, without=leader) == 3
        disks.by_name[leader].release()
        await starting
        assert await put(cluster, 4) == 4
        await check_all_hold(cluster, 4)

    run(scenario, tmp_path, monkeypatch)


def test_snapshots_that_are_due_on_a_full_disk_are_saved_later(tmp_path, monkeypatch):
    monkeypatch.setattr(controller, "SNAPSHOT_ENTRIES", 5)

    async def scenario(cluster, disks):
        leader = await cluster.find_leader()
        version = 0
        for name in sorted("abc", key=lambda item: item != leader):
            disks.disturb(name, errno.ENOSPC)
            for _ in range(25):
                version += 1
                assert await put(cluster, version, name) == version
            writer = cluster.running[name]._writer
            await asyncio.sleep(2 * diskwriter.RETRY_MS / 1000)
            snapshots = [
                item
                for item in writer._pending
                if isinstance(item, transitions.SaveSnapshot)
            ]
            assert len(snapshots) <= 2
            disks.by_name[name].release()
        await check_all_hold(cluster, version)
        newest = {
            name: role.machine.journal.snapshot.index
            for name, role in cluster.running.items()
        }
        names = list(cluster.running)
        cluster.close()
        for name in names:
            folder = disk.open_folder(files.Files(str(tmp_path / name)), name, 1)
            assert folder.stored.snapshot.index == newest[name]
            folder.close()

    run(scenario, tmp_path, monkeypatch)


def test_begin_and_end_of_a_full_disk_are_logged_once(tmp_path, monkeypatch):
    async def scenario(cluster, disks):
        leader = await cluster.find_leader()
        with structlog.testing.capture_logs() as lines:
            disks.disturb(leader, errno.ENOSPC)
            assert await put(cluster, 1) == 1
            await asyncio.sleep(OUTAGE_S)
            disks.by_name[leader].release()
            await check_all_hold(cluster, 1)
        found = [item for item in lines if "data folder" in item["event"]]
        assert [item["event"] for item in found] == [
            "data folder failed",
            "data folder works again",
        ]
        assert {item["name"] for item in found} == {leader}
        assert "No space left on device" in found[0]["error"]
        assert found[1]["attempts"] >= 3
        assert found[1]["failing_ms"] >= 1000 * OUTAGE_S / 2
        assert cluster.running[leader]._outage.failures == found[1]["attempts"]

    run(scenario, tmp_path, monkeypatch)


class SmallFolder:
    """Data folder that has room for single changes only, a given number of times."""

    def __init__(self, refusals):
        self.refusals = refusals
        self.sizes = []
        self.written = []

    def write(self, changes):
        self.sizes.append(len(changes))
        if len(changes) > 1 and self.refusals:
            self.refusals -= 1
            raise disk.FullError("no space left")
        self.written += [item.number for item in changes]


def test_failed_batch_is_repeated_in_small_parts_within_one_outage(monkeypatch):
    monkeypatch.setattr(diskwriter, "RETRY_MS", 1)
    changes = builders_disk.build_changes()[:8]
    folder = SmallFolder(3)
    confirmed = []

    async def main():
        writer = diskwriter.DiskWriter(
            folder, diskwriter.Outage("a"), confirmed.append, pytest.fail
        )
        for change in changes:
            writer.add(change)
        async with asyncio.timeout(ACK_S):
            while confirmed[-1:] != [8]:
                await asyncio.sleep(0.001)
        writer.close()

    with structlog.testing.capture_logs() as lines:
        asyncio.run(main())
    assert folder.written == [1, 2, 3, 4, 5, 6, 7, 8]
    assert folder.sizes == [1, 7, 1, 6, 1, 5, 1, 4]
    assert confirmed == [1, 2, 3, 4, 8]
    assert [item["event"] for item in lines] == [
        "data folder failed",
        "data folder works again",
    ]


def test_long_outage_is_logged_at_intervals(monkeypatch):
    monkeypatch.setattr(diskwriter, "REPORT_MS", 0)
    outage = diskwriter.Outage("a")
    with structlog.testing.capture_logs() as lines:
        outage.record_success()
        for _ in range(3):
            outage.record_failure(errors.DiskError("no room"))
        outage.record_success()
    assert [item.get("attempts") for item in lines] == [1, 2, 3, 3]
    assert outage.failures == 3


def test_changes_before_a_snapshot_are_superseded():
    changes = builders_disk.build_changes()
    kept = diskwriter.drop_superseded(changes)
    assert [item.number for item in kept] == [14, 15]
    assert diskwriter.drop_superseded(changes[:8]) == changes[:8]
    assert diskwriter.drop_superseded([]) == []


def test_stored_content_is_the_same_without_superseded_changes(tmp_path):
    changes = builders_disk.build_changes()
    stored = []
    for name, kept in (("all", changes), ("some", diskwriter.drop_superseded(changes))):
        folder = disk.open_folder(files.Files(str(tmp_path / name)), "a", 5)
        folder.write(kept)
        folder.close()
        stored.append(disk.open_folder(files.Files(str(tmp_path / name)), "a", 5))
    assert stored[0].stored == stored[1].stored
    assert isinstance(stored[0].stored.snapshot, messages.LogSnapshot)
    for folder in stored:
        folder.close()
