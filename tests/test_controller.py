"""Tests of controllers in one process, over real links and data folders."""

import asyncio
import errno
import time

import pytest
import uvloop

from amaranthspar import errors
from amaranthspar.consensus import replicas, transitions
from amaranthspar.roles import controller
from amaranthspar.schema import messages
from amaranthspar.storage import disk, files, recovery
from tests import builders_control

SLOW_WRITE_S = 0.03
SLOW_SNAPSHOT_S = 0.8


def run(scenario, tmp_path, **changes):
    """Run a scenario with three controllers and a client."""

    async def main():
        cluster = builders_control.Cluster(tmp_path, **changes)
        client = builders_control.Client()
        await client.links.open()
        try:
            await cluster.start()
            await cluster.find_leader()
            await scenario(cluster, client)
        finally:
            cluster.close()
            client.links.close()

    uvloop.run(main())


def build_proposal(change_id="c1", base=1, text=builders_control.TEXT):
    return messages.ProposeConfiguration(change_id, base, "ops", text)


def test_every_controller_grants_leases_with_first_configuration(tmp_path):
    async def scenario(cluster, client):
        for target in cluster.targets:
            renewal = client.build_renewal()
            granted = await client.ask([target], renewal, messages.LeaseGranted)
            assert granted.configuration.version == 1
            names = {item.name for item in granted.configuration.sections}
            assert names == {"service lookup", "domain gyor", "domain pecs"}
            assert 0 <= granted.age_ms <= 2000

    run(scenario, tmp_path)


def test_gateway_gets_sidecars_and_sidecar_gets_only_gateways(tmp_path):
    async def scenario(cluster, client):
        leader = cluster.addresses[await cluster.find_leader()]
        gateway = builders_control.build_member("g1", "gateway", 1, client.address)
        for member in (builders_control.build_member("s1"), gateway):
            renewal = client.build_renewal(member)
            granted = await client.ask([leader], renewal, messages.LeaseGranted)
        members = {item.process: item for item in granted.membership.members}
        assert members["s1"].announcement == builders_control.build_announcement()
        renewal = client.build_renewal(builders_control.build_member("s1"))
        granted = await client.ask([leader], renewal, messages.LeaseGranted)
        assert [item.process for item in granted.membership.members] == ["g1"]

    run(scenario, tmp_path)


def test_older_incarnation_is_superseded(tmp_path):
    async def scenario(cluster, client):
        for incarnation in (5, 4):
            member = builders_control.build_member("s1", incarnation=incarnation)
            renewal = client.build_renewal(member)
            answer = await client.ask(
                cluster.targets,
                renewal,
                messages.LeaseGranted | messages.LeaseDenied,
            )
        assert answer.reason == "superseded"

    run(scenario, tmp_path)


def test_concurrent_changes_give_one_acceptance_and_one_conflict(tmp_path):
    async def scenario(cluster, client):
        one, other = build_proposal("c1"), build_proposal("c2")
        answers = {}
        while len(answers) < 2:
            for target, proposal in zip(cluster.targets, (one, other), strict=False):
                client.send(target, proposal)
            answer = await client.wait(messages.ConfigurationDecided)
            if answer.outcome != "unavailable":
                answers.setdefault(answer.change_id, answer)
        answers = list(answers.values())
        assert sorted(item.outcome for item in answers) == ["accepted", "conflict"]
        assert {item.version for item in answers} == {2}

    run(scenario, tmp_path)


def test_resent_change_gets_first_answer_after_leader_is_killed(tmp_path):
    async def scenario(cluster, client):
        text = builders_control.TEXT + "\n[domain veszprem]\nstate = out\n"
        proposal = build_proposal(text=text)
        kind = messages.ConfigurationDecided
        first = await client.ask(cluster.targets, proposal, kind)
        assert (first.outcome, first.version) == ("accepted", 2)
        cluster.kill(await cluster.find_leader())
        await cluster.find_leader()
        targets = [cluster.addresses[name] for name in cluster.running]
        again = await client.ask(targets, proposal, kind)
        assert again == first
        fetch = messages.FetchConfiguration(7, 0)
        fetched = await client.ask(targets, fetch, messages.ConfigurationFetched)
        assert fetched.version == 2
        assert "[domain veszprem]" in fetched.text
        assert [item.change_id for item in fetched.history] == ["bootstrap", "c1"]

    run(scenario, tmp_path)


