"""Tests of the registry: versions, change ids, members, claims and snapshots."""

import random

from amaranthspar.registry import leases, registry, requests, snapshots
from amaranthspar.schema import messages
from tests import builders_control


def build_section(name, value):
    return messages.Section(name, [messages.Setting("weight", str(value))])


def apply(state, command, index=1):
    encoded = requests.encode_command(command)
    entry = messages.LogEntry(index, 1, encoded.kind, encoded.payload)
    return state.apply(entry)


def accept(state, change_id, base, sections=(), removed=(), fingerprint="f"):
    command = messages.AcceptConfiguration(
        change_id, base, "ops", fingerprint, 5, list(sections), list(removed)
    )
    return apply(state, command)[0].decision


def join(state, *members):
    apply(state, messages.ChangeMembers(list(members), []))


def remove(state, process, incarnation=1, stopped=False):
    removal = messages.MemberRemoval(process, incarnation, stopped)
    apply(state, messages.ChangeMembers([], [removal]))


def restore_copy(state):
    other = registry.Registry()
    other.restore(state.save())
    return other


def build_random_state(seed):
    """Return a registry after 400 random commands."""
    chance = random.Random(seed)
    state = registry.Registry()
    for number in range(400):
        match chance.randrange(5):
            case 0 | 1:
                name = f"team t{chance.randrange(20)}"
                section = build_section(name, number)
                accept(state, f"c{number}", state.version, [section])
            case 2:
                process = f"p{chance.randrange(12)}"
                member = builders_control.build_member(
                    process, incarnation=chance.randrange(4)
                )
                join(state, member)
            case 3:
                process = f"p{chance.randrange(12)}"
                remove(state, process, chance.randrange(4), chance.random() < 0.5)
            case _:
                key = f"k{chance.randrange(30)}"
                claim = messages.ClaimSubmission(key, "f", f"s{number}", "g", 1)
                apply(state, messages.RecordClaims([claim], number * 10, 500))
    return state


def test_restored_registry_behaves_like_the_saved_one():
    for seed in range(10):
        state = build_random_state(seed)
        other = restore_copy(state)
        assert other.save() == state.save()
        members = [
            builders_control.build_member(f"p{n}", incarnation=i)
            for n in range(12)
            for i in range(4)
        ]
        for member in members:
            assert other.is_superseded(member) == state.is_superseded(member)
            assert other.is_current(member) == state.is_current(member)
        for version in range(state.version + 1):
            assert other.read_sections(version) == state.read_sections(version)


def test_membership_deltas_give_the_same_members_as_a_snapshot():
    for seed in range(10):
        state = build_random_state(seed)
        whole = leases.build_membership_change(state, 0, False)
        held = {}
        replay = registry.Registry()
        revision = 0
        chance = random.Random(seed)
        for number in range(60):
            process = f"p{chance.randrange(8)}"
            if chance.random() < 0.6:
                join(replay, builders_control.build_member(process, incarnation=number))
            elif process in replay.members:
                remove(replay, process, replay.members[process].incarnation)
            if chance.random() < 0.3:
                change = leases.build_membership_change(replay, revision, False)
                if change.base_revision == 0:
                    held.clear()
                held.update((item.process, item) for item in change.members)
                for name in change.removed:
                    held.pop(name, None)
                revision = change.revision
                assert held == replay.members
        assert whole.base_revision == 0
        assert {item.process for item in whole.members} == set(state.members)


def test_repeated_change_id_gets_the_same_decision_after_a_snapshot():
    state = registry.Registry()
    first = accept(state, "c1", 0, [build_section("team a", 1)])
    accept(state, "c2", 1, [build_section("team a", 2)])
    other = restore_copy(state)
    assert accept(other, "c1", 0) == first
    assert other.version == 2


def test_change_id_reused_for_another_change_is_invalid():
    state = registry.Registry()
    accept(state, "c1", 0)
    assert accept(state, "c1", 0, fingerprint="other").outcome == "invalid"


