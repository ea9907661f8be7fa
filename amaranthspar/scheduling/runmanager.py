"""Decides in a sidecar which runs start, go on and stop on its upstream.

A start that the upstream does not answer is in doubt: it is stopped by name, which bars
it for good, unless the upstream lists it meanwhile. Only then does the gateway hear that
it did not start, so that no other place starts the task too early.
"""

import itertools

from amaranthspar.scheduling import orderqueue, resources, runevents
from amaranthspar.schema import runmessages

GATEWAY_LEASE_MS = 800
"""Age of the newest statement that a gateway has heard from which its runs stop and its
orders are refused; below a caller's 1.3 s to resend. Messages that were held up on their
way confirm only old statements, so they renew nothing."""
MAX_TOLD = 256
"""Latest statements to one gateway that are remembered: more than in a second."""
INCARNATION_SILENCE_MS = 500
"""Silence after which a lower incarnation counts as new; a process restarts slower."""
STOPPED_MS = 70
"""Time after a confirmed stop by which the run is over, listed or not: the platform's
limit of 50 ms and two ticks."""
WAIT_STOPPED_MS = 5
"""Wait of the upstream's list once a stop is confirmed: a run that is not listed then is
over, and its task can start elsewhere before `STOPPED_MS` have passed."""
WAIT_DOUBT_MS = 20
"""Wait of the upstream's list while requests for it are left unanswered: until it is asked
for again nobody hears of an end."""
DOUBT_MS = 3_000
"""Time for which one such request counts; at a twentieth unanswered several fall into it."""
WAIT_BUSY_MS = 150
"""Longest wait of the upstream's list while runs go on: progress is known as often, and an
end is listed at once."""
WAIT_IDLE_MS = 300
"""The same while nothing runs; three renewals fit into the shortest lease of 1 s."""
START_BARRED_MS = 700
"""Time after which an upstream no longer carries out a start; above its 600 ms."""
KEPT_REPORT_MS = 10_000
"""Time for which ends are told again and names stay barred; above any late delivery."""
REPORTED_PROGRESS_MS = 60
"""Age from which the progress of a run says something about its speed."""
ROOM_INTERVAL_MS = 10
"""Least time between two statements of room to gateways whose tasks wait; these take
turns, so that they do not all send tasks to the same room."""
QUIET_REPORT_MS = 200
"""Time for which a report that decides nothing waits for others to go with: the interval
of a gateway's renewals, whose answers carry it. A gateway sends a start again that it has
not heard of for 300 ms."""
QUIET_STATES = frozenset({"started"})
"""States of runs whose report may wait."""
NO_ROOM = "no room"
SICK_PAUSE_MS = 500
"""Time without starts after the upstream refused one as unhealthy."""
IDLE_MS = 1_000
"""Longest time between two looks at what is kept for a while only."""


