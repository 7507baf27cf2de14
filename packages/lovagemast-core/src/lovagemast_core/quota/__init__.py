"""Quotas of client accounts over all entry VMs: tokens in escrow."""

from ._bounds import QuotaBounds
from ._holder import TokenHolder
from ._issuer import ISSUE_LEASE_S, TokenIssuer

__all__ = ['ISSUE_LEASE_S', 'QuotaBounds', 'TokenHolder', 'TokenIssuer']
