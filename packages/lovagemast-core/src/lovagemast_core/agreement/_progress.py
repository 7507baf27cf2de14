"""Replication progress of each follower, and quorum arithmetic."""

from typing import Final

MAX_ENTRIES_PER_MESSAGE: Final = 256
# A longer entry has a message of its own.
MAX_BYTES_PER_MESSAGE: Final = 524_288
# Sent to a replica that has not answered it; then only heartbeats are sent.
MAX_UNANSWERED_BYTES: Final = 4_194_304
SNAPSHOT_INTERVAL_S: Final = 1.0  # between snapshots to one replica


class Progress:
    """The leader's view of one follower's log."""

    def __init__(self, *, last_index: int, now: float) -> None:
        self.match_index = 0
        self.next_index = last_index + 1
        self.last_contact_at = now  # s
        self.promotion_index = last_index  # a learner becomes a voter here
        self.has_replied = False  # since the leader's term has begun
        self._snapshot_sent_at = float('-inf')

    def accept(self, match_index: int, asked_at: float) -> None:
        """Record that the follower's log matches up to an index.

        ``asked_at`` is when the leader sent the message that is answered: a
        delayed reply does not count as a recent contact.
        """
        self.last_contact_at = max(self.last_contact_at, asked_at)
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def reject(self, hint: int, asked_at: float) -> None:
        """Move ``next_index`` back: by one, or further to after the hint."""
        self.last_contact_at = max(self.last_contact_at, asked_at)
        lower = min(self.next_index - 1, hint + 1)
        self.next_index = max(self.match_index + 1, lower)

    def try_start_snapshot(self, now: float) -> bool:
        """Return whether a snapshot may be sent now, and count it as sent."""
        if now - self._snapshot_sent_at < SNAPSHOT_INTERVAL_S:
            return False
        self._snapshot_sent_at = now
        return True


def majority_of(count: int) -> int:
    """Return the smallest majority of ``count`` voters."""
    return count // 2 + 1


def quorum_index(match_indexes: list[int]) -> int:
    """Return the highest index that a quorum of the voters holds."""
    ranked = sorted(match_indexes, reverse=True)
    return ranked[majority_of(len(ranked)) - 1]


def quorum_time(times: list[float]) -> float:
    """Return the latest time since which a quorum has been in contact."""
    ranked = sorted(times, reverse=True)
    return ranked[majority_of(len(ranked)) - 1]
