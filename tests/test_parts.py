"""Tests of documents that are fetched in parts, on slow links and beside changes."""

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from amaranthspar.membership import documents, parts
from amaranthspar.schema import viewmessages
from tests import builders_contact, builders_transfers

SITE_LINK = 12_500 / 8
"""Bytes in a ms on a link of 12.5 Mbit/s."""
THIN_LINK = 2_000 / 8
APPLY_LIMIT_MS = 3_000
"""Time within which an accepted configuration is to be in force on the largest site."""
WARM_UP_MS = 5_000
LIMIT_MS = 60_000
REQUEST = attrs.evolve(
    builders_contact.build_announcement(), wants_document=True, max_part_bytes=10
)


def build_gateway(bytes_per_ms: float) -> builders_transfers.SlowGateway:
    built = builders_transfers.SlowGateway(bytes_per_ms)
    built.put(1, b"v1")
    built.pass_time(WARM_UP_MS)
    built.sent_bytes = 0
    return built


@pytest.mark.parametrize("size", [10_000, 200_000, 900_000])
@pytest.mark.parametrize("gateways", [5, 20])
def test_large_document_is_in_force_in_time_and_sent_once_on_slow_links(size, gateways):
    content = bytes(size)
    fleet = [build_gateway(SITE_LINK) for _ in range(gateways)]
    for position, gateway in enumerate(fleet):
        gateway.pass_time(position * builders_transfers.TICK_MS)
        gateway.sent_bytes = 0
        assert gateway.find_delay_ms(2, content, LIMIT_MS) < APPLY_LIMIT_MS
        assert gateway.received[-1][1] == content
        assert gateway.sent_bytes < 1.2 * size + 10_000
        assert gateway.lost == 0


def test_document_that_takes_longer_than_a_link_may_be_silent_arrives():
    """Its connection was replaced while it was on the way, again and again."""
    content = bytes(range(250)) * 2_000
    gateway = build_gateway(THIN_LINK)
    alone_ms = len(content) / THIN_LINK
    assert gateway.find_delay_ms(2, content, LIMIT_MS) < 1.5 * alone_ms + 500
    assert gateway.received[-1][1] == content
    assert gateway.sent_bytes < 1.2 * len(content)


def test_changes_in_quick_succession_do_not_keep_a_slow_gateway_from_documents():
    """A document that is begun anew with each change never arrives."""
    gateway = build_gateway(THIN_LINK)
    for version in range(2, 12):
        gateway.put(version, bytes([version]) * 400_000)
        gateway.pass_time(1_000)
    assert len(gateway.received) >= 4
    for _, content in gateway.received[1:]:
        assert content == content[:1] * 400_000
    gateway.pass_time(5_000)
    assert gateway.announcer.version == 11


def test_document_is_continued_at_another_controller():
    content = bytes(range(250)) * 2_000
    gateway = build_gateway(THIN_LINK)
    gateway.put(2, content)
    gateway.pass_time(1_000)
    received = gateway.announcer.transfer.offset
    assert received > parts.PART_BYTES
    gateway.silent.add(gateway.announcer.transfer.source)
    gateway.pass_time(3_000)
    assert gateway.announcer.version == 2
    assert gateway.received[-1][1] == content
    assert gateway.sent_bytes < 1.3 * len(content)


@hypothesis.given(
    strategies.binary(min_size=1, max_size=100),
    strategies.lists(
        strategies.tuples(strategies.integers(0, 120), strategies.booleans())
    ),
)
def test_parts_in_any_order_give_the_whole_document_or_none(content, arrivals):
    transfer = parts.Transfer()
    held = {2: b"older" * 10, 3: content}
    order = [*arrivals, *((offset, True) for offset in range(0, 101, 10))]
    for offset, is_newest in order:
        request = attrs.evolve(
            REQUEST, part_version=3 if is_newest else 2, part_offset=offset
        )
        part = parts.cut_part(held, request)
        whole = transfer.receive(part, 0)
        assert whole in (None, held[part.version])


@pytest.mark.parametrize("offset", [-1, 5, 10**9])
@pytest.mark.parametrize("version", [documents.NO_VERSION, 1, 2, 7])
def test_odd_request_for_a_part_gets_the_newest_document_from_its_start(
    offset, version
):
    request = attrs.evolve(REQUEST, part_version=version, part_offset=offset)
    part = parts.cut_part({2: b"12345"}, request)
    assert (part.version, part.size) == (2, 5)
    assert part.offset == 0
    assert part.content == b"12345"


def test_process_without_a_document_sends_no_part():
    request = attrs.evolve(REQUEST, document_version=-5)
    assert parts.cut_part({}, request) is None


def test_process_without_parts_gets_and_sends_whole_documents():
    """During an upgrade, one of both knows no parts."""
    request = attrs.evolve(REQUEST, max_part_bytes=0)
    part = parts.cut_part({2: b"12345" * 100_000}, request)
    assert len(part.content) == 500_000
    whole = viewmessages.View(2, 0, [], [], [], [], 0, 0, b"12345")
    assert parts.Transfer().receive(parts.read_part(whole), 0) == b"12345"


def test_only_some_previous_documents_are_held():
    state = documents.Documents()
    for version in range(10):
        state.put(viewmessages.PutDocument("r", version, b"document"))
    assert sorted(state.list_held()) == [6, 7, 8, 9]


def test_waiting_time_grows_with_each_request_and_starts_again_after_a_part():
    transfer = parts.Transfer()
    waits, now_ms = [], 0
    for _ in range(6):
        transfer.note_request("a", now_ms)
        began_ms = now_ms
        while not transfer.is_due(now_ms):
            now_ms += 100
        waits.append(now_ms - began_ms)
    assert waits == [400, 800, 1_600, 3_200, 3_200, 3_200]
    transfer.receive(parts.Part(2, 0, 10, b"12345"), now_ms)
    assert transfer.is_due(now_ms)
    transfer.receive(parts.Part(2, 5, 10, b"12345"), now_ms)
    transfer.note_request("a", now_ms)
    assert transfer.is_due(now_ms + parts.RETRY_MS)
