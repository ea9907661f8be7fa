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
    for words in (("config", "submit"), ("domain", "out"), ("job", "submit")):
        text = builders_shell.run_program(*words, "--help").stdout
        assert "examples:" in text
        assert "exit codes:" in text
    assert builders_shell.run_program("--version").stdout == "amaranthspar 0.1.0\n"
