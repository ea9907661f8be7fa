"""Relay in front of a link that can go silent without closing anything."""

import asyncio
import contextlib

from amaranthspar import ports

CHUNK_BYTES = 64 * 1024


class Relay:
    """Forwards TCP connections to one address.

    Args:
        target: Address to forward to.
    """

    def __init__(self, target: str) -> None:
        self.address = ports.find_addresses()[0]
        self.silent = False
        self._target = target
        self._server: asyncio.Server | None = None
        self._pumps: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def close(self) -> None:
        """Close every connection."""
        for pump in self._pumps:
            pump.cancel()
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            back, forth = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        loop = asyncio.get_running_loop()
        pumps = [
            loop.create_task(self._pump(reader, forth)),
            loop.create_task(self._pump(back, writer)),
        ]
        for pump in pumps:
            self._pumps.add(pump)
            pump.add_done_callback(self._pumps.discard)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if not self.silent:
                    writer.write(data)
                    await writer.drain()
        writer.close()
