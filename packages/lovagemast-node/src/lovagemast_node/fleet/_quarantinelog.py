"""Log lines and metrics for changes of the quarantine state."""

from typing import Any

from lovagemast_core.quarantine import QuarantineState, SubjectRecord

from ._jsonlog import JsonLog
from ._metrics import ControlMetrics


def record_fields(record: SubjectRecord) -> dict[str, Any]:
    """Return a record's fields under the names that log lines have."""
    fields = record._asdict()
    return {'part': fields.pop('subject'), **fields}


def set_part_metrics(metrics: ControlMetrics, state: QuarantineState) -> None:
    """Set the numbers of suspected and of quarantined parts."""
    quarantined = sum(record.is_quarantined for record in state.records)
    metrics.set_parts(len(state.records) - quarantined, quarantined)


def log_subject_changes(
    log: JsonLog, before: QuarantineState, after: QuarantineState
) -> None:
    """Write a line for each part that has changed."""
    known = {record.subject: record for record in before.records}
    for record in after.records:
        former = known.pop(record.subject, None)
        if former != record:
            message = _describe_change(former, record)
            log.write('quarantine', message, **record_fields(record))
    for cleared in known.values():
        log.write('quarantine', 'part cleared', **record_fields(cleared))


def _describe_change(before: SubjectRecord | None, after: SubjectRecord) -> str:
    if before is None:
        return 'part suspected'
    if before.is_quarantined != after.is_quarantined:
        return 'part quarantined' if after.is_quarantined else 'part suspected'
    if before.trials != after.trials:
        return 'trial granted'
    if len(before.crashes) > len(after.crashes):
        return 'crash refuted'
    if len(before.unconfirmed) > len(after.unconfirmed):
        return 'crash confirmed'
    return 'another crash'
