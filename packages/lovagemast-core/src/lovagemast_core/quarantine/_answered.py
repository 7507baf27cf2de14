"""Remembers which prompt parts were answered recently."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, NamedTuple

from .._types import PromptPart

# Older answers don't prove that a part is harmless: the adapter, or the
# program of the targets, may have changed since. Nor do answers that were
# followed by several crashes.
RETENTION_S: Final = 60.0
MAX_CRASHES: Final = 2
MAX_PARTS: Final = 4_096


class _Answer(NamedTuple):
    at: float  # s
    crashes: frozenset[str] = frozenset()  # since then


class AnsweredParts:
    """The parts of requests that targets have begun to answer."""

    def __init__(self) -> None:
        self._answers: OrderedDict[PromptPart, _Answer] = OrderedDict()

    def record(self, parts: Iterable[PromptPart], now: float) -> None:
        """Record that a request with these parts was answered."""
        for part in parts:
            self._answers[part] = _Answer(now)
            self._answers.move_to_end(part)
        while len(self._answers) > MAX_PARTS:
            self._answers.popitem(last=False)

    def record_crash(self, parts: Iterable[PromptPart], crash: str) -> None:
        """Record that requests with these parts ran at a crash."""
        for part in parts:
            answer = self._answers.get(part)
            if answer:
                crashes = answer.crashes | {crash}
                self._answers[part] = answer._replace(crashes=crashes)

    def contains(self, part: PromptPart, now: float) -> bool:
        """Return whether an answer shows that a part is harmless."""
        answer = self._answers.get(part)
        if answer is None or len(answer.crashes) > MAX_CRASHES:
            return False
        return now - answer.at <= RETENTION_S
