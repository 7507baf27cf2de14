"""Suspicions of one entry VM, until the whole fleet knows of them.

They hold requests back for the moment between a crash and the leader's news
of it. An entry VM without contact to a leader has nothing else to go by.
"""

from typing import Final

from .._types import PromptPart

LEADER_NEWS_S: Final = 0.5  # by when the leader's state has a reported crash
MAX_CONTACT_AGE_S: Final = 1.0  # of the state, for a VM in contact
RETENTION_S: Final = 60.0
MAX_PARTS: Final = 256
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
        self._suspicions: dict[PromptPart, _Suspicion] = {}

    def record_crash(self, part: PromptPart, crash: str, now: float) -> None:
        """Record a crash that implicates a part."""
        self._drop_old(now)
        if len(self._suspicions) >= MAX_PARTS:
            return
        suspicion = self._suspicions.setdefault(part, _Suspicion())
        suspicion.crashes.add(crash)
        suspicion.at = now

    def adopt(
        self, part: PromptPart, crashes: tuple[str, ...], now: float
    ) -> None:
        """Take over the leader's suspicion of a part, if there is no own one.

        Without a leader, nobody grants a trial of it.
        """
        if part not in self._suspicions:
            for crash in crashes:
                self.record_crash(part, crash, now)

    def record_trial(self, part: PromptPart, now: float) -> None:
        """Record that a request with a part is sent, if it is suspected."""
        suspicion = self._suspicions.get(part)
        if suspicion:
            suspicion.at = now

    def clear(self, part: PromptPart) -> None:
        """Drop the suspicion of a part, as after an answer."""
        self._suspicions.pop(part, None)

    def crashes(self, part: PromptPart) -> int:
        """Return the number of crashes that implicate a part."""
        suspicion = self._suspicions.get(part)
        return len(suspicion.crashes) if suspicion else 0

    def is_held(self, part: PromptPart, age_s: float, now: float) -> bool:
        """Return whether requests with a part must wait.

        ``age_s`` is the age of the state that came from the leader.
        """
        suspicion = self._suspicions.get(part)
        if suspicion is None:
            return False
        delay_s = LEADER_NEWS_S
        if age_s > MAX_CONTACT_AGE_S:
            step = min(len(suspicion.crashes), MANY_CRASHES) - 1
            delay_s = TRIAL_DELAYS_S[step]
        return now - suspicion.at < delay_s

    def _drop_old(self, now: float) -> None:
        self._suspicions = {
            part: suspicion
            for part, suspicion in self._suspicions.items()
            if now - suspicion.at < RETENTION_S
        }
