"""The replicated state: configuration, members and claims.

Every replica applies the same entries in the same order, so nothing here reads
a clock: times come from the leader with the entries.
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
SHOWN_CHANGES = 50


@attrs.frozen(slots=True)
class ConfigurationApplied:
    """A proposed configuration was decided."""

    decision: messages.ConfigurationDecided


@attrs.frozen(slots=True)
class MembersApplied:
    """Members joined, changed or are gone."""

    processes: list[str]


@attrs.frozen(slots=True)
class ClaimApplied:
    """A claim was decided.

    Attributes:
        claim: Claim that was made.
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
    """State that every replica holds."""

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
        self._joined: list[tuple[int, str]] = []
        self._tombstones: list[messages.MemberTombstone] = []
        self._floors: dict[str, messages.MemberTombstone] = {}

    def apply(self, entry: messages.LogEntry) -> list[Outcome]:
        """Apply one committed entry.

        Args:
            entry: Entry of the log.

        Returns:
            What it decided.

        Raises:
            errors.DecisionError: The entry is of an unknown kind.
        """
        if entry.kind in ("", "ChangeReplicas"):
            return []
        match codec.decode_message(entry.kind, entry.payload):
            case messages.AcceptConfiguration() as command:
                return [ConfigurationApplied(self._accept(command))]
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
                self.documents.set_domain(command)
                return [DocumentApplied(self.documents.answer(command.request))]
            case _:
                raise errors.DecisionError(f"unknown entry kind {entry.kind!r}")

    # Configuration.

    def decide_without_log(
        self, change_id: str, base_version: int, fingerprint: str
    ) -> messages.ConfigurationDecided | None:
        """Return how a change ends if that is certain already.

        Args:
            change_id: Unique name of the change.
            base_version: Version that the change is based on.
            fingerprint: Digest of the proposed text and base version.

        Returns:
            The answer, nothing if the log must decide.
        """
        kept = self._changes.get(change_id)
        if kept is not None:
            return _answer_again(kept, fingerprint)
        if base_version < self.version:
            return messages.ConfigurationDecided(
                change_id, "conflict", self.version, []
            )
        return None

    def read_sections(self, version: int) -> dict[str, messages.Section] | None:
        """Return the sections of a version by name, nothing if it is not kept.

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
            request: What is asked for.
        """
        version = request.version or self.version
        sections = self.read_sections(version)
        text = ""
        if sections is not None:
            text = configuration.format_sections(sections.values())
        kept = list(self._changes.values())[-SHOWN_CHANGES:]
        return messages.ConfigurationFetched(
            request.request,
            version if sections is not None else 0,
            text,
            [change.item for change in kept],
        )

    def _accept(
        self, command: messages.AcceptConfiguration
    ) -> messages.ConfigurationDecided:
        kept = self._changes.get(command.change_id)
        if kept is not None:
            return _answer_again(kept, command.fingerprint)
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
        """Return whether a later incarnation is known or this one has stopped.

        Args:
            member: Process as it states itself.
        """
        known = self.members.get(member.process)
        if known is not None and known.incarnation > member.incarnation:
            return True
        return self._find_floor(member.process) >= member.incarnation

    def find_incarnation_bound(self, process: str) -> int:
        """Return an incarnation that no known one of a process exceeds.

        Args:
            process: Process name.
        """
        known = self.members.get(process)
        highest = self._find_floor(process) + 1
        return highest if known is None else max(highest, known.incarnation)

    def is_current(self, member: messages.Member) -> bool:
        """Return whether a process is registered just as it states itself.

        Args:
            member: Process as it states itself.
        """
        known = self.members.get(member.process)
        if known is None or (member.leaving and not known.leaving):
            return False
        stated = attrs.evolve(member, revision=known.revision, leaving=known.leaving)
        return stated == known

    def list_changed_members(
        self, base_revision: int
    ) -> tuple[list[messages.Member], list[messages.MemberRemoval]] | None:
        """Return what changed since a revision, nothing if that is not known.

        Args:
            base_revision: Revision held.
        """
        if not self.floor_revision <= base_revision <= self.revision:
            return None
        first = bisect.bisect_right(self._joined, (base_revision, "\U0010ffff"))
        names = dict.fromkeys(name for _, name in self._joined[first:])
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
        changed = [member.process for member in command.members if self._join(member)]
        changed += [
            removal.process for removal in command.removed if self._remove(removal)
        ]
        if not changed:
            self.revision -= 1
        self._forget_old_revisions()
        return changed

    def _join(self, member: messages.Member) -> bool:
        if self.is_superseded(member) or self.is_current(member):
            return False
        known = self.members.get(member.process)
        same = known is not None and known.incarnation == member.incarnation
        leaving = member.leaving or (same and known is not None and known.leaving)
        self.members[member.process] = attrs.evolve(
            member, revision=self.revision, leaving=leaving
        )
        self._joined.append((self.revision, member.process))
        return True

    def _remove(self, removal: messages.MemberRemoval) -> bool:
        known = self.members.get(removal.process)
        if known is None or known.incarnation != removal.incarnation:
            return False
        del self.members[removal.process]
        tombstone = messages.MemberTombstone(self.revision, removal)
        self._floors[removal.process] = tombstone
        self._tombstones.append(tombstone)
        return True

    def _find_floor(self, process: str) -> int:
        """Return the highest incarnation that may not join after a removal.

        One that has stopped is over; one that was not seen may come back.
        """
        tombstone = self._floors.get(process)
        if tombstone is None:
            return -1
        removal = tombstone.removal
        return removal.incarnation if removal.stopped else removal.incarnation - 1

    def _forget_old_revisions(self) -> None:
        while len(self._tombstones) > KEPT_TOMBSTONES:
            oldest = self._tombstones.pop(0)
            self.floor_revision = oldest.revision
            if self._floors.get(oldest.removal.process) is oldest:
                del self._floors[oldest.removal.process]
        if len(self._joined) > KEPT_TOMBSTONES + 2 * len(self.members):
            current = {(item.revision, name) for name, item in self.members.items()}
            self._joined = sorted(current)

    # Snapshots.

    def save(self) -> bytes:
        """Return the whole state as bytes."""
        return snapshots.SnapshotEncoder(self).finish()

    def list_versions(self) -> list[dict[str, messages.Section]]:
        """Return the sections of the versions kept by name, oldest first."""
        return list(self._versions)

    def list_changes(self) -> list[messages.KeptChange]:
        """Return the accepted changes that are kept, in order."""
        return list(self._changes.values())

    def list_tombstones(self) -> list[messages.MemberTombstone]:
        """Return the latest removals of members, in order."""
        return list(self._tombstones)

    def restore(self, state: bytes) -> None:
        """Replace the whole state.

        Args:
            state: Bytes that `save` returned.
        """
        saved = codec.decode_message("RegistrySnapshot", state)
        if not isinstance(saved, messages.RegistrySnapshot):
            raise errors.DecisionError("the state is no snapshot of a registry")
        self.version = self._oldest_version = saved.oldest_version
        self._versions = [{item.name: item for item in saved.sections}]
        for change in saved.changes:
            self._add_version(change.sections, change.removed)
        self._changes = {kept.item.change_id: kept for kept in saved.history}
        self.members = {item.process: item for item in saved.members}
        self.revision = saved.revision
        self.floor_revision = saved.floor_revision
        self._tombstones = list(saved.tombstones)
        self._joined = sorted((item.revision, item.process) for item in saved.members)
        self._floors = {item.removal.process: item for item in saved.tombstones}
        self.claims.restore(saved.claims)
        self.documents = documents.Documents(
            saved.document_version,
            saved.document,
            saved.domains_revision,
            set(saved.domains_out),
        )


def _answer_again(
    kept: messages.KeptChange, fingerprint: str
) -> messages.ConfigurationDecided:
    item = kept.item
    if kept.fingerprint != fingerprint:
        reason = f"change id {item.change_id} belongs to another change"
        return messages.ConfigurationDecided(
            item.change_id, "invalid", item.version, [reason]
        )
    return messages.ConfigurationDecided(item.change_id, "accepted", item.version, [])
