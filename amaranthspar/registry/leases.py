"""Decides on renewals of leases and builds the changes that a grant carries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from amaranthspar import configuration
from amaranthspar.schema import messages

if TYPE_CHECKING:
    from amaranthspar.registry import registry

SIDECAR_SECTION_KINDS = frozenset({"service", "domain", "desk"})
MAX_CACHED_CHANGES = 256
DRIFT_DIVISOR = 9
"""Divisor of a measured age that gives the margin for clock drift: a clock that is slow
by one part in ten measures an age that is short by a ninth of itself."""


class LeaseIssuer:
    """Grants or denies leases by the registry of one replica.

    The configuration and membership changes that it builds are cached.

    Args:
        duration_ms: Duration of a lease in ms.
        max_age_ms: Maximum age in ms of a quorum-confirmed view for granting leases.
    """

    def __init__(self, duration_ms: int, max_age_ms: int) -> None:
        self._duration_ms = duration_ms
        self._max_age_ms = max_age_ms
        self._configuration_changes: dict[
            tuple[int, int, bool], messages.ConfigurationChange
        ] = {}
        self._membership_changes: dict[
            tuple[int, int, bool], messages.MembershipChange
        ] = {}

    def decide(
        self, state: registry.Registry, renewal: messages.RenewLease, age_ms: int
    ) -> messages.LeaseGranted | messages.LeaseDenied | None:
        """Return the answer to a renewal.

        Args:
            state: Registry of this replica.
            renewal: Renewal of the holder.
            age_ms: Age of the quorum-confirmed view in ms; -1 for none.

        Returns:
            The answer; None if the holder must be registered first.
        """
        if not 0 <= age_ms <= self._max_age_ms:
            return messages.LeaseDenied(renewal.sent_ms, "no_quorum")
        if state.is_superseded(renewal.member):
            bound = state.find_incarnation_bound(renewal.member.process)
            return messages.LeaseDenied(renewal.sent_ms, "superseded", bound)
        if not state.is_current(renewal.member):
            return None
        is_sidecar = renewal.member.role == "sidecar"
        has_configuration = renewal.configuration_version == state.version
        has_membership = renewal.membership_revision == state.revision
        return messages.LeaseGranted(
            renewal.sent_ms,
            self._duration_ms,
            pad_view_age(age_ms),
            state.version,
            state.revision,
            None
            if has_configuration
            else self._change_configuration(state, renewal, is_sidecar),
            None
            if has_membership
            else self._change_membership(state, renewal, is_sidecar),
        )

    def _change_configuration(
        self, state: registry.Registry, renewal: messages.RenewLease, is_sidecar: bool
    ) -> messages.ConfigurationChange:
        key = (renewal.configuration_version, state.version, is_sidecar)
        change = self._configuration_changes.get(key)
        if change is None:
            _limit_size(self._configuration_changes)
            change = build_configuration_change(state, key[0], is_sidecar)
            self._configuration_changes[key] = change
        return change

    def _change_membership(
        self, state: registry.Registry, renewal: messages.RenewLease, is_sidecar: bool
    ) -> messages.MembershipChange:
        key = (renewal.membership_revision, state.revision, is_sidecar)
        change = self._membership_changes.get(key)
        if change is None:
            _limit_size(self._membership_changes)
            change = build_membership_change(state, key[0], is_sidecar)
            self._membership_changes[key] = change
        return change


def pad_view_age(age_ms: int) -> int:
    """Return the greatest true age of a view, as clocks may be slow by 10%.

    Args:
        age_ms: Age in ms as measured by the clocks of the controllers.
    """
    return age_ms + -(-age_ms // DRIFT_DIVISOR)


def build_configuration_change(
    state: registry.Registry, base_version: int, is_sidecar: bool
) -> messages.ConfigurationChange:
    """Return the configuration change since a version, or a snapshot if it is evicted.

    Args:
        state: Registry.
        base_version: Version that the holder has; 0 for none.
        is_sidecar: Whether to include only the sections that sidecars need.
    """
    base = state.read_sections(base_version) if base_version > 0 else None
    newest = state.read_sections(state.version) or {}
    sections, removed = configuration.compare_configurations(
        list((base or {}).values()), list(newest.values())
    )
    if is_sidecar:
        sections = [item for item in sections if _is_sent_to_sidecars(item.name)]
        removed = [name for name in removed if _is_sent_to_sidecars(name)]
    return messages.ConfigurationChange(
        base_version if base is not None else 0, state.version, sections, removed
    )


def build_membership_change(
    state: registry.Registry, base_revision: int, is_sidecar: bool
) -> messages.MembershipChange:
    """Return the membership change since a revision, or a snapshot if it is evicted.

    Args:
        state: Registry.
        base_revision: Revision that the holder has; 0 for none.
        is_sidecar: Whether to include only the members that sidecars need, the gateways.
    """
    changed = state.list_changed_members(base_revision) if base_revision > 0 else None
    members = list(state.members.values())
    removed: list[str] = []
    if changed is not None:
        members = changed[0]
        removed = [removal.process for removal in changed[1]]
    if is_sidecar:
        members = [member for member in members if member.role == "gateway"]
    return messages.MembershipChange(
        base_revision if changed is not None else 0, state.revision, members, removed
    )


def _is_sent_to_sidecars(section: str) -> bool:
    return section.partition(" ")[0] in SIDECAR_SECTION_KINDS


def _limit_size(changes: dict[tuple[int, int, bool], Any]) -> None:
    if len(changes) >= MAX_CACHED_CHANGES:
        changes.clear()
