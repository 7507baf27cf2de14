"""The loads of targets as the leader sends them to relays."""

from collections.abc import Callable, Iterable

from .._types import TargetName
from ..targets import TargetLoad


class SharedLoads:
    """Keeps each load as one object, so that it is encoded once for all."""

    def __init__(self) -> None:
        self._loads: dict[TargetName, TargetLoad] = {}

    def update(
        self,
        names: Iterable[TargetName],
        requests_at: Callable[[TargetName], int],
    ) -> tuple[TargetLoad, ...]:
        """Return the loads of targets; unchanged ones are the same objects."""
        former = self._loads
        self._loads = {}
        for name in names:
            load = former.get(name)
            requests = requests_at(name)
            if load is None or load.requests != requests:
                load = TargetLoad(name, requests)
            self._loads[name] = load
        return tuple(self._loads.values())
