"""Stand-ins of clients and of the operator."""

import asyncio
import json
import secrets

import aiohttp
import recording

HOST = "desk.example"
PREFIX = "/jobs/"
OPERATOR_TIMEOUT_S = 1.0
JOB_ID_BYTES = 8


def build_configuration(service: str, version: int = 1) -> dict:
    """Return a complete configuration with one queue."""
    return {
        "Version": version,
        "Routes": [
            {
                "Name": "r-1",
                "Host": HOST,
                "PathPrefix": PREFIX,
                "Kind": "unsafe",
                "TimeoutMs": 1500,
                "TargetLatencyMs": 60,
                "Priority": 0,
                "Service": service,
                "MaxAttempts": 3,
                "Stretch": 1.6,
            }
        ],
        "Services": [
            {
                "Name": service,
                "HealthPath": "/health",
                "MaxConnections": 64,
                "Protocol": "h1",
                "Tls": False,
                "ColdStartS": 0.0,
                "ColdPerS": 0.0,
                "RejectsOverload": True,
                "Spare": False,
            }
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


def build_job(steps: list[dict], work_ms: int, cpu: int) -> dict:
    """Return a job whose tasks all work for the same time."""
    filled = [{"Cpu": cpu, "MemMb": 64, "EstimateMs": work_ms} | step for step in steps]
    return {"Spec": f"ms={work_ms} cpu={cpu}", "BestEffort": True, "Steps": filled}


class Caller:
    """Sends requests and records them; each request has a connection of its own."""

    def __init__(self, recorder: recording.Recorder) -> None:
        self._recorder = recorder

    async def send(
        self,
        method: str,
        address: str,
        path: str,
        timeout_s: float,
        body: dict | None = None,
        host: str = HOST,
        quiet: bool = False,
    ) -> tuple[int, dict]:
        """Return status and body of the response; status 0 for none in time."""
        data = json.dumps(body) if body is not None else None
        headers = {
            "Host": host,
            "Content-Type": "application/json",
            "X-Amaranthspar-Deadline-Ms": str(round(timeout_s * 1000)),
        }
        if not quiet:
            self._recorder.note("sent", method=method, to=address, path=path)
        status, answer = 0, {}
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.request(
                    method,
                    f"http://{address}{path}",
                    data=data,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(total=timeout_s),
                    allow_redirects=False,
                ) as response,
            ):
                answer = json.loads(await response.read() or b"{}")
                status = response.status
        except (aiohttp.ClientError, TimeoutError, ValueError):
            status = 0
        if not quiet:
            self._recorder.note(
                "answered",
                method=method,
                to=address,
                path=path,
                status=status,
                body=answer,
            )
        return status, answer

    async def order(self, addresses: list[str], path: str, body: dict | None) -> int:
        """Send an order of the operator to one node after another until it is taken.

        Returns:
            Time of the acknowledgement in ms.
        """
        for attempt in range(60):
            address = addresses[attempt % len(addresses)]
            status, _ = await self.send(
                "POST", address, path, OPERATOR_TIMEOUT_S, body, host=address
            )
            if 200 <= status < 300:
                return self._recorder.read_ms()
            if attempt >= len(addresses) - 1:
                await asyncio.sleep(0.2)
        raise TimeoutError(f"no acknowledgement of {path}")


def choose_id() -> str:
    """Return the id of a new job."""
    return secrets.token_hex(JOB_ID_BYTES)