class RunManager:
    """Runs of one upstream.

    Args:
        service: Service of the upstream.
        failure_domain: Failure domain of the upstream.
        first_number: Number below those of this process's statements, and above those of
            its predecessors.
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
        self._barred: dict[str, tuple[int, int]] = {}
        self._final: dict[runmessages.RunName, tuple[int, runmessages.RunReport]] = {}
        self._number = first_number
        self._free: runmessages.Resources | None = None
        self._queue = orderqueue.OrderQueue()
        self._offered_ms = 0
        self._sick_until_ms = 0
        self._unlisted_ms = -DOUBT_MS
        self._is_clean = False
        self._effects: list[runevents.Effect] = []

    def step(self, event: runevents.Event, now_ms: int) -> list[runevents.Effect]:
        """Take an event.

        Args:
            event: What happened.
            now_ms: Monotonic time in ms.

        Returns:
            What is to be done, in order.
        """
        match event:
            case runevents.Asked(sender=sender, message=message):
                self._take_message(sender, message, now_ms)
            case runevents.UpstreamKnown():
                self._know_upstream(event, now_ms)
            case runevents.UpstreamGone(reason=reason):
                self._lose_runs(reason, now_ms)
            case runevents.StartAnswered(name=name, answer=answer):
                self._end_start(name, answer, now_ms)
            case runevents.StopAnswered(name=name, answer=answer):
                self._end_stop(name, answer, now_ms)
            case runevents.Listed():
                self._take_list(event, now_ms)
            case runevents.Unlisted():
                self._unlisted_ms = now_ms
            case runevents.DomainChanged(is_out=is_out):
                if is_out is not self.is_domain_out:
                    self.is_domain_out = is_out
                    self._answer_all()
            case runevents.Leave():
                self.is_leaving = True
                self._answer_all()
            case runevents.Tick():
                self._tick(now_ms)
        self._serve_queue(now_ms)
        self._tell(now_ms)
        effects, self._effects = self._effects, []
        return effects

    def find_due_ms(self, now_ms: int) -> int:
        """Return when a tick is needed at the latest, in ms.

        Args:
            now_ms: Monotonic time in ms.
        """
        due_ms = now_ms + IDLE_MS
        for gateway in self.gateways.values():
            if gateway.reports:
                due_ms = min(due_ms, gateway.told_ms + QUIET_REPORT_MS)
            if self._is_offer_due(gateway):
                due_ms = min(due_ms, self._offered_ms + ROOM_INTERVAL_MS)
        for waiting in self._queue.list_orders():
            due_ms = min(due_ms, waiting.until_ms)
        for run in self.runs.values():
            holder = self.gateways.get(run.gateway)
            if run.stopped_ms >= 0:
                due_ms = min(due_ms, run.stopped_ms + STOPPED_MS + 1)
            elif run.state is runevents.RunState.UNCONFIRMED:
                due_ms = min(due_ms, run.called_ms + START_BARRED_MS + 1)
            elif holder is not None and run.state is not runevents.RunState.STOPPING:
                due_ms = min(due_ms, holder.confirmed_ms + GATEWAY_LEASE_MS + 1)
        return max(due_ms, now_ms + 1)

    def find_list_wait_ms(self, now_ms: int) -> int:
        """Return how long the upstream's list may wait for an end, in ms.

        Args:
            now_ms: Monotonic time in ms.
        """
        if not self.runs:
            return WAIT_IDLE_MS
        if any(run.stopped_ms >= 0 for run in self.runs.values()):
            return WAIT_STOPPED_MS
        is_doubtful = now_ms - self._unlisted_ms < DOUBT_MS
        return WAIT_DOUBT_MS if is_doubtful else WAIT_BUSY_MS

    @property
    def refuses_all(self) -> str:
        """Why no run may start at all; empty if runs may."""
        if self.upstream is None or not self._is_clean:
            return "no upstream"
        if self.is_leaving:
            return "sidecar is stopping"
        if self.upstream.is_leaving:
            return "upstream is leaving"
        if self.is_domain_out:
            return "failure domain is out of service"
        return ""

    def read_free(self) -> runmessages.Resources:
        """Return what no run occupies."""
        if self.upstream is None:
            return resources.NONE
        if self._free is None:
            used = resources.total(run.needs for run in self.runs.values())
            self._free = resources.subtract(self.upstream.capacity, used)
        return self._free

    def read_offered(self) -> runmessages.Resources:
        """Return what neither a run nor an order that waits will occupy."""
        return self._find_left(self._queue.needs)

    def _find_left(self, spoken_for: runmessages.Resources) -> runmessages.Resources:
        """Return what is free besides some of it, nothing where that is more."""
        return resources.clip(resources.subtract(self.read_free(), spoken_for))

    # Messages of gateways.

    def _take_message(
        self,
        sender: runevents.Sender,
        message: runmessages.StartRuns | runmessages.StopRuns | runmessages.KeepRuns,
        now_ms: int,
    ) -> None:
        gateway = self._hear(sender, now_ms)
        if gateway is None:
            return
        match message:
            case runmessages.StartRuns():
                gateway.note_heard(message.heard)
                gateway.started = max(gateway.started, message.number)
                for order in message.orders:
                    self._take_order(gateway, message, order, now_ms)
                gateway.is_room_due = True
            case runmessages.StopRuns():
                for name in message.names:
                    self._stop_named(gateway, name, now_ms)
            case runmessages.KeepRuns():
                self._keep(gateway, message, now_ms)

    def _hear(self, sender: runevents.Sender, now_ms: int) -> runevents.Gateway | None:
        known = self.gateways.get(sender.name)
        if known is not None and self._is_outdated(known, sender, now_ms):
            return None
        if known is None or known.incarnation != sender.incarnation:
            if known is not None:
                self._stop_all(known, "gateway has restarted", now_ms)
            # Orders count only from one that has heard this process.
            confirmed_ms = now_ms - GATEWAY_LEASE_MS - 1
            known = runevents.Gateway(
                sender.name, sender.incarnation, sender.address, now_ms, confirmed_ms
            )
            self.gateways[sender.name] = known
        known.heard_ms = now_ms
        known.address = sender.address
        return known

    @staticmethod
    def _is_outdated(
        known: runevents.Gateway, sender: runevents.Sender, now_ms: int
    ) -> bool:
        """Return whether a message comes from an incarnation before the known one.

        A wall clock that was set back gives a new process a lower number.
        """
        is_lower = sender.incarnation < known.incarnation
        return is_lower and now_ms - known.heard_ms < INCARNATION_SILENCE_MS

    def _take_order(
        self,
        gateway: runevents.Gateway,
        message: runmessages.StartRuns,
        order: runmessages.RunOrder,
        now_ms: int,
    ) -> None:
        name = order.name
        current = self.runs.get(name.task)
        if current is not None and current.name.run == name.run:
            if current.state is runevents.RunState.RUNNING:
                gateway.reports.append(runmessages.RunReport(name, "started"))
            return
        waiting = self._queue.find(name.task)
        if waiting is not None and waiting.order.name == name:
            return
        if name in self._final:
            gateway.reports.append(self._final[name][1])
            return
        beside = current or (waiting and waiting.order)
        state, reason = self._judge_name(name, beside.name if beside else None)
        if not reason:
            reason = self._find_change(gateway, message, now_ms)
            state = "refused"
        has_room = resources.fits(order.needs, self.read_offered())
        if not reason and not has_room and self._queue.is_full:
            reason = NO_ROOM
        if reason:
            self._refuse_order(gateway.name, name, state, reason, now_ms)
            return
        gateway.believed = resources.subtract(gateway.believed, order.needs)
        self._queue.add(gateway.name, message, order, now_ms)

    def _serve_queue(self, now_ms: int) -> None:
        """Start the orders whose turn has come, and refuse those that cannot wait."""
        blocked = resources.NONE
        for waiting in self._queue.list_orders():
            order = waiting.order
            gateway = self.gateways.get(waiting.gateway)
            reason = self._find_change(gateway, waiting.message, now_ms)
            has_turn = resources.fits(order.needs, self._find_left(blocked))
            if not reason and not has_turn and now_ms >= waiting.until_ms:
                reason = NO_ROOM
            if reason:
                self._drop_order(waiting, reason, now_ms)
            elif has_turn:
                self._queue.remove(order.name.task)
                self._start(waiting, now_ms)
            else:
                blocked = resources.add(blocked, order.needs)

    def _start(self, waiting: orderqueue.WaitingOrder, now_ms: int) -> None:
        order = waiting.order
        self.runs[order.name.task] = runevents.Run(
            order.name, waiting.gateway, order.needs, now_ms
        )
        self._free = None
        spec = waiting.message.spec
        self._effects.append(runevents.CallStart(order, spec, now_ms))

    def _refuse_order(
        self,
        gateway: str,
        name: runmessages.RunName,
        state: runevents.ReportState,
        reason: str,
        now_ms: int,
    ) -> None:
        """Refuse an order for good, also where it arrives once more."""
        self._settle(gateway, runmessages.RunReport(name, state, reason), now_ms)
        self._effects.append(
            runevents.LogDecision("start refused", name.task, name.run, reason)
        )

    def _settle(self, gateway: str, report: runmessages.RunReport, now_ms: int) -> None:
        """Bar a run, and tell what became of it, now and whenever it is asked about."""
        self._bar(report.name, now_ms)
        self._final[report.name] = (now_ms, report)
        self._report(gateway, report)

    def _find_change(
        self,
        gateway: runevents.Gateway | None,
        message: runmessages.StartRuns,
        now_ms: int,
    ) -> str:
        """Return why what an order was based on does not hold, empty if it does."""
        reason = self.refuses_all
        if reason:
            return reason
        if self.upstream is None or message.upstream != self.upstream.incarnation:
            return "another upstream was meant"
        if now_ms < self._sick_until_ms:
            return runevents.Answer.UNHEALTHY.value
        # An order may have been overtaken by messages that confirm newer statements.
        known_ms = None if gateway is None else gateway.told.get(message.heard)
        if known_ms is None or now_ms - known_ms > GATEWAY_LEASE_MS:
            return "order is based on an old statement of room"
        return ""

    def _judge_name(
        self, name: runmessages.RunName, beside: runmessages.RunName | None
    ) -> tuple[runevents.ReportState, str]:
        """Return the state and the reason of a refusal; the reason is empty for none.

        Args:
            name: Run that is asked for.
            beside: Another run of its task that goes on or waits; nothing for none.
        """
        barred = self._barred.get(name.task, (0, 0))[0]
        if beside is not None and beside.run > name.run:
            barred = beside.run
        if barred >= name.run:
            return "stale", str(barred)
        if beside is not None:
            return "refused", "another run of the task has not ended"
        return "started", ""

    def _stop_named(
        self, gateway: runevents.Gateway, name: runmessages.RunName, now_ms: int
    ) -> None:
        run = self.runs.get(name.task)
        if run is not None and run.name == name and run.gateway == gateway.name:
            self._stop(run, "gateway asked")
            return
        waiting = self._queue.find(name.task)
        if waiting is not None and waiting.order.name == name:
            self._drop_order(waiting, "gateway asked", now_ms)
        elif name in self._final:
            gateway.reports.append(self._final[name][1])
        elif self._is_clean:
            self._refuse_unknown(gateway, name, now_ms)

    def _drop_order(
        self, waiting: orderqueue.WaitingOrder, why: str, now_ms: int
    ) -> None:
        """Refuse an order that waits."""
        self._queue.remove(waiting.order.name.task)
        self._refuse_order(waiting.gateway, waiting.order.name, "refused", why, now_ms)
        self._note_room()

    def _refuse_unknown(
        self, gateway: runevents.Gateway, name: runmessages.RunName, now_ms: int
    ) -> None:
        """Bar a run that never arrived, so that a late order cannot start it."""
        report = runmessages.RunReport(name, "refused", "order did not arrive")
        self._settle(gateway.name, report, now_ms)

    def _keep(
        self, gateway: runevents.Gateway, message: runmessages.KeepRuns, now_ms: int
    ) -> None:
        if message.number <= gateway.kept:
            return
        gateway.kept = message.number
        gateway.note_heard(message.heard)
        gateway.is_waiting = message.is_waiting
        gateway.is_answer_due = True
        wanted = set(message.names)
        for run in list(self.runs.values()):
            if run.gateway == gateway.name and run.name not in wanted:
                self._stop(run, "gateway does not count on it")
        for waiting in self._queue.list_orders(gateway.name):
            if waiting.order.name not in wanted:
                self._drop_order(waiting, "gateway does not count on it", now_ms)
        if message.started > gateway.started:
            # Orders are still on their way, on a connection that was replaced.
            return
        for name in message.names:
            held = self.runs.get(name.task)
            if held is not None and held.name == name and held.gateway == gateway.name:
                continue
            queued = self._queue.find(name.task)
            if queued is not None and queued.order.name == name:
                continue
            if name in self._final:
                gateway.reports.append(self._final[name][1])
            elif self._is_clean:
                # Before the first list a predecessor's run may still go on.
                self._refuse_unknown(gateway, name, now_ms)

    # Answers of the upstream.

    def _know_upstream(self, known: runevents.UpstreamKnown, now_ms: int) -> None:
        before = self.upstream
        if before is not None and before.incarnation != known.incarnation:
            self._lose_runs("upstream has restarted", now_ms)
        if before != known:
            self.upstream = known
            self._answer_all()

    def _end_start(
        self, name: runmessages.RunName, answer: runevents.Answer, now_ms: int
    ) -> None:
        run = self.runs.get(name.task)
        if run is None or run.name != name:
            return
        match answer:
            case runevents.Answer.ACCEPTED:
                self._confirm(run, now_ms)
            case runevents.Answer.UNKNOWN if run.state is runevents.RunState.STARTING:
                run.state = runevents.RunState.UNCONFIRMED
                self._effects.append(runevents.CallStop(name, "start was not answered"))
            case runevents.Answer.UNKNOWN:
                pass
            case _:
                if answer is runevents.Answer.UNHEALTHY:
                    self._sick_until_ms = now_ms + SICK_PAUSE_MS
                if answer is runevents.Answer.STALE:
                    self._finish(run, "stale", str(name.run), now_ms)
                else:
                    self._finish(run, "refused", answer.value, now_ms)

    def _confirm(self, run: runevents.Run, now_ms: int) -> None:
        if run.was_seen:
            return
        run.confirmed_ms = now_ms
        if run.state in (runevents.RunState.STARTING, runevents.RunState.UNCONFIRMED):
            run.state = runevents.RunState.RUNNING
            self._report(run.gateway, runmessages.RunReport(run.name, "started"))

    def _end_stop(
        self, name: runmessages.RunName, answer: runevents.Answer, now_ms: int
    ) -> None:
        run = self.runs.get(name.task)
        if run is None or run.name != name:
            return
        match answer:
            case runevents.Answer.ACCEPTED:
                run.stopped_ms = now_ms
                if run.state is runevents.RunState.UNCONFIRMED and not run.was_seen:
                    run.state = runevents.RunState.STOPPING
                    run.why = "start was not answered"
            case runevents.Answer.REPLACED:
                self._finish(run, "lost", answer.value, now_ms)
            case _:
                self._effects.append(
                    runevents.CallStop(name, run.why or "stop was not answered")
                )

    def _take_list(self, listed: runevents.Listed, now_ms: int) -> None:
        for end in listed.ends:
            ended = self.runs.get(end.name.task)
            if ended is not None and ended.name == end.name:
                self._finish(ended, *_judge_end(end, ended), now_ms, end.saved)
        running = {item.name: item for item in listed.running}
        for run in list(self.runs.values()):
            item = running.pop(run.name, None)
            if item is not None:
                run.percent = item.percent
                run.listed_ms = now_ms
                self._confirm(run, now_ms)
            elif self._is_over(run, listed.asked_ms):
                self._finish_unlisted(run, now_ms)
        for name in running:
            self._adopt(name, now_ms)
        if not self._is_clean and not self.runs:
            self._is_clean = True
            self._answer_all()

    def _is_over(self, run: runevents.Run, asked_ms: int) -> bool:
        """Return whether a run that is not on a list has ended or cannot start."""
        if run.stopped_ms >= 0:
            return asked_ms > run.stopped_ms
        is_called = run.state in (
            runevents.RunState.STARTING,
            runevents.RunState.UNCONFIRMED,
        )
        return not is_called and run.was_seen and asked_ms > run.confirmed_ms

    def _finish_unlisted(self, run: runevents.Run, now_ms: int) -> None:
        if run.was_seen:
            self._finish(run, "stopped" if run.why else "lost", run.why, now_ms)
        else:
            self._finish(run, "refused", run.why or "never started", now_ms)

    def _adopt(self, name: runmessages.RunName, now_ms: int) -> None:
        """Stop a run that nobody here has asked for."""
        if name.task in self.runs:
            return
        run = runevents.Run(
            name, "", resources.NONE, now_ms, runevents.RunState.RUNNING
        )
        run.confirmed_ms = now_ms
        self.runs[name.task] = run
        self._stop(run, "no gateway counts on it")

    def _report_progress(self, gateway: runevents.Gateway, now_ms: int) -> None:
        """Add how far a gateway's runs are to what it is told anyway."""
        for run in self.runs.values():
            if run.gateway != gateway.name:
                continue
            # As old as the list: a later time would make the run look slow.
            elapsed_ms = run.listed_ms - run.called_ms
            if (
                run.state is runevents.RunState.RUNNING
                and elapsed_ms >= REPORTED_PROGRESS_MS
            ):
                gateway.reports.append(
                    runmessages.RunReport(
                        run.name, "running", "", elapsed_ms, run.percent
                    )
                )

    # Ends.

    def _stop(self, run: runevents.Run, why: str) -> None:
        if run.state is runevents.RunState.STOPPING:
            return
        run.why = why
        run.state = runevents.RunState.STOPPING
        self._effects.append(runevents.CallStop(run.name, why))
        self._effects.append(
            runevents.LogDecision("run stopped", run.name.task, run.name.run, why)
        )

    def _stop_all(self, gateway: runevents.Gateway, why: str, now_ms: int) -> None:
        for waiting in self._queue.list_orders(gateway.name):
            self._drop_order(waiting, why, now_ms)
        for run in list(self.runs.values()):
            if run.gateway == gateway.name:
                self._stop(run, why)

    def _lose_runs(self, reason: str, now_ms: int) -> None:
        for run in list(self.runs.values()):
            if run.was_seen or run.state is runevents.RunState.STOPPING:
                self._finish(run, "lost", reason, now_ms)
            elif run.state is runevents.RunState.STARTING:
                # The order may still reach the upstream's next life.
                run.state = runevents.RunState.UNCONFIRMED
                self._effects.append(runevents.CallStop(run.name, reason))
        self._is_clean = False
        self.upstream = None
        self._answer_all()

    def _finish(
        self,
        run: runevents.Run,
        state: runevents.ReportState,
        reason: str,
        now_ms: int,
        saved: str = "",
    ) -> None:
        del self.runs[run.name.task]
        report = runmessages.RunReport(
            run.name, state, reason, now_ms - run.called_ms, run.percent, saved
        )
        self._settle(run.gateway, report, now_ms)
        if state not in ("done", "failed"):
            decided = runevents.LogDecision(
                f"run {state}", run.name.task, run.name.run, reason
            )
            self._effects.append(decided)
        self._note_room()

    def _bar(self, name: runmessages.RunName, now_ms: int) -> None:
        highest = max(self._barred.get(name.task, (0, 0))[0], name.run)
        self._barred[name.task] = (highest, now_ms)

    def _report(self, gateway: str, report: runmessages.RunReport) -> None:
        known = self.gateways.get(gateway)
        if known is not None:
            known.reports.append(report)

    def _note_room(self) -> None:
        """Let gateways whose tasks wait hear of changed room, in turn."""
        self._free = None
        for gateway in self.gateways.values():
            gateway.is_room_due = True

    def _answer_all(self) -> None:
        """Tell every gateway at once, as runs may start now that could not, or the reverse."""
        self._free = None
        for gateway in self.gateways.values():
            gateway.is_answer_due = True

    def _tick(self, now_ms: int) -> None:
        for gateway in list(self.gateways.values()):
            age_ms = now_ms - gateway.confirmed_ms
            if age_ms > GATEWAY_LEASE_MS:
                why = f"gateway heard nothing for {age_ms} ms"
                self._stop_all(gateway, why, now_ms)
            if now_ms - gateway.heard_ms > KEPT_REPORT_MS:
                del self.gateways[gateway.name]
        for run in list(self.runs.values()):
            if run.stopped_ms >= 0 and now_ms - run.stopped_ms > STOPPED_MS:
                self._finish_unlisted(run, now_ms)
                continue
            is_barred = now_ms - run.called_ms > START_BARRED_MS
            if (
                run.state is runevents.RunState.UNCONFIRMED
                and is_barred
                and self.upstream is None
            ):
                self._finish(run, "lost", "upstream has gone", now_ms)
        self._forget_old(now_ms - KEPT_REPORT_MS)

    def _forget_old(self, oldest_ms: int) -> None:
        """Forget what was kept for late messages; the oldest entries come first."""
        while self._final:
            name, (at_ms, _) = next(iter(self._final.items()))
            if at_ms >= oldest_ms:
                break
            del self._final[name]
        old = itertools.takewhile(
            lambda item: item[1][1] < oldest_ms, self._barred.items()
        )
        for task in [task for task, _ in old if task not in self.runs]:
            del self._barred[task]

    def _tell(self, now_ms: int) -> None:
        offered = self._choose_offered(now_ms)
        for gateway in self.gateways.values():
            is_due = gateway is offered or gateway.is_answer_due
            if not is_due and not _has_news(gateway, now_ms):
                continue
            self._report_progress(gateway, now_ms)
            reports = runmessages.RunReports(gateway.reports, self._build_room(gateway))
            gateway.told[self._number] = now_ms
            if len(gateway.told) > MAX_TOLD:
                del gateway.told[next(iter(gateway.told))]
            gateway.reports = []
            gateway.is_room_due = False
            gateway.is_answer_due = False
            gateway.told_ms = now_ms
            gateway.believed = reports.room.free
            self._effects.append(
                runevents.SendReports(gateway.name, gateway.address, reports)
            )

    def _choose_offered(self, now_ms: int) -> runevents.Gateway | None:
        """Return the gateway whose turn it is to hear of changed room, if any.

        Load pattern: tasks wait at every gateway. Told all at once, each would send a
        task to the same room, and the sidecar would refuse all but one. One that knows
        of as much room hears nothing new, so that messages do not grow with the number
        of gateways that wait.
        """
        if now_ms - self._offered_ms < ROOM_INTERVAL_MS:
            return None
        waiting = [item for item in self.gateways.values() if self._is_offer_due(item)]
        if waiting:
            self._offered_ms = now_ms
        return min(waiting, key=lambda item: item.told_ms, default=None)

    def _is_offer_due(self, gateway: runevents.Gateway) -> bool:
        """Return whether a gateway waits for room and knows of less than there is."""
        if not gateway.is_waiting or not gateway.is_room_due:
            return False
        return not resources.fits(self.read_offered(), gateway.believed)

    def _build_room(self, gateway: runevents.Gateway) -> runmessages.Room:
        self._number += 1
        upstream = self.upstream
        return runmessages.Room(
            self._number,
            gateway.started,
            "" if upstream is None or not self._is_clean else upstream.incarnation,
            self._service,
            self._failure_domain,
            [] if upstream is None else list(upstream.labels),
            resources.NONE if upstream is None else upstream.capacity,
            self.read_offered(),
            bool(self.refuses_all),
        )


def _has_news(gateway: runevents.Gateway, now_ms: int) -> bool:
    """Return whether a gateway has reports that should not wait any longer."""
    if not gateway.reports:
        return False
    if now_ms - gateway.told_ms >= QUIET_REPORT_MS:
        return True
    return any(report.state not in QUIET_STATES for report in gateway.reports)


def _judge_end(
    end: runevents.EndedRun, run: runevents.Run
) -> tuple[runevents.ReportState, str]:
    """Return the state and the reason of a run that the upstream listed as ended."""
    match end.outcome:
        case "done":
            return "done", ""
        case "failed":
            return "failed", ""
        case "stopped" if run.why:
            return "stopped", run.why
        case _:
            return "lost", end.outcome
