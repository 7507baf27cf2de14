"""Judges by heartbeats whether a target has crashed as reported.

An entry VM that loses its path to a target can't tell this from a crash of
the target. Only crashes that heartbeats confirm count towards a quarantine.
"""

from typing import Final, NamedTuple

# One that was sent before the crash may arrive as late as this.
HEARTBEAT_DELAY_S: Final = 0.3
MISSED_HEARTBEAT_S: Final = 1.8  # one and a half intervals
# After an election, targets find the new leader within this time.
LEADER_LEARNING_S: Final = 4.0


class LastHeartbeat(NamedTuple):
    """The newest heartbeat of a target."""

    incarnation: int
    received_at: float  # s
    ends_at: float | None = None  # s, if it has a termination notice

    def announces(self, crash: 'ReportedCrash') -> bool:
        """Return whether a reported crash is the end that was announced.

        The end is due earlier than ``ends_at`` by the heartbeat's delay.
        """
        if self.ends_at is None or self.incarnation != crash.incarnation:
            return False
        return crash.reported_at >= self.ends_at - HEARTBEAT_DELAY_S


class ReportedCrash(NamedTuple):
    """A crash that an entry VM has reported.

    ``reported_at`` is when the leader learned of it, in s.
    """

    incarnation: int
    reported_at: float


def has_crashed(
    crash: ReportedCrash,
    heartbeat: LastHeartbeat | None,
    led_since: float,
    now: float,
) -> bool | None:
    """Return whether a target has crashed, ``None`` if this is not known yet.

    ``heartbeat`` is ``None`` if the target is not registered.
    """
    if heartbeat is None:
        return True if now - led_since > LEADER_LEARNING_S else None
    if heartbeat.incarnation > crash.incarnation:
        return True
    if heartbeat.announces(crash):
        return False
    if heartbeat.received_at > crash.reported_at + HEARTBEAT_DELAY_S:
        return False
    return True if now - heartbeat.received_at > MISSED_HEARTBEAT_S else None
