"""An earlier build of the programs, from the repository's history."""

import io
import subprocess
import tarfile
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).parent.parent
SOURCES: Final = ('packages', 'platform')
SCHEMA: Final = 'packages/lovagemast-wire/src/lovagemast_wire/lovagemast.proto'
# The messages of the schema that came with what workers may say.
SOFTWARE_MESSAGE: Final = 'SetSoftware'
LIMIT_MESSAGE: Final = 'LimitReport'


def knows_message(folder: Path, message: str) -> bool:
    """Return whether an extracted build has a message in its schema."""
    return message in (folder / SCHEMA).read_text(encoding='utf-8')


def extract_build(commit: str, folder: Path) -> str:
    """Extract the sources of a commit; return the path to import them from.

    Raises :exc:`subprocess.CalledProcessError` for an unknown commit.
    """
    archive = subprocess.run(
        ['git', 'archive', commit, *SOURCES],
        cwd=ROOT,
        check=True,
        capture_output=True,
    )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as sources:
        sources.extractall(folder, filter='data')
    return ':'.join(
        str(path)
        for pattern in ('packages/*/src', 'platform/src')
        for path in sorted(folder.glob(pattern))
    )
