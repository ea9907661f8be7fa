"""Effects that several state machines return."""

import attrs

from amaranthspar.schema import codec


@attrs.frozen(slots=True)
class Send:
    """Sends a message to a process.

    Attributes:
        peer: Process name or address of the receiver.
        message: Message to send.
    """

    peer: str
    message: codec.Message
