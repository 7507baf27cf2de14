"""Finds the engines that hold an adapter.

The leader plans tens of times per second, and few engines gain or lose an
adapter in between. Visiting the adapters of all engines for each plan would
take a third of its processor time under load.
"""

from collections.abc import Iterable

from .._types import TargetName
from ._enginestate import EngineState
from ._label import AdapterLabel

Name = tuple[str, str]
_Labels = tuple[AdapterLabel, ...]


class HolderIndex:
    """The engines that hold each adapter, in the order of the engines.

    An engine with several versions of an adapter is listed once for each.
    """

    def __init__(self) -> None:
        self._holders: dict[Name, list[EngineState]] = {}
        self._engines: list[EngineState] = []
        self._labels: list[_Labels] = []  # of each engine
        self._positions: dict[TargetName, int] = {}

    def __contains__(self, name: Name) -> bool:
        """Return whether an engine holds any version of an adapter."""
        return name in self._holders

    def holders(self, name: Name) -> list[EngineState]:
        """Return the engines that hold any version of an adapter."""
        return self._holders.get(name, [])

    def update(self, engines: Iterable[EngineState]) -> set[Name] | None:
        """Take over what engines hold now.

        Return the adapters whose holders have changed, ``None`` if any may
        have.
        """
        present = list(engines)
        labels = [tuple(engine.ready_at) for engine in present]
        former = self._labels
        self._labels = labels
        if present != self._engines:
            self._rebuild(present, labels)
            return None
        changed: set[Name] = set()
        if labels != former:
            held = zip(present, former, labels, strict=True)
            for engine, before, after in held:
                if before != after:
                    changed |= self._update_engine(engine, before, after)
        return changed

    def _rebuild(
        self, engines: list[EngineState], labels: list[_Labels]
    ) -> None:
        self._engines = engines
        self._positions = {
            engine.target: number for number, engine in enumerate(engines)
        }
        self._holders = {}
        for engine, held in zip(engines, labels, strict=True):
            for label in held:
                self._holders.setdefault(label.name, []).append(engine)

    def _update_engine(
        self, engine: EngineState, before: _Labels, after: _Labels
    ) -> set[Name]:
        changed = set(before) ^ set(after)
        names = {label.name for label in changed}
        for name in names:
            holders = [one for one in self.holders(name) if one is not engine]
            holders.extend(engine for label in after if label.name == name)
            holders.sort(key=self._position)
            if holders:
                self._holders[name] = holders
            else:
                self._holders.pop(name, None)
        return names

    def _position(self, engine: EngineState) -> int:
        return self._positions[engine.target]
