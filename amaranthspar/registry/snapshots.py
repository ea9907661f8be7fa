"""Encodes the state of a registry in pieces, so that none blocks the loop for long."""

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
ARRAY_32_FORMAT = 0xDD
"""First byte of a MessagePack array with a length of 32 bits."""
FIXARRAY_LIMIT = 16
"""Length from which a MessagePack array has a header of more than one byte."""
ARRAY_16_LIMIT = 65_536
"""Length from which a MessagePack array has a header of five bytes."""


class SnapshotEncoder:
    """Encodes a registry as it is when the encoder is created.

    The items of the registry are immutable, so copies of its lists preserve the state.

    Args:
        state: Registry; it may change while it is encoded.
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
                "newest_order": state.documents.newest_order,
                "newest_order_name": state.documents.newest_order_name,
            },
        )

    def encode_piece(self) -> bytes | None:
        """Encode the next piece.

        Returns:
            The encoded state after the last piece; None before.
        """
        return next(self._pieces)

    def finish(self) -> bytes:
        """Encode the remaining pieces and return the encoded state."""
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
        changes.append(_build_change(*pair, oldest + offset))
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
    """Encode items in MessagePack one after another, without an array header."""
    data = codec.encode_message(items)
    if len(items) < FIXARRAY_LIMIT:
        return data[1:]
    return data[3:] if len(items) < ARRAY_16_LIMIT else data[5:]


def _join_array(count: int, parts: list[bytes]) -> msgspec.Raw:
    header = bytes([ARRAY_32_FORMAT]) + count.to_bytes(4, "big")
    return msgspec.Raw(header + b"".join(parts))


def _build_change(
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
