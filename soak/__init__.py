"""Soak test with fault injection for the programs on the users' platform.

Runs the real programs as processes on loopback with stand-in workers,
injects faults from outside, and checks the guarantees against what callers,
workers and operators observed.
"""
