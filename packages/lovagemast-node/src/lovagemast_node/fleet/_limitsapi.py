"""The operators' list of targets that name a limit, at a control VM.

It belongs to this project, not to the platform's interface, so it needs no
codec. Every control VM answers from what its relay knows.
"""

from collections.abc import Iterable
from typing import Any, Final

from lovagemast_core.targets import LimitReport

PATH: Final = '/admin/limits'


def describe_limits(reports: Iterable[LimitReport]) -> dict[str, Any]:
    """Return the JSON document that lists limits, by target.

    ``per_s`` is null for a target whose limit has ended.
    """
    ordered = sorted(reports, key=lambda report: report.target)
    return {'limits': [report._asdict() for report in ordered]}
