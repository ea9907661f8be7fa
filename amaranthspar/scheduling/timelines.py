"""Expected free capacity of a sidecar over time, as a gateway knows it.

Load pattern: a large task fits on no sidecar now. It should wait for the one where it
starts soonest, and small tasks should use the gaps there that end in time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from amaranthspar.scheduling import resources

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthspar.scheduling import jobs, sidecars
    from amaranthspar.schema import runmessages


@attrs.frozen(slots=True)
class Step:
    """Capacity that is expected to be free from some time on.

    Attributes:
        from_ms: Monotonic time in ms.
        free: Capacity that is expected to be free then; negative if overbooked.
    """

    from_ms: int
    free: runmessages.Resources


@attrs.frozen(slots=True)
class Timeline:
    """Expected free capacity of a sidecar, which only grows as runs end.

    Attributes:
        steps: Steps in order of time; the first one is the present.
    """

    steps: tuple[Step, ...]

    def find_start(self, needs: runmessages.Resources) -> Step | None:
        """Return the first step that covers some needs; `None` if none does.

        Args:
            needs: Needs of a task.
        """
        for step in self.steps:
            if resources.fits(needs, step.free):
                return step
        return None


def build_timeline(
    sidecar: sidecars.Sidecar,
    expect_ms: Callable[[jobs.Task, sidecars.Sidecar], float],
    now_ms: int,
) -> Timeline:
    """Build the timeline of a sidecar from its last report and later starts.

    A task that the report does not cover takes from the free capacity, and releases it
    at its own expected end. A release that is due has not been reported yet, so it
    counts as expected now.

    Args:
        sidecar: Sidecar that has reported.
        expect_ms: Returns the expected duration in ms of a task on a sidecar.
        now_ms: Monotonic time in ms.
    """
    room = sidecar.room
    if room is None:
        return Timeline((Step(now_ms, resources.NONE),))
    releases = [
        (round(task.placed_ms + expect_ms(task, sidecar)), task.definition.needs)
        for task in sidecar.tasks.values()
        if _is_uncovered(task, sidecar, room)
    ]
    before = resources.NONE
    for release in room.releases:
        amount = resources.subtract(release.amount, before)
        releases.append((sidecar.reported_ms + release.after_ms, amount))
        before = release.amount
    free = sidecar.free
    steps = [Step(now_ms, free)]
    for at_ms, amount in sorted(releases, key=lambda item: item[0]):
        free = resources.add(free, amount)
        steps.append(Step(max(at_ms, now_ms), free))
    return Timeline(tuple(steps))


def _is_uncovered(
    task: jobs.Task, sidecar: sidecars.Sidecar, room: runmessages.Room
) -> bool:
    """Return whether a task takes from the free capacity but is not in the report."""
    return (
        task.start_number > room.started
        and task.incarnation == sidecar.incarnation
        and task.upstream == room.upstream
    )
