"""Addresses of the controllers as one process knows them.

Controllers are replaced by others at other addresses, also while a process hears none of
them. Each of its sources is therefore followed for as long as the process runs: its
settings, the controllers, and other processes that have heard controllers since.
"""

from collections.abc import Iterable

NO_REVISION = 0
"""Revision before the first set that a controller has stated."""


class Controllers:
    """Set of controllers that was stated last, and those in the settings.

    Args:
        configured: Addresses in the settings.

    Attributes:
        revision: Revision of the stated set, which grows with each change of the set.
        stated: Addresses in the stated set; empty before the first.
    """

    def __init__(self, configured: Iterable[str]) -> None:
        self.revision = NO_REVISION
        self.stated: tuple[str, ...] = ()
        self._configured = tuple(configured)

    def list_known(self) -> list[str]:
        """Return all known addresses, those of the stated set first."""
        return list(dict.fromkeys((*self.stated, *self._configured)))

    def list_current(self) -> list[str]:
        """Return the addresses of the stated set, or those in the settings before one.

        The settings may name controllers that have been replaced.
        """
        return list(self.stated or self._configured)

    def apply_settings(self, configured: Iterable[str]) -> bool:
        """Replace the addresses from the settings and return whether they have changed.

        Args:
            configured: Addresses in the settings; an empty list is ignored.
        """
        updated = tuple(configured)
        if not updated or updated == self._configured:
            return False
        self._configured = updated
        return True

    def apply_set(self, revision: int, addresses: Iterable[str]) -> bool:
        """Apply a set that a controller or another process states.

        Args:
            revision: Revision of the set.
            addresses: Addresses in the set.

        Returns:
            Whether the addresses have changed; an older set changes nothing.
        """
        updated = tuple(addresses)
        if revision <= self.revision or not updated:
            return False
        self.revision = revision
        has_changed = set(updated) != set(self.stated)
        self.stated = updated
        return has_changed
