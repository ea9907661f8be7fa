"""Problem documents, the HTTP responses to requests that are refused or fail."""

import attrs
import msgspec

from amaranthspar.schema import messages

CONTENT_TYPE = "application/problem+json"
OUTCOME_HEADER = "Amaranthspar-Outcome"
UNAUTHORIZED_STATUS = 401
RETRY_STATUSES = (429, 503)
UNREADY_RETRY_MS = 1000


@attrs.frozen(slots=True)
class Problem:
    """Body of the response to a refused or failed request.

    Attributes:
        type: URI reference that identifies the kind of problem.
        title: Kind of problem in a few words.
        status: HTTP status.
        detail: Description of this occurrence of the problem.
        outcome: ``done``, ``not-run`` or ``unknown``.
    """

    type: str
    title: str
    status: int
    detail: str
    outcome: str


@attrs.frozen(slots=True)
class ChangeProblem:
    """Body of the response to a refused change of the configuration.

    Attributes:
        type: URI reference that identifies the kind of problem.
        title: Kind of problem in a few words.
        status: HTTP status.
        detail: Description of this occurrence of the problem.
        outcome: ``not-run``.
        decision: Decision of the controllers.
    """

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    decision: messages.ConfigurationDecided


class ProblemError(Exception):
    """Ends the handling of an HTTP request with a problem document.

    Args:
        status: HTTP status.
        name: Kind of problem, the last part of its type.
        detail: Description of this occurrence of the problem.
        outcome: ``done``, ``not-run`` or ``unknown``.
        retry_after_ms: Recommended time in ms before a retry; 0 for none.
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
        # The detail may quote input of the caller that is not valid Unicode.
        detail = detail.encode(errors="replace").decode()
        self.retry_after_ms = retry_after_ms
        title = name.replace("-", " ").capitalize()
        kind = f"urn:amaranthspar:{name}"
        self.problem: Problem | ChangeProblem = Problem(
            kind, title, status, detail, outcome
        )

    def encode(self) -> bytes:
        """Return the body of the problem document."""
        return msgspec.json.encode(self.problem)

    def build_headers(self) -> dict[str, str]:
        """Return the headers of the response with the problem document."""
        headers = {OUTCOME_HEADER: self.problem.outcome}
        if self.problem.status in RETRY_STATUSES:
            seconds = max(1, -(-self.retry_after_ms // 1000))
            headers["Retry-After"] = str(seconds)
        if self.problem.status == UNAUTHORIZED_STATUS:
            headers["WWW-Authenticate"] = "Bearer"
        return headers


class ChangeError(ProblemError):
    """Refuses a change of the configuration.

    Args:
        status: HTTP status.
        name: Kind of problem, the last part of its type.
        detail: Description of this occurrence of the problem.
        decision: Decision of the controllers.
    """

    def __init__(
        self,
        status: int,
        name: str,
        detail: str,
        decision: messages.ConfigurationDecided,
    ) -> None:
        super().__init__(status, name, detail)
        base = self.problem
        self.problem = ChangeProblem(
            base.type, base.title, status, detail, base.outcome, decision
        )


def refuse_unready(detail: str) -> ProblemError:
    """Return the error of a gateway that cannot serve requests at present.

    Args:
        detail: Reason why it cannot.
    """
    return ProblemError(503, "unavailable", detail, retry_after_ms=UNREADY_RETRY_MS)


def refuse_malformed(detail: str) -> ProblemError:
    """Return the error of a request whose body or query is malformed.

    Args:
        detail: What was expected.
    """
    return ProblemError(400, "malformed-body", detail)
