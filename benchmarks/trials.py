"""A fleet with its driver and counters, which always ends with its context manager."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import tempfile
import uuid
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import attrs
import msgspec

from amaranthspar import configuration
from amaranthspar.schema import messages
from amaranthspar.upstreams import standin
from benchmarks import counters, driver, firms, fleet, timing

WARM_UP_SECONDS = 2.0
WARM_UP_LOAD = 0.3
STATSD_SECONDS = 1.3
LOG_LINES = 12


@attrs.frozen(slots=True)
class Options:
    """Options of an experiment.

    Attributes:
        seed: Seed of all random choices.
        seconds: Length of each measured part in s.
        firms: Firms whose workloads are measured.
        loads: Loads to measure, as shares of all slots.
        repeats: Number of consecutive seeds to run, from `seed` up.
        baseline: Whether the naive dispatcher is measured as well.
    """

    seed: int
    seconds: float
    firms: tuple[firms.Firm, ...]
    loads: tuple[float, ...]
    repeats: int = 1
    baseline: bool = True


@attrs.define(slots=True)
class Trial:
    """A running fleet with its driver and counters.

    Attributes:
        fleet: Processes of the roles and stand-ins.
        driver: Driver with a connection to each gateway.
        counters: Counters of the roles.
        folder: Folder of settings and logs.
        operator: Number of the gateway to which operators' changes are sent.
    """

    fleet: fleet.Fleet
    driver: driver.Driver
    counters: counters.Counters
    folder: pathlib.Path
    operator: int = 0

    async def read_spans(self, first: int = 0) -> list[standin.Span]:
        """Return the spans that the stand-ins recorded.

        Args:
            first: Number of earlier spans to leave out.
        """
        body = await self._call_upstreams("GET", f"/spans?from={first}")
        return msgspec.json.decode(body, type=list[standin.Span])

    async def count_delayed_starts(self) -> int:
        """Return how many tasks arrived while all slots of their upstream were busy."""
        return int(msgspec.json.decode(await self._call_upstreams("GET", "/waited")))

    async def set_behaviour(self, upstream: int, **changes: Any) -> None:
        """Change the behaviour of an upstream by its number."""
        body = msgspec.json.encode(standin.Behaviour(**changes))
        name = fleet.name_upstream(upstream)
        await self._call_upstreams("PUT", f"/behaviour/{name}", body)

    async def change_domain(self, name: str, state: str) -> float:
        """Take a failure domain out of service or back in.

        Returns:
            Monotonic time in ms at which the acceptance of the change arrived.
        """
        return await self.change_configuration(
            lambda current: current.add_domain(name, state=state)
        )

    async def change_configuration(self, change: Any) -> float:
        """Change the latest configuration.

        Args:
            change: Function that changes the configuration in place.

        Returns:
            Monotonic time in ms at which the acceptance of the change arrived.

        Raises:
            fleet.FleetError: The change was not accepted.
        """
        operator = self.driver.clients[self.operator]
        fetched = await operator.fetch_configuration()
        current = configuration.parse_text(fetched.text)
        change(current)
        decided: messages.ConfigurationDecided = await operator.submit_configuration(
            str(current), fetched.version, str(uuid.uuid4())
        )
        if decided.outcome != "accepted":
            raise fleet.FleetError(f"configuration {decided.outcome}")
        return timing.read_ms()

    async def settle_counters(self) -> None:
        """Wait until the counters of all previous events have arrived."""
        await asyncio.sleep(STATSD_SECONDS)

    async def _call_upstreams(self, method: str, path: str, body: bytes = b"") -> bytes:
        url = f"http://{self.fleet.control}{path}"
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, data=body) as answer,
        ):
            answer.raise_for_status()
            return await answer.read()


@contextlib.asynccontextmanager
async def open_trial(
    firm: firms.Firm, warm: bool = True, **settings: Any
) -> AsyncIterator[Trial]:
    """Run a fleet for the length of a block.

    Args:
        firm: Workload and sizes of the upstreams.
        warm: Whether to warm up with a light load.
        settings: Further arguments of `fleet.Fleet`.
    """
    with tempfile.TemporaryDirectory(prefix="bench-") as name:
        folder = pathlib.Path(name)
        statsd = counters.Counters()
        await statsd.open()
        group = fleet.Fleet(firm, folder, statsd.address, **settings)
        sender: driver.Driver | None = None
        try:
            await group.start()
            sender = driver.Driver(group.urls, group.token)
            trial = Trial(group, sender, statsd, folder)
            if warm:
                await warm_up(trial)
            yield trial
            codes = await group.stop()
            print_failed_exits(folder, codes)
        finally:
            if sender is not None:
                await sender.close()
            group.kill()
            statsd.close()


def print_failed_exits(folder: pathlib.Path, codes: dict[str, int]) -> None:
    """Print the end of the log of each process that did not exit with 0."""
    for name, code in codes.items():
        if code == 0:
            continue
        lines = (folder / f"{name}.log").read_text().splitlines()
        print(f"{name} exited with {code}:", *lines[-LOG_LINES:], sep="\n  ")


async def warm_up(trial: Trial, sender: driver.Driver | None = None) -> None:
    """Send a light load and discard its samples."""
    sender = sender or trial.driver
    firm = trial.fleet.firm
    arrivals = [
        attrs.evolve(arrival, key=f"warm-{arrival.key}" if arrival.key else "")
        for arrival in firms.generate(firm, 0, WARM_UP_SECONDS, WARM_UP_LOAD)
    ]
    await sender.run(arrivals, "warm-up")
    sender.samples.clear()


@contextlib.asynccontextmanager
async def open_naive(trial: Trial) -> AsyncIterator[driver.Driver]:
    """Run the naive dispatcher with the upstreams of a trial."""
    url = trial.fleet.start_naive()
    await trial.fleet.wait_http(url)
    sender = driver.Driver([url], trial.fleet.token)
    try:
        await warm_up(trial, sender)
        yield sender
    finally:
        await sender.close()


def count_failures(samples: list[driver.Sample]) -> int:
    """Return how many arrivals got no correct answer."""
    return sum(not sample.is_correct for sample in samples)


def describe_failures(samples: list[driver.Sample]) -> list[str]:
    """Return a line for each of the first few failures."""
    failed = [sample for sample in samples if not sample.is_correct]
    return [
        f"- {item.arrival.service} {item.status} {item.outcome} {item.detail}"
        for item in failed[:5]
    ]
