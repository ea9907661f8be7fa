"""Tests of what processes learn from controllers, and of how controllers take part."""

import attrs
import hypothesis
from hypothesis import strategies

from amaranthspar.consensus import joining, replacement
from amaranthspar.membership import announcer, directory, documents
from amaranthspar.schema import messages, viewmessages

OWN = viewmessages.Announce(
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


class Controllers:
    """Directories and documents of some controllers, and one process that asks them."""

    def __init__(self, *names: str) -> None:
        self.now_ms = 10_000
        self.directories = {name: directory.Directory() for name in names}
        self.states = {name: documents.Documents() for name in names}
        self.announcer = announcer.Announcer(OWN, list(names))
        self.silent: set[str] = set()
        self.sent_documents = 0

    def put(self, version: int, *names: str) -> None:
        command = viewmessages.PutDocument("r", version, f"v{version}".encode())
        for name in names or self.states:
            self.states[name].put(command)

    def ask(self, name: str, message: viewmessages.Announce) -> viewmessages.View:
        listed = list(self.directories)
        place = self.directories[name]
        return place.handle_announcement(
            message, self.states[name], listed, self.now_ms
        )

    def turn(
        self, time_ms: int = announcer.ANNOUNCE_INTERVAL_MS
    ) -> list[announcer.ViewUpdate]:
        """Let time pass and return the changes of the view."""
        self.now_ms += time_ms
        changes = []
        for send in self.announcer.tick(self.now_ms):
            if send.peer in self.silent:
                continue
            view = self.ask(send.peer, send.message)
            self.sent_documents += bool(view.document)
            changes.append(self.announcer.apply_view(send.peer, view, self.now_ms))
        return [item for item in changes if item is not None]


def test_newest_document_arrives_once_within_three_turns():
    world = Controllers("a", "b", "c")
    world.put(7)
    changes = [change for _ in range(3) for change in world.turn()]
    assert [item.document for item in changes if item.document] == [b"v7"]
    assert world.announcer.version == 7
    assert world.sent_documents == 1


def test_view_never_goes_back_to_an_older_version():
    world = Controllers("a", "b")
    world.put(7)
    for _ in range(4):
        world.turn()
    world.states["a"] = world.states["b"] = documents.Documents(3, b"v3")
    for _ in range(4):
        assert all(item.document is None for item in world.turn())
    assert world.announcer.version == 7


def test_document_is_asked_from_another_controller_when_one_is_silent():
    world = Controllers("a", "b")
    world.put(2)
    world.turn()
    world.silent.add(max(world.directories))
    for _ in range(6):
        world.turn()
    assert world.announcer.version == 2


def test_view_stays_in_force_while_all_controllers_are_silent():
    world = Controllers("a", "b")
    command = viewmessages.SetDomain("r", "east", True)
    for state in world.states.values():
        state.set_domain(command)
    for _ in range(3):
        world.turn()
    world.silent |= {"a", "b"}
    for _ in range(20):
        assert world.turn() == []
    assert world.announcer.domains_out == {"east"}
    assert not world.announcer.has_recent_answer(world.now_ms)


def test_controller_without_domains_of_late_takes_none_back():
    world = Controllers("a", "b")
    world.states["a"].set_domain(viewmessages.SetDomain("r", "east", True))
    for _ in range(4):
        world.turn()
    assert world.announcer.domains_out == {"east"}


def test_process_listed_by_any_controller_is_known():
    world = Controllers("a", "b")
    side = attrs.evolve(OWN, process="side", role="sidecar", service="quotes")
    world.ask("b", side)
    for _ in range(2):
        world.turn()
    assert {peer.process for peer in world.announcer.peers} == {"gate", "side"}


def test_silent_process_is_forgotten_by_a_directory():
    place = directory.Directory()
    place.handle_announcement(OWN, documents.Documents(), [], 0)
    assert place.expire(directory.EXPIRY_MS) == []
    assert place.expire(directory.EXPIRY_MS + 1) == ["gate"]


def test_list_of_processes_is_sent_only_when_it_has_changed():
    place = directory.Directory()
    first = place.handle_announcement(OWN, documents.Documents(), [], 0)
    assert len(first.peers) == 1
    again = attrs.evolve(OWN, peers_digest=first.peers_digest)
    assert place.handle_announcement(again, documents.Documents(), [], 1).peers == []


def test_domain_set_twice_changes_once():
    state = documents.Documents()
    for is_out in (True, True, False, False, True):
        state.set_domain(viewmessages.SetDomain("r", "east", is_out))
    assert (state.domains_revision, state.domains_out) == (3, {"east"})


SEEDS = {"h1": "h1:1", "h2": "h2:1", "h3": "h3:1"}


def test_first_replicas_are_named_after_their_hosts():
    plan = joining.plan_replica("h1", "h1:1", "", SEEDS, True)
    assert plan.replica == "h1"
    assert plan.first == ["h1=h1:1", "h2=h2:1", "h3=h3:1"]
    assert plan.join == ["h2:1", "h3:1"]


def test_replica_with_a_lost_folder_joins_under_a_new_id():
    plan = joining.plan_replica("h1", "h1:1", "", SEEDS, False)
    assert plan.replica.startswith("h1-")
    assert plan.first == []


def test_stored_id_is_kept():
    plan = joining.plan_replica("h1", "h1:1", "h1-ab", SEEDS, False)
    assert (plan.replica, plan.first) == ("h1-ab", [])


def build_members() -> messages.ChangeReplicas:
    found = [messages.Replica(name, SEEDS[name], True) for name in SEEDS]
    return messages.ChangeReplicas(found, [])


def test_joining_replica_replaces_the_one_at_its_address():
    joined = messages.JoinReplicas("h2-ab", "h2:1")
    silent = frozenset({"h3"})
    assert replacement.plan_join(build_members(), joined, silent) == "h2"


def test_joining_replica_replaces_one_that_is_silent_or_none():
    joined = messages.JoinReplicas("h4-ab", "h4:1")
    members = build_members()
    assert replacement.plan_join(members, joined, frozenset({"h3"})) == "h3"
    assert replacement.plan_join(members, joined, frozenset()) == ""
    member = messages.JoinReplicas("h1", "h1:1")
    assert replacement.plan_join(members, member, frozenset()) is None


def test_silent_voter_leaves_a_set_of_even_number():
    """A new leader's host came before the old one had been silent for long."""
    joined = messages.Replica("h4", "h4:1", True)
    members = messages.ChangeReplicas([*build_members().replicas, joined], [])
    assert replacement.plan_removal(members, frozenset({"h1"})) == "h1"
    assert replacement.plan_removal(members, frozenset()) == ""
    assert replacement.plan_removal(members, frozenset({"h1", "h2", "h3"})) == ""


def test_silent_voter_stays_in_a_set_of_odd_number():
    assert replacement.plan_removal(build_members(), frozenset({"h1"})) == ""


def test_process_that_has_just_started_asks_more_often_for_three_seconds():
    world = Controllers("a")
    sent = sum(
        bool(world.announcer.tick(world.now_ms + at)) for at in range(0, 900, 20)
    )
    assert sent == 9
    late_ms = (
        world.now_ms + announcer.STARTUP_PERIOD_MS + announcer.ANNOUNCE_INTERVAL_MS
    )
    assert world.announcer.tick(late_ms)
    assert not world.announcer.tick(late_ms + announcer.ANNOUNCE_INTERVAL_MS - 20)
    assert world.announcer.tick(late_ms + announcer.ANNOUNCE_INTERVAL_MS)


def test_sidecar_that_was_answered_asks_at_the_ordinary_interval():
    world = Controllers("a")
    world.announcer = announcer.Announcer(
        attrs.evolve(OWN, role="sidecar", wants_peers=False), ["a"]
    )
    world.turn()
    world.turn()
    assert world.announcer.answered_ms == world.now_ms
    assert not world.announcer.tick(world.now_ms + announcer.STARTUP_INTERVAL_MS)


def test_sidecar_is_not_sent_the_document_and_hears_of_domains():
    """Large documents go only to the processes that route requests."""
    world = Controllers("a", "b", "c")
    world.announcer = announcer.Announcer(
        attrs.evolve(OWN, role="sidecar", wants_peers=False), list(world.directories)
    )
    world.put(3)
    for state in world.states.values():
        state.set_domain(viewmessages.SetDomain("r", "east", True))
    for _ in range(6):
        world.turn()
    assert world.sent_documents == 0
    assert world.announcer.domains_out == {"east"}


def build_world_past_its_start(*names: str) -> Controllers:
    world = Controllers(*names)
    world.turn()
    world.turn(announcer.STARTUP_PERIOD_MS + 1)
    return world


def test_announcements_do_not_grow_with_the_number_of_controllers():
    for names in ("abc", "abcde", "abcdefg"):
        world = build_world_past_its_start(*names)
        counts = dict.fromkeys(names, 0)
        for _ in range(12_000 // 10):
            world.now_ms += 10
            for send in world.announcer.tick(world.now_ms):
                counts[send.peer] += 1
        assert sum(counts.values()) == 12_000 // announcer.ANNOUNCE_INTERVAL_MS
        assert max(counts.values()) - min(counts.values()) <= 1


def test_change_of_the_list_is_sent_as_a_difference():
    world = build_world_past_its_start("a")
    place = world.directories["a"]
    for number in range(50):
        side = attrs.evolve(OWN, process=f"s{number}", role="sidecar")
        world.ask("a", side)
    world.turn()
    assert len(world.announcer.peers) == 51
    world.ask("a", attrs.evolve(OWN, process="s7", role="sidecar", incarnation=2))
    world.ask("a", attrs.evolve(OWN, process="new", role="sidecar"))
    (send,) = world.announcer.tick(world.now_ms + announcer.ANNOUNCE_INTERVAL_MS)
    view = place.handle_announcement(
        send.message,
        world.states["a"],
        ["a"],
        world.now_ms + announcer.ANNOUNCE_INTERVAL_MS,
    )
    assert sorted(peer.process for peer in view.peers) == ["new", "s7"]
    world.announcer.apply_view("a", view, world.now_ms)
    known = {peer.process: peer.incarnation for peer in world.announcer.peers}
    assert len(known) == 52
    assert known["s7"] == 2


def test_process_that_is_gone_leaves_the_list_by_a_difference():
    world = build_world_past_its_start("a")
    side = attrs.evolve(OWN, process="side", role="sidecar")
    world.ask("a", side)
    world.turn()
    assert len(world.announcer.peers) == 2
    for _ in range(
        announcer.PEER_LIST_TIMEOUT_MS // announcer.ANNOUNCE_INTERVAL_MS * 2
    ):
        world.turn()
        world.directories["a"].expire(world.now_ms)
    assert [peer.process for peer in world.announcer.peers] == ["gate"]


def test_list_of_a_restarted_controller_replaces_the_one_before():
    world = build_world_past_its_start("a")
    world.ask("a", attrs.evolve(OWN, process="old", role="sidecar"))
    world.turn()
    world.directories["a"] = directory.Directory()
    world.ask("a", attrs.evolve(OWN, process="side", role="sidecar"))
    world.turn()
    world.turn()
    assert {peer.process for peer in world.announcer.peers} == {"gate", "side"}


@hypothesis.given(strategies.lists(strategies.integers(0, 9), max_size=60))
def test_differences_lead_to_the_same_list_as_the_whole(numbers):
    place, state = directory.Directory(), documents.Documents()
    held: dict[str, viewmessages.Peer] = {}
    digest = 0
    now_ms = 0
    for number in numbers:
        now_ms += 600
        changed = attrs.evolve(OWN, process=f"s{number % 5}", incarnation=number)
        place.handle_announcement(changed, state, [], now_ms)
        place.expire(now_ms)
        asked = attrs.evolve(OWN, process="reader", peers_digest=digest)
        view = place.handle_announcement(asked, state, [], now_ms)
        if view.peers_base == 0:
            held = {}
        for name in view.peers_gone:
            del held[name]
        held |= {peer.process: peer for peer in view.peers}
        digest = view.peers_digest
        whole = place.handle_announcement(
            attrs.evolve(asked, peers_digest=0), state, [], now_ms
        )
        assert held == {peer.process: peer for peer in whole.peers}


class DelayedControllers(Controllers):
    """Controllers asked on a gateway's clock of 20 ms; some fall silent on the way."""

    def find_delay_ms(self, silent: set[str], falls_silent: int) -> int:
        """Return the time from a new version at all controllers to holding it.

        Args:
            silent: Controllers that answer nothing.
            falls_silent: Further ones that fall silent once they have stated it.
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
def test_document_is_held_in_time_when_two_of_five_controllers_are_silent(
    silent, passed
):
    world = DelayedControllers(*NAMES)
    world.put(1)
    for _ in range(200 + passed):
        world.turn(20)

    delay_ms = world.find_delay_ms(silent, falls_silent=2 - len(silent))

    # Less than the 2 s within which the smallest site wants a configuration in force.
    assert delay_ms < 2_000