def test_second_change_of_the_same_base_version_is_a_conflict():
    state = registry.Registry()
    assert accept(state, "c1", 0).outcome == "accepted"
    decision = accept(state, "c2", 0)
    assert (decision.outcome, decision.version) == ("conflict", 1)


def test_configuration_change_from_an_evicted_version_is_a_snapshot(monkeypatch):
    monkeypatch.setattr(registry, "KEPT_VERSIONS", 4)
    state = registry.Registry()
    for number in range(10):
        accept(state, f"c{number}", number, [build_section(f"team t{number}", 1)])
    recent = leases.build_configuration_change(state, 8, False)
    assert (recent.base_version, len(recent.sections)) == (8, 2)
    older = leases.build_configuration_change(state, 3, False)
    assert (older.base_version, len(older.sections)) == (0, 10)
    assert state.fetch(messages.FetchConfiguration(1, 3)).version == 0


def test_claim_expires_only_after_its_retention():
    state = registry.Registry()

    def claim(submission, now_ms):
        item = messages.ClaimSubmission("k", "f", submission, "g", 1)
        return apply(state, messages.RecordClaims([item], now_ms, 100))[0].holder

    assert claim("one", 1_000).submission == "one"
    assert claim("two", 1_100).submission == "one"
    assert claim("three", 1_101).submission == "three"


def test_configuration_for_sidecars_omits_teams_and_accounts():
    state = registry.Registry()
    names = ("team a", "account b", "service c", "domain d", "desk e")
    accept(state, "c1", 0, [messages.Section(name, []) for name in names])
    change = leases.build_configuration_change(state, 0, True)
    assert [item.name for item in change.sections] == [
        "service c",
        "domain d",
        "desk e",
    ]


def test_lease_is_denied_on_a_stale_view_and_otherwise_carries_the_view_age():
    state = registry.Registry()
    member = builders_control.build_member()
    join(state, member)
    renewal = messages.RenewLease(member, 9, 0, 1)
    issuer = leases.LeaseIssuer(3_000, 2_000)
    assert issuer.decide(state, renewal, 2_001).reason == "no_quorum"
    assert issuer.decide(state, renewal, -1).reason == "no_quorum"
    granted = issuer.decide(state, renewal, 2_000)
    assert (granted.age_ms, granted.sent_ms, granted.membership) == (2_223, 9, None)


def test_evicted_removals_give_equal_states_after_a_restore(monkeypatch):
    monkeypatch.setattr(registry, "KEPT_TOMBSTONES", 2)
    state = registry.Registry()
    for process in ("p", "p", "q", "r"):
        join(state, builders_control.build_member(process, incarnation=5))
        remove(state, process, 5)
        other = restore_copy(state)
        member = builders_control.build_member("p", incarnation=4)
        assert other.is_superseded(member) == state.is_superseded(member)


def test_snapshot_encoded_in_pieces_holds_the_state_at_its_start(monkeypatch):
    monkeypatch.setattr(snapshots, "PIECE_ITEMS", 3)
    state = registry.Registry()

    def claim(number):
        item = messages.ClaimSubmission(f"k{number}", "f", "s", "g", 1)
        apply(state, messages.RecordClaims([item], 1_000, 100))

    def change(number):
        accept(state, f"c{number}", number, [build_section(f"team t{number}", 1)])
        join(state, builders_control.build_member(f"p{number}"))
        remove(state, f"p{number - 1}", 1)
        claim(number)

    for number in range(40):
        change(number)
    whole = state.save()
    encoder = snapshots.SnapshotEncoder(state)
    pieces = 0
    while (saved := encoder.encode_piece()) is None:
        change(40 + pieces)
        pieces += 1
    assert pieces > 20
    assert saved == whole
    other = registry.Registry()
    other.restore(saved)
    assert other.save() == whole
    assert len(other.claims.kept) == 40
