"""Builders of links, of a relay that can stop forwarding, and of certificates."""

import asyncio
import datetime
import ipaddress
import pathlib

import attrs
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from amaranthspar import ports
from amaranthspar.network import links
from amaranthspar.schema import messages, options

WAIT_S = 20


class Peer:
    """Links of one process and the messages received on them."""

    def __init__(self, name: str, section=None, address: str = "") -> None:
        self.received: list[int] = []
        self._arrived = asyncio.Event()
        section = section or options.LinkOptions(heartbeat_ms=40)
        self.address = address or ports.find_addresses()[0]
        self.links = links.Links(name, 1, self.address, self._receive, section)

    def _receive(self, frame) -> None:
        self.received += [message.sent_ms for message in frame.messages]
        self._arrived.set()

    def send(self, address: str, number: int) -> None:
        self.links.send(address, messages.LeaseDenied(number, "no_quorum"))

    async def wait_for(self, number: int) -> None:
        """Wait until the message with this number has arrived."""
        async with asyncio.timeout(WAIT_S):
            while number not in self.received:
                self._arrived.clear()
                await self._arrived.wait()


async def wait_for_count(peer: Peer, name: str, minimum: int) -> None:
    """Wait until a counter of a peer's links has reached a minimum."""
    async with asyncio.timeout(WAIT_S):
        while peer.links.counts[name] < minimum:
            await asyncio.sleep(0.01)


class Relay:
    """TCP relay that can stop forwarding without closing its connections."""

    def __init__(self, target: str) -> None:
        self.address = ports.find_addresses()[0]
        self.connections = 0
        self._target = target.split(":")
        self._blocked: set[int] = set()
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def stop_forwarding(self) -> None:
        """Discard all further data of the connections that are open now."""
        self._blocked = set(range(1, self.connections + 1))

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        number = self.connections
        try:
            streams = await asyncio.open_connection(*self._target)
        except ConnectionError:
            writer.close()
            return
        for source, sink in ((reader, streams[1]), (streams[0], writer)):
            task = asyncio.create_task(self._forward(number, source, sink))
            self._tasks.add(task)

    async def _forward(self, number, source, sink) -> None:
        while data := await source.read(65536):
            if number not in self._blocked:
                sink.write(data)
        if number not in self._blocked:
            sink.close()


@attrs.define
class Authority:
    """Certificate authority of a test."""

    folder: pathlib.Path
    name: str

    def __attrs_post_init__(self) -> None:
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.certificate = self._sign(self.name, self.key, 1, authority=True)
        self.path = self.folder / f"{self.name}.pem"
        self.path.write_bytes(self.certificate.public_bytes(serialization.Encoding.PEM))

    key: ec.EllipticCurvePrivateKey = attrs.field(init=False)
    certificate: x509.Certificate = attrs.field(init=False)
    path: pathlib.Path = attrs.field(init=False)

    def build_section(
        self, name: str, authority: "Authority | None" = None, days: int = 1
    ) -> options.LinkOptions:
        """Return settings with a certificate for a process.

        Args:
            name: Process name.
            authority: Authority that the process trusts; this one by default.
            days: Days until the certificate expires; negative if it has expired.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(name, key, days)
        path = self.folder / f"{self.name}-{name}-{days}.pem"
        path.write_bytes(
            certificate.public_bytes(serialization.Encoding.PEM)
            + key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        trusted = (authority or self).path
        return options.LinkOptions(40, str(path), str(trusted))

    def _sign(self, name, key, days, authority=False) -> x509.Certificate:
        subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        issuer = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, self.name)])
        now = datetime.datetime.now(datetime.UTC)
        host = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(issuer)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=3))
            .not_valid_after(now + datetime.timedelta(days=days))
            .add_extension(x509.BasicConstraints(authority, None), critical=True)
            .add_extension(x509.SubjectAlternativeName([host]), critical=False)
            .sign(self.key, hashes.SHA256())
        )
