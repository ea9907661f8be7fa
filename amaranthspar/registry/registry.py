"""Replicated state machine: configuration, members, claims and the routing document.

Every replica applies the same entries in the same order and must reach the same state.
The code therefore reads no clock: the leader puts times into the entries.
"""

import bisect

import attrs

from amaranthspar import configuration, errors
from amaranthspar.membership import desks, documents
from amaranthspar.registry import claims, snapshots
from amaranthspar.schema import codec, messages, viewmessages

KEPT_VERSIONS = 128
KEPT_CHANGES = 10_000
KEPT_TOMBSTONES = 4_096
FETCHED_CHANGES = 50


@attrs.frozen(slots=True)
class ConfigurationApplied:
    """A proposed configuration was decided."""

    decision: messages.ConfigurationDecided


@attrs.frozen(slots=True)
class MembersApplied:
    """Members joined, changed or were removed."""

    processes: list[str]


@attrs.frozen(slots=True)
class ClaimApplied:
    """A claim of a key was decided.

    Attributes:
        claim: Submitted claim.
        holder: Claim that holds the key.
    """

    claim: messages.ClaimSubmission
    holder: messages.ClaimSubmission


@attrs.frozen(slots=True)
class DocumentApplied:
    """A document or a failure domain was set.

    Attributes:
        state: Answer to the request.
    """

    state: viewmessages.DocumentState


Outcome = ConfigurationApplied | MembersApplied | ClaimApplied | DocumentApplied


