"""State machine of a process that holds a lease.

The duration of a lease is measured from the time at which its holder sent the renewal.
It is shortened by the age of the controller's quorum-confirmed view and by a margin for
clock drift. No grant therefore outlives the configuration that it was made under by
more than the duration of the lease, regardless of how the network behaves.
"""

import random

import attrs

from amaranthspar import effects, errors
from amaranthspar.membership import controllers, documents, view
from amaranthspar.schema import messages, viewmessages

RENEWAL_INTERVAL_MS = 1000
RETRY_INTERVAL_MS = 300
FAST_RETRIES = 6
SLOW_RETRY_RATIOS = (0.5, 1.0)
DRIFT_RATIO = 0.1
JITTER_RATIO = 0.1
MAX_INCARNATION_STEP = 1000


@attrs.frozen(slots=True)
class ViewChanged:
    """Effect: the holder has applied a newer configuration or membership.

    Attributes:
        has_new_configuration: Whether the configuration is newer.
    """

    has_new_configuration: bool


@attrs.frozen(slots=True)
class LeaseLost:
    """Effect: another incarnation of this process has superseded this one."""


@attrs.frozen(slots=True)
class IncarnationChanged:
    """Effect: a new process raised its incarnation above the one from its clock."""


@attrs.frozen(slots=True)
class ControllersChanged:
    """Effect: the known addresses of the controllers have changed.

    Attributes:
        source: Where the change comes from.
    """

    source: str


Effect = (
    effects.Send | ViewChanged | LeaseLost | IncarnationChanged | ControllersChanged
)


