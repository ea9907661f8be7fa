"""Recovery of one replica after the majority is lost for good.

This gives up what only the lost replicas held. It is meant for the replica with
the longest log, while every controller is stopped.
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
    """The recovery is not confirmed, or it is not needed."""


@attrs.frozen(slots=True)
class Assessment:
    """What a recovery would keep and can lose.

    Attributes:
        replica: Replica id of the survivor.
        lost: Replica ids that would be retired for good.
        last_index: Last index of the survivor's log, all of which is kept.
        last_term: Term of that index.
        version: Configuration version after all that is kept; entries that were
            never accepted may be among it.
        confirmation: Text that confirms the recovery.
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


def assess_recovery(data: str, replica: str) -> Assessment:
    """Return what a recovery would keep and can lose; changes nothing.

    Args:
        data: Data folder of the survivor.
        replica: Replica id of the survivor.

    Raises:
        errors.DiskError: The folder is in use or cannot be read.
        RecoveryRefusedError: The replica is no voter, or the only one.
    """
    folder = _open_folder(data, replica)
    try:
        return _assess(folder, replica)
    finally:
        folder.close()


def recover_quorum(
    data: str, replica: str, operator: str, confirmation: str
) -> Assessment:
    """Make a survivor the only voter and record who did it.

    Args:
        data: Data folder of the survivor.
        replica: Replica id of the survivor.
        operator: Who orders it; kept in the log.
        confirmation: Must equal `Assessment.confirmation`.

    Returns:
        What was kept.

    Raises:
        errors.DiskError: The folder is in use or cannot be written.
        RecoveryRefusedError: The confirmation is wrong, or no recovery is needed.
    """
    folder = _open_folder(data, replica)
    try:
        assessment = _assess(folder, replica)
        if confirmation != assessment.confirmation:
            raise RecoveryRefusedError(
                f"not confirmed: {assessment}; confirm by {assessment.confirmation!r}"
            )
        folder.write([_build_change(folder, assessment, operator)])
        return assessment
    finally:
        folder.close()


def _open_folder(data: str, replica: str) -> disk.Folder:
    # An empty folder would be created anew.
    if not (pathlib.Path(data) / disk.IDENTITY).exists():
        raise RecoveryRefusedError(f"{data} is no data folder")
    return disk.open_folder(files.Files(data), replica, 1)


def _assess(folder: disk.Folder, replica: str) -> Assessment:
    members = _open_journal(folder).members
    log = _open_journal(folder).log
    own = replicas.find_replica(members, replica)
    lost = [item.id for item in members.replicas if item.id != replica]
    if own is None or not own.voter or own.folder != folder.folder_id:
        raise RecoveryRefusedError(f"replica {replica} is no voter of the set")
    if replicas.list_voters(members) == [replica]:
        raise RecoveryRefusedError(f"replica {replica} is the only voter already")
    return Assessment(
        replica,
        lost,
        log.last_index,
        log.last_term,
        _find_version(folder),
        f"{CONFIRMATION}: {', '.join(lost)}",
    )


def _open_journal(folder: disk.Folder) -> journal.Journal:
    return journal.Journal(messages.ChangeReplicas([], []), folder.stored, 0)


def _find_version(folder: disk.Folder) -> int:
    state = registry.Registry()
    if folder.stored.snapshot is not None:
        state.restore(folder.stored.snapshot.state)
    for entry in folder.stored.entries:
        state.apply(entry)
    return state.version


def _build_change(
    folder: disk.Folder, assessment: Assessment, operator: str
) -> transitions.Persist:
    kept = _open_journal(folder)
    term = kept.term + 1
    now = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
    own = replicas.find_replica(kept.members, assessment.replica)
    assert own is not None
    change = messages.ChangeReplicas(
        [own],
        [*kept.members.retired, *assessment.lost],
        f"majority lost for good, recovered by {operator} at {now}",
    )
    entry = messages.LogEntry(
        assessment.last_index + 1,
        term,
        journal.REPLICAS_KIND,
        codec.encode_message(change),
    )
    return transitions.Persist(1, messages.ReplicaState(term, ""), 0, [entry])
