"""Distributed rate quotas of client accounts, by tokens in escrow."""

from ._bounds import QuotaBounds, TokenBounds
from ._issuer import ISSUE_LEASE_S, TokenIssuer
from ._localtokens import LocalTokens

__all__ = [
    'ISSUE_LEASE_S',
    'LocalTokens',
    'QuotaBounds',
    'TokenBounds',
    'TokenIssuer',
]
