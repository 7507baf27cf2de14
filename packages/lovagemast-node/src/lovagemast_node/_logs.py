"""Structured logging: JSON lines with a prefix for each component."""

import logging
import sys
from typing import Final

from pythonjsonlogger.json import JsonFormatter

ROOT_LOGGER: Final = 'lovagemast'


class PartLogger(logging.LoggerAdapter[logging.Logger]):
    """Prefixes messages with the name of a component of the daemon."""

    @classmethod
    def from_part(cls, part: str) -> 'PartLogger':
        """Return the logger of a component."""
        return cls(logging.getLogger(f'{ROOT_LOGGER}.{part}'), {'part': part})

    def process(  # type: ignore[no-untyped-def]
        self,
        msg,
        kwargs,
    ):
        """Add the prefix to a message and merge its extra fields."""
        extra = {**(self.extra or {}), **kwargs.get('extra', {})}
        kwargs['extra'] = extra
        return f'{extra["part"]}: {msg}', kwargs


def configure_logs(vm: str, level: str) -> None:
    """Send all logs to standard error at the given level."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            '{asctime}{levelname}{message}',
            style='{',
            rename_fields={'asctime': 'time', 'levelname': 'level'},
            static_fields={'vm': vm},
        ),
    )
    root = logging.getLogger()
    root.handlers.clear()
    root.addHandler(handler)
    root.setLevel(logging.WARNING)
    logging.getLogger(ROOT_LOGGER).setLevel(level)
