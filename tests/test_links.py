"""Tests of links between processes."""

import asyncio
import contextlib
import socket
import struct

import pytest
import structlog

from amaranthspar import errors
from amaranthspar.network import connections, heartbeats, links
from amaranthspar.schema import messages, options
from tests import builders_links

INTERVAL_MS = 500
ATTEMPTS = 15


@contextlib.asynccontextmanager
async def open_links(*peers):
    try:
        for peer in peers:
            await peer.links.open()
        yield
    finally:
        for peer in peers:
            peer.links.close()


def test_unresponsive_link_is_redialled():
    async def run() -> None:
        here, there = builders_links.Peer("here"), builders_links.Peer("there")
        relay = builders_links.Relay(there.address)
        async with open_links(here, there):
            there.links.address = relay.address
            await relay.open()
            here.send(relay.address, 1)
            await there.wait_for(1)
            relay.stop_forwarding()
            here.send(relay.address, 2)
            await builders_links.wait_for_count(here, "links.redialled", 1)
            here.send(relay.address, 3)
            await there.wait_for(3)
            assert 2 not in there.received
            relay.close()

    asyncio.run(run())


def test_link_to_absent_peer_stays_idle_until_either_side_sends():
    async def run() -> None:
        here, there = builders_links.Peer("here"), builders_links.Peer("there")
        async with open_links(here):
            for number in (1, 2):
                here.send(there.address, number)
                await builders_links.wait_for_count(here, "links.rested", number)
            assert here.links.counts["links.redialled"] == 0
            async with open_links(there):
                here.send(there.address, 3)
                await there.wait_for(3)
            here.send(there.address, 4)
            await builders_links.wait_for_count(here, "links.rested", 3)
            restarted = builders_links.Peer("there", address=there.address)
            restarted.links.incarnation = 2
            async with open_links(restarted):
                restarted.send(here.address, 5)
                await here.wait_for(5)
                await builders_links.wait_for_count(
                    restarted, "links.frames.received", 1
                )

    asyncio.run(run())


def test_busy_link_sends_no_probes():
    async def run() -> None:
        here, there = builders_links.Peer("here"), builders_links.Peer("there")
        async with open_links(here, there):
            for number in range(1, 21):
                here.send(there.address, number)
                await there.wait_for(number)
                there.send(here.address, number)
                await here.wait_for(number)
            assert here.links.counts["links.redialled"] == 0
            assert here.links.counts["sent.peer.LeaseDenied"] == 20

    asyncio.run(run())


def test_restarted_peer_is_reachable_at_same_address():
    async def run() -> None:
        here, there = builders_links.Peer("here"), builders_links.Peer("there")
        async with open_links(here):
            await there.links.open()
            here.send(there.address, 1)
            await there.wait_for(1)
            there.links.close()
            restarted = builders_links.Peer("there", address=there.address)
            restarted.links.incarnation = 2
            async with open_links(restarted):
                restarted.send(here.address, 2)
                await here.wait_for(2)
                for _ in range(ATTEMPTS):
                    here.send(restarted.address, 3)
                    await asyncio.sleep(0.05)
                await restarted.wait_for(3)

    asyncio.run(run())


def test_oversized_message_is_dropped_and_counted(monkeypatch):
    monkeypatch.setattr(links, "MAX_MESSAGE_BYTES", 1000)

    async def run() -> None:
        here, there = builders_links.Peer("here"), builders_links.Peer("there")
        async with open_links(here, there):
            large = messages.LeaseDenied(1, "x" * 2000)
            here.links.send(there.address, large)
            here.send(there.address, 2)
            await there.wait_for(2)
            assert there.received == [2]
            assert here.links.counts["links.messages.oversized"] == 1

    asyncio.run(run())


def test_queue_to_unreachable_peer_is_bounded(monkeypatch):
    monkeypatch.setattr(links, "QUEUE_BYTES", 10_000)

    async def run() -> None:
        here = builders_links.Peer("here")
        async with open_links(here):
            for number in range(3000):
                here.send("127.0.0.1:1", number)
            assert here.links.counts["links.messages.dropped"] > 0

    asyncio.run(run())


@pytest.mark.parametrize(
    "data",
    [
        b"garbage",
        struct.pack(">I", links.MAX_FRAME_BYTES + 1),
        struct.pack(">I", 0xFFFFFFFF),
        struct.pack(">I", 3) + b"\xff\xff\xff",
        struct.pack(">I", 0) * 3,
    ],
)
def test_malformed_data_does_not_disturb_other_connections(data):
    async def run() -> None:
        here, there = builders_links.Peer("here"), builders_links.Peer("there")
        async with open_links(here, there):
            host, port = there.address.split(":")
            with socket.create_connection((host, int(port))) as raw:
                raw.sendall(data)
                here.send(there.address, 1)
                await there.wait_for(1)

    asyncio.run(run())


