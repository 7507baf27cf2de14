"""Which commands the other replicas can read.

Builds of several versions run side by side while VMs are replaced. A follower
skips messages with a command that it can't read, and the log would stop.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from .._commands import Command, RecordDeparture
from ..duties._state import (
    CommitUsage,
    ConfirmDesired,
    ConfirmUsage,
    SetDesired,
    SetDutyHolder,
)
from ..quarantine._state import (
    ClearSubjects,
    JudgeCrash,
    StartTrial,
    TargetCrash,
)
from ..streams._software import SetSoftware

# The format that this build reads; replicas name theirs in their replies. It
# increases with each new command, and with each whose meaning has changed.
FORMAT: Final = 2
# Builds that name no format read the commands of format 0, and maybe others.
COMMAND_FORMATS: Final[dict[type, int]] = {
    RecordDeparture: 1,
    TargetCrash: 1,  # earlier builds read another command under its number
    ClearSubjects: 1,
    StartTrial: 1,
    SetSoftware: 1,
    JudgeCrash: 1,
    CommitUsage: 2,
    ConfirmUsage: 2,
    SetDutyHolder: 2,
    SetDesired: 2,
    ConfirmDesired: 2,
}
# The last command before builds named a format. One that reads it reads all of
# them as this build does.
LAST_UNNAMED: Final = JudgeCrash
LAST_UNNAMED_FORMAT: Final = 1
# What a build that can't read them takes for something else.
AMBIGUOUS: Final = frozenset((TargetCrash, ClearSubjects, StartTrial))


class PeerFormats:
    """The formats that replicas have named, and commands they have accepted."""

    def __init__(self) -> None:
        self._formats: dict[str, int] = {}
        self._accepted: defaultdict[str, set[type]] = defaultdict(set)

    def record_format(self, identity: str, number: int) -> None:
        """Record the format that a replica names, 0 if it names none."""
        if number < self._formats.get(identity, 0):
            self._accepted.pop(identity, None)  # an older build has replaced it
        self._formats[identity] = number

    def record_accepted(
        self, identity: str, commands: Iterable[Command]
    ) -> None:
        """Record that a replica has accepted entries with some commands."""
        kinds = {type(command) for command in commands}
        self._accepted[identity] |= kinds & COMMAND_FORMATS.keys()

    def can_read(self, identity: str, command: Command) -> bool:
        """Return whether a replica is known to read a command."""
        kind = type(command)
        wanted = COMMAND_FORMATS.get(kind, 0)
        if self._formats.get(identity, 0) >= wanted:
            return True
        accepted = self._accepted[identity]
        if LAST_UNNAMED in accepted:
            return wanted <= LAST_UNNAMED_FORMAT
        return kind in accepted and kind not in AMBIGUOUS

    def named(self) -> dict[str, int]:
        """Return the formats that replicas have named, by identity."""
        return dict(self._formats)
