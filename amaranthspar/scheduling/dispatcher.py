"""Dispatcher of a gateway: admits jobs, places their tasks and settles their outcomes.

The gateway holds its jobs in memory. It sends start orders to sidecars, which report
the state of each run. A task is placed again only once its previous run is known to
have ended or never to start, so two runs of one task never overlap.
"""

from __future__ import annotations

import functools
import operator
from typing import TYPE_CHECKING

from amaranthspar import effects
from amaranthspar.scheduling import (
    delivery,
    durations,
    expectedends,
    fleet,
    jobevents,
    jobqueue,
    jobs,
    placement,
    pool,
    progress,
    renewals,
    resources,
    sidecars,
    spread,
)
from amaranthspar.schema import runmessages

if TYPE_CHECKING:
    import random

MIN_CHOICES = 4
"""The pool grows when fewer members than this have free capacity for a typical task."""
MEDIAN_INTERVAL_MS = 200
"""Interval at which the median slowness of the sidecars is recomputed."""
CHECK_INTERVAL_MS = 50
"""Interval at which sidecars are checked for lost runs and unconfirmed starts."""
RESEND_MS = 300
"""Time after which an unconfirmed start is sent again; above the 200 ms for which a
sidecar holds back the report that confirms it."""
MAX_SILENCE_MS = 1_000
"""Time without a report from which the process counts as paused or cut off. It is below
the 1.3 s after which callers whose connections have ended send their jobs to another
gateway."""
RESUME_MS = 50
"""Time after such a silence in which no start is sent, so that ended connections are
noticed."""
MAX_SCANNED_JOBS = 64
"""Maximum number of waiting jobs examined per pass, which bounds its processor time."""
MAX_SKIPPED_JOBS = 8
"""Maximum number of jobs per pass that are skipped because no sidecar may run their next
task now; each is compared with all sidecars of its service."""
UNLISTED_RETENTION_MS = 30_000
"""Time without a message after which a sidecar that is no longer listed is removed."""
CLEANUP_INTERVAL_MS = 1_000
"""Interval at which unlisted sidecars are checked for removal."""
FREE_SHARE = 0.5
"""Share of the free cores that a forecast assumes, as other gateways use them too."""
MIN_CORE_SHARE = 0.7
"""Lower bound of the cores that a forecast assumes, as a share of this gateway's equal
part of all cores."""
SUSPECT_FAILURES = 2
"""Number of failed runs of a task, on different upstreams, from which its siblings wait
for its success under a shortage; a single failure may be that of the upstream."""
DRAIN_MARGIN = 2.0
"""Multiple of a job's expected duration that a draining gateway must have left."""
RETRY_SPREAD_MS = 2_000
"""Time over which the retries of refused callers are spread, in ms."""


