"""Many leases held by one process, as a stand-in for their real holders."""

from __future__ import annotations

import asyncio
import random

import attrs

from amaranthspar import clock, codec, leaseholder, links, messages, ports

TICK_MS = 10


@attrs.define(slots=True)
class Holder:
    """One lease.

    Attributes:
        member: What the holder states of itself.
        expires_ms: End of the lease on the monotonic clock; 0 before the first.
        next_ms: Time of the next renewal.
        target: Position of the controller asked.
    """

    member: messages.Member
    next_ms: int
    target: int
    expires_ms: int = 0
    version: int = 0
    revision: int = 0
    unanswered: bool = False
    lapsed: bool = False


class Holders:
    """Renews many leases by the rules of `leaseholder.LeaseHolder`.

    Args:
        count: Number of leases.
        controllers: Addresses of the controllers.
        seed: Seed of jitter and targets.
    """

    def __init__(self, count: int, controllers: list[str], seed: int) -> None:
        self.grants = 0
        self.lapses = 0
        self.version_ms: dict[int, int] = {}
        self._chance = random.Random(seed)
        self._clock = clock.Clock()
        self._controllers = controllers
        self._sent: dict[int, tuple[Holder, int]] = {}
        self._number = 0
        address = ports.find_addresses()[0]
        self._links = links.Links(f"holders-{seed}", 1, address, self._receive)
        now_ms = self._clock.read_monotonic()
        self.holders = [
            Holder(
                build_member(f"holder-{seed}-{number}", address),
                now_ms + self._chance.randrange(leaseholder.RENEW_MS),
                self._chance.randrange(len(controllers)),
            )
            for number in range(count)
        ]
        self._running: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Start renewing and wait until every holder has its lease."""
        await self._links.open()
        self._running = asyncio.get_running_loop().create_task(self._run())
        async with asyncio.timeout(30):
            while not all(holder.expires_ms for holder in self.holders):
                await asyncio.sleep(0.02)

    def close(self) -> None:
        """Stop renewing."""
        if self._running is not None:
            self._running.cancel()
        self._links.close()

    async def _run(self) -> None:
        while True:
            now_ms = self._clock.read_monotonic()
            for holder in self.holders:
                self._check(holder, now_ms)
            await asyncio.sleep(TICK_MS / 1000)

    def _check(self, holder: Holder, now_ms: int) -> None:
        lapsed = 0 < holder.expires_ms <= now_ms
        if lapsed and not holder.lapsed:
            self.lapses += 1
        holder.lapsed = lapsed
        if now_ms < holder.next_ms:
            return
        if holder.unanswered:
            holder.target = (holder.target + 1) % len(self._controllers)
        holder.unanswered = True
        holder.next_ms = now_ms + leaseholder.RETRY_MS
        self._number += 1
        self._sent[self._number] = (holder, now_ms)
        renewal = messages.RenewLease(
            holder.member, self._number, holder.version, holder.revision
        )
        self._links.send(self._controllers[holder.target], renewal)

    def _receive(self, frame: codec.Frame) -> None:
        for message in frame.messages:
            if isinstance(message, messages.LeaseGranted):
                self._accept(message)

    def _accept(self, grant: messages.LeaseGranted) -> None:
        sent = self._sent.pop(grant.sent_ms, None)
        if sent is None:
            return
        holder, sent_ms = sent
        self.grants += 1
        holder.version = grant.configuration_version
        holder.revision = grant.membership_revision
        length_ms = grant.duration_ms - grant.age_ms
        margin = 1 - leaseholder.DRIFT_RATIO
        holder.expires_ms = max(holder.expires_ms, sent_ms + int(length_ms * margin))
        holder.unanswered = False
        jitter = self._chance.uniform(-1, 1) * leaseholder.JITTER_RATIO
        holder.next_ms = sent_ms + int(leaseholder.RENEW_MS * (1 + jitter))


def build_member(process: str, address: str) -> messages.Member:
    """Return a sidecar of the domain gyor as it states itself."""
    announcement = messages.Announcement(
        process, "rack-1", "main", "gyor", ["lookup"], 8, 64, 64, 262_144, 0
    )
    return messages.Member(process, "sidecar", 1, address, 0, False, announcement)
