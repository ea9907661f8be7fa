"""Helpers that run the program as a process and send HTTP requests to it."""

import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOKEN = "served-token"
START_TIMEOUT_S = 30
RESPONSE_TIMEOUT_S = 60
_output_paths: dict[int, pathlib.Path] = {}


@attrs.frozen
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        return self.headers.get("amaranthspar-outcome", "")

    def decode(self):
        return json.loads(self.body)


def find_port_pair() -> int:
    """Return a port that is free together with the next one.

    The ports are below the range that the system uses for outgoing connections.
    """
    randomness = random.SystemRandom()
    while True:
        port = randomness.randrange(20_000, 30_000)
        with socket.socket() as first, socket.socket() as second:
            try:
                first.bind(("127.0.0.1", port))
                second.bind(("127.0.0.1", port + 1))
            except OSError:
                continue
            return port


def build_environment(**changes: str) -> dict[str, str]:
    inherited = {
        key: value
        for key, value in os.environ.items()
        if not key.startswith("AMARANTHSPAR")
    }
    return {**inherited, "PYTHONPATH": str(ROOT), **changes}


def start_program(
    *words: str,
    program: tuple[str, ...] = ("-m", "amaranthspar"),
    **environment: str,
) -> subprocess.Popen[bytes]:
    """Start a process whose output goes to a file, so that no pipe fills up."""
    output, path = tempfile.mkstemp()
    process = subprocess.Popen(
        [sys.executable, *program, *words],
        env=build_environment(**environment),
        stdout=output,
        stderr=subprocess.STDOUT,
    )
    os.close(output)
    _output_paths[process.pid] = pathlib.Path(path)
    return process


def read_output(process: subprocess.Popen[bytes]) -> str:
    """Return the output that a process has written so far."""
    return _output_paths[process.pid].read_text()


def wait_until(condition, process: subprocess.Popen[bytes] | None = None) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "condition not met in time"
        if process is not None:
            assert process.poll() is None, read_output(process)
        time.sleep(0.05)


def is_ready(url: str) -> bool:
    try:
        return call(f"{url}/readyz").status == 200
    except OSError:
        return False


def run_program(
    *words: str, text: str | None = None, **environment: str
) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "amaranthspar", *words],
        env=build_environment(**environment),
        input=text,
        text=True,
        capture_output=True,
        timeout=RESPONSE_TIMEOUT_S,
        check=False,
    )


def call(
    url: str,
    method: str = "GET",
    body: bytes | None = None,
    token: str | None = TOKEN,
    **headers: str,
) -> Answer:
    """Send one HTTP request; underscores in header names stand for hyphens."""
    sent = {key.replace("_", "-"): value for key, value in headers.items()}
    if token is not None:
        sent["Authorization"] = f"Bearer {token}"
    request = urllib.request.Request(url, body, sent, method=method)
    try:
        with urllib.request.urlopen(request, timeout=RESPONSE_TIMEOUT_S) as response:
            received = {key.lower(): value for key, value in response.headers.items()}
            return Answer(response.status, received, response.read())
    except urllib.error.HTTPError as error:
        received = {key.lower(): value for key, value in error.headers.items()}
        return Answer(error.code, received, error.read())


class ServedDemo:
    """Process that runs ``demo --serve``."""

    def __init__(self, **options) -> None:
        self.port = find_port_pair()
        self.urls = [f"http://127.0.0.1:{self.port + number}" for number in (0, 1)]
        self.process = start_program(
            "demo", "--serve", "--port", str(self.port), "--token", TOKEN, **options
        )

    def wait_ready(self) -> None:
        wait_until(lambda: all(map(is_ready, self.urls)), self.process)

    def wait_version(self, url: str, version: int) -> None:
        """Wait until a gateway uses a configuration version or a newer one."""
        while call(f"{url}/v1/status").decode()["configuration_version"] < version:
            time.sleep(0.05)

    def run(self, *words: str, text: str | None = None):
        """Run an operator's command with access to both gateways."""
        access = {
            "AMARANTHSPAR_GATEWAY": ", ".join(self.urls),
            "AMARANTHSPAR_TOKEN": TOKEN,
        }
        return run_program(*words, text=text, **access)

    def stop(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(timeout=START_TIMEOUT_S)
