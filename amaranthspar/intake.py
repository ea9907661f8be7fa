"""Reading of callers' requests into submissions."""

from collections.abc import Mapping

import attrs
import msgspec
import xxhash

from amaranthspar import entries, problems, submissions

DEADLINE_HEADER = "amaranthspar-deadline-ms"
DESK_HEADER = "amaranthspar-desk"
KEY_HEADER = "idempotency-key"
MAX_DEADLINE_MS = 3_600_000
MAX_TASKS = 10_000
MAX_KEY_LENGTH = 255


@attrs.frozen(slots=True)
class TaskBody:
    """One task as a caller states it."""

    payload: msgspec.Raw
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    expected_ms: int = 0


@attrs.frozen(slots=True)
class JobBody:
    """A job as a caller states it."""

    tasks: list[TaskBody]


_job_decoder = msgspec.json.Decoder(JobBody)


@attrs.frozen(slots=True)
class Key:
    """Idempotency key of a submission.

    Attributes:
        name: Digest of account, service and the caller's key.
        fingerprint: Digest of the request's body.
    """

    name: str
    fingerprint: str


def read_job(body: bytes) -> list[submissions.Task]:
    """Return the tasks of a job's body.

    Args:
        body: JSON as sent by the caller.

    Raises:
        problems.ProblemError: The body is not a job.
    """
    try:
        job = _job_decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise problems.ProblemError(400, "malformed-body", str(error)) from error
    if not 0 < len(job.tasks) <= MAX_TASKS:
        detail = f"expected 1 to {MAX_TASKS} tasks, got {len(job.tasks)}"
        raise problems.ProblemError(400, "malformed-body", detail)
    for index, task in enumerate(job.tasks):
        wanted = (task.cores, task.memory_mb, task.accelerators, task.expected_ms)
        if min(wanted) < 0:
            detail = f"tasks[{index}]: negative amounts are not allowed"
            raise problems.ProblemError(400, "malformed-body", detail)
    return [
        submissions.Task(
            index,
            bytes(task.payload),
            task.expected_ms,
            task.cores,
            task.memory_mb,
            task.accelerators,
        )
        for index, task in enumerate(job.tasks)
    ]


def read_deadline(headers: Mapping[str, str], service: entries.Service) -> int:
    """Return the time that a request may take in ms.

    Args:
        headers: HTTP headers with lower-case names.
        service: Service asked for, with the default.

    Raises:
        problems.ProblemError: The header is no whole number, or has passed.
    """
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return service.deadline_ms
    try:
        deadline_ms = int(text)
    except ValueError as error:
        detail = f"Amaranthspar-Deadline-Ms: expected whole ms, got {text!r}"
        raise problems.ProblemError(400, "malformed-header", detail) from error
    if deadline_ms <= 0:
        detail = "the deadline has passed"
        raise problems.ProblemError(400, "deadline-passed", detail)
    return min(deadline_ms, MAX_DEADLINE_MS)


def read_key(
    headers: Mapping[str, str], account: str, service: entries.Service, body: bytes
) -> Key | None:
    """Return the idempotency key of a request, none if it has none.

    Args:
        headers: HTTP headers with lower-case names.
        account: Account name.
        service: Service asked for.
        body: Whole body.

    Raises:
        problems.ProblemError: The service needs a key, or the key is not valid.
    """
    text = headers.get(KEY_HEADER, "")
    if not text:
        if not service.idempotent:
            detail = f"service {service.name} needs an Idempotency-Key"
            raise problems.ProblemError(400, "key-required", detail)
        return None
    if len(text) > MAX_KEY_LENGTH:
        detail = f"Idempotency-Key: longer than {MAX_KEY_LENGTH} characters"
        raise problems.ProblemError(400, "malformed-header", detail)
    name = "\n".join((account, service.name, text))
    digest = xxhash.xxh3_128_hexdigest(name.encode())
    return Key(digest, xxhash.xxh3_128_hexdigest(body))
