"""Which replicas vote while hosts are replaced."""

import pytest

from amaranthspar.consensus import replacement, succession
from amaranthspar.schema import messages

ALL = frozenset("abcdxy")


def build_members(voters, learners="", domains=None, replaced=()):
    """Build a set of one-letter hosts, each in a failure domain of its own by default."""
    domains = domains or {}
    found = [
        messages.Replica(name, f"{name}:1", name in voters, 7, domains.get(name, name))
        for name in (*voters, *learners)
    ]
    addresses = [f"{name}:1" for name in replaced]
    return messages.ChangeReplicas(found, [], replaced=addresses)


def plan(members, leader="b", silent="", leaving="", target=3, behind=""):
    """Return the next change: its reason, or the hand-over."""
    folders = {name: 7 for name in ALL if name not in behind}
    status = succession.SetStatus(
        members, leader, frozenset(silent), frozenset(leaving), folders, target
    )
    change = succession.plan_change(status)
    return change.reason if isinstance(change, messages.ChangeReplicas) else change


def join(members, host, domain, target=3, replica=""):
    request = messages.JoinReplicas(replica or host, f"{host}:1", 7, domain)
    return succession.find_predecessor(members, request, target)


def test_successor_replaces_the_oldest_host_of_its_domain():
    members = build_members("abc", domains={"a": "1", "b": "2", "c": "2"})
    assert join(members, "d", "2") == "b:1"
    assert join(members, "d", "3") == ""
    assert join(members, "d", "") == ""


def test_second_successor_of_a_domain_replaces_another_host():
    domains = {"a": "1", "b": "1", "c": "2", "d": "1"}
    members = build_members("abc", "d", domains, replaced="a")
    assert join(members, "x", "1") == "b:1"


def test_host_of_a_set_that_is_not_complete_yet_is_no_successor():
    """Seeds name three of five first hosts; the others join as new ones do."""
    members = build_members("abc", domains={"a": "1", "b": "2", "c": "3"})
    assert join(members, "d", "1", target=5) == ""


def test_host_that_was_in_the_set_before_is_no_successor():
    members = build_members("bcd", domains={"d": "a"}, replaced="a")
    retired = messages.ChangeReplicas(members.replicas, ["x"], "", members.replaced)
    assert join(retired, "x", "b") == ""
    assert join(members, "a", "a", replica="a-empty") == ""
    assert join(members, "b", "c", replica="b-empty") == ""


def test_replaced_host_keeps_its_vote_until_its_successor_votes():
    members = build_members("abc", "d", {"d": "a"}, replaced="a")
    assert succession.is_vote_useful(members, "d", 0, 3)
    assert plan(members) is None
    promoted = replacement.plan_promotion(members, "d", 7)
    assert plan(promoted) == "demoted a"
    demoted = replacement.plan_demotion(promoted, "a")
    assert plan(demoted) is None
    assert not succession.is_vote_useful(demoted, "a", 0, 3)


def test_leader_hands_over_before_its_vote_is_taken():
    members = build_members("abcd", "", {"d": "a"}, replaced="a")
    assert plan(members, leader="a") == succession.HandOver()


def test_replaced_host_keeps_its_vote_while_too_few_others_respond():
    members = build_members("abcd", "", {"d": "a"}, replaced="a")
    assert plan(members, silent="c") == "removed c, added none"
    without = build_members("abd", "", {"d": "a"}, replaced="a")
    assert plan(without) is None


def test_replaced_host_votes_in_place_of_a_silent_one():
    members = build_members("bcd", "a", {"d": "a"}, replaced="a")
    assert plan(members, silent="c") == "promoted a"
    assert plan(members, silent="c", behind="a") is None
    assert plan(members, silent="ac") == "removed a, added none"


def test_replaced_host_votes_again_once_its_successor_has_left_the_set():
    members = build_members("bc", "a", {}, replaced="a")
    assert succession.is_vote_useful(members, "a", 0, 3)


def test_vote_of_a_stopping_host_passes_to_a_learner_first():
    members = build_members("bcd", "a", {"d": "a"}, replaced="a")
    assert plan(members, leaving="b", leader="c") == "promoted a"
    promoted = replacement.plan_promotion(members, "a", 7)
    assert plan(promoted, leaving="b", leader="c") == "removed b, added none"


def test_silent_learner_is_removed():
    assert plan(build_members("abc", "d"), silent="d") == "removed d, added none"


@pytest.mark.parametrize(
    ("voters", "waiting", "target", "is_useful"),
    [
        ("ab", 0, 3, True),
        ("abc", 0, 3, False),
        ("abc", 1, 3, True),
        ("abcy", 0, 3, True),
        ("abc", 0, 5, True),
        ("abcy", 0, 5, True),
    ],
)
def test_learner_does_not_make_an_even_number_of_voters_beyond_the_target(
    voters, waiting, target, is_useful
):
    """One that was removed and came back made four, two of which could be gone at once."""
    members = build_members(voters, "x")
    assert succession.is_vote_useful(members, "x", waiting, target) == is_useful


def test_failure_domains_are_recorded_once():
    members = build_members("abc", domains={"a": "", "b": "2", "c": ""})
    changed = succession.plan_domains(members, {"a": "1", "b": "", "x": "4"})
    assert [item.failure_domain for item in changed.replicas] == ["1", "2", ""]
    assert succession.plan_domains(changed, {"a": "1"}) is None


def test_moved_host_stays_replaced_at_its_new_address():
    members = build_members("bcd", "a", {"d": "a"}, replaced="a")
    moved = replacement.plan_move(members, "a", "a:2")
    assert moved.replaced == ["a:2"]
