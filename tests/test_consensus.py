"""Scenarios of replica failures, simulated step by step."""

import random

import pytest

from amaranthspar.consensus import consensus, journal, leadership, transitions
from amaranthspar.schema import codec, messages
from tools import simulation


def build_cluster(names=("a", "b", "c"), seed=1):
    cluster = simulation.Simulation(seed, names)
    cluster.heal(500)
    return cluster


def find_leader(cluster):
    (leader,) = cluster.list_leaders()
    return leader


def list_others(cluster, name):
    return [other for other in cluster.nodes if other != name]


def isolate(cluster, name):
    cluster.blocked_links |= {frozenset((name, other)) for other in cluster.nodes}


def run_partitioned(cluster, duration_ms):
    """Let time pass while the network stays partitioned."""
    for _ in range(duration_ms // 5):
        cluster.settle()
        cluster.advance(5)


def test_leader_crash_before_sync_loses_no_committed_entry():
    cluster = build_cluster()
    leader = find_leader(cluster)
    cluster.propose(leader)
    before = dict(cluster.committed)
    cluster.crash(leader)
    cluster.heal(800)
    cluster.propose(find_leader(cluster))
    cluster.heal(100)
    assert before.items() <= cluster.committed.items()
    assert cluster.nodes[leader].applied == max(cluster.committed)


def test_leader_crash_during_commit_keeps_entry_synced_by_follower():
    cluster = build_cluster()
    leader = find_leader(cluster)
    follower = list_others(cluster, leader)[0]
    cluster.propose(leader)
    for _ in range(len(cluster.packets)):
        cluster.deliver(0)
    cluster.sync(follower, 10)
    cluster.sync(leader, 10)
    for _ in range(len(cluster.packets)):
        cluster.deliver(0)
    accepted = max(cluster.committed)
    cluster.crash(leader)
    isolate(cluster, leader)
    run_partitioned(cluster, 800)
    cluster.blocked_links.clear()
    cluster.heal(300)
    assert cluster.nodes[follower].state.version == 1
    assert cluster.committed[accepted].kind == "AcceptConfiguration"


def test_partitioned_leader_commits_nothing_and_its_view_ages():
    cluster = build_cluster()
    leader = find_leader(cluster)
    isolate(cluster, leader)
    cluster.propose(leader)
    run_partitioned(cluster, 1_000)
    node = cluster.nodes[leader]
    assert node.machine.leading is None
    assert node.machine.read_view_age(cluster.read_clock(node)) > 800
    (elected,) = cluster.list_leaders()
    cluster.propose(elected)
    run_partitioned(cluster, 100)
    term = cluster.nodes[elected].machine.term
    cluster.heal(500)
    assert find_leader(cluster) == elected
    assert cluster.nodes[elected].machine.term == term
    assert node.state.version == 1


def test_partitioned_minority_of_five_commits_nothing():
    cluster = build_cluster(tuple("abcde"))
    leader = find_leader(cluster)
    follower = list_others(cluster, leader)[0]
    minority = {leader, follower}
    for one in minority:
        for other in set(cluster.nodes) - minority:
            cluster.blocked_links.add(frozenset((one, other)))
    before = cluster.nodes[follower].machine.commit_index
    for _ in range(5):
        cluster.propose(leader)
    run_partitioned(cluster, 1_500)
    assert cluster.nodes[follower].machine.commit_index == before
    assert set(cluster.list_leaders()).isdisjoint(minority)


def test_wiped_replica_cannot_vote_under_its_former_id():
    cluster = build_cluster()
    leader = find_leader(cluster)
    wiped, other = list_others(cluster, leader)
    cluster.propose(leader)
    cluster.heal(100)
    cluster.wipe(wiped)
    cluster.start(wiped)
    cluster.crash(leader)
    run_partitioned(cluster, 3_000)
    assert cluster.list_leaders() == []
    assert cluster.nodes[other].machine.rejected_folders > 0


def test_second_host_loss_after_replacement_loses_no_committed_change():
    cluster = build_cluster()
    leader = find_leader(cluster)
    lost, other = list_others(cluster, leader)
    for _ in range(20):
        cluster.propose(leader)
    cluster.heal(100)
    cluster.crash(lost)
    cluster.add_host("d")
    cluster.replace(leader, lost, "d")
    del cluster.nodes[lost]
    cluster.heal(300)
    cluster.propose(leader)
    cluster.heal(100)
    accepted = dict(cluster.committed)
    cluster.wipe(leader)
    run_partitioned(cluster, 1_000)
    (elected,) = cluster.list_leaders()
    assert elected in (other, "d")
    assert cluster.nodes[elected].applied >= max(accepted)
    assert cluster.installed_snapshots > 0


@pytest.mark.parametrize(("removed", "added"), [("x", "d"), ("a", "b"), ("", "a")])
def test_replacement_with_an_unknown_or_used_id_is_refused(removed, added):
    cluster = build_cluster()
    node = cluster.nodes[find_leader(cluster)]
    event = transitions.Replace(removed, added, added)
    effects = node.machine.step(event, cluster.read_clock(node))
    assert isinstance(effects[0], transitions.Refuse)


def test_removed_id_cannot_be_added_again():
    cluster = build_cluster()
    leader = find_leader(cluster)
    removed = list_others(cluster, leader)[0]
    cluster.replace(leader, removed, "")
    cluster.heal(100)
    node = cluster.nodes[leader]
    event = transitions.Replace("", removed, removed)
    effects = node.machine.step(event, cluster.read_clock(node))
    assert isinstance(effects[0], transitions.Refuse)


def test_self_removal_of_a_leader_is_committed_after_its_restart():
    cluster = build_cluster()
    leader = find_leader(cluster)
    first, other = list_others(cluster, leader)
    cluster.replace(leader, other, "")
    cluster.heal(100)
    del cluster.nodes[other]
    isolate(cluster, leader)
    cluster.replace(leader, leader, "")
    cluster.sync(leader, 10)
    cluster.crash(leader)
    cluster.heal(2_000)
    assert find_leader(cluster) == first
    assert cluster.find_committed_members().retired == [other, leader]


def test_transfer_to_an_unreachable_replica_is_abandoned():
    cluster = build_cluster()
    leader = find_leader(cluster)
    for other in list_others(cluster, leader):
        cluster.blocked_links.add(frozenset((leader, other)))
    cluster.transfer_leadership(leader)
    run_partitioned(cluster, 120)
    assert cluster.nodes[leader].machine.accepts_proposals


def test_transfer_elects_another_leader_without_a_timeout():
    cluster = build_cluster()
    leader = find_leader(cluster)
    cluster.transfer_leadership(leader)
    for _ in range(6):
        cluster.settle()
    assert find_leader(cluster) != leader


def test_response_is_sent_only_after_sync():
    cluster = build_cluster()
    leader = find_leader(cluster)
    follower = cluster.nodes[list_others(cluster, leader)[0]]
    cluster.packets.clear()
    log = follower.machine.journal.log
    entry = messages.LogEntry(log.last_index + 1, follower.machine.term, "", b"")
    append = messages.AppendEntries(
        follower.machine.term,
        leader,
        log.last_index,
        log.last_term,
        0,
        999,
        0,
        0,
        [entry],
    )
    cluster.step(follower, transitions.Received(leader, append))
    assert cluster.packets == []
    cluster.sync(follower.name, 1)
    (packet,) = cluster.packets
    assert packet.message.match_index == entry.index


def test_followers_apply_a_configuration_without_waiting_for_a_heartbeat():
    cluster = build_cluster()
    leader = find_leader(cluster)
    cluster.propose(leader)
    for _ in range(4):
        cluster.settle()
    versions = [node.state.version for node in cluster.nodes.values()]
    assert versions == [1, 1, 1]


def test_late_snapshot_does_not_revert_committed_entries():
    cluster = build_cluster()
    leader = find_leader(cluster)
    for _ in range(10):
        cluster.propose(leader)
    cluster.heal(100)
    source = cluster.nodes[leader].machine
    target = cluster.nodes[list_others(cluster, leader)[0]]
    snapshot = source.journal.snapshot
    cluster.propose(leader)
    cluster.heal(100)
    applied = target.applied
    data = simulation.encode_snapshot(snapshot)
    chunk = messages.InstallSnapshot(
        source.term, leader, snapshot.index, snapshot.term, 0, data, True
    )
    cluster.step(target, transitions.Received(leader, chunk))
    assert target.applied == applied
    assert target.machine.commit_index == applied


def build_entry(index, term):
    return messages.LogEntry(index, term, "", b"")


def build_stored(term, *terms):
    """Return stored state whose first entry binds three replicas to their folders."""
    members = messages.ChangeReplicas(
        [messages.Replica(name, name, True, 7) for name in ("a", "b", "c")], []
    )
    payload = codec.encode_message(members)
    first = messages.LogEntry(1, 1, "ChangeReplicas", payload)
    entries = [build_entry(index, item) for index, item in enumerate(terms, 2)]
    state = messages.ReplicaState(term, "")
    return transitions.Stored(state, None, [first, *entries])


def build_replica(stored):
    identity = transitions.Identity("a", 7)
    first = messages.ChangeReplicas([], [])
    settings = transitions.Settings(100, 20)
    return consensus.Consensus(identity, first, settings, random.Random(1), stored, 0)


def test_entries_of_an_older_term_commit_only_with_one_of_the_current_term():
    machine = build_replica(build_stored(2, 1, 2))
    now_ms = 1_000
    machine.step(transitions.Tick(), now_ms)
    granted = messages.Vote(3, "b", True, True, 7)
    machine.step(transitions.Received("b", granted), now_ms)
    machine.step(transitions.Persisted(1), now_ms)
    granted = messages.Vote(3, "b", True, False, 7)
    machine.step(transitions.Received("b", granted), now_ms)
    assert machine.leading.first_index == 4
    answer = messages.Appended(3, "b", True, 3, 1, 1, [], 7)
    machine.step(transitions.Received("b", answer), now_ms)
    machine.step(transitions.Persisted(2), now_ms)
    assert machine.commit_index == 0
    answer = messages.Appended(3, "b", True, 4, 1, 2, [], 7)
    machine.step(transitions.Received("b", answer), now_ms)
    assert machine.commit_index == 4


def test_durable_index_excludes_entries_truncated_before_sync():
    members = messages.ChangeReplicas([], [])
    replica_journal = journal.Journal(members, build_stored(1, 1), 10)
    replica_journal.append([build_entry(3, 1), build_entry(4, 1)])
    replica_journal.end_step()
    replica_journal.truncate(3)
    replica_journal.append([build_entry(3, 2), build_entry(4, 2)])
    replica_journal.end_step()
    replica_journal.handle_persisted(1)
    assert replica_journal.durable_index == 2
    replica_journal.handle_persisted(2)
    assert replica_journal.durable_index == 4


def test_leader_counts_its_own_entries_only_after_sync():
    machine = build_replica(build_stored(1, 1))
    machine.step(transitions.Tick(), 1_000)
    for number, pre_vote in ((1, True), (2, False)):
        granted = messages.Vote(2, "b", True, pre_vote, 7)
        machine.step(transitions.Received("b", granted), 1_000)
        if pre_vote:
            machine.step(transitions.Persisted(number), 1_000)
    answer = messages.Appended(2, "b", True, 3, 1, 1, [], 7)
    machine.step(transitions.Received("b", answer), 1_000)
    assert machine.commit_index == 0
    machine.step(transitions.Persisted(2), 1_000)
    assert machine.commit_index == 3


def measure_election_after_restart(seed):
    """Return the time in ms until a leader leads after all replicas restart at once."""
    cluster = build_cluster(seed=seed)
    for name in list(cluster.nodes):
        cluster.crash(name)
        cluster.start(name)
    time_ms = 0
    while not cluster.list_leaders():
        cluster.heal(5)
        time_ms += 5
    return time_ms


def test_simultaneous_restart_elects_within_one_election_timeout_on_average():
    times_ms = [measure_election_after_restart(seed) for seed in range(60)]
    assert sum(times_ms) / len(times_ms) <= simulation.ELECTION_MS
    assert max(times_ms) <= 6 * simulation.ELECTION_MS


@pytest.mark.parametrize("seed", range(20))
def test_restarted_follower_does_not_disturb_its_leader(seed):
    cluster = build_cluster(seed=seed)
    leader = find_leader(cluster)
    term = cluster.nodes[leader].machine.term
    follower = list_others(cluster, leader)[0]
    cluster.crash(follower)
    cluster.start(follower)
    cluster.heal(5 * simulation.ELECTION_MS)
    assert cluster.list_leaders() == [leader]
    assert cluster.nodes[leader].machine.term == term


def test_follower_is_unresponsive_once_it_was_sent_to_for_the_timeout():
    leading = leadership.Leadership(1, "a", 1, 1_000)
    leading.find_progress("b", 0, 1_000)
    leading.find_progress("c", 0, 4_900)
    assert leading.list_unresponsive(3_999, 3_000) == frozenset()
    assert leading.list_unresponsive(5_000, 3_000) == {"b"}


def test_follower_that_was_removed_counts_anew_once_it_is_added_again():
    leading = leadership.Leadership(1, "a", 1, 1_000)
    leading.find_progress("b", 0, 1_000)
    leading.drop_removed(messages.ChangeReplicas([], []))
    leading.find_progress("b", 0, 9_000)
    assert leading.list_unresponsive(9_100, 3_000) == frozenset()
