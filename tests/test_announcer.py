"""Tests of announcements, directories and documents, and of changes of the replicas."""

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from amaranthspar.consensus import joining, replacement
from amaranthspar.membership import announcer, directory, documents
from amaranthspar.schema import messages, viewmessages

ANNOUNCEMENT = viewmessages.Announce(
    process="gate",
    role="gateway",
    incarnation=1,
    address="gate:1",
    service="",
    failure_domain="east",
    is_leaving=False,
    document_version=-1,
    domains_revision=0,
    wants_document=False,
    wants_peers=True,
    peers_digest=0,
)
ALONE = directory.ControllerState([], 1, 0)


class Controllers:
    """Directories and documents of some controllers, and one announcing process."""

    def __init__(self, *names: str) -> None:
        self.now_ms = 10_000
        self.directories = {name: directory.Directory() for name in names}
        self.states = {name: documents.Documents() for name in names}
        self.announcer = announcer.Announcer(ANNOUNCEMENT, list(names))
        self.silent: set[str] = set()
        self.sent_documents = 0

    def put(self, version: int, *names: str) -> None:
        command = viewmessages.PutDocument("r", version, f"v{version}".encode())
        for name in names or self.states:
            self.states[name].put(command)

    def ask(self, name: str, message: viewmessages.Announce) -> viewmessages.View:
        state = directory.ControllerState(list(self.directories), 1, 0)
        process_list = self.directories[name]
        return process_list.handle_announcement(
            message, self.states[name], state, self.now_ms
        )

    def advance(
        self, time_ms: int = announcer.ANNOUNCE_INTERVAL_MS
    ) -> list[announcer.ViewUpdate]:
        """Advance the time, exchange messages and return the changes of the view."""
        self.now_ms += time_ms
        changes = []
        for send in self.announcer.tick(self.now_ms):
            if send.peer in self.silent:
                continue
            view = self.ask(send.peer, send.message)
            self.sent_documents += bool(view.document)
            changes.append(self.announcer.apply_view(send.peer, view, self.now_ms))
        return [item for item in changes if item is not None]


def test_newest_document_is_received_once_within_three_intervals():
    controllers = Controllers("a", "b", "c")
    controllers.put(7)
    changes = [change for _ in range(3) for change in controllers.advance()]
    assert [item.document for item in changes if item.document] == [b"v7"]
    assert controllers.announcer.version == 7
    assert controllers.sent_documents == 1


def test_view_is_never_replaced_by_an_older_version():
    controllers = Controllers("a", "b")
    controllers.put(7)
    for _ in range(4):
        controllers.advance()
    controllers.states["a"] = controllers.states["b"] = documents.Documents(3, b"v3")
    for _ in range(4):
        assert all(item.document is None for item in controllers.advance())
    assert controllers.announcer.version == 7


def test_document_is_fetched_from_another_controller_if_one_does_not_answer():
    controllers = Controllers("a", "b")
    controllers.put(2)
    controllers.advance()
    controllers.silent.add(max(controllers.directories))
    for _ in range(6):
        controllers.advance()
    assert controllers.announcer.version == 2


def test_view_stays_in_force_while_no_controller_answers():
    controllers = Controllers("a", "b")
    command = viewmessages.SetDomain("r", "east", True)
    for state in controllers.states.values():
        state.set_domain(command)
    for _ in range(3):
        controllers.advance()
    controllers.silent |= {"a", "b"}
    for _ in range(20):
        assert controllers.advance() == []
    assert controllers.announcer.domains_out == {"east"}
    assert not controllers.announcer.has_recent_answer(controllers.now_ms)


def test_controller_with_an_older_revision_of_domains_changes_nothing():
    controllers = Controllers("a", "b")
    controllers.states["a"].set_domain(viewmessages.SetDomain("r", "east", True))
    for _ in range(4):
        controllers.advance()
    assert controllers.announcer.domains_out == {"east"}


