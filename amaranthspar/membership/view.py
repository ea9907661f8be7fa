"""View of the configuration and the membership that a process holds."""

import attrs

from amaranthspar import configuration, errors
from amaranthspar.schema import messages


@attrs.define(slots=True)
class View:
    """Configuration and membership received with grants of the controllers.

    Attributes:
        configuration_version: Configuration version held; 0 for none.
        membership_revision: Membership revision held; 0 for none.
        settings: Configuration of that version.
        members: Members of that revision by process name.
    """

    configuration_version: int = 0
    membership_revision: int = 0
    settings: configuration.Configuration = attrs.field(
        factory=configuration.Configuration
    )
    members: dict[str, messages.Member] = attrs.field(factory=dict)
    _sections: dict[str, messages.Section] = attrs.field(factory=dict)

    def apply_configuration(self, change: messages.ConfigurationChange) -> bool:
        """Apply a delta or a snapshot of the configuration.

        Args:
            change: Difference from the version held, or a snapshot.

        Returns:
            Whether the version held has changed.

        Raises:
            errors.DecisionError: The sections do not form a configuration.
        """
        if change.version <= self.configuration_version:
            return False
        if change.base_version not in (0, self.configuration_version):
            return False
        sections = {} if change.base_version == 0 else dict(self._sections)
        for name in change.removed:
            sections.pop(name, None)
        for section in change.sections:
            sections[section.name] = section
        try:
            self.settings = configuration.build_configuration(sections.values())
        except configuration.ConfigurationError as error:
            raise errors.DecisionError(str(error)) from error
        self._sections = sections
        self.configuration_version = change.version
        return True

    def apply_membership(self, change: messages.MembershipChange) -> bool:
        """Apply a delta or a snapshot of the membership.

        Args:
            change: Difference from the revision held, or a snapshot.

        Returns:
            Whether the revision held has changed.
        """
        if change.revision <= self.membership_revision:
            return False
        if change.base_revision not in (0, self.membership_revision):
            return False
        if change.base_revision == 0:
            self.members = {}
        for process in change.removed:
            self.members.pop(process, None)
        for member in change.members:
            self.members[member.process] = member
        self.membership_revision = change.revision
        return True

    def is_domain_in(self, name: str) -> bool:
        """Return whether tasks may start in a failure domain.

        Args:
            name: Failure domain name; an unconfigured domain counts as out.
        """
        domain = self.settings.domains.get(name)
        return domain is not None and domain.state == "in"

    def find_home(self, desk: str) -> str:
        """Return the upstream group that serves a desk.

        Args:
            desk: Desk name; an unconfigured desk is served by ``main``.
        """
        entry = self.settings.desks.get(desk)
        return "main" if entry is None else entry.home

    def find_move(self, desk: str) -> int:
        """Return the version at which a desk's home last changed; 0 for never.

        Args:
            desk: Desk name.
        """
        entry = self.settings.desks.get(desk)
        return 0 if entry is None else entry.moved_version

    def list_sidecars(self) -> list[messages.Member]:
        """Return the members that announce an upstream, which are the sidecars."""
        return [
            member
            for member in self.members.values()
            if member.announcement is not None
        ]
