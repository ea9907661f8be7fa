"""Role that can be separated from other processes by a simulated partition.

Run as ``python -m benchmarks.partition --foreign A,B ROLE --settings FILE``. From
SIGUSR1 to SIGUSR2 the role drops each frame to and from addresses that start with one
of the foreign prefixes, while every connection stays open.
"""

import signal
import sys

from amaranthspar import program
from amaranthspar.network import links
from amaranthspar.schema import codec

_blocked_prefixes: tuple[str, ...] = ()
_is_partitioned = False


class PartitionedLinks(links.Links):
    """Links that drop frames to and from blocked addresses during a partition."""

    def _send_frame(
        self, peer: links._Peer, parts: list[codec.Message], numbered: bool = True
    ) -> bool:
        if _is_partitioned and peer.address.startswith(_blocked_prefixes):
            return True
        return super()._send_frame(peer, parts, numbered)

    def _accept(self, data: bytes, peer_name: str | None) -> None:
        if _is_partitioned and codec.decode_frame(data).address.startswith(
            _blocked_prefixes
        ):
            return
        super()._accept(data, peer_name)


def _handle_signal(number: int, frame: object) -> None:
    global _is_partitioned
    _is_partitioned = number == signal.SIGUSR1


def main() -> int:
    """Run the role until it ends."""
    global _blocked_prefixes
    _blocked_prefixes = tuple(sys.argv[2].split(","))
    for number in (signal.SIGUSR1, signal.SIGUSR2):
        signal.signal(number, _handle_signal)
    links.Links = PartitionedLinks  # type: ignore[misc]
    return program.main(sys.argv[3:])


if __name__ == "__main__":
    raise SystemExit(main())
