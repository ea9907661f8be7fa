"""Seeded random faults of roles and upstreams."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

import attrs

from amaranthspar.clients import client
from benchmarks import fleet, trials

PAUSE_SECONDS = (3.0, 8.0)
STOPPED_SECONDS = (0.5, 4.0)
AWAY_SECONDS = (1.0, 5.0)
BEHAVIOUR_SECONDS = (2.0, 6.0)

Fault = Callable[[], Awaitable[str]]


@attrs.define(slots=True)
class FaultInjector:
    """Injects one fault after another until cancelled.

    Attributes:
        trial: Trial in which faults are injected.
        rng: Random number generator for all choices.
        history: Description of each fault.
        exits: Exit codes of the processes that were shut down.
    """

    trial: trials.Trial
    rng: random.Random
    history: list[str] = attrs.field(factory=list)
    exits: list[int] = attrs.field(factory=list)

    async def run(self) -> None:
        """Inject faults until cancelled; the current fault is then repaired."""
        kinds: list[Fault] = [
            self._kill,
            self._stop_and_continue,
            self._restart,
            self._move_domain,
            self._degrade_worker,
        ]
        while True:
            await asyncio.sleep(self.rng.uniform(*PAUSE_SECONDS))
            try:
                self.history.append(await self.rng.choice(kinds)())
            except (client.ClientError, fleet.FleetError) as error:
                self.history.append(f"refused: {error}")

    def _choose(self) -> fleet.Process:
        role = self.rng.choice(("gateway", "sidecar", "controller"))
        return self.rng.choice(self.trial.fleet.list_processes(role))

    async def _kill(self) -> str:
        process = self._choose()
        process.popen.kill()
        process.popen.wait()
        try:
            await asyncio.sleep(self.rng.uniform(*AWAY_SECONDS))
        finally:
            self.trial.fleet.restart_role(process.name)
        return f"killed {process.name}"

    async def _restart(self) -> str:
        process = self._choose()
        process.send_signal(signal.SIGTERM)
        try:
            self.exits.append(await fleet.wait_exit(process))
        finally:
            if process.popen.poll() is None:
                process.popen.kill()
                process.popen.wait()
            self.trial.fleet.restart_role(process.name)
        return f"restarted {process.name}"

    async def _stop_and_continue(self) -> str:
        process = self._choose()
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(self.rng.uniform(*STOPPED_SECONDS))
        finally:
            process.send_signal(signal.SIGCONT)
        return f"stopped {process.name} for a while"

    async def _move_domain(self) -> str:
        domain = self.rng.choice(self.trial.fleet.firm.domains)
        await self.trial.change_domain(domain, "out")
        try:
            await asyncio.sleep(self.rng.uniform(*AWAY_SECONDS))
        finally:
            await self.trial.change_domain(domain, "in")
        return f"took {domain} out and in"

    async def _degrade_worker(self) -> str:
        number = self.rng.randrange(self.trial.fleet.firm.upstreams)
        failing = self.rng.random() < 0.5
        factor = 1.0 if failing else 4.0
        await self.trial.set_behaviour(number, slow_factor=factor, failing=failing)
        try:
            await asyncio.sleep(self.rng.uniform(*BEHAVIOUR_SECONDS))
        finally:
            await self.trial.set_behaviour(number)
        return f"worsened {fleet.name_upstream(number)}, failing {failing}"
