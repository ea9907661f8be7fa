"""Decides which incarnation of its upstream a sidecar calls.

A heartbeat only claims that an incarnation exists: it may be late, or sent by another
process. The claim holds once the upstream's own list of runs confirms it. That list is
requested with a fencing token above those of all starts for the incarnation before, so
it is complete for this incarnation: a start that was sent earlier is in it, or is
refused.
"""

from __future__ import annotations

import enum

import attrs

from amaranthspar.scheduling import resources, runevents

FIRST_FENCE_STEP = 16
"""Amount by which the fencing token is first raised after the upstream has received a
higher one; doubled each time."""
MAX_LATE_HEARTBEATS = 3
"""Number of rising heartbeats below the newest sequence from which they count as the
upstream's own, and the newest one as odd."""
LATE_SPACING_MS = 500
"""Shortest time between two such heartbeats. Those that a partition has held up arrive
together; an upstream sends its own every 1.5 s."""
PROVISIONAL_SEQUENCE = -1
"""Sequence of an incarnation that is known by its list of runs only."""


@attrs.frozen(slots=True)
class Registration:
    """Identity and status that an upstream sends in its heartbeats.

    Attributes:
        id: Name that the upstream gives itself.
        sequence: Number that rises with each heartbeat of an incarnation.
        status: Event for the run manager, with incarnation, capacity and labels.
    """

    id: str
    sequence: int
    status: runevents.UpstreamKnown

    @property
    def incarnation(self) -> str:
        """Name of the incarnation."""
        return self.status.incarnation


@attrs.frozen(slots=True)
class ListRequest:
    """Request to an incarnation for its list of runs.

    Attributes:
        registration: Incarnation that is asked.
        fence: Fencing token of the request.
        is_probe: Whether the incarnation is not confirmed yet.
    """

    registration: Registration
    fence: int
    is_probe: bool


class Claim(enum.Enum):
    """Effect of a heartbeat.

    Attributes:
        UPDATED: It is the newest statement of the current incarnation.
        PENDING: It names an incarnation that its list has to confirm.
        IGNORED: It is late, or another claim waits to be confirmed first.
    """

    UPDATED = enum.auto()
    PENDING = enum.auto()
    IGNORED = enum.auto()


class Verdict(enum.Enum):
    """What the answer to a request for a list of runs shows.

    Attributes:
        CURRENT: The current incarnation answered.
        REPLACED: Another incarnation answered, which is the current one from now on.
        REJECTED: The incarnation that a heartbeat claimed is not the one that answers.
        ENDED: The current incarnation has ended; no other one is known.
        INCONCLUSIVE: The answer shows nothing; the list has to be requested again.
    """

    CURRENT = enum.auto()
    REPLACED = enum.auto()
    REJECTED = enum.auto()
    ENDED = enum.auto()
    INCONCLUSIVE = enum.auto()


