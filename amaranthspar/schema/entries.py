"""Classes of the schema file ``schema/entries.yaml``; generated."""

from __future__ import annotations

from typing import Annotated, Any, Literal, TypeAlias

import attrs
import msgspec

Entries: TypeAlias = Any


@attrs.frozen(slots=True)
class Service:
    """A service that callers may use.

    Attributes:
        name: Service name.
        idempotent: Whether a request may run more than once.
        objective: Whether queueing favours response time or completion.
        deadline_ms: Deadline in ms of a request that does not state one.
        queue_limit: Largest number of tasks that wait in one gateway.
        max_body_bytes: Largest accepted request body in bytes.
        retry_ratio: Number of retries allowed for each first attempt.
    """

    name: Annotated[
        str,
        msgspec.Meta(
            pattern=r"^[^\s\[\]/]+( [^\s\[\]/]+)*$",
            description="words without brackets and slashes, one space between",
        ),
    ]
    idempotent: bool = False
    objective: Literal["response", "completion"] = "response"
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=3600000)] = 30000
    queue_limit: Annotated[int, msgspec.Meta(ge=1)] = 20000
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1)] = 1048576
    retry_ratio: Annotated[float, msgspec.Meta(ge=0)] = 0.1


@attrs.frozen(slots=True)
class Domain:
    """A failure domain.

    Attributes:
        name: Failure domain name.
        state: Whether tasks may start in the failure domain (`in`) or not (`out`).
    """

    name: Annotated[
        str,
        msgspec.Meta(
            pattern=r"^[^\s\[\]/]+( [^\s\[\]/]+)*$",
            description="words without brackets and slashes, one space between",
        ),
    ]
    state: Literal["in", "out"] = "in"


@attrs.frozen(slots=True)
class Desk:
    """A desk and the upstream group that serves it.

    Attributes:
        name: Desk name.
        home: Upstream group that serves the desk.
        moved_version: Version at which the home last changed; maintained by the controllers.
    """

    name: Annotated[
        str,
        msgspec.Meta(
            pattern=r"^[^\s\[\]/]+( [^\s\[\]/]+)*$",
            description="words without brackets and slashes, one space between",
        ),
    ]
    home: str = "main"
    moved_version: Annotated[int, msgspec.Meta(ge=0)] = 0


@attrs.frozen(slots=True)
class Team:
    """A team and its quota.

    Attributes:
        name: Team name.
        weight: Share of the slots relative to other teams.
        max_running: Largest number of tasks that run at the same time in one gateway; 0 for no limit.
        max_queued: Largest number of tasks that wait in one gateway; 0 for no limit.
    """

    name: Annotated[
        str,
        msgspec.Meta(
            pattern=r"^[^\s\[\]/]+( [^\s\[\]/]+)*$",
            description="words without brackets and slashes, one space between",
        ),
    ]
    weight: Annotated[int, msgspec.Meta(ge=1)] = 1
    max_running: Annotated[int, msgspec.Meta(ge=0)] = 0
    max_queued: Annotated[int, msgspec.Meta(ge=0)] = 0


@attrs.frozen(slots=True)
class Account:
    """An account that callers or operators share.

    Attributes:
        name: Account name.
        token_hash: SHA-256 of the token in hex.
        team: Team whose quota the account uses.
        operator: Whether the account may change the configuration.
    """

    name: Annotated[
        str,
        msgspec.Meta(
            pattern=r"^[^\s\[\]/]+( [^\s\[\]/]+)*$",
            description="words without brackets and slashes, one space between",
        ),
    ]
    token_hash: Annotated[
        str, msgspec.Meta(pattern=r"^[0-9A-Fa-f]{64}$", description="64 hex digits")
    ]
    team: str = ""
    operator: bool = False