class Dispatcher:
    """Admits the jobs of one gateway, places their tasks and follows their runs.

    Attributes:
        jobs: Admitted jobs without an outcome, by id.
        waiting: Jobs with tasks that are not placed, in the order of service.
        fleet: Sidecars that the gateway can place tasks on.
        durations: Estimates of task durations.
        delivery: Processor time of the runs that ended lately.
        is_draining: Whether the gateway is shutting down.
        gateway_count: Number of gateways that controllers list, at least 1.
        reserved_jobs: Names of the sidecars reserved in the last pass, by job.
        gap_starts: Number of starts sent to sidecars that were reserved for other jobs.

    Args:
        chance: Random number generator.
        failure_domain: Failure domain of the gateway; empty if it has none.
        spread_factor: Ratio of the duration of a task in another rack to that in the
            rack of its data, at least 1.
    """

    def __init__(
        self,
        chance: random.Random,
        failure_domain: str = "",
        spread_factor: float = spread.DEFAULT_FACTOR,
    ) -> None:
        self.jobs: dict[str, jobs.Job] = {}
        self.waiting = jobqueue.JobQueue()
        self.durations = durations.Durations()
        self.fleet = fleet.Fleet(chance, self.durations, failure_domain, spread_factor)
        self.delivery = delivery.Delivery()
        self.is_draining = False
        self.gateway_count = 1
        self.reserved_jobs: dict[str, str] = {}
        self.gap_starts = 0
        self._chance = chance
        self._tasks: dict[str, jobs.Task] = {}
        self._listed: frozenset[str] = frozenset()
        self._last_needs: dict[str, runmessages.Resources] = {}
        self._median_ms = 0
        self._checked_ms = 0
        self._cleaned_ms = 0
        self._drain_deadline_ms = 0
        self._needs_placement = False
        self._heard_ms: int | None = None
        self._resumed_ms = -RESUME_MS
        self._effects: list[jobevents.Effect] = []
        self._renewals = renewals.Renewals(self.fleet, self._send)

    def step(self, event: jobevents.Event, now_ms: int) -> list[jobevents.Effect]:
        """Handle an event, place tasks and return the effects.

        Args:
            event: Event to handle.
            now_ms: Monotonic time in ms.

        Returns:
            Effects to carry out, in order.
        """
        self.handle(event, now_ms)
        return self.finish(now_ms)

    def finish(self, now_ms: int) -> list[jobevents.Effect]:
        """Place tasks after a batch of events and return the effects of the batch.

        Args:
            now_ms: Monotonic time in ms.

        Returns:
            Effects to carry out, in order.
        """
        if self._needs_placement and not self._is_resuming(now_ms):
            self._needs_placement = False
            self._dispatch(now_ms)
        self._renewals.set_waiting(len(self.waiting) > 0, now_ms)
        pending, self._effects = self._effects, []
        return pending

    def handle(self, event: jobevents.Event, now_ms: int) -> None:
        """Handle an event without placing tasks.

        Args:
            event: Event to handle.
            now_ms: Monotonic time in ms.
        """
        match event:
            case jobevents.Submit(request=request, arrived_ms=arrived_ms):
                self._submit(
                    request, now_ms if arrived_ms is None else arrived_ms, now_ms
                )
            case jobevents.Cancel(job=name, outcome=outcome, reason=reason):
                job = self.jobs.get(name)
                if job is not None:
                    self._end_job(job, outcome, reason)
            case jobevents.Heard():
                self._check_silence(now_ms)
                self._handle_reports(event, now_ms)
            case jobevents.Found():
                self._update_peers(event, now_ms)
            case jobevents.Drain(until_ms=until_ms):
                self.is_draining = True
                self._drain_deadline_ms = until_ms
            case jobevents.Tick():
                self._tick(now_ms)

    def _check_silence(self, now_ms: int) -> None:
        """Hold back starts if no sidecar has reported for a while.

        Callers may have left meanwhile, and sent their jobs to another gateway.
        """
        if self._heard_ms is not None and now_ms - self._heard_ms > MAX_SILENCE_MS:
            self._resumed_ms = now_ms
            self._log("reports resumed", silent_ms=now_ms - self._heard_ms)
        self._heard_ms = now_ms

    def _is_resuming(self, now_ms: int) -> bool:
        return now_ms - self._resumed_ms < RESUME_MS

    # Jobs.

    def _submit(self, request: jobs.Request, arrived_ms: int, now_ms: int) -> None:
        if request.id in self.jobs:
            return
        job = jobs.build_job(request, arrived_ms)
        reason = self._find_rejection_reason(job, now_ms)
        if reason:
            self._refuse(request.id, reason, now_ms)
            return
        entry = self.build_entry(job)
        end_ms = now_ms + DRAIN_MARGIN * entry.critical_path_ms
        if self.is_draining and end_ms > self._drain_deadline_ms:
            self._refuse(request.id, "gateway is stopping", now_ms)
            return
        forecast = self._build_forecast(entry, now_ms)
        admission = self.waiting.admit(entry, forecast)
        for displaced in admission.displaced:
            self._displace(displaced, request.id, now_ms)
        if not admission.is_admitted:
            self._renewals.grow(self.fleet.find_pool(request.queue.service), now_ms)
            self._log_refusal(entry, forecast)
            self._refuse(request.id, "no room in time", now_ms)
            return
        self._needs_placement = True
        self._add_members_near_data(job, now_ms)
        self.jobs[request.id] = job
        self._tasks.update((task.name, task) for task in job.tasks)
        self._log(
            "job admitted",
            request.id,
            queue=request.queue.name,
            tasks=len(job.tasks),
            expected_ms=entry.critical_path_ms,
            spare_ms=job.start_by_ms - now_ms,
            ahead=len(self.waiting) - 1,
            cores_free=round(forecast.free_cores),
        )

    def _displace(self, job: jobs.Job, by: str, now_ms: int) -> None:
        """End a waiting job, no start of which was sent, for a more urgent one."""
        self._log(
            "job displaced",
            job.request.id,
            by=by,
            queue=job.request.queue.name,
            tasks=len(job.tasks),
        )
        refused = jobevents.Outcome.REFUSED
        retry_ms = self._choose_retry_after_ms(now_ms)
        self._end_job(job, refused, "displaced by a more urgent job", retry_ms)

    def _log_refusal(self, entry: jobqueue.Entry, forecast: jobqueue.Forecast) -> None:
        """Log the figures behind a refusal."""
        job = entry.job
        sidecars = self.fleet.list_accepting(job.request.queue.service, forecast.now_ms)
        oldest_ms = min(
            (item.received_ms for item in sidecars), default=forecast.now_ms
        )
        self._log(
            "job refused",
            job.request.id,
            queue=job.request.queue.name,
            tasks=len(job.tasks),
            cores=round(entry.cores, 1),
            expected_ms=entry.critical_path_ms,
            spare_ms=job.start_by_ms - forecast.now_ms,
            ahead=len(self.waiting),
            waiting_core_ms=round(self.waiting.core_ms),
            cores_free=round(forecast.free_cores),
            cores_working=round(forecast.working_cores),
            upstreams=len(sidecars),
            room_age_ms=forecast.now_ms - oldest_ms,
        )

    def _find_rejection_reason(self, job: jobs.Job, now_ms: int) -> str:
        """Return why a job cannot be served at all; empty if it can.

        A job is not rejected as unsuitable while a sidecar that may suit it has not
        reported yet: such sidecars are contacted first.
        """
        service_pool = self.fleet.find_pool(job.request.queue.service)
        members = service_pool.list_accepting(now_ms)
        if not members:
            self._renewals.add_suitable_members(service_pool, lambda _: True, now_ms)
            return "no upstream takes runs"
        examples = {task.step: task for task in job.tasks}
        for task in examples.values():
            suits = functools.partial(fleet.may_run, task)
            if any(map(suits, members)):
                continue
            if not self._renewals.add_suitable_members(service_pool, suits, now_ms):
                return "no upstream is large enough or of the right kind"
        return ""

    def _add_members_near_data(self, job: jobs.Job, now_ms: int) -> None:
        """Add pool members in the racks of a job's data that have no member."""
        service_pool = self.fleet.find_pool(job.request.queue.service)
        for rack in {step.data_rack for step in job.request.steps} - {""}:
            is_in_rack = operator.methodcaller("has_label", rack)
            if not any(map(is_in_rack, service_pool.members.values())):
                self._renewals.add_suitable_members(service_pool, is_in_rack, now_ms)

    def _refuse(self, name: str, reason: str, now_ms: int) -> None:
        retry_ms = self._choose_retry_after_ms(now_ms)
        refused = jobevents.Outcome.REFUSED
        self._effects.append(jobevents.JobEnded(name, refused, reason, retry_ms))

    def _choose_retry_after_ms(self, now_ms: int) -> int:
        """Return the time in ms after which a refused caller should retry.

        It is the expected time to clear the backlog plus jitter, so that callers do not
        retry at the same moment. Under a shortage the jitter grows with that time, as
        more callers are refused the longer it takes.
        """
        if self.waiting.has_shortage:
            backlog_ms = delivery.find_drain_ms(
                self.waiting.core_ms,
                self._count_working_cores(now_ms),
                self.waiting.measure_admitted(now_ms),
            )
            spread_ms = max(RETRY_SPREAD_MS, backlog_ms)
            return round(backlog_ms + spread_ms * self._chance.random())
        backlog_ms = 0.0
        rate = self.fleet.used_millis / 1000
        if rate > 0:
            backlog_ms = self.waiting.core_ms / rate
        return round(backlog_ms + RETRY_SPREAD_MS * self._chance.random())

    def build_entry(self, job: jobs.Job) -> jobqueue.Entry:
        """Return a queue entry with the cores and the time that a job still needs.

        Args:
            job: Job of this gateway.
        """
        queue = job.request.queue
        expected = [
            self.durations.expect_ms(queue.name, number, step.estimate_ms)
            for number, step in enumerate(job.request.steps)
        ]
        cores = [task.definition.needs.cpu_millis / 1000 for task in job.waiting]
        core_ms = sum(
            need * expected[task.step]
            for need, task in zip(cores, job.waiting, strict=True)
        )
        critical_path_ms = jobs.find_critical_path_ms(job.request.steps, expected)
        return jobqueue.Entry(job, sum(cores), core_ms, critical_path_ms)

    def _requeue_job(self, job: jobs.Job) -> None:
        """Update the queue entry of a job, or remove it if no task waits."""
        self.waiting.remove(job.request.id)
        if job.waiting:
            self._needs_placement = True
            self.waiting.insert(self.build_entry(job))

    def _end_job(
        self,
        job: jobs.Job,
        outcome: jobevents.Outcome,
        reason: str,
        retry_after_ms: int = 0,
    ) -> None:
        name = job.request.id
        del self.jobs[name]
        self.waiting.remove(name)
        self.reserved_jobs.pop(name, None)
        stops: dict[str, list[runmessages.RunName]] = {}
        for task in job.tasks:
            del self._tasks[task.name]
            if task.state is jobs.TaskState.PLACED:
                stops.setdefault(task.sidecar, []).append(task.run_name)
                self.fleet.sidecars[task.sidecar].remove_task(task.name)
        for sidecar, names in stops.items():
            address = self.fleet.sidecars[sidecar].address
            self._effects.append(effects.Send(address, runmessages.StopRuns(names)))
        self._effects.append(jobevents.JobEnded(name, outcome, reason, retry_after_ms))

    # Sidecars.

    def _update_peers(self, event: jobevents.Found, now_ms: int) -> None:
        self._needs_placement = True
        self.fleet.set_domains_out(event.domains_out)
        self._listed = frozenset(
            peer.process for peer in event.peers if peer.role == "sidecar"
        )
        gateways = sum(peer.role == "gateway" for peer in event.peers)
        self.gateway_count = max(1, gateways)
        for peer in event.peers:
            if peer.role == "sidecar" and self.fleet.add(peer) is not None:
                self._log("sidecar found", sidecar=peer.process, address=peer.address)
        self.fleet.set_listed(self._listed)
        self._renewals.fill(now_ms)

    def _handle_reports(self, event: jobevents.Heard, now_ms: int) -> None:
        sidecar = self.fleet.sidecars.get(event.sidecar)
        if sidecar is None:
            return
        if sidecar.incarnation != event.incarnation:
            self._reset_sidecar(sidecar, event.incarnation, now_ms)
        sidecar.address = event.address
        was_open = sidecar.accepts_runs(now_ms)
        sidecar.received_ms = now_ms
        room = event.reports.room
        if sidecar.room is None or room.number > sidecar.room.number:
            self._update_room(sidecar, room, now_ms)
        if was_open is not sidecar.accepts_runs(now_ms):
            self.fleet.invalidate_accepting(sidecar)
        for report in event.reports.reports:
            task = self._tasks.get(report.name.task)
            if task is None or task.state is not jobs.TaskState.PLACED:
                continue
            if task.sidecar == sidecar.name and task.run == report.name.run:
                self._handle_report(sidecar, task, report, now_ms)

    def _reset_sidecar(
        self, sidecar: sidecars.Sidecar, incarnation: int, now_ms: int
    ) -> None:
        """Reset the state of a restarted sidecar; its earlier runs may still end."""
        if sidecar.incarnation:
            self._log("sidecar restarted", sidecar=sidecar.name)
        sidecar.incarnation = incarnation
        sidecar.update_room(None, now_ms)
        sidecar.started = 0
        self.fleet.invalidate_accepting(sidecar)

    def _update_room(
        self, sidecar: sidecars.Sidecar, room: runmessages.Room, now_ms: int
    ) -> None:
        before = sidecar.room
        free_millis = sidecar.free.cpu_millis
        sidecar.update_room(room, now_ms)
        if before is None or sidecar.free.cpu_millis > free_millis:
            self._needs_placement = True
        if before is None or before.failure_domain != room.failure_domain:
            self.fleet.invalidate_accepting(sidecar)
        if before is None or before.upstream != room.upstream:
            self._needs_placement = True
            sidecar.slowness = 1.0
            sidecar.failure_rate = 0.0
            sidecar.recent_ratios.clear()
            sidecar.meter.set_incarnation(room.upstream)
            if sidecar.note_upstream(room.upstream, now_ms):
                self._log(
                    "upstream flaps",
                    sidecar=sidecar.name,
                    upstream=room.upstream,
                    tries_for_ms=sidecar.probation_ms - now_ms,
                )
        if before is None or before.is_leaving != room.is_leaving:
            self._log(
                "sidecar changed",
                sidecar=sidecar.name,
                upstream=room.upstream,
                is_leaving=room.is_leaving,
            )

    def _handle_report(
        self,
        sidecar: sidecars.Sidecar,
        task: jobs.Task,
        report: runmessages.RunReport,
        now_ms: int,
    ) -> None:
        match report.state:
            case "started":
                task.is_running = True
            case "running":
                task.is_running = True
                self._check_progress(sidecar, task, report, now_ms)
            case "done":
                self._finish_task(sidecar, task, report, now_ms)
            case "failed":
                self._fail_task(sidecar, task, now_ms)
            case "stale":
                task.run = max(task.run, int(report.reason))
                self._retry_task(task, report)
            case _:
                if report.state == "refused" and report.reason != "no room":
                    task.avoided.add(sidecar.name)
                self._retry_task(task, report)

    def _finish_task(
        self,
        sidecar: sidecars.Sidecar,
        task: jobs.Task,
        report: runmessages.RunReport,
        now_ms: int,
    ) -> None:
        job = task.job
        step = task.definition
        queue = job.request.queue.name
        expected_ms = self.durations.expect_ms(queue, task.step, step.estimate_ms)
        # As it would have been in the rack of the data.
        elapsed_ms = report.elapsed_ms / self.fleet.ends.find_spread(task, sidecar)
        sidecar.record_outcome(False, now_ms)
        sidecar.record_duration(elapsed_ms / expected_ms, now_ms)
        cores = step.needs.cpu_millis / 1000
        self.delivery.record_run(cores, report.elapsed_ms, False, now_ms)
        predicted_ms = self.durations.predict_ms(queue, task.step, step.estimate_ms)
        sidecar.meter.record_run(task.upstream, elapsed_ms, predicted_ms)
        if sidecar.has_ordinary_speed:
            # Over the steady slowness, so that the product of the expected duration
            # and that slowness remains the measured duration.
            ordinary_ms = round(elapsed_ms / sidecar.steady_ratio)
            self.durations.record_run(queue, task.step, step.estimate_ms, ordinary_ms)
        sidecar.remove_task(task.name)
        task.state = jobs.TaskState.DONE
        job.remaining[task.step] -= 1
        if job.release_siblings(task):
            self._requeue_job(job)
        if job.is_done:
            self._end_job(job, jobevents.Outcome.COMPLETED, "every task is done")
        elif not job.remaining[task.step]:
            job.release_steps()
            self._requeue_job(job)

    def _fail_task(
        self, sidecar: sidecars.Sidecar, task: jobs.Task, now_ms: int
    ) -> None:
        task.failures += 1
        sidecar.record_outcome(True, now_ms)
        cores = task.definition.needs.cpu_millis / 1000
        self.delivery.record_run(cores, now_ms - task.placed_ms, True, now_ms)
        self._log(
            "run failed",
            task.job.request.id,
            task=task.name,
            run=task.run,
            sidecar=sidecar.name,
            failures=task.failures,
        )
        sidecar.remove_task(task.name)
        if task.failures >= task.job.request.queue.max_attempts:
            task.state = jobs.TaskState.DONE
            self._end_job(
                task.job,
                jobevents.Outcome.FAILED,
                f"task {task.name} failed each time",
            )
            return
        task.avoided.add(sidecar.name)
        task.job.requeue_task(task)
        if self._is_suspect(task) and task.job.hold_siblings(task):
            self._log(
                "siblings held",
                task.job.request.id,
                task=task.name,
                held=len(task.job.held),
            )
        self._requeue_job(task.job)

    def _is_suspect(self, task: jobs.Task) -> bool:
        """Return whether a task's failures suggest that its job can't succeed.

        Its failed runs were on different upstreams, as it avoids those that failed it.
        Without a shortage, its siblings cost nobody anything and are not held back.
        """
        queue = task.job.request.queue
        if not self.waiting.is_short(queue.service):
            return False
        return task.failures >= min(SUSPECT_FAILURES, queue.max_attempts - 1)

    def _retry_task(self, task: jobs.Task, report: runmessages.RunReport) -> None:
        """Queue a task again whose run ended without a result."""
        self._log(
            "run over",
            task.job.request.id,
            task=task.name,
            run=task.run,
            sidecar=task.sidecar,
            state=report.state,
            reason=report.reason,
        )
        self.fleet.sidecars[task.sidecar].remove_task(task.name)
        task.job.requeue_task(task)
        self._requeue_job(task.job)

    def _check_progress(
        self,
        sidecar: sidecars.Sidecar,
        task: jobs.Task,
        report: runmessages.RunReport,
        now_ms: int,
    ) -> None:
        """Stop a run on a slow or stalled upstream if a new run would end sooner."""
        queue = task.job.request.queue.name
        estimate_ms = task.definition.estimate_ms
        expected_ms = self.durations.expect_ms(queue, task.step, estimate_ms)
        expected_ms = round(expected_ms * self.fleet.ends.find_spread(task, sidecar))
        if not progress.note_progress(sidecar, task, report, expected_ms, now_ms):
            return
        target = self.fleet.choose(task, {sidecar.name}, now_ms)
        if target is None or target.is_unhealthy(now_ms):
            return
        self._log(
            "run moved",
            task.job.request.id,
            task=task.name,
            run=task.run,
            sidecar=sidecar.name,
            percent=report.percent,
            elapsed_ms=report.elapsed_ms,
            slowness=round(sidecar.relative_slowness, 2),
        )
        sidecar.slow_ms = now_ms
        task.avoided.add(sidecar.name)
        stop = runmessages.StopRuns([task.run_name])
        self._effects.append(effects.Send(sidecar.address, stop))

    # Periodic work.

    def _tick(self, now_ms: int) -> None:
        self._renewals.renew(now_ms)
        if now_ms - self._median_ms >= MEDIAN_INTERVAL_MS:
            self._median_ms = now_ms
            self.fleet.update_median()
        if now_ms - self._checked_ms >= CHECK_INTERVAL_MS:
            self._checked_ms = now_ms
            self._needs_placement = len(self.waiting) > 0
            self._check_sidecars(now_ms)
        self.waiting.advance(now_ms)
        for job in self.waiting.pop_expired(now_ms):
            refused = jobevents.Outcome.REFUSED
            self._end_job(
                job, refused, "waited too long", self._choose_retry_after_ms(now_ms)
            )

    def _check_sidecars(self, now_ms: int) -> None:
        for sidecar in self.fleet.list_members():
            self._retry_lost_tasks(sidecar, now_ms)
            self._settle_unconfirmed(sidecar, now_ms)
        self._renewals.fill(now_ms)
        self._renewals.rebalance(now_ms)
        for service_pool in self.fleet.pools.values():
            service_pool.shrink(now_ms)
        if now_ms - self._cleaned_ms >= CLEANUP_INTERVAL_MS:
            self._cleaned_ms = now_ms
            self._remove_unlisted(now_ms)

    def _remove_unlisted(self, now_ms: int) -> None:
        for name in self.fleet.sidecars.keys() - self._listed:
            sidecar = self.fleet.sidecars[name]
            unresponsive_ms = now_ms - sidecar.received_ms
            if unresponsive_ms > UNLISTED_RETENTION_MS and not sidecar.tasks:
                self.fleet.remove(name)

    def _retry_lost_tasks(self, sidecar: sidecars.Sidecar, now_ms: int) -> None:
        """Queue tasks again whose runs have ended because their lease expired.

        A sidecar counts the lease from its newest report that this gateway received.
        Messages that the gateway has sent since, even if they arrive later, therefore
        do not extend the lease.
        """
        unresponsive_ms = now_ms - sidecar.received_ms
        if unresponsive_ms <= sidecars.RUN_EXPIRY_MS:
            return
        for task in list(sidecar.tasks.values()):
            report = runmessages.RunReport(
                task.run_name,
                "lost",
                f"no message from the sidecar for {unresponsive_ms} ms",
            )
            self._retry_task(task, report)

    def _settle_unconfirmed(self, sidecar: sidecars.Sidecar, now_ms: int) -> None:
        """Send unconfirmed starts again, as a broken connection may have lost them.

        Another incarnation of the sidecar or of its upstream may not suit the task, and
        the start may have been carried out before. Such a start is withdrawn: the task
        is placed anew once the sidecar reports that the run has not and will not start.
        """
        room = sidecar.room
        if room is None or self._is_resuming(now_ms):
            return
        if now_ms - sidecar.received_ms > RESEND_MS:
            return
        lost: dict[str, list[jobs.Task]] = {}
        withdrawn: list[runmessages.RunName] = []
        for task in sidecar.tasks.values():
            if task.is_running or now_ms - task.placed_ms <= RESEND_MS:
                continue
            task.placed_ms = now_ms
            is_same = task.incarnation == sidecar.incarnation
            if is_same and task.upstream == room.upstream:
                lost.setdefault(task.job.request.id, []).append(task)
                continue
            withdrawn.append(task.run_name)
            self._log(
                "run withdrawn",
                task.job.request.id,
                task=task.name,
                run=task.run,
                sidecar=sidecar.name,
                has_restarted=not is_same,
                meant=task.upstream,
                upstream=room.upstream,
            )
        for tasks in lost.values():
            self._send_orders(sidecar, tasks)
        if withdrawn:
            self._send(effects.Send(sidecar.address, runmessages.StopRuns(withdrawn)))

    # Placement.

    def _build_forecast(self, entry: jobqueue.Entry, now_ms: int) -> jobqueue.Forecast:
        """Extrapolate the capacity of a service from the pool members that reported.

        Under a shortage, only capacity that was delivered lately counts.
        """
        service = entry.service
        service_pool = self.fleet.find_pool(service)
        members = service_pool.list_accepting(now_ms)
        scale = service_pool.read_scale_factor()
        if not self.waiting.is_short(service):
            free = scale * pool.sum_free(members)
            capacity = scale * pool.sum_capacity(members).cpu_millis / 1000
            floor = MIN_CORE_SHARE * capacity / self.gateway_count
            rate = max(self.fleet.used_millis / 1000, floor)
            return jobqueue.Forecast(now_ms, rate, FREE_SHARE * free)
        # Tasks are placed on unhealthy ones if there are no others.
        healthy = [item for item in members if not item.is_unhealthy(now_ms)]
        members = healthy or members
        need = max(step.needs.cpu_millis for step in entry.job.request.steps)
        free = scale * delivery.count_usable_cores(members, need)
        capacity = scale * pool.sum_capacity(members).cpu_millis / 1000
        floor = MIN_CORE_SHARE * capacity / self.gateway_count
        rate = max(self._count_working_cores(now_ms), floor)
        rate *= self.delivery.measure_yield(now_ms)
        return jobqueue.Forecast(now_ms, rate, FREE_SHARE * free)

    def _count_working_cores(self, now_ms: int) -> float:
        """Return the number of cores on which this gateway's runs make progress."""
        return delivery.count_working_cores(self.fleet.list_members(), now_ms)

    def _dispatch(self, now_ms: int) -> None:
        """Place waiting tasks in order; a job that does not fit gets a reservation.

        Jobs behind one without a reservation are placed only if the reservations before
        it have known starts, or if no sidecar may run it now whatever is free.
        """
        if not len(self.waiting):
            return
        orders: dict[tuple[str, str], list[jobs.Task]] = {}
        current = placement.Pass(self.fleet, now_ms, self._expect_task_ms)
        skipped = 0
        for entry in self.waiting.list_entries()[:MAX_SCANNED_JOBS]:
            job = entry.job
            placed = self._place_tasks(job, current, orders, now_ms)
            if placed:
                self._requeue_job(job)
            if not job.waiting:
                continue
            service = job.request.queue.service
            self._renewals.grow(self.fleet.find_pool(service), now_ms)
            if job.waiting[-1].is_held:
                # It waits by choice; a reservation would bar others from what is free.
                continue
            if current.reserve(job.waiting[-1]) or current.has_reserved_start(service):
                continue
            skipped += 1
            if skipped > MAX_SKIPPED_JOBS or current.may_run(job.waiting[-1]):
                break
        self._needs_placement = False
        self._note_reservations(current, now_ms)
        for (name, _), tasks in orders.items():
            self._send_orders(self.fleet.sidecars[name], tasks)
        for service in {
            tasks[0].job.request.queue.service for tasks in orders.values()
        }:
            self._ensure_choices(service, now_ms)

    def _note_reservations(self, current: placement.Pass, now_ms: int) -> None:
        """Log the jobs whose reserved sidecar has changed since the last pass."""
        before, self.reserved_jobs = self.reserved_jobs, {}
        for name, reservation in current.reserved.items():
            self.reserved_jobs[reservation.job] = name
            if before.get(reservation.job) == name or reservation.start_ms is None:
                continue
            sidecar = self.fleet.sidecars[name]
            self._log(
                "sidecar reserved",
                reservation.job,
                sidecar=name,
                start_in_ms=reservation.start_ms - now_ms,
                room_age_ms=now_ms - sidecar.reported_ms,
            )

    def _note_gap(
        self,
        task: jobs.Task,
        sidecar: sidecars.Sidecar,
        reservation: placement.Reservation,
        now_ms: int,
    ) -> None:
        """Count and log a task that is placed on a sidecar reserved for another job."""
        if reservation.start_ms is None:
            return
        self.gap_starts += 1
        self._log(
            "gap used",
            task.job.request.id,
            task=task.name,
            sidecar=sidecar.name,
            reserved_for=reservation.job,
            start_in_ms=reservation.start_ms - now_ms,
            expected_ms=self._expect_task_ms(task),
            room_age_ms=now_ms - sidecar.reported_ms,
        )

    def _ensure_choices(self, service: str, now_ms: int) -> None:
        """Add members once few are left with free capacity for a typical task."""
        service_pool = self.fleet.find_pool(service)
        if len(service_pool.members) >= len(service_pool):
            return
        need = self._last_needs.get(service, resources.NONE)
        fitting = sum(
            resources.fits(need, item.free)
            for item in service_pool.list_accepting(now_ms)
        )
        if fitting < MIN_CHOICES:
            self._renewals.grow(service_pool, now_ms)

    def _place_tasks(
        self,
        job: jobs.Job,
        current: placement.Pass,
        orders: dict[tuple[str, str], list[jobs.Task]],
        now_ms: int,
    ) -> int:
        placed = 0
        held: list[jobs.Task] = []
        self.fleet.ends.begin_pass(current, self.gateway_count, now_ms)
        while job.waiting:
            task = job.waiting[-1]
            task.is_held = False
            if self.fleet.ends.should_hold(task, now_ms):
                task.is_held = True
                sidecar = None
            else:
                sidecar = current.choose(task)
            if sidecar is None and task.is_held:
                held.append(job.waiting.pop())
                self._note_held(task, now_ms)
                continue
            if sidecar is None:
                break
            job.waiting.pop()
            self._mark_placed(task, sidecar, now_ms)
            reservation = current.reserved.get(sidecar.name)
            if reservation is not None:
                self._note_gap(task, sidecar, reservation, now_ms)
            orders.setdefault((sidecar.name, job.request.id), []).append(task)
            placed += 1
        job.waiting[:0] = held
        return placed

    def _mark_placed(
        self, task: jobs.Task, sidecar: sidecars.Sidecar, now_ms: int
    ) -> None:
        """Record that the next `StartRuns` to a sidecar starts a task."""
        task.state = jobs.TaskState.PLACED
        task.run += 1
        task.sidecar = sidecar.name
        task.incarnation = sidecar.incarnation
        task.upstream = sidecar.room.upstream if sidecar.room else ""
        task.placed_ms = now_ms
        task.start_number = sidecar.started + 1
        task.is_running = False
        self._note_slower(task, sidecar, now_ms)
        sidecar.add_task(task)
        self._last_needs[task.job.request.queue.service] = task.definition.needs
        if sidecar.gets_tries(now_ms):
            sidecar.failed_ms = now_ms
        if sidecar.relative_slowness >= sidecars.SLOW_RATIO:
            sidecar.slow_ms = now_ms
        task.job.is_dispatched = True

    def _note_held(self, task: jobs.Task, now_ms: int) -> None:
        """Log a task that begins to wait for a better sidecar than the free ones."""
        if task.held_ms >= 0:
            return
        task.held_ms = now_ms
        hold = self.fleet.ends.last_hold
        self._log(
            "run held",
            task.job.request.id,
            task=task.name,
            run=task.run + 1,
            rack=task.definition.data_rack,
            wait_ms=hold.wait_ms,
            saved_ms=hold.saved_ms,
        )

    def _note_slower(
        self, task: jobs.Task, sidecar: sidecars.Sidecar, now_ms: int
    ) -> None:
        """Log a task that is placed where it is expected to take longer."""
        ends = self.fleet.ends
        spread_factor = ends.find_spread(task, sidecar)
        if max(sidecar.steady_ratio, spread_factor) < expectedends.NEAR_RATIO:
            return
        estimate = ends.estimate(task, now_ms)
        self._log(
            "run away" if spread_factor > 1 else "run on slow upstream",
            task.job.request.id,
            task=task.name,
            run=task.run,
            sidecar=sidecar.name,
            slowness=round(sidecar.steady_ratio, 2),
            expected_ms=estimate.expected_ms,
            max_ratio=round(estimate.max_ratio, 2),
            held_ms=now_ms - task.held_ms if task.held_ms >= 0 else 0,
            room_age_ms=now_ms - sidecar.reported_ms,
        )

    def _send_orders(self, sidecar: sidecars.Sidecar, tasks: list[jobs.Task]) -> None:
        if sidecar.room is None:
            return
        sidecar.started += 1
        orders = [self._build_order(task) for task in tasks]
        message = runmessages.StartRuns(
            sidecar.started,
            sidecar.room.upstream,
            tasks[0].job.request.spec,
            orders,
            sidecar.acknowledge(),
        )
        self._effects.append(effects.Send(sidecar.address, message))
        for task in tasks:
            self._log(
                "run sent",
                task.job.request.id,
                task=task.name,
                run=task.run,
                sidecar=sidecar.name,
                room=sidecar.room.number,
            )

    def _build_order(self, task: jobs.Task) -> runmessages.RunOrder:
        sidecar = self.fleet.sidecars[task.sidecar]
        spread_ratio = self.fleet.ends.find_spread(task, sidecar)
        expected_ms = round(self._expect_task_ms(task) * spread_ratio)
        needs = task.definition.needs
        return runmessages.RunOrder(task.run_name, needs, expected_ms=expected_ms)

    def _expect_task_ms(self, task: jobs.Task) -> int:
        """Return the expected duration of a task in ms, on an ordinary upstream."""
        queue = task.job.request.queue.name
        return self.durations.predict_ms(queue, task.step, task.definition.estimate_ms)

    def _send(self, send: effects.Send) -> None:
        self._effects.append(send)

    def _log(self, event: str, job: str = "", **details: str | int | float) -> None:
        self._effects.append(jobevents.LogRecord(event, job, tuple(details.items())))
