"""Sidecar role: the only process that starts tasks on its upstream."""

import asyncio
import functools
import gc

from amaranthspar import clock, effects, errors
from amaranthspar.execution import executor
from amaranthspar.membership import leaseholder
from amaranthspar.observation import logs, metrics, traces
from amaranthspar.roles import membership
from amaranthspar.schema import codec, messages, options, viewmessages
from amaranthspar.upstreams import upstream, worker

TICK_MS = 50
IDLE_TICK_MS = 250
GC_THRESHOLD = 20_000
METRICS_MS = 1000
LEAVE_POLL_MS = 20
CREDITS_TIMEOUT_MS = 2000


class Sidecar:
    """A sidecar process, which runs next to one upstream.

    Args:
        process: Section ``process`` of the settings.
        link: Section ``links`` of the settings.
        sidecar: Section ``sidecar`` of the settings.
    """

    def __init__(
        self,
        process: options.ProcessOptions,
        link: options.LinkOptions,
        sidecar: options.SidecarOptions,
    ) -> None:
        self._clock = clock.Clock()
        self._process = process
        self._log = logs.get_logger(process.name)
        self._metrics = metrics.StatsdReporter(process.name, process.statsd)
        announcement = _build_announcement(process, sidecar)
        self.holder = membership.build_holder(process, "sidecar", announcement)
        self.executor = executor.Executor(self.holder)
        self.failure: errors.SupersededError | None = None
        self.stopped = asyncio.Event()
        self._links = membership.build_links(process, self.holder, self._receive, link)
        self._tracer = traces.build_tracer(process)
        self._options = sidecar
        self._upstream: upstream.UpstreamClient | None = None
        self._worker_client: worker.WorkerClient | None = None
        self._calls: dict[tuple[str, int], asyncio.Task[messages.TaskResult]] = {}
        self._ticking: asyncio.Task[None] | None = None
        self._is_closed = False

    async def start(self) -> None:
        """Start to listen, announce the upstream and accept tasks.

        Raises:
            errors.LinkError: The address for links cannot be used.
        """
        if self._options.platform:
            self._worker_client = worker.WorkerClient(self._options.platform)
        self._upstream = upstream.UpstreamClient(
            self._options.upstream, self._options.connections, self._worker_client
        )
        await self._links.open()
        self._ticking = asyncio.get_running_loop().create_task(self._tick())
        # Imported objects are never freed: collections need not examine them again.
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        self._log.info("started", upstream=self._options.upstream)

    async def stop(self) -> None:
        """Refuse new tasks, finish those that run and leave the membership.

        A start that was already sent is still answered: the sidecar waits, for 2 s at
        most, until every gateway has returned its credits.
        """
        if self._is_closed:
            return
        self._log.info("draining")
        now_ms = self._clock.read_monotonic()
        self._carry_out(self.executor.drain(now_ms))
        self._leave(stopped=False)
        until_ms = now_ms + CREDITS_TIMEOUT_MS
        while not self._can_stop(until_ms):
            await asyncio.sleep(LEAVE_POLL_MS / 1000)
        self._leave(stopped=True)
        await asyncio.sleep(LEAVE_POLL_MS / 1000)
        await self.close()
        self._log.info("stopped")

    def _can_stop(self, until_ms: int) -> bool:
        is_late = self._clock.read_monotonic() >= until_ms
        return self.executor.is_idle if is_late else self.executor.is_drained

    def apply_settings(self, controllers: list[str]) -> None:
        """Replace the addresses of the controllers from the settings.

        Args:
            controllers: Addresses in the settings.
        """
        self._carry_out(self.holder.apply_settings(controllers))

    async def close(self) -> None:
        """Close everything immediately, as in a crash."""
        self._is_closed = True
        if self._ticking is not None:
            self._ticking.cancel()
        for call in self._calls.values():
            call.cancel()
        self._links.close()
        if self._upstream is not None:
            await self._upstream.close()
        if self._worker_client is not None:
            await self._worker_client.close()
        if self._tracer is not None:
            await asyncio.to_thread(self._tracer.close)

    def _leave(self, stopped: bool) -> None:
        membership.announce_leaving(self._process, self.holder, self._links, stopped)

    async def _tick(self) -> None:
        reported_ms = 0
        while True:
            now_ms = self._clock.read_monotonic()
            self._carry_out(self.holder.tick(now_ms))
            self._carry_out(self.executor.tick(now_ms))
            if now_ms - reported_ms >= METRICS_MS:
                reported_ms = now_ms
                self._metrics.report(self.executor.counts)
                self._metrics.report(self._links.counts)
            await asyncio.sleep(self._find_pause_ms(now_ms) / 1000)

    def _find_pause_ms(self, now_ms: int) -> int:
        if not self.executor.is_idle:
            return TICK_MS
        until_ms = self.holder.find_renewal_wait_ms(now_ms)
        return min(IDLE_TICK_MS, max(TICK_MS, until_ms))

    def _receive(self, frame: codec.Frame) -> None:
        now_ms = self._clock.read_monotonic()
        for message in frame.messages:
            match message:
                case (
                    messages.LeaseGranted()
                    | messages.LeaseDenied()
                    | messages.AnnounceVersion()
                    | viewmessages.FetchView()
                    | viewmessages.View()
                ):
                    self._carry_out(self.holder.handle(message, now_ms, frame.address))
                case _:
                    event = executor.Received(
                        frame.sender, frame.incarnation, frame.address, message
                    )
                    self._carry_out(self.executor.handle(event, now_ms))

    def _carry_out(
        self, performed: list[executor.Effect] | list[leaseholder.Effect]
    ) -> None:
        for effect in performed:
            match effect:
                case effects.Send():
                    self._links.send(effect.peer, effect.message)
                case executor.RunTask():
                    self._start_call(effect)
                case executor.StopTask():
                    self._stop_call(effect)
                case leaseholder.ViewChanged():
                    if effect.has_new_configuration:
                        version = self.holder.view.configuration_version
                        self._log.info("configuration changed", configuration=version)
                    self._carry_out(self.executor.tick(self._clock.read_monotonic()))
                case leaseholder.ControllersChanged():
                    membership.apply_controllers(
                        self.holder, self._links, effect, self._log
                    )
                case leaseholder.IncarnationChanged():
                    self._links.incarnation = self.holder.member.incarnation
                case leaseholder.LeaseLost():
                    self._handle_superseded()

    def _handle_superseded(self) -> None:
        """Request a graceful shutdown: no more tasks are started."""
        self._log.error("another incarnation took over")
        self.failure = errors.SupersededError(self._process.name)
        self.stopped.set()

    def _start_call(self, run: executor.RunTask) -> None:
        assert self._upstream is not None
        if self._tracer is None:
            coroutine = self._upstream.call(run)
        else:
            coroutine = traces.trace_call(self._tracer, run, self._upstream.call)
        call = asyncio.get_running_loop().create_task(coroutine)
        name = (run.submission, run.index)
        self._calls[name] = call
        call.add_done_callback(functools.partial(self._report_end, name))

    def _stop_call(self, stop: executor.StopTask) -> None:
        assert self._upstream is not None
        name = (stop.submission, stop.index)
        if not self._upstream.stop(*name) and name in self._calls:
            self._calls[name].cancel()

    def _report_end(
        self, name: tuple[str, int], call: asyncio.Task[messages.TaskResult]
    ) -> None:
        """Report how a call ended, even if it was cancelled before it began."""
        self._calls.pop(name, None)
        if call.cancelled():
            result = messages.TaskResult(*name, "not-run", "cancelled")
        elif (error := call.exception()) is not None:
            self._log.error("call failed", error=repr(error))
            result = messages.TaskResult(*name, "unknown", "call failed")
        else:
            result = call.result()
        ended = executor.TaskEnded(result)
        self._carry_out(self.executor.handle(ended, self._clock.read_monotonic()))


def _build_announcement(
    process: options.ProcessOptions, sidecar: options.SidecarOptions
) -> messages.Announcement:
    return messages.Announcement(
        worker=sidecar.worker,
        rack=sidecar.rack,
        group=sidecar.group,
        failure_domain=process.failure_domain,
        services=sidecar.services,
        slots=sidecar.slots,
        connections=sidecar.connections,
        cores=sidecar.cores,
        memory_mb=sidecar.memory_mb,
        accelerators=sidecar.accelerators,
    )
