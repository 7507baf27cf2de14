"""Suspicions of one entry VM, until the whole fleet knows of them.

They hold requests back for the moment between a crash and the leader's news
of it. An entry VM without contact to a leader has nothing else to go by.
"""

from typing import Final

from .._types import Subject

LEADER_NEWS_S: Final = 0.5  # by when the leader's state has a reported crash
MAX_CONTACT_AGE_S: Final = 1.0  # of the state, for a VM in contact
RETENTION_S: Final = 60.0
MAX_SUBJECTS: Final = 256
# Without contact: the time from the latest crash or trial to the next trial,
# after one, two, or more crashes.
TRIAL_DELAYS_S: Final = (0.5, 2.0, 10.0)
MANY_CRASHES: Final = 3


class _Suspicion:
    def __init__(self) -> None:
        self.crashes: set[str] = set()
        self.at = 0.0  # s, of the latest crash or trial


class LocalSuspicions:
    """Parts of requests that ran at a target when it crashed."""

    def __init__(self) -> None:
        self._suspicions: dict[Subject, _Suspicion] = {}

    def record_crash(self, subject: Subject, crash: str, now: float) -> None:
        """Record a crash that implicates a subject."""
        self._drop_old(now)
        if len(self._suspicions) >= MAX_SUBJECTS:
            return
        suspicion = self._suspicions.setdefault(subject, _Suspicion())
        suspicion.crashes.add(crash)
        suspicion.at = now

    def adopt(
        self, subject: Subject, crashes: tuple[str, ...], now: float
    ) -> None:
        """Take over the leader's suspicion of a subject, if there is no own.

        Without a leader, nobody grants a trial of it.
        """
        if subject not in self._suspicions:
            for crash in crashes:
                self.record_crash(subject, crash, now)

    def record_trial(self, subject: Subject, now: float) -> None:
        """Record that a request with a subject is sent, if it is suspected."""
        suspicion = self._suspicions.get(subject)
        if suspicion:
            suspicion.at = now

    def clear(self, subject: Subject) -> None:
        """Drop the suspicion of a subject, as after an answer."""
        self._suspicions.pop(subject, None)

    def crashes(self, subject: Subject) -> int:
        """Return the number of crashes that implicate a subject."""
        suspicion = self._suspicions.get(subject)
        return len(suspicion.crashes) if suspicion else 0

    def is_held(self, subject: Subject, age_s: float, now: float) -> bool:
        """Return whether requests with a subject must wait.

        ``age_s`` is the age of the state that came from the leader.
        """
        suspicion = self._suspicions.get(subject)
        if suspicion is None:
            return False
        delay_s = LEADER_NEWS_S
        if age_s > MAX_CONTACT_AGE_S:
            step = min(len(suspicion.crashes), MANY_CRASHES) - 1
            delay_s = TRIAL_DELAYS_S[step]
        return now - suspicion.at < delay_s

    def _drop_old(self, now: float) -> None:
        self._suspicions = {
            subject: suspicion
            for subject, suspicion in self._suspicions.items()
            if now - suspicion.at < RETENTION_S
        }