def test_process_listed_by_any_controller_is_in_the_view():
    controllers = Controllers("a", "b")
    side = attrs.evolve(ANNOUNCEMENT, process="side", role="sidecar", service="quotes")
    controllers.ask("b", side)
    for _ in range(2):
        controllers.advance()
    assert {peer.process for peer in controllers.announcer.peers} == {"gate", "side"}


def test_directory_removes_a_process_without_announcements():
    process_list = directory.Directory()
    process_list.handle_announcement(ANNOUNCEMENT, documents.Documents(), ALONE, 0)
    assert process_list.expire(directory.EXPIRY_MS) == []
    assert process_list.expire(directory.EXPIRY_MS + 1) == ["gate"]


def test_list_of_processes_is_sent_only_if_it_has_changed():
    process_list = directory.Directory()
    first = process_list.handle_announcement(
        ANNOUNCEMENT, documents.Documents(), ALONE, 0
    )
    assert len(first.peers) == 1
    again = attrs.evolve(ANNOUNCEMENT, peers_digest=first.peers_digest)
    assert (
        process_list.handle_announcement(again, documents.Documents(), ALONE, 1).peers
        == []
    )


def test_setting_a_domain_to_its_current_state_does_not_change_the_revision():
    state = documents.Documents()
    for is_out in (True, True, False, False, True):
        state.set_domain(viewmessages.SetDomain("r", "east", is_out))
    assert (state.domains_revision, state.domains_out) == (3, {"east"})


SEEDS = {"h1": "h1:1", "h2": "h2:1", "h3": "h3:1"}


def test_first_replicas_have_the_names_of_their_hosts():
    plan = joining.plan_replica("h1", "h1:1", "", SEEDS, True)
    assert plan.replica == "h1"
    assert plan.first == ["h1=h1:1", "h2=h2:1", "h3=h3:1"]
    assert plan.join == ["h2:1", "h3:1"]


def test_replica_without_its_data_folder_joins_under_a_new_id():
    plan = joining.plan_replica("h1", "h1:1", "", SEEDS, False)
    assert plan.replica.startswith("h1-")
    assert plan.first == []


def test_replica_keeps_its_stored_id():
    plan = joining.plan_replica("h1", "h1:1", "h1-ab", SEEDS, False)
    assert (plan.replica, plan.first) == ("h1-ab", [])


def build_members() -> messages.ChangeReplicas:
    found = [messages.Replica(name, SEEDS[name], True) for name in SEEDS]
    return messages.ChangeReplicas(found, [])


def test_joining_replica_replaces_the_one_at_its_address():
    joining_replica = messages.JoinReplicas("h2-ab", "h2:1")
    silent = frozenset({"h3"})
    assert replacement.plan_join(build_members(), joining_replica, silent) == "h2"


def test_joining_replica_replaces_a_silent_voter_only_once_it_votes_itself():
    """A voter removed before leaves two, of which the loss of one is final."""
    joining_replica = messages.JoinReplicas("h4-ab", "h4:1")
    members = build_members()
    assert replacement.plan_join(members, joining_replica, frozenset({"h3"})) == ""
    assert replacement.plan_join(members, joining_replica, frozenset()) == ""
    learner = messages.Replica("h4-ab", "h4:1", False)
    joined = messages.ChangeReplicas([*members.replicas, learner], [])
    assert replacement.plan_removal(joined, frozenset({"h3"}), 3) == ""
    promoted = replacement.plan_promotion(joined, "h4-ab", 7)
    assert replacement.plan_removal(promoted, frozenset({"h3"}), 3) == "h3"
    member = messages.JoinReplicas("h1", "h1:1")
    assert replacement.plan_join(members, member, frozenset()) is None


def test_joining_replica_replaces_an_unresponsive_learner():
    learner = messages.Replica("h4-ab", "h4:1", False)
    members = messages.ChangeReplicas([*build_members().replicas, learner], [])
    joining_replica = messages.JoinReplicas("h5-ab", "h5:1")
    silent = frozenset({"h3", "h4-ab"})
    assert replacement.plan_join(members, joining_replica, silent) == "h4-ab"