class Registry:
    """Replicated state of the controllers, as held by one replica.

    Attributes:
        version: Current configuration version.
        revision: Current membership revision.
        members: Registered members by process name.
        claims: Claims of idempotency keys.
        documents: Routing document and failure domains.
        floor_revision: Oldest membership revision since which changes can be listed.
    """

    def __init__(self) -> None:
        self.version = 0
        self.revision = 0
        self.members: dict[str, messages.Member] = {}
        self.claims = claims.Claims()
        self.documents = documents.Documents()
        self._oldest_version = 0
        self._versions: list[dict[str, messages.Section]] = [{}]
        self._changes: dict[str, messages.KeptChange] = {}
        self.floor_revision = 0
        self._member_revisions: list[tuple[int, str]] = []
        self._tombstones: list[messages.MemberTombstone] = []
        self._latest_tombstones: dict[str, messages.MemberTombstone] = {}

    def apply(self, entry: messages.LogEntry) -> list[Outcome]:
        """Apply one committed entry.

        Args:
            entry: Entry of the log.

        Returns:
            Outcomes of the entry.

        Raises:
            errors.DecisionError: The entry is of an unknown kind.
        """
        if entry.kind in ("", "ChangeReplicas"):
            return []
        match codec.decode_message(entry.kind, entry.payload):
            case messages.AcceptConfiguration() as command:
                return [ConfigurationApplied(self._accept_configuration(command))]
            case messages.ChangeMembers() as command:
                return [MembersApplied(self._change_members(command))]
            case messages.RecordClaims() as command:
                holders = self.claims.record(command)
                pairs = zip(command.claims, holders, strict=True)
                return [ClaimApplied(claim, holder) for claim, holder in pairs]
            case messages.ReleaseClaim() as command:
                self.claims.release(command)
                return []
            case viewmessages.PutDocument() as command:
                self.documents.put(command)
                return [DocumentApplied(self.documents.answer(command.request))]
            case viewmessages.SetDomain() as command:
                holds = self.documents.set_domain(command)
                answer = self.documents.answer(command.request, not holds)
                return [DocumentApplied(answer)]
            case _:
                raise errors.DecisionError(f"unknown entry kind {entry.kind!r}")

    # Configuration.

    def decide_without_log(
        self, change_id: str, base_version: int, fingerprint: str
    ) -> messages.ConfigurationDecided | None:
        """Return the decision on a change if it is final without a new log entry.

        Args:
            change_id: Unique name of the change.
            base_version: Version that the change is based on.
            fingerprint: Digest of the proposed text and base version.

        Returns:
            The decision; None if a log entry must decide.
        """
        recorded = self._changes.get(change_id)
        if recorded is not None:
            return _repeat_decision(recorded, fingerprint)
        if base_version < self.version:
            return messages.ConfigurationDecided(
                change_id, "conflict", self.version, []
            )
        return None

    def read_sections(self, version: int) -> dict[str, messages.Section] | None:
        """Return the sections of a version by name; None if it is not available.

        Args:
            version: Configuration version.
        """
        offset = version - self._oldest_version
        if not 0 <= offset < len(self._versions):
            return None
        return self._versions[offset]

    def fetch(
        self, request: messages.FetchConfiguration
    ) -> messages.ConfigurationFetched:
        """Return the text of a version and the latest changes.

        Args:
            request: Request with the wanted version; 0 for the current one.
        """
        version = request.version or self.version
        sections = self.read_sections(version)
        text = ""
        if sections is not None:
            text = configuration.format_sections(sections.values())
        latest = list(self._changes.values())[-FETCHED_CHANGES:]
        return messages.ConfigurationFetched(
            request.request,
            version if sections is not None else 0,
            text,
            [change.item for change in latest],
        )

    def _accept_configuration(
        self, command: messages.AcceptConfiguration
    ) -> messages.ConfigurationDecided:
        recorded = self._changes.get(command.change_id)
        if recorded is not None:
            return _repeat_decision(recorded, command.fingerprint)
        if command.base_version != self.version:
            return messages.ConfigurationDecided(
                command.change_id, "conflict", self.version, []
            )
        self._add_version(command.sections, command.removed)
        item = messages.HistoryItem(
            self.version, command.change_id, command.operator, command.accepted_ms
        )
        self._changes[command.change_id] = messages.KeptChange(
            item, command.fingerprint
        )
        if len(self._changes) > KEPT_CHANGES:
            del self._changes[next(iter(self._changes))]
        return messages.ConfigurationDecided(
            command.change_id, "accepted", self.version, []
        )

    def _add_version(
        self, sections: list[messages.Section], removed: list[str]
    ) -> None:
        newest = dict(self._versions[-1])
        for name in removed:
            newest.pop(name, None)
        for section in sections:
            newest[section.name] = section
        self.version += 1
        newest = desks.update_moved_versions(self._versions[-1], newest, self.version)
        self._versions.append(newest)
        if len(self._versions) > KEPT_VERSIONS:
            del self._versions[0]
            self._oldest_version += 1

    # Members.

    def is_superseded(self, member: messages.Member) -> bool:
        """Return whether this incarnation of a process may not join any more.

        That is so if a later incarnation is registered, or if a removal bars this one.

        Args:
            member: Member as the process reports itself.
        """
        registered = self.members.get(member.process)
        if registered is not None and registered.incarnation > member.incarnation:
            return True
        return self._find_barred_incarnation(member.process) >= member.incarnation

    def find_incarnation_bound(self, process: str) -> int:
        """Return an upper bound of the incarnations recorded for a process.

        Args:
            process: Process name.
        """
        registered = self.members.get(process)
        highest = self._find_barred_incarnation(process) + 1
        return highest if registered is None else max(highest, registered.incarnation)

    def is_current(self, member: messages.Member) -> bool:
        """Return whether a process is registered exactly as it reports itself.

        The revision is not compared. A member that is registered as leaving is current
        even if it does not report that it is leaving.

        Args:
            member: Member as the process reports itself.
        """
        registered = self.members.get(member.process)
        if registered is None or (member.leaving and not registered.leaving):
            return False
        stated = attrs.evolve(
            member, revision=registered.revision, leaving=registered.leaving
        )
        return stated == registered

    def list_changed_members(
        self, base_revision: int
    ) -> tuple[list[messages.Member], list[messages.MemberRemoval]] | None:
        """Return the members changed and the members removed since a revision.

        Args:
            base_revision: Revision that the recipient holds.

        Returns:
            Changed members and removals; None if the changes since the revision are not
            available.
        """
        if not self.floor_revision <= base_revision <= self.revision:
            return None
        first = bisect.bisect_right(
            self._member_revisions, (base_revision, "\U0010ffff")
        )
        names = dict.fromkeys(name for _, name in self._member_revisions[first:])
        members = [self.members[name] for name in names if name in self.members]
        removals = []
        for tombstone in reversed(self._tombstones):
            if tombstone.revision <= base_revision:
                break
            if tombstone.removal.process not in self.members:
                removals.append(tombstone.removal)
        return members, removals

    def _change_members(self, command: messages.ChangeMembers) -> list[str]:
        self.revision += 1
        changed = [
            member.process for member in command.members if self._add_member(member)
        ]
        changed += [
            removal.process
            for removal in command.removed
            if self._remove_member(removal)
        ]
        if not changed:
            self.revision -= 1
        self._evict_old_revisions()
        return changed

    def _add_member(self, member: messages.Member) -> bool:
        if self.is_superseded(member) or self.is_current(member):
            return False
        registered = self.members.get(member.process)
        same = registered is not None and registered.incarnation == member.incarnation
        leaving = member.leaving or (
            same and registered is not None and registered.leaving
        )
        self.members[member.process] = attrs.evolve(
            member, revision=self.revision, leaving=leaving
        )
        self._member_revisions.append((self.revision, member.process))
        return True

    def _remove_member(self, removal: messages.MemberRemoval) -> bool:
        registered = self.members.get(removal.process)
        if registered is None or registered.incarnation != removal.incarnation:
            return False
        del self.members[removal.process]
        tombstone = messages.MemberTombstone(self.revision, removal)
        self._latest_tombstones[removal.process] = tombstone
        self._tombstones.append(tombstone)
        return True

    def _find_barred_incarnation(self, process: str) -> int:
        """Return the highest incarnation that may not join after a removal.

        An incarnation that has stopped may not join again. One that was removed because
        it no longer renewed its lease may.
        """
        tombstone = self._latest_tombstones.get(process)
        if tombstone is None:
            return -1
        removal = tombstone.removal
        return removal.incarnation if removal.stopped else removal.incarnation - 1

    def _evict_old_revisions(self) -> None:
        while len(self._tombstones) > KEPT_TOMBSTONES:
            oldest = self._tombstones.pop(0)
            self.floor_revision = oldest.revision
            if self._latest_tombstones.get(oldest.removal.process) is oldest:
                del self._latest_tombstones[oldest.removal.process]
        if len(self._member_revisions) > KEPT_TOMBSTONES + 2 * len(self.members):
            current = {(item.revision, name) for name, item in self.members.items()}
            self._member_revisions = sorted(current)

    # Snapshots.

    def save(self) -> bytes:
        """Encode the whole state as a snapshot."""
        return snapshots.SnapshotEncoder(self).finish()

    def list_versions(self) -> list[dict[str, messages.Section]]:
        """Return the sections by name of each retained version, oldest first."""
        return list(self._versions)

    def list_changes(self) -> list[messages.KeptChange]:
        """Return the retained accepted changes, oldest first."""
        return list(self._changes.values())

    def list_tombstones(self) -> list[messages.MemberTombstone]:
        """Return the retained removals of members, oldest first."""
        return list(self._tombstones)

    def restore(self, state: bytes) -> None:
        """Replace the whole state by that of a snapshot.

        Args:
            state: Snapshot that `save` returned.

        Raises:
            errors.DecisionError: The bytes are not a snapshot of a registry.
        """
        saved = codec.decode_message("RegistrySnapshot", state)
        if not isinstance(saved, messages.RegistrySnapshot):
            raise errors.DecisionError("the state is no snapshot of a registry")
        self.version = self._oldest_version = saved.oldest_version
        self._versions = [{item.name: item for item in saved.sections}]
        for change in saved.changes:
            self._add_version(change.sections, change.removed)
        self._changes = {change.item.change_id: change for change in saved.history}
        self.members = {item.process: item for item in saved.members}
        self.revision = saved.revision
        self.floor_revision = saved.floor_revision
        self._tombstones = list(saved.tombstones)
        self._member_revisions = sorted(
            (item.revision, item.process) for item in saved.members
        )
        self._latest_tombstones = {
            item.removal.process: item for item in saved.tombstones
        }
        self.claims.restore(saved.claims)
        self.documents = documents.Documents(
            saved.document_version,
            saved.document,
            saved.domains_revision,
            set(saved.domains_out),
            saved.newest_order,
            saved.newest_order_name,
        )


def _repeat_decision(
    recorded: messages.KeptChange, fingerprint: str
) -> messages.ConfigurationDecided:
    item = recorded.item
    if recorded.fingerprint != fingerprint:
        reason = f"change id {item.change_id} belongs to another change"
        return messages.ConfigurationDecided(
            item.change_id, "invalid", item.version, [reason]
        )
    return messages.ConfigurationDecided(item.change_id, "accepted", item.version, [])
