"""Many leases that one process holds, as a stand-in for as many processes.

Run as ``python -m benchmarks.holders --controllers A --count N --seed N``, the process
holds each lease over separate links until SIGTERM, and then prints its counters.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import json
import random
import signal

import attrs

from amaranthspar import clock, effects, loop, ports
from amaranthspar.membership import leaseholder
from amaranthspar.network import links
from amaranthspar.schema import codec, messages

TICK_MS = 10
PEAK_MS = 200
START_SECONDS = 60


@attrs.define(slots=True)
class Holder:
    """A holder of one lease.

    Attributes:
        machine: State machine of the holder.
        links: Links over which it renews the lease.
        expired_ms: Time in ms at which the lease was found expired; 0 while it is in
            force.
    """

    machine: leaseholder.LeaseHolder
    links: links.Links
    expired_ms: int = 0

    @property
    def version(self) -> int:
        """Configuration version held."""
        return self.machine.view.configuration_version


class Holders:
    """Holds many leases and renews them.

    Args:
        count: Number of leases.
        controllers: Addresses of the controllers.
        seed: Seed of the jitter and of the choice of controllers.
        separate_links: Whether each lease has links of its own.
    """

    def __init__(
        self,
        count: int,
        controllers: list[str],
        seed: int,
        separate_links: bool = False,
    ) -> None:
        self.grants = 0
        self.denials = 0
        self.lapses = 0
        self.lapsed_ms = 0
        self.sent: collections.Counter[int] = collections.Counter()
        self._separate_links = separate_links
        self._clock = clock.Clock()
        self._requests: dict[int, tuple[Holder, int]] = {}
        self._links: list[links.Links] = []
        rng = random.Random(seed)
        if not separate_links:
            self._add_links(f"holders-{seed}")
        self.holders = [
            self._build_holder(f"holder-{seed}-{number}", controllers, rng)
            for number in range(count)
        ]
        self._running: asyncio.Task[None] | None = None

    @property
    def held_leases(self) -> int:
        """Number of leases that are in force."""
        now_ms = self._clock.read_monotonic()
        return sum(holder.machine.is_valid(now_ms) for holder in self.holders)

    def find_peak_rate(self, from_ms: int = 0) -> float:
        """Return the highest rate of renewals per s in any interval of 200 ms.

        Args:
            from_ms: Monotonic time in ms; earlier intervals are left out.
        """
        first = from_ms // PEAK_MS
        most = max((n for part, n in self.sent.items() if part > first), default=0)
        return most * 1000 / PEAK_MS

    def count_all(self) -> collections.Counter[str]:
        """Return the numbers of grants and lapses, and the counters of all links."""
        counts = collections.Counter(grants=self.grants, lapses=self.lapses)
        for item in self._links:
            counts.update(item.counts)
        return counts

    async def open(self) -> None:
        """Start to renew and wait until every lease is in force."""
        for item in self._links:
            await item.open()
        self._running = asyncio.get_running_loop().create_task(self._run())
        await self.wait_granted()

    async def wait_granted(self) -> None:
        """Wait until every lease is in force."""
        async with asyncio.timeout(START_SECONDS):
            while self.held_leases < len(self.holders):
                await asyncio.sleep(TICK_MS / 1000)

    def close(self) -> None:
        """Stop renewing and close the links."""
        if self._running is not None:
            self._running.cancel()
        for item in self._links:
            item.close()

    def _add_links(self, name: str) -> links.Links:
        address = ports.find_addresses()[0]
        number = len(self._links)
        added = links.Links(
            name, 1, address, lambda frame: self._receive(frame, number)
        )
        self._links.append(added)
        return added

    def _build_holder(
        self, name: str, controllers: list[str], rng: random.Random
    ) -> Holder:
        own = self._add_links(name) if self._separate_links else self._links[0]
        machine = leaseholder.LeaseHolder(
            build_member(name, own.address),
            controllers,
            self._clock.read_monotonic()
            + rng.randrange(leaseholder.RENEWAL_INTERVAL_MS),
            random.Random(rng.random()),
        )
        return Holder(machine, own)

    async def _run(self) -> None:
        while True:
            now_ms = self._clock.read_monotonic()
            for holder in self.holders:
                self._record_lapse(holder, now_ms)
                if not holder.machine.find_renewal_wait_ms(now_ms):
                    self._perform(holder, holder.machine.tick(now_ms))
            await asyncio.sleep(TICK_MS / 1000)

    def _record_lapse(self, holder: Holder, now_ms: int) -> None:
        lapsed = holder.version > 0 and not holder.machine.is_valid(now_ms)
        if lapsed and not holder.expired_ms:
            self.lapses += 1
            holder.expired_ms = now_ms
        elif holder.expired_ms and not lapsed:
            self.lapsed_ms += now_ms - holder.expired_ms
            holder.expired_ms = 0

    def _perform(self, holder: Holder, produced: list[leaseholder.Effect]) -> None:
        for effect in produced:
            if not isinstance(effect, effects.Send):
                continue
            renewal = effect.message
            assert isinstance(renewal, messages.RenewLease)
            number = len(self._requests) + 1
            self._requests[number] = (holder, renewal.sent_ms)
            self.sent[renewal.sent_ms // PEAK_MS] += 1
            renewal = attrs.evolve(renewal, sent_ms=number)
            holder.links.send(effect.peer, renewal)

    def _receive(self, frame: codec.Frame, number: int) -> None:
        now_ms = self._clock.read_monotonic()
        for message in frame.messages:
            match message:
                case messages.LeaseGranted() | messages.LeaseDenied():
                    holder, sent_ms = self._requests[message.sent_ms]
                    self.grants += isinstance(message, messages.LeaseGranted)
                    self.denials += isinstance(message, messages.LeaseDenied)
                    answer = attrs.evolve(message, sent_ms=sent_ms)
                    self._perform(holder, holder.machine.handle(answer, now_ms))
                case messages.AnnounceVersion():
                    reached = self.holders
                    if self._separate_links:
                        reached = [self.holders[number]]
                    for holder in reached:
                        produced = holder.machine.handle(message, now_ms)
                        self._perform(holder, produced)


def build_member(process: str, address: str) -> messages.Member:
    """Return the membership entry of a sidecar of the failure domain gyor."""
    announcement = messages.Announcement(
        process, "rack-1", "main", "gyor", ["lookup"], 8, 64, 64, 262_144, 0
    )
    return messages.Member(process, "sidecar", 1, address, 0, False, announcement)


async def _serve(arguments: argparse.Namespace) -> int:
    stopping = asyncio.Event()
    running = asyncio.get_running_loop()
    for wanted in (signal.SIGTERM, signal.SIGINT):
        running.add_signal_handler(wanted, stopping.set)
    addresses = arguments.controllers.split(",")
    lease_holders = Holders(
        arguments.count, addresses, arguments.seed, separate_links=True
    )
    await lease_holders.open()
    print("held", flush=True)
    await stopping.wait()
    lease_holders.close()
    print(json.dumps(lease_holders.count_all()))
    return 0


def main() -> int:
    """Hold the leases until SIGTERM, then print the counters."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--controllers", required=True)
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--seed", type=int, required=True)
    return loop.run_loop(_serve(parser.parse_args()))


if __name__ == "__main__":
    raise SystemExit(main())
