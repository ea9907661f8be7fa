"""Frames of messages as MessagePack.

A frame is an array of the format version, the sender, its incarnation, its
address and a list of pairs of a message's class name and its fields.
"""

import attrs
import msgspec

from amaranthspar import errors, messages

FORMAT_VERSION = 1

Message = object
_CLASSES: dict[str, type] = {
    name: value
    for name, value in vars(messages).items()
    if isinstance(value, type) and attrs.has(value)
}
_encoder = msgspec.msgpack.Encoder()
_header = msgspec.msgpack.Decoder(
    tuple[int, str, int, str, list[tuple[str, msgspec.Raw]]]
)
_decoders: dict[str, msgspec.msgpack.Decoder[Message]] = {
    name: msgspec.msgpack.Decoder(kind) for name, kind in _CLASSES.items()
}


@attrs.frozen(slots=True)
class Frame:
    """Messages from one process.

    Attributes:
        sender: Process name of the sender.
        incarnation: Incarnation of the sender.
        address: Address at which the sender listens.
        messages: Messages in the order in which they were sent.
    """

    sender: str
    incarnation: int
    address: str
    messages: list[Message]


def encode_frame(frame: Frame) -> bytes:
    """Return a frame as bytes.

    Args:
        frame: Frame to encode.
    """
    body = [(type(message).__name__, message) for message in frame.messages]
    header = (FORMAT_VERSION, frame.sender, frame.incarnation, frame.address)
    return _encoder.encode((*header, body))


def decode_frame(data: bytes) -> Frame:
    """Return the frame that some bytes hold.

    Args:
        data: Bytes from a link.

    Raises:
        errors.SchemaError: The bytes are no frame of this format version.
    """
    try:
        version, sender, incarnation, address, body = _header.decode(data)
        if version != FORMAT_VERSION:
            raise errors.SchemaError(f"unknown format version {version}")
        decoded = [_decoders[tag].decode(raw) for tag, raw in body]
    except msgspec.MsgspecError as error:
        raise errors.SchemaError(str(error)) from error
    except KeyError as error:
        raise errors.SchemaError(f"unknown message {error}") from error
    return Frame(sender, incarnation, address, decoded)


def encode_message(message: Message) -> bytes:
    """Return one message of a known class as bytes, without a tag.

    Args:
        message: Message to encode.
    """
    return _encoder.encode(message)


def decode_message(kind: str, data: bytes) -> Message:
    """Return one message from bytes without a tag.

    Args:
        kind: Class name of the message.
        data: Encoded fields.

    Raises:
        errors.SchemaError: The class is unknown or the bytes do not fit it.
    """
    decoder = _decoders.get(kind)
    if decoder is None:
        raise errors.SchemaError(f"unknown message {kind!r}")
    try:
        return decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise errors.SchemaError(str(error)) from error
