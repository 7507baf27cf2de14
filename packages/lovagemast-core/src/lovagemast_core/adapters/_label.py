"""Names of adapter versions, as VMs pass them on."""

from functools import lru_cache
from typing import Final, NamedTuple

MAX_PARSED: Final = 8_192  # labels that are kept as they were read


class AdapterLabel(NamedTuple):
    """An adapter of a model; version 0 means that it is not known."""

    model: str
    adapter: str
    version: int = 0

    @classmethod
    @lru_cache(maxsize=MAX_PARSED)
    def from_text(cls, text: str) -> 'AdapterLabel':
        """Read ``model/adapter@version``."""
        model, _, rest = text.partition('/')
        adapter, _, version = rest.partition('@')
        return cls(model, adapter, int(version) if version.isdigit() else 0)

    def __str__(self) -> str:
        """Return ``model/adapter@version``."""
        return f'{self.model}/{self.adapter}@{self.version}'

    @property
    def name(self) -> tuple[str, str]:
        """Return the model and the adapter, whatever the version."""
        return self.model, self.adapter
