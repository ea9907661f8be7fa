"""Stress test that closes and reopens a receiver while eight senders send to it.

Run it as ``python -m tools.churn_links --seconds 600``. The exit code is 0 if the
process does not crash and a message of every sender arrives after each reopening.
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
MESSAGES_PER_BATCH = 20
RECEIVE_TIMEOUT_S = 10
HEARTBEAT_MS = 50


class Receiver:
    """Receiver that records which senders' messages arrived since it was opened."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._received_from: set[str] = set()
        self._incarnation = 0
        self._links: links.Links | None = None

    async def open(self) -> None:
        """Start listening under a new incarnation."""
        self._received_from.clear()
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
        """Stop listening, also while messages are arriving."""
        assert self._links is not None
        self._links.close()

    async def wait_for_senders(self) -> None:
        """Wait until a message of every sender has arrived.

        Raises:
            TimeoutError: Some sender's message did not arrive in time.
        """
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            while len(self._received_from) < SENDERS:
                await asyncio.sleep(0.005)

    def _receive(self, frame: codec.Frame) -> None:
        self._received_from.add(frame.sender)


async def _send_forever(address: str, number: int) -> None:
    section = options.LinkOptions(heartbeat_ms=HEARTBEAT_MS)
    own = ports.find_addresses()[0]
    sender = links.Links(f"sender-{number}", 1, own, lambda _: None, section)
    await sender.open()
    while True:
        for _ in range(MESSAGES_PER_BATCH):
            sender.send(address, messages.LeaseDenied(number, "no_quorum"))
        await asyncio.sleep(0.001)


async def _run(seconds: float, rng: random.Random) -> int:
    address = ports.find_addresses()[0]
    receiver = Receiver(address)
    await receiver.open()
    senders = [
        asyncio.create_task(_send_forever(address, number)) for number in range(SENDERS)
    ]
    rounds = 0
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        await receiver.wait_for_senders()
        await asyncio.sleep(rng.random() * 0.02)
        receiver.close()
        await receiver.open()
        rounds += 1
    for sender in senders:
        sender.cancel()
    return rounds


def main() -> int:
    """Run the stress test and print how many times the receiver was reopened.

    Returns:
        0; a failure raises an exception or crashes the process.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    rng = random.Random(arguments.seed)
    rounds = loop.run_loop(_run(arguments.seconds, rng))
    print(f"{rounds} rounds without a crash or a missing sender")
    return 0


if __name__ == "__main__":
    sys.exit(main())
