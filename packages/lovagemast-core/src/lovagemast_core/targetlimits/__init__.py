"""Limits that targets name in their answers, known to the whole fleet."""

from ._bounds import SendBounds
from ._exchange import LimitExchange
from ._known import (
    TargetLimits,
    account_of,
    is_readable,
    limit_from_number,
)

__all__ = [
    'LimitExchange',
    'SendBounds',
    'TargetLimits',
    'account_of',
    'is_readable',
    'limit_from_number',
]
