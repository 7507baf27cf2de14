"""Sizes of commands and messages, by which memory is bounded.

They are estimates in bytes of what is held: large texts count in full, all
else as a constant for each record.
"""

from collections.abc import Iterable
from typing import Final

from .._commands import ApplyConfig, Command, FinishCall, PutConfig
from .._messages import AppendEntries, Entry, InstallSnapshot, Propose
from .._state import StateSnapshot

RECORD_BYTES: Final = 256  # of a command or a message without large texts


def command_bytes(command: Command) -> int:
    """Return the bytes that a command holds."""
    match command:
        case ApplyConfig() | PutConfig():
            return RECORD_BYTES + len(command.document)
        case FinishCall():
            return RECORD_BYTES + len(command.body)
    return RECORD_BYTES


def entries_bytes(entries: Iterable[Entry]) -> int:
    """Return the bytes that log entries hold."""
    return sum(command_bytes(entry.command) for entry in entries)


def limit_bytes(entries: Iterable[Entry], limit: int) -> tuple[Entry, ...]:
    """Return the first entries, at least one, that hold so many bytes."""
    taken: list[Entry] = []
    held = 0
    for entry in entries:
        held += command_bytes(entry.command)
        if taken and held > limit:
            break
        taken.append(entry)
    return tuple(taken)


def snapshot_bytes(state: StateSnapshot) -> int:
    """Return the bytes that a snapshot of the state holds."""
    records = len(state.operations) + len(state.claims) + len(state.departures)
    bodies = sum(len(claim.body) for claim in state.claims)
    document = len(state.published.document)
    return document + bodies + RECORD_BYTES * (records + 1)


def message_bytes(message: object) -> int:
    """Return the bytes that a message between VMs holds."""
    match message:
        case AppendEntries():
            return RECORD_BYTES + entries_bytes(message.entries)
        case InstallSnapshot():
            return RECORD_BYTES + snapshot_bytes(message.state)
        case Propose():
            return RECORD_BYTES + command_bytes(message.command)
    return RECORD_BYTES