def test_address_in_use_is_an_error():
    async def run() -> None:
        here = builders_links.Peer("here")
        async with open_links(here):
            other = builders_links.Peer("other", address=here.address)
            with pytest.raises(errors.LinkError, match="cannot listen"):
                await other.links.open()
            other.links.close()

    asyncio.run(run())


def test_malformed_address_is_counted_and_logged():
    async def run() -> None:
        here = builders_links.Peer("here")
        async with open_links(here):
            with structlog.testing.capture_logs() as lines:
                for _ in range(100):
                    here.send("no address", 1)
            assert here.links.counts["links.addresses.invalid"] == 100
            assert [line["event"] for line in lines] == ["address not dialled"]
            assert "no address" in lines[0]["reason"]

    asyncio.run(run())


@pytest.mark.parametrize(
    "message",
    [
        messages.LeaseDenied(2**64, "no_quorum"),
        messages.LeaseDenied(-(2**70), "no_quorum"),
        messages.TaskResult("\ud800", 1, "done"),
    ],
)
def test_message_that_cannot_be_encoded_is_dropped_and_later_ones_arrive(message):
    async def run() -> None:
        here, there = builders_links.Peer("here"), builders_links.Peer("there")
        async with open_links(here, there):
            here.send(there.address, 1)
            with structlog.testing.capture_logs() as lines:
                here.links.send(there.address, message)
            here.send(there.address, 2)
            await there.wait_for(2)
            assert there.received == [1, 2]
            assert here.links.counts["links.messages.unencodable"] == 1
            assert [line["event"] for line in lines] == ["message not sent"]
            assert type(message).__name__ in lines[0]["reason"]

    asyncio.run(run())


@pytest.mark.parametrize(
    "data", [b"", b"\xff" * 10, b"\x91" * 100_000, b"GET / HTTP/1.1", b"\x97\xa1\xff"]
)
def test_odd_frames_are_logged_once_and_the_connection_stays(data):
    async def run() -> None:
        here, there = builders_links.Peer("here"), builders_links.Peer("there")
        async with open_links(here, there):
            here.send(there.address, 1)
            await there.wait_for(1)
            with structlog.testing.capture_logs() as lines:
                connection = here.links._peers[there.address].connection
                for _ in range(20):
                    connection.send(data)
                here.send(there.address, 2)
                await there.wait_for(2)
            assert there.links.counts["links.frames.rejected"] == 20
            assert [line["event"] for line in lines] == ["frame rejected"]
            assert lines[0]["reason"]
            assert here.links._peers[there.address].connection is connection

    asyncio.run(run())


@pytest.mark.parametrize(
    "port",
    ["", "0", "65536", "99999", "-1", "8_0", " 80", "\u0663", "1e3", "9" * 5_000],
)
def test_address_with_odd_port_is_not_dialled(port):
    async def run() -> None:
        here = builders_links.Peer("here")
        async with open_links(here):
            here.send(f"127.0.0.1:{port}", 1)
            assert here.links.counts["links.addresses.invalid"] == 1
            assert not here.links._peers

    asyncio.run(run())


def test_connection_is_retried_after_the_host_could_not_be_encoded():
    async def run() -> None:
        address = f"fe80::1%{'x' * 100}:80"
        connection = connections.OutgoingConnection(address, None)
        await asyncio.sleep(0.1)
        assert not connection._connect_task.done()
        connection.close()

    asyncio.run(run())


def test_peers_with_valid_certificates_exchange_messages(tmp_path):
    async def run() -> None:
        authority = builders_links.Authority(tmp_path, "ca")
        here = builders_links.Peer("here", authority.build_section("here"))
        there = builders_links.Peer("there", authority.build_section("there"))
        async with open_links(here, there):
            here.send(there.address, 1)
            await there.wait_for(1)
            there.send(here.address, 2)
            await here.wait_for(2)

    asyncio.run(run())


@pytest.mark.parametrize("fault", ["authority", "expired", "plain", "name"])
def test_peer_without_valid_certificate_is_rejected(tmp_path, fault):
    async def run() -> None:
        authority = builders_links.Authority(tmp_path, "ca")
        untrusted = builders_links.Authority(tmp_path, "stranger")
        section = {
            "authority": untrusted.build_section("bad", authority),
            "expired": authority.build_section("bad", days=-1),
            "plain": options.LinkOptions(40),
            "name": authority.build_section("other"),
        }[fault]
        there = builders_links.Peer("there", authority.build_section("there"))
        good = builders_links.Peer("good", authority.build_section("good"))
        bad = builders_links.Peer("bad", section)
        async with open_links(there, good, bad):
            for _ in range(ATTEMPTS):
                bad.send(there.address, 1)
                await asyncio.sleep(0.02)
            good.send(there.address, 2)
            await there.wait_for(2)
            assert 1 not in there.received

    asyncio.run(run())


