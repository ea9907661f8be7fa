"""Encoding of messages as MessagePack frames.

A frame is an array of the format version, the process name of the sender, its
incarnation, its address, the number of the frame on its link, the number of the
last frame received from the receiver, and a list of messages. Each message is a
pair of its class name and its fields.
"""

import functools
import importlib

import attrs
import msgspec

from amaranthspar import errors

FORMAT_VERSION = 2
MODULES = ("linkmessages", "runmessages", "viewmessages", "messages")
"""Modules with message classes, in the order in which a class is looked up.

The largest module is the last one, so that only processes that need it import it.
"""

Message = object
_encoder = msgspec.msgpack.Encoder()
_header = msgspec.msgpack.Decoder(
    tuple[int, str, int, str, int, int, list[tuple[str, msgspec.Raw]]]
)
_fields = msgspec.msgpack.Decoder(list[msgspec.Raw])


@attrs.frozen(slots=True)
class Frame:
    """Messages that one process sends to another in one frame.

    Attributes:
        sender: Process name of the sender.
        incarnation: Incarnation of the sender.
        address: Address at which the sender listens.
        messages: Messages in the order in which they were sent.
        number: Number of the frame on its link; 0 if it is not acknowledged.
        heard: Number of the last frame received from the receiver.
    """

    sender: str
    incarnation: int
    address: str
    messages: list[Message]
    number: int = 0
    heard: int = 0


def encode_frame(frame: Frame) -> bytes:
    """Return a frame as bytes.

    Args:
        frame: Frame to encode; its messages may be encoded already.
    """
    body = [
        message if isinstance(message, msgspec.Raw) else encode_part(message)
        for message in frame.messages
    ]
    return _encoder.encode(
        (
            FORMAT_VERSION,
            frame.sender,
            frame.incarnation,
            frame.address,
            frame.number,
            frame.heard,
            body,
        )
    )


def encode_part(message: Message) -> msgspec.Raw:
    """Return one message with its class name, encoded for a frame.

    Args:
        message: Message to encode.

    Raises:
        errors.SchemaError: A number has more than 64 bits, or a text is no Unicode.
    """
    try:
        return msgspec.Raw(_encoder.encode((type(message).__name__, message)))
    except (OverflowError, UnicodeEncodeError) as error:
        kind = type(message).__name__
        raise errors.SchemaError(f"{kind} cannot be encoded: {error}") from error


def decode_frame(data: bytes) -> Frame:
    """Decode a frame.

    Args:
        data: Bytes received on a link.

    Raises:
        errors.SchemaError: The bytes are not a valid frame of this format version.
    """
    try:
        version, sender, incarnation, address, number, heard, body = _header.decode(
            data
        )
    except (msgspec.MsgspecError, RecursionError) as error:
        _check_version(data)
        raise errors.SchemaError(str(error)) from error
    if version != FORMAT_VERSION:
        raise errors.SchemaError(f"unknown format version {version}")
    try:
        decoded = [_build_decoder(tag).decode(raw) for tag, raw in body]
    except msgspec.MsgspecError as error:
        raise errors.SchemaError(str(error)) from error
    except RecursionError as error:
        raise errors.SchemaError("nested too deeply") from error
    except KeyError as error:
        raise errors.SchemaError(f"unknown message {error}") from error
    return Frame(sender, incarnation, address, decoded, number, heard)


@functools.cache
def _build_decoder(tag: str) -> msgspec.msgpack.Decoder[Message]:
    """Return the decoder of a message class.

    Args:
        tag: Name of the class.

    Raises:
        KeyError: No module defines a class of this name.
    """
    for name in MODULES:
        module = importlib.import_module(f"amaranthspar.schema.{name}")
        kind = vars(module).get(tag)
        if isinstance(kind, type) and attrs.has(kind):
            return msgspec.msgpack.Decoder(kind)
    raise KeyError(tag)


def _check_version(data: bytes) -> None:
    """Raise an error if the bytes are not a frame or have another format version.

    A frame of another version may have other fields; the error then names the version.
    """
    try:
        version = msgspec.msgpack.decode(_fields.decode(data)[0], type=int)
    except (msgspec.MsgspecError, IndexError, RecursionError) as error:
        raise errors.SchemaError("no frame") from error
    if version != FORMAT_VERSION:
        raise errors.SchemaError(f"unknown format version {version}")


def encode_message(message: Message) -> bytes:
    """Encode the fields of one message, without its class name.

    Args:
        message: Message to encode.
    """
    return _encoder.encode(message)


def decode_message(kind: str, data: bytes) -> Message:
    """Decode the fields of one message whose class name is given separately.

    Args:
        kind: Class name of the message.
        data: Encoded fields.

    Raises:
        errors.SchemaError: The class is unknown or the bytes do not match it.
    """
    try:
        return _build_decoder(kind).decode(data)
    except KeyError as error:
        raise errors.SchemaError(f"unknown message {kind!r}") from error
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.SchemaError(str(error)) from error
