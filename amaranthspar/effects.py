"""Effects that several state machines return for their caller to perform."""

import attrs

from amaranthspar.schema import codec


@attrs.frozen(slots=True)
class Send:
    """Effect that sends a message to a process.

    Attributes:
        peer: Process name or address of the recipient.
        message: Message to send.
    """

    peer: str
    message: codec.Message
