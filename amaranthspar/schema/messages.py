"""Classes of the schema file ``schema/messages.yaml``; generated."""

from __future__ import annotations

from typing import Any, TypeAlias

import attrs

Messages: TypeAlias = Any


@attrs.frozen(slots=True)
class Forwarded:
    """Carries a request that a controller forwards to the leader.

    Attributes:
        sender: Process name of the original sender.
        incarnation: Incarnation of the original sender.
        address: Address to which the response is sent.
        kind: Class name of the request.
        payload: Encoded request.
    """

    sender: str
    incarnation: int
    address: str
    kind: str
    payload: bytes


@attrs.frozen(slots=True)
class Announcement:
    """Describes the upstream of a sidecar and its capacity.

    Attributes:
        worker: Name of the worker.
        rack: Rack of the worker.
        group: Upstream group, as in `main` or `ledger`.
        failure_domain: Failure domain of the worker.
        services: Services served by the upstream.
        slots: Largest number of tasks that run at the same time.
        connections: Largest number of connections that are open at the same time.
        cores: Number of processor cores.
        memory_mb: Memory in MB.
        accelerators: Number of accelerators.
    """

    worker: str
    rack: str
    group: str
    failure_domain: str
    services: list[str]
    slots: int
    connections: int
    cores: int
    memory_mb: int
    accelerators: int


@attrs.frozen(slots=True)
class Member:
    """A gateway or sidecar that holds or held a lease, as stored in the registry.

    Attributes:
        process: Unique process name.
        role: `gateway` or `sidecar`.
        incarnation: Start time of the process in ms; increases with each start.
        address: Address at which the process listens for links.
        revision: Membership revision of the last change to this member.
        leaving: Whether the process accepts no new work.
        announcement: Upstream of a sidecar; null for a gateway.
    """

    process: str
    role: str
    incarnation: int
    address: str
    revision: int
    leaving: bool = False
    announcement: Announcement | None = None


@attrs.frozen(slots=True)
class RenewLease:
    """Requests a lease and the changes since the versions that the sender holds.

    Attributes:
        member: Description of the process that holds the lease.
        sent_ms: Monotonic clock of the sender in ms.
        configuration_version: Configuration version that the sender holds; 0 for none.
        membership_revision: Membership revision that the sender holds; 0 for none.
        controllers_revision: Revision of the set of controllers that the sender holds; 0 for none.
    """

    member: Member
    sent_ms: int
    configuration_version: int
    membership_revision: int
    controllers_revision: int = 0


@attrs.frozen(slots=True)
class AnnounceVersion:
    """Notifies a lease holder of a newer configuration, so that it renews at once.

    Attributes:
        version: Newest committed configuration version.
    """

    version: int


@attrs.frozen(slots=True)
class Setting:
    """One key of a section with its value.

    Attributes:
        key: Name of the key.
        value: Value as text.
    """

    key: str
    value: str


@attrs.frozen(slots=True)
class MembershipChange:
    """Difference between two membership revisions.

    Attributes:
        base_revision: Revision to which the change applies; 0 for the complete membership.
        revision: Revision after the change.
        members: Members that have joined or changed.
        removed: Names of the processes that have left or whose lease has expired.
    """

    base_revision: int
    revision: int
    members: list[Member]
    removed: list[str]


@attrs.frozen(slots=True)
class LeaseDenied:
    """Denies a lease.

    Attributes:
        sent_ms: Copied from the renewal.
        reason: `no_quorum`, `unregistered` or `superseded`.
        incarnation: Newest known incarnation of a superseded process.
    """

    sent_ms: int
    reason: str
    incarnation: int = 0


@attrs.frozen(slots=True)
class LeaveMembership:
    """States that a process accepts no new work, or that it has stopped.

    Attributes:
        process: Process name.
        incarnation: Incarnation that leaves.
        stopped: Whether the process has finished its work.
    """

    process: str
    incarnation: int
    stopped: bool


@attrs.frozen(slots=True)
class ProposeConfiguration:
    """Proposes a complete configuration on behalf of an operator.

    Attributes:
        change_id: Unique id of the change, which stays the same when it is sent again.
        base_version: Version on which the change is based.
        operator: Name of the operator's account.
        text: Configuration as INI text.
    """

    change_id: str
    base_version: int
    operator: str
    text: str


