"""Replicated log of one replica, in memory."""

import attrs

from amaranthspar import errors
from amaranthspar.schema import messages


@attrs.define(slots=True)
class ReplicaLog:
    """Log whose beginning has been compacted.

    Attributes:
        base_index: Last index that was compacted; 0 for none.
        base_term: Term of that index.
        entries: Entries after that index, in order.
    """

    base_index: int = 0
    base_term: int = 0
    entries: list[messages.LogEntry] = attrs.field(factory=list)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or `base_index` if there are no entries."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or `base_term` if there are no entries."""
        return self.entries[-1].term if self.entries else self.base_term

    def read_term(self, index: int) -> int | None:
        """Return the term of an index, or nothing if it is not in the log.

        Args:
            index: Index in the log; the base index is included.
        """
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def slice(self, first: int, last: int) -> list[messages.LogEntry]:
        """Return the entries from one index to another, both included.

        Args:
            first: First index, after the base index.
            last: Last index.
        """
        return self.entries[first - self.base_index - 1 : last - self.base_index]

    def append(self, entries: list[messages.LogEntry]) -> None:
        """Append entries.

        Args:
            entries: Entries that follow the last index without a gap.

        Raises:
            errors.DecisionError: There is a gap.
        """
        if entries and entries[0].index != self.last_index + 1:
            raise errors.DecisionError(
                f"entry {entries[0].index} does not follow index {self.last_index}"
            )
        self.entries.extend(entries)

    def truncate(self, first: int) -> None:
        """Remove the entries from an index on.

        Args:
            first: First index to remove.
        """
        del self.entries[max(first - self.base_index - 1, 0) :]

    def compact(self, index: int) -> None:
        """Remove the entries up to an index, which becomes the base index.

        Args:
            index: Last index to remove; must be in the log.

        Raises:
            errors.DecisionError: The index is not in the log.
        """
        term = self.read_term(index)
        if term is None:
            raise errors.DecisionError(f"index {index} is not in the log")
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Remove all entries and continue after a snapshot.

        Args:
            index: Last index that the snapshot covers.
            term: Term of that index.
        """
        self.entries.clear()
        self.base_index = index
        self.base_term = term