class Incarnations:
    """Tracks the current incarnation of an upstream and at most one claimed one.

    Args:
        fence: First fencing token.

    Attributes:
        current: Confirmed incarnation, with its newest status; None before the first
            and after an end.
        fence: Fencing token of calls to the current incarnation.
    """

    def __init__(self, fence: int) -> None:
        self.current: Registration | None = None
        self.fence = fence
        self._highest_fence = fence
        self._fence_step = FIRST_FENCE_STEP
        self._candidate: Registration | None = None
        self._is_probe_sent = False
        self._was_probed_last = False
        self._late_sequence = PROVISIONAL_SEQUENCE
        self._late_ms = 0
        self._late_count = 0

    def claim(self, registration: Registration, now_ms: int) -> Claim:
        """Process a heartbeat.

        Args:
            registration: Content of the heartbeat.
            now_ms: Monotonic time in ms.
        """
        current, candidate = self.current, self._candidate
        if current is not None and current.incarnation == registration.incarnation:
            return self._update_current(current, registration, now_ms)
        if candidate is not None and candidate.incarnation == registration.incarnation:
            if registration.sequence <= candidate.sequence:
                return Claim.IGNORED
            self._candidate = registration
            return Claim.PENDING
        if self._candidate is not None and not self._is_probe_sent:
            return Claim.IGNORED
        self._set_candidate(registration)
        return Claim.PENDING

    def _update_current(
        self, current: Registration, heartbeat: Registration, now_ms: int
    ) -> Claim:
        if heartbeat.sequence > current.sequence or self._is_sequence_odd(
            heartbeat, now_ms
        ):
            self._late_count = 0
            self._late_sequence = PROVISIONAL_SEQUENCE
            self.current = heartbeat
            return Claim.UPDATED
        if heartbeat.status.is_leaving and not current.status.is_leaving:
            # An upstream that drains goes on to its end, so this holds however late.
            status = attrs.evolve(current.status, is_leaving=True)
            self.current = attrs.evolve(current, status=status)
            return Claim.UPDATED
        return Claim.IGNORED

    def _is_sequence_odd(self, late: Registration, now_ms: int) -> bool:
        """Return whether late heartbeats show that the newest sequence is odd."""
        if late.sequence <= self._late_sequence:
            return False
        if not self._late_count or now_ms - self._late_ms >= LATE_SPACING_MS:
            self._late_count += 1
        self._late_ms = now_ms
        self._late_sequence = late.sequence
        return self._late_count >= MAX_LATE_HEARTBEATS

    def mark_leaving(self, upstream_id: str) -> runevents.UpstreamKnown | None:
        """Process a deregistration, which a call to the upstream has yet to confirm.

        Args:
            upstream_id: Name that the upstream gives itself.

        Returns:
            New status of the current incarnation; None if it has another name.
        """
        if self.current is None or self.current.id != upstream_id:
            return None
        status = attrs.evolve(self.current.status, is_leaving=True)
        self.current = attrs.evolve(self.current, status=status)
        return status

    def build_request(self) -> ListRequest | None:
        """Return the next request for a list; None while no incarnation is known.

        An unanswered probe alternates with requests to the current incarnation, so that
        it does not delay the renewal of the lease.
        """
        if self._candidate is not None and not (self._was_probed_last and self.current):
            self._was_probed_last = True
            self._is_probe_sent = True
            self._highest_fence += 1
            return ListRequest(self._candidate, self._highest_fence, True)
        self._was_probed_last = False
        if self.current is None:
            return None
        return ListRequest(self.current, self.fence, False)

    def handle_list(self, request: ListRequest, answered: str) -> Verdict:
        """Process the list that answers a request.

        Args:
            request: Request.
            answered: Incarnation that the list states; empty if it states none.
        """
        asked = request.registration
        if not request.is_probe:
            if answered in ("", asked.incarnation):
                return Verdict.CURRENT
            if self._candidate is None or self._candidate.incarnation != answered:
                self._set_candidate(_build_provisional(asked.id, answered))
            return Verdict.INCONCLUSIVE
        if request.fence <= self.fence:
            return Verdict.INCONCLUSIVE
        self._set_fence(request.fence)
        newest = self._take_candidate(asked)
        if answered in ("", asked.incarnation):
            self.current = newest
            return Verdict.REPLACED
        if self.current is not None and answered == self.current.incarnation:
            return Verdict.REJECTED
        self.current = _build_provisional(asked.id, answered)
        return Verdict.REPLACED

    def handle_other_instance(self, request: ListRequest) -> Verdict:
        """Process an answer that an upstream of another name has given to a request.

        Args:
            request: Request.
        """
        if request.is_probe:
            self._set_fence(max(request.fence, self.fence))
            self._take_candidate(request.registration)
            return Verdict.REJECTED
        self.current = None
        return Verdict.ENDED

    def raise_fence(self, used: int) -> bool:
        """Raise the fencing token, as the upstream has received a higher one.

        The list of a probe that was sent before proves nothing then: starts with the
        raised token may reach the upstream after it.

        Args:
            used: Token that the upstream has rejected.

        Returns:
            Whether the token was raised; it may have been raised in the meantime.
        """
        if used < self.fence:
            return False
        self._highest_fence += self._fence_step
        self._fence_step *= 2
        self.fence = self._highest_fence
        return True

    def _set_candidate(self, registration: Registration) -> None:
        self._candidate = registration
        self._is_probe_sent = False
        self._was_probed_last = False

    def _take_candidate(self, asked: Registration) -> Registration:
        """Remove a candidate that was asked and return its newest registration."""
        candidate = self._candidate
        if candidate is None or candidate.incarnation != asked.incarnation:
            return asked
        self._candidate = None
        return candidate

    def _set_fence(self, fence: int) -> None:
        self.fence = fence
        self._highest_fence = max(self._highest_fence, fence)


def _build_provisional(upstream_id: str, incarnation: str) -> Registration:
    """Return an incarnation that takes no runs until its first heartbeat arrives."""
    status = runevents.UpstreamKnown(incarnation, resources.NONE, (), True)
    return Registration(upstream_id, PROVISIONAL_SEQUENCE, status)
