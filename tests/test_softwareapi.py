"""Tests of the list of software versions, as operators see it."""

import json
from typing import Any

import pytest
from lovagemast_cli._format import format_software
from lovagemast_core.streams import PoolSoftware
from lovagemast_core.targets import TargetRecord
from lovagemast_node.fleet._softwareapi import SoftwareHistory

RECORD = TargetRecord('t1', 'p', 'h:1', 'z', 1, 8, False, 0.0)
NOW = 100.0


@pytest.mark.parametrize(
    ('versions', 'texts'),
    [
        ((), ['no target has registered']),
        (('v1',), ['p', 'v1', '2', '5 s']),
        (('v1', 'v2'), ['v1', '2', 'v2', 'left']),
    ],
)
def test_list(versions: tuple[str, ...], texts: list[str]) -> None:
    """A version that has left is listed as long as its streams may go on."""
    history = SoftwareHistory()
    software = (PoolSoftware('p', versions),) if versions else ()
    history.update(software, NOW)
    history.update(software, NOW + 3)
    record = RECORD._replace(software='v1')
    described = history.describe((record, record), NOW + 5)
    document: dict[str, Any] = json.loads(json.dumps(described))
    listed = format_software(document['software'])
    assert all(text in listed for text in texts)
