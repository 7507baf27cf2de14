"""Stand-ins for the platform, its targets and its callers, on loopback.

Only the standard library is used, so that a case runs without a network and
without the project's test environment.
"""
