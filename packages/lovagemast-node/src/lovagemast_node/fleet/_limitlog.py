"""Log lines for changes of targets' limits."""

from collections.abc import Iterable

from lovagemast_core.targets import LimitReport

from ._jsonlog import JsonLog


def log_limits(
    log: JsonLog, reports: Iterable[LimitReport], source: str
) -> None:
    """Write a line for each limit that is new to this VM, or has ended.

    ``source`` says how the VM has learned of it.
    """
    _write(log, 'limit', reports, source)


def log_tolerances(
    log: JsonLog, reports: Iterable[LimitReport], source: str
) -> None:
    """Write a line for each target that is brittle, or not any more."""
    _write(log, 'brittle', reports, source)


def _write(
    log: JsonLog, component: str, reports: Iterable[LimitReport], source: str
) -> None:
    for report in reports:
        message = 'ended' if report.per_s is None else 'in force'
        log.write(component, message, **report._asdict(), source=source)
