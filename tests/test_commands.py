"""Tests of the operators' commands, run as processes against a running demo."""

import json
import pathlib
import time

import pytest

from amaranthspar import configuration
from tests import builders_shell

JOB = json.dumps({"tasks": [{"payload": {"echo": number}} for number in range(3)]})


def read_version(served: builders_shell.ServedDemo) -> int:
    return json.loads(served.run("config", "show", "--json").stdout)["version"]


def test_change_is_accepted_once_and_only_on_the_current_version(served) -> None:
    shown = served.run("config", "show").stdout
    version = read_version(served)
    assert shown.startswith(f"; version {version}\n")
    words = ("config", "submit", "-", "--base-version", str(version))
    changed = configuration.parse_text(shown).add_team("submitted", weight=3)
    accepted = served.run(*words, "--change-id", "one", text=str(changed))
    assert (accepted.returncode, accepted.stderr) == (0, "")
    assert accepted.stdout == f"accepted as version {version + 1}\n"
    repeated = served.run(*words, "--change-id", "one", text=str(changed))
    assert (repeated.returncode, repeated.stdout) == (0, accepted.stdout)
    outdated = served.run(*words, "--change-id", "two", text=str(changed))
    assert outdated.returncode == 1
    assert f"version {version + 1} is in force" in outdated.stderr
    history = json.loads(served.run("config", "history", "--json").stdout)
    assert history[-1]["change_id"] == "one"
    assert "one" in served.run("config", "history").stdout
    older = served.run("config", "show", "--version", str(version))
    assert older.stdout == shown
    assert served.run("config", "show", "--version", "9999").returncode == 1


def test_invalid_configuration_reports_all_faults_and_is_not_applied(
    served, tmp_path: pathlib.Path
) -> None:
    path = tmp_path / "bad.ini"
    path.write_text("[service a]\nidempotent = maybe\n[shop b]\n[domain c]\nx = 1\n")
    version = read_version(served)
    result = served.run("config", "submit", str(path), "--base-version", "1")
    assert result.returncode == 2
    lines = result.stderr.splitlines()
    assert len(lines) == 3
    assert all(line.startswith(f"{path}: [") for line in lines)
    assert "[service a] idempotent" in lines[0]
    assert read_version(served) == version


def test_domain_is_taken_out_of_service_and_back_in(served) -> None:
    version = read_version(served)
    assert served.run("domain", "out", "pecs").returncode == 0
    assert served.run("domain", "out", "pecs").returncode == 0
    served.wait_version(served.urls[0], version + 1)
    status = json.loads(served.run("status", "--json").stdout)
    assert status["domains"]["pecs"] == "out"
    assert served.run("domain", "in", "pecs").returncode == 0
    assert read_version(served) == version + 2
    unknown = served.run("domain", "out", "nowhere")
    assert unknown.returncode == 2
    assert "gyor, pecs, veszprem" in unknown.stderr


def test_status_lists_domains_members_and_load(served) -> None:
    result = served.run("status")
    assert result.returncode == 0
    for name in ("gyor", "sidecar-9", "gateway-2", "running"):
        assert name in result.stdout


def test_replicas_are_listed_and_invalid_replacements_rejected(served) -> None:
    shown = json.loads(served.run("replica", "show", "--json").stdout)
    voters = [item["id"] for item in shown["replicas"] if item["voter"]]
    assert sorted(voters) == ["c1", "c2", "c3"]
    assert "leader" in served.run("replica", "show").stdout
    words = ("replica", "replace", "--remove")
    assert served.run(*words, "nobody").returncode == 1
    assert served.run("replica", "replace").returncode == 2
    bad = served.run(*words, "c1", "--add", "c4", "--address", "here")
    assert bad.returncode == 2
    assert "address" in bad.stderr


def test_job_is_submitted_shown_and_cancelled(served) -> None:
    completed = served.run("job", "submit", "recalculate", "-", text=JOB)
    assert completed.returncode == 0
    answers = json.loads(completed.stdout)["answers"]
    assert [item["echo"] for item in answers] == [0, 1, 2]
    slow = json.dumps({"tasks": [{"payload": {"sleep_ms": 20_000}}]})
    words = ("job", "submit", "recalculate", "-", "--async")
    accepted = served.run(*words, text=slow)
    job = json.loads(accepted.stdout)["job"]
    assert json.loads(served.run("job", "show", job).stdout)["state"] == "running"
    assert served.run("job", "cancel", job).returncode == 0
    assert served.run("job", "show", job).returncode in (1, 3)


def test_exit_code_distinguishes_bad_input_from_refusal(served) -> None:
    never = json.dumps({"tasks": [{"payload": {}, "accelerators": 99}]})
    refused = served.run("job", "submit", "recalculate", "-", text=never)
    assert refused.returncode == 1
    malformed = served.run("job", "submit", "recalculate", "-", text="{")
    assert malformed.returncode == 2
    unknown = served.run("job", "submit", "nothing", "-", text=JOB)
    assert unknown.returncode == 2
    failed = json.dumps({"tasks": [{"payload": {"fail": True}}]})
    assert served.run("job", "submit", "recalculate", "-", text=failed).returncode == 1


