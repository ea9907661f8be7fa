"""Process that runs the stand-ins of upstreams for an experiment.

Run as ``python -m benchmarks.upstreams --control ADDRESS NAME=DOMAIN=ADDRESS...``.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import signal
from typing import Any

import msgspec
from sanic import response

from amaranthspar import loop
from amaranthspar.upstreams import standin, workerstandin
from amaranthspar.web import _httpserver

JSON = "application/json"
MAX_BODY_BYTES = 1024 * 1024


class Upstreams:
    """Stand-ins with one control interface, which also serves as the platform's.

    Args:
        slots: Number of slots of each stand-in.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._record = standin.StartRecord(recorded_spans=None)
        self._stand_ins: dict[str, standin.StandIn] = {}
        self._server = _httpserver.HttpServer(MAX_BODY_BYTES)

    async def open(self, control: str, upstream_specs: list[str]) -> None:
        """Listen on the addresses of the stand-ins and of the control interface.

        Args:
            control: Address of the control interface.
            upstream_specs: Stand-ins as ``NAME=DOMAIN=ADDRESS``.
        """
        for spec in upstream_specs:
            name, domain, address = spec.split("=")
            stand_in = standin.StandIn(name, domain, self._record, self._slots)
            await stand_in.open(address)
            self._stand_ins[name] = stand_in
        self._server.add("GET", "/spans", self._show_spans)
        self._server.add("GET", "/waited", self._show_delayed_starts)
        workerstandin.WorkerStandIn(self._stand_ins.values()).add_to(self._server)
        self._server.add("PUT", "/behaviour/<name:str>", self._change_behaviour)
        await self._server.open(control)

    async def close(self) -> None:
        """Close the stand-ins and the control interface."""
        for stand_in in self._stand_ins.values():
            await stand_in.close()
        await self._server.close()

    async def _show_spans(self, request: Any) -> response.HTTPResponse:
        first = int(request.args.get("from", "0"))
        spans = list(itertools.islice(self._record.spans, first, None))
        return response.raw(msgspec.json.encode(spans), content_type=JSON)

    async def _show_delayed_starts(self, request: Any) -> response.HTTPResponse:
        waited = sum(item.waited for item in self._stand_ins.values())
        return response.raw(msgspec.json.encode(waited), content_type=JSON)

    async def _change_behaviour(self, request: Any, name: str) -> response.HTTPResponse:
        behaviour = msgspec.json.decode(request.body, type=standin.Behaviour)
        self._stand_ins[name].behaviour = behaviour
        return response.empty(204)


async def _serve(arguments: argparse.Namespace) -> int:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    upstreams = Upstreams(arguments.slots)
    await upstreams.open(arguments.control, arguments.places)
    await stopping.wait()
    await upstreams.close()
    return 0


def main() -> int:
    """Run the stand-ins until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--control", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("places", nargs="+")
    return loop.run_loop(_serve(parser.parse_args()))


if __name__ == "__main__":
    raise SystemExit(main())
