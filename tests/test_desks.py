"""Tests of moves of desks between homes."""

import asyncio
import json
import pathlib
import uuid

from amaranthspar import configuration
from amaranthspar.clients import client
from amaranthspar.membership import desks, view
from amaranthspar.roles import cluster
from amaranthspar.schema import messages
from amaranthspar.upstreams import standin
from tests import test_cluster

MAIN = messages.Announcement("w", "r", "main", "gyor", ["hold"], 8, 64, 1, 1, 0)
LEDGER_UPSTREAMS = ("upstream-10", "upstream-11")
LEDGER = messages.Announcement("w", "r", "ledger", "gyor", ["hold"], 8, 64, 1, 1, 0)


def read_sections(settings: configuration.Configuration) -> dict[str, messages.Section]:
    return {item.name: item for item in settings.list_sections()}


def update_versions(
    before: dict[str, messages.Section],
    settings: configuration.Configuration,
    version: int,
) -> dict[str, messages.Section]:
    return desks.update_moved_versions(before, read_sections(settings), version)


def find_move(sections: dict[str, messages.Section], desk: str) -> int:
    settings = configuration.build_configuration(sections.values())
    return settings.desks[desk].moved_version


def test_move_sets_the_moved_version_of_its_desk() -> None:
    first = update_versions(
        {}, configuration.Configuration().add_desk("d", home="ledger"), 1
    )
    assert find_move(first, "d") == 1
    same = update_versions(
        first, configuration.Configuration().add_desk("d", home="ledger"), 2
    )
    assert find_move(same, "d") == 1
    back = update_versions(
        same, configuration.Configuration().add_desk("d", home="main"), 3
    )
    assert find_move(back, "d") == 3


def test_moved_version_in_a_proposed_configuration_is_ignored() -> None:
    settings = configuration.Configuration().add_desk("d", moved_version=9)
    assert find_move(update_versions({}, settings, 1), "d") == 0


def test_desk_removed_from_the_configuration_moves_to_the_main_home() -> None:
    first = update_versions(
        {}, configuration.Configuration().add_desk("d", home="ledger"), 1
    )
    gone = update_versions(first, configuration.Configuration(), 2)
    settings = configuration.build_configuration(gone.values())
    assert settings.desks["d"].home == "main"
    assert settings.desks["d"].moved_version == 2


def test_barrier_opens_after_the_sidecars_of_the_old_home_settled_the_move() -> None:
    held_view = desks.view.View()
    section = messages.Section(
        "desk d",
        [messages.Setting("home", "main"), messages.Setting("moved_version", "5")],
    )
    held_view.apply_configuration(messages.ConfigurationChange(0, 5, [section], []))
    old = messages.Member("s1", "sidecar", 7, "a", 1, announcement=LEDGER)
    new = messages.Member("s2", "sidecar", 7, "b", 1, announcement=MAIN)
    held_view.apply_membership(messages.MembershipChange(0, 1, [old, new], []))
    barrier = desks.MoveBarrier()
    assert not barrier.is_open("d", held_view)
    barrier.record_settled("s1", 6, 5)
    assert not barrier.is_open("d", held_view)
    barrier.record_settled("s1", 7, 4)
    assert not barrier.is_open("d", held_view)
    barrier.record_settled("s1", 7, 5)
    assert barrier.is_open("d", held_view)


def test_running_task_of_a_moved_desk_limits_the_settled_version() -> None:
    held_view = desks.view.View()
    section = messages.Section("desk d", [messages.Setting("home", "main")])
    held_view.apply_configuration(messages.ConfigurationChange(0, 5, [section], []))
    running = [desks.RunningTask("g", "d", 3), desks.RunningTask("g", "", 1)]
    assert desks.find_settled_version(5, running, "ledger", held_view) == 3
    assert desks.find_settled_version(5, running, "main", held_view) == 5


def test_task_running_since_before_a_move_and_its_return_is_not_settled() -> None:
    held_view = view.View(configuration_version=5)
    held_view.settings.add_desk("d", home="main", moved_version=5)
    before = desks.RunningTask("g1", "d", 3)
    after = desks.RunningTask("g1", "d", 5)
    assert desks.find_settled_version(5, [before, after], "main", held_view) == 3
    assert desks.find_settled_version(5, [after], "main", held_view) == 5


def test_moves_under_load_start_each_task_once_and_never_in_two_homes_at_a_time(
    tmp_path: pathlib.Path,
) -> None:
    async def scenario(running: cluster.Cluster, caller: client.Client) -> None:
        other = client.Client(f"http://{cluster.HOST}:{running.ports[1]}", "secret")

        async def hold(number: int) -> None:
            await asyncio.sleep(number * 0.01)
            body = json.dumps({"sleep_ms": 120, "echo": number}).encode()
            headers = {"Idempotency-Key": f"h{number}", "Amaranthspar-Desk": "d"}
            sender = (caller, other)[number % 2]
            reply = await sender.send_request("hold", body, headers)
            assert reply.status == 200, reply.body
            answer = json.loads(reply.body)
            assert answer["echo"] == number
            assert answer["starts"] == 1

        async def move() -> None:
            for home in ("ledger", "main", "ledger"):
                fetched = await caller.fetch_configuration()
                settings = configuration.parse_text(fetched.text)
                settings.add_desk("d", home=home)
                change = str(uuid.uuid4())
                await caller.submit_configuration(
                    str(settings), fetched.version, change
                )
                await asyncio.sleep(1.2)

        await asyncio.gather(move(), *(hold(number) for number in range(400)))
        await other.close()

    running = test_cluster.run_scenario(tmp_path, scenario, ledger_upstreams=2)
    assert running.record.started == 400
    assert not running.record.list_duplicates()
    homes: dict[bool, list[standin.Span]] = {True: [], False: []}
    for span in running.record.spans:
        homes[span.upstream in LEDGER_UPSTREAMS].append(span)
    assert all(homes.values())
    for old in homes[True]:
        for new in homes[False]:
            apart = old.ended_ms <= new.started_ms or new.ended_ms <= old.started_ms
            assert apart, (old, new)
