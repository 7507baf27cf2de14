"""Shares of rates, and buckets that VMs lend each other tokens from."""
