"""Recovery of the quorum by one replica after the majority is permanently lost.

Entries that only the lost replicas stored are not recovered. The recovery is meant
for the surviving replica with the longest log, while every controller is stopped.
"""

import pathlib
import time

import attrs

from amaranthspar import errors
from amaranthspar.consensus import journal, replicas, transitions
from amaranthspar.registry import registry
from amaranthspar.schema import codec, messages
from amaranthspar.storage import disk, files

CONFIRMATION = "give up what the lost replicas held"


class RecoveryRefusedError(errors.RoleError):
    """The recovery is not confirmed, not possible or not needed."""


@attrs.frozen(slots=True)
class Assessment:
    """Log state that a recovery would preserve, and the replicas it would retire.

    Attributes:
        replica: Replica id of the survivor.
        lost: Replica ids that would be retired permanently.
        last_index: Last index of the survivor's log; the whole log is kept.
        last_term: Term of that index.
        version: Configuration version after all kept entries; these may include
            entries that were never committed.
        confirmation: Text that an operator must repeat to confirm the recovery.
    """

    replica: str
    lost: list[str]
    last_index: int
    last_term: int
    version: int
    confirmation: str

    def __str__(self) -> str:
        """Return the warning for the operator."""
        return (
            f"replica {self.replica} keeps entries up to {self.last_index} of term "
            f"{self.last_term}, configuration version {self.version}; changes and "
            f"claims that were accepted by {', '.join(self.lost)} alone are lost, "
            "and one that was never accepted may come into force; these replicas "
            "must never run again: destroy their folders"
        )


def assess_recovery(data_folder: str, replica: str) -> Assessment:
    """Assess a recovery without carrying it out.

    Args:
        data_folder: Data folder of the survivor.
        replica: Replica id of the survivor.

    Raises:
        errors.DiskError: The folder is in use or cannot be read.
        RecoveryRefusedError: There is no data folder, or the replica is not a voter
            or the only one.
    """
    folder = _open_folder(data_folder, replica)
    try:
        return _assess(folder, replica)
    finally:
        folder.close()


def recover_quorum(
    data_folder: str, replica: str, operator: str, confirmation: str
) -> Assessment:
    """Make a surviving replica the only voter and record the operator in the log.

    Args:
        data_folder: Data folder of the survivor.
        replica: Replica id of the survivor.
        operator: Name of the person who orders the recovery.
        confirmation: Must equal `Assessment.confirmation`.

    Returns:
        Assessment of the recovery, made before its change was written.

    Raises:
        errors.DiskError: The folder is in use or cannot be written.
        RecoveryRefusedError: The confirmation is wrong, or the recovery is not
            possible or not needed.
    """
    folder = _open_folder(data_folder, replica)
    try:
        assessment = _assess(folder, replica)
        if confirmation != assessment.confirmation:
            raise RecoveryRefusedError(
                f"not confirmed: {assessment}; confirm by {assessment.confirmation!r}"
            )
        folder.write([_build_recovery(folder, assessment, operator)])
        return assessment
    finally:
        folder.close()


def _open_folder(data_folder: str, replica: str) -> disk.Folder:
    # `disk.open_folder` would initialize an empty folder as a new one.
    if not (pathlib.Path(data_folder) / disk.IDENTITY).exists():
        raise RecoveryRefusedError(f"{data_folder} is not a data folder")
    return disk.open_folder(files.Files(data_folder), replica, 1)


def _assess(folder: disk.Folder, replica: str) -> Assessment:
    members = _open_journal(folder).members
    log = _open_journal(folder).log
    own = replicas.find_replica(members, replica)
    lost = [item.id for item in members.replicas if item.id != replica]
    if own is None or not own.voter or own.folder != folder.folder_id:
        raise RecoveryRefusedError(f"replica {replica} is not a voter of the set")
    if replicas.list_voters(members) == [replica]:
        raise RecoveryRefusedError(f"replica {replica} is the only voter already")
    return Assessment(
        replica,
        lost,
        log.last_index,
        log.last_term,
        _compute_version(folder),
        f"{CONFIRMATION}: {', '.join(lost)}",
    )


def _open_journal(folder: disk.Folder) -> journal.Journal:
    return journal.Journal(messages.ChangeReplicas([], []), folder.stored, 0)


def _compute_version(folder: disk.Folder) -> int:
    state = registry.Registry()
    if folder.stored.snapshot is not None:
        state.restore(folder.stored.snapshot.state)
    for entry in folder.stored.entries:
        state.apply(entry)
    return state.version


def _build_recovery(
    folder: disk.Folder, assessment: Assessment, operator: str
) -> transitions.Persist:
    current = _open_journal(folder)
    term = current.term + 1
    now = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
    own = replicas.find_replica(current.members, assessment.replica)
    assert own is not None
    change = messages.ChangeReplicas(
        [own],
        [*current.members.retired, *assessment.lost],
        f"majority lost for good, recovered by {operator} at {now}",
    )
    entry = messages.LogEntry(
        assessment.last_index + 1,
        term,
        journal.REPLICAS_KIND,
        codec.encode_message(change),
    )
    return transitions.Persist(1, messages.ReplicaState(term, ""), 0, [entry])
