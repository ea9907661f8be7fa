"""Tests of the lease holder."""

import collections
import random

from amaranthspar import effects
from amaranthspar.membership import leaseholder
from amaranthspar.schema import messages, viewmessages

CONTROLLERS = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]
DURATION_MS = 3000


def build_holder(seed: int = 1) -> leaseholder.LeaseHolder:
    member = messages.Member("s1", "sidecar", 5, "127.0.0.1:9", 0)
    return leaseholder.LeaseHolder(member, CONTROLLERS, 0, random.Random(seed))


def grant(
    sent_ms: int, age_ms: int = 0, version: int = 0, held: int = 0
) -> messages.LeaseGranted:
    change = None
    if version > held:
        change = messages.ConfigurationChange(0, version, [], [])
    return messages.LeaseGranted(
        sent_ms, DURATION_MS, age_ms, version, 0, configuration=change
    )


def find_renewals(performed: list[leaseholder.Effect]) -> list[messages.RenewLease]:
    sends = [item.message for item in performed if isinstance(item, effects.Send)]
    return [item for item in sends if isinstance(item, messages.RenewLease)]


def test_lease_is_measured_from_the_renewal_less_view_age_and_drift() -> None:
    holder = build_holder()
    holder.tick(100)
    holder.handle(grant(100, age_ms=500), 900)
    assert holder.is_valid(100 + 2249)
    assert not holder.is_valid(100 + 2250)


def test_grant_of_a_version_not_held_does_not_extend_the_lease() -> None:
    holder = build_holder()
    holder.tick(0)
    holder.handle(messages.LeaseGranted(0, DURATION_MS, 0, 4, 0), 10)
    assert not holder.is_valid(11)


def test_unanswered_renewal_goes_to_another_controller() -> None:
    holder = build_holder()
    first = holder.tick(0)[0]
    second = holder.tick(leaseholder.RETRY_INTERVAL_MS)[0]
    assert isinstance(first, effects.Send)
    assert isinstance(second, effects.Send)
    assert first.peer != second.peer


def test_announced_newer_version_is_requested_at_once() -> None:
    holder = build_holder()
    holder.tick(0)
    holder.handle(grant(0, version=1), 5)
    announced = holder.handle(messages.AnnounceVersion(2), 50)
    assert find_renewals(announced)[0].configuration_version == 1
    holder.handle(grant(50, version=2, held=1), 55)
    assert holder.view.configuration_version == 2
    assert not holder.handle(messages.AnnounceVersion(2), 60)


def test_version_announced_during_a_renewal_is_requested_after_it() -> None:
    holder = build_holder()
    holder.tick(0)
    assert not holder.handle(messages.AnnounceVersion(2), 1)
    holder.handle(grant(0, version=1), 5)
    assert find_renewals(holder.tick(6))


def test_renewals_are_spread_again_after_all_leases_expired_together() -> None:
    down_ms = 20_000
    holders = [build_holder(seed) for seed in range(100)]
    sent: collections.Counter[int] = collections.Counter()
    for now_ms in range(0, down_ms + 5_000, 5):
        for holder in holders:
            for renewal in find_renewals(holder.tick(now_ms)):
                sent[now_ms // 500] += 1
                if now_ms >= down_ms or now_ms < 3_000:
                    holder.handle(grant(renewal.sent_ms), now_ms)
    parts = range(8_000 // 500, (down_ms + 5_000) // 500)
    assert max(sent[part] for part in parts) < 100
    assert min(sent[part] for part in parts) > 20


def test_renewals_stay_spread_after_a_version_is_announced() -> None:
    holders = [build_holder(seed) for seed in range(100)]
    sent: collections.Counter[int] = collections.Counter()
    for now_ms in range(0, 8_000, 5):
        for holder in holders:
            found = holder.tick(now_ms)
            if now_ms == 5_000:
                found += holder.handle(messages.AnnounceVersion(1), now_ms)
            for renewal in find_renewals(found):
                sent[now_ms // 100] += 1
                version = int(now_ms >= 5_000)
                held = renewal.configuration_version
                holder.handle(grant(renewal.sent_ms, 0, version, held), now_ms)
    assert max(sent[part] for part in range(51, 80)) < 35


def test_denial_after_a_planned_stop_does_not_lose_the_lease() -> None:
    holder = build_holder()
    (renewal,) = find_renewals(holder.tick(0))
    holder.handle(grant(renewal.sent_ms), 1)
    assert find_renewals(holder.tick(1_500))
    holder.stop_renewing()
    denied = messages.LeaseDenied(1_500, "superseded", holder.member.incarnation)
    assert holder.handle(denied, 1_501) == []
    assert holder.is_valid(1_501)
    assert holder.tick(2_600) == []


def test_member_without_a_lease_learns_of_the_controllers_from_another_member() -> None:
    """All controllers may have been replaced while it heard none of them."""
    replaced = ["127.0.0.1:4", "127.0.0.1:5"]
    cut_off, other = build_holder(), build_holder(2)
    members = [messages.Member("g1", "gateway", 5, "127.0.0.1:8", 0)]
    first = messages.LeaseGranted(
        0,
        DURATION_MS,
        0,
        0,
        1,
        membership=messages.MembershipChange(0, 1, members, []),
        controllers=CONTROLLERS,
        controllers_revision=3,
    )
    cut_off.tick(0)
    assert not find_requests(cut_off.handle(first, 10))
    newer = messages.LeaseGranted(0, DURATION_MS, 0, 0, 0, None, None, replaced, 9)
    other.tick(0)
    other.handle(newer, 10)
    late_ms = 2 * DURATION_MS
    (request,) = find_requests(cut_off.tick(late_ms))
    assert request.peer == "127.0.0.1:8"
    (answer,) = other.handle(request.message, late_ms, "127.0.0.1:9")
    assert isinstance(answer, effects.Send)
    assert answer.peer == "127.0.0.1:9"
    changed = cut_off.handle(answer.message, late_ms, "127.0.0.1:8")
    assert changed == [leaseholder.ControllersChanged("127.0.0.1:8")]
    targets = {
        item.peer
        for number in range(1, 30)
        for item in cut_off.tick(late_ms + 1_000 * number)
        if isinstance(item, effects.Send)
        and isinstance(item.message, messages.RenewLease)
    }
    assert targets == {*replaced, *CONTROLLERS}
    assert not other.handle(
        viewmessages.FetchView(9, -1, -1, 0, False), late_ms, "127.0.0.1:9"
    )


def find_requests(performed: list[leaseholder.Effect]) -> list[effects.Send]:
    return [
        item
        for item in performed
        if isinstance(item, effects.Send)
        and isinstance(item.message, viewmessages.FetchView)
    ]
