"""Tests of the HTTP interface of gateways in a served demo."""

import json
import socket

import pytest

from amaranthspar import configuration
from amaranthspar.web import tokens
from tests import builders_shell

PROBLEM_FIELDS = {"type", "title", "status", "detail", "outcome"}
LOOKUP = "/v1/services/lookup/requests"
HOLD = "/v1/services/hold/requests"
JOBS = "/v1/services/recalculate/jobs"
ONE_TASK_JOB = b'{"tasks": [{"payload": {}}]}'


def check_problem(answer: builders_shell.Answer, status: int, kind: str) -> None:
    problem = answer.decode()
    assert (answer.status, problem["type"]) == (status, f"urn:amaranthspar:{kind}")
    assert answer.headers["content-type"] == "application/problem+json"
    assert problem.keys() >= PROBLEM_FIELDS
    assert problem["status"] == status
    assert answer.outcome == problem["outcome"]
    assert ("retry-after" in answer.headers) == (status in (429, 503))
    assert ("www-authenticate" in answer.headers) == (status == 401)


def wait_for_job(served: builders_shell.ServedDemo, url: str) -> dict:
    """Return the answers of a job once all its tasks are done."""
    while True:
        answer = builders_shell.call(url).decode()
        log = builders_shell.read_output(served.process)
        assert "state" in answer, (url, answer, log[-4000:])
        if answer["state"] == "complete":
            return answer
        assert answer["state"] == "running", answer


def send_raw(port: int, data: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=20) as connection:
        connection.sendall(data)
        received = b""
        while b"\r\n\r\n" not in received:
            part = connection.recv(65536)
            assert part, received
            received += part
    return received


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "kind"),
    [
        (LOOKUP, b"{}", {"Amaranthspar-Deadline-Ms": "0"}, 400, "deadline-passed"),
        (LOOKUP, b"{}", {"Amaranthspar-Deadline-Ms": "-7"}, 400, "deadline-passed"),
        (LOOKUP, b"{}", {"Amaranthspar-Deadline-Ms": "soon"}, 400, "malformed-header"),
        (LOOKUP, b"{}", {"Amaranthspar-Deadline-Ms": ""}, 400, "malformed-header"),
        (LOOKUP, b"{}", {"Amaranthspar-Deadline-Ms": "1e3"}, 400, "malformed-header"),
        (LOOKUP, b"{}", {"Idempotency-Key": "k" * 300}, 400, "malformed-header"),
        (LOOKUP, b"{}", {"Amaranthspar-Desk": "\xff\xfe"}, 400, "malformed-header"),
        (LOOKUP, b"{}", {"Amaranthspar-Desk": "a\x01b"}, 400, "malformed-header"),
        (LOOKUP, b"{}", {"X-Long": "x" * 9000}, 431, "headers-too-large"),
        (LOOKUP, b"{}", {"Expect": "miracles"}, 417, "expectation-failed"),
        (LOOKUP, b"x" * 2_000_000, {}, 413, "body-too-large"),
        (LOOKUP, b"x" * 9_000_000, {}, 413, "body-too-large"),
        (HOLD, b"{}", {}, 400, "key-required"),
        ("/v1/services/none/requests", b"{}", {}, 404, "unknown-service"),
        ("/v1/services/f%C3%A1k/requests", b"{}", {}, 404, "unknown-service"),
        ("/v1/services/%ff%fe/requests", b"{}", {}, 404, "unknown-service"),
        ("/v1/nothing", b"{}", {}, 404, "unknown-path"),
        ("/healthz", b"{}", {}, 405, "unknown-method"),
        (JOBS, b"", {}, 400, "malformed-body"),
        (f"{JOBS}/explanation", b"{", {}, 400, "malformed-body"),
        (f"{JOBS}/explanation", b'{"tasks": []}', {}, 400, "malformed-body"),
        (f"{LOOKUP}/explanation", b"x" * 2_000_000, {}, 413, "body-too-large"),
        (f"{JOBS}/explanation?account=a%00b", b"", {}, 400, "malformed-query"),
        (f"{LOOKUP}/explanation?account=x", b"", {}, 404, "unknown-account"),
        ("/v1/services/none/jobs/explanation", b"{}", {}, 404, "unknown-service"),
        (
            f"{LOOKUP}/explanation",
            b"{}",
            {"Amaranthspar-Deadline-Ms": "soon"},
            400,
            "malformed-header",
        ),
        (JOBS, b"{", {}, 400, "malformed-body"),
        (JOBS, b"[]", {}, 400, "malformed-body"),
        (JOBS, b'{"tasks": []}', {}, 400, "malformed-body"),
        (JOBS, b'{"tasks": {}}', {}, 400, "malformed-body"),
        (JOBS, b'{"tasks": [{}]}', {}, 400, "malformed-body"),
        (JOBS, b'{"tasks": [{"payload": 1, "cores": "2"}]}', {}, 400, "malformed-body"),
        (JOBS, b'{"tasks": [{"payload": 1, "cores": -1}]}', {}, 400, "malformed-body"),
        (
            JOBS,
            b'{"tasks": [{"payload": 1, "memory_mb": 1%s}]}' % (b"0" * 30),
            {},
            400,
            "malformed-body",
        ),
        (JOBS, b'{"tasks": [{"payload": "\xff"}]}', {}, 400, "malformed-body"),
        (JOBS, b'{"tasks": ' + b"[" * 100_000, {}, 400, "malformed-body"),
        (JOBS, b'{"tasks": [%s]}' % b",".join([b"{}"] * 3), {}, 400, "malformed-body"),
    ],
)
def test_invalid_requests_are_rejected_and_not_run(
    served, path: str, body: bytes, headers, status: int, kind: str
) -> None:
    answer = builders_shell.call(served.urls[0] + path, "POST", body, **headers)
    check_problem(answer, status, kind)
    assert answer.outcome == "not-run"


