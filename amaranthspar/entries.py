"""Classes of the schema file ``schema/entries.yaml``; generated."""

from __future__ import annotations

from typing import Any, Literal, TypeAlias

import attrs

Entries: TypeAlias = Any


@attrs.frozen(slots=True)
class Service:
    """A service that callers may use.

    Attributes:
        name: Service name.
        idempotent: Whether a request may run more than once.
        objective: What queueing favours.
        deadline_ms: Deadline of a request that names none in ms.
        queue_limit: Tasks that may wait in one gateway.
        max_body_bytes: Largest request body in bytes.
        retry_ratio: Retries allowed for each first attempt.
    """

    name: str
    idempotent: bool = False
    objective: Literal["response", "completion"] = "response"
    deadline_ms: int = 30000
    queue_limit: int = 20000
    max_body_bytes: int = 1048576
    retry_ratio: float = 0.1


@attrs.frozen(slots=True)
class Domain:
    """A failure domain.

    Attributes:
        name: Failure domain name.
        state: Whether tasks may start there.
    """

    name: str
    state: Literal["in", "out"] = "in"


@attrs.frozen(slots=True)
class Desk:
    """A desk and its home.

    Attributes:
        name: Desk name.
        home: Upstream group that serves the desk.
        moved_version: Version at which the home last changed; kept by the controllers.
    """

    name: str
    home: str = "main"
    moved_version: int = 0


@attrs.frozen(slots=True)
class Team:
    """A team and its quota.

    Attributes:
        name: Team name.
        weight: Share of the slots against other teams.
        max_running: Tasks that may run at once in one gateway; 0 for no limit.
        max_queued: Tasks that may wait in one gateway; 0 for no limit.
    """

    name: str
    weight: int = 1
    max_running: int = 0
    max_queued: int = 0


@attrs.frozen(slots=True)
class Account:
    """An account that callers or operators share.

    Attributes:
        name: Account name.
        token_hash: SHA-256 of the token in hex.
        team: Team whose quota the account uses.
        operator: Whether the account may change the configuration.
    """

    name: str
    token_hash: str
    team: str = ""
    operator: bool = False
