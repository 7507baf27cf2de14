"""Exclusive ownership of targets: leases, admission, orders, recovery."""
