"""Tests of settings files, of the faults found in them and of the examples."""

import importlib.util
import pathlib
import socket

import pytest

from amaranthspar import configuration, errors
from amaranthspar.roles import settings
from tests import builders_shell

EXAMPLES = builders_shell.ROOT / "examples"
PROCESS = """\
[process]
name = p
listen = 127.0.0.1:7000
controllers = 127.0.0.1:7001, [::1]:7002
failure_domain = gyor
"""
GATEWAY = PROCESS + "[gateway]\nhttp = 127.0.0.1:8000\n"
SIDECAR = PROCESS + (
    "[sidecar]\nupstream = 127.0.0.1:9000\nworker = w\nrack = r\nservices = a, b\n"
)
CONTROLLER = PROCESS + "[controller]\nreplica = a\nreplicas = a=127.0.0.1:7001\n"


def list_faults(path: pathlib.Path, text: str | bytes) -> list[str]:
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    with pytest.raises(errors.SettingsError) as caught:
        settings.load_settings(path)
    return caught.value.faults


@pytest.mark.parametrize(
    ("text", "place", "expected"),
    [
        (GATEWAY + "[shop]\n", "[shop]", "unknown section"),
        ("[DEFAULT]\na = 1\n" + GATEWAY, "[DEFAULT]", "unknown section"),
        (GATEWAY + "colour = 1\n", "[gateway] colour", "http"),
        (GATEWAY + "drain_ms = soon\n", "[gateway] drain_ms = soon", "a whole number"),
        (GATEWAY + "drain_ms = -1\n", "[gateway] drain_ms = -1", "from 0"),
        (GATEWAY + "drain_ms = 1.5\n", "[gateway] drain_ms = 1.5", "a whole number"),
        (GATEWAY + "max_body_bytes = 0\n", "[gateway] max_body_bytes = 0", "from 1"),
        (GATEWAY + "operator_token_hash = x\n", "[gateway] operator", "64 hex digits"),
        (GATEWAY.replace(":8000", ""), "[gateway] http = 127.0.0.1", "IP address"),
        (GATEWAY.replace("8000", "80000"), "[gateway] http", "IP address and port"),
        (GATEWAY.replace("[::1]:7002", "local:1"), "[process] controllers", "IP"),
        (GATEWAY.replace("name = p", "name = a b"), "[process] name", "letters"),
        (GATEWAY.replace("name = p\n", ""), "[process] name", "missing"),
        (GATEWAY.removeprefix(PROCESS), "[process]", "missing section"),
        (PROCESS, "[gateway]", "exactly one of"),
        (PROCESS + "trace_ratio = 1.5\n[gateway]\nhttp = 127.0.0.1:1\n", "ratio", "1"),
        (PROCESS + "trace_ratio = nan\n[gateway]\nhttp = 127.0.0.1:1\n", "ratio", "1"),
        (PROCESS + "statsd = here\n[gateway]\nhttp = 127.0.0.1:1\n", "statsd", "IP"),
        (
            PROCESS + "trace_endpoint = x\n[gateway]\nhttp = 127.0.0.1:1\n",
            "[process] trace_endpoint",
            "a URL",
        ),
        (GATEWAY + SIDECAR.removeprefix(PROCESS), "[sidecar]", "exactly one of"),
        (SIDECAR + "slots = 0\n", "[sidecar] slots = 0", "at least 1"),
        (SIDECAR + "slots = 1" + "0" * 30, "[sidecar] slots", "a whole number"),
        (SIDECAR.replace("a, b", ","), "[sidecar] services", "at least one"),
        (
            GATEWAY + "[links]\ncertificate = gone.pem\nauthority = gone.pem\n",
            "[links] certificate = gone.pem",
            "a file that can be read",
        ),
        (GATEWAY + "[links]\nheartbeat_ms = 0\n", "[links] heartbeat_ms", "from 10"),
        (CONTROLLER, "[controller] data", "missing"),
        (
            CONTROLLER.replace("a=127", "127") + "data = d\n",
            "[controller] replicas",
            "id=address",
        ),
        (CONTROLLER + "data = d\nbootstrap = gone.ini\n", "bootstrap", "a file"),
        ("nonsense", "", "section"),
        (b"[process]\nname = \xff\n", "", "utf-8"),
        (GATEWAY + "http = 127.0.0.1:8001\n", "http", "already exists"),
    ],
)
def test_fault_states_file_location_and_expected_value(
    tmp_path: pathlib.Path, text: str, place: str, expected: str
) -> None:
    path = tmp_path / "role.ini"
    faults = list_faults(path, text)
    assert all(fault.startswith(f"{path}: ") for fault in faults)
    assert all("\n" not in fault for fault in faults)
    assert any(place in fault and expected in fault for fault in faults), faults


