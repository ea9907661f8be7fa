"""Decides renewals of leases and what goes to the holder with a grant."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from amaranthspar import configuration
from amaranthspar.schema import messages

if TYPE_CHECKING:
    from amaranthspar.registry import registry

SIDECAR_KINDS = frozenset({"service", "domain", "desk"})
KEPT_DELTAS = 256
# A clock that is slow by one part in ten shows an age that is short by a ninth.
DRIFT_PARTS = 9


class LeaseIssuer:
    """Grants leases from the registry of one replica.

    Args:
        duration_ms: Length of a lease in ms.
        max_age_ms: Greatest age of a view from which leases are granted in ms.
    """

    def __init__(self, duration_ms: int, max_age_ms: int) -> None:
        self._duration_ms = duration_ms
        self._max_age_ms = max_age_ms
        self._configurations: dict[
            tuple[int, int, bool], messages.ConfigurationChange
        ] = {}
        self._memberships: dict[tuple[int, int, bool], messages.MembershipChange] = {}

    def decide(
        self, state: registry.Registry, renewal: messages.RenewLease, age_ms: int
    ) -> messages.LeaseGranted | messages.LeaseDenied | None:
        """Return the answer to a renewal.

        Args:
            state: Registry of this replica.
            renewal: What the holder asks.
            age_ms: Age of the quorum-confirmed view in ms; -1 for none.

        Returns:
            The answer, nothing if the holder must be registered first.
        """
        if not 0 <= age_ms <= self._max_age_ms:
            return messages.LeaseDenied(renewal.sent_ms, "no_quorum")
        if state.is_superseded(renewal.member):
            known = state.find_incarnation_bound(renewal.member.process)
            return messages.LeaseDenied(renewal.sent_ms, "superseded", known)
        if not state.is_current(renewal.member):
            return None
        sidecar = renewal.member.role == "sidecar"
        configured = renewal.configuration_version == state.version
        known = renewal.membership_revision == state.revision
        return messages.LeaseGranted(
            renewal.sent_ms,
            self._duration_ms,
            pad_view_age(age_ms),
            state.version,
            state.revision,
            None if configured else self._change_configuration(state, renewal, sidecar),
            None if known else self._change_membership(state, renewal, sidecar),
        )

    def _change_configuration(
        self, state: registry.Registry, renewal: messages.RenewLease, sidecar: bool
    ) -> messages.ConfigurationChange:
        key = (renewal.configuration_version, state.version, sidecar)
        change = self._configurations.get(key)
        if change is None:
            _limit_size(self._configurations)
            change = build_configuration_change(state, key[0], sidecar)
            self._configurations[key] = change
        return change

    def _change_membership(
        self, state: registry.Registry, renewal: messages.RenewLease, sidecar: bool
    ) -> messages.MembershipChange:
        key = (renewal.membership_revision, state.revision, sidecar)
        change = self._memberships.get(key)
        if change is None:
            _limit_size(self._memberships)
            change = build_membership_change(state, key[0], sidecar)
            self._memberships[key] = change
        return change


def pad_view_age(age_ms: int) -> int:
    """Return the longest true age of a view by clocks that may be 10% slow.

    Args:
        age_ms: Age by the clocks of the controllers in ms.
    """
    return age_ms + -(-age_ms // DRIFT_PARTS)


def build_configuration_change(
    state: registry.Registry, base_version: int, sidecar: bool
) -> messages.ConfigurationChange:
    """Return what changed since a version, a snapshot if it is not kept.

    Args:
        state: Registry.
        base_version: Version that the holder has; 0 for none.
        sidecar: Whether only what sidecars need is sent.
    """
    base = state.read_sections(base_version) if base_version > 0 else None
    newest = state.read_sections(state.version) or {}
    sections, removed = configuration.compare_configurations(
        list((base or {}).values()), list(newest.values())
    )
    if sidecar:
        sections = [item for item in sections if _concerns_sidecars(item.name)]
        removed = [name for name in removed if _concerns_sidecars(name)]
    return messages.ConfigurationChange(
        base_version if base is not None else 0, state.version, sections, removed
    )


def build_membership_change(
    state: registry.Registry, base_revision: int, sidecar: bool
) -> messages.MembershipChange:
    """Return what changed since a revision, a snapshot if that is not known.

    Args:
        state: Registry.
        base_revision: Revision that the holder has; 0 for none.
        sidecar: Whether only what sidecars need is sent.
    """
    changed = state.list_changed_members(base_revision) if base_revision > 0 else None
    members = list(state.members.values())
    removed: list[str] = []
    if changed is not None:
        members = changed[0]
        removed = [removal.process for removal in changed[1]]
    if sidecar:
        members = [member for member in members if member.role == "gateway"]
    return messages.MembershipChange(
        base_revision if changed is not None else 0, state.revision, members, removed
    )


def _concerns_sidecars(section: str) -> bool:
    return section.partition(" ")[0] in SIDECAR_KINDS


def _limit_size(deltas: dict[tuple[int, int, bool], Any]) -> None:
    if len(deltas) >= KEPT_DELTAS:
        deltas.clear()