def test_invalid_configuration_is_answered_with_all_faults(tmp_path):
    async def scenario(cluster, client):
        proposal = build_proposal(text="[domain x]\nstate = up\n\n[shop y]\n")
        kind = messages.ConfigurationDecided
        answer = await client.ask(cluster.targets, proposal, kind)
        assert (answer.outcome, answer.version) == ("invalid", 1)
        assert len(answer.errors) == 2

    run(scenario, tmp_path)


def test_first_claim_of_a_key_wins(tmp_path):
    async def scenario(cluster, client):
        for submission in ("first", "second"):
            claim = messages.ClaimSubmission("key", "f", submission, "g1", 1)
            decided = await client.ask(cluster.targets, claim, messages.ClaimDecided)
            assert decided.submission == "first"

    run(scenario, tmp_path)


def test_stopped_member_is_removed_and_cannot_renew(tmp_path):
    async def scenario(cluster, client):
        member = builders_control.build_member("s1")
        renewal = client.build_renewal(member)
        await client.ask(cluster.targets, renewal, messages.LeaseGranted)
        leave = messages.LeaveMembership("s1", 1, True)
        client.send(cluster.targets[0], leave)
        states = [item.state for item in cluster.running.values()]
        while any("s1" in state.members for state in states):
            await asyncio.sleep(0.01)
        answer = await client.ask(
            cluster.targets, renewal, messages.LeaseGranted | messages.LeaseDenied
        )
        assert answer.reason == "superseded"

    run(scenario, tmp_path)


def test_member_that_stops_renewing_expires(tmp_path):
    async def scenario(cluster, client):
        renewal = client.build_renewal(builders_control.build_member("s1"))
        await client.ask(cluster.targets, renewal, messages.LeaseGranted)
        state = next(iter(cluster.running.values())).state
        for _ in range(builders_control.WAIT_S * 100):
            if "s1" not in state.members:
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the member did not expire")

    run(scenario, tmp_path, lease_ms=300)


def test_graceful_stop_transfers_leadership(tmp_path):
    async def scenario(cluster, client):
        leader = await cluster.find_leader()
        stopping = cluster.running.pop(leader)
        await stopping.stop()
        assert any(item.leading for item in cluster.running.values())

    run(scenario, tmp_path)


def test_graceful_stop_waits_until_new_leader_is_elected(tmp_path, monkeypatch):
    async def scenario(cluster, client):
        leader = await cluster.find_leader()
        lost, kept = [name for name in cluster.running if name != leader]
        cluster.kill(lost)
        monkeypatch.setattr(disk.Folder, "write", write_slowly)
        await cluster.running.pop(leader).stop()
        assert cluster.running[kept].leading

    original = disk.Folder.write

    def write_slowly(folder, changes):
        time.sleep(SLOW_WRITE_S)
        original(folder, changes)

    run(scenario, tmp_path)


def test_state_survives_restart_of_all_controllers(tmp_path):
    async def scenario(cluster, client):
        kind = messages.ConfigurationDecided
        decided = await client.ask(cluster.targets, build_proposal(), kind)
        assert decided.outcome == "accepted"
        cluster.close()
        await cluster.start()
        await cluster.find_leader()
        fetch = messages.FetchConfiguration(1, 0)
        kind = messages.ConfigurationFetched
        fetched = await client.ask(cluster.targets, fetch, kind)
        assert fetched.version == 2

    run(scenario, tmp_path)


def test_second_process_cannot_open_data_folder(tmp_path):
    async def scenario(cluster, client):
        with pytest.raises(disk.LockedError):
            await cluster.build("a").start()

    run(scenario, tmp_path)


def test_cluster_survives_loss_of_second_host_after_first_is_replaced(tmp_path):
    async def scenario(cluster, client):
        leader = await cluster.find_leader()
        lost, kept = [name for name in cluster.running if name != leader]
        cluster.kill(lost)
        cluster.addresses["d"] = builders_control.find_address()
        await cluster.start("d")
        target = [cluster.addresses[leader]]
        change = messages.ReplaceReplica(1, lost, "d", cluster.addresses["d"], "ops")
        answer = await client.ask(target, change, messages.ReplicasChanged)
        assert (answer.outcome, answer.reason) == ("accepted", "")
        added = cluster.running["d"]
        while not any(
            item.id == "d" and item.voter
            for item in added.machine.journal.members.replicas
        ):
            await asyncio.sleep(0.01)
        kind = messages.ConfigurationDecided
        decided = await client.ask(target, build_proposal(), kind)
        assert decided.outcome == "accepted"
        cluster.kill(leader)
        await cluster.find_leader()
        targets = [cluster.addresses[name] for name in (kept, "d")]
        fetch = messages.FetchConfiguration(1, 0)
        fetched = await client.ask(targets, fetch, messages.ConfigurationFetched)
        assert fetched.version == 2

    run(scenario, tmp_path)


