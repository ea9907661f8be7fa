"""Builder of a site in virtual time that is given its jobs one by one."""

from __future__ import annotations

import heapq

import attrs

from amaranthspar.scheduling import jobevents, jobs
from amaranthspar.schema import runmessages
from benchmarks import crowd

PATIENT_MS = 20_000
"""Constant part of a latency objective that puts a job behind all others."""


@attrs.define
class Job:
    """A submitted job with the times in ms at which its tasks started and it ended."""

    arrived_ms: float
    starts_ms: list[float] = attrs.field(factory=list)
    ended_ms: float = 0.0
    outcome: str = ""

    @property
    def wait_ms(self) -> float:
        """Time from its arrival to the start of its last task."""
        return max(self.starts_ms) - self.arrived_ms if self.starts_ms else float("inf")


class Site(crowd.Simulation):
    """Gateways, sidecars and upstreams of 64 cores without load of their own.

    Two sidecars of three have 64 cores, the third 96.

    Attributes:
        jobs: Submitted jobs by name.
    """

    def __init__(self, gateways: int = 1, sidecars: int = 1, seed: int = 1) -> None:
        super().__init__(crowd.Scenario(gateways, sidecars, (), seed=seed))
        self.jobs: dict[str, Job] = {}
        self._start_processes()
        self._advance(crowd.WARM_UP_MS)
        self.began_ms = self.now_ms

    def submit_at(
        self,
        at_ms,
        name,
        cores,
        duration_ms,
        *,
        tasks=1,
        declared_ms=0,
        target_ms=60,
        gateway=0,
    ) -> None:
        """Schedule a job; its times are in ms after the site has started."""
        needs = runmessages.Resources(round(cores * 1_000), 64, 0)
        queue = jobs.Queue(f"q{target_ms}", crowd.SERVICE, 0, 3, 1.6, target_ms)
        step = jobs.Step(tasks, needs, declared_ms or duration_ms)
        request = jobs.Request(name, queue, "", (step,))

        def arrive() -> None:
            for index in range(tasks):
                self._durations[f"{name}.0.0.{index}"] = duration_ms
            self.jobs[name] = Job(self.now_ms)
            kind = crowd.KINDS[0]
            self._requests[name] = crowd.Request(
                name, kind, 1.0, self.now_ms, duration_ms
            )
            self._step_gateway(gateway, jobevents.Submit(request))

        self._schedule(self.began_ms + at_ms - self.now_ms, arrive)

    def run_until(self, until_ms) -> None:
        """Let the time pass until some ms after the site has started."""
        self._advance(self.began_ms + until_ms - self.now_ms)

    def _advance(self, time_ms) -> None:
        end_ms = self.now_ms + time_ms
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, callback = heapq.heappop(self._events)
            callback()
            for upstream in self._upstreams.values():
                assert upstream.measure_free_cpu() >= 0
        self.now_ms = end_ms

    def _start_run(self, name, order) -> None:
        count = self.results.starts
        super()._start_run(name, order)
        if self.results.starts > count:
            job = order.name.task.partition(".")[0]
            self.jobs[job].starts_ms.append(self.now_ms)

    def _count_outcome(self, request, outcome) -> None:
        super()._count_outcome(request, outcome)
        job = self.jobs[request.name]
        job.outcome, job.ended_ms = outcome, self.now_ms
