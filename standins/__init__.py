"""Stand-ins for the systems around lovagemast, for tests and benchmarks.

They are not part of any distribution.
"""
