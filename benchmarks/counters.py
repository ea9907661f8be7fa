"""StatsD listener that sums the counters of the roles."""

import asyncio
import collections

from amaranthspar import ports


class Counters(asyncio.DatagramProtocol):
    """Totals of the counters by process and metric name."""

    def __init__(self) -> None:
        self.totals: collections.Counter[tuple[str, str]] = collections.Counter()
        self.address = ports.find_addresses()[0]
        self._transport: asyncio.BaseTransport | None = None

    async def open(self) -> None:
        """Listen for datagrams."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, address: object) -> None:
        """Add the counters of one datagram to the totals."""
        for line in data.decode().splitlines():
            name, _, rest = line.partition(":")
            value, _, kind = rest.partition("|")
            parts = name.split(".", 2)
            if kind == "c" and len(parts) == 3:
                self.totals[parts[1], parts[2]] += int(value)

    def sum_metric(
        self, prefix: str, roles: tuple[str, ...] = ("",)
    ) -> collections.Counter[str]:
        """Return the totals over processes of the metrics with a prefix.

        Args:
            prefix: Prefix of the metric names, removed in the result.
            roles: Prefixes of the process names; all processes by default.
        """
        result: collections.Counter[str] = collections.Counter()
        for (process, name), value in self.totals.items():
            if name.startswith(prefix) and process.startswith(roles):
                result[name.removeprefix(prefix)] += value
        return result