@attrs.frozen(slots=True)
class ConfigurationDecided:
    """Returns the outcome of a proposed configuration.

    Attributes:
        change_id: Copied from the proposal.
        outcome: `accepted`, `conflict`, `invalid` or `unavailable`.
        version: Version after an accepted change, otherwise the current version.
        errors: All faults found in the text.
    """

    change_id: str
    outcome: str
    version: int
    errors: list[str]


@attrs.frozen(slots=True)
class FetchConfiguration:
    """Requests the configuration of a version and the latest history.

    Attributes:
        request: Request number, which the reply repeats.
        version: Requested version; 0 for the newest.
    """

    request: int
    version: int


@attrs.frozen(slots=True)
class HistoryItem:
    """One accepted configuration change.

    Attributes:
        version: Version after the change.
        change_id: Id of the change, given by the operator.
        operator: Name of the operator's account.
        accepted_ms: Wall clock time of the leader in ms.
    """

    version: int
    change_id: str
    operator: str
    accepted_ms: int


@attrs.frozen(slots=True)
class ClaimSubmission:
    """Claims a submission with an idempotency key for one gateway, before its first start.

    Attributes:
        key: Hash of the account, service and idempotency key.
        fingerprint: Digest of the request's body.
        submission: Submission id that the claiming gateway assigned.
        gateway: Process name of the claiming gateway.
        incarnation: Incarnation of the claiming gateway.
    """

    key: str
    fingerprint: str
    submission: str
    gateway: str
    incarnation: int


@attrs.frozen(slots=True)
class ReleaseClaim:
    """Releases the claim of a submission that certainly did not run.

    Attributes:
        key: Hash of the account, service and idempotency key.
        submission: Id of the submission that holds the claim.
    """

    key: str
    submission: str


@attrs.frozen(slots=True)
class ClaimDecided:
    """Returns which submission and gateway hold the claim on an idempotency key.

    Attributes:
        key: Copied from the claim.
        fingerprint: Digest of the body of the request that holds the claim.
        submission: Id of the submission that holds the claim; empty if unavailable.
        gateway: Process name of the gateway that holds the claim; empty if unavailable.
        incarnation: Incarnation of the gateway that holds the claim.
    """

    key: str
    fingerprint: str
    submission: str
    gateway: str
    incarnation: int


@attrs.frozen(slots=True)
class AttachSubmission:
    """Asks the gateway that holds the claim of a submission for its answer.

    Attributes:
        submission: Submission id.
        incarnation: Incarnation of the gateway that admitted the submission.
        account: Account on whose behalf the answer is requested.
        wait: Whether to answer only after the submission has ended.
    """

    submission: str
    incarnation: int
    account: str
    wait: bool


@attrs.frozen(slots=True)
class CancelSubmission:
    """Asks the gateway that holds a submission to cancel it.

    Attributes:
        submission: Submission id.
        account: Account that requests the cancellation.
    """

    submission: str
    account: str


@attrs.frozen(slots=True)
class TaskStart:
    """One task of a `StartTasks` message.

    Attributes:
        index: Position in the submission.
        payload: Request body for the upstream.
        cores: Processor cores that the task declares.
        memory_mb: Memory that the task declares in MB.
        accelerators: Accelerators that the task declares.
    """

    index: int
    payload: bytes
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen(slots=True)
class StartTasks:
    """Sends tasks of one submission to a sidecar.

    Attributes:
        sequence: Sequence number, which increases with each start message on this link.
        target: Incarnation of the sidecar that may start the tasks.
        configuration_version: Configuration version that the gateway holds.
        submission: Submission id.
        service: Service name.
        content_type: Content type of the payloads.
        deadline_ms: Time left until the deadline in ms when the message is sent.
        queued: Share of the tasks queued in the gateway that this upstream may run.
        oldest_wait_ms: Waiting time in ms of the oldest queued request for a response.
        sent: Total number of tasks sent and credits returned, including this message.
        acknowledged: Sequence number up to which results have arrived.
        tasks: Tasks to start.
        desk: Desk name; empty for none.
        traceparent: W3C trace context; empty for none.
    """

    sequence: int
    target: int
    configuration_version: int
    submission: str
    service: str
    content_type: str
    deadline_ms: int
    queued: int
    oldest_wait_ms: int
    sent: int
    acknowledged: int
    tasks: list[TaskStart]
    desk: str = ""
    traceparent: str = ""


