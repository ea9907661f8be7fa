"""Classes of the schema file ``schema/messages.yaml``; generated."""

from __future__ import annotations

from typing import Any, TypeAlias

import attrs

Messages: TypeAlias = Any


@attrs.frozen(slots=True)
class Forwarded:
    """Carries a request that a controller hands on to the leader.

    Attributes:
        sender: Process name of the first sender.
        incarnation: Incarnation of the first sender.
        address: Address to which the answer goes.
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
    """What a sidecar states about its upstream.

    Attributes:
        worker: Name of the worker.
        rack: Rack of the worker.
        group: Upstream group, as in `main` or `ledger`.
        failure_domain: Failure domain of the worker.
        services: Services served by the upstream.
        slots: Tasks that may run at once.
        connections: Connections that may be open at once.
        cores: Processor cores.
        memory_mb: Memory in MB.
        accelerators: Accelerators.
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
    """A process that holds or held a lease, as replicated.

    Attributes:
        process: Unique process name.
        role: `gateway` or `sidecar`.
        incarnation: Start time of the process in ms; grows with each start.
        address: Address at which the process listens.
        revision: Membership revision of the last change to this member.
        leaving: Whether the process takes no new work.
        announcement: Upstream of a sidecar, none for a gateway.
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
    """Asks a controller for a lease and for what changed since the versions held.

    Attributes:
        member: The holder itself.
        sent_ms: Holder's monotonic clock in ms.
        configuration_version: Configuration version held; 0 for none.
        membership_revision: Membership revision held; 0 for none.
    """

    member: Member
    sent_ms: int
    configuration_version: int
    membership_revision: int


@attrs.frozen(slots=True)
class AnnounceVersion:
    """Tells a holder that a newer configuration is in force, so that it renews at once.

    Attributes:
        version: Newest committed configuration version.
    """

    version: int


@attrs.frozen(slots=True)
class Setting:
    """One key and value of a section.

    Attributes:
        key: Key.
        value: Value as text.
    """

    key: str
    value: str


@attrs.frozen(slots=True)
class MembershipChange:
    """Difference between two membership revisions.

    Attributes:
        base_revision: Revision that the change applies to; 0 for a snapshot.
        revision: Revision after the change.
        members: Members that joined or changed.
        removed: Names of the processes that left or expired.
    """

    base_revision: int
    revision: int
    members: list[Member]
    removed: list[str]


@attrs.frozen(slots=True)
class LeaseDenied:
    """Refuses a lease.

    Attributes:
        sent_ms: Copied from the renewal.
        reason: `no_quorum`, `unregistered` or `superseded`.
        incarnation: Newest incarnation known of a superseded process.
    """

    sent_ms: int
    reason: str
    incarnation: int = 0


@attrs.frozen(slots=True)
class LeaveMembership:
    """Says that a process takes no new work, or has stopped.

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
    """Proposes a whole configuration on behalf of an operator.

    Attributes:
        change_id: Unique name of the change; a resend carries the same.
        base_version: Version that the change is based on.
        operator: Name of the operator's account.
        text: Configuration as INI text.
    """

    change_id: str
    base_version: int
    operator: str
    text: str


@attrs.frozen(slots=True)
class ConfigurationDecided:
    """Tells how a proposed configuration ended.

    Attributes:
        change_id: Copied from the proposal.
        outcome: `accepted`, `conflict`, `invalid` or `unavailable`.
        version: Version after the change or the current version.
        errors: Every fault found in the text.
    """

    change_id: str
    outcome: str
    version: int
    errors: list[str]


@attrs.frozen(slots=True)
class FetchConfiguration:
    """Asks for the configuration of a version and for the latest history.

    Attributes:
        request: Number that the reply carries.
        version: Version wanted; 0 for the newest.
    """

    request: int
    version: int