def test_replica_that_was_removed_while_it_was_silent_joins_again_under_its_id():
    removed = replacement.plan_replacement(build_members(), "h3", "", "")
    returning = messages.JoinReplicas("h3", "h3:1")
    assert replacement.plan_join(removed, returning, frozenset()) == ""
    added = replacement.plan_replacement(removed, "", "h3", "h3:1", returns=True)
    assert [item.id for item in added.replicas if not item.voter] == ["h3"]
    assert added.retired == []
    with pytest.raises(replacement.RefusedError):
        replacement.plan_replacement(removed, "", "h3", "h3:1")


def test_delayed_request_to_join_again_displaces_no_newer_replica_at_its_address():
    """The host has lost its disk since, and another replica has joined from there."""
    members = build_members()
    empty = messages.JoinReplicas("h3-ab", "h3:1")
    assert replacement.plan_join(members, empty, frozenset()) == "h3"
    replaced = replacement.plan_replacement(members, "h3", "h3-ab", "h3:1")
    delayed = messages.JoinReplicas("h3", "h3:1")
    assert replacement.plan_join(replaced, delayed, frozenset()) is None


@pytest.mark.parametrize(
    ("leaving", "silent", "is_spared"),
    [
        ("h1", (), True),
        ("h1", ("h2",), True),
        ("h1", ("h2", "h3"), False),
        ("h9", (), False),
    ],
)
def test_stopping_voter_leaves_a_set_of_four_with_a_responsive_majority(
    leaving, silent, is_spared
):
    new_replica = messages.Replica("h4", "h4:1", True)
    members = messages.ChangeReplicas([*build_members().replicas, new_replica], [])
    if is_spared:
        replacement.check_leave(members, leaving, frozenset(silent), 3)
        return
    with pytest.raises(replacement.RefusedError):
        replacement.check_leave(members, leaving, frozenset(silent), 3)


def build_voters(count: int) -> messages.ChangeReplicas:
    found = [messages.Replica(f"h{at}", f"h{at}:1", True) for at in range(1, count + 1)]
    return messages.ChangeReplicas(found, [])


@pytest.mark.parametrize(("count", "target"), [(1, 3), (2, 3), (3, 3), (5, 5)])
def test_stopping_voter_stays_in_a_set_without_a_spare_one(count, target):
    """Of two, the other one would confirm alone what is lost with it."""
    with pytest.raises(replacement.RefusedError):
        replacement.check_leave(build_voters(count), "h1", frozenset(), target)


def test_voter_leaves_an_odd_number_beyond_the_one_that_bears_the_losses():
    """Two hosts are replaced at once; both would stay voters after their stop."""
    replacement.check_leave(build_voters(5), "h1", frozenset(), 3)
    assert replacement.plan_removal(build_voters(5), frozenset({"h1"}), 3) == "h1"
    assert replacement.plan_removal(build_voters(5), frozenset({"h1"}), 5) == ""
    with pytest.raises(replacement.RefusedError):
        replacement.check_leave(build_voters(5), "h1", frozenset({"h2", "h3"}), 3)


@pytest.mark.parametrize(
    ("losses", "first", "target"),
    [(0, 3, 3), (0, 5, 5), (1, 5, 3), (2, 0, 5), (0, 1, 3)],
)
def test_voters_bear_the_losses_to_be_tolerated(losses, first, target):
    assert replacement.find_voter_target(losses, first) == target


def test_unresponsive_voter_is_removed_from_an_even_number_of_voters():
    """After a change of leader, a new host joined before the old one timed out."""
    new_replica = messages.Replica("h4", "h4:1", True)
    members = messages.ChangeReplicas([*build_members().replicas, new_replica], [])
    assert replacement.plan_removal(members, frozenset({"h1"}), 3) == "h1"
    assert replacement.plan_removal(members, frozenset(), 3) == ""
    assert replacement.plan_removal(members, frozenset({"h1", "h2", "h3"}), 3) == ""


