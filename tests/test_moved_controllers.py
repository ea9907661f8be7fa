"""Tests of controllers that return with their data folders at other addresses."""

import asyncio
import os
import random
import time

import pytest
import uvloop

from amaranthspar.consensus import addresses, replacement, replicas, transitions
from amaranthspar.schema import messages
from tests import builders_control, builders_replacement

MOVED = ("one", "majority", "all")
CONTACT_WAIT_S = 30
SEEDS = range(200 if "FUZZ_EXAMPLES" in os.environ else 6)
"""`make fuzz` plays all."""


def run(scenario, tmp_path):
    """Run a scenario with three controllers that ask one another for admission."""

    async def main():
        cluster = builders_control.Cluster(tmp_path)
        cluster.changes["join"] = cluster.targets
        try:
            await cluster.start()
            await cluster.find_leader()
            await scenario(cluster)
        finally:
            cluster.close()

    uvloop.run(main())


async def move(cluster, names):
    """Stop controllers and start them at other addresses, which the settings name."""
    for name in names:
        cluster.kill(name)
        cluster.addresses[name] = cluster.listens[name] = (
            builders_control.find_address()
        )
    cluster.changes["join"] = cluster.targets
    for name in cluster.running:
        cluster.running[name].apply_settings(cluster.targets)
    await cluster.start(*names)


async def wait_until(condition):
    until_s = time.monotonic() + CONTACT_WAIT_S
    while not condition():
        assert time.monotonic() < until_s, "condition not met in time"
        await asyncio.sleep(0.01)


def find_stated(cluster, name):
    """Return the addresses that a controller states, by replica."""
    machine = cluster.running[name].machine
    committed = machine.journal.find_members(machine.commit_index)
    return {item.id: item.address for item in committed.replicas}


@pytest.mark.parametrize("which", MOVED)
def test_controllers_that_return_at_other_addresses_are_in_contact_again(
    tmp_path, which
):
    async def scenario(cluster):
        leader = await cluster.find_leader()
        followers = [name for name in cluster.addresses if name != leader]
        moved = {
            "one": followers[:1],
            "majority": [leader, followers[0]],
            "all": [leader, *followers],
        }
        await move(cluster, moved[which])
        leader = await cluster.find_leader()
        machine = cluster.running[leader].machine
        before = machine.commit_index
        cluster.running[leader]._step(
            transitions.Propose([transitions.Command("", b"")])
        )
        await wait_until(
            lambda: all(
                item.machine.commit_index > before for item in cluster.running.values()
            )
        )
        await wait_until(
            lambda: all(
                find_stated(cluster, name) == cluster.addresses
                for name in cluster.running
            )
        )
        assert replicas.list_voters(machine.journal.members) == sorted(
            cluster.addresses
        )

    run(scenario, tmp_path)


def test_leader_that_returns_at_another_address_is_asked_there(tmp_path):
    """Controllers pass requests on to it, though no set in the log names it yet."""

    async def scenario(cluster):
        leader = await cluster.find_leader()
        await move(cluster, list(cluster.addresses))
        leader = await cluster.find_leader()
        await wait_until(
            lambda: all(
                item.machine.leader_address == cluster.addresses[leader]
                for name, item in cluster.running.items()
                if name != leader
            )
        )

    run(scenario, tmp_path)


@pytest.mark.parametrize("names", ["abc", "abcde"])
def test_any_series_of_moves_freezes_and_lost_disks_leaves_a_set_in_contact(names):
    """Any hosts move at once; beyond that, one at a time is frozen or loses its disk."""
    for seed in SEEDS:
        hosts = builders_replacement.ReplicaHosts(seed, tuple(names))
        random_source = random.Random(seed)
        for _ in range(4):
            moved = random_source.sample(names, random_source.randint(1, len(names)))
            for name in moved:
                hosts.kill(name)
                hosts.move(name)
            hosts.wait(random_source.choice((0, 100, builders_replacement.DOWN_MS)))
            for name in moved:
                hosts.restart(name)
                hosts.wait(random_source.choice((0, 0, 100, 1_000)))
            target = random_source.choice(names)
            match random_source.choice(("freeze", "lose", "none")):
                case "freeze":
                    hosts.freeze(target)
                    hosts.wait(builders_replacement.FREEZE_MS)
                    hosts.thaw(target)
                case "lose":
                    hosts.wait(builders_replacement.CALM_MS)
                    hosts.lose_disk(target)
                    hosts.wait(builders_replacement.DOWN_MS)
                    hosts.restart(target)
                case _:
                    pass
            hosts.wait(2 * builders_replacement.CALM_MS)
            assert hosts.commits(), seed
            found = {
                item.id: item.address
                for item in hosts.find_committed_members().replicas
            }
            expected = {
                host.replica: hosts.find_address(name)
                for name, host in hosts.hosts.items()
            }
            assert found == expected, seed


def test_replica_takes_no_address_that_another_one_of_the_set_still_has():
    found = [messages.Replica(name, f"{name}:1", True) for name in "abc"]
    members = messages.ChangeReplicas(found, [])
    assert replacement.plan_move(members, "a", "b:1") is None
    assert replacement.plan_move(members, "a", "a:1") is None
    assert replacement.plan_move(members, "d", "d:1") is None
    moved = replacement.plan_move(members, "a", "a:2")
    assert moved is not None
    assert [item.address for item in moved.replicas] == ["a:2", "b:1", "c:1"]
    assert all(item.voter for item in moved.replicas)


@pytest.mark.parametrize("folder", ["own", "other", "unknown"])
def test_only_the_data_folder_of_a_replica_tells_where_it_has_moved(folder):
    """A host that has lost its disk may ask under the id that it had."""
    hosts = builders_replacement.ReplicaHosts(1, ("a", "b", "c"))
    own = hosts.nodes["c"].disk.folder
    number = {"own": own, "other": own + 1, "unknown": 0}[folder]
    machine = hosts.nodes["b"].machine
    request = messages.JoinReplicas("c", "c/1", number)
    found = machine.step(transitions.Received("c/1", request), hosts.now_ms)
    moves = [item for item in found if isinstance(item, transitions.ReplicaMoved)]
    assert len(moves) == (folder == "own")


def test_address_last_heard_does_not_outlast_a_newer_set():
    """A replica that has moved twice may have been heard by others only once."""
    book = addresses.AddressBook()
    first, second, third = (messages.Replica("c", f"c/{n}", True) for n in range(3))
    members = messages.ChangeReplicas([first], [])
    assert book.note(members, "c", "c/1")
    assert not book.note(members, "c", "c/1")
    assert book.find(first) == "c/1"
    assert book.find(second) == "c/1"
    assert book.find(third) == "c/2"
    assert book.note(members, "c", "c/0")
    assert book.find(first) == "c/0"
