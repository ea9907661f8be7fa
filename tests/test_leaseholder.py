"""Tests of the holder's side of a lease."""

import random

from amaranthspar import effects, leaseholder, messages

CONTROLLERS = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]
DURATION_MS = 3000


def build_holder() -> leaseholder.LeaseHolder:
    member = messages.Member("s1", "sidecar", 5, "127.0.0.1:9", 0)
    return leaseholder.LeaseHolder(member, CONTROLLERS, 0, random.Random(1))


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


def test_lease_counts_from_the_renewal_less_age_and_drift() -> None:
    holder = build_holder()
    holder.tick(100)
    holder.handle(grant(100, age_ms=500), 900)
    assert holder.is_valid(100 + 2249)
    assert not holder.is_valid(100 + 2250)


def test_grant_of_a_version_not_held_extends_nothing() -> None:
    holder = build_holder()
    holder.tick(0)
    holder.handle(messages.LeaseGranted(0, DURATION_MS, 0, 4, 0), 10)
    assert not holder.is_valid(11)


def test_unanswered_renewal_goes_to_another_controller() -> None:
    holder = build_holder()
    first = holder.tick(0)[0]
    second = holder.tick(leaseholder.RETRY_MS)[0]
    assert isinstance(first, effects.Send)
    assert isinstance(second, effects.Send)
    assert first.peer != second.peer


def test_announced_version_is_fetched_at_once() -> None:
    holder = build_holder()
    holder.tick(0)
    holder.handle(grant(0, version=1), 5)
    announced = holder.handle(messages.AnnounceVersion(2), 50)
    assert find_renewals(announced)[0].configuration_version == 1
    holder.handle(grant(50, version=2, held=1), 55)
    assert holder.view.configuration_version == 2
    assert not holder.handle(messages.AnnounceVersion(2), 60)


def test_announcement_that_crosses_a_renewal_is_not_lost() -> None:
    holder = build_holder()
    holder.tick(0)
    assert not holder.handle(messages.AnnounceVersion(2), 1)
    holder.handle(grant(0, version=1), 5)
    assert find_renewals(holder.tick(6))
