"""Tests of loading and validating the settings file."""

import copy
import json
from pathlib import Path
from typing import Any

import pytest
from lovagemast_node import load_settings, main

SETTINGS: dict[str, Any] = {
    'vm': 'vm1',
    'zone': 'z1',
    'callers': {'host': '127.0.0.1', 'port': 8080},
    'peers': {'host': '127.0.0.1', 'port': 8081},
    'admin': {'host': '127.0.0.1', 'port': 8082},
}


def write(path: Path, settings: object) -> Path:
    """Write a settings file."""
    path.write_text(json.dumps(settings))
    return path


class TestLoad:
    """Loading and validation of settings."""

    def test_good_settings(self, tmp_path: Path) -> None:
        """Valid settings are loaded with their defaults."""
        settings, faults = load_settings(write(tmp_path / 's', SETTINGS))
        assert not faults
        assert settings
        assert settings.limits.concurrent == 4000

    @pytest.mark.parametrize(
        ('change', 'expected'),
        [
            ({'vm': 3}, 'vm: must be of type string'),
            ({'colour': 1}, 'colour: is not a known field'),
            ({'callers': {'host': 'localhost', 'port': 1}}, 'callers.host'),
            ({'callers': {'host': '127.0.0.1', 'port': 0}}, 'callers.port'),
            ({'control': True}, 'data_dir: is needed on a control VM'),
            ({'log_level': 'LOUD'}, 'log_level: must be one of'),
            ({'limits': {'body_bytes': 1}}, 'limits.body_bytes'),
        ],
    )
    def test_faults(
        self,
        tmp_path: Path,
        change: dict[str, object],
        expected: str,
    ) -> None:
        """Each fault is reported with the path of its field."""
        document = {**copy.deepcopy(SETTINGS), **change}
        settings, faults = load_settings(write(tmp_path / 's', document))
        assert settings is None
        assert any(str(fault).startswith(expected) for fault in faults)

    def test_all_faults_at_once(
        self,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """The daemon reports every fault and exits with status 2."""
        document = {**SETTINGS, 'vm': 3, 'zone': 4, 'extra': 5}
        path = write(tmp_path / 's', document)
        assert main([str(path)]) == 2
        printed = capsys.readouterr().err
        assert printed.count(str(path)) == 3

    def test_missing_file(self, tmp_path: Path) -> None:
        """An unreadable file is reported as a fault."""
        assert load_settings(tmp_path / 'nothing')[1]

    def test_check_only(self, tmp_path: Path) -> None:
        """``--check`` exits with status 0 after validation."""
        path = write(tmp_path / 's', SETTINGS)
        assert main([str(path), '--check']) == 0
