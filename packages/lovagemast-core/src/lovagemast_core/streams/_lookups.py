"""An entry VM's lookups of streams that began at another one."""

from collections import Counter
from collections.abc import Iterable

from ._records import FoundStream, StreamKey


class StreamLookups:
    """Lookups that requests wait for, and their answers."""

    def __init__(self) -> None:
        self._waiting: Counter[StreamKey] = Counter()
        self._answers: dict[StreamKey, FoundStream] = {}

    def begin(self, key: StreamKey) -> None:
        """Start to look up a stream for a request."""
        self._waiting[key] += 1

    def end(self, key: StreamKey) -> None:
        """End the lookup of a request."""
        self._waiting[key] -= 1
        if self._waiting[key] <= 0:
            self._waiting.pop(key)
            self._answers.pop(key, None)

    def pending(self) -> tuple[StreamKey, ...]:
        """Return the streams that have no answer yet."""
        return tuple(key for key in self._waiting if key not in self._answers)

    def add(self, found: Iterable[FoundStream]) -> None:
        """Add answers of a relay."""
        for one in found:
            if one.key in self._waiting:
                self._answers[one.key] = one

    def answer(self, key: StreamKey) -> FoundStream | None:
        """Return the answer to a lookup, ``None`` if it has not come."""
        return self._answers.get(key)
