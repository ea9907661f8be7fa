"""Builders of the HTTP responses of a gateway."""

from typing import Any

from sanic import exceptions, response

from amaranthspar import errors
from amaranthspar.dispatch import submissions
from amaranthspar.schema import bodies, problems

JSON = "application/json"
DONE_HEADERS = {problems.OUTCOME_HEADER: submissions.DONE}
# The outcome of a job is unknown until the job has ended.
OPEN_HEADERS = {problems.OUTCOME_HEADER: submissions.UNKNOWN}


def build_json(
    body: Any, status: int = 200, outcome: str = submissions.DONE
) -> response.HTTPResponse:
    """Return a response with a typed JSON body.

    Args:
        body: Instance of a class of ``messages`` or of ``bodies``.
        status: HTTP status.
        outcome: Value of the header ``Amaranthspar-Outcome``.
    """
    headers = {problems.OUTCOME_HEADER: outcome}
    return response.raw(bodies.encode_body(body), status, headers, JSON)


def build_text(text: str, status: int = 200) -> response.HTTPResponse:
    """Return a response with a line of plain text.

    Args:
        text: Line of text.
        status: HTTP status.
    """
    headers = dict(DONE_HEADERS)
    if status in problems.RETRY_STATUSES:
        headers["Retry-After"] = "1"
    return response.text(text, status, headers)


def build_problem(problem: problems.ProblemError) -> response.HTTPResponse:
    """Return a response with a problem document.

    Args:
        problem: Error that holds the problem document.
    """
    return response.raw(
        problem.encode(),
        problem.problem.status,
        problem.build_headers(),
        problems.CONTENT_TYPE,
    )


def build_error(error: Exception) -> response.HTTPResponse:
    """Return the response to an exception that no handler caught.

    Args:
        error: Exception raised before or in a handler.
    """
    match error:
        case problems.ProblemError():
            return build_problem(error)
        case exceptions.SanicException():
            status, detail = _find_status(error), str(error)
        case _:
            status, detail = 500, type(error).__name__
    name = _PROBLEM_NAMES.get(status, f"http-{status}")
    # Statuses below 500 are raised before a handler runs, so no task was started.
    outcome = submissions.NOT_RUN if status < 500 else submissions.UNKNOWN
    result = build_problem(problems.ProblemError(status, name, detail, outcome))
    if isinstance(error, exceptions.MethodNotAllowed):
        result.headers.update(error.headers)
    return result


def _find_status(error: exceptions.SanicException) -> int:
    if isinstance(error, exceptions.PayloadTooLarge) and "header" in str(error):
        return 431
    return error.status_code or 500


_PROBLEM_NAMES = {
    400: "malformed-request",
    404: "unknown-path",
    405: "unknown-method",
    408: "request-timeout",
    413: "body-too-large",
    431: "headers-too-large",
    417: "expectation-failed",
}


FAILURE_PROBLEMS = {
    submissions.Failure.OVERDUE: (504, "deadline-passed"),
    submissions.Failure.TOO_LATE: (503, "deadline-too-near"),
    submissions.Failure.INFEASIBLE: (422, "can-never-run"),
    submissions.Failure.QUEUE_FULL: (503, "queue-full"),
    submissions.Failure.QUOTA: (429, "quota-exceeded"),
    submissions.Failure.UNAVAILABLE: (503, "unavailable"),
}
"""HTTP status and problem name by kind of failure."""


def build_failure_response(answer: submissions.Answer) -> response.HTTPResponse:
    """Return the response for a submission that has failed.

    Args:
        answer: Answer of the submission.
    """
    status, name = FAILURE_PROBLEMS.get(answer.failure, (502, answer.failure.value))
    if answer.outcome == submissions.NOT_RUN and name == "failed":
        status, name = 503, "not-run"
    problem = problems.ProblemError(
        status, name, answer.reason, answer.outcome, answer.retry_after_ms
    )
    return build_problem(problem)


def build_request_response(answer: submissions.Answer) -> response.HTTPResponse:
    """Return the response for a request: the upstream's status and body, or a failure.

    Args:
        answer: Answer of the submission.
    """
    if not answer.results:
        return build_failure_response(answer)
    result = answer.results[0]
    headers = {problems.OUTCOME_HEADER: answer.outcome}
    return response.raw(result.body, result.status, headers, result.content_type)


def build_job_response(answer: submissions.Answer) -> response.HTTPResponse:
    """Return the response for a job: all answers in task order, or a failure.

    Args:
        answer: Answer of the submission.
    """
    if not answer.results:
        return build_failure_response(answer)
    try:
        parts = [bodies.parse_raw_json(result.body) for result in answer.results]
    except errors.SchemaError as error:
        detail = f"an upstream's answer is no JSON: {error}"
        problem = problems.ProblemError(502, "failed", detail, answer.outcome)
        return build_problem(problem)
    return build_json(bodies.JobAnswers(answer.submission, parts))