def test_rejected_method_lists_the_allowed_methods(served) -> None:
    answer = builders_shell.call(served.urls[0] + "/healthz", "POST", b"{}")
    assert answer.headers["allow"] == "GET"


@pytest.mark.parametrize("token", [None, "", "wrong", "x" * 5000])
@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("POST", LOOKUP),
        ("POST", JOBS),
        ("POST", f"{LOOKUP}/explanation"),
        ("POST", f"{JOBS}/explanation"),
        ("GET", "/v1/jobs/a.1.1"),
        ("DELETE", "/v1/jobs/a.1.1"),
        ("GET", "/v1/configuration"),
        ("PUT", "/v1/configuration?base_version=1&change_id=a"),
        ("GET", "/v1/status"),
    ],
)
def test_callers_without_a_valid_token_are_rejected(
    served, method: str, path: str, token: str | None
) -> None:
    body = ONE_TASK_JOB if method in ("POST", "PUT") else None
    answer = builders_shell.call(served.urls[0] + path, method, body, token)
    check_problem(answer, 401, "unauthorized")
    assert answer.outcome == "not-run"


@pytest.mark.parametrize(
    ("query", "body"),
    [
        ("", b""),
        ("?base_version=abc&change_id=a", b""),
        ("?base_version=-1&change_id=a", b""),
        (f"?base_version={2**70}&change_id=a", b""),
        ("?base_version=1", b""),
        ("?base_version=1&change_id=a%00b", b""),
        ("?base_version=1&change_id=%ff", b""),
        (f"?base_version=1&change_id={'x' * 300}", b""),
        ("?base_version=1&change_id=a", b"\xff\xfe"),
    ],
)
def test_malformed_configuration_changes_are_rejected(
    served, query: str, body: bytes
) -> None:
    url = f"{served.urls[0]}/v1/configuration{query}"
    answer = builders_shell.call(url, "PUT", body)
    kind = "malformed-body" if body else "malformed-query"
    check_problem(answer, 400, kind)
    assert answer.outcome == "not-run"


def test_rejected_configuration_changes_return_problems(served) -> None:
    url = f"{served.urls[0]}/v1/configuration"
    late = builders_shell.call(f"{url}?base_version=0&change_id=late", "PUT", b"")
    check_problem(late, 409, "conflict")
    newest = builders_shell.call(url).decode()["version"]
    query = f"?base_version={newest}&change_id=bad"
    bad = builders_shell.call(url + query, "PUT", b"[shop a]\nx = 1\n")
    check_problem(bad, 422, "invalid-configuration")
    empty = builders_shell.call(url + query, "PUT", b"")
    check_problem(empty, 422, "invalid-configuration")
    assert "[shop a]" in bad.decode()["decision"]["errors"][0]


