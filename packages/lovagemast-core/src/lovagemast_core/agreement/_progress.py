"""What a leader knows of the other replicas."""

from typing import Final

MAX_ENTRIES_PER_MESSAGE: Final = 256
SNAPSHOT_INTERVAL_S: Final = 1.0


class Progress:
    """How far one replica's log follows the leader's."""

    def __init__(self, *, last_index: int, now: float) -> None:
        self.match_index = 0
        self.next_index = last_index + 1
        self.heard_at = now  # s
        self.promote_at = last_index  # index to hold before it may vote
        self._snapshot_sent_at = float('-inf')

    def accept(self, match_index: int, asked_at: float) -> None:
        """Note that the replica holds the log up to an index.

        ``asked_at`` is when the leader sent what the replica answers, so
        that an answer delayed on its way proves nothing of the present.
        """
        self.heard_at = max(self.heard_at, asked_at)
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def reject(self, hint: int, asked_at: float) -> None:
        """Step back after a mismatch, at most to the hint."""
        self.heard_at = max(self.heard_at, asked_at)
        lower = min(self.next_index - 1, hint + 1)
        self.next_index = max(self.match_index + 1, lower)

    def may_send_snapshot(self, now: float) -> bool:
        """Return whether the last snapshot was sent long enough ago."""
        if now - self._snapshot_sent_at < SNAPSHOT_INTERVAL_S:
            return False
        self._snapshot_sent_at = now
        return True


def majority_of(count: int) -> int:
    """Return how many of ``count`` voters are a quorum."""
    return count // 2 + 1


def quorum_index(match_indexes: list[int]) -> int:
    """Return the highest index that a quorum of the voters holds."""
    ranked = sorted(match_indexes, reverse=True)
    return ranked[majority_of(len(ranked)) - 1]


def quorum_time(times: list[float]) -> float:
    """Return the latest time since which a quorum has been heard."""
    ranked = sorted(times, reverse=True)
    return ranked[majority_of(len(ranked)) - 1]
