"""Which adapters the hosts of engines may still have in memory.

Every control VM keeps this from the records that its relay receives, so that
a new leader sends adapters back to the engines that load them without the
weight store.
"""

from typing import Final

from .._types import TargetName
from ..targets import TargetRecord
from ._label import AdapterLabel

MAX_REMEMBERED: Final = 160  # adapters of one engine
MAX_ENGINES: Final = 1_024

Name = tuple[str, str]


class _Host:
    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.resident: frozenset[str] = frozenset()  # labels, as last seen
        self.loaded: dict[Name, None] = {}  # oldest first


class HostHistory:
    """The adapters that engines have loaded, by incarnation."""

    def __init__(self) -> None:
        self._hosts: dict[TargetName, _Host] = {}

    def observe(self, record: TargetRecord) -> None:
        """Record the adapters that an engine has loaded since the last time.

        A new incarnation starts with an empty memory.
        """
        host = self._host(record)
        resident = frozenset(one.label for one in record.adapters)
        for one in record.adapters:
            if one.label not in host.resident:
                name = AdapterLabel.from_text(one.label).name
                host.loaded.pop(name, None)
                host.loaded[name] = None
        host.resident = resident
        while len(host.loaded) > MAX_REMEMBERED:
            host.loaded.pop(next(iter(host.loaded)))

    def adapters(
        self, target: TargetName, incarnation: int
    ) -> tuple[Name, ...]:
        """Return the adapters that an engine has loaded, oldest first."""
        host = self._hosts.get(target)
        if host is None or host.incarnation != incarnation:
            return ()
        return tuple(host.loaded)

    def _host(self, record: TargetRecord) -> _Host:
        host = self._hosts.get(record.target)
        if host is None or host.incarnation != record.incarnation:
            host = _Host(record.incarnation)
            self._hosts[record.target] = host
            if len(self._hosts) > MAX_ENGINES:
                self._hosts.pop(next(iter(self._hosts)))
        return host
