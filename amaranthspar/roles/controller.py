"""Controller role: one replica of the configuration, membership and claims."""

import asyncio
import contextlib
import pathlib
import random
import secrets

import structlog

from amaranthspar import clock, configuration, effects, errors, loop as loops
from amaranthspar.consensus import (
    consensus,
    journal,
    replacement,
    replicas,
    transitions,
)
from amaranthspar.membership import controllers, directory, peers
from amaranthspar.network import links
from amaranthspar.observation import metrics
from amaranthspar.registry import (
    administration,
    documentrequests,
    leases,
    registry,
    requests,
    snapshots,
)
from amaranthspar.roles import diskwriter
from amaranthspar.schema import codec, messages, options, viewmessages
from amaranthspar.storage import disk, files

FOLDER_NUMBER_BITS = 62
TRANSFER_TIMEOUT_MS = 2_000
TRANSFER_POLL_MS = 10
EXPIRE_INTERVAL_MS = 500
SNAPSHOT_ENTRIES = 2_000
SNAPSHOT_MIN_BYTES = 4 * 1024 * 1024
MAX_VIEW_AGE_RATIO = (2, 3)
"""Greatest age of a view from which leases are granted, as a fraction of a lease."""
LINK_INTERVAL_HEARTBEATS = 2
"""Heartbeat interval of links between replicas, in heartbeats of the consensus."""
TICKS_PER_HEARTBEAT = 4
"""Ticks per heartbeat interval of the consensus."""
MIN_TICK_MS = 5
"""Shortest interval between ticks."""
BOOTSTRAP = "bootstrap"
JOIN_INTERVAL_MS = 500
"""Interval at which a replica outside the replica set requests to join it."""
LEAVE_TIMEOUT_MS = 3_000
"""Longest wait of a stopping replica until the set has changed to spare it."""
LEAVE_INTERVAL_MS = 100
"""Interval at which a stopping replica repeats its request to leave the set."""

_log = structlog.get_logger()
_REPLICA_MESSAGES = (
    messages.RequestVote
    | messages.Vote
    | messages.AppendEntries
    | messages.Appended
    | messages.InstallSnapshot
    | messages.SnapshotReceived
    | messages.TransferLeadership
)