def test_unresponsive_voter_stays_among_an_odd_number_of_voters():
    assert replacement.plan_removal(build_members(), frozenset({"h1"}), 3) == ""


def test_started_process_announces_itself_more_often_for_three_seconds():
    controllers = Controllers("a")
    sent = sum(
        bool(controllers.announcer.tick(controllers.now_ms + at))
        for at in range(0, 900, 20)
    )
    assert sent == 9
    late_ms = (
        controllers.now_ms
        + announcer.STARTUP_PERIOD_MS
        + announcer.ANNOUNCE_INTERVAL_MS
    )
    assert controllers.announcer.tick(late_ms)
    assert not controllers.announcer.tick(late_ms + announcer.ANNOUNCE_INTERVAL_MS - 20)
    assert controllers.announcer.tick(late_ms + announcer.ANNOUNCE_INTERVAL_MS)


def test_answered_sidecar_announces_itself_at_the_ordinary_interval():
    controllers = Controllers("a")
    controllers.announcer = announcer.Announcer(
        attrs.evolve(ANNOUNCEMENT, role="sidecar", wants_peers=False), ["a"]
    )
    controllers.advance()
    controllers.advance()
    assert controllers.announcer.answered_ms == controllers.now_ms
    assert not controllers.announcer.tick(
        controllers.now_ms + announcer.STARTUP_INTERVAL_MS
    )


def test_sidecar_receives_the_domains_but_not_the_document():
    """Large documents are sent only to the processes that route requests."""
    controllers = Controllers("a", "b", "c")
    controllers.announcer = announcer.Announcer(
        attrs.evolve(ANNOUNCEMENT, role="sidecar", wants_peers=False),
        list(controllers.directories),
    )
    controllers.put(3)
    for state in controllers.states.values():
        state.set_domain(viewmessages.SetDomain("r", "east", True))
    for _ in range(6):
        controllers.advance()
    assert controllers.sent_documents == 0
    assert controllers.announcer.domains_out == {"east"}


def build_started_controllers(*names: str) -> Controllers:
    controllers = Controllers(*names)
    controllers.advance()
    controllers.advance(announcer.STARTUP_PERIOD_MS + 1)
    return controllers


