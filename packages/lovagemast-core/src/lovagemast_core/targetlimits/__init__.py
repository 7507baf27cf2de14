"""Limits that targets name in their answers, known to the whole fleet."""

from ._bounds import SendBounds
from ._exchange import LimitExchange, LimitNews
from ._known import (
    MIN_LIMIT_PER_S,
    TargetLimits,
    account_of,
    is_readable,
    limit_from_number,
)

__all__ = [
    'MIN_LIMIT_PER_S',
    'LimitExchange',
    'LimitNews',
    'SendBounds',
    'TargetLimits',
    'account_of',
    'is_readable',
    'limit_from_number',
]
