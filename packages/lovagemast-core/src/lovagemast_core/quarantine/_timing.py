"""When a suspected or quarantined subject may be tried again.

The leader and the entry VMs count from when each of them learned of the last
change of a subject's record. The leader learns first, so a request that waits
at an entry VM for a trial gets it at once.
"""

from typing import Final

from ._state import SubjectRecord

# For a request to be sent and its answer to begin, or its target to crash.
TRIAL_LEASE_S: Final = 1.5
# Before each of the trials of a quarantined subject.
QUARANTINE_TRIAL_DELAYS_S: Final = (30.0, 120.0, 600.0)
# Records are dropped after this time without a request for the subject.
SUSPECT_RETENTION_S: Final = 60.0
QUARANTINE_RETENTION_S: Final = 900.0


def trial_delay_s(record: SubjectRecord) -> float | None:
    """Return the time from a record's last change to the next trial, in s.

    It is ``None`` if there will be none.
    """
    if not record.may_be_tried:
        return None
    if record.is_quarantined:
        return QUARANTINE_TRIAL_DELAYS_S[record.quarantine_trials]
    return TRIAL_LEASE_S if record.holder else 0.0


def retention_s(record: SubjectRecord) -> float:
    """Return how long a record is kept without requests for its subject."""
    if record.is_quarantined:
        return QUARANTINE_RETENTION_S
    return SUSPECT_RETENTION_S