class LeaseHolder:
    """Renews a lease and applies the changes that the grants carry.

    Args:
        member: Member that describes this process.
        configured: Addresses of the controllers in the settings.
        started_ms: Monotonic time in ms at which the process started.
        chance: Random source of the jitter and of the first controller.

    Attributes:
        member: Member that describes this process.
        view: Configuration and membership that the grants have carried.
        controllers: Addresses of the controllers.
    """

    def __init__(
        self,
        member: messages.Member,
        configured: list[str],
        started_ms: int,
        chance: random.Random,
    ) -> None:
        self.member = member
        self.view = view.View()
        self.controllers = controllers.Controllers(configured)
        self._chance = chance
        self._target = configured[chance.randrange(len(configured))]
        self._next_member = 0
        self._started_ms = started_ms
        self._expires_ms = started_ms
        self._next_renewal_ms = started_ms
        self._unanswered = 0
        self._is_unscheduled = False
        self._announced_version = 0
        self.rejected_configurations = 0
        self._was_granted = False
        self._is_stopped = False

    def is_valid(self, now_ms: int) -> bool:
        """Return whether the lease is in force.

        Args:
            now_ms: Monotonic time in ms.
        """
        return now_ms < self._expires_ms

    def find_remaining_ms(self, now_ms: int) -> int:
        """Return the remaining time of the lease in ms; 0 for an expired lease."""
        return max(0, self._expires_ms - now_ms)

    def find_renewal_wait_ms(self, now_ms: int) -> int:
        """Return the time until the next renewal in ms.

        Args:
            now_ms: Monotonic time in ms.
        """
        return max(0, self._next_renewal_ms - now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """Renew the lease if a renewal or a retry is due.

        Args:
            now_ms: Monotonic time in ms.
        """
        if self._is_stopped or now_ms < self._next_renewal_ms:
            return []
        self._choose_target(now_ms)
        self._unanswered += 1
        self._next_renewal_ms = now_ms + self._choose_retry_delay(now_ms)
        renewal = messages.RenewLease(
            self.member,
            now_ms,
            self.view.configuration_version,
            self.view.membership_revision,
            self.controllers.revision,
        )
        return [effects.Send(self._target, renewal), *self._ask_member(now_ms)]

    def _choose_target(self, now_ms: int) -> None:
        """Choose the controller for the next renewal.

        It stays the same while it answers. Without a lease, the addresses in the
        settings are tried beside the stated set.
        """
        addresses = (
            self.controllers.list_current()
            if self.is_valid(now_ms)
            else self.controllers.list_known()
        )
        if self._target not in addresses:
            self._target = self._chance.choice(addresses)
        elif self._unanswered:
            position = addresses.index(self._target) + 1
            self._target = addresses[position % len(addresses)]

    def _ask_member(self, now_ms: int) -> list[effects.Send]:
        """Ask a member for the controllers, if this process has lost its lease.

        The controllers may have been replaced while it heard none of them.
        """
        if self.is_valid(now_ms):
            return []
        own = self.member.process
        others = [
            item.address for item in self.view.members.values() if item.process != own
        ]
        if not others:
            return []
        self._next_member += 1
        request = viewmessages.FetchView(
            self.controllers.revision,
            documents.NO_VERSION,
            documents.NO_VERSION,
            0,
            wants_document=False,
        )
        return [effects.Send(others[self._next_member % len(others)], request)]

    def apply_settings(self, configured: list[str]) -> list[Effect]:
        """Replace the addresses of the controllers from the settings.

        Args:
            configured: Addresses in the settings.
        """
        if not self.controllers.apply_settings(configured):
            return []
        return [ControllersChanged("settings")]

    def _apply_controllers(
        self, source: str, revision: int, addresses: list[str]
    ) -> list[Effect]:
        if not self.controllers.apply_set(revision, addresses):
            return []
        return [ControllersChanged(source)]

    def _answer_member(
        self, address: str, request: viewmessages.FetchView
    ) -> list[Effect]:
        """Send a member the set of controllers, if its own is older."""
        if request.controllers_revision >= self.controllers.revision:
            return []
        answer = viewmessages.View(
            documents.NO_VERSION,
            0,
            [],
            list(self.controllers.stated),
            [],
            [],
            0,
            0,
            b"",
            self.controllers.revision,
            documents.NO_VIEW_AGE_MS,
        )
        return [effects.Send(address, answer)]

    def _choose_retry_delay(self, now_ms: int) -> int:
        """Return the delay until a retry in ms.

        While the lease is in force, retries are fast. Later they are as frequent as
        renewals, because all holders then retry with the same controllers.
        """
        if self.is_valid(now_ms) or self._unanswered <= FAST_RETRIES:
            return RETRY_INTERVAL_MS
        return int(RENEWAL_INTERVAL_MS * self._chance.uniform(*SLOW_RETRY_RATIOS))

    def stop_renewing(self) -> None:
        """Stop renewing, after the process has announced that it has stopped.

        The denial of a renewal that is still in flight does not count as a lost lease.
        """
        self._is_stopped = True

    def update_member(self, member: messages.Member, now_ms: int) -> list[Effect]:
        """Replace the member that describes this process and renew at once."""
        self.member = member
        self._next_renewal_ms = now_ms
        return self.tick(now_ms)

    def handle(self, message: object, now_ms: int, address: str = "") -> list[Effect]:
        """Handle a message of a controller, or of a member about the controllers.

        Args:
            message: `messages.LeaseGranted`, `messages.LeaseDenied`,
                `messages.AnnounceVersion`, `viewmessages.FetchView` or
                `viewmessages.View`.
            now_ms: Monotonic time in ms.
            address: Address of the sender.
        """
        match message:
            case viewmessages.FetchView():
                return self._answer_member(address, message)
            case viewmessages.View():
                return self._apply_controllers(
                    address, message.controllers_revision, message.controllers
                )
            case messages.LeaseGranted():
                return [
                    *self._apply_controllers(
                        address, message.controllers_revision, message.controllers
                    ),
                    *self._apply_grant(message, now_ms),
                ]
            case messages.LeaseDenied(reason="superseded"):
                return self._handle_superseded(message, now_ms)
            case messages.AnnounceVersion():
                return self._renew_early(message.version, now_ms)
            case _:
                return []

    def _renew_early(self, version: int, now_ms: int) -> list[Effect]:
        self._announced_version = max(self._announced_version, version)
        if version <= self.view.configuration_version or self._unanswered:
            return []
        self._next_renewal_ms = now_ms
        self._is_unscheduled = True
        return self.tick(now_ms)

    def _handle_superseded(
        self, denial: messages.LeaseDenied, now_ms: int
    ) -> list[Effect]:
        """Give up the lease, or raise the incarnation if none was ever granted.

        Incarnations come from the wall clock, which may have been set back since the
        last start of this process.
        """
        if self._is_stopped or denial.incarnation < self.member.incarnation:
            return []
        if not self._was_granted:
            step = self._chance.randint(1, MAX_INCARNATION_STEP)
            incarnation = denial.incarnation + step
            member = attrs.evolve(self.member, incarnation=incarnation)
            self._started_ms = now_ms
            return [IncarnationChanged(), *self.update_member(member, now_ms)]
        self._is_stopped = True
        self._expires_ms = now_ms
        return [LeaseLost()]

    def _apply_grant(self, grant: messages.LeaseGranted, now_ms: int) -> list[Effect]:
        if grant.sent_ms < self._started_ms or grant.sent_ms > now_ms:
            return []
        if self._is_stopped:
            return []
        has_new_configuration = has_new_membership = False
        if grant.configuration is not None:
            try:
                has_new_configuration = self.view.apply_configuration(
                    grant.configuration
                )
            except errors.DecisionError:
                self.rejected_configurations += 1
                return []
        if grant.membership is not None:
            has_new_membership = self.view.apply_membership(grant.membership)
        self._extend_lease(grant, now_ms)
        return (
            [ViewChanged(has_new_configuration)]
            if has_new_configuration or has_new_membership
            else []
        )

    def _extend_lease(self, grant: messages.LeaseGranted, now_ms: int) -> None:
        if self.view.configuration_version < grant.configuration_version:
            return
        length_ms = int((grant.duration_ms - grant.age_ms) * (1 - DRIFT_RATIO))
        expires_ms = grant.sent_ms + length_ms
        if expires_ms <= self._expires_ms:
            return
        unscheduled = self._is_unscheduled or self._unanswered > 1
        self._expires_ms = expires_ms
        self._was_granted = True
        self._unanswered = 0
        self._is_unscheduled = False
        self._next_renewal_ms = max(
            now_ms, grant.sent_ms + self._choose_renewal_delay(unscheduled)
        )
        if self.view.configuration_version < self._announced_version:
            self._next_renewal_ms = now_ms
            self._is_unscheduled = True

    def _choose_renewal_delay(self, unscheduled: bool) -> int:
        """Return the delay from the last renewal to the next one in ms.

        An unscheduled renewal follows from a change or the end of an outage, which make
        all holders renew at the same time. The next renewal is therefore spread over a
        second.
        """
        if unscheduled:
            return int(self._chance.uniform(0, RENEWAL_INTERVAL_MS))
        jitter = self._chance.uniform(-JITTER_RATIO, JITTER_RATIO)
        return int(RENEWAL_INTERVAL_MS * (1 + jitter))
