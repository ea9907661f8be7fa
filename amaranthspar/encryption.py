"""Plain and TLS connections of links.

With a certificate in the settings both sides of a connection must show one
that the configured authority has signed. The common name of a certificate is
the process name, and a frame that names another sender is refused; its
alternative names hold the IP number at which the process listens.
"""

import pynng

from amaranthspar import options

PEER_NAME = b"tls-peer-cn"


class Encryption:
    """Opens the sockets of links.

    Args:
        options: Section ``links`` of the settings; no certificate means no TLS.
    """

    def __init__(self, options: options.LinkOptions) -> None:
        self._certificate = options.certificate
        self._authority = options.authority
        self._names: dict[int, str] = {}

    @property
    def is_on(self) -> bool:
        """Whether connections use TLS."""
        return bool(self._certificate)

    def listen(self, socket: pynng.Socket, address: str) -> None:
        """Listen for peers.

        Args:
            socket: Socket that receives.
            address: Address as in ``127.0.0.1:7000``.

        Raises:
            pynng.NNGException: The address or a certificate cannot be used.
        """
        if not self.is_on:
            socket.listen(f"tcp://{address}")
            return
        socket.tls_config = self._build(pynng.TLSConfig.MODE_SERVER)
        socket.listen(f"tls+tcp://{address}")

    def dial(self, socket: pynng.Socket, address: str) -> None:
        """Dial a peer without waiting for the connection.

        Args:
            socket: Socket that sends.
            address: Address as in ``127.0.0.1:7000``.

        Raises:
            pynng.NNGException: The address or a certificate cannot be used.
        """
        if not self.is_on:
            socket.dial(f"tcp://{address}", block=False)
            return
        host = address.rpartition(":")[0]
        socket.tls_config = self._build(pynng.TLSConfig.MODE_CLIENT, host)
        socket.dial(f"tls+tcp://{address}", block=False)

    def receive(self, socket: pynng.Socket) -> tuple[bytes, str | None]:
        """Return the next frame and the common name of its sender's certificate.

        Args:
            socket: Socket that receives.

        Raises:
            pynng.TryAgain: No frame has arrived.
        """
        if not self.is_on:
            return socket.recv(block=False), None
        message = socket.recv_msg(block=False)
        return message.bytes, _read_peer_name(message.pipe)

    def _build(self, mode: int, host: str | None = None) -> pynng.TLSConfig:
        return pynng.TLSConfig(
            mode,
            server_name=host,
            auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
            ca_files=[self._authority],
            cert_key_file=self._certificate,
        )


def _read_peer_name(pipe: pynng.Pipe | None) -> str:
    """Return the name in a peer's certificate, empty if it is gone."""
    if pipe is None:
        return ""
    text = pynng.ffi.new("char **")
    if pynng.lib.nng_pipe_get_string(pipe.pipe, PEER_NAME, text):
        return ""
    name: str = pynng.ffi.string(text[0]).decode()
    pynng.lib.nng_strfree(text[0])
    return name