@attrs.frozen(slots=True)
class HistoryItem:
    """One accepted configuration change.

    Attributes:
        version: Version after the change.
        change_id: Change id given by the operator.
        operator: Name of the operator's account.
        accepted_ms: Wall clock of the leader in ms.
    """

    version: int
    change_id: str
    operator: str
    accepted_ms: int


@attrs.frozen(slots=True)
class ClaimSubmission:
    """Claims a keyed submission for one gateway before its first start.

    Attributes:
        key: Account, service and idempotency key, hashed.
        fingerprint: Digest of the request's body.
        submission: Submission id given by the claiming gateway.
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
    """Gives up the claim of a submission that certainly did not run.

    Attributes:
        key: Account, service and idempotency key, hashed.
        submission: Submission that holds the key.
    """

    key: str
    submission: str


@attrs.frozen(slots=True)
class ClaimDecided:
    """Tells who holds a keyed submission.

    Attributes:
        key: Copied from the claim.
        fingerprint: Digest of the request that holds the key.
        submission: Submission that holds the key; empty if unavailable.
        gateway: Gateway that holds the key; empty if unavailable.
        incarnation: Incarnation of the holder.
    """

    key: str
    fingerprint: str
    submission: str
    gateway: str
    incarnation: int


@attrs.frozen(slots=True)
class AttachSubmission:
    """Asks the gateway that holds a keyed submission for its answer.

    Attributes:
        submission: Submission id.
        incarnation: Gateway incarnation that admitted it.
        account: Account that asks.
        wait: Whether to answer only once the submission has ended.
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
        account: Account that asks.
    """

    submission: str
    account: str


@attrs.frozen(slots=True)
class TaskStart:
    """One task of a start message.

    Attributes:
        index: Position in the submission.
        payload: Body for the upstream.
        cores: Declared processor cores.
        memory_mb: Declared memory in MB.
        accelerators: Declared accelerators.
    """

    index: int
    payload: bytes
    cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen(slots=True)
class StartTasks:
    """Offers tasks of one submission to a sidecar.

    Attributes:
        sequence: Grows with each start message on this link.
        target: Sidecar incarnation that may start the tasks.
        configuration_version: Configuration version of the gateway.
        submission: Submission id.
        service: Service name.
        content_type: Content type of the payloads.
        deadline_ms: Time left in ms when sent.
        queued: Part of the gateway's waiting tasks that this upstream may take.
        oldest_wait_ms: Wait in ms of the oldest request for a response.
        sent: Total of tasks sent and credits handed back after this message.
        acknowledged: Sequence up to which results arrived.
        tasks: Tasks.
        desk: Desk name; empty for none.
        traceparent: W3C trace context.
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
    """One finished or refused task.

    Attributes:
        submission: Submission id.
        index: Position in the submission.
        outcome: `done`, `not-run` or `unknown`.
        reason: Why a task did not run or is unknown.
        status: HTTP status of the upstream.
        content_type: Content type of the upstream's body.
        body: Body of the upstream.
        digest: Digest of the body.
        run_ms: Run time in ms.
        start: Sequence of the start message or inquiry that it answers.
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
    """Reports finished or refused tasks and the gateway's credit limit.

    Attributes:
        target: Gateway incarnation that the results are for.
        first_sequence: Sequence of the first result on this link.
        results: Results.
        credit_limit: Total of tasks that the gateway may have sent.
        received: Start sequence up to which every task is accounted for; 0 if uncertain.
        dropped: Result sequence up to which none is held any more.
        spare: Idle slots for which the gateway holds no credit.
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
    """States how many tasks a gateway may have sent in total.

    Attributes:
        credit_limit: Total of tasks that the gateway may have sent.
        target: Gateway incarnation that holds the credits.
        recalled: Unused credits that the sidecar wants back.
        slots: Slots of the upstream.
        received: Start sequence up to which every task is accounted for; 0 if uncertain.
    """

    credit_limit: int
    target: int
    recalled: int = 0
    slots: int = 0
    received: int = 0


