"""Tests of how a process finds its controllers again after an absence."""

import attrs
import pytest
import structlog

from amaranthspar import processes
from amaranthspar.membership import announcer, contact, controllers, documents, peers
from amaranthspar.schema import viewmessages
from tests import builders_contact

LATE_MS = announcer.STARTUP_PERIOD_MS + announcer.CONTROLLER_TIMEOUT_MS + 10_000
"""Time at which a process that heard no controller looks for others."""


def build_announcer(role="gateway", seeds=("a", "b", "c")) -> announcer.Announcer:
    built = announcer.Announcer(builders_contact.build_announcement(role), list(seeds))
    built.tick(0)
    return built


def build_view(**changes) -> viewmessages.View:
    view = viewmessages.View(7, 1, [], ["a", "b", "c"], [], [], 0, 0, b"v7", 4, 0)
    return attrs.evolve(view, **changes)


def list_announced(built: announcer.Announcer, start_ms: int, rounds: int = 20):
    """Return the addresses that get announcements in some rounds."""
    step_ms = announcer.ANNOUNCE_INTERVAL_MS
    return {
        send.peer
        for number in range(rounds)
        for send in built.tick(start_ms + number * step_ms)
        if isinstance(send.message, viewmessages.Announce)
    }


def list_requests(built: announcer.Announcer, now_ms: int):
    return [
        send
        for send in built.tick(now_ms)
        if isinstance(send.message, viewmessages.FetchView)
    ]


def test_answer_of_an_outdated_controller_is_no_contact():
    built = build_announcer()
    age_ms = announcer.MAX_VIEW_AGE_MS + 1
    built.apply_view("a", build_view(view_age_ms=age_ms), LATE_MS)
    assert not built.has_recent_answer(LATE_MS)
    built.apply_view("b", build_view(view_age_ms=documents.NO_VIEW_AGE_MS), LATE_MS)
    assert not built.has_recent_answer(LATE_MS)
    built.apply_view("c", build_view(view_age_ms=age_ms - 1), LATE_MS)
    assert built.has_recent_answer(LATE_MS)


def test_process_that_hears_only_an_outdated_controller_asks_others():
    built = build_announcer()
    built.recent_peers.note("side:1")
    outdated = build_view(view_age_ms=announcer.MAX_VIEW_AGE_MS + 1)
    built.apply_view("a", outdated, LATE_MS)
    assert [item.peer for item in list_requests(built, LATE_MS)] == ["side:1"]


def test_replaced_controllers_take_no_turn():
    built = build_announcer()
    addresses = ["c", "d", "e"]
    built.apply_view("c", build_view(controllers=addresses), LATE_MS)
    assert list_announced(built, LATE_MS, rounds=4) == set(addresses)


def test_addresses_of_the_settings_are_asked_again_without_contact():
    built = build_announcer()
    built.apply_view("c", build_view(controllers=["c", "d"]), LATE_MS)
    silent_ms = LATE_MS + announcer.PEER_LIST_TIMEOUT_MS + 1
    assert list_announced(built, silent_ms) == {"a", "b", "c", "d"}
    assert built.apply_settings(["e"])
    assert list_announced(built, silent_ms + 10_000) == {"c", "d", "e"}


def test_controller_of_the_settings_keeps_its_turn_while_it_answers():
    """The stated set may be the one that is wrong, as after a recovery by hand."""
    built = build_announcer(seeds=["new"])
    built.apply_view("old", build_view(controllers=["old"]), 0)
    for now_ms in range(LATE_MS, LATE_MS + 3_000, announcer.ANNOUNCE_INTERVAL_MS):
        view = build_view(controllers=["new"], controllers_revision=2)
        built.apply_view("new", view, now_ms)
        assert "new" in built.list_asked(now_ms)


def test_number_of_known_addresses_is_independent_of_the_number_of_replacements():
    built = build_announcer()
    for number in range(100):
        addresses = [f"{number}:{item}" for item in range(3)]
        built.apply_settings(addresses)
        view = build_view(controllers=addresses, controllers_revision=number + 5)
        built.apply_view(addresses[0], view, LATE_MS + number)
        built.recent_peers.note(f"side:{number}")
    assert len(built.list_asked(10 * LATE_MS)) == 3
    assert len(built._by_address) == 3
    asked = {built.recent_peers.choose_next() for _ in range(100)}
    assert len(asked) == peers.MAX_PEERS


