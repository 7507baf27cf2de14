"""Typed events of the timeline that every VM records."""

from enum import StrEnum
from typing import NamedTuple


class EventKind(StrEnum):
    """The kind of a timeline event."""

    ADMITTED = 'admitted'
    ANSWERED = 'answered'
    ARRIVED = 'arrived'
    ATTEMPT_FAILED = 'attempt-failed'
    CALL_OPENED = 'call-opened'
    CONFIG_IN_FORCE = 'config-in-force'
    CRASH_SEEN = 'crash-seen'
    LEADER_CHANGED = 'leader-changed'
    LEASE_GAINED = 'lease-gained'
    LEASE_LOST = 'lease-lost'
    LIMIT_RESET = 'limit-reset'
    ORDER_ANSWERED = 'order-answered'
    ORDER_SENT = 'order-sent'
    PLACED = 'placed'
    REFUSED = 'refused'
    ROSTER_CHANGED = 'roster-changed'
    SHARE_CHANGED = 'share-changed'
    TARGET_JOINED = 'target-joined'
    TARGET_LEFT = 'target-left'


class TimelineEvent(NamedTuple):
    """One timeline event; fields that do not apply are empty."""

    at: float  # s
    vm: str
    kind: EventKind
    detail: str = ''
    request: str = ''
    account: str = ''
    target: str = ''
