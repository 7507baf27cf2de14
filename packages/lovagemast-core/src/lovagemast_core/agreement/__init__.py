"""The replicated log, its voters, and what all VMs agree on."""
