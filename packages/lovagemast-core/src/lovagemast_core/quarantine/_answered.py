"""Remembers which prompt parts and whole requests were answered recently."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, NamedTuple

from .._types import Subject
from ._subjects import is_request

# Older answers don't prove that a part is harmless: the adapter, or the
# program of the targets, may have changed since. Nor do answers that were
# followed by several crashes.
RETENTION_S: Final = 60.0
MAX_CRASHES: Final = 2
# Targets that crash on what they begin to answer do so within this time.
ANSWERING_S: Final = 0.05
MAX_PARTS: Final = 4_096
MAX_REQUESTS: Final = 4_096


class _Answer(NamedTuple):
    at: float  # s
    crashes: frozenset[str] = frozenset()  # since then
    is_complete: bool = True


class _AnswerMemory:
    """The newest answers, a bounded number of them."""

    def __init__(self, max_subjects: int) -> None:
        self._max_subjects = max_subjects
        self._answers: OrderedDict[Subject, _Answer] = OrderedDict()

    def get(self, subject: Subject) -> _Answer | None:
        return self._answers.get(subject)

    def put(self, subject: Subject, answer: _Answer) -> None:
        self._answers[subject] = answer
        self._answers.move_to_end(subject)
        if len(self._answers) > self._max_subjects:
            self._answers.popitem(last=False)

    def replace(self, subject: Subject, answer: _Answer) -> None:
        """Replace an answer without making it the newest one."""
        self._answers[subject] = answer


class AnsweredSubjects:
    """The subjects of requests that targets have answered.

    An answer that has gone on for ``ANSWERING_S`` counts too, but it outweighs
    no earlier crashes, as its target may still crash.

    Most whole requests come once only, so they are kept apart: they would
    displace the prompt parts.
    """

    def __init__(self) -> None:
        self._parts = _AnswerMemory(MAX_PARTS)
        self._requests = _AnswerMemory(MAX_REQUESTS)

    def record(self, subjects: Iterable[Subject], now: float) -> None:
        """Record that a request with these subjects was answered."""
        for subject in subjects:
            self._memory_of(subject).put(subject, _Answer(now))

    def record_partial(self, subjects: Iterable[Subject], now: float) -> None:
        """Record that a request with these subjects is being answered."""
        for subject in subjects:
            memory = self._memory_of(subject)
            known = memory.get(subject) or _Answer(now, is_complete=False)
            memory.put(subject, known._replace(at=now))

    def record_crash(
        self, subjects: Iterable[Subject], crash: str, *, answering: bool
    ) -> None:
        """Record that requests with these subjects ran at a crash.

        If the target was ``answering`` for long, only subjects that never had
        a complete answer may have crashed it.
        """
        for subject in subjects:
            memory = self._memory_of(subject)
            answer = memory.get(subject)
            if answer and not (answering and answer.is_complete):
                crashes = answer.crashes | {crash}
                memory.replace(subject, answer._replace(crashes=crashes))

    def contains(self, subject: Subject, now: float) -> bool:
        """Return whether an answer shows that a subject is harmless."""
        answer = self._memory_of(subject).get(subject)
        if answer is None or len(answer.crashes) > MAX_CRASHES:
            return False
        return now - answer.at <= RETENTION_S

    def _memory_of(self, subject: Subject) -> _AnswerMemory:
        return self._requests if is_request(subject) else self._parts
