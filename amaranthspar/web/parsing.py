"""Parsing and validation of HTTP headers, queries and bodies."""

import re
from collections.abc import Mapping
from typing import Annotated

import attrs
import msgspec
import xxhash

from amaranthspar import addresses, errors
from amaranthspar.dispatch import submissions
from amaranthspar.schema import bodies, entries, problems

DEADLINE_HEADER = "amaranthspar-deadline-ms"
DESK_HEADER = "amaranthspar-desk"
KEY_HEADER = "idempotency-key"
CONTENT_TYPE_HEADER = "content-type"
TRACE_HEADER = "traceparent"
JOB_CONTENT_TYPE = "application/json"
DEFAULT_CONTENT_TYPE = "application/octet-stream"
MAX_DEADLINE_MS = 3_600_000
"""Longest deadline that a caller can set; a longer one is reduced to it."""
MAX_TASKS = 10_000
MAX_NAME_LENGTH = 255
REPLACEMENT_CHARACTER = "\N{REPLACEMENT CHARACTER}"
MAX_QUERY_NUMBER = 2**53
"""Largest whole number accepted in a query."""
MAX_RESOURCE_AMOUNT = 2**31
TRACE_PATTERN = re.compile(r"(?!ff)[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")

Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_RESOURCE_AMOUNT)]


@attrs.frozen(slots=True)
class TaskBody:
    """One task in the JSON body of a job.

    Attributes:
        payload: Body for the upstream, as unparsed JSON.
        cores: Declared processor cores.
        memory_mb: Declared memory in MB.
        accelerators: Declared accelerators.
        expected_ms: Declared run time in ms; 0 for none.
    """

    payload: msgspec.Raw
    cores: Amount = 0
    memory_mb: Amount = 0
    accelerators: Amount = 0
    expected_ms: Amount = 0


@attrs.frozen(slots=True)
class JobBody:
    """JSON body of a job.

    Attributes:
        tasks: Tasks in order.
    """

    tasks: Annotated[list[TaskBody], msgspec.Meta(min_length=1, max_length=MAX_TASKS)]


_job_decoder = msgspec.json.Decoder(JobBody)


@attrs.frozen(slots=True)
class IdempotencyKey:
    """Idempotency key of a submission.

    Attributes:
        name: Digest of account, service and the caller's key.
        fingerprint: Digest of the request body.
    """

    name: str
    fingerprint: str


@attrs.frozen(slots=True)
class RequestMetadata:
    """Metadata of a request: its caller, its service and its headers.

    Attributes:
        account: Account of the caller.
        service: Requested service.
        desk: Desk name; empty for none.
        content_type: Content type of the body, or the default.
        deadline_ms: Time allowed for the request in ms.
        traceparent: W3C trace context; empty for none.
    """

    account: entries.Account
    service: entries.Service
    desk: str
    content_type: str
    deadline_ms: int
    traceparent: str


def parse_metadata(
    headers: Mapping[str, str], account: entries.Account, service: entries.Service
) -> RequestMetadata:
    """Parse the headers of a request.

    A malformed ``traceparent`` is ignored.

    Args:
        headers: HTTP headers with lower-case names.
        account: Account of the caller.
        service: Requested service.

    Raises:
        problems.ProblemError: A header is malformed.
    """
    trace = headers.get(TRACE_HEADER, "")
    return RequestMetadata(
        account,
        service,
        _read_header(headers, DESK_HEADER),
        _read_header(headers, CONTENT_TYPE_HEADER) or DEFAULT_CONTENT_TYPE,
        parse_deadline(headers, service),
        trace if TRACE_PATTERN.fullmatch(trace) else "",
    )


def build_submission(
    name: str,
    metadata: RequestMetadata,
    tasks: list[submissions.Task],
    is_job: bool,
    now_ms: int,
) -> submissions.Submission:
    """Return the submission of a request or job.

    Args:
        name: Submission id.
        metadata: Metadata of the request.
        tasks: Tasks in order.
        is_job: Whether it is a job.
        now_ms: Monotonic time in ms.
    """
    account = metadata.account
    return submissions.Submission(
        name=name,
        service=metadata.service.name,
        account=account.name,
        team=account.team,
        caller=f"{account.name}/{metadata.desk}",
        desk=metadata.desk,
        is_job=is_job,
        content_type=JOB_CONTENT_TYPE if is_job else metadata.content_type,
        admitted_ms=now_ms,
        deadline_ms=now_ms + metadata.deadline_ms,
        tasks=tasks,
        traceparent=metadata.traceparent,
    )


def parse_request(body: bytes, max_payload_bytes: int) -> list[submissions.Task]:
    """Return the only task of a request.

    Args:
        body: Body sent by the caller.
        max_payload_bytes: Largest accepted body in bytes.

    Raises:
        problems.ProblemError: The body is too large.
    """
    if len(body) > max_payload_bytes:
        detail = f"the body exceeds {max_payload_bytes} bytes"
        raise problems.ProblemError(413, "body-too-large", detail)
    return [submissions.Task(0, body)]


