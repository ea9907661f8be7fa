"""Turns a proposed configuration into a command for the log, or refuses it."""

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
    """Return how a proposal ends if that is certain without the log.

    Args:
        state: Registry of any replica.
        proposal: Proposal, perhaps sent before.
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
    """Return a refusal with the current version.

    Args:
        state: Registry.
        proposal: Proposal that is refused.
        outcome: ``invalid`` or ``unavailable``.
        faults: Every fault found in the text.
    """
    return messages.ConfigurationDecided(
        proposal.change_id, outcome, state.version, faults
    )


def build_command(
    state: registry.Registry,
    proposal: messages.ProposeConfiguration,
    accepted_ms: int,
) -> messages.AcceptConfiguration | messages.ConfigurationDecided:
    """Return the command for the log, or the refusal of a text with faults.

    The command carries only the sections that differ from the base; the log
    accepts it only while that base is the current version.

    Args:
        state: Registry of the leader.
        proposal: Proposal that is not decided yet.
        accepted_ms: Wall clock of the leader in ms.
    """
    try:
        wanted = configuration.parse_text(proposal.text)
    except configuration.ConfigurationError as error:
        return refuse_proposal(state, proposal, "invalid", error.faults)
    base = state.read_sections(proposal.base_version) or {}
    sections, removed = configuration.compare_configurations(
        list(base.values()), wanted.list_sections()
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