@attrs.frozen(slots=True)
class TaskResult:
    """Result of one task that has finished or was refused.

    Attributes:
        submission: Submission id.
        index: Position in the submission.
        outcome: `done`, `not-run` or `unknown`.
        reason: Why the task did not run or its outcome is unknown.
        status: HTTP status of the upstream's response.
        content_type: Content type of the upstream's response.
        body: Body of the upstream's response.
        digest: Digest of the body.
        run_ms: Run time in ms.
        start: Sequence number of the start message or inquiry that this result answers.
    """

    submission: str
    index: int
    outcome: str
    reason: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    digest: int = 0
    run_ms: int = 0
    start: int = 0


@attrs.frozen(slots=True)
class ReportResults:
    """Reports finished or refused tasks and the credit limit of the gateway.

    Attributes:
        target: Incarnation of the gateway that receives the results.
        first_sequence: Sequence number of the first result on this link.
        results: Results in the order of their sequence numbers.
        credit_limit: Total number of tasks that the gateway is allowed to send.
        received: Start sequence number up to which all tasks are accounted for; 0 if uncertain.
        dropped: Sequence number up to which the sidecar no longer stores any result.
        spare: Number of idle slots for which the gateway has no credit.
    """

    target: int
    first_sequence: int
    results: list[TaskResult]
    credit_limit: int
    received: int = 0
    dropped: int = 0
    spare: int = 0


@attrs.frozen(slots=True)
class GrantCredits:
    """States the total number of tasks that a gateway is allowed to send.

    Attributes:
        credit_limit: Total number of tasks that the gateway is allowed to send.
        target: Incarnation of the gateway that holds the credits.
        recalled: Number of unused credits that the sidecar asks the gateway to return.
        slots: Number of slots of the upstream.
        received: Start sequence number up to which all tasks are accounted for; 0 if uncertain.
    """

    credit_limit: int
    target: int
    recalled: int = 0
    slots: int = 0
    received: int = 0


@attrs.frozen(slots=True)
class ReportDemand:
    """Reports the backlog of a gateway to a sidecar and acknowledges results.

    Attributes:
        target: Incarnation of the sidecar.
        queued: Share of the tasks queued in the gateway that this upstream may run.
        oldest_wait_ms: Waiting time in ms of the oldest queued request for a response.
        sent: Total number of tasks sent and credits returned.
        acknowledged: Sequence number up to which results have arrived.
        limit: Last credit limit that the gateway received; -1 if not stated.
    """

    target: int
    queued: int
    oldest_wait_ms: int
    sent: int
    acknowledged: int
    limit: int = -1


@attrs.frozen(slots=True)
class InquireSettled:
    """Asks a sidecar up to which version it has settled the moves of desks.

    Attributes:
        target: Incarnation of the sidecar that is asked.
    """

    target: int


@attrs.frozen(slots=True)
class ReportSettled:
    """Reports up to which version a sidecar has settled the moves of desks.

    Attributes:
        target: Incarnation of the gateway that asked.
        version: Configuration version; no task of a desk that it moved away runs on the sidecar.
    """

    target: int
    version: int


@attrs.frozen(slots=True)
class CancelTasks:
    """Cancels tasks of a submission.

    Attributes:
        submission: Submission id.
        indexes: Positions in the submission.
    """

    submission: str
    indexes: list[int]


@attrs.frozen(slots=True)
class TaskReference:
    """Identifies one task.

    Attributes:
        submission: Submission id.
        index: Position in the submission.
        sequence: Sequence number of the start message that contained the task.
    """

    submission: str
    index: int
    sequence: int = 0


@attrs.frozen(slots=True)
class InquireTasks:
    """Asks for the state of tasks; those that the sidecar has not received never start.

    Attributes:
        target: Incarnation of the sidecar that is asked.
        sequence: Sequence number of the last start message sent; none up to it may start later.
        tasks: Tasks whose state is uncertain.
    """

    target: int
    sequence: int
    tasks: list[TaskReference]


@attrs.frozen(slots=True)
class LogEntry:
    """One entry of the replicated log.

    Attributes:
        index: Position in the log, counted from 1.
        term: Term of the leader that created the entry.
        kind: Class name of the command; empty for the first entry of a leader.
        payload: Encoded command.
    """

    index: int
    term: int
    kind: str
    payload: bytes


