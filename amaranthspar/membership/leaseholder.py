"""Holder's side of a lease.

A lease counts from the moment at which its holder sent the renewal, less the
age of the controller's quorum-confirmed view and a margin for clock drift. So
no grant outlives the configuration that it was made under by more than the
lease's length, whatever the network does.
"""

import random

import attrs

from amaranthspar import effects, errors
from amaranthspar.membership import view
from amaranthspar.schema import messages

RENEWAL_INTERVAL_MS = 1000
RETRY_INTERVAL_MS = 300
FAST_RETRIES = 6
SLOW_RETRY_RATIOS = (0.5, 1.0)
DRIFT_RATIO = 0.1
JITTER_RATIO = 0.1
INCARNATION_STEP = 1000


@attrs.frozen(slots=True)
class ViewChanged:
    """Tells that a newer configuration or membership is held.

    Attributes:
        has_new_configuration: Whether the configuration is newer.
    """

    has_new_configuration: bool


@attrs.frozen(slots=True)
class LeaseLost:
    """Tells that another incarnation took this process's place."""


@attrs.frozen(slots=True)
class IncarnationChanged:
    """Tells that a new process took a higher incarnation than its clock gave."""


Effect = effects.Send | ViewChanged | LeaseLost | IncarnationChanged


class LeaseHolder:
    """Renews a lease and installs what the grants carry.

    Args:
        member: The process itself.
        controllers: Addresses of the controllers.
        started_ms: Monotonic time at which the process started.
        chance: Source of the jitter and of the first controller.
    """

    def __init__(
        self,
        member: messages.Member,
        controllers: list[str],
        started_ms: int,
        chance: random.Random,
    ) -> None:
        self.member = member
        self.view = view.View()
        self._controllers = controllers
        self._chance = chance
        self._target = chance.randrange(len(controllers))
        self._started_ms = started_ms
        self._expires_ms = started_ms
        self._next_renewal_ms = started_ms
        self._unanswered = 0
        self._out_of_turn = False
        self._announced_version = 0
        self.rejected_configurations = 0
        self._granted = False
        self._lost = False

    def is_valid(self, now_ms: int) -> bool:
        """Return whether the lease is in force.

        Args:
            now_ms: Monotonic time in ms.
        """
        return now_ms < self._expires_ms

    def find_remaining_ms(self, now_ms: int) -> int:
        """Return the time left in ms, 0 for a lapsed lease."""
        return max(0, self._expires_ms - now_ms)

    def find_renewal_wait_ms(self, now_ms: int) -> int:
        """Return the time until the next renewal in ms.

        Args:
            now_ms: Monotonic time in ms.
        """
        return max(0, self._next_renewal_ms - now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """Renew the lease when it is time.

        Args:
            now_ms: Monotonic time in ms.
        """
        if self._lost or now_ms < self._next_renewal_ms:
            return []
        if self._unanswered:
            self._target = (self._target + 1) % len(self._controllers)
        self._unanswered += 1
        self._next_renewal_ms = now_ms + self._choose_pause(now_ms)
        renewal = messages.RenewLease(
            self.member,
            now_ms,
            self.view.configuration_version,
            self.view.membership_revision,
        )
        return [effects.Send(self._controllers[self._target], renewal)]

    def _choose_pause(self, now_ms: int) -> int:
        """Return the time until a retry in ms.

        While the lease is in force, retries are fast. Later they are as frequent
        as renewals, as all holders then wait for the same controllers.
        """
        if self.is_valid(now_ms) or self._unanswered <= FAST_RETRIES:
            return RETRY_INTERVAL_MS
        return int(RENEWAL_INTERVAL_MS * self._chance.uniform(*SLOW_RETRY_RATIOS))

    def stop_renewing(self) -> None:
        """Renew no more, as the process has told that it has stopped.

        A renewal that is under way is denied then, which is no loss of the place.
        """
        self._lost = True

    def update_member(self, member: messages.Member, now_ms: int) -> list[Effect]:
        """Replace what the process states about itself and renew at once."""
        self.member = member
        self._next_renewal_ms = now_ms
        return self.tick(now_ms)

    def handle(self, message: object, now_ms: int) -> list[Effect]:
        """Take a controller's answer.

        Args:
            message: `messages.LeaseGranted`, `messages.LeaseDenied` or
                `messages.AnnounceVersion`.
            now_ms: Monotonic time in ms.
        """
        match message:
            case messages.LeaseGranted():
                return self._accept(message, now_ms)
            case messages.LeaseDenied(reason="superseded"):
                return self._yield_place(message, now_ms)
            case messages.AnnounceVersion():
                return self._hurry(message.version, now_ms)
            case _:
                return []

    def _hurry(self, version: int, now_ms: int) -> list[Effect]:
        self._announced_version = max(self._announced_version, version)
        if version <= self.view.configuration_version or self._unanswered:
            return []
        self._next_renewal_ms = now_ms
        self._out_of_turn = True
        return self.tick(now_ms)

    def _yield_place(self, denial: messages.LeaseDenied, now_ms: int) -> list[Effect]:
        """Give up, or raise the incarnation of a process that never had a lease.

        The wall clock from which incarnations come may have been set back
        since the last start of this process.
        """
        if self._lost or denial.incarnation < self.member.incarnation:
            return []
        if not self._granted:
            step = self._chance.randint(1, INCARNATION_STEP)
            incarnation = denial.incarnation + step
            member = attrs.evolve(self.member, incarnation=incarnation)
            self._started_ms = now_ms
            return [IncarnationChanged(), *self.update_member(member, now_ms)]
        self._lost = True
        self._expires_ms = now_ms
        return [LeaseLost()]

    def _accept(self, grant: messages.LeaseGranted, now_ms: int) -> list[Effect]:
        if grant.sent_ms < self._started_ms or grant.sent_ms > now_ms:
            return []
        if self._lost:
            return []
        has_new_configuration = changed = False
        if grant.configuration is not None:
            try:
                has_new_configuration = self.view.apply_configuration(
                    grant.configuration
                )
            except errors.DecisionError:
                self.rejected_configurations += 1
                return []
        if grant.membership is not None:
            changed = self.view.apply_membership(grant.membership)
        self._extend(grant, now_ms)
        return (
            [ViewChanged(has_new_configuration)]
            if has_new_configuration or changed
            else []
        )

    def _extend(self, grant: messages.LeaseGranted, now_ms: int) -> None:
        if self.view.configuration_version < grant.configuration_version:
            return
        length_ms = int((grant.duration_ms - grant.age_ms) * (1 - DRIFT_RATIO))
        expires_ms = grant.sent_ms + length_ms
        if expires_ms <= self._expires_ms:
            return
        out_of_turn = self._out_of_turn or self._unanswered > 1
        self._expires_ms = expires_ms
        self._granted = True
        self._unanswered = 0
        self._out_of_turn = False
        self._next_renewal_ms = max(
            now_ms, grant.sent_ms + self._choose_turn(out_of_turn)
        )
        if self.view.configuration_version < self._announced_version:
            self._next_renewal_ms = now_ms
            self._out_of_turn = True

    def _choose_turn(self, out_of_turn: bool) -> int:
        """Return the time until the next renewal in ms.

        What made this holder renew out of turn, as a change or the end of an
        outage, did so to all of them at once: the next turn is anywhere in a second.
        """
        if out_of_turn:
            return int(self._chance.uniform(0, RENEWAL_INTERVAL_MS))
        jitter = self._chance.uniform(-JITTER_RATIO, JITTER_RATIO)
        return int(RENEWAL_INTERVAL_MS * (1 + jitter))
