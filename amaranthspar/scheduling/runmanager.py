"""Decides in a sidecar which runs start, continue and stop on its upstream.

A start that the upstream does not answer is unconfirmed: its outcome is not known.
Unless the upstream lists the run meanwhile, the sidecar stops it by name, which also
blocks the run from starting on that incarnation of the upstream. Only then is the
gateway informed that the run did not start, so that the task is not started elsewhere
too early.
"""

import itertools

from amaranthspar.scheduling import (
    orderqueue,
    releases,
    resources,
    runevents,
    slownessmeter,
)
from amaranthspar.schema import runmessages

GATEWAY_LEASE_MS = 800
"""Age of the newest report that a gateway has acknowledged beyond which its runs are
stopped and its orders refused. It is below the 1.3 s after which a caller resends.
Delayed messages acknowledge only old reports, so they do not renew the lease."""
RUN_LEASE_MS = 1_100
"""Age of the newest report that a gateway has acknowledged beyond which its runs get no
lease on the upstream, whether stops reach the upstream or not; and the time for which
runs that are to stop get one. It is below the 1.3 s after which a caller resends, with a
margin for an upstream whose clock is 2% slow."""
MAX_REPORT_TIMES = 256
"""Send times of reports kept per gateway: more than the reports of one second."""
LOWER_INCARNATION_SILENCE_MS = 500
"""Time without messages from a gateway after which a lower incarnation is accepted as a
new process. A process takes longer than this to restart."""
STOP_COMPLETION_MS = 70
"""Time after a confirmed stop by which the run has ended, whether the upstream lists
the end or not: the platform's limit of 50 ms and two ticks."""
LIST_WAIT_STOPPED_MS = 5
"""Wait of a list request once a stop is confirmed; such a request renews the lease and
is answered as soon as a run ends or after the wait. A run that is missing from the next
list has ended, so its task can start elsewhere before `STOP_COMPLETION_MS` have
passed."""
LIST_WAIT_UNANSWERED_MS = 20
"""Wait of a list request while such requests are left unanswered: if this one is lost
too, no end is received until the next request."""
UNANSWERED_WINDOW_MS = 3_000
"""Time for which an unanswered list request shortens the wait. If one request in twenty
is unanswered, several fall into this time."""
LIST_WAIT_BUSY_MS = 150
"""Longest wait of a list request while there are runs. Progress is updated at this
interval; an end is listed at once."""
LIST_WAIT_IDLE_MS = 300
"""Wait of a list request while there are no runs. Three renewals fit into the shortest
lease of 1 s."""
RETENTION_MS = 10_000
"""Time for which final reports, blocked run numbers and unresponsive gateways are kept;
above the delay of any late message."""
MIN_PROGRESS_AGE_MS = 60
"""Elapsed time of a run from which its progress indicates its speed."""
CAPACITY_REPORT_INTERVAL_MS = 10
"""Shortest time between two reports of changed free capacity to gateways with waiting
tasks. The gateways take turns, so that they do not all send tasks to the same
capacity."""
MAX_REPORT_DELAY_MS = 200
"""Longest delay of a report that needs no action, so that it can be sent with others.
It is the interval of a gateway's renewals, whose answers carry the report. A gateway
sends a start again if no report of it arrives for 300 ms."""
DEFERRABLE_STATES = frozenset({"started"})
"""States of runs whose reports may be delayed."""
NO_ROOM = "no room"
"""Reason of a refusal for lack of free capacity."""
UNKNOWN_UPSTREAM_MS = 3_000
"""Time after which runs on an upstream of which nothing is known have ended: its
longest lease of 1 s is over, and two of its heartbeats are missing, so that it is not a
restarted one either, which may have carried out a start in transit."""
MIN_START_LEASE_MS = 120
"""Shortest lease that a start may give. A start leases all runs of the upstream, so
none is sent while less is left for one of them."""
UNHEALTHY_PAUSE_MS = 500
"""Time without starts after the upstream refused one as unhealthy."""
MAX_TICK_INTERVAL_MS = 1_000
"""Longest time between two checks for expired entries."""


