"""Naive dispatcher: round robin over the upstreams, each with a queue of its own.

Run as ``python -m benchmarks.naive --http ADDRESS NAME=DOMAIN=ADDRESS...``.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import signal
from typing import Any

import aiohttp
import msgspec
from sanic import response

from amaranthspar import loop
from amaranthspar.dispatch import submissions
from amaranthspar.upstreams import upstream
from amaranthspar.web import _httpserver, parsing

JSON = "application/json"
MAX_BODY_BYTES = 8 * 1024 * 1024


class Naive:
    """Dispatcher without a queue, credits, deadlines or deduplication.

    Args:
        upstream_specs: Upstreams as ``NAME=DOMAIN=ADDRESS``.
    """

    def __init__(self, upstream_specs: list[str]) -> None:
        self._upstreams = [spec.split("=") for spec in upstream_specs]
        self._domains_out: set[str] = set()
        self._turns = itertools.count()
        self._submission_numbers = itertools.count(1)
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector)
        self._server = _httpserver.HttpServer(MAX_BODY_BYTES)

    async def open(self, address: str) -> None:
        """Listen for callers on an address."""
        services = "/v1/services/<service:str>"
        self._server.add("GET", "/readyz", self._answer_ready)
        self._server.add("POST", f"{services}/requests", self._handle_request)
        self._server.add("POST", f"{services}/jobs", self._handle_job)
        self._server.add("PUT", "/domains/<name:str>/<state:str>", self._change_domain)
        await self._server.open(address)

    async def close(self) -> None:
        """Close the server and the connections to upstreams."""
        await self._server.close()
        await self._session.close()

    async def _answer_ready(self, request: Any) -> response.HTTPResponse:
        return response.empty(200)

    async def _change_domain(
        self, request: Any, name: str, state: str
    ) -> response.HTTPResponse:
        self._domains_out.discard(name)
        if state == "out":
            self._domains_out.add(name)
        return response.empty(204)

    def _choose(self) -> str:
        while True:
            _, domain, address = self._upstreams[
                next(self._turns) % len(self._upstreams)
            ]
            if domain not in self._domains_out:
                return address

    async def _call(
        self, service: str, name: str, task: submissions.Task
    ) -> tuple[int, bytes]:
        headers = {
            upstream.SUBMISSION_HEADER: name,
            upstream.TASK_HEADER: str(task.index),
        }
        url = f"http://{self._choose()}/{service}"
        async with self._session.post(
            url, data=task.payload, headers=headers
        ) as answer:
            return answer.status, await answer.read()

    async def _handle_request(
        self, request: Any, service: str
    ) -> response.HTTPResponse:
        task = submissions.Task(0, request.body)
        status, body = await self._call(
            service, f"naive.{next(self._submission_numbers)}", task
        )
        return response.raw(body, status, content_type=JSON)

    async def _handle_job(self, request: Any, service: str) -> response.HTTPResponse:
        name = f"naive.{next(self._submission_numbers)}"
        tasks = parsing.parse_job(request.body, MAX_BODY_BYTES)
        calls = [self._call(service, name, task) for task in tasks]
        answers = await asyncio.gather(*calls)
        bodies = [msgspec.Raw(body) for _, body in answers]
        status = max(status for status, _ in answers)
        body = msgspec.json.encode({"state": "complete", "answers": bodies})
        return response.raw(body, status, content_type=JSON)


async def _serve(arguments: argparse.Namespace) -> int:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    naive = Naive(arguments.places)
    await naive.open(arguments.http)
    await stopping.wait()
    await naive.close()
    return 0


def main() -> int:
    """Run the naive dispatcher until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--http", required=True)
    parser.add_argument("places", nargs="+")
    return loop.run_loop(_serve(parser.parse_args()))


if __name__ == "__main__":
    raise SystemExit(main())
