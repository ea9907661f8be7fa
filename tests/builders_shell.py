"""Builders of the served demonstration and of calls to it."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOKEN = "served-token"
START_S = 30
ANSWER_S = 60


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
    """Return a port that is free together with the next one."""
    while True:
        with socket.socket() as first, socket.socket() as second:
            first.bind(("127.0.0.1", 0))
            port = first.getsockname()[1]
            try:
                second.bind(("127.0.0.1", port + 1))
            except (OSError, OverflowError):
                continue
            return port


def build_environment(**changes: str) -> dict[str, str]:
    kept = {
        key: value
        for key, value in os.environ.items()
        if not key.startswith("AMARANTHSPAR")
    }
    return {**kept, "PYTHONPATH": str(ROOT), **changes}


def start_program(*words: str, **options) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "amaranthspar", *words],
        env=build_environment(),
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        **options,
    )


def run_program(
    *words: str, text: str | None = None, **environment: str
) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "amaranthspar", *words],
        env=build_environment(**environment),
        input=text,
        text=True,
        capture_output=True,
        timeout=ANSWER_S,
        check=False,
    )


def call(
    url: str,
    method: str = "GET",
    body: bytes | None = None,
    token: str | None = TOKEN,
    **headers: str,
) -> Answer:
    """Send one HTTP request; header names are given with underscores."""
    named = {key.replace("_", "-"): value for key, value in headers.items()}
    if token is not None:
        named["Authorization"] = f"Bearer {token}"
    request = urllib.request.Request(url, body, named, method=method)
    try:
        with urllib.request.urlopen(request, timeout=ANSWER_S) as response:
            found = {key.lower(): value for key, value in response.headers.items()}
            return Answer(response.status, found, response.read())
    except urllib.error.HTTPError as error:
        found = {key.lower(): value for key, value in error.headers.items()}
        return Answer(error.code, found, error.read())


class Served:
    """Process of ``demo --serve``."""

    def __init__(self) -> None:
        self.port = find_port_pair()
        self.urls = [f"http://127.0.0.1:{self.port + number}" for number in (0, 1)]
        self.process = start_program(
            "demo", "--serve", "--port", str(self.port), "--token", TOKEN
        )

    def wait_ready(self) -> None:
        until = time.monotonic() + START_S
        while time.monotonic() < until:
            assert self.process.poll() is None, self.process.communicate()
            try:
                if all(call(f"{url}/readyz").status == 200 for url in self.urls):
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise AssertionError("not ready in time")

    def wait_version(self, url: str, version: int) -> None:
        """Wait until a gateway has a configuration version in force."""
        while call(f"{url}/v1/status").decode()["configuration_version"] < version:
            time.sleep(0.05)

    def run(self, *words: str, text: str | None = None):
        """Run an operator's command against both gateways."""
        access = {
            "AMARANTHSPAR_GATEWAY": ", ".join(self.urls),
            "AMARANTHSPAR_TOKEN": TOKEN,
        }
        return run_program(*words, text=text, **access)

    def stop(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        self.process.communicate(timeout=START_S)
        return self.process.returncode
