"""Remembers which prompt parts were answered recently."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, NamedTuple

from .._types import Subject

# Older answers don't prove that a subject is harmless: the adapter, or the
# program of the targets, may have changed since. Nor do answers that were
# followed by several crashes.
RETENTION_S: Final = 60.0
MAX_CRASHES: Final = 2
MAX_SUBJECTS: Final = 4_096


class _Answer(NamedTuple):
    at: float  # s
    crashes: frozenset[str] = frozenset()  # since then


class AnsweredSubjects:
    """The subjects of requests that targets have begun to answer."""

    def __init__(self) -> None:
        self._answers: OrderedDict[Subject, _Answer] = OrderedDict()

    def record(self, subjects: Iterable[Subject], now: float) -> None:
        """Record that a request with these subjects was answered."""
        for subject in subjects:
            self._answers[subject] = _Answer(now)
            self._answers.move_to_end(subject)
        while len(self._answers) > MAX_SUBJECTS:
            self._answers.popitem(last=False)

    def record_crash(self, subjects: Iterable[Subject], crash: str) -> None:
        """Record that requests with these subjects ran at a crash."""
        for subject in subjects:
            answer = self._answers.get(subject)
            if answer:
                crashes = answer.crashes | {crash}
                self._answers[subject] = answer._replace(crashes=crashes)

    def contains(self, subject: Subject, now: float) -> bool:
        """Return whether an answer shows that a subject is harmless."""
        answer = self._answers.get(subject)
        if answer is None or len(answer.crashes) > MAX_CRASHES:
            return False
        return now - answer.at <= RETENTION_S
