"""Fuzz tests of external input: HTTP, settings, configurations and frames.

Any input gives a typed error or a valid value. No other exception is raised, nothing
hangs and no task starts.
"""

import configparser
import contextlib
import json
import socket

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from amaranthspar import configuration, errors
from amaranthspar.ini import inifiles
from amaranthspar.roles import settings
from amaranthspar.schema import codec, entries, messages, problems
from amaranthspar.web import parsing, tokens
from tests import builders_shell

FUZZ_SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    suppress_health_check=list(hypothesis.HealthCheck),
)
FEW_EXAMPLES = hypothesis.settings(FUZZ_SETTINGS, max_examples=80)
SERVICE = entries.Service("s", idempotent=True)
ACCOUNT = entries.Account("a", "0" * 64)
# Sanic decodes header bytes that are not UTF-8 as surrogates.
HEADER_VALUES = strategies.binary(max_size=60).map(
    lambda data: data.decode(errors="surrogateescape")
)
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(["tasks", "payload", "cores", "expected_ms"]),
            inner,
            max_size=3,
        )
    ),
    max_leaves=12,
)
NAMES = strategies.text(max_size=12)
KEYS = strategies.sampled_from(
    ["name", "state", "weight", "idempotent", "http", "slots", "listen", "retry_ratio"]
)
SECTIONS = strategies.sampled_from(
    ["process", "gateway", "links", "service a", "domain", "team b c", "DEFAULT", "x"]
)
VALUES = strategies.text(max_size=12) | strategies.sampled_from(
    ["yes", "0", "-1", "1e400", "nan", "127.0.0.1:1", "٣", "9" * 5000]
)
INI_TEXTS = strategies.dictionaries(
    SECTIONS, strategies.dictionaries(KEYS, VALUES, max_size=4), max_size=4
).map(
    lambda found: "".join(
        f"[{name}]\n" + "".join(f"{key} = {value}\n" for key, value in values.items())
        for name, values in found.items()
    )
)


@FUZZ_SETTINGS
@hypothesis.given(
    strategies.binary(max_size=80) | JSON_VALUES.map(json.dumps).map(str.encode)
)
def test_any_body_parses_as_a_job_or_raises_a_problem(body: bytes) -> None:
    try:
        tasks = parsing.parse_job(body, 1000)
    except problems.ProblemError as problem:
        assert problem.problem.status in (400, 413)
        assert problem.problem.outcome == "not-run"
        msgspec.json.decode(problem.encode())
        return
    assert [task.index for task in tasks] == list(range(len(tasks)))
    for task in tasks:
        json.loads(task.payload)
        start = messages.TaskStart(
            task.index, task.payload, task.cores, task.memory_mb, task.accelerators
        )
        codec.encode_message(start)


@FUZZ_SETTINGS
@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(
            [
                parsing.DEADLINE_HEADER,
                parsing.DESK_HEADER,
                parsing.KEY_HEADER,
                parsing.CONTENT_TYPE_HEADER,
                parsing.TRACE_HEADER,
                "authorization",
            ]
        ),
        HEADER_VALUES | strategies.integers().map(str),
    )
)
def test_any_headers_parse_or_raise_a_problem(headers: dict[str, str]) -> None:
    assert (
        tokens.find_account(
            headers.get("authorization", ""),
            configuration.Configuration().add_account("a", token_hash="0" * 64),
        )
        is None
    )
    try:
        metadata = parsing.parse_metadata(headers, ACCOUNT, SERVICE)
        parsing.parse_key(headers, "a", SERVICE, b"")
    except problems.ProblemError as problem:
        assert problem.problem.status == 400
        msgspec.json.decode(problem.encode())
        return
    assert 0 < metadata.deadline_ms <= parsing.MAX_DEADLINE_MS
    for text in (metadata.desk, metadata.content_type, metadata.traceparent):
        text.encode()
        assert text.isprintable()


@FUZZ_SETTINGS
@hypothesis.given(HEADER_VALUES | strategies.text())
def test_any_query_value_parses_or_raises_a_problem(text: str) -> None:
    with contextlib.suppress(problems.ProblemError):
        assert 0 <= parsing.parse_number(text, "version") <= parsing.MAX_QUERY_NUMBER
    with contextlib.suppress(problems.ProblemError):
        assert parsing.parse_name(text, "change_id").encode()


@FUZZ_SETTINGS
@hypothesis.given(INI_TEXTS | strategies.text(max_size=80))
def test_random_settings_raise_faults_that_name_the_file(text: str) -> None:
    parser = inifiles.build_parser()
    try:
        parser.read_string(text)
    except configparser.Error:
        return
    with pytest.raises(errors.SettingsError) as caught:
        settings.build_settings(parser, "role.ini")
    assert all(fault.startswith("role.ini: ") for fault in caught.value.faults)


