"""JSON log lines on standard output, rate-limited and non-blocking."""

import json
import os
import sys
import time
from typing import Any, Final

MAX_LINES_PER_S: Final = 400
STDOUT: Final = 1


class JsonLog:
    """Writes one JSON object per line, at a limited rate.

    Lines above ``MAX_LINES_PER_S``, or that cannot be written without
    blocking, are dropped. The next line that is written has their number in
    the field ``dropped``.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._second = 0
        self._lines = 0
        self.dropped = 0

    def set_nonblocking(self) -> None:
        """Make standard output non-blocking, so that no write can stall."""
        try:
            os.set_blocking(STDOUT, False)
        except OSError as exc:
            sys.stderr.write(
                f'log: cannot make standard output non-blocking: {exc}\n'
            )

    def write(self, prefix: str, message: str, **fields: Any) -> None:
        """Write a line whose message has a component's prefix."""
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
            'msg': f'{prefix}: {message}',
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
