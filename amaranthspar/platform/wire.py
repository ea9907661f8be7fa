"""Bodies of the platform's calls, decoded into and encoded from the product's types.

The structures here carry the platform's names; nothing outside this package sees them.
They are msgspec structures rather than attrs classes, as only these can be renamed.
"""

from __future__ import annotations

import msgspec

from amaranthspar import errors
from amaranthspar.scheduling import jobs, routes, runevents
from amaranthspar.schema import runmessages

MAX_TASKS = 100_000
"""Most tasks of one job; far above the 1,200 of the largest known job."""
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
ID_LENGTH = 16


class BodyError(errors.AmaranthsparError):
    """A body cannot be read in full or breaks a rule of its format."""


class _Step(msgspec.Struct, rename="pascal"):
    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: list[int] = []
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_server: int = 0
    checkpoints: bool = False
    speculative: bool = False


class _Job(msgspec.Struct, rename="pascal"):
    steps: list[_Step]
    spec: str = ""
    best_effort: bool = False
    persistent: bool = False
    repeat_count: int = 0


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: int
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0


class _Service(msgspec.Struct, rename="pascal"):
    name: str


class _Configuration(msgspec.Struct, rename="pascal"):
    version: int
    routes: list[_Route]
    services: list[_Service]


class _Amounts(msgspec.Struct, rename="pascal"):
    cpu: int
    mem_mb: int
    gpu: int = 0


class _Heartbeat(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    state: str
    seq: int
    capacity: _Amounts
    labels: list[str] = []
    # The wall clock of the start, in ms. It alone tells two lives of one id apart.
    born: int = msgspec.field(name="born", default=0)


class _Listing(msgspec.Struct, rename="pascal"):
    clock_ms: int
    running: list[list[str | int | float]] = []
    ended: list[list[str | int]] = []
    born: int = msgspec.field(name="born", default=0)


class _Answer(msgspec.Struct, rename="pascal"):
    clock_ms: int = 0
    reason: str = ""


class Job(msgspec.Struct):
    """A job as a caller sent it, with what the gateway does not offer.

    Attributes:
        request: Job in the product's terms.
        unsupported: Name of a feature that is wanted but not offered; empty for none.
    """

    request: jobs.Request
    unsupported: str


class Heartbeat(msgspec.Struct):
    """An upstream's statement about itself.

    Attributes:
        service: Service of the upstream.
        born_ms: Wall clock of its start in ms.
        sequence: Grows with each statement.
        is_leaving: Whether it takes no new runs.
        capacity: All that it offers.
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
        clock_ms: Its clock in ms.
        born_ms: Wall clock of its start in ms; 0 if it did not say.
        last: Highest number of an end; 0 for none.
        running: Runs under way.
        ends: Ends that were not forgotten.
    """

    clock_ms: int
    born_ms: int
    last: int
    running: tuple[runevents.ListedRun, ...]
    ends: tuple[runevents.EndedRun, ...]


_jobs = msgspec.json.Decoder(_Job)
_configurations = msgspec.json.Decoder(_Configuration)
_heartbeats = msgspec.json.Decoder(_Heartbeat)
_listings = msgspec.json.Decoder(_Listing)
_answers = msgspec.json.Decoder(_Answer)


def is_job_id(text: str) -> bool:
    """Return whether a text is a job's id: 16 hexadecimal digits."""
    return len(text) == ID_LENGTH and HEX_DIGITS.issuperset(text)


def decode_job(data: bytes, name: str, queue: jobs.Queue) -> Job:
    """Return the job that a body holds.

    Args:
        data: Body of the call.
        name: Id of the job.
        queue: Queue of the job.

    Raises:
        BodyError: The body is no job.
    """
    try:
        body = _jobs.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise BodyError(f"no job: {error}") from error
    for number, step in enumerate(body.steps):
        if step.count < 1 or any(not 0 <= item < number for item in step.after):
            raise BodyError(f"step {number}: no tasks, or after a step that follows")
        if min(step.cpu, step.mem_mb, step.gpu, step.estimate_ms) < 0:
            raise BodyError(f"step {number}: a negative amount")
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
        BodyError: It cannot be read in full or is not valid.
    """
    try:
        body = _configurations.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise BodyError(f"no configuration: {error}") from error
    services = {service.name for service in body.services}
    places: set[tuple[str, str]] = set()
    for route in body.routes:
        if route.service not in services:
            raise BodyError(f"route {route.name}: unknown service {route.service}")
        if route.timeout_ms <= 0:
            raise BodyError(f"route {route.name}: no time limit")
        place = (route.host.lower(), route.path_prefix)
        if place in places:
            raise BodyError(f"route {route.name}: another route has its place")
        places.add(place)
    if body.version < 0:
        raise BodyError("negative version")
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


def decode_heartbeat(data: bytes) -> Heartbeat:
    """Return what an upstream says of itself.

    Args:
        data: Body of the call.

    Raises:
        BodyError: Fields are missing, of another type or unknown.
    """
    try:
        body = _heartbeats.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise BodyError(f"no heartbeat: {error}") from error
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
        data: Body of the answer.

    Raises:
        BodyError: The body is no list.
    """
    try:
        body = _listings.decode(data)
        running = tuple(
            runevents.ListedRun(
                runmessages.RunName(str(row[0]), int(row[1])), str(row[2]), int(row[3])
            )
            for row in body.running
        )
        ends = tuple(
            runevents.EndedRun(
                runmessages.RunName(str(row[1]), int(row[2])), str(row[3]), str(row[4])
            )
            for row in body.ended
        )
        last = max((int(row[0]) for row in body.ended), default=0)
    except (msgspec.MsgspecError, RecursionError, IndexError, ValueError) as error:
        raise BodyError(f"no list of runs: {error}") from error
    return Listing(body.clock_ms, body.born, last, running, ends)


def decode_answer(data: bytes) -> tuple[int, str]:
    """Return the upstream's clock in ms and the reason of a refusal.

    A body that cannot be read counts as one that says nothing.

    Args:
        data: Body of the answer.
    """
    try:
        body = _answers.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return 0, ""
    return body.clock_ms, body.reason


def encode_start(
    order: runmessages.RunOrder, spec: str, until_ms: int, fence: int
) -> bytes:
    """Return the body that starts a run.

    Args:
        order: What to start.
        spec: Specification of the task.
        until_ms: Time on the upstream's clock after which it may not start, in ms.
        fence: Fence of the sidecar.
    """
    body: dict[str, str | int] = {
        "Task": order.name.task,
        "Run": order.name.run,
        "Spec": spec,
        "DeadlineMs": until_ms,
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
        fence: Fence of the sidecar.
    """
    return msgspec.json.encode({"Task": name.task, "Run": name.run, "Fence": fence})


def encode_hold(seen: int, wait_ms: int, until_ms: int, fence: int) -> bytes:
    """Return the body that renews the lease of all runs.

    Args:
        seen: Number up to which ends may be forgotten.
        wait_ms: Longest time that the answer waits for an end in ms.
        until_ms: New end of the lease on the upstream's clock in ms; 0 for none.
        fence: Fence of the sidecar.
    """
    body = {"Fence": fence, "SeenUpto": seen, "WaitMs": wait_ms}
    if until_ms > 0:
        body["DeadlineMs"] = until_ms
    return msgspec.json.encode(body)
