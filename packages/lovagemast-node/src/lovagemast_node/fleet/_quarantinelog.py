"""Log lines and metrics for changes of the quarantine state."""

from lovagemast_core.quarantine import PartRecord, QuarantineState

from ._jsonlog import JsonLog
from ._metrics import ControlMetrics


def set_part_metrics(metrics: ControlMetrics, state: QuarantineState) -> None:
    """Set the numbers of suspected and of quarantined parts."""
    quarantined = sum(record.is_quarantined for record in state.parts)
    metrics.set_parts(len(state.parts) - quarantined, quarantined)


def log_part_changes(
    log: JsonLog, before: QuarantineState, after: QuarantineState
) -> None:
    """Write a line for each part that has changed."""
    known = {record.part: record for record in before.parts}
    for record in after.parts:
        former = known.pop(record.part, None)
        if former != record:
            message = _describe_change(former, record)
            log.write('quarantine', message, **record._asdict())
    for cleared in known.values():
        log.write('quarantine', 'part cleared', **cleared._asdict())


def _describe_change(before: PartRecord | None, after: PartRecord) -> str:
    if before is None:
        return 'part suspected'
    if before.is_quarantined != after.is_quarantined:
        return 'part quarantined' if after.is_quarantined else 'part suspected'
    if before.trials != after.trials:
        return 'trial granted'
    return 'another crash'
