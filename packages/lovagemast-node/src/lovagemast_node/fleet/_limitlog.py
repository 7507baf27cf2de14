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
    for report in reports:
        message = 'ended' if report.per_s is None else 'in force'
        log.write('limit', message, **report._asdict(), source=source)
