"""Tests of the list of limited targets, as operators see it."""

import json
from typing import Any

import pytest
from lovagemast_cli._format import format_limits
from lovagemast_core.targets import LimitReport
from lovagemast_node.fleet._limitsapi import describe_limits

REPORTS = (
    LimitReport('t2', 1, None, 3.25),
    LimitReport('t1', 1, 3.4, 0.5),
)


@pytest.mark.parametrize(
    ('reports', 'texts'),
    [
        ((), ['no target names a limit']),
        (REPORTS, ['t1', '3.4', '0.5 s ago', 't2', 'ended', '3.2 s ago']),
    ],
)
def test_list(reports: tuple[LimitReport, ...], texts: list[str]) -> None:
    """The list names each target's limit, its end and its age."""
    document: dict[str, Any] = json.loads(json.dumps(describe_limits(reports)))
    listed = format_limits(document['limits'])
    assert all(text in listed for text in texts)
