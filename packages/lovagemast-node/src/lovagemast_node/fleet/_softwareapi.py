"""The operators' list of targets' software versions, at a control VM.

It belongs to this project, not to the platform's interface, so it needs no
codec. Every control VM answers from what it has applied.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any, Final

from lovagemast_core.streams import PoolSoftware
from lovagemast_core.targets import TargetRecord

PATH: Final = '/admin/software'


class SoftwareHistory:
    """The versions of each pool, and when this VM learned of them."""

    def __init__(self) -> None:
        self._since: dict[tuple[str, str], float] = {}  # s

    def update(self, software: Iterable[PoolSoftware], now: float) -> None:
        """Replace the versions."""
        names = [(pool, one) for pool, versions in software for one in versions]
        self._since = {name: self._since.get(name, now) for name in names}

    def describe(
        self, records: Iterable[TargetRecord], now: float
    ) -> dict[str, Any]:
        """Return the JSON document that lists versions, by pool.

        A version without targets has left, but may have begun open streams.
        """
        targets = Counter((one.pool, one.software) for one in records)
        return {
            'software': [
                {
                    'pool': pool,
                    'version': version,
                    'targets': targets[pool, version],
                    'known_s': round(now - since, 1),
                }
                for (pool, version), since in sorted(self._since.items())
            ]
        }
