"""Evaluates the progress of a run: speed of its upstream, and whether to move it.

Load pattern: tasks on some upstreams are stalled or slow, while others have free
capacity.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from amaranthspar.scheduling import jobs, sidecars
    from amaranthspar.schema import runmessages

MOVE_SLOWNESS = 2.5
"""Relative slowness of a sidecar from which its runs are moved if that saves time."""
MOVE_COST_MS = 20
"""Time that a stop and a new start take."""
START_STALL_MS = 150
"""Time after a start without any progress from which a run counts as stalled."""
PROGRESS_STALL_MS = 400
"""Time without further progress from which a run that has made some counts as stalled;
the longest tasks on a healthy upstream complete 1% in 36 ms."""


def note_progress(
    sidecar: sidecars.Sidecar,
    task: jobs.Task,
    report: runmessages.RunReport,
    expected_ms: int,
    now_ms: int,
) -> bool:
    """Record the progress of a run and decide whether to move it.

    Args:
        sidecar: Sidecar of the run; its estimate of speed is updated.
        task: Task of the run; its progress is updated.
        report: Report of the run.
        expected_ms: Expected duration of the task in ms.
        now_ms: Current time in ms.

    Returns:
        Whether a new start on a healthy upstream would end sooner than the run.
    """
    elapsed_ms = report.elapsed_ms
    if report.percent > task.percent:
        task.percent = report.percent
        task.progressed_ms = elapsed_ms
    stalled_ms = elapsed_ms - task.progressed_ms
    if stalled_ms >= (PROGRESS_STALL_MS if task.percent else START_STALL_MS):
        sidecar.record_stall(now_ms)
        return sidecar.relative_slowness >= MOVE_SLOWNESS
    if not task.percent:
        return False
    projected_ms = elapsed_ms * 100 / task.percent
    sidecar.record_progress(task.name, projected_ms / expected_ms, now_ms)
    remaining_ms = projected_ms - elapsed_ms
    total_ms = projected_ms / max(sidecar.relative_slowness, 1.0)
    return (
        sidecar.relative_slowness >= MOVE_SLOWNESS
        and remaining_ms > total_ms + MOVE_COST_MS
    )
