"""Tests of the request handler, without links and consensus."""

from amaranthspar import effects
from amaranthspar.registry import leases, registry, requests
from amaranthspar.schema import messages
from tests import builders_control


def build_handler():
    state = registry.Registry()
    return state, requests.RequestHandler(
        state, leases.LeaseIssuer(3_000, 2_000), 3_000
    )


def build_status(now_ms=1_000, age_ms=10, leading=True, leader=""):
    return requests.ReplicaStatus(leading, leader, age_ms, now_ms, 50_000)


def build_request(message, forwarded=False):
    return requests.Request("op", 1, "op:1", message, forwarded)


def commit_pending(state, handler, status):
    """Apply the pending commands as if they were committed and return the answers."""
    sends = []
    for index, command in enumerate(handler.collect_commands(status.now_ms)):
        entry = messages.LogEntry(index, 1, command.kind, command.payload)
        sends += handler.answer_outcomes(state.apply(entry), status)
    return sends


def test_read_is_answered_only_from_a_view_confirmed_after_its_arrival():
    _, handler = build_handler()
    fetch = messages.FetchConfiguration(3, 0)
    assert handler.handle(build_request(fetch), build_status(1_000)) == []
    assert handler.answer_reads(build_status(1_050, age_ms=51)) == []
    (send,) = handler.answer_reads(build_status(1_050, age_ms=50))
    assert (send.peer, send.message.request) == ("op:1", 3)
    assert not handler.has_pending_reads


def test_follower_forwards_a_request_only_once():
    _, handler = build_handler()
    fetch = messages.FetchConfiguration(3, 0)
    (send,) = handler.handle(
        build_request(fetch), build_status(leading=False, leader="l:1")
    )
    assert (send.peer, send.message.address) == ("l:1", "op:1")
    status = build_status(leading=False, leader="l:1")
    assert handler.handle(build_request(fetch, forwarded=True), status) == []


def test_proposal_without_a_leader_is_answered_as_unavailable():
    _, handler = build_handler()
    proposal = messages.ProposeConfiguration("c", 0, "ops", "[domain a]\n")
    (send,) = handler.handle(build_request(proposal), build_status(leading=False))
    assert send.message.outcome == "unavailable"


def test_joins_of_one_turn_share_one_entry_and_all_are_answered():
    state, handler = build_handler()
    for number in range(100):
        member = builders_control.build_member(f"s{number}")
        renewal = messages.RenewLease(member, number, 0, 0)
        assert handler.handle(build_request(renewal), build_status()) == []
    sends = commit_pending(state, handler, build_status())
    assert state.revision == 1
    assert [item.message.sent_ms for item in sends] == list(range(100))


def test_members_expire_two_leases_after_their_last_renewal():
    state, handler = build_handler()
    for process in ("expired", "renewed"):
        renewal = messages.RenewLease(builders_control.build_member(process), 1, 0, 0)
        handler.handle(build_request(renewal), build_status(1_000))
    commit_pending(state, handler, build_status())
    handler.start_leading(1_000)
    handler.record_renewals(["renewed"], 1_001)
    handler.expire(build_status(7_000))
    assert handler.collect_commands(7_000) == []
    handler.expire(build_status(7_001))
    commit_pending(state, handler, build_status(7_001))
    assert list(state.members) == ["renewed"]


def test_concurrent_claims_of_a_key_are_answered_with_the_same_holder():
    state, handler = build_handler()
    for gateway in ("g1", "g2"):
        claim = messages.ClaimSubmission("k", "f", f"from {gateway}", gateway, 1)
        request = requests.Request(gateway, 1, f"{gateway}:1", claim)
        assert handler.handle(request, build_status()) == []
    sends = commit_pending(state, handler, build_status())
    assert {item.message.submission for item in sends} == {"from g1"}
    assert {item.peer for item in sends} == {"g1:1", "g2:1"}


def test_leader_without_a_recent_quorum_denies_leases():
    state, handler = build_handler()
    renewal = messages.RenewLease(builders_control.build_member(), 7, 0, 0)
    answer = handler.handle(build_request(renewal), build_status(age_ms=2_001))
    denied = messages.LeaseDenied(7, "no_quorum")
    assert answer == [effects.Send("op:1", denied)]


def test_claim_retention_continues_across_leaders_without_the_wall_clock():
    state, handler = build_handler()

    def claim(handler, key, now_ms):
        message = messages.ClaimSubmission(key, "f", key, "g1", 1)
        handler.handle(build_request(message), build_status(now_ms))
        commit_pending(state, handler, build_status(now_ms))

    handler.start_leading(1_000)
    claim(handler, "first", 2_000)
    other = requests.RequestHandler(state, leases.LeaseIssuer(3_000, 2_000), 3_000)
    other.start_leading(900_000_000)
    claim(other, "second", 900_000_000 + requests.CLAIM_RETENTION_MS)
    assert set(state.claims.kept) == {"first", "second"}
    claim(other, "third", 900_000_001 + requests.CLAIM_RETENTION_MS)
    assert set(state.claims.kept) == {"second", "third"}
