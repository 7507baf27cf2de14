"""Distributed rate quotas of client accounts, by tokens in escrow."""

from ._bounds import QuotaBounds
from ._issuer import ISSUE_LEASE_S, TokenIssuer
from ._localtokens import LocalTokens

__all__ = ['ISSUE_LEASE_S', 'LocalTokens', 'QuotaBounds', 'TokenIssuer']
