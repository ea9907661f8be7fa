"""Decodes and encodes the bodies of the platform's HTTP calls.

The private structures have the field names of the platform and are not used outside
this module. They are msgspec structures rather than attrs classes, because msgspec can
rename fields.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from amaranthspar import addresses, errors
from amaranthspar.scheduling import jobs, routes, runevents
from amaranthspar.schema import runmessages

MAX_TASKS = 100_000
"""Largest number of tasks of one job; the largest known job has 1,200."""
MAX_NUMBER = 2**53 - 1
"""Largest number in a body. Every JSON reader represents it exactly, and the sum of
many such numbers still fits into the 64 bits of an encoded message."""
MAX_NESTING = 64
"""Deepest nesting of arrays and objects in a configuration."""
MAX_LABELS = 64
"""Largest number of labels of an upstream; each report to a gateway carries them."""
MAX_LABEL_LENGTH = 256
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
JOB_ID_LENGTH = 16


_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_SignedNumber = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
_Measure = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Label = Annotated[str, msgspec.Meta(max_length=MAX_LABEL_LENGTH)]


class BodyError(errors.AmaranthsparError):
    """A body is malformed or violates a rule of its format."""


class _Step(msgspec.Struct, rename="pascal"):
    count: _Number
    cpu: _Number = 0
    mem_mb: _Number = 0
    gpu: _Number = 0
    estimate_ms: _Number = 0
    after: list[_Number] = []
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_server: _Number = 0
    checkpoints: bool = False
    speculative: bool = False


class _Job(msgspec.Struct, rename="pascal"):
    steps: list[_Step]
    spec: str = ""
    best_effort: bool = False
    persistent: bool = False
    repeat_count: _Number = 0


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: _Number
    priority: _SignedNumber = 0
    max_attempts: _Number = 1
    stretch: _Measure = 1.0
    target_latency_ms: _Number = 0


class _Service(msgspec.Struct, rename="pascal"):
    name: str


class _Configuration(msgspec.Struct, rename="pascal"):
    version: _Number
    routes: list[_Route]
    services: list[_Service]


class _Amounts(msgspec.Struct, rename="pascal"):
    cpu: _Number
    mem_mb: _Number
    gpu: _Number = 0


class _Heartbeat(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    state: str
    seq: _Number
    capacity: _Amounts
    labels: Annotated[list[_Label], msgspec.Meta(max_length=MAX_LABELS)] = []
    # Wall-clock time of the start in ms; the only field that distinguishes two
    # incarnations with the same id.
    born: _Number = msgspec.field(name="born", default=0)
    # The rest has no use here; a wrong type shows that another program wrote the body.
    version: str = ""
    slots: _Measure = 0
    cold_remaining_ms: _Measure = 0
    remaining_ms: _Measure = 0
    clock_ms: _Measure = 0


class _RunningRow(msgspec.Struct, array_like=True):
    task: str
    run: _Number
    saved: str
    percent: _Measure


class _EndedRow(msgspec.Struct, array_like=True):
    number: _Number
    task: str
    run: _Number
    how: str
    saved: str


class _Listing(msgspec.Struct, rename="pascal"):
    clock_ms: _Number
    running: list[_RunningRow] = []
    ended: list[_EndedRow] = []
    born: _Number = msgspec.field(name="born", default=0)


class _Answer(msgspec.Struct, rename="pascal"):
    clock_ms: _Number = 0
    reason: str = ""


class Job(msgspec.Struct):
    """Decoded job of a caller.

    Attributes:
        request: Job to submit.
        unsupported: Requested feature that the gateway does not support; empty if none.
    """

    request: jobs.Request
    unsupported: str


class Heartbeat(msgspec.Struct):
    """Heartbeat with which an upstream registers.

    Attributes:
        service: Service of the upstream.
        born_ms: Wall-clock time of the upstream's start in ms.
        sequence: Number that increases with each heartbeat.
        is_leaving: Whether the upstream accepts no new runs.
        capacity: Total capacity of the upstream.
        labels: Kind and rack.
    """

    service: str
    born_ms: int
    sequence: int
    is_leaving: bool
    capacity: runmessages.Resources
    labels: tuple[str, ...]


class Listing(msgspec.Struct):
    """An upstream's list of runs.

    Attributes:
        clock_ms: Time on the upstream's clock in ms.
        born_ms: Wall-clock time of the upstream's start in ms; 0 if not stated.
        last: Highest sequence number in `ends`; 0 if there are none.
        running: Runs in progress.
        ends: Ended runs that the upstream has not yet discarded.
    """

    clock_ms: int
    born_ms: int
    last: int
    running: tuple[runevents.ListedRun, ...]
    ends: tuple[runevents.EndedRun, ...]


_job_decoder = msgspec.json.Decoder(_Job)
_configuration_decoder = msgspec.json.Decoder(_Configuration)
_heartbeat_decoder = msgspec.json.Decoder(_Heartbeat)
_listing_decoder = msgspec.json.Decoder(_Listing)
_answer_decoder = msgspec.json.Decoder(_Answer)


def is_job_id(text: str) -> bool:
    """Return whether a text is a job id, which has 16 hexadecimal digits."""
    return len(text) == JOB_ID_LENGTH and HEX_DIGITS.issuperset(text)


def decode_job(data: bytes, name: str, queue: jobs.Queue) -> Job:
    """Return the job that a body contains.

    Args:
        data: Body of the call.
        name: Id of the job.
        queue: Queue of the job.

    Raises:
        BodyError: The body is not a valid job.
    """
    try:
        body = _job_decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise BodyError(f"invalid job: {error}") from error
    for number, step in enumerate(body.steps):
        if step.count < 1 or any(item >= number for item in step.after):
            raise BodyError(f"step {number}: no tasks, or after a step not before it")
    if not body.steps or sum(step.count for step in body.steps) > MAX_TASKS:
        raise BodyError(f"no steps, or more than {MAX_TASKS} tasks")
    steps = tuple(
        jobs.Step(
            step.count,
            runmessages.Resources(step.cpu, step.mem_mb, step.gpu),
            step.estimate_ms,
            tuple(step.after),
            step.required_label,
            step.data_rack,
            step.max_per_server,
        )
        for step in body.steps
    )
    request = jobs.Request(name, queue, body.spec, steps)
    return Job(request, _find_unsupported(body))


def _find_unsupported(body: _Job) -> str:
    if body.persistent:
        return "tasks that last"
    if body.repeat_count:
        return "repeated jobs"
    if not body.best_effort:
        return "stored jobs"
    if any(step.gang for step in body.steps):
        return "gangs"
    return ""


def decode_configuration(data: bytes) -> routes.Table:
    """Return the routing table of a configuration.

    Args:
        data: Body of the operator's call.

    Raises:
        BodyError: The configuration is malformed or invalid.
    """
    try:
        body = _configuration_decoder.decode(data)
        # Fields without a meaning here are otherwise skipped without being read.
        _check_nesting(msgspec.json.decode(data))
    except (msgspec.MsgspecError, RecursionError) as error:
        raise BodyError(f"invalid configuration: {error}") from error
    services = {service.name for service in body.services}
    prefixes: set[tuple[str, str]] = set()
    for route in body.routes:
        if route.service not in services:
            raise BodyError(f"route {route.name}: unknown service {route.service}")
        if route.timeout_ms <= 0:
            raise BodyError(f"route {route.name}: timeout is not positive")
        prefix = (route.host.lower(), route.path_prefix)
        if prefix in prefixes:
            raise BodyError(f"route {route.name}: duplicate host and path prefix")
        prefixes.add(prefix)
    found = [
        routes.Route(
            route.host,
            route.path_prefix,
            jobs.Queue(
                route.name,
                route.service,
                route.priority,
                max(route.max_attempts, 1),
                route.stretch,
                route.target_latency_ms,
            ),
        )
        for route in body.routes
    ]
    return routes.Table(body.version, found)


def _check_nesting(value: Any) -> None:
    """Raise an error if arrays and objects are nested too deeply.

    The decoder's own limit depends on the functions that are being called, so that a
    process could accept a configuration that another one cannot read.

    Args:
        value: Decoded array or object.

    Raises:
        BodyError: The limit is exceeded.
    """
    level = [value]
    for _ in range(MAX_NESTING):
        level = [
            inner
            for outer in level
            for inner in (outer.values() if isinstance(outer, dict) else outer)
            if isinstance(inner, (dict, list))
        ]
    if level:
        raise BodyError(f"nested more than {MAX_NESTING} levels deep")


def decode_heartbeat(data: bytes) -> Heartbeat:
    """Return the heartbeat of an upstream.

    Args:
        data: Body of the call.

    Raises:
        BodyError: The body cannot be read in full, a field is missing, has a wrong type
            or is out of bounds, or the state is unknown.
    """
    try:
        # Fields without a meaning here are otherwise skipped without being read.
        msgspec.json.decode(data)
        body = _heartbeat_decoder.decode(data)
        addresses.parse_address(body.address)
    except (msgspec.MsgspecError, RecursionError, errors.SchemaError) as error:
        raise BodyError(f"invalid heartbeat: {error}") from error
    if body.state not in ("ready", "draining"):
        raise BodyError(f"unknown state {body.state!r}")
    amounts = body.capacity
    return Heartbeat(
        body.service,
        body.born,
        body.seq,
        body.state == "draining",
        runmessages.Resources(amounts.cpu, amounts.mem_mb, amounts.gpu),
        tuple(body.labels),
    )


def decode_listing(data: bytes) -> Listing:
    """Return an upstream's list of runs.

    Args:
        data: Body of the response.

    Raises:
        BodyError: The body is not a valid list.
    """
    try:
        body = _listing_decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise BodyError(f"invalid list of runs: {error}") from error
    running = tuple(
        runevents.ListedRun(
            runmessages.RunName(row.task, row.run), row.saved, int(row.percent)
        )
        for row in body.running
    )
    ends = tuple(
        runevents.EndedRun(runmessages.RunName(row.task, row.run), row.how, row.saved)
        for row in body.ended
    )
    last = max((row.number for row in body.ended), default=0)
    return Listing(body.clock_ms, body.born, last, running, ends)


def decode_answer(data: bytes) -> tuple[int, str]:
    """Return the upstream's clock in ms and the reason for a rejection.

    A malformed body counts as one without fields: the clock is 0 and the reason empty.

    Args:
        data: Body of the response.
    """
    try:
        body = _answer_decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return 0, ""
    return body.clock_ms, body.reason


def encode_start(
    order: runmessages.RunOrder, spec: str, deadline_ms: int, fence: int
) -> bytes:
    """Return the body that starts a run.

    Args:
        order: Order to start the run.
        spec: Specification of the task.
        deadline_ms: Latest time for the start on the upstream's clock in ms.
        fence: Fencing token of the sidecar.
    """
    body: dict[str, str | int] = {
        "Task": order.name.task,
        "Run": order.name.run,
        "Spec": spec,
        "DeadlineMs": deadline_ms,
        "Fence": fence,
    }
    if order.saved:
        body["Saved"] = order.saved
    if order.ticket:
        body["Ticket"] = order.ticket
    return msgspec.json.encode(body)


def encode_stop(name: runmessages.RunName, fence: int) -> bytes:
    """Return the body that stops a run.

    Args:
        name: Run to stop.
        fence: Fencing token of the sidecar.
    """
    return msgspec.json.encode({"Task": name.task, "Run": name.run, "Fence": fence})


def encode_renewal(seen: int, wait_ms: int, deadline_ms: int, fence: int) -> bytes:
    """Return the body that renews the lease of all runs.

    Args:
        seen: Highest number of an ended run that the sidecar has processed; the
            upstream may discard those up to it.
        wait_ms: Longest time in ms for which the upstream delays its response to wait
            for the end of a run.
        deadline_ms: New end of the lease on the upstream's clock in ms; 0 to leave it
            unchanged.
        fence: Fencing token of the sidecar.
    """
    body = {"Fence": fence, "SeenUpto": seen, "WaitMs": wait_ms}
    if deadline_ms > 0:
        body["DeadlineMs"] = deadline_ms
    return msgspec.json.encode(body)