@attrs.frozen(slots=True)
class RequestVote:
    """Asks a replica for its vote, or for a pre-vote.

    Attributes:
        term: Term of the candidate.
        candidate: Replica id of the candidate.
        last_index: Index of the candidate's last entry.
        last_term: Term of the candidate's last entry.
        pre_vote: Whether this only asks if the vote would be granted.
        transfer: Whether the leader requested this election.
        folder: Random number that identifies the data folder of the sender.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False
    folder: int = 0


@attrs.frozen(slots=True)
class Vote:
    """Answers a `RequestVote` message.

    Attributes:
        term: Term of the voter; for a granted pre-vote, the requested term.
        voter: Replica id of the voter.
        granted: Whether the vote is granted.
        pre_vote: Copied from the request.
        folder: Random number that identifies the data folder of the sender.
    """

    term: int
    voter: str
    granted: bool
    pre_vote: bool
    folder: int = 0


@attrs.frozen(slots=True)
class AppendEntries:
    """Replicates log entries and serves as the heartbeat of the leader.

    Attributes:
        term: Term of the leader.
        leader: Replica id of the leader.
        previous_index: Index of the entry before the first one sent.
        previous_term: Term of the entry before the first one sent.
        commit_index: Leader's commit index.
        round: Number of the leader's heartbeat round.
        view_age_ms: Age in ms of the leader's quorum-confirmed view; -1 for none.
        echoed_round: Last `follower_round` that the leader received from this follower.
        entries: Entries to append.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    commit_index: int
    round: int
    view_age_ms: int
    echoed_round: int
    entries: list[LogEntry]


@attrs.frozen(slots=True)
class Appended:
    """Answers an `AppendEntries` message.

    Attributes:
        term: Term of the follower.
        follower: Replica id of the follower.
        success: Whether the previous entry matches the log of the follower.
        match_index: Last index known to match, or after a mismatch the index after which to continue.
        round: Copied from the request.
        follower_round: Number of this response, which the leader echoes.
        seen: Processes whose leases this follower has renewed since its last response.
        folder: Random number that identifies the data folder of the sender.
        failure_domain: Failure domain of the sender; empty if it is not known.
    """

    term: int
    follower: str
    success: bool
    match_index: int
    round: int
    follower_round: int
    seen: list[str]
    folder: int = 0
    failure_domain: str = ""


@attrs.frozen(slots=True)
class InstallSnapshot:
    """Sends one chunk of a snapshot to a replica whose log is far behind.

    Attributes:
        term: Term of the leader.
        leader: Replica id of the leader.
        last_index: Last index that the snapshot covers.
        last_term: Term of the last index.
        offset: Offset of the chunk in the snapshot in bytes.
        chunk: Content of the chunk.
        done: Whether this is the last chunk.
    """

    term: int
    leader: str
    last_index: int
    last_term: int
    offset: int
    chunk: bytes
    done: bool


@attrs.frozen(slots=True)
class SnapshotReceived:
    """Answers an `InstallSnapshot` message.

    Attributes:
        term: Term of the follower.
        follower: Replica id of the follower.
        last_index: Last index that the snapshot covers.
        offset: Number of bytes received so far.
        done: Whether the snapshot is installed.
        folder: Random number that identifies the data folder of the sender.
    """

    term: int
    follower: str
    last_index: int
    offset: int
    done: bool
    folder: int = 0


@attrs.frozen(slots=True)
class TransferLeadership:
    """Asks a follower to start an election at once.

    Attributes:
        term: Term of the leader.
        leader: Replica id of the leader.
    """

    term: int
    leader: str


@attrs.frozen(slots=True)
class Replica:
    """One replica of the replicated log.

    Attributes:
        id: Replica id; after a removal only the same data folder uses it again.
        address: Address at which the replica listens for links.
        voter: Whether the replica counts in a majority.
        folder: Random number that identifies its data folder; 0 if not known yet.
        failure_domain: Failure domain of its host; empty if not known.
    """

    id: str
    address: str
    voter: bool
    folder: int = 0
    failure_domain: str = ""


@attrs.frozen(slots=True)
class ChangeReplicas:
    """Replaces the set of replicas.

    Attributes:
        replicas: All replicas after the change.
        retired: Ids of removed replicas; only a removed replica itself may join under one.
        reason: Who made the change, and why.
        replaced: Addresses of hosts for which a successor in their failure domain has joined.
    """

    replicas: list[Replica]
    retired: list[str]
    reason: str = ""
    replaced: list[str] = attrs.field(factory=list)


