"""Judges the progress of a run: what it tells of its upstream, and whether to move it.

Load pattern: tasks of some upstreams stand still or are slow, while others have room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from amaranthspar.scheduling import jobs, sidecars
    from amaranthspar.schema import runmessages

MOVE_RATIO = 2.5
"""Slowness of a sidecar from which its runs are moved where that saves time."""
MOVE_COST_MS = 20
"""Time that a stop and a new start take in ms."""
STALL_MS = 150
"""Time without any progress after a start from which a run counts as stalled, in ms."""
HALT_MS = 400
"""Time in ms without further progress from which it counts as stalled; the longest
sound tasks do one part in a hundred in 36 ms."""


def note_progress(
    sidecar: sidecars.Sidecar,
    task: jobs.Task,
    report: runmessages.RunReport,
    expected_ms: int,
    now_ms: int,
) -> bool:
    """Take how far a run is.

    Args:
        sidecar: Sidecar of the run; its speed is noted.
        task: Task of the run; its progress is noted.
        report: What the sidecar says.
        expected_ms: Expected duration of the task in ms.
        now_ms: Current time in ms.

    Returns:
        Whether a start on a sound upstream would end sooner than the run.
    """
    elapsed_ms = report.elapsed_ms
    if report.percent > task.percent:
        task.percent = report.percent
        task.progressed_ms = elapsed_ms
    still_ms = elapsed_ms - task.progressed_ms
    if still_ms >= (HALT_MS if task.percent else STALL_MS):
        sidecar.record_stall(now_ms)
        return sidecar.relative_slowness >= MOVE_RATIO
    if not task.percent:
        return False
    projected_ms = elapsed_ms * 100 / task.percent
    sidecar.record_progress(task.name, projected_ms / expected_ms, now_ms)
    remaining_ms = projected_ms - elapsed_ms
    total_ms = projected_ms / max(sidecar.relative_slowness, 1.0)
    return (
        sidecar.relative_slowness >= MOVE_RATIO
        and remaining_ms > total_ms + MOVE_COST_MS
    )