def build_health() -> heartbeats.Heartbeats:
    return heartbeats.Heartbeats(INTERVAL_MS, 0)


def test_unacknowledged_frame_causes_probe_then_redial():
    health = build_health()
    health.note_sent(0)
    actions = []
    for now_ms in range(INTERVAL_MS, 4 * INTERVAL_MS, INTERVAL_MS):
        action = health.tick(now_ms)
        actions.append(action)
        if action is heartbeats.Action.PROBE:
            health.note_sent(now_ms)
    assert actions == [
        heartbeats.Action.NONE,
        heartbeats.Action.PROBE,
        heartbeats.Action.REDIAL,
    ]


def test_acknowledgement_is_sent_only_if_no_frame_carries_it():
    health = build_health()
    health.note_received(1, 1, 0, 0)
    assert health.tick(INTERVAL_MS - 1) is heartbeats.Action.NONE
    assert health.tick(INTERVAL_MS) is heartbeats.Action.ACKNOWLEDGE
    health.note_sent(INTERVAL_MS)
    assert health.tick(INTERVAL_MS + 1) is heartbeats.Action.NONE
    health.note_received(1, 2, 1, INTERVAL_MS + 2)
    health.note_received(1, 3, 1, 2 * INTERVAL_MS)
    assert health.tick(2 * INTERVAL_MS + 2) is heartbeats.Action.ACKNOWLEDGE


def test_acknowledgement_is_sent_before_peer_times_out():
    sender, receiver = build_health(), build_health()
    receiver.note_received(1, sender.note_sent(0), 0, 0)
    tick_ms = INTERVAL_MS // 2
    for now_ms in range(0, 3 * INTERVAL_MS, tick_ms):
        assert sender.tick(now_ms) is heartbeats.Action.NONE
        if receiver.tick(now_ms) is heartbeats.Action.ACKNOWLEDGE:
            receiver.note_acknowledgement()
            sender.note_received(1, 0, receiver.last_received, now_ms)


def test_idle_link_is_probed_only_after_idle_interval():
    health = build_health()
    health.note_received(1, 0, health.note_sent(0), 10)
    idle_ms = range(0, heartbeats.IDLE_PROBE_INTERVALS * INTERVAL_MS, INTERVAL_MS)
    assert {health.tick(now_ms) for now_ms in idle_ms} == {heartbeats.Action.NONE}
    later_ms = heartbeats.IDLE_PROBE_INTERVALS * INTERVAL_MS
    assert health.tick(later_ms) is heartbeats.Action.PROBE


def test_acknowledgement_of_unsent_number_is_ignored():
    health = build_health()
    health.note_sent(0)
    health.note_received(1, 0, 500, 10)
    assert health.tick(3 * INTERVAL_MS) is heartbeats.Action.REDIAL


def test_unused_link_is_closed():
    health = build_health()
    unused_ms = heartbeats.UNUSED_INTERVALS * INTERVAL_MS
    assert health.tick(unused_ms) is heartbeats.Action.CLOSE
    health.note_use(unused_ms)
    assert health.tick(unused_ms) is not heartbeats.Action.CLOSE


def test_timeout_restarts_when_idle_link_is_redialled():
    health = build_health()
    health.note_sent(0)
    later_ms = 50 * INTERVAL_MS
    health.restart_timeout(later_ms)
    health.note_sent(later_ms)
    assert health.tick(later_ms + INTERVAL_MS) is heartbeats.Action.NONE
    assert health.tick(later_ms + 3 * INTERVAL_MS) is heartbeats.Action.REDIAL


def test_redial_by_peer_causes_probe_with_shorter_timeout():
    health = build_health()
    assert health.note_peer_redial() is heartbeats.Action.NONE
    health.note_received(1, 0, health.note_sent(0), 10)
    assert health.note_peer_redial() is heartbeats.Action.PROBE
    number = health.note_sent(20)
    assert health.tick(20 + INTERVAL_MS) is heartbeats.Action.REDIAL
    health.note_peer_redial()
    health.note_received(1, 0, number, 30 + INTERVAL_MS)
    assert health.tick(30 + 2 * INTERVAL_MS) is heartbeats.Action.NONE
