"""The result of a command and its exit status."""

from enum import IntEnum
from typing import Any, NamedTuple


class ExitStatus(IntEnum):
    """Exit statuses of ``lovagectl``."""

    DONE = 0
    REFUSED = 1  # conflict, or the named object does not exist
    INVALID_INPUT = 2  # in a template, its parameters or the arguments
    UNREACHABLE = 3  # no VM answered; a change may still apply
    NOT_IN_FORCE = 4  # accepted, but not confirmed by every VM in time


class CommandResult(NamedTuple):
    """The outcome of a command.

    ``text`` is printed by default, ``document`` with ``--json``.
    """

    status: ExitStatus
    text: str
    document: Any
