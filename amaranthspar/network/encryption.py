"""TLS contexts of links.

If the settings contain a certificate, both sides of a connection must present one that
is signed by the configured authority. The common name of a certificate is the process
name; a frame with another sender name is rejected. Its subject alternative names
contain the IP address at which the process listens.
"""

import ssl

from amaranthspar import errors
from amaranthspar.schema import options


class Encryption:
    """Builds the TLS contexts of links.

    Args:
        options: Section ``links`` of the settings; without a certificate, links do not
            use TLS.
    """

    def __init__(self, options: options.LinkOptions) -> None:
        self._certificate = options.certificate
        self._authority = options.authority
        self._client_context: ssl.SSLContext | None = None

    @property
    def is_on(self) -> bool:
        """Whether connections use TLS."""
        return bool(self._certificate)

    def build_server_context(self) -> ssl.SSLContext | None:
        """Return the context of the accepting side, or ``None`` without TLS.

        Raises:
            errors.LinkError: A certificate cannot be used.
        """
        return self._build_context(ssl.PROTOCOL_TLS_SERVER) if self.is_on else None

    def get_client_context(self) -> ssl.SSLContext | None:
        """Return the context of the connecting side, or ``None`` without TLS.

        The context is built once.

        Raises:
            errors.LinkError: A certificate cannot be used.
        """
        if self.is_on and self._client_context is None:
            self._client_context = self._build_context(ssl.PROTOCOL_TLS_CLIENT)
        return self._client_context

    def _build_context(self, protocol: int) -> ssl.SSLContext:
        try:
            context = ssl.SSLContext(protocol)
            context.verify_mode = ssl.CERT_REQUIRED
            context.load_verify_locations(self._authority)
            context.load_cert_chain(self._certificate)
        except (OSError, ssl.SSLError) as error:
            raise errors.LinkError(f"cannot use the certificate: {error}") from error
        return context
