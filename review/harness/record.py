"""The record of a run: what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
