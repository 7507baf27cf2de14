"""The record of a run, beside its script."""

import os
import time
from pathlib import Path
from typing import Final

HELD: Final = 0
BROKEN: Final = 1
NOT_RUN: Final = 2


class Record:
    """Writes lines with the time since the start to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line."""
        passed_s = time.monotonic() - self._started_at
        self._file.write(f'{passed_s:8.3f} {text}\n')
        self._file.flush()

    def append_log(self, name: str, log: str) -> None:
        """Add what a stand-in has written, a line for each run."""
        for line in log.splitlines():
            self._file.write(f'{name} {line}\n')
        self._file.flush()


def has_trouble() -> bool:
    """Return whether the disruption is played; ``TROUBLE=0`` leaves it out."""
    return os.environ.get('TROUBLE', '1') != '0'
