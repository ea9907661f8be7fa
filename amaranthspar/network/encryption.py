"""TLS settings of links.

With a certificate in the settings both sides of a connection must show one
that the configured authority has signed. The common name of a certificate is
the process name, and a frame that names another sender is refused; its
alternative names hold the IP number at which the process listens.
"""

import ssl

from amaranthspar import errors
from amaranthspar.schema import options


class Encryption:
    """Builds the TLS settings of links.

    Args:
        options: Section ``links`` of the settings; no certificate means no TLS.
    """

    def __init__(self, options: options.LinkOptions) -> None:
        self._certificate = options.certificate
        self._authority = options.authority
        self._client: ssl.SSLContext | None = None

    @property
    def is_on(self) -> bool:
        """Whether connections use TLS."""
        return bool(self._certificate)

    def build_server(self) -> ssl.SSLContext | None:
        """Return the settings of the accepting side, nothing without TLS.

        Raises:
            errors.LinkError: A certificate cannot be used.
        """
        return self._build(ssl.PROTOCOL_TLS_SERVER) if self.is_on else None

    def find_client(self) -> ssl.SSLContext | None:
        """Return the settings of the dialling side, nothing without TLS.

        Raises:
            errors.LinkError: A certificate cannot be used.
        """
        if self.is_on and self._client is None:
            self._client = self._build(ssl.PROTOCOL_TLS_CLIENT)
        return self._client

    def _build(self, protocol: int) -> ssl.SSLContext:
        try:
            context = ssl.SSLContext(protocol)
            context.verify_mode = ssl.CERT_REQUIRED
            context.load_verify_locations(self._authority)
            context.load_cert_chain(self._certificate)
        except (OSError, ssl.SSLError) as error:
            raise errors.LinkError(f"cannot use the certificate: {error}") from error
        return context
