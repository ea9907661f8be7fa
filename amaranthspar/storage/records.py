"""Records of a file: a header with length and checksums, then the body.

Each record states how many bytes of the file were synced before it was written.
This distinguishes a torn tail, an incomplete write at the end that was never
synced, from corruption of synced data.
"""

import struct

import attrs
import crc32c

MAGIC = b"ASPR"
"""First bytes of every record."""
_HEADER = struct.Struct("<4sBIQI")
_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = _HEADER.size + _CHECKSUM.size
SECTOR_BYTES = 512


@attrs.frozen(slots=True)
class Record:
    """One record.

    Attributes:
        kind: Number of the message class that the body encodes.
        synced_bytes: Bytes of the file that were synced when the record was encoded.
        body: Encoded message.
    """

    kind: int
    synced_bytes: int
    body: bytes


@attrs.frozen(slots=True)
class Scan:
    """Result of reading the records of a file.

    Attributes:
        records: Valid records in order, up to the first invalid one.
        valid_bytes: Size of these records in bytes.
        corrupt: Whether the data after them is corrupt; false for a torn tail.
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
    """Return the records of a file up to the first that is incomplete or invalid.

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
    """Return whether the invalid data at an offset is a torn tail.

    It is corrupt if a later record was written after the sync of this offset. It is
    torn if a valid record follows whose data was not synced before, if the data ends
    within the record, or if a sector after the offset was never written.
    """
    next_magic = data.find(MAGIC, offset + 1)
    is_followed = False
    while next_magic >= 0:
        record = _read_record(data, next_magic)
        if record is not None and record.synced_bytes > offset:
            return False
        is_followed = is_followed or record is not None
        next_magic = data.find(MAGIC, next_magic + 1)
    if is_followed:
        return True
    header = _read_header(data, offset)
    if header is not None and offset + HEADER_BYTES + header[1] > len(data):
        return True
    if len(data) - offset < HEADER_BYTES:
        return True
    return _has_unwritten_sector(data, offset)


def _has_unwritten_sector(data: bytes, offset: int) -> bool:
    """Return whether a sector of zeros, which was never written, follows an offset."""
    start = offset
    while start < len(data):
        end = min((start // SECTOR_BYTES + 1) * SECTOR_BYTES, len(data))
        if not any(data[start:end]):
            return True
        start = end
    return False