def test_rate_of_announcements_is_independent_of_the_number_of_controllers():
    for names in ("abc", "abcde", "abcdefg"):
        controllers = build_started_controllers(*names)
        counts = dict.fromkeys(names, 0)
        for _ in range(12_000 // 10):
            controllers.now_ms += 10
            for send in controllers.announcer.tick(controllers.now_ms):
                counts[send.peer] += 1
        assert sum(counts.values()) == 12_000 // announcer.ANNOUNCE_INTERVAL_MS
        assert max(counts.values()) - min(counts.values()) <= 1


def test_changed_list_of_processes_is_sent_as_a_difference():
    controllers = build_started_controllers("a")
    process_list = controllers.directories["a"]
    for number in range(50):
        side = attrs.evolve(ANNOUNCEMENT, process=f"s{number}", role="sidecar")
        controllers.ask("a", side)
    controllers.advance()
    assert len(controllers.announcer.peers) == 51
    controllers.ask(
        "a", attrs.evolve(ANNOUNCEMENT, process="s7", role="sidecar", incarnation=2)
    )
    controllers.ask("a", attrs.evolve(ANNOUNCEMENT, process="new", role="sidecar"))
    (send,) = controllers.announcer.tick(
        controllers.now_ms + announcer.ANNOUNCE_INTERVAL_MS
    )
    view = process_list.handle_announcement(
        send.message,
        controllers.states["a"],
        directory.ControllerState(["a"], 1, 0),
        controllers.now_ms + announcer.ANNOUNCE_INTERVAL_MS,
    )
    assert sorted(peer.process for peer in view.peers) == ["new", "s7"]
    controllers.announcer.apply_view("a", view, controllers.now_ms)
    known = {peer.process: peer.incarnation for peer in controllers.announcer.peers}
    assert len(known) == 52
    assert known["s7"] == 2


def test_expired_process_is_removed_from_the_list_by_a_difference():
    controllers = build_started_controllers("a")
    side = attrs.evolve(ANNOUNCEMENT, process="side", role="sidecar")
    controllers.ask("a", side)
    controllers.advance()
    assert len(controllers.announcer.peers) == 2
    for _ in range(
        announcer.PEER_LIST_TIMEOUT_MS // announcer.ANNOUNCE_INTERVAL_MS * 2
    ):
        controllers.advance()
        controllers.directories["a"].expire(controllers.now_ms)
    assert [peer.process for peer in controllers.announcer.peers] == ["gate"]


def test_list_of_a_restarted_controller_replaces_its_previous_list():
    controllers = build_started_controllers("a")
    controllers.ask("a", attrs.evolve(ANNOUNCEMENT, process="old", role="sidecar"))
    controllers.advance()
    controllers.directories["a"] = directory.Directory()
    controllers.ask("a", attrs.evolve(ANNOUNCEMENT, process="side", role="sidecar"))
    controllers.advance()
    controllers.advance()
    assert {peer.process for peer in controllers.announcer.peers} == {"gate", "side"}


@hypothesis.given(strategies.lists(strategies.integers(0, 9), max_size=60))
def test_differences_give_the_same_list_as_the_whole_list(numbers):
    process_list, state = directory.Directory(), documents.Documents()
    held: dict[str, viewmessages.Peer] = {}
    digest = 0
    now_ms = 0
    for number in numbers:
        now_ms += 600
        changed = attrs.evolve(
            ANNOUNCEMENT, process=f"s{number % 5}", incarnation=number
        )
        process_list.handle_announcement(changed, state, ALONE, now_ms)
        process_list.expire(now_ms)
        asked = attrs.evolve(ANNOUNCEMENT, process="reader", peers_digest=digest)
        view = process_list.handle_announcement(asked, state, ALONE, now_ms)
        if view.peers_base == 0:
            held = {}
        for name in view.peers_gone:
            del held[name]
        held |= {peer.process: peer for peer in view.peers}
        digest = view.peers_digest
        whole = process_list.handle_announcement(
            attrs.evolve(asked, peers_digest=0), state, ALONE, now_ms
        )
        assert held == {peer.process: peer for peer in whole.peers}


class DelayedControllers(Controllers):
    """Controllers of a gateway that ticks every 20 ms; some stop answering meanwhile."""

    def find_delay_ms(self, silent: set[str], falls_silent: int) -> int:
        """Return the time until a version new to all controllers is held, in ms.

        Args:
            silent: Controllers that do not answer.
            falls_silent: Number of further controllers that stop answering once they have
                reported the version.
        """
        self.silent |= silent
        began_ms = self.now_ms
        self.put(2)
        while self.announcer.version < 2:
            self.now_ms += 20
            for send in self.announcer.tick(self.now_ms):
                if send.peer in self.silent:
                    continue
                view = self.ask(send.peer, send.message)
                self.announcer.apply_view(send.peer, view, self.now_ms)
                if falls_silent and view.document_version == 2 and not view.document:
                    falls_silent -= 1
                    self.silent.add(send.peer)
        return self.now_ms - began_ms


NAMES = ("a", "b", "c", "d", "e")


@hypothesis.given(
    strategies.sets(strategies.sampled_from(NAMES), max_size=2),
    strategies.integers(0, 100),
)
def test_document_is_received_in_time_if_two_of_five_controllers_do_not_answer(
    silent, passed
):
    controllers = DelayedControllers(*NAMES)
    controllers.put(1)
    for _ in range(200 + passed):
        controllers.advance(20)

    delay_ms = controllers.find_delay_ms(silent, falls_silent=2 - len(silent))

    # The smallest site requires a configuration to be in force in less than 2 s.
    assert delay_ms < 2_000
