"""Writes the settings reference from the settings classes."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Final

from lovagemast_core import FieldSummary, FleetConfig, describe_fields
from lovagemast_node import Settings

PAGE: Final = (
    Path(__file__).parent.parent / 'docs' / 'operations' / 'settings.md'
)
PAGE_HEADER: Final = """# Settings reference

Written by `make docs` from the checks that the programs run at start; a
test compares this page with them.

Every fault in a settings file is reported at once with its path, and the
daemon ends with status 2. `lovagemastd --check FILE` checks only.
"""


def render() -> str:
    """Return the text of the page."""
    lines = [PAGE_HEADER]
    lines += _section("A VM's settings file", Settings)
    lines += _section("The fleet's configuration", FleetConfig)
    return '\n'.join(lines)


def _section(title: str, record: type) -> Iterator[str]:
    yield f'## {title}\n'
    yield '| field | type | default | bounds | meaning |'
    yield '|---|---|---|---|---|'
    yield from (_row(summary) for summary in describe_fields(record))
    yield ''


def _row(summary: FieldSummary) -> str:
    kind = summary.kind.replace('|', 'or')
    default = summary.default if len(summary.default) < 40 else 'see fields'
    cells = (f'`{summary.path}`', kind, default, summary.bounds, summary.text)
    return f'| {" | ".join(cells)} |'


def main() -> int:
    """Write the page."""
    PAGE.write_text(render())
    return 0


if __name__ == '__main__':
    sys.exit(main())