def test_older_set_of_controllers_changes_nothing():
    known = controllers.Controllers(["a"])
    assert known.apply_set(5, ["b", "c"])
    assert not known.apply_set(4, ["a"])
    assert not known.apply_set(5, ["a"])
    assert not known.apply_set(6, [])
    assert known.list_current() == ["b", "c"]
    assert known.list_known() == ["b", "c", "a"]


def test_process_in_contact_asks_no_other_process():
    built = build_announcer()
    built.recent_peers.note("side:1")
    for number in range(50):
        now_ms = number * announcer.ANNOUNCE_INTERVAL_MS
        built.apply_view("a", build_view(), now_ms)
        assert not list_requests(built, now_ms)


def test_process_without_contact_asks_few_others_at_a_time():
    built = build_announcer()
    for number in range(100):
        built.recent_peers.note(f"side:{number}")
    requests = [
        item
        for now_ms in range(LATE_MS, LATE_MS + 3_000, 20)
        for item in list_requests(built, now_ms)
    ]
    assert 8 <= len(requests) <= 20


@pytest.mark.parametrize(
    "newer",
    [
        {"controllers_revision": 3},
        {"newest_version": 6},
        {"domains_revision": 0},
    ],
)
def test_process_answers_another_only_with_something_newer(newer):
    built = build_announcer()
    built.apply_view("a", build_view(domains_out=["east"]), LATE_MS)
    held = viewmessages.FetchView(4, 7, 7, 1, wants_document=False)
    assert built.answer_peer(held, b"v7") is None
    answer = built.answer_peer(attrs.evolve(held, **newer), b"v7")
    assert answer is not None
    assert answer.document == b""
    assert (answer.controllers, answer.domains_out) == (["a", "b", "c"], ["east"])


def test_gateway_that_was_cut_off_gets_document_and_domains_of_another_process():
    cut_off, other, side = (
        build_announcer(),
        build_announcer(),
        build_announcer("sidecar"),
    )
    cut_off.apply_view(
        "a",
        build_view(
            document_version=5,
            document=b"v5",
            peers=[builders_contact.build_peer("other", "gateway")],
            peers_digest=1,
        ),
        0,
    )
    newer = build_view(controllers=["d"], controllers_revision=9, domains_out=["east"])
    newer = attrs.evolve(newer, domains_revision=2)
    other.apply_view("d", newer, LATE_MS)
    side.apply_view("d", attrs.evolve(newer, document=b""), LATE_MS)
    cut_off.recent_peers.note("side:1")
    updates = []
    for now_ms in range(LATE_MS, LATE_MS + 2_000, announcer.ANNOUNCE_INTERVAL_MS):
        for send in list_requests(cut_off, now_ms):
            source, held = (side, b"") if send.peer == "side:1" else (other, b"v7")
            answer = source.answer_peer(send.message, held)
            if answer is not None:
                updates.append(cut_off.apply_view(send.peer, answer, now_ms))
    received = [item for item in updates if item is not None]
    assert [item.document for item in received if item.document] == [b"v7"]
    assert cut_off.version == 7
    assert cut_off.domains_out == {"east"}
    assert cut_off.controllers.stated == ("d",)
    assert not cut_off.has_recent_answer(LATE_MS + 2_000)


def test_answer_of_another_process_undoes_nothing_newer():
    built = build_announcer()
    newer = build_view(domains_out=["east"], controllers_revision=9)
    built.apply_view("a", attrs.evolve(newer, domains_revision=3), LATE_MS)
    older = build_view(
        document_version=5,
        document=b"v5",
        domains_revision=2,
        controllers=["z"],
        view_age_ms=documents.NO_VIEW_AGE_MS,
    )
    assert built.apply_view("side:1", older, LATE_MS) is None
    assert (built.version, built.domains_out) == (7, {"east"})
    assert built.controllers.stated == ("a", "b", "c")


def test_contact_is_logged_before_what_the_answer_brought():
    """A line of contact that waits for the next tick misses what reads the log before."""
    settings = processes.ProcessSettings("own", "own:1", ["a", "b", "c"])
    built = contact.Contact(
        settings, "gateway", "", "east", 1, lambda address, message: None
    )
    built.tick(1)
    with structlog.testing.capture_logs() as lines:
        built.apply_view("a", build_view(), LATE_MS)
    events = [item["event"] for item in lines]
    assert events == ["controllers changed", "controllers heard", "view changed"]
    assert lines[1]["silent_ms"] == LATE_MS - 1
    assert built.has_contact
