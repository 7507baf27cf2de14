"""A fault soak of the programs that run on the users' platform.

Runs the real programs as processes on loopback before stand-in workers,
injects faults from outside, and checks the promises by what callers and
workers see.
"""
