"""Encodes the state of a registry in pieces, so that no one holds the loop for long."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from amaranthspar import configuration
from amaranthspar.schema import codec, messages

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from amaranthspar.registry import registry

PIECE_ITEMS = 4_000
PIECE_VERSIONS = 16
ARRAY_32 = 0xDD
SHORT_ARRAY = 16
MEDIUM_ARRAY = 65_536


class SnapshotEncoder:
    """Encoding of one registry as it was when this began.

    All that it holds is immutable, so copies of the lists keep the whole state.

    Args:
        state: Registry; it may change meanwhile.
    """

    def __init__(self, state: registry.Registry) -> None:
        self._pieces = _encode(
            state.list_versions(),
            state.version,
            {
                "history": state.list_changes(),
                "members": list(state.members.values()),
                "tombstones": state.list_tombstones(),
                "claims": list(state.claims.kept.values()),
            },
            {
                "revision": state.revision,
                "floor_revision": state.floor_revision,
                "document_version": state.documents.version,
                "document": state.documents.content,
                "domains_revision": state.documents.domains_revision,
                "domains_out": sorted(state.documents.domains_out),
            },
        )

    def encode_piece(self) -> bytes | None:
        """Encode one more piece.

        Returns:
            The whole state once nothing is left.
        """
        return next(self._pieces)

    def finish(self) -> bytes:
        """Encode all that is left and return the whole state."""
        while (state := self.encode_piece()) is None:
            pass
        return state


def _encode(
    versions: list[dict[str, messages.Section]],
    newest: int,
    lists: dict[str, list[Any]],
    values: dict[str, Any],
) -> Iterator[bytes | None]:
    fields: dict[str, Any] = dict(values)
    oldest = newest - len(versions) + 1
    changes: list[messages.ConfigurationChange] = []
    for offset in range(len(versions) - 1):
        pair = (versions[offset], versions[offset + 1])
        changes.append(_compare(*pair, oldest + offset))
        if len(changes) % PIECE_VERSIONS == 0:
            yield None
    for name, items in lists.items():
        parts: list[bytes] = []
        for start in range(0, len(items), PIECE_ITEMS):
            parts.append(_encode_items(items[start : start + PIECE_ITEMS]))
            yield None
        fields[name] = _join_array(len(items), parts)
        yield None
    fields["sections"] = list(versions[0].values())
    fields["oldest_version"] = oldest
    fields["changes"] = changes
    yield codec.encode_message(messages.RegistrySnapshot(**fields))


def _encode_items(items: Sequence[Any]) -> bytes:
    """Return items in MessagePack one after another, without an array around."""
    data = codec.encode_message(items)
    if len(items) < SHORT_ARRAY:
        return data[1:]
    return data[3:] if len(items) < MEDIUM_ARRAY else data[5:]


def _join_array(count: int, parts: list[bytes]) -> msgspec.Raw:
    header = bytes([ARRAY_32]) + count.to_bytes(4, "big")
    return msgspec.Raw(header + b"".join(parts))


def _compare(
    older: dict[str, messages.Section],
    newer: dict[str, messages.Section],
    base_version: int,
) -> messages.ConfigurationChange:
    sections, removed = configuration.compare_configurations(
        list(older.values()), list(newer.values())
    )
    return messages.ConfigurationChange(
        base_version, base_version + 1, sections, removed
    )
