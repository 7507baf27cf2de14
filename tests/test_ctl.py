"""Tests of ``lovagectl`` that need no fleet."""

import json
from pathlib import Path

import pytest
from lovagemast_cli import main

from standins.fleet import EXAMPLE

PARAMETERS = {
    'accounts': [
        {'account': 'a', 'rate': 1, 'burst': 2, 'key_digest': 'd'},
    ],
}


@pytest.fixture
def parameters(tmp_path: Path) -> Path:
    """Return a parameters file for the example template."""
    path = tmp_path / 'parameters.json'
    path.write_text(json.dumps(PARAMETERS, indent=2))
    return path


class TestCheck:
    """The ``check`` command."""

    def test_example_has_no_faults(self, parameters: Path) -> None:
        """The example template is valid."""
        assert main(['check', str(EXAMPLE), str(parameters)]) == 0

    @pytest.mark.parametrize(
        ('old', 'new', 'line', 'problem'),
        [
            ('"engine"', '"motor"', 10, 'must be one of engine, service'),
            ('"yield-lm",\n        "pri', '"no",\n        "pri', 17, 'no pool'),
            ('"${rate}"', '"${speed}"', 38, "'speed' is not set"),
            ('"zones": [', '"zones": {', 5, 'Expecting'),
        ],
    )
    def test_faults_name_the_line(
        self,
        tmp_path: Path,
        parameters: Path,
        capsys: pytest.CaptureFixture[str],
        old: str,
        new: str,
        line: int,
        problem: str,
    ) -> None:
        """A fault is reported with its file, its line and the problem."""
        text = EXAMPLE.read_text()
        assert old in text
        template = tmp_path / 'template.json'
        template.write_text(text.replace(old, new, 1))
        assert main(['check', str(template), str(parameters)]) == 2
        printed = capsys.readouterr().err
        assert f'{template}:{line}:' in printed
        assert problem in printed

    def test_faults_in_parameters(
        self,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """A fault in the parameters is reported with the parameters file."""
        path = tmp_path / 'parameters.json'
        path.write_text('{"accounts": 3}')
        assert main(['check', str(EXAMPLE), str(path)]) == 2
        assert f'{path}:1: accounts: must be a list' in capsys.readouterr().err


class TestExitStatus:
    """Exit statuses for scripts."""

    def test_no_fleet(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """An unreachable fleet has an exit status other than a refusal."""
        monkeypatch.setenv('LOVAGECTL_VMS', '127.0.0.1:1')
        assert main(['status']) == 3

    def test_usage(self) -> None:
        """Invalid arguments end with status 2."""
        with pytest.raises(SystemExit) as exc:
            main(['zone', 'sideways', 'z1'])
        assert exc.value.code == 2