@attrs.frozen(slots=True)
class ReportDemand:
    """Tells a sidecar how much work a gateway holds, and confirms results.

    Attributes:
        target: Sidecar incarnation.
        queued: Part of the gateway's waiting tasks that this upstream may take.
        oldest_wait_ms: Wait in ms of the oldest request for a response.
        sent: Total of tasks sent or credits handed back.
        acknowledged: Sequence up to which results arrived.
        limit: Credit limit that the gateway knows; -1 if not stated.
    """

    target: int
    queued: int
    oldest_wait_ms: int
    sent: int
    acknowledged: int
    limit: int = -1


@attrs.frozen(slots=True)
class InquireSettled:
    """Asks a sidecar whether it has settled the moves of desks up to a version.

    Attributes:
        target: Sidecar incarnation asked.
    """

    target: int


@attrs.frozen(slots=True)
class ReportSettled:
    """States up to which version a sidecar has settled the moves of desks.

    Attributes:
        target: Gateway incarnation that asked.
        version: Configuration version; no task of a desk that it moved away runs here.
    """

    target: int
    version: int


@attrs.frozen(slots=True)
class CancelTasks:
    """Stops tasks of a submission.

    Attributes:
        submission: Submission id.
        indexes: Positions in the submission.
    """

    submission: str
    indexes: list[int]


@attrs.frozen(slots=True)
class TaskReference:
    """Names one task.

    Attributes:
        submission: Submission id.
        index: Position in the submission.
        sequence: Sequence of the start message that carried it.
    """

    submission: str
    index: int
    sequence: int = 0


@attrs.frozen(slots=True)
class InquireTasks:
    """Asks what became of tasks; those not known will never start.

    Attributes:
        target: Sidecar incarnation asked.
        sequence: Last start sequence sent; none up to it may start later.
        tasks: Tasks in doubt.
    """

    target: int
    sequence: int
    tasks: list[TaskReference]


@attrs.frozen(slots=True)
class LogEntry:
    """One entry of the replicated log.

    Attributes:
        index: Position in the log from 1.
        term: Term in which a leader created it.
        kind: Tag of the command; empty for a leader's first entry.
        payload: Encoded command.
    """

    index: int
    term: int
    kind: str
    payload: bytes


@attrs.frozen(slots=True)
class RequestVote:
    """Asks a replica for its vote or for the promise of one.

    Attributes:
        term: Term of the candidate.
        candidate: Replica id of the candidate.
        last_index: Index of the candidate's last entry.
        last_term: Term of the candidate's last entry.
        pre_vote: Whether this only asks if a vote would be given.
        transfer: Whether the leader asked for this election.
        folder: Random number of the sender's data folder.
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
    """Answers a request for a vote.

    Attributes:
        term: Term of the voter; for a granted pre-vote the term asked for.
        voter: Replica id of the voter.
        granted: Whether the vote is given.
        pre_vote: Copied from the request.
        folder: Random number of the sender's data folder.
    """

    term: int
    voter: str
    granted: bool
    pre_vote: bool
    folder: int = 0


@attrs.frozen(slots=True)
class AppendEntries:
    """Replicates entries and confirms the leader.

    Attributes:
        term: Term of the leader.
        leader: Replica id of the leader.
        previous_index: Index before the first entry.
        previous_term: Term before the first entry.
        commit_index: Leader's commit index.
        round: Leader's heartbeat round.
        view_age_ms: Age of the leader's quorum-confirmed view; -1 for none.
        echoed_round: Last follower round that the leader had received.
        entries: Entries.
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
    """Answers an append.

    Attributes:
        term: Term of the follower.
        follower: Replica id of the follower.
        success: Whether the entries match.
        match_index: Last index known to match
        round: Copied from the append.
        follower_round: Follower's own counter; echoed by the leader.
        seen: Processes whose leases this follower renewed since its last answer.
        folder: Random number of the sender's data folder.
    """

    term: int
    follower: str
    success: bool
    match_index: int
    round: int
    follower_round: int
    seen: list[str]
    folder: int = 0


