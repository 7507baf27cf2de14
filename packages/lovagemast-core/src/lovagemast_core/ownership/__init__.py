"""One owner for each target: leases, tickets, orders, recovery."""
