"""Requests of processes and operators, without links and consensus."""

from amaranthspar import effects
from amaranthspar.registry import leases, registry, requests
from amaranthspar.schema import messages
from tests import builders_control


def build_requests():
    state = registry.Registry()
    return state, requests.Requests(state, leases.Leases(3_000, 2_000), 3_000)


def stand(now_ms=1_000, age_ms=10, leading=True, leader=""):
    return requests.Standing(leading, leader, age_ms, now_ms, 50_000)


def ask(message, forwarded=False):
    return requests.Request("op", 1, "op:1", message, forwarded)


def commit(state, desk, standing):
    """Apply what waits as if it was committed and return the answers."""
    sends = []
    for index, command in enumerate(desk.collect_commands(standing.now_ms)):
        entry = messages.LogEntry(index, 1, command.kind, command.payload)
        sends += desk.note_outcomes(state.apply(entry), standing)
    return sends


def test_read_waits_until_the_view_is_confirmed_after_it_arrived():
    _, desk = build_requests()
    fetch = messages.FetchConfiguration(3, 0)
    assert desk.take(ask(fetch), stand(1_000)) == []
    assert desk.answer_reads(stand(1_050, age_ms=51)) == []
    (send,) = desk.answer_reads(stand(1_050, age_ms=50))
    assert (send.peer, send.message.request) == ("op:1", 3)
    assert not desk.reading


def test_follower_hands_a_request_on_once():
    _, desk = build_requests()
    fetch = messages.FetchConfiguration(3, 0)
    (send,) = desk.take(ask(fetch), stand(leading=False, leader="l:1"))
    assert (send.peer, send.message.address) == ("l:1", "op:1")
    standing = stand(leading=False, leader="l:1")
    assert desk.take(ask(fetch, forwarded=True), standing) == []


def test_change_without_a_leader_is_unavailable():
    _, desk = build_requests()
    proposal = messages.ProposeConfiguration("c", 0, "ops", "[domain a]\n")
    (send,) = desk.take(ask(proposal), stand(leading=False))
    assert send.message.outcome == "unavailable"


def test_joins_of_one_turn_go_into_one_entry_and_all_are_answered():
    state, desk = build_requests()
    for number in range(100):
        member = builders_control.build_member(f"s{number}")
        renewal = messages.RenewLease(member, number, 0, 0)
        assert desk.take(ask(renewal), stand()) == []
    sends = commit(state, desk, stand())
    assert state.revision == 1
    assert [item.message.sent_ms for item in sends] == list(range(100))


def test_members_expire_two_leases_after_they_were_seen_last():
    state, desk = build_requests()
    for process in ("quiet", "seen"):
        renewal = messages.RenewLease(builders_control.build_member(process), 1, 0, 0)
        desk.take(ask(renewal), stand(1_000))
    commit(state, desk, stand())
    desk.start_leading(1_000)
    desk.note_seen(["seen"], 1_001)
    desk.expire(stand(7_000))
    assert desk.collect_commands(7_000) == []
    desk.expire(stand(7_001))
    commit(state, desk, stand(7_001))
    assert list(state.members) == ["seen"]


def test_both_racing_claims_learn_the_same_holder():
    state, desk = build_requests()
    for gateway in ("g1", "g2"):
        claim = messages.ClaimSubmission("k", "f", f"from {gateway}", gateway, 1)
        request = requests.Request(gateway, 1, f"{gateway}:1", claim)
        assert desk.take(request, stand()) == []
    sends = commit(state, desk, stand())
    assert {item.message.submission for item in sends} == {"from g1"}
    assert {item.peer for item in sends} == {"g1:1", "g2:1"}


def test_leader_that_lost_its_quorum_denies_leases():
    state, desk = build_requests()
    renewal = messages.RenewLease(builders_control.build_member(), 7, 0, 0)
    answer = desk.take(ask(renewal), stand(age_ms=2_001))
    denied = messages.LeaseDenied(7, "no_quorum")
    assert answer == [effects.Send("op:1", denied)]


def test_retention_goes_on_over_leaders_and_needs_no_wall_clock():
    state, desk = build_requests()

    def claim(desk, key, now_ms):
        message = messages.ClaimSubmission(key, "f", key, "g1", 1)
        desk.take(ask(message), stand(now_ms))
        commit(state, desk, stand(now_ms))

    desk.start_leading(1_000)
    claim(desk, "first", 2_000)
    other = requests.Requests(state, leases.Leases(3_000, 2_000), 3_000)
    other.start_leading(900_000_000)
    claim(other, "second", 900_000_000 + requests.CLAIM_RETENTION_MS)
    assert set(state.claims.kept) == {"first", "second"}
    claim(other, "third", 900_000_001 + requests.CLAIM_RETENTION_MS)
    assert set(state.claims.kept) == {"second", "third"}