@pytest.mark.parametrize("version", ["abc", "-1", "1.5", "9" * 30, "%ff"])
def test_malformed_versions_are_rejected(served, version: str) -> None:
    url = f"{served.urls[0]}/v1/configuration?version={version}"
    check_problem(builders_shell.call(url), 400, "malformed-query")


def test_every_response_has_an_outcome(served) -> None:
    url = served.urls[0]
    assert builders_shell.call(f"{url}/healthz").outcome == "done"
    assert builders_shell.call(f"{url}/readyz").outcome == "done"
    assert builders_shell.call(f"{url}/v1/status").outcome == "done"
    long = {"Amaranthspar-Deadline-Ms": "9" * 200}
    assert builders_shell.call(url + LOOKUP, "POST", b"{}", **long).outcome == "done"
    missing = builders_shell.call(f"{url}/v1/jobs/nothing")
    check_problem(missing, 404, "unknown-job")
    for raw in (b"\xff\xfe\r\n\r\n", b"GET\r\n\r\n", b"GET /\xff HTTP/1.1\r\n\r\n"):
        received = send_raw(served.port, raw)
        assert b"amaranthspar-outcome: not-run" in received.lower()
        assert b"application/problem+json" in received.lower()


def test_explanations_are_for_operators_only(served) -> None:
    # Guards against callers who learn of the load and limits of others.
    url = served.urls[0]
    shown = builders_shell.call(f"{url}/v1/configuration").decode()
    changed = configuration.parse_text(shown["text"])
    changed.add_account("visitor", token_hash=tokens.hash_token("visitor"))
    words = ("config", "submit", "-", "--base-version", str(shown["version"]))
    assert served.run(*words, text=str(changed)).returncode == 0
    served.wait_version(url, shown["version"] + 1)
    for path, body in ((LOOKUP, b""), (JOBS, ONE_TASK_JOB)):
        path = f"{url}{path}/explanation"
        check_problem(
            builders_shell.call(path, "POST", body, "visitor"), 403, "forbidden"
        )
        answer = builders_shell.call(f"{path}?account=visitor", "POST", body)
        assert (answer.status, answer.outcome) == (200, "done")
        assert answer.decode()["account"] == "visitor"
        assert answer.decode()["team"] == ""


def test_other_accounts_cannot_see_or_cancel_a_job(served) -> None:
    url = served.urls[0]
    shown = builders_shell.call(f"{url}/v1/configuration").decode()
    digest = tokens.hash_token("plain")
    changed = configuration.parse_text(shown["text"])
    changed.add_account("plain", token_hash=digest)
    words = ("config", "submit", "-", "--base-version", str(shown["version"]))
    assert served.run(*words, text=str(changed)).returncode == 0
    body = b'{"tasks": [{"payload": {"sleep_ms": 3000, "echo": 5}}]}'
    prefer = {"Prefer": "respond-async"}
    accepted = builders_shell.call(url + JOBS, "POST", body, **prefer)
    assert (accepted.status, accepted.outcome) == (202, "unknown")
    job = accepted.headers["location"]
    for gateway in served.urls:
        served.wait_version(gateway, shown["version"] + 1)
        for method in ("GET", "DELETE"):
            other = builders_shell.call(gateway + job, method, token="plain")
            check_problem(other, 404, "unknown-job")
        for path in ("/v1/configuration", "/v1/status"):
            answer = builders_shell.call(gateway + path, token="plain")
            check_problem(answer, 403, "forbidden")
    own = wait_for_job(served, served.urls[1] + job)
    assert own["answers"][0]["echo"] == 5


def test_resent_job_is_found_under_both_ids(served) -> None:
    body = b'{"tasks": [{"payload": {"sleep_ms": 300, "echo": 6}}]}'
    headers = {"Prefer": "respond-async", "Idempotency-Key": "resent-job"}
    jobs = [
        builders_shell.call(url + JOBS, "POST", body, **headers).headers["location"]
        for url in served.urls
    ]
    for url, job in zip(served.urls, jobs, strict=True):
        answer = wait_for_job(served, url + job)
        assert json.dumps(answer["answers"]).count('"starts": 1') == 1
