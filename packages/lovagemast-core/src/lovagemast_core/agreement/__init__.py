"""Raft consensus, cluster membership and distribution of shared state."""
