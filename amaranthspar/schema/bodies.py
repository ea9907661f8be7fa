"""JSON bodies of the requests and responses of a gateway."""

from typing import Any

import attrs
import msgspec

from amaranthspar import errors
from amaranthspar.schema import messages


@attrs.frozen(slots=True)
class JobState:
    """A job that has not ended.

    Attributes:
        job: Job id.
        state: ``accepted`` or ``running``.
    """

    job: str
    state: str


@attrs.frozen(slots=True)
class JobAnswers:
    """A job whose tasks are all done.

    Attributes:
        job: Job id.
        answers: JSON bodies from the upstreams, in the order of the tasks.
        state: ``complete``.
    """

    job: str
    answers: list[msgspec.Raw]
    state: str = "complete"


@attrs.frozen(slots=True)
class Status:
    """State of the system as reported by one gateway.

    Attributes:
        configuration_version: Configuration version that the gateway uses.
        membership_revision: Membership revision that the gateway holds.
        domains: State of each failure domain, ``in`` or ``out``.
        members: Gateways and sidecars.
        running: Number of tasks of this gateway that run, by sidecar.
        queued: Number of tasks queued in this gateway.
    """

    configuration_version: int
    membership_revision: int
    domains: dict[str, str]
    members: list[messages.Member]
    running: dict[str, int]
    queued: int


@attrs.frozen(slots=True)
class Replacement:
    """A change of the controllers' set of replicas.

    Attributes:
        removed: Replica id to remove; empty for none.
        added: Replica id to add; empty for none.
        address: Address at which the added replica listens.
    """

    removed: str = ""
    added: str = ""
    address: str = ""


def encode_body(body: Any) -> bytes:
    """Return a body as JSON.

    Args:
        body: Instance of a class of this module or of ``messages``.
    """
    return msgspec.json.encode(body)


def parse_raw_json(body: bytes) -> msgspec.Raw:
    """Validate that a body is JSON and return it unchanged.

    Args:
        body: Body of an upstream's response.

    Raises:
        errors.SchemaError: The body is not JSON in UTF-8.
    """
    try:
        body.decode()
        return _raw_decoder.decode(body)
    except UnicodeDecodeError as error:
        raise errors.SchemaError("expected UTF-8") from error
    except RecursionError as error:
        raise errors.SchemaError("nested too deeply") from error
    except msgspec.MsgspecError as error:
        raise errors.SchemaError(str(error)) from error


_raw_decoder = msgspec.json.Decoder(msgspec.Raw)