def test_explanation_shows_where_a_job_would_go_and_runs_nothing(served) -> None:
    job = json.dumps({"tasks": [{"payload": {"sleep_ms": 20_000}}] * 5})
    words = ("explain", "job", "--service", "recalculate", "--account", "field")
    shown = served.run(*words, "--json", text=job)
    assert (shown.returncode, shown.stderr) == (0, "")
    explanation = json.loads(shown.stdout)
    assert (explanation["admitted"], explanation["tasks"]) == (True, 5)
    assert explanation["team"] == "field"
    assert explanation["sent"] + explanation["waiting"] == 5
    assert len(explanation["sidecars"]) == explanation["known"] == 9
    assert sum(item["tasks"] for item in explanation["sidecars"]) == explanation["sent"]
    table = served.run(*words, "-", text=job)
    assert table.returncode == 0
    for text in ("job of 5 tasks to recalculate", "admitted", "sidecar-1", "gyor"):
        assert text in table.stdout
    for url in served.urls:
        status = builders_shell.call(f"{url}/v1/status").decode()
        # The task of a job that another test cancelled may not have ended yet.
        assert status["queued"] + sum(status["running"].values()) < 5


def test_explanation_of_a_request_needs_no_file(served, tmp_path) -> None:
    words = ("explain", "request", "--service", "lookup", "--desk", "counter-1")
    shown = served.run(*words, "--deadline-ms", "500", "--json")
    assert shown.returncode == 0
    explanation = json.loads(shown.stdout)
    assert (explanation["desk"], explanation["deadline_ms"]) == ("counter-1", 500)
    assert not explanation["is_job"]
    path = tmp_path / "body"
    path.write_bytes(b"secret" * 10)
    shown = served.run(*words, str(path))
    assert shown.returncode == 0
    assert "secret" not in shown.stdout


def test_exit_code_of_an_explanation_tells_the_decision(served) -> None:
    words = ("explain", "job", "--service")
    never = json.dumps({"tasks": [{"payload": {}, "accelerators": 99}]})
    refused = served.run(*words, "recalculate", text=never)
    assert refused.returncode == 1
    assert "refused (can-never-run)" in refused.stdout
    assert "has only 0 accelerators" in refused.stdout
    malformed = served.run(*words, "recalculate", text="{")
    assert malformed.returncode == 2
    assert "Malformed body" in malformed.stderr
    unknown = served.run(*words, "nothing", text=JOB)
    assert unknown.returncode == 2
    assert "no service 'nothing'" in unknown.stderr
    missing = served.run(*words, "recalculate", "--account", "nobody", text=JOB)
    assert missing.returncode == 2
    assert "no account 'nobody'" in missing.stderr
    assert served.run(*words, "recalculate", "missing.json").returncode == 2
    assert served.run("explain", "job", text=JOB).returncode == 2
    unreachable = f"http://127.0.0.1:{builders_shell.find_port_pair()}"
    access = ("--gateway", unreachable, "--token", "x", "--timeout-ms", "300")
    lost = builders_shell.run_program(*words, "recalculate", *access, text=JOB)
    assert lost.returncode == 3


def test_access_is_read_from_arguments_or_file(served, tmp_path) -> None:
    url, token = served.urls[0], builders_shell.TOKEN
    given = builders_shell.run_program(
        "status", "--gateway", url, "--token", token, "--json"
    )
    assert given.returncode == 0
    before = builders_shell.run_program(
        "--gateway", url, "--token", token, "status", "--json"
    )
    assert before.returncode == 0
    path = tmp_path / "access.ini"
    path.write_text(f"[access]\ngateways = {url}\ntoken = {token}\n")
    stored = builders_shell.run_program("status", "--json", "--access", str(path))
    assert stored.returncode == 0
    wrong = builders_shell.run_program("status", "--gateway", url, "--token", "wrong")
    assert wrong.returncode == 1
    missing = builders_shell.run_program("status")
    assert missing.returncode == 2
    assert len(missing.stderr.splitlines()) == 2
    path.write_text("[access]\ngate = 1\n")
    assert (
        "[access] gate"
        in builders_shell.run_program("status", "--access", str(path)).stderr
    )


def test_next_gateway_is_tried_and_missing_answer_exits_with_three(served) -> None:
    unreachable = f"http://127.0.0.1:{builders_shell.find_port_pair()}"
    token = ("--token", builders_shell.TOKEN)
    words = ("config", "show", "--gateway", unreachable)
    answered = builders_shell.run_program(*words, "--gateway", served.urls[1], *token)
    assert answered.returncode == 0
    unanswered = builders_shell.run_program(*words, *token, "--timeout-ms", "300")
    assert unanswered.returncode == 3


def test_operator_finds_the_gateways_of_its_changed_access_file(served, tmp_path):
    path = tmp_path / "access.ini"
    text = "[access]\ngateways = {}\ntoken = {}\n"
    unreachable = f"http://127.0.0.1:{builders_shell.find_port_pair()}"
    path.write_text(text.format(unreachable, builders_shell.TOKEN))
    process = builders_shell.start_program("status", "--json", "--access", str(path))
    time.sleep(1.5)
    path.write_text("[access]\n")
    time.sleep(0.5)
    path.write_text(text.format(served.urls[0], builders_shell.TOKEN))
    assert process.wait(builders_shell.RESPONSE_TIMEOUT_S) == 0


@pytest.mark.parametrize(
    "words",
    [
        (),
        ("config",),
        ("config", "submit", "office.ini"),
        ("config", "submit", "missing.ini", "--base-version", "1"),
        ("config", "submit", "-", "--base-version", "x"),
        ("domain", "sideways", "gyor"),
        ("gateway",),
        ("demo", "--port", "x"),
    ],
)
def test_invalid_command_line_exits_with_two(words: tuple[str, ...]) -> None:
    assert builders_shell.run_program(*words).returncode == 2


def test_help_shows_examples_and_exit_codes() -> None:
    for words in (
        ("config", "submit"),
        ("domain", "out"),
        ("job", "submit"),
        ("explain", "job"),
        ("explain", "request"),
    ):
        text = builders_shell.run_program(*words, "--help").stdout
        assert "examples:" in text
        assert "exit codes:" in text
    assert builders_shell.run_program("--version").stdout == "amaranthspar 0.1.0\n"