def test_stopping_controller_leaves_the_set_that_its_successor_has_joined(tmp_path):
    """Else the next lost disk leaves two of four voters, and never a leader again."""

    async def scenario(cluster, client):
        await cluster.find_leader()
        cluster.close()
        cluster.changes["join"] = cluster.targets
        await cluster.start()
        leader = await cluster.find_leader()
        cluster.addresses["d"] = builders_control.find_address()
        await cluster.start("d")
        machine = cluster.running["d"].machine
        while "d" not in replicas.list_voters(machine.journal.members):
            await asyncio.sleep(0.01)
        await cluster.running.pop(leader).stop()
        while leader in replicas.list_voters(machine.journal.members):
            await asyncio.sleep(0.01)
        cluster.kill(next(name for name in cluster.running if name != "d"))
        await cluster.find_leader()

    run(scenario, tmp_path)


def test_successor_takes_over_the_vote_of_its_domain_before_the_older_one_goes(
    tmp_path,
):
    """Else an unannounced removal beside another loss leaves two of four voters."""

    async def scenario(cluster, client):
        await cluster.find_leader()
        cluster.close()
        cluster.changes["join"] = cluster.targets
        cluster.domains |= {"a": "gyor", "b": "pecs", "c": "veszprem", "d": "gyor"}
        await cluster.start()
        await cluster.find_leader()
        cluster.addresses["d"] = builders_control.find_address()
        await cluster.start("d")
        machine = cluster.running["d"].machine
        while set(replicas.list_voters(machine.journal.members)) != {"b", "c", "d"}:
            await asyncio.sleep(0.01)
        cluster.kill("a")
        cluster.kill("b")
        await cluster.find_leader()
        target = [cluster.addresses[name] for name in ("c", "d")]
        kind = messages.ConfigurationDecided
        decided = await client.ask(target, build_proposal(), kind)
        assert decided.outcome == "accepted"

    run(scenario, tmp_path)


def test_recovery_after_loss_of_the_majority_is_confirmed_and_recorded(tmp_path):
    async def scenario(cluster, client):
        kind = messages.ConfigurationDecided
        leader = await cluster.find_leader()
        targets = [cluster.addresses[leader]]
        decided = await client.ask(targets, build_proposal(), kind)
        assert decided.outcome == "accepted"
        data = str(cluster.folder / leader)
        with pytest.raises(disk.LockedError):
            recovery.assess_recovery(data, leader)
        cluster.close()
        assessment = recovery.assess_recovery(data, leader)
        assert assessment.version == 2
        with pytest.raises(recovery.RecoveryRefusedError, match="not confirmed"):
            recovery.recover_quorum(data, leader, "ops", "yes")
        text = assessment.confirmation
        recovery.recover_quorum(data, leader, "ops", text)
        with pytest.raises(recovery.RecoveryRefusedError, match="only voter"):
            recovery.recover_quorum(data, leader, "ops", text)
        await cluster.start(leader)
        assert await cluster.find_leader() == leader
        decided = await client.ask(targets, build_proposal("c2", 2), kind)
        assert (decided.outcome, decided.version) == ("accepted", 3)
        members = cluster.running[leader].machine.journal.members
        assert sorted(members.retired) == sorted(assessment.lost)
        assert "recovered by ops" in members.reason

    run(scenario, tmp_path)


