"""``lovagectl``, the command-line client for operators."""

from ._main import main

__all__ = ['main']