class RunManager:
    """Manages the runs that gateways request on one upstream.

    Args:
        service: Service of the upstream.
        failure_domain: Failure domain of the upstream.
        first_number: Lower bound of this process's report numbers, above all those of
            its previous incarnations.
    """

    def __init__(
        self, service: str, failure_domain: str, first_number: int = 0
    ) -> None:
        self.runs: dict[str, runevents.Run] = {}
        self.gateways: dict[str, runevents.Gateway] = {}
        self.upstream: runevents.UpstreamKnown | None = None
        self.is_leaving = False
        self.is_domain_out = False
        self._service = service
        self._failure_domain = failure_domain
        # By task: the highest run number that may not start and the time of its block.
        self._blocked_runs: dict[str, tuple[int, int]] = {}
        # By run: the time at which it ended or was refused, and its final report.
        self._final_reports: dict[
            runmessages.RunName, tuple[int, runmessages.RunReport]
        ] = {}
        self._report_number = first_number
        self._cached_free: runmessages.Resources | None = None
        self._predictor = releases.Predictor()
        self._queue = orderqueue.OrderQueue()
        self._capacity_report_ms = 0
        self._unhealthy_until_ms = 0
        self._slowness = slownessmeter.SlownessMeter()
        self._unanswered_list_ms = -UNANSWERED_WINDOW_MS
        # Whether the upstream's list has shown that no earlier run is left on it.
        self._is_reconciled = False
        # Whether no run of this process's predecessor is left, so that a run unknown
        # to this process has not started.
        self._has_taken_over = False
        self._started_ms: int | None = None
        self._effects: list[runevents.Effect] = []

    def step(self, event: runevents.Event, now_ms: int) -> list[runevents.Effect]:
        """Process an event.

        Args:
            event: Event to process.
            now_ms: Monotonic time in ms.

        Returns:
            Effects to carry out, in order.
        """
        self._check_takeover(now_ms)
        match event:
            case runevents.Asked(sender=sender, message=message):
                self._handle_message(sender, message, now_ms)
            case runevents.UpstreamKnown():
                self._update_upstream(event, now_ms)
            case runevents.UpstreamGone(reason=reason, asked_ms=asked_ms):
                self._end_lost_runs(reason, asked_ms, now_ms)
            case runevents.StartAnswered(name=name, answer=answer):
                self._handle_start_answer(name, answer, now_ms)
            case runevents.StopAnswered():
                self._handle_stop_answer(event, now_ms)
            case runevents.Listed():
                self._handle_list(event, now_ms)
            case runevents.Unlisted():
                self._unanswered_list_ms = now_ms
            case runevents.DomainChanged(is_out=is_out):
                if is_out is not self.is_domain_out:
                    self.is_domain_out = is_out
                    self._report_to_all()
            case runevents.Leave():
                self.is_leaving = True
                self._report_to_all()
            case runevents.Tick():
                self._tick(now_ms)
        self._serve_queue(now_ms)
        self._send_reports(now_ms)
        effects, self._effects = self._effects, []
        return effects

    def _check_takeover(self, now_ms: int) -> None:
        if self._has_taken_over:
            return
        if self._started_ms is None:
            self._started_ms = now_ms
        passed_ms = now_ms - self._started_ms
        self._has_taken_over = passed_ms > UNKNOWN_UPSTREAM_MS and not self.runs

    def find_due_ms(self, now_ms: int) -> int:
        """Return the latest time of the next tick, in ms.

        Args:
            now_ms: Monotonic time in ms.
        """
        due_ms = now_ms + MAX_TICK_INTERVAL_MS
        for gateway in self.gateways.values():
            if gateway.reports:
                due_ms = min(due_ms, gateway.last_report_ms + MAX_REPORT_DELAY_MS)
            if self._is_capacity_report_due(gateway):
                due_ms = min(
                    due_ms, self._capacity_report_ms + CAPACITY_REPORT_INTERVAL_MS
                )
        for waiting in self._queue.list_orders():
            due_ms = min(due_ms, waiting.until_ms)
        for run in self.runs.values():
            owner = self.gateways.get(run.gateway)
            if run.stop_confirmed_ms >= 0:
                due_ms = min(due_ms, run.stop_confirmed_ms + STOP_COMPLETION_MS + 1)
            elif run.state is runevents.RunState.UNCONFIRMED:
                if self.upstream is None:
                    due_ms = min(due_ms, run.requested_ms + UNKNOWN_UPSTREAM_MS + 1)
            elif owner is not None and run.state is not runevents.RunState.STOPPING:
                due_ms = min(due_ms, owner.acknowledged_ms + GATEWAY_LEASE_MS + 1)
        return max(due_ms, now_ms + 1)

    def find_list_wait_ms(self, now_ms: int) -> int:
        """Return how long the upstream may delay its list until a run ends, in ms.

        Args:
            now_ms: Monotonic time in ms.
        """
        if not self.runs:
            return LIST_WAIT_IDLE_MS
        if any(run.stop_confirmed_ms >= 0 for run in self.runs.values()):
            return LIST_WAIT_STOPPED_MS
        has_unanswered = now_ms - self._unanswered_list_ms < UNANSWERED_WINDOW_MS
        return LIST_WAIT_UNANSWERED_MS if has_unanswered else LIST_WAIT_BUSY_MS

    def find_lease_ms(self, now_ms: int) -> int | None:
        """Return for how long the upstream may lease its runs; None without a limit.

        One lease covers all runs of an upstream, so the gateway that was silent longest
        limits it. Nobody leases runs that this process did not start. A lease can't be
        shortened, so a gateway whose order may be under way counts as well.

        Args:
            now_ms: Monotonic time in ms.
        """
        oldest_ms = now_ms - GATEWAY_LEASE_MS
        ends_ms = [self._find_lease_end_ms(run, now_ms) for run in self.runs.values()]
        for gateway in self.gateways.values():
            alive_ms = gateway.find_evidence_ms(oldest_ms)
            if alive_ms >= 0:
                ends_ms.append(alive_ms + RUN_LEASE_MS)
        return max(min(ends_ms) - now_ms, 0) if ends_ms else None

    def _find_lease_end_ms(self, run: runevents.Run, now_ms: int) -> int:
        if run.lease_limit_ms >= 0:
            return run.lease_limit_ms
        owner = self.gateways.get(run.gateway)
        return now_ms if owner is None else owner.acknowledged_ms + RUN_LEASE_MS

    @property
    def refusal_reason(self) -> str:
        """Why every start is refused; empty if runs may start."""
        if self.upstream is None or not self._is_reconciled:
            return "no upstream"
        if self.is_leaving:
            return "sidecar is stopping"
        if self.upstream.is_leaving:
            return "upstream is leaving"
        if self.is_domain_out:
            return "failure domain is out of service"
        return ""

    @property
    def slowness_permille(self) -> int:
        """Measured over expected duration of runs, in thousandths; 0 if unknown."""
        return self._slowness.permille

    def read_free(self) -> runmessages.Resources:
        """Return the capacity that no run occupies."""
        if self.upstream is None:
            return resources.NONE
        if self._cached_free is None:
            used = resources.total(run.needs for run in self.runs.values())
            self._cached_free = resources.subtract(self.upstream.capacity, used)
        return self._cached_free

    def read_offered(self) -> runmessages.Resources:
        """Return the capacity that neither runs nor queued orders occupy."""
        return self._find_remaining(self._queue.needs)

    def _find_remaining(self, reserved: runmessages.Resources) -> runmessages.Resources:
        """Return the free capacity less a reservation, at least zero."""
        return resources.clip(resources.subtract(self.read_free(), reserved))

    # Messages from gateways.

    def _handle_message(
        self,
        sender: runevents.Sender,
        message: runmessages.StartRuns | runmessages.StopRuns | runmessages.KeepRuns,
        now_ms: int,
    ) -> None:
        gateway = self._register_sender(sender, now_ms)
        if gateway is None:
            return
        match message:
            case runmessages.StartRuns():
                gateway.acknowledge(message.heard)
                gateway.last_start = max(gateway.last_start, message.number)
                for order in message.orders:
                    self._handle_order(gateway, message, order, now_ms)
                gateway.has_capacity_changed = True
            case runmessages.StopRuns():
                for name in message.names:
                    self._stop_named(gateway, name, now_ms)
            case runmessages.KeepRuns():
                self._renew(gateway, message, now_ms)

    def _register_sender(
        self, sender: runevents.Sender, now_ms: int
    ) -> runevents.Gateway | None:
        """Return the sender's gateway; None for a message of an earlier incarnation."""
        gateway = self.gateways.get(sender.name)
        if gateway is not None and self._is_stale_sender(gateway, sender, now_ms):
            return None
        if gateway is None or gateway.incarnation != sender.incarnation:
            if gateway is not None:
                self._stop_gateway_runs(gateway, "gateway has restarted", now_ms)
            # Orders are refused until the gateway acknowledges a report of this
            # process.
            acknowledged_ms = now_ms - GATEWAY_LEASE_MS - 1
            gateway = runevents.Gateway(
                sender.name, sender.incarnation, sender.address, now_ms, acknowledged_ms
            )
            self.gateways[sender.name] = gateway
        gateway.last_message_ms = now_ms
        gateway.address = sender.address
        return gateway

    @staticmethod
    def _is_stale_sender(
        gateway: runevents.Gateway, sender: runevents.Sender, now_ms: int
    ) -> bool:
        """Return whether a message is from an earlier incarnation of the gateway.

        A new process has a lower incarnation if the wall clock was set back, so a lower
        one is accepted once the known incarnation has sent nothing for a while.
        """
        is_lower = sender.incarnation < gateway.incarnation
        return (
            is_lower and now_ms - gateway.last_message_ms < LOWER_INCARNATION_SILENCE_MS
        )

    def _handle_order(
        self,
        gateway: runevents.Gateway,
        message: runmessages.StartRuns,
        order: runmessages.RunOrder,
        now_ms: int,
    ) -> None:
        name = order.name
        current = self.runs.get(name.task)
        if current is not None and current.name == name:
            if current.gateway != gateway.name:
                self._leave_open(name, "run of another gateway")
            elif current.state is runevents.RunState.RUNNING:
                gateway.reports.append(runmessages.RunReport(name, "started"))
            return
        waiting = self._queue.find(name.task)
        if waiting is not None and waiting.order.name == name:
            return
        if name in self._final_reports:
            gateway.reports.append(self._final_reports[name][1])
            return
        if not self._has_taken_over:
            self._leave_open(name, "previous process may have started it")
            return
        if current is not None or waiting is not None:
            self._leave_open(name, "another run of the task has not ended")
            return
        state: runevents.ReportState = "refused"
        reason = self._find_blocking_run(name)
        if reason:
            state = "stale"
        if not reason:
            reason = self._find_refusal(gateway, message, now_ms)
        has_room = resources.fits(order.needs, self.read_offered())
        if not reason and not has_room and self._queue.is_full:
            reason = NO_ROOM
        if reason:
            self._refuse_order(gateway.name, name, state, reason, now_ms)
            return
        gateway.expected_free = resources.subtract(gateway.expected_free, order.needs)
        self._queue.add(gateway.name, message, order, now_ms)

    def _serve_queue(self, now_ms: int) -> None:
        """Start queued orders that fit, in order, and refuse those that expired."""
        reserved = resources.NONE
        lease_ms = self.find_lease_ms(now_ms)
        is_leased = lease_ms is None or lease_ms >= MIN_START_LEASE_MS
        for waiting in self._queue.list_orders():
            order = waiting.order
            gateway = self.gateways.get(waiting.gateway)
            reason = self._find_refusal(gateway, waiting.message, now_ms)
            has_turn = is_leased and resources.fits(
                order.needs, self._find_remaining(reserved)
            )
            if not reason and not has_turn and now_ms >= waiting.until_ms:
                reason = NO_ROOM
            if reason:
                self._refuse_queued(waiting, reason, now_ms)
            elif has_turn:
                self._queue.remove(order.name.task)
                self._start_run(waiting, now_ms)
            else:
                reserved = resources.add(reserved, order.needs)

    def _start_run(self, waiting: orderqueue.WaitingOrder, now_ms: int) -> None:
        order, message = waiting.order, waiting.message
        self.runs[order.name.task] = runevents.Run(
            order.name,
            waiting.gateway,
            order.needs,
            message.upstream,
            now_ms,
            expected_ms=order.expected_ms,
        )
        self._cached_free = None
        self._effects.append(
            runevents.CallStart(order, message.spec, message.upstream, now_ms)
        )

    def _refuse_order(
        self,
        gateway: str,
        name: runmessages.RunName,
        state: runevents.ReportState,
        reason: str,
        now_ms: int,
    ) -> None:
        """Refuse an order permanently, including any later duplicate of it."""
        self._record_final(gateway, runmessages.RunReport(name, state, reason), now_ms)
        self._effects.append(
            runevents.LogDecision("start refused", name.task, name.run, reason)
        )

    def _record_final(
        self, gateway: str, report: runmessages.RunReport, now_ms: int
    ) -> None:
        """Block a run, report its final state and keep the report for duplicates."""
        self._block_run(report.name, now_ms)
        self._final_reports[report.name] = (now_ms, report)
        self._add_report(gateway, report)

    def _find_refusal(
        self,
        gateway: runevents.Gateway | None,
        message: runmessages.StartRuns,
        now_ms: int,
    ) -> str:
        """Return why orders of a message cannot start at present; empty if they can."""
        reason = self.refusal_reason
        if reason:
            return reason
        if self.upstream is None or message.upstream != self.upstream.incarnation:
            return "another upstream was meant"
        if now_ms < self._unhealthy_until_ms:
            return runevents.Answer.UNHEALTHY.value
        # The lease alone is not enough: messages that acknowledge newer reports may
        # have overtaken this order.
        reported_ms = (
            None if gateway is None else gateway.report_times_ms.get(message.heard)
        )
        if reported_ms is None or now_ms - reported_ms > GATEWAY_LEASE_MS:
            return "order is based on an old statement of room"
        return ""

    def _find_blocking_run(self, name: runmessages.RunName) -> str:
        """Return the highest run number that blocks a run; empty if none does."""
        blocked = self._blocked_runs.get(name.task, (0, 0))[0]
        return str(blocked) if blocked >= name.run else ""

    def _leave_open(self, name: runmessages.RunName, reason: str) -> None:
        """Neither start nor refuse a run: a refusal would let it start elsewhere.

        Its gateway sends the order again, or names the run in a renewal.
        """
        self._effects.append(
            runevents.LogDecision("start left open", name.task, name.run, reason)
        )

    def _stop_named(
        self, gateway: runevents.Gateway, name: runmessages.RunName, now_ms: int
    ) -> None:
        run = self.runs.get(name.task)
        if run is not None and run.name == name and run.gateway == gateway.name:
            self._stop_run(run, "gateway asked", now_ms)
            return
        waiting = self._queue.find(name.task)
        if waiting is not None and waiting.order.name == name:
            self._refuse_queued(waiting, "gateway asked", now_ms)
        elif name in self._final_reports:
            gateway.reports.append(self._final_reports[name][1])
        elif run is None and self._has_taken_over:
            self._refuse_unknown(gateway, name, now_ms)

    def _refuse_queued(
        self, waiting: orderqueue.WaitingOrder, reason: str, now_ms: int
    ) -> None:
        """Refuse an order that is queued."""
        self._queue.remove(waiting.order.name.task)
        self._refuse_order(
            waiting.gateway, waiting.order.name, "refused", reason, now_ms
        )
        self._mark_capacity_changed()

    def _refuse_unknown(
        self, gateway: runevents.Gateway, name: runmessages.RunName, now_ms: int
    ) -> None:
        """Block a run whose order has not arrived, so that it cannot start late."""
        report = runmessages.RunReport(name, "refused", "order did not arrive")
        self._record_final(gateway.name, report, now_ms)

    def _renew(
        self, gateway: runevents.Gateway, message: runmessages.KeepRuns, now_ms: int
    ) -> None:
        """Renew a gateway's lease and stop its runs that the renewal does not name."""
        if message.number <= gateway.last_renewal:
            return
        gateway.last_renewal = message.number
        gateway.acknowledge(message.heard)
        gateway.is_waiting = message.is_waiting
        gateway.is_report_due = True
        named = set(message.names)
        for run in list(self.runs.values()):
            if run.gateway == gateway.name and run.name not in named:
                self._stop_run(run, "gateway does not count on it", now_ms)
        for waiting in self._queue.list_orders(gateway.name):
            if waiting.order.name not in named:
                self._refuse_queued(waiting, "gateway does not count on it", now_ms)
        if message.started > gateway.last_start:
            # Orders that were sent before this renewal are still in transit, on a
            # connection that has been replaced.
            return
        for name in message.names:
            queued = self._queue.find(name.task)
            if queued is not None and queued.order.name == name:
                continue
            if name in self._final_reports:
                gateway.reports.append(self._final_reports[name][1])
            elif name.task not in self.runs and self._has_taken_over:
                self._refuse_unknown(gateway, name, now_ms)

    # Statements, answers and lists of the upstream.

    def _update_upstream(self, statement: runevents.UpstreamKnown, now_ms: int) -> None:
        previous = self.upstream
        if previous is None or previous.incarnation != statement.incarnation:
            # The list of this incarnation settles the runs of the previous one.
            self._is_reconciled = False
            self._unhealthy_until_ms = now_ms
            self._slowness.set_incarnation(statement.incarnation)
        if previous != statement:
            self.upstream = statement
            self._report_to_all()

    def _handle_start_answer(
        self, name: runmessages.RunName, answer: runevents.Answer, now_ms: int
    ) -> None:
        run = self.runs.get(name.task)
        if run is None or run.name != name:
            return
        match answer:
            case runevents.Answer.ACCEPTED:
                self._confirm_start(run, now_ms)
            case runevents.Answer.UNKNOWN if run.state is runevents.RunState.STARTING:
                run.state = runevents.RunState.UNCONFIRMED
                self._effects.append(runevents.CallStop(name, "start was not answered"))
            case runevents.Answer.UNKNOWN:
                pass
            case _:
                if answer is runevents.Answer.UNHEALTHY:
                    self._unhealthy_until_ms = now_ms + UNHEALTHY_PAUSE_MS
                if answer is runevents.Answer.STALE:
                    self._finish_run(run, "stale", str(name.run), now_ms)
                else:
                    self._finish_run(run, "refused", answer.value, now_ms)

    def _confirm_start(self, run: runevents.Run, now_ms: int) -> None:
        if run.is_confirmed:
            return
        run.start_confirmed_ms = now_ms
        if run.state in (runevents.RunState.STARTING, runevents.RunState.UNCONFIRMED):
            run.state = runevents.RunState.RUNNING
            self._add_report(run.gateway, runmessages.RunReport(run.name, "started"))

    def _handle_stop_answer(self, event: runevents.StopAnswered, now_ms: int) -> None:
        name, answer = event.name, event.answer
        run = self.runs.get(name.task)
        if run is None or run.name != name:
            return
        current = "" if self.upstream is None else self.upstream.incarnation
        if event.upstream and current and event.upstream != current:
            # A former incarnation has answered. The current one knows of no stop.
            answer = runevents.Answer.UNKNOWN
        match answer:
            case runevents.Answer.ACCEPTED:
                run.stop_confirmed_ms = now_ms
                if run.state is runevents.RunState.UNCONFIRMED and not run.is_confirmed:
                    run.state = runevents.RunState.STOPPING
                    run.stop_reason = "start was not answered"
            case runevents.Answer.REPLACED:
                self._finish_run(run, "lost", answer.value, now_ms)
            case _:
                self._effects.append(
                    runevents.CallStop(name, run.stop_reason or "stop was not answered")
                )

    def _handle_list(self, listed: runevents.Listed, now_ms: int) -> None:
        for end in listed.ends:
            ended = self.runs.get(end.name.task)
            if ended is not None and ended.name == end.name:
                self._finish_run(
                    ended, *_find_final_state(end, ended), now_ms, end.saved
                )
        running = {item.name: item for item in listed.running}
        for run in list(self.runs.values()):
            item = running.pop(run.name, None)
            if self._is_of_predecessor(run):
                self._settle_predecessor_run(run, item is not None, now_ms)
            elif item is not None:
                run.percent = item.percent
                run.listed_ms = now_ms
                self._confirm_start(run, now_ms)
            elif self._has_ended(run, listed.asked_ms):
                self._finish_unlisted(run, now_ms)
        for name in running:
            self._stop_unowned(name, now_ms)
        if not self._is_reconciled and not self.runs:
            self._is_reconciled = True
            self._has_taken_over = True
            self._report_to_all()

    def _is_of_predecessor(self, run: runevents.Run) -> bool:
        """Return whether a start was decided for an earlier incarnation."""
        return (
            bool(run.upstream)
            and self.upstream is not None
            and run.upstream != self.upstream.incarnation
        )

    def _settle_predecessor_run(
        self, run: runevents.Run, is_listed: bool, now_ms: int
    ) -> None:
        """Settle a run whose start was decided for an earlier incarnation.

        An upstream that restarts under its name may carry out such a start. A run that
        it does not list has ended or cannot start, as the request for the list had a
        higher fencing token.
        """
        if not is_listed:
            self._finish_run(run, "lost", "upstream has restarted", now_ms)
            return
        if not run.is_confirmed:
            run.start_confirmed_ms = now_ms
        if self.upstream is not None:
            run.upstream = self.upstream.incarnation
        # A stop that the earlier incarnation has confirmed does not count here.
        run.stop_confirmed_ms = -1
        run.state = runevents.RunState.RUNNING
        self._stop_run(run, "upstream has restarted", now_ms)

    def _has_ended(self, run: runevents.Run, asked_ms: int) -> bool:
        """Return whether a run missing from a list has ended or cannot start."""
        if run.stop_confirmed_ms >= 0:
            return asked_ms > run.stop_confirmed_ms
        is_start_pending = run.state in (
            runevents.RunState.STARTING,
            runevents.RunState.UNCONFIRMED,
        )
        return (
            not is_start_pending
            and run.is_confirmed
            and asked_ms > run.start_confirmed_ms
        )

    def _finish_unlisted(self, run: runevents.Run, now_ms: int) -> None:
        if run.is_confirmed:
            self._finish_run(
                run, "stopped" if run.stop_reason else "lost", run.stop_reason, now_ms
            )
        else:
            self._finish_run(run, "refused", run.stop_reason or "never started", now_ms)

    def _stop_unowned(self, name: runmessages.RunName, now_ms: int) -> None:
        """Stop a listed run that no gateway requested from this process."""
        if name.task in self.runs:
            return
        run = runevents.Run(
            name, "", resources.NONE, "", now_ms, runevents.RunState.RUNNING
        )
        run.start_confirmed_ms = now_ms
        self.runs[name.task] = run
        self._stop_run(run, "no gateway counts on it", now_ms)

    def _add_progress(self, gateway: runevents.Gateway, now_ms: int) -> None:
        """Add the progress of a gateway's runs to its reports."""
        for run in self.runs.values():
            if run.gateway != gateway.name:
                continue
            # Time up to the list: the current time would make the run look slow.
            elapsed_ms = run.listed_ms - run.requested_ms
            if (
                run.state is runevents.RunState.RUNNING
                and elapsed_ms >= MIN_PROGRESS_AGE_MS
            ):
                gateway.reports.append(
                    runmessages.RunReport(
                        run.name, "running", "", elapsed_ms, run.percent
                    )
                )

    # Ends of runs, reports and expiry.

    def _stop_run(self, run: runevents.Run, reason: str, now_ms: int) -> None:
        if run.state is runevents.RunState.STOPPING:
            return
        run.stop_reason = reason
        # Neither its gateway nor a restarted one of that name extends the lease now.
        limit_ms = min(self._find_lease_end_ms(run, now_ms), now_ms + RUN_LEASE_MS)
        run.lease_limit_ms = max(limit_ms, 0)
        run.state = runevents.RunState.STOPPING
        self._effects.append(runevents.CallStop(run.name, reason))
        self._effects.append(
            runevents.LogDecision("run stopped", run.name.task, run.name.run, reason)
        )

    def _stop_gateway_runs(
        self, gateway: runevents.Gateway, reason: str, now_ms: int
    ) -> None:
        for waiting in self._queue.list_orders(gateway.name):
            self._refuse_queued(waiting, reason, now_ms)
        for run in list(self.runs.values()):
            if run.gateway == gateway.name:
                self._stop_run(run, reason, now_ms)

    def _end_lost_runs(self, reason: str, asked_ms: int | None, now_ms: int) -> None:
        """End the confirmed runs of a lost upstream.

        Starts in transit may still reach its next incarnation.
        """
        for run in list(self.runs.values()):
            if run.is_confirmed:
                if asked_ms is None or run.start_confirmed_ms < asked_ms:
                    self._finish_run(run, "lost", reason, now_ms)
            elif run.state is runevents.RunState.STARTING:
                run.state = runevents.RunState.UNCONFIRMED
                self._effects.append(runevents.CallStop(run.name, reason))
        self._is_reconciled = False
        self.upstream = None
        self._report_to_all()

    def _finish_run(
        self,
        run: runevents.Run,
        state: runevents.ReportState,
        reason: str,
        now_ms: int,
        saved: str = "",
    ) -> None:
        """Remove a run and report its final state."""
        del self.runs[run.name.task]
        report = runmessages.RunReport(
            run.name, state, reason, now_ms - run.requested_ms, run.percent, saved
        )
        self._record_final(run.gateway, report, now_ms)
        if state == "done":
            elapsed_ms = now_ms - run.requested_ms
            self._slowness.record_run(run.upstream, elapsed_ms, run.expected_ms)
        if state not in ("done", "failed"):
            effect = runevents.LogDecision(
                f"run {state}", run.name.task, run.name.run, reason
            )
            self._effects.append(effect)
        self._mark_capacity_changed()

    def _block_run(self, name: runmessages.RunName, now_ms: int) -> None:
        """Block starts of a run and of earlier runs of its task."""
        highest = max(self._blocked_runs.get(name.task, (0, 0))[0], name.run)
        self._blocked_runs[name.task] = (highest, now_ms)

    def _add_report(self, gateway: str, report: runmessages.RunReport) -> None:
        receiver = self.gateways.get(gateway)
        if receiver is not None:
            receiver.reports.append(report)

    def _mark_capacity_changed(self) -> None:
        """Mark changed free capacity to be reported to gateways with waiting tasks."""
        self._cached_free = None
        for gateway in self.gateways.values():
            gateway.has_capacity_changed = True

    def _report_to_all(self) -> None:
        """Report to every gateway at once: starts became possible or impossible."""
        self._cached_free = None
        for gateway in self.gateways.values():
            gateway.is_report_due = True

    def _tick(self, now_ms: int) -> None:
        for gateway in list(self.gateways.values()):
            age_ms = now_ms - gateway.acknowledged_ms
            if age_ms > GATEWAY_LEASE_MS:
                reason = f"gateway heard nothing for {age_ms} ms"
                self._stop_gateway_runs(gateway, reason, now_ms)
            if now_ms - gateway.last_message_ms > RETENTION_MS:
                del self.gateways[gateway.name]
        for run in list(self.runs.values()):
            if (
                run.stop_confirmed_ms >= 0
                and now_ms - run.stop_confirmed_ms > STOP_COMPLETION_MS
            ):
                self._finish_unlisted(run, now_ms)
                continue
            is_start_expired = now_ms - run.requested_ms > UNKNOWN_UPSTREAM_MS
            if not run.is_confirmed and is_start_expired and self.upstream is None:
                self._finish_run(run, "lost", "upstream has gone", now_ms)
        self._expire_old(now_ms - RETENTION_MS)

    def _expire_old(self, oldest_ms: int) -> None:
        """Delete expired entries kept for late messages, which are in order of age."""
        while self._final_reports:
            name, (at_ms, _) = next(iter(self._final_reports.items()))
            if at_ms >= oldest_ms:
                break
            del self._final_reports[name]
        expired = itertools.takewhile(
            lambda item: item[1][1] < oldest_ms, self._blocked_runs.items()
        )
        for task in [task for task, _ in expired if task not in self.runs]:
            del self._blocked_runs[task]

    def _send_reports(self, now_ms: int) -> None:
        receiver = self._choose_capacity_receiver(now_ms)
        for gateway in self.gateways.values():
            is_due = gateway is receiver or gateway.is_report_due
            if not is_due and not _has_due_reports(gateway, now_ms):
                continue
            self._add_progress(gateway, now_ms)
            reports = runmessages.RunReports(
                gateway.reports, self._build_room(gateway, now_ms)
            )
            gateway.report_times_ms[self._report_number] = now_ms
            if len(gateway.report_times_ms) > MAX_REPORT_TIMES:
                del gateway.report_times_ms[next(iter(gateway.report_times_ms))]
            gateway.reports = []
            gateway.has_capacity_changed = False
            gateway.is_report_due = False
            gateway.last_report_ms = now_ms
            gateway.expected_free = reports.room.free
            self._effects.append(
                runevents.SendReports(gateway.name, gateway.address, reports)
            )

    def _choose_capacity_receiver(self, now_ms: int) -> runevents.Gateway | None:
        """Return the gateway whose turn it is to receive changed free capacity, if any.

        Load pattern: tasks wait at every gateway. If all received the change at once,
        each would send a task to the same capacity, and the sidecar would refuse all
        but one. A gateway that already expects as much capacity gets no report, so that
        the number of messages does not grow with the number of gateways with waiting
        tasks.
        """
        if now_ms - self._capacity_report_ms < CAPACITY_REPORT_INTERVAL_MS:
            return None
        candidates = [
            item
            for item in self.gateways.values()
            if self._is_capacity_report_due(item)
        ]
        if candidates:
            self._capacity_report_ms = now_ms
        return min(candidates, key=lambda item: item.last_report_ms, default=None)

    def _is_capacity_report_due(self, gateway: runevents.Gateway) -> bool:
        """Return whether a gateway with waiting tasks expects less than is free."""
        if not gateway.is_waiting or not gateway.has_capacity_changed:
            return False
        return not resources.fits(self.read_offered(), gateway.expected_free)

    def _build_room(self, gateway: runevents.Gateway, now_ms: int) -> runmessages.Room:
        self._report_number += 1
        upstream = self.upstream
        return runmessages.Room(
            self._report_number,
            gateway.last_start,
            "" if upstream is None or not self._is_reconciled else upstream.incarnation,
            self._service,
            self._failure_domain,
            [] if upstream is None else list(upstream.labels),
            resources.NONE if upstream is None else upstream.capacity,
            self.read_offered(),
            bool(self.refusal_reason),
            slowness_permille=self.slowness_permille,
            releases=self._predictor.predict(
                self.runs.values(), self.read_free(), self.slowness_permille, now_ms
            ),
        )


def _has_due_reports(gateway: runevents.Gateway, now_ms: int) -> bool:
    """Return whether a gateway has reports that must not be delayed any longer."""
    if not gateway.reports:
        return False
    if now_ms - gateway.last_report_ms >= MAX_REPORT_DELAY_MS:
        return True
    return any(report.state not in DEFERRABLE_STATES for report in gateway.reports)


def _find_final_state(
    end: runevents.EndedRun, run: runevents.Run
) -> tuple[runevents.ReportState, str]:
    """Return the final state and reason of a run that the upstream listed as ended."""
    match end.outcome:
        case "done":
            return "done", ""
        case "failed":
            return "failed", ""
        case "stopped" if run.stop_reason:
            return "stopped", run.stop_reason
        case _:
            return "lost", end.outcome