@attrs.frozen(slots=True)
class InstallSnapshot:
    """Carries one chunk of a snapshot to a replica that is far behind.

    Attributes:
        term: Term of the leader.
        leader: Replica id of the leader.
        last_index: Last index that the snapshot covers.
        last_term: Term of that index.
        offset: Position of the chunk in bytes.
        chunk: Bytes.
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
    """Answers a snapshot chunk.

    Attributes:
        term: Term of the follower.
        follower: Replica id of the follower.
        last_index: Last index that the snapshot covers.
        offset: Bytes held so far.
        done: Whether the snapshot is installed.
        folder: Random number of the sender's data folder.
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
    """One replica of the log.

    Attributes:
        id: Replica id; never used again once removed.
        address: Address at which the replica listens.
        voter: Whether the replica counts in a majority.
        folder: Random number of its data folder; 0 while not known.
    """

    id: str
    address: str
    voter: bool
    folder: int = 0


@attrs.frozen(slots=True)
class ChangeReplicas:
    """Replaces the set of replicas.

    Attributes:
        replicas: All replicas after the change.
        retired: Replica ids that may not be used again.
        reason: Who made the change and why.
    """

    replicas: list[Replica]
    retired: list[str]
    reason: str = ""


@attrs.frozen(slots=True)
class MemberRemoval:
    """Removes one incarnation of a member.

    Attributes:
        process: Process name.
        incarnation: Incarnation that is removed.
        stopped: Whether the process said itself that it stopped.
    """

    process: str
    incarnation: int
    stopped: bool


@attrs.frozen(slots=True)
class RecordClaims:
    """Claims keyed submissions in one batch; the first claim of a key wins.

    Attributes:
        claims: Claims in order.
        decided_ms: Time of the claims in ms; goes on while there is a leader.
        retention_ms: Time for which a claim is kept in ms.
    """

    claims: list[ClaimSubmission]
    decided_ms: int
    retention_ms: int


@attrs.frozen(slots=True)
class KeptClaim:
    """A claim and when it was decided.

    Attributes:
        decided_ms: Time of the claims in ms; goes on while there is a leader.
        claim: Claim that holds the key.
    """

    decided_ms: int
    claim: ClaimSubmission


@attrs.frozen(slots=True)
class KeptChange:
    """An accepted configuration change as kept by the registry.

    Attributes:
        item: What the history shows.
        fingerprint: Digest of the proposed text and base version.
    """

    item: HistoryItem
    fingerprint: str


@attrs.frozen(slots=True)
class MemberTombstone:
    """A member that is gone.

    Attributes:
        revision: Membership revision of the removal.
        removal: What was removed.
    """

    revision: int
    removal: MemberRemoval


@attrs.frozen(slots=True)
class LogSnapshot:
    """State of the registry and of the set of replicas at one index.

    Attributes:
        index: Last index covered.
        term: Term of that index.
        replicas: Replicas at that index.
        state: Encoded state of the registry.
    """

    index: int
    term: int
    replicas: ChangeReplicas
    state: bytes


@attrs.frozen(slots=True)
class ReplicaState:
    """Term and vote of a replica, as kept on disk.

    Attributes:
        term: Current term.
        vote: Replica id that has the vote in this term; empty for none.
    """

    term: int
    vote: str


@attrs.frozen(slots=True)
class LogTruncation:
    """Removes the end of the log, as kept on disk.

    Attributes:
        index: First index that is removed.
    """

    index: int


@attrs.frozen(slots=True)
class FolderIdentity:
    """Whose data folder it is, as kept on disk.

    Attributes:
        format_version: Version of the file format.
        replica: Replica id.
        folder: Random number of the folder.
        inode: Inode of the identity file; differs in a copy.
    """

    format_version: int
    replica: str
    folder: int
    inode: int