@attrs.frozen(slots=True)
class MemberRemoval:
    """Removes one incarnation of a member.

    Attributes:
        process: Process name.
        incarnation: Removed incarnation.
        stopped: Whether the process itself reported that it has stopped.
    """

    process: str
    incarnation: int
    stopped: bool


@attrs.frozen(slots=True)
class RecordClaims:
    """Claims submissions with idempotency keys in one batch; the first claim of a key wins.

    Attributes:
        claims: Claims in order.
        decided_ms: Time of the claims in ms, which advances while there is a leader.
        retention_ms: Time for which a claim is retained in ms.
    """

    claims: list[ClaimSubmission]
    decided_ms: int
    retention_ms: int


@attrs.frozen(slots=True)
class KeptClaim:
    """Stores a claim and the time at which it was decided.

    Attributes:
        decided_ms: Time of the claims in ms, which advances while there is a leader.
        claim: Claim on the idempotency key.
    """

    decided_ms: int
    claim: ClaimSubmission


@attrs.frozen(slots=True)
class KeptChange:
    """Stores an accepted configuration change in the registry.

    Attributes:
        item: Change as shown in the history.
        fingerprint: Digest of the proposed text and base version.
    """

    item: HistoryItem
    fingerprint: str


@attrs.frozen(slots=True)
class MemberTombstone:
    """Records the removal of a member.

    Attributes:
        revision: Membership revision of the removal.
        removal: Process and incarnation that were removed.
    """

    revision: int
    removal: MemberRemoval


@attrs.frozen(slots=True)
class LogSnapshot:
    """State of the registry and the set of replicas at one index of the log.

    Attributes:
        index: Last index that the snapshot covers.
        term: Term of the last index.
        replicas: Replicas at that index.
        state: Encoded state of the registry.
    """

    index: int
    term: int
    replicas: ChangeReplicas
    state: bytes


@attrs.frozen(slots=True)
class ReplicaState:
    """Term and vote of a replica, as stored on disk.

    Attributes:
        term: Current term.
        vote: Replica id that received the vote in this term; empty for none.
    """

    term: int
    vote: str


@attrs.frozen(slots=True)
class LogTruncation:
    """Removes the end of the log, as stored on disk.

    Attributes:
        index: First removed index.
    """

    index: int


@attrs.frozen(slots=True)
class FolderIdentity:
    """Identifies the replica to which a data folder belongs, as stored on disk.

    Attributes:
        format_version: Version of the file format.
        replica: Replica id.
        folder: Random number that identifies the data folder.
        inode: Inode of the identity file, which differs in a copy of the folder.
    """

    format_version: int
    replica: str
    folder: int
    inode: int


@attrs.frozen(slots=True)
class ReplaceReplica:
    """Removes a replica, adds one as learner, or both; with neither, requests the set.

    Attributes:
        request: Request number, which the reply repeats.
        removed: Replica id to remove; empty for none.
        added: Replica id to add; empty for none.
        address: Address of the added replica.
        operator: Name of the operator's account.
    """

    request: int
    removed: str
    added: str
    address: str
    operator: str


@attrs.frozen(slots=True)
class ReplicasChanged:
    """Returns the set of replicas.

    Attributes:
        request: Copied from the request.
        outcome: `accepted` or `refused`.
        reason: Reason for the refusal.
        replicas: Replicas according to the leader's log.
        leader: Replica id of the leader.
    """

    request: int
    outcome: str
    reason: str
    replicas: list[Replica]
    leader: str


@attrs.frozen(slots=True)
class JoinReplicas:
    """Asks the leader to add a replica to the set: one with an empty data folder, or one that was removed while it was silent. A replica of the set that hears no leader sends it too, as it may have moved.

    Attributes:
        replica: Replica id.
        address: Address of the replica.
        folder: Random number that identifies the data folder of the sender.
        failure_domain: Failure domain of the sender; empty if it is not known.
    """

    replica: str
    address: str
    folder: int = 0
    failure_domain: str = ""


@attrs.frozen(slots=True)
class LeaveReplicas:
    """Asks the leader to remove a stopping replica that the set can spare. Answered by `ReplicasChanged`; repeated until it is removed.

    Attributes:
        request: Request number, which the reply repeats.
        replica: Replica id.
        members_index: Index of the entry with the set that the replica knows; the request holds for no other set.
    """

    request: int
    replica: str
    members_index: int


