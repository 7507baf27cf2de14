"""Quotas of client accounts over all entry VMs: tokens in escrow."""

from ._holder import TokenHolder
from ._issuer import TokenIssuer

__all__ = ['TokenHolder', 'TokenIssuer']
