"""Acceptance scenarios of failures that users have listed."""
