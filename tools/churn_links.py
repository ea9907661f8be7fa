"""Closes and opens a receiver of links while eight senders write to it.

Run it as ``python -m tools.churn_links --seconds 600``. It ends with exit code 0 if the
process survives and every sender is heard again after each reopening.
"""

import argparse
import asyncio
import random
import sys
import time

from amaranthspar import loop, ports
from amaranthspar.network import links
from amaranthspar.schema import codec, messages, options

SENDERS = 8
MESSAGES_A_TURN = 20
HEARD_TIMEOUT_S = 10
HEARTBEAT_MS = 50


class Receiver:
    """Links that count from how many senders they have heard since they opened."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._heard: set[str] = set()
        self._incarnation = 0
        self._links: links.Links | None = None

    async def open(self) -> None:
        """Listen as a new incarnation."""
        self._heard.clear()
        self._incarnation += 1
        self._links = links.Links(
            "receiver",
            self._incarnation,
            self._address,
            self._receive,
            options.LinkOptions(heartbeat_ms=HEARTBEAT_MS),
        )
        await self._links.open()

    def close(self) -> None:
        """Stop listening in the middle of whatever arrives."""
        assert self._links is not None
        self._links.close()

    async def wait(self) -> None:
        """Wait until every sender has been heard."""
        async with asyncio.timeout(HEARD_TIMEOUT_S):
            while len(self._heard) < SENDERS:
                await asyncio.sleep(0.005)

    def _receive(self, frame: codec.Frame) -> None:
        self._heard.add(frame.sender)


async def _send_forever(address: str, number: int) -> None:
    section = options.LinkOptions(heartbeat_ms=HEARTBEAT_MS)
    own = ports.find_addresses()[0]
    sender = links.Links(f"sender-{number}", 1, own, lambda _: None, section)
    await sender.open()
    while True:
        for _ in range(MESSAGES_A_TURN):
            sender.send(address, messages.LeaseDenied(number, "no_quorum"))
        await asyncio.sleep(0.001)


async def _run(seconds: float, chance: random.Random) -> int:
    address = ports.find_addresses()[0]
    receiver = Receiver(address)
    await receiver.open()
    senders = [
        asyncio.create_task(_send_forever(address, number)) for number in range(SENDERS)
    ]
    rounds = 0
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        await receiver.wait()
        await asyncio.sleep(chance.random() * 0.02)
        receiver.close()
        await receiver.open()
        rounds += 1
    for sender in senders:
        sender.cancel()
    return rounds


def main() -> int:
    """Run the churn and print how many rounds it took."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    chance = random.Random(arguments.seed)
    rounds = loop.run_loop(_run(arguments.seconds, chance))
    print(f"{rounds} rounds without a crash or an unheard sender")
    return 0


if __name__ == "__main__":
    sys.exit(main())
