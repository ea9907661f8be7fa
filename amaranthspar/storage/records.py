"""Records of a file: a header with length and checksums, then the body.

Each record states how much of the file was synced before it was written. This
tells a torn tail, which was never synced, from synced bytes that changed.
"""

import struct

import attrs
import crc32c

MAGIC = b"ASPR"
_HEADER = struct.Struct("<4sBIQI")
_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = _HEADER.size + _CHECKSUM.size
SECTOR_BYTES = 512


@attrs.frozen(slots=True)
class Record:
    """One record.

    Attributes:
        kind: Tag of the body.
        synced_bytes: Size of the file that was synced before this record.
        body: Bytes.
    """

    kind: int
    synced_bytes: int
    body: bytes


@attrs.frozen(slots=True)
class Scan:
    """What a file holds.

    Attributes:
        records: Whole records in order.
        valid_bytes: Size of the whole records.
        corrupt: Whether synced bytes after them changed.
    """

    records: list[Record]
    valid_bytes: int
    corrupt: bool


def encode_record(record: Record) -> bytes:
    """Return a record as bytes.

    Args:
        record: Record to encode.
    """
    checksum = crc32c.crc32c(record.body)
    header = _HEADER.pack(
        MAGIC, record.kind, len(record.body), record.synced_bytes, checksum
    )
    return header + _CHECKSUM.pack(crc32c.crc32c(header)) + record.body


def scan_records(data: bytes) -> Scan:
    """Return the records of a file up to the first that is not whole.

    Args:
        data: All bytes of the file.
    """
    found: list[Record] = []
    offset = 0
    while offset < len(data):
        record = _read_record(data, offset)
        if record is None:
            return Scan(found, offset, not _is_torn(data, offset))
        found.append(record)
        offset += HEADER_BYTES + len(record.body)
    return Scan(found, offset, False)


def _read_header(data: bytes, offset: int) -> tuple[int, int, int, int] | None:
    end = offset + _HEADER.size
    if end + _CHECKSUM.size > len(data):
        return None
    header = data[offset:end]
    if header[:4] != MAGIC:
        return None
    if crc32c.crc32c(header) != _CHECKSUM.unpack_from(data, end)[0]:
        return None
    _, kind, length, synced_bytes, checksum = _HEADER.unpack(header)
    return kind, length, synced_bytes, checksum


def _read_record(data: bytes, offset: int) -> Record | None:
    header = _read_header(data, offset)
    if header is None:
        return None
    kind, length, synced_bytes, checksum = header
    start = offset + HEADER_BYTES
    body = data[start : start + length]
    if len(body) != length or crc32c.crc32c(body) != checksum:
        return None
    return Record(kind, synced_bytes, body)


def _is_torn(data: bytes, offset: int) -> bool:
    later = data.find(MAGIC, offset + 1)
    followed = False
    while later >= 0:
        record = _read_record(data, later)
        if record is not None and record.synced_bytes > offset:
            return False
        followed = followed or record is not None
        later = data.find(MAGIC, later + 1)
    if followed:
        return True
    header = _read_header(data, offset)
    if header is not None and offset + HEADER_BYTES + header[1] > len(data):
        return True
    if len(data) - offset < HEADER_BYTES:
        return True
    return _has_empty_sector(data, offset)


def _has_empty_sector(data: bytes, offset: int) -> bool:
    """Return whether a part that was never written follows an offset."""
    start = offset
    while start < len(data):
        end = min((start // SECTOR_BYTES + 1) * SECTOR_BYTES, len(data))
        if not any(data[start:end]):
            return True
        start = end
    return False
