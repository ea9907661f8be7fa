"""Classes of the schema file ``schema/linkmessages.yaml``; generated."""

from __future__ import annotations

from typing import Any, TypeAlias

import attrs

LinkMessages: TypeAlias = Any


@attrs.frozen(slots=True)
class LinkRedialled:
    """Notifies the receiver that the sender has replaced an unresponsive connection to it.

    Attributes:
        number: Number of the last frame sent on the replaced connection.
    """

    number: int