def test_all_faults_are_listed_with_exit_code_2(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "role.ini"
    path.write_text(GATEWAY + "colour = 1\ndrain_ms = soon\n[shop]\n")
    for words in (("settings", "check"), ("gateway", "--settings")):
        result = builders_shell.run_program(*words, str(path))
        assert result.returncode == 2
        assert len(result.stderr.splitlines()) == 3
    path.write_text(GATEWAY)
    good = builders_shell.run_program("settings", "check", str(path))
    assert (good.returncode, good.stderr) == (0, "")
    other = builders_shell.run_program("sidecar", "--settings", str(path))
    assert other.returncode == 2


def test_port_in_use_is_reported_in_one_line_with_exit_code_2(
    tmp_path: pathlib.Path,
) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        used = f"127.0.0.1:{taken.getsockname()[1]}"
        free = f"127.0.0.1:{builders_shell.find_port_pair()}"
        path = tmp_path / "role.ini"
        link = GATEWAY.replace("127.0.0.1:7000", used)
        http = GATEWAY.replace("127.0.0.1:7000", free)
        texts = {
            "[process] listen": link,
            "[gateway] http": http.replace("127.0.0.1:8000", used),
        }
        for place, text in texts.items():
            path.write_text(text)
            result = builders_shell.run_program("gateway", "--settings", str(path))
            assert result.returncode == 2
            lines = [line for line in result.stderr.splitlines() if "{" not in line]
            assert len(lines) == 1
            assert lines[0].startswith(f"{path}: {place} = {used}: ")


def test_demo_reports_invalid_port_or_token_in_one_line() -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = str(taken.getsockname()[1])
        cases = {
            ("--port", port, "--token", "t"): "already in use",
            ("--port", str(int(port) - 1), "--token", "t"): "already in use",
            ("--port", "65535", "--token", "t"): "expected 1 to 65534",
            ("--port", "0", "--token", "t"): "expected 1 to 65534",
            ("--port", str(builders_shell.find_port_pair()), "--token", ""): "--token",
        }
        for words, reason in cases.items():
            result = builders_shell.run_program("demo", "--serve", *words)
            assert result.returncode == 2
            assert len(result.stderr.splitlines()) == 1
            assert reason in result.stderr


@pytest.mark.parametrize("firm", ["kerekes", "wijesekera"])
def test_examples_are_valid(firm: str, monkeypatch: pytest.MonkeyPatch) -> None:
    folder = EXAMPLES / firm
    monkeypatch.chdir(folder)
    roles = [settings.load_settings(path).role for path in list_settings_files(folder)]
    assert sorted(roles) == ["controller"] * 3 + ["gateway"] * 2 + ["sidecar"] * 10
    sidecars = [
        loaded.sidecar
        for path in list_settings_files(folder)
        if (loaded := settings.load_settings(path)).sidecar is not None
    ]
    assert {(item.slots, item.connections) for item in sidecars} == {(8, 64)}
    path = folder / "build_configuration.py"
    spec = importlib.util.spec_from_file_location(f"{firm}_configuration", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    built = module.build()
    text = (folder / "configuration.ini").read_text()
    assert configuration.parse_text(text) == built
    assert str(built) == text
    served = {service for item in sidecars for service in item.services}
    assert served == set(built.services)


def list_settings_files(folder: pathlib.Path) -> list[pathlib.Path]:
    return sorted(set(folder.glob("*.ini")) - {folder / "configuration.ini"})


@pytest.mark.parametrize(
    ("kind", "name", "values"),
    [
        ("service", "a", {"deadline_ms": 0}),
        ("service", "a", {"idempotent": "yes"}),
        ("service", "a", {"objective": "speed"}),
        ("service", "a", {"retry_ratio": float("nan")}),
        ("service", "a/b", {}),
        ("domain", "a", {"state": "away"}),
        ("domain", "a]b", {}),
        ("domain", "", {}),
        ("desk", "a\nb", {}),
        ("team", "a", {"weight": 10**30}),
        ("account", "a", {"token_hash": "x"}),
    ],
)
def test_builders_reject_values_that_the_schema_forbids(kind, name, values) -> None:
    built = configuration.Configuration()
    with pytest.raises(configuration.ConfigurationError):
        getattr(built, f"add_{kind}")(name, **values)
    assert built == configuration.Configuration()
