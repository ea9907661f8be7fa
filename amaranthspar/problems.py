"""Problem documents, by which refusals and failures are answered."""

import attrs
import msgspec

CONTENT_TYPE = "application/problem+json"


@attrs.frozen(slots=True)
class Problem:
    """Body of a refusal or failure.

    Attributes:
        type: URI reference of the kind of problem.
        title: Kind of problem in a few words.
        status: HTTP status.
        detail: What happened this time.
        outcome: ``done``, ``not-run`` or ``unknown``.
    """

    type: str
    title: str
    status: int
    detail: str
    outcome: str


class ProblemError(Exception):
    """Ends the handling of an HTTP request with a problem document.

    Args:
        status: HTTP status.
        name: Kind of problem, the last part of its type.
        detail: What happened this time.
        outcome: Truthful outcome of the request.
        retry_after_ms: When to come back; 0 for no advice.
    """

    def __init__(
        self,
        status: int,
        name: str,
        detail: str,
        outcome: str = "not-run",
        retry_after_ms: int = 0,
    ) -> None:
        super().__init__(detail)
        self.retry_after_ms = retry_after_ms
        title = name.replace("-", " ").capitalize()
        kind = f"urn:amaranthspar:{name}"
        self.problem = Problem(kind, title, status, detail, outcome)

    def encode(self) -> bytes:
        """Return the body of the problem document."""
        return msgspec.json.encode(self.problem)

    def build_headers(self) -> dict[str, str]:
        """Return the headers that go with the problem document."""
        headers = {"Amaranthspar-Outcome": self.problem.outcome}
        if self.problem.status in (429, 503):
            seconds = max(1, -(-self.retry_after_ms // 1000))
            headers["Retry-After"] = str(seconds)
        return headers