@attrs.frozen(slots=True)
class ReplaceReplica:
    """Removes a replica, adds a new one as learner, or both; with neither it asks for the set.

    Attributes:
        request: Number that the reply carries.
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
    """Answers with the set of replicas.

    Attributes:
        request: Copied from the request.
        outcome: `accepted` or `refused`.
        reason: Why it was refused.
        replicas: Replicas by the leader's log.
        leader: Replica id of the leader.
    """

    request: int
    outcome: str
    reason: str
    replicas: list[Replica]
    leader: str


@attrs.frozen(slots=True)
class JoinReplicas:
    """Asks the leader to take a replica with an empty data folder into the set.

    Attributes:
        replica: Replica id.
        address: Address of the replica.
    """

    replica: str
    address: str


@attrs.frozen(slots=True)
class Section:
    """One section of the configuration in INI terms.

    Attributes:
        name: Kind and name, as in `service lookup`.
        settings: Settings in order.
    """

    name: str
    settings: list[Setting]


@attrs.frozen(slots=True)
class ConfigurationFetched:
    """Answers with a configuration and the latest changes.

    Attributes:
        request: Copied from the request.
        version: Version of the text; 0 if it is not available.
        text: Configuration as INI text.
        history: Latest changes, oldest first.
    """

    request: int
    version: int
    text: str
    history: list[HistoryItem]


@attrs.frozen(slots=True)
class SubmissionAnswered:
    """Hands the answer of a keyed submission to another gateway.

    Attributes:
        submission: Submission id.
        outcome: `done`, `not-run`, `unknown`, or `running` for one that has not ended, or `missing`.
        results: Results in task order; empty for a failure.
        reason: Why the submission failed; empty for a whole answer.
    """

    submission: str
    outcome: str
    results: list[TaskResult]
    reason: str


@attrs.frozen(slots=True)
class ChangeMembers:
    """Adds, changes and removes members in one batch.

    Attributes:
        members: Members that join or change.
        removed: Members that leave or expired.
    """

    members: list[Member]
    removed: list[MemberRemoval]


@attrs.frozen(slots=True)
class AcceptConfiguration:
    """Changes the configuration if its version is still the base.

    Attributes:
        change_id: Unique name of the change.
        base_version: Version that the change is based on.
        operator: Name of the operator's account.
        fingerprint: Digest of the proposed text and base version.
        accepted_ms: Wall clock of the leader in ms.
        sections: Sections that are added or replaced.
        removed: Names of the sections that are removed.
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
    """Difference between two configuration versions by section.

    Attributes:
        base_version: Version that the change applies to; 0 for a snapshot.
        version: Version after the change.
        sections: Sections that were added or replaced.
        removed: Names of the sections that were removed.
    """

    base_version: int
    version: int
    sections: list[Section]
    removed: list[str]


@attrs.frozen(slots=True)
class LeaseGranted:
    """Grants a lease that counts from the renewal's sending less the age of the view.

    Attributes:
        sent_ms: Copied from the renewal.
        duration_ms: Length of the lease in ms.
        age_ms: Age in ms of the controller's quorum-confirmed view.
        configuration_version: Newest committed configuration version.
        membership_revision: Newest committed membership revision.
        configuration: What changed since the version held.
        membership: What changed since the revision held.
    """

    sent_ms: int
    duration_ms: int
    age_ms: int
    configuration_version: int
    membership_revision: int
    configuration: ConfigurationChange | None = None
    membership: MembershipChange | None = None


@attrs.frozen(slots=True)
class RegistrySnapshot:
    """Whole state of the registry.

    Attributes:
        sections: Oldest configuration kept.
        oldest_version: Version of these sections.
        changes: Later versions in order.
        history: Accepted changes in order.
        members: Members.
        revision: Membership revision.
        floor_revision: Oldest revision from which deltas are known.
        tombstones: Latest removals in order.
        claims: Claims in order of decision.
        document_version: Version of the routing document; -1 for none.
        document: The routing document.
        domains_revision: Revision of the domains out.
        domains_out: Failure domains that are out of service.
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
