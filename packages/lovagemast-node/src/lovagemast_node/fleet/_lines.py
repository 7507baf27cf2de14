"""Structured log lines on standard output, bounded and never blocking."""

import json
import os
import sys
import time
from typing import Any, Final

MAX_LINES_PER_S: Final = 400
STDOUT: Final = 1


class LineLog:
    """Writes one JSON object a line; drops what exceeds the bound.

    Lines that were dropped are counted and told of in the next line that
    is written.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._second = 0
        self._lines = 0
        self.dropped = 0

    def unblock(self) -> None:
        """Let no write wait for whoever reads standard output."""
        try:
            os.set_blocking(STDOUT, False)
        except OSError as exc:
            sys.stderr.write(f'log: standard output may block: {exc}\n')

    def write(self, part: str, message: str, **fields: Any) -> None:
        """Write a line with a part's prefix."""
        now = time.time()
        if int(now) != self._second:
            self._second = int(now)
            self._lines = 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_S:
            self.dropped += 1
            return
        line = {
            'at': round(now, 4),
            'vm': self._vm,
            'msg': f'{part}: {message}',
            **fields,
        }
        if self.dropped:
            line['dropped'] = self.dropped
        text = json.dumps(line, separators=(',', ':'), default=str) + '\n'
        try:
            os.write(STDOUT, text.encode())
        except OSError:
            self.dropped += 1  # the pipe is full or closed
            return
        self.dropped = 0