def parse_job(body: bytes, max_payload_bytes: int) -> list[submissions.Task]:
    """Parse and validate the body of a job.

    Args:
        body: JSON sent by the caller.
        max_payload_bytes: Largest accepted payload of a task in bytes.

    Returns:
        The tasks in order.

    Raises:
        problems.ProblemError: The body is not a valid job, or a payload is too large.
    """
    decode_text(body)
    try:
        job = _job_decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise problems.refuse_malformed(str(error)) from error
    except RecursionError as error:
        raise problems.refuse_malformed("the body is nested too deeply") from error
    tasks = []
    for index, task in enumerate(job.tasks):
        payload = bytes(task.payload)
        if len(payload) > max_payload_bytes:
            detail = f"tasks[{index}]: the payload exceeds {max_payload_bytes} bytes"
            raise problems.ProblemError(413, "body-too-large", detail)
        tasks.append(
            submissions.Task(
                index,
                payload,
                task.expected_ms,
                task.cores,
                task.memory_mb,
                task.accelerators,
            )
        )
    return tasks


def parse_deadline(headers: Mapping[str, str], service: entries.Service) -> int:
    """Return the time allowed for a request in ms.

    Args:
        headers: HTTP headers with lower-case names.
        service: Requested service, which has the default.

    Raises:
        problems.ProblemError: The header is not a whole number, or not positive.
    """
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return service.deadline_ms
    digits = text.removeprefix("-")
    if not (digits.isascii() and digits.isdigit()):
        detail = f"Amaranthspar-Deadline-Ms: expected whole ms, got {text!r}"
        raise problems.ProblemError(400, "malformed-header", detail)
    significant = digits.lstrip("0")
    if digits != text or not significant:
        detail = "Amaranthspar-Deadline-Ms: the deadline has passed"
        raise problems.ProblemError(400, "deadline-passed", detail)
    if len(significant) > len(str(MAX_DEADLINE_MS)):
        return MAX_DEADLINE_MS
    return min(int(significant), MAX_DEADLINE_MS)


def parse_key(
    headers: Mapping[str, str], account: str, service: entries.Service, body: bytes
) -> IdempotencyKey | None:
    """Return the idempotency key of a request, or None if it has none.

    Args:
        headers: HTTP headers with lower-case names.
        account: Account name.
        service: Requested service.
        body: Whole request body.

    Raises:
        problems.ProblemError: The key is invalid, or missing although the service
            is not idempotent.
    """
    text = _read_header(headers, KEY_HEADER)
    if not text:
        if not service.idempotent:
            detail = f"service {service.name} needs an Idempotency-Key"
            raise problems.ProblemError(400, "key-required", detail)
        return None
    name = "\n".join((account, service.name, text))
    digest = xxhash.xxh3_128_hexdigest(name.encode())
    return IdempotencyKey(digest, xxhash.xxh3_128_hexdigest(body))


def parse_number(text: str, name: str) -> int:
    """Parse a whole number from the query of a URL.

    Args:
        text: Value sent by the caller.
        name: Name of the query parameter.

    Raises:
        problems.ProblemError: It is not a whole number from 0 to 2**53.
    """
    is_number = (
        text.isascii() and text.isdigit() and len(text) <= len(str(MAX_QUERY_NUMBER))
    )
    if not is_number or int(text) > MAX_QUERY_NUMBER:
        detail = f"{name}: expected a whole number, got {text[:40]!r}"
        raise problems.ProblemError(400, "malformed-query", detail)
    return int(text)


def parse_name(text: str, name: str) -> str:
    """Validate and return a name from the query of a URL.

    Args:
        text: Value sent by the caller.
        name: Name of the query parameter.

    Raises:
        problems.ProblemError: It is missing, too long or not printable.
    """
    if not text:
        raise problems.ProblemError(400, "malformed-query", f"{name}: missing")
    if not is_valid_name(text):
        raise problems.ProblemError(400, "malformed-query", f"{name}: {_NAME_RULE}")
    return text


def decode_text(body: bytes) -> str:
    """Decode a body as UTF-8.

    Args:
        body: Body sent by the caller.

    Raises:
        problems.ProblemError: It is not valid UTF-8.
    """
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise problems.refuse_malformed(f"expected UTF-8: {error}") from error


def parse_replacement(body: bytes) -> bodies.Replacement:
    """Parse and validate a change of the set of replicas.

    Args:
        body: JSON sent by an operator.

    Raises:
        problems.ProblemError: It is not a valid change.
    """
    try:
        replacement = msgspec.json.decode(decode_text(body), type=bodies.Replacement)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise problems.refuse_malformed(str(error)) from error
    if not replacement.removed and not replacement.added:
        raise problems.refuse_malformed("expected removed, added or both")
    if bool(replacement.added) != bool(replacement.address):
        raise problems.refuse_malformed("expected address together with added")
    if not is_valid_name(replacement.removed) or not is_valid_name(replacement.added):
        raise problems.refuse_malformed(_NAME_RULE)
    if replacement.address:
        try:
            addresses.parse_address(replacement.address)
        except errors.SchemaError as error:
            raise problems.refuse_malformed(f"address: {error}") from error
    return replacement


def is_valid_name(text: str) -> bool:
    """Return whether a text is safe to put into headers and messages.

    Args:
        text: Text sent by a caller.
    """
    is_readable = text.isprintable() and REPLACEMENT_CHARACTER not in text
    return is_readable and len(text) <= MAX_NAME_LENGTH


_NAME_RULE = f"expected at most {MAX_NAME_LENGTH} printable characters in UTF-8"


def _read_header(headers: Mapping[str, str], name: str) -> str:
    text = headers.get(name, "")
    if not is_valid_name(text):
        detail = f"{name.title()}: {_NAME_RULE}"
        raise problems.ProblemError(400, "malformed-header", detail)
    return text
