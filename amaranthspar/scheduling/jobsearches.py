"""Searches for a job at the other gateways.

A caller that has moved reaches another gateway than the one that holds its job. Such
calls are rare beside jobs, so the other gateways are asked when one comes, instead of
telling each of them of every job: with 300 gateways, 300 small messages a call.
"""

import enum
from collections.abc import Mapping

import attrs

from amaranthspar import effects
from amaranthspar.schema import runmessages

RESEND_MS = 250
"""Time after which a gateway that has not answered is asked again."""
LIMIT_MS = 1_200
"""Time after which a search ends although gateways have not answered; four losses of a
message fit in."""
MAX_SEARCHES = 100
"""Searches at a time; with 300 gateways, 30,000 messages in a quarter of a second."""


class Result(enum.Enum):
    """Result of a search.

    Attributes:
        FOUND: A gateway holds the job, or has cancelled it.
        ABSENT: No gateway holds it.
        UNKNOWN: No gateway that has answered holds it, and not all have answered.
    """

    FOUND = enum.auto()
    ABSENT = enum.auto()
    UNKNOWN = enum.auto()


@attrs.define(slots=True)
class JobSearch:
    """One search for a job at all other gateways.

    Attributes:
        number: Number of the search.
        job: Id of the job.
        cancels: Whether the job is to be cancelled.
        began_ms: Monotonic time in ms at which the search began.
        state: State of the job at the gateway that holds it; empty for none so far.
        holder: Name of that gateway; empty for none.
    """

    number: int
    job: str
    cancels: bool
    began_ms: int
    state: str = ""
    holder: str = ""
    _absent: set[str] = attrs.field(factory=set)
    _asked_ms: dict[str, int] = attrs.field(factory=dict)

    def list_due(self, gateways: Mapping[str, str], now_ms: int) -> list[effects.Send]:
        """Return the requests that are due: new gateways, and those that are late.

        Args:
            gateways: Addresses of the other gateways by name.
            now_ms: Monotonic time in ms.
        """
        due = [
            name
            for name in self.list_missing(gateways)
            if now_ms - self._asked_ms.get(name, -RESEND_MS) >= RESEND_MS
        ]
        self._asked_ms.update(dict.fromkeys(due, now_ms))
        message = runmessages.FindJob(self.number, self.job, self.cancels)
        return [effects.Send(gateways[name], message) for name in due]

    def list_missing(self, gateways: Mapping[str, str]) -> list[str]:
        """Return the names of the gateways that have not answered.

        Args:
            gateways: Addresses of the other gateways by name.
        """
        return sorted(gateways.keys() - self._absent)

    def apply_answer(self, gateway: str, answer: runmessages.JobFound) -> None:
        """Note the answer of a gateway.

        Args:
            gateway: Name of the gateway.
            answer: Its answer.
        """
        if answer.state:
            self.state, self.holder = answer.state, gateway
        else:
            self._absent.add(gateway)

    def find_result(
        self, gateways: Mapping[str, str], has_contact: bool, now_ms: int
    ) -> Result | None:
        """Return the result; None while the search goes on.

        Args:
            gateways: Addresses of the other gateways by name.
            has_contact: Whether the list of gateways is up to date.
            now_ms: Monotonic time in ms.
        """
        if self.state:
            return Result.FOUND
        if has_contact and not self.list_missing(gateways):
            return Result.ABSENT
        return Result.UNKNOWN if now_ms - self.began_ms >= LIMIT_MS else None
