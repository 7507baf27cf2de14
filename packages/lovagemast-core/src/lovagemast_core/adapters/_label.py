"""Labels that name an adapter version in messages between VMs."""

from functools import lru_cache
from typing import Final, NamedTuple

MAX_PARSED: Final = 8_192  # size of the cache of parsed labels
MAX_VERSION_DIGITS: Final = 18  # fits into 64 bits


class AdapterLabel(NamedTuple):
    """A version of a model's adapter; version 0 stands for an unknown one."""

    model: str
    adapter: str
    version: int = 0

    @classmethod
    @lru_cache(maxsize=MAX_PARSED)
    def from_text(cls, text: str) -> 'AdapterLabel':
        """Parse ``model/adapter@version``."""
        model, _, rest = text.partition('/')
        adapter, _, version = rest.partition('@')
        return cls(model, adapter, _parse_version(version))

    def __str__(self) -> str:
        """Return ``model/adapter@version``."""
        return f'{self.model}/{self.adapter}@{self.version}'

    @property
    def name(self) -> tuple[str, str]:
        """Return the model and the adapter, without the version."""
        return self.model, self.adapter


@lru_cache(maxsize=MAX_PARSED)
def name_of_label(text: str) -> tuple[str, str]:
    """Return the model and the adapter of a label's text."""
    return AdapterLabel.from_text(text).name


def _parse_version(text: str) -> int:
    is_number = text.isascii() and text.isdigit()
    return int(text) if is_number and len(text) <= MAX_VERSION_DIGITS else 0
