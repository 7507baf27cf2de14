"""How many prompt tokens an engine may have to read at a time.

Answers the load of requests that reach one engine in bursts. An engine reads
new prompts between the tokens of the streams that run, so a burst makes all
of them pause. Requests above the limit wait at the entry VM, or go to another
engine with the adapter. Each stream that ends tells whether it paused too
long; the limit falls with each that did and rises slowly with the others.
"""

from typing import Final

from .._types import TargetName

START_TOKENS: Final = 6_000.0
LEAST_TOKENS: Final = 1_500.0
MOST_TOKENS: Final = 24_000.0
FALL_PART: Final = 0.05  # of the limit, for a stream that paused too long
RISE_TOKENS: Final = 30.0  # for one that did not: one in ten may pause


class PrefillLimit:
    """Bounds the prompt tokens that this VM's requests add to an engine.

    The limit of an engine is shared evenly by all entry VMs. One request is
    always allowed, however large it is.
    """

    def __init__(self) -> None:
        self._unread: dict[TargetName, float] = {}
        self._limits: dict[TargetName, float] = {}

    def add_prompt(self, target: TargetName, tokens: float) -> None:
        """Count a prompt that the engine has yet to read."""
        self._unread[target] = self._unread.get(target, 0.0) + tokens

    def remove_prompt(self, target: TargetName, tokens: float) -> None:
        """Take off a prompt that was read, or whose request ended."""
        rest = self._unread.get(target, 0.0) - tokens
        if rest > 0:
            self._unread[target] = rest
        else:
            self._unread.pop(target, None)

    def record_stream(self, target: TargetName, *, paused: bool) -> None:
        """Take what a stream that ended showed."""
        limit = self._limits.get(target, START_TOKENS)
        limit = limit * (1 - FALL_PART) if paused else limit + RISE_TOKENS
        self._limits[target] = min(MOST_TOKENS, max(LEAST_TOKENS, limit))

    def utilization(self, target: TargetName, entries: int) -> float:
        """Return the part of this VM's share that is in use."""
        limit = self._limits.get(target, START_TOKENS)
        share = limit / max(1, entries)
        return self._unread.get(target, 0.0) / share

    def may_send(
        self,
        target: TargetName,
        tokens: float,
        entries: int,
    ) -> bool:
        """Return whether an engine may get one more prompt now."""
        unread = self._unread.get(target, 0.0)
        if unread <= 0:
            return True
        limit = self._limits.get(target, START_TOKENS)
        return (unread + tokens) * max(1, entries) <= limit

    def retain(self, present: set[TargetName]) -> None:
        """Drop the limits of targets that are gone."""
        for target in set(self._limits) - present:
            self._limits.pop(target)
