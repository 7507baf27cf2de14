"""Placement of requests on targets by the targets' reported state."""
