"""Classes of the schema file ``schema/linkmessages.yaml``; generated."""

from __future__ import annotations

from typing import Any, TypeAlias

import attrs

LinkMessages: TypeAlias = Any


@attrs.frozen(slots=True)
class LinkRedialled:
    """Says that the sender gave up a silent connection to the receiver.

    Attributes:
        number: Number of the last frame sent on it.
    """

    number: int