class Controller:
    """One controller process.

    Args:
        process: Section ``process`` of the settings.
        link: Section ``links`` of the settings.
        controller: Section ``controller`` of the settings.
    """

    def __init__(
        self,
        process: options.ProcessOptions,
        link: options.LinkOptions,
        controller: options.ControllerOptions,
    ) -> None:
        self.name = process.name
        self.failure: errors.DiskError | None = None
        self.stopped = asyncio.Event()
        self._options = controller
        self._failure_domain = process.failure_domain
        self._clock = clock.Clock()
        self._bootstrap: list[messages.Section] = []
        self._bootstrap_term = 0
        self._folder: disk.Folder | None = None
        self._registry = registry.Registry()
        age_ms = controller.lease_ms * MAX_VIEW_AGE_RATIO[0] // MAX_VIEW_AGE_RATIO[1]
        issuer = leases.LeaseIssuer(controller.lease_ms, age_ms)
        self.requests = requests.RequestHandler(
            self._registry, issuer, controller.lease_ms
        )
        self._links = links.Links(
            process.name,
            self._clock.read_wall(),
            process.listen,
            self._receive,
            link,
        )
        self._outage = diskwriter.Outage(process.name)
        self._writer: diskwriter.DiskWriter | None = None
        self._flushing = False
        self._metrics = metrics.StatsdReporter(process.name, process.statsd)
        self._counts = {"elections": 0, "commits": 0, "torn_bytes": 0}
        self._ticking: asyncio.Task[None] | None = None
        self._applied_bytes = 0
        self._snapshot_bytes = 0
        self._next_expiry_ms = 0
        self._next_join_ms = 0
        self._is_leaving = False
        self._left = asyncio.Event()
        self.directory = directory.Directory()
        self._controllers = controllers.Controllers(controller.join)
        self._peers = peers.RecentPeers()
        self.document_requests = documentrequests.DocumentRequests(
            self._handle_own_request,
            lambda: self._registry.documents.newest_order,
        )
        self._snapshot_encoder: snapshots.SnapshotEncoder | None = None

    @property
    def leading(self) -> bool:
        """Whether this replica is the leader."""
        return self._machine.leading is not None

    @property
    def state(self) -> registry.Registry:
        """Registry of this replica."""
        return self._registry

    @property
    def machine(self) -> consensus.Consensus:
        """Consensus of this replica."""
        return self._machine

    async def start(self) -> None:
        """Open the data folder and the links and join the consensus.

        While the disk is full or its device fails, this waits until it works: a replica
        of the first set that ended here could not form the cluster at its next start.

        Raises:
            errors.SettingsError: The first configuration or a replica is invalid.
            errors.DiskError: The data folder cannot be used.
            errors.LinkError: The address cannot be listened on.
        """
        first = parse_replicas(self._options.replicas)
        self._bootstrap = _read_bootstrap(self._options.bootstrap)
        folder = await self._open_folder()
        self._folder = folder
        self._writer = diskwriter.DiskWriter(
            folder, self._outage, self._confirm_write, self._stop_after_failure
        )
        self._counts["torn_bytes"] = folder.torn_bytes
        if folder.torn_bytes:
            _log.warning("torn tail cut", name=self.name, bytes=folder.torn_bytes)
        if folder.stored.snapshot is not None:
            self._registry.restore(folder.stored.snapshot.state)
        target = replacement.find_voter_target(
            self._options.tolerated_losses, len(first.replicas)
        )
        self._machine = consensus.Consensus(
            transitions.Identity(
                self._options.replica,
                folder.folder_id,
                self._links.address,
                self._failure_domain,
            ),
            first,
            transitions.Settings(
                self._options.election_ms,
                self._options.heartbeat_ms,
                voter_target=target if self._options.join else 0,
            ),
            random.Random(secrets.randbits(64)),
            folder.stored,
            self._clock.read_monotonic(),
        )
        self._administration = administration.ReplicaAdministration(
            self._machine, target
        )
        try:
            await self._links.open()
        except errors.LinkError:
            folder.close()
            raise
        self._set_replica_heartbeats()
        interval_ms = max(
            self._options.heartbeat_ms // TICKS_PER_HEARTBEAT, MIN_TICK_MS
        )
        ticking = loops.repeat(interval_ms, self._tick)
        self._ticking = asyncio.get_running_loop().create_task(ticking)

    async def _open_folder(self) -> disk.Folder:
        number = secrets.randbits(FOLDER_NUMBER_BITS) | 1
        replica = self._options.replica
        while True:
            content = files.Files(self._options.data)
            try:
                folder = disk.open_folder(
                    content, replica, number, self._options.detects_copies
                )
            except (disk.FullError, disk.DeviceError) as error:
                self._outage.record_failure(error)
                await asyncio.sleep(diskwriter.RETRY_MS / 1000)
                continue
            self._outage.record_success()
            return folder

    async def stop(self) -> None:
        """Transfer leadership if this replica has it, leave the set, then stop.

        The replica stops once it has received a message of the new leader, which may
        need its vote, or after a timeout. If the first target does not become leader, it
        tries the next one.
        """
        if self.stopped.is_set():
            return
        self._is_leaving = True
        if self.leading:
            await self._transfer_leadership()
        if self._options.join:
            await self._leave_replicas()
        self.abort()

    async def _leave_replicas(self) -> None:
        """Leave a set that has a voter to spare.

        A successor has joined it. A replica that stops only to start again joins again.
        """
        for attempt in range(LEAVE_TIMEOUT_MS // LEAVE_INTERVAL_MS):
            if self.stopped.is_set() or not self._administration.can_leave():
                return
            self._handle_own_request(
                messages.LeaveReplicas(
                    attempt,
                    self._options.replica,
                    self._machine.journal.members_index,
                )
            )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._left.wait(), LEAVE_INTERVAL_MS / 1000)
                return
        _log.warning("replica stops without leaving the set", name=self.name)

    def _handle_replicas_changed(self, message: messages.ReplicasChanged) -> None:
        if not self._is_leaving:
            return
        _log.info(
            "leaving the set",
            name=self.name,
            outcome=message.outcome,
            reason=message.reason,
        )
        if message.outcome == "accepted":
            self._left.set()

    async def _transfer_leadership(self) -> None:
        for _ in range(TRANSFER_TIMEOUT_MS // TRANSFER_POLL_MS):
            if self._machine.accepts_proposals:
                self._step(transitions.StartTransfer())
            has_no_target = self._machine.accepts_proposals
            if has_no_target or self._machine.leader not in ("", self._machine.replica):
                return
            await asyncio.sleep(TRANSFER_POLL_MS / 1000)

    def abort(self) -> None:
        """Stop immediately, as after a failure."""
        if self.stopped.is_set():
            return
        self.stopped.set()
        if self._ticking is not None:
            self._ticking.cancel()
        self._links.close()
        if self._writer is not None:
            self._writer.close()
        if self._folder is not None:
            self._folder.close()

    def _tick(self) -> None:
        self._record_progress()
        self._step(transitions.Tick())
        status = self._read_status()
        if status.now_ms >= self._next_expiry_ms:
            self._next_expiry_ms = status.now_ms + EXPIRE_INTERVAL_MS
            for process in self.directory.expire(status.now_ms):
                _log.info("process expired", name=self.name, peer=process)
            self.requests.expire(status)
            self._plan_flush()
            self._set_replica_heartbeats()
            self._report_counts()
        self._request_join(status.now_ms)
        self._adjust_replicas(status.now_ms)

    def _record_progress(self) -> None:
        now_ms = self._clock.read_monotonic()
        pause_ms = self.document_requests.pauses.record_progress(now_ms)
        if pause_ms:
            _log.warning("process resumed", name=self.name, pause_ms=pause_ms)

    def _adjust_replicas(self, now_ms: int) -> None:
        if self._options.join and self.leading:
            for effect in self._administration.adjust(now_ms):
                self._carry_out(effect)

    def _request_join(self, now_ms: int) -> None:
        """Request to join the replica set if this replica may not be in it."""
        if not self._options.join or self._is_leaving or now_ms < self._next_join_ms:
            return
        if not self._administration.is_join_due(now_ms):
            return
        self._next_join_ms = now_ms + JOIN_INTERVAL_MS
        joining = messages.JoinReplicas(
            self._options.replica,
            self._links.address,
            self._machine.folder,
            self._failure_domain,
        )
        members = self._machine.journal.members.replicas
        known = self._controllers.list_known()
        addresses = {*known, *(item.address for item in members)}
        for address in sorted(addresses - {self._links.address}):
            self._links.send(address, joining)
        self._ask_peer()

    def _ask_peer(self) -> None:
        """Ask a process for the set of controllers, which may have been replaced."""
        address = self._peers.choose_next()
        if not address:
            return
        state = self._registry.documents
        committed = self._read_state(self._clock.read_monotonic())
        request = viewmessages.FetchView(
            max(self._controllers.revision, committed.revision),
            state.version,
            state.version,
            state.domains_revision,
            wants_document=False,
        )
        self._links.send(address, request)

    def apply_settings(self, addresses: list[str]) -> None:
        """Replace the addresses of the controllers to ask for admission.

        Args:
            addresses: Addresses of controllers in the settings.
        """
        if self._options.join and self._controllers.apply_settings(addresses):
            self._log_controllers("settings")

    def _apply_view(self, address: str, view: viewmessages.View) -> None:
        """Apply the set of controllers that another process has heard of.

        The document and the failure domains come only from the log.
        """
        if self._controllers.apply_set(view.controllers_revision, view.controllers):
            self._log_controllers(address)

    def _log_controllers(self, source: str) -> None:
        _log.info(
            "controllers changed",
            name=self.name,
            source=source,
            revision=self._controllers.revision,
            known=self._controllers.list_known(),
        )

    def _handle_own_request(self, message: codec.Message) -> None:
        """Handle a request of this process itself like one received over a link."""
        request = requests.Request(
            self.name, self._links.incarnation, self._links.address, message
        )
        self._handle_request(request)

    def _set_replica_heartbeats(self) -> None:
        """Set a short heartbeat interval for the links to other replicas.

        The failure of one replica must not cost the quorum. The heartbeats of the
        consensus keep these links busy, so that no additional frames are sent.
        """
        interval_ms = LINK_INTERVAL_HEARTBEATS * self._options.heartbeat_ms
        for replica in self._machine.journal.members.replicas:
            if replica.id != self._options.replica:
                self._links.set_heartbeat_interval(replica.address, interval_ms)

    def _report_counts(self) -> None:
        rejected = self._machine.rejected_folders
        if rejected and not self._counts.get("rejected_folders"):
            _log.warning(
                "messages of a replica with a foreign data folder rejected",
                name=self.name,
            )
        self._counts["rejected_folders"] = rejected
        self._counts["leases_granted"] = self.requests.granted
        self._counts["leases_denied"] = self.requests.denied
        self._counts["commits"] = self._machine.commit_index
        self._counts["disk_failures"] = self._outage.failures
        self._metrics.report(self._counts)
        self._metrics.report(self._links.counts)

    def _receive(self, frame: codec.Frame) -> None:
        for message in frame.messages:
            if self.stopped.is_set():
                return
            if isinstance(message, _REPLICA_MESSAGES):
                self._forward_renewals()
                self._step(transitions.Received(frame.address, message))
                continue
            request = _build_request(frame, message)
            if request is not None:
                self._handle_request(request)

    def _handle_request(self, request: requests.Request) -> None:
        status = self._read_status()
        message = request.message
        if isinstance(message, viewmessages.DocumentState):
            self.document_requests.resolve(message)
            return
        if isinstance(message, viewmessages.Announce):
            self._answer_announcement(request.address, message, status.now_ms)
            return
        if isinstance(message, viewmessages.View):
            self._apply_view(request.address, message)
            return
        if isinstance(message, messages.ReplicasChanged):
            self._handle_replicas_changed(message)
            return
        if isinstance(message, messages.JoinReplicas):
            self._step(transitions.Received(message.address, message))
        if status.leading and self._change_replicas(request, status.now_ms):
            return
        self._send(self.requests.handle(request, status))
        self._plan_flush()

    def _change_replicas(self, request: requests.Request, now_ms: int) -> bool:
        """Handle a request on the set of replicas, and return whether it was one."""
        match request.message:
            case messages.JoinReplicas() as message:
                found = self._administration.join(message, now_ms)
            case messages.LeaveReplicas() as message:
                found = self._administration.leave(request.address, message, now_ms)
            case messages.ReplaceReplica() as message:
                found = self._administration.replace(request.address, message, now_ms)
            case _:
                return False
        for effect in found:
            self._carry_out(effect)
        return True

    def _answer_announcement(
        self, address: str, message: viewmessages.Announce, now_ms: int
    ) -> None:
        self._peers.note(address)
        view = self.directory.handle_announcement(
            message, self._registry.documents, self._read_state(now_ms), now_ms
        )
        self._links.send(address, view)

    def _read_state(self, now_ms: int) -> directory.ControllerState:
        """Return what this controller states of the set that is committed."""
        machine = self._machine
        index = machine.commit_index
        replica_set = machine.journal.find_members(index).replicas
        return directory.ControllerState(
            [item.address for item in replica_set],
            machine.journal.find_members_index(index),
            machine.read_view_age(now_ms),
        )

    def _forward_renewals(self) -> None:
        if not self.leading:
            self._machine.follower.seen |= self.requests.renewed
        self.requests.renewed.clear()

    def _read_status(self) -> requests.ReplicaStatus:
        now_ms = self._clock.read_monotonic()
        state = self._read_state(now_ms)
        return requests.ReplicaStatus(
            self._machine.accepts_proposals,
            self._machine.leader_address,
            state.view_age_ms,
            now_ms,
            self._clock.read_wall(),
            tuple(state.addresses),
            state.revision,
        )

    def _plan_flush(self) -> None:
        if not self._flushing:
            self._flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        if self.stopped.is_set() or not self._machine.accepts_proposals:
            return
        commands = self.requests.collect_commands(self._clock.read_monotonic())
        if commands:
            self._step(transitions.Propose(commands))
        elif self.requests.has_pending_reads:
            self._step(transitions.ConfirmView())

    def _step(self, event: transitions.Event) -> None:
        if self.stopped.is_set():
            return
        for effect in self._machine.step(event, self._clock.read_monotonic()):
            self._carry_out(effect)
        if self.requests.has_pending_reads:
            self._send(self.requests.answer_reads(self._read_status()))

    def _carry_out(self, effect: transitions.Effect) -> None:
        match effect:
            case effects.Send():
                self._links.send(effect.peer, effect.message)
            case transitions.Persist() | transitions.SaveSnapshot():
                if self._writer is not None:
                    self._writer.add(effect)
            case transitions.Apply(entries=entries):
                self._apply(entries)
            case transitions.Restore(state=state):
                self._registry.restore(state)
            case transitions.RenewLeases(processes=processes):
                now_ms = self._clock.read_monotonic()
                self.requests.record_renewals(processes, now_ms)
            case transitions.ReplicaMoved(replica=replica, address=address):
                _log.info(
                    "replica moved", name=self.name, replica=replica, address=address
                )
            case transitions.ChangeLeader(leader=leader, term=term):
                _log.info("leader changed", name=self.name, leader=leader, term=term)
                if self.leading:
                    self._counts["elections"] += 1
                    self.requests.start_leading(self._clock.read_monotonic())

    def _apply(self, entries: list[messages.LogEntry]) -> None:
        status = self._read_status()
        for entry in entries:
            self._applied_bytes += len(entry.payload)
            if entry.kind == journal.REPLICAS_KIND:
                self._log_replicas(entry)
            outcomes = self._registry.apply(entry)
            self._send(self.requests.answer_outcomes(outcomes, status))
        self._send(self._administration.answer_committed())
        asyncio.get_running_loop().call_soon(self._run_due_work)

    def _log_replicas(self, entry: messages.LogEntry) -> None:
        change = codec.decode_message(entry.kind, entry.payload)
        if isinstance(change, messages.ChangeReplicas):
            _log.info(
                "replicas changed",
                name=self.name,
                index=entry.index,
                reason=change.reason,
                voters=replicas.list_voters(change),
            )

    def _run_due_work(self) -> None:
        """Start a snapshot and propose the first configuration when they are due."""
        if self.stopped.is_set():
            return
        snapshot = self._machine.journal.snapshot
        covered = snapshot.index if snapshot is not None else 0
        entries = self._machine.commit_index - covered
        limit = max(SNAPSHOT_MIN_BYTES, self._snapshot_bytes)
        due = entries >= SNAPSHOT_ENTRIES or self._applied_bytes > limit
        if due and self._snapshot_encoder is None:
            self._applied_bytes = 0
            self._snapshot_encoder = snapshots.SnapshotEncoder(self._registry)
            self._encode_snapshot(self._machine.commit_index)
        leading = self._machine.leading
        if leading is None or self._machine.commit_index < leading.first_index:
            return
        if self._registry.version == 0 and self._bootstrap_term < leading.term:
            self._propose_bootstrap(leading.term)

    def _encode_snapshot(self, index: int) -> None:
        """Encode one part of the snapshot, and the next one in the next loop iteration."""
        if self.stopped.is_set() or self._snapshot_encoder is None:
            return
        state = self._snapshot_encoder.encode_piece()
        if state is None:
            asyncio.get_running_loop().call_soon(self._encode_snapshot, index)
            return
        self._snapshot_encoder = None
        self._snapshot_bytes = len(state)
        self._step(transitions.Compact(index, state))

    def _propose_bootstrap(self, term: int) -> None:
        self._bootstrap_term = term
        if not self._bootstrap:
            return
        command = messages.AcceptConfiguration(
            BOOTSTRAP, 0, BOOTSTRAP, "", self._clock.read_wall(), self._bootstrap, []
        )
        self._step(transitions.Propose([requests.encode_command(command)]))

    def _send(self, sends: list[effects.Send]) -> None:
        for send in sends:
            self._links.send(send.peer, send.message)

    def _confirm_write(self, number: int) -> None:
        self._step(transitions.Persisted(number))

    def _stop_after_failure(self, error: errors.DiskError) -> None:
        _log.error("data folder failed for good", name=self.name, error=str(error))
        self.failure = error
        self.abort()


def parse_replicas(texts: list[str]) -> messages.ChangeReplicas:
    """Return the initial replica set from the settings.

    Args:
        texts: Replicas as ``id=address``.

    Raises:
        errors.SettingsError: A text does not have this form.
    """
    faults = [
        f"[controller] replicas: {text!r} is not of the form id=address"
        for text in texts
        if not all(text.partition("="))
    ]
    if faults:
        raise errors.SettingsError(faults)
    parts = [text.partition("=") for text in texts]
    found = [messages.Replica(part[0], part[2], True) for part in parts]
    return messages.ChangeReplicas(found, [])


def _read_bootstrap(path: str) -> list[messages.Section]:
    if not path:
        return []
    try:
        text = pathlib.Path(path).read_text()
        return configuration.parse_text(text).list_sections()
    except OSError as error:
        raise errors.SettingsError([f"[controller] bootstrap: {error}"]) from error
    except configuration.ConfigurationError as error:
        faults = [f"[controller] bootstrap: {fault}" for fault in error.faults]
        raise errors.SettingsError(faults) from error


def _build_request(
    frame: codec.Frame, message: codec.Message
) -> requests.Request | None:
    if not isinstance(message, messages.Forwarded):
        return requests.Request(frame.sender, frame.incarnation, frame.address, message)
    try:
        inner = codec.decode_message(message.kind, message.payload)
    except errors.SchemaError:
        return None
    return requests.Request(
        message.sender, message.incarnation, message.address, inner, True
    )
