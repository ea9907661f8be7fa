"""Builds the log command of a proposed configuration, or refuses the proposal."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from amaranthspar import configuration
from amaranthspar.schema import messages

if TYPE_CHECKING:
    from amaranthspar.registry import registry


def find_decision(
    state: registry.Registry, proposal: messages.ProposeConfiguration
) -> messages.ConfigurationDecided | None:
    """Return the decision on a proposal if it is final without a new log entry.

    Args:
        state: Registry of any replica.
        proposal: Proposal, which may be a repeated one.

    Returns:
        The decision; None if a log entry must decide.
    """
    return state.decide_without_log(
        proposal.change_id, proposal.base_version, _digest(proposal)
    )


def refuse_proposal(
    state: registry.Registry,
    proposal: messages.ProposeConfiguration,
    outcome: str,
    faults: list[str],
) -> messages.ConfigurationDecided:
    """Return a refusal that states the current version.

    Args:
        state: Registry.
        proposal: Refused proposal.
        outcome: ``invalid`` or ``unavailable``.
        faults: All faults found in the text.
    """
    return messages.ConfigurationDecided(
        proposal.change_id, outcome, state.version, faults
    )


def build_command(
    state: registry.Registry,
    proposal: messages.ProposeConfiguration,
    accepted_ms: int,
) -> messages.AcceptConfiguration | messages.ConfigurationDecided:
    """Return the log command of a proposal, or a refusal if its text has faults.

    The command carries only the sections that differ from the base version. It is
    accepted only if the base version is still the current one when it is applied.

    Args:
        state: Registry of the leader.
        proposal: Proposal without a decision.
        accepted_ms: Wall clock of the leader in ms.
    """
    try:
        proposed = configuration.parse_text(proposal.text)
    except configuration.ConfigurationError as error:
        return refuse_proposal(state, proposal, "invalid", error.faults)
    base = state.read_sections(proposal.base_version) or {}
    sections, removed = configuration.compare_configurations(
        list(base.values()), proposed.list_sections()
    )
    return messages.AcceptConfiguration(
        proposal.change_id,
        proposal.base_version,
        proposal.operator,
        _digest(proposal),
        accepted_ms,
        sections,
        removed,
    )


def _digest(proposal: messages.ProposeConfiguration) -> str:
    text = f"{proposal.base_version}\n{proposal.text}"
    return xxhash.xxh3_128_hexdigest(text.encode())