@attrs.frozen(slots=True)
class Section:
    """One section of the configuration in its INI form.

    Attributes:
        name: Kind and name of the entry, as in `service lookup`.
        settings: Settings in the order of the text.
    """

    name: str
    settings: list[Setting]


@attrs.frozen(slots=True)
class ConfigurationFetched:
    """Returns a configuration and the latest accepted changes.

    Attributes:
        request: Copied from the request.
        version: Version of the text; 0 if it is not available.
        text: Configuration as INI text.
        history: Latest accepted changes, oldest first.
    """

    request: int
    version: int
    text: str
    history: list[HistoryItem]


@attrs.frozen(slots=True)
class SubmissionAnswered:
    """Passes the answer of a submission with an idempotency key to another gateway.

    Attributes:
        submission: Submission id.
        outcome: `done`, `not-run`, `unknown`, `running` (not ended yet) or `missing`.
        results: Results in the order of the tasks; empty for a failure.
        reason: Reason for the failure of the submission; empty for a complete answer.
    """

    submission: str
    outcome: str
    results: list[TaskResult]
    reason: str


@attrs.frozen(slots=True)
class ChangeMembers:
    """Adds, changes and removes members in one batch.

    Attributes:
        members: Members that have joined or changed.
        removed: Members that have left or whose lease has expired.
    """

    members: list[Member]
    removed: list[MemberRemoval]


@attrs.frozen(slots=True)
class AcceptConfiguration:
    """Changes the configuration if the current version is still the base version.

    Attributes:
        change_id: Unique id of the change.
        base_version: Version on which the change is based.
        operator: Name of the operator's account.
        fingerprint: Digest of the proposed text and base version.
        accepted_ms: Wall clock time of the leader in ms.
        sections: Added or replaced sections.
        removed: Names of the removed sections.
    """

    change_id: str
    base_version: int
    operator: str
    fingerprint: str
    accepted_ms: int
    sections: list[Section]
    removed: list[str]


@attrs.frozen(slots=True)
class ConfigurationChange:
    """Difference between two configuration versions, section by section.

    Attributes:
        base_version: Version to which the change applies; 0 for a complete configuration.
        version: Version after the change.
        sections: Added or replaced sections.
        removed: Names of the removed sections.
    """

    base_version: int
    version: int
    sections: list[Section]
    removed: list[str]


@attrs.frozen(slots=True)
class LeaseGranted:
    """Grants a lease that begins `age_ms` before the renewal was sent.

    Attributes:
        sent_ms: Copied from the renewal.
        duration_ms: Length of the lease in ms.
        age_ms: Age in ms of the controller's quorum-confirmed view.
        configuration_version: Newest committed configuration version.
        membership_revision: Newest committed membership revision.
        configuration: Changes since the configuration version of the holder; null for none.
        membership: Changes since the membership revision of the holder; null for none.
        controllers: Addresses of all controllers; empty if the holder has the newest set.
        controllers_revision: Revision of `controllers`.
    """

    sent_ms: int
    duration_ms: int
    age_ms: int
    configuration_version: int
    membership_revision: int
    configuration: ConfigurationChange | None = None
    membership: MembershipChange | None = None
    controllers: list[str] = attrs.field(factory=list)
    controllers_revision: int = 0


@attrs.frozen(slots=True)
class RegistrySnapshot:
    """Complete state of the registry.

    Attributes:
        sections: Sections of the oldest retained configuration.
        oldest_version: Version of these sections.
        changes: Changes to later versions in order.
        history: Accepted changes in order.
        members: Current members.
        revision: Membership revision.
        floor_revision: Oldest revision from which changes can be derived.
        tombstones: Latest removals in order.
        claims: Claims in the order in which they were decided.
        document_version: Version of the routing document; -1 for none.
        document: Content of the routing document.
        domains_revision: Revision of the list of failure domains that are out of service.
        domains_out: Failure domains that are out of service.
        newest_order: Number of the newest order on domains.
        newest_order_name: Request name of the newest order on domains.
    """

    sections: list[Section]
    oldest_version: int
    changes: list[ConfigurationChange]
    history: list[KeptChange]
    members: list[Member]
    revision: int
    floor_revision: int
    tombstones: list[MemberTombstone]
    claims: list[KeptClaim]
    document_version: int = -1
    document: bytes = b""
    domains_revision: int = 0
    domains_out: list[str] = attrs.field(factory=list)
    newest_order: int = 0
    newest_order_name: str = ""