def test_controller_goes_on_without_its_full_disk_until_it_has_room(
    tmp_path, monkeypatch
):
    async def scenario(cluster, client):
        leader = await cluster.find_leader()
        failing = cluster.running[leader]
        before = failing.machine.journal.durable_index
        original = disk.Folder.write
        refused = []

        def write(folder, changes):
            if folder is failing._folder and is_full:
                refused.append(changes)
                raise disk.FullError("no space left")
            original(folder, changes)

        is_full = True
        monkeypatch.setattr(disk.Folder, "write", write)
        kind = messages.ConfigurationDecided
        for version in (1, 2, 3):
            proposal = build_proposal(f"c{version}", version)
            answer = await client.ask([cluster.addresses[leader]], proposal, kind)
            assert (answer.outcome, answer.version) == ("accepted", version + 1)
        assert refused
        assert failing.machine.journal.durable_index == before
        assert not failing.stopped.is_set()
        assert await cluster.find_leader() == leader
        is_full = False
        while not failing.machine.journal.is_synced:
            await asyncio.sleep(0.01)
        assert failing.failure is None
        stored = failing.machine.journal.durable_index
        cluster.kill(leader)
        reopened = disk.open_folder(files.Files(str(tmp_path / leader)), leader, 1)
        assert reopened.stored.entries[-1].index == stored > before
        reopened.close()
        await cluster.find_leader()

    run(scenario, tmp_path)


def test_write_that_ends_in_an_unexpected_error_is_never_confirmed(
    tmp_path, monkeypatch
):
    async def scenario(cluster, client):
        leader = await cluster.find_leader()
        name = next(item for item in cluster.running if item != leader)
        failing = cluster.running[name]
        original = disk.Folder.write
        is_failing = [True]

        def write(folder, changes):
            if folder is failing._folder and is_failing.pop():
                is_failing.append(False)
                raise OSError(errno.EIO, "input/output error")
            original(folder, changes)

        monkeypatch.setattr(disk.Folder, "write", write)
        kind = messages.ConfigurationDecided
        for version in (1, 2):
            proposal = build_proposal(f"c{version}", version)
            await client.ask([cluster.addresses[leader]], proposal, kind)
            await asyncio.sleep(0.1)
        stated = failing.machine.journal.durable_index
        cluster.kill(name)
        stored = disk.open_folder(files.Files(str(tmp_path / name)), name, 1)
        last = stored.stored.entries[-1].index
        stored.close()
        assert stated <= last, "entries counted that are not on disk"
        assert isinstance(failing.failure, errors.DiskError)

    run(scenario, tmp_path)


def test_slow_snapshot_writes_do_not_change_leader(tmp_path, monkeypatch):
    monkeypatch.setattr(controller, "SNAPSHOT_ENTRIES", 5)

    async def scenario(cluster, client):
        leader = await cluster.find_leader()
        term = cluster.running[leader].machine.term
        for version in range(1, 12):
            text = f"{builders_control.TEXT}\n[team t]\nweight = {version}\n"
            proposal = build_proposal(f"c{version}", version, text)
            kind = messages.ConfigurationDecided
            decided = await client.ask(cluster.targets, proposal, kind)
            assert decided.outcome == "accepted"
        snapshots = [item.machine.journal.snapshot for item in cluster.running.values()]
        assert all(snapshot is not None for snapshot in snapshots)
        assert await cluster.find_leader() == leader
        assert cluster.running[leader].machine.term == term

    original = disk.Folder.write

    def write_slowly(folder, changes):
        if any(isinstance(item, transitions.SaveSnapshot) for item in changes):
            time.sleep(SLOW_SNAPSHOT_S)
        original(folder, changes)

    monkeypatch.setattr(disk.Folder, "write", write_slowly)
    run(scenario, tmp_path)


def test_restart_after_hundreds_of_changes_reads_snapshot_and_log_tail(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(controller, "SNAPSHOT_ENTRIES", 50)

    async def scenario(cluster, client):
        for version in range(1, 231):
            text = f"{builders_control.TEXT}\n[team t]\nweight = {version}\n"
            proposal = build_proposal(f"c{version}", version, text)
            kind = messages.ConfigurationDecided
            decided = await client.ask(cluster.targets, proposal, kind)
            assert (decided.outcome, decided.version) == ("accepted", version + 1)
        cluster.close()
        await cluster.start()
        leader = await cluster.find_leader()
        journal = cluster.running[leader].machine.journal
        assert journal.snapshot.index > 150
        fetch = messages.FetchConfiguration(1, 0)
        kind = messages.ConfigurationFetched
        fetched = await client.ask(cluster.targets, fetch, kind)
        assert fetched.version == 231
        assert "weight = 230" in fetched.text
        again = await client.ask(
            cluster.targets, build_proposal("c1", 1, ""), messages.ConfigurationDecided
        )
        assert again.outcome == "invalid"

    run(scenario, tmp_path)