@FUZZ_SETTINGS
@hypothesis.given(strategies.binary(max_size=80) | INI_TEXTS.map(str.encode))
def test_random_files_raise_settings_errors(tmp_path_factory, content: bytes) -> None:
    path = tmp_path_factory.getbasetemp() / "fuzzed.ini"
    path.write_bytes(content)
    with pytest.raises(errors.SettingsError):
        settings.load_settings(path)


@FUZZ_SETTINGS
@hypothesis.given(INI_TEXTS | strategies.text(max_size=80))
def test_any_text_parses_as_a_configuration_or_raises_faults(text: str) -> None:
    try:
        found = configuration.parse_text(text)
    except configuration.ConfigurationError as error:
        assert error.faults
        return
    assert configuration.parse_text(str(found)) == found


@FUZZ_SETTINGS
@hypothesis.given(NAMES, NAMES, strategies.integers(), strategies.floats())
def test_built_configuration_survives_a_round_trip(
    name: str, home: str, number: int, ratio: float
) -> None:
    built = configuration.Configuration().add_domain("fixed")
    additions = [
        lambda: built.add_service(name, deadline_ms=number, retry_ratio=ratio),
        lambda: built.add_desk(name, home=home),
        lambda: built.add_team(name, weight=number),
        lambda: built.add_domain(name, state=home),
    ]
    for add in additions:
        with contextlib.suppress(configuration.ConfigurationError):
            add()
    assert configuration.parse_text(str(built)) == built


FRAME = codec.encode_frame(
    codec.Frame(
        "gateway-1",
        5,
        "127.0.0.1:7000",
        [
            messages.TaskResult("s", 1, "done", body=b"x" * 40),
            messages.ReportResults(3, 1, [messages.TaskResult("s", 1, "done")], 9),
            messages.LeaseDenied(7, "no_quorum"),
        ],
        1,
        2,
    )
)
CHANGES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, len(FRAME) - 1), strategies.integers(0, 255)
    ),
    min_size=1,
    max_size=6,
)


def check_frame(data: bytes) -> None:
    try:
        frame = codec.decode_frame(data)
    except errors.SchemaError:
        return
    assert all(type(item).__name__ in vars(messages) for item in frame.messages)


@FUZZ_SETTINGS
@hypothesis.given(CHANGES, strategies.integers(0, len(FRAME)))
def test_corrupted_or_truncated_frames_decode_or_are_rejected(
    changes, length: int
) -> None:
    data = bytearray(FRAME)
    for offset, value in changes:
        data[offset] = value
    check_frame(bytes(data))
    check_frame(bytes(data[:length]))
    check_frame(FRAME[:length])


@FUZZ_SETTINGS
@hypothesis.given(strategies.binary(max_size=60))
def test_random_bytes_decode_or_are_rejected(data: bytes) -> None:
    check_frame(data)
    check_frame(b"\x97" + data)
    check_frame(b"\x91" * 5000 + data)


REQUEST = (
    b"POST /v1/services/lookup/requests HTTP/1.1\r\nHost: a\r\n"
    b"Authorization: Bearer wrong-token\r\nContent-Type: application/json\r\n"
    b"Content-Length: 20\r\nAmaranthspar-Deadline-Ms: 10\r\n\r\n"
    b'{"echo": "12345678"}'
)


def count_tasks(served: builders_shell.ServedDemo) -> int:
    status = builders_shell.call(f"{served.urls[0]}/v1/status").decode()
    return sum(status["running"].values()) + status["queued"]


@FEW_EXAMPLES
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, len(REQUEST) - 1), strategies.integers(0, 255)
        ),
        min_size=1,
        max_size=8,
    ),
    strategies.integers(1, len(REQUEST)),
)
def test_corrupted_requests_leave_the_gateway_healthy(
    served, changes, length: int
) -> None:
    data = bytearray(REQUEST)
    for offset, value in changes:
        data[offset] = value
    with socket.create_connection(("127.0.0.1", served.port), timeout=30) as connection:
        connection.sendall(bytes(data[:length]))
        connection.shutdown(socket.SHUT_WR)
        received = b""
        with contextlib.suppress(ConnectionResetError):
            while part := connection.recv(65536):
                received += part
    if received and not received.startswith(b"HTTP/1.1 100"):
        assert b"amaranthspar-outcome: " in received.lower()
    assert builders_shell.call(f"{served.urls[0]}/healthz").status == 200
    assert count_tasks(served) == 0
