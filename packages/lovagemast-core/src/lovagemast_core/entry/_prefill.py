"""Adaptive limit on the prompt tokens pending at an engine.

An engine prefills new prompts between the decoding steps of the streams that
run, so a burst of prompts makes all of its streams pause. Requests above the
limit wait at the entry VM or go to another engine that holds the adapter.
Each stream that ends reports whether it paused too long: the limit falls
with each stream that did and rises slowly with each that did not.
"""

from typing import Final

from .._types import TargetName

INITIAL_TOKENS: Final = 6_000.0
MIN_TOKENS: Final = 1_500.0
MAX_TOKENS: Final = 24_000.0
DECREASE_RATIO: Final = 0.05  # of the limit, for a stream that paused too long
# For one that did not. With this ratio to DECREASE_RATIO, the limit settles
# where about one stream in ten pauses too long.
INCREASE_TOKENS: Final = 30.0


class PrefillLimit:
    """Limits the prompt tokens that this VM's requests add to an engine.

    The limit of an engine is shared evenly by all entry VMs. A prompt of any
    size is allowed while no other one of this VM is pending.
    """

    def __init__(self) -> None:
        self._pending: dict[TargetName, float] = {}
        self._limits: dict[TargetName, float] = {}

    def add_prompt(self, target: TargetName, tokens: float) -> None:
        """Count a prompt that was sent and is not prefilled yet."""
        self._pending[target] = self._pending.get(target, 0.0) + tokens

    def remove_prompt(self, target: TargetName, tokens: float) -> None:
        """Uncount a prompt that was prefilled or whose request has ended."""
        rest = self._pending.get(target, 0.0) - tokens
        if rest > 0:
            self._pending[target] = rest
        else:
            self._pending.pop(target, None)

    def record_stream(self, target: TargetName, *, paused: bool) -> None:
        """Adjust a target's limit after one of its streams has ended.

        ``paused`` tells whether the stream paused for too long.
        """
        limit = self._limits.get(target, INITIAL_TOKENS)
        limit = (
            limit * (1 - DECREASE_RATIO) if paused else limit + INCREASE_TOKENS
        )
        self._limits[target] = min(MAX_TOKENS, max(MIN_TOKENS, limit))

    def utilization(self, target: TargetName, entries: int) -> float:
        """Return which fraction of this VM's share is in use.

        It exceeds 1 while a prompt larger than the share is pending.
        """
        limit = self._limits.get(target, INITIAL_TOKENS)
        share = limit / max(1, entries)
        return self._pending.get(target, 0.0) / share

    def may_send(
        self,
        target: TargetName,
        tokens: float,
        entries: int,
    ) -> bool:
        """Return whether an engine may be sent one more prompt now."""
        pending = self._pending.get(target, 0.0)
        if pending <= 0:
            return True
        limit = self._limits.get(target, INITIAL_TOKENS)
        return (pending + tokens) * max(1, entries) <= limit

    def retain(self, present: set[TargetName]) -> None:
        """Drop the limits of all targets that are not in ``present``."""
        for target in set(self._limits) - present:
            self._limits.pop(target)
