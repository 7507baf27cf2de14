"""Reports about prompt parts on their way to the leader.

Entry VMs and relays repeat a report with each sync request until a reply
shows that it has arrived; while a zone is cut off, reports are kept.
"""

from collections.abc import Iterable
from typing import Final

from .._types import PromptPart, TargetName
from ._state import PartCrash

MAX_REPORTS: Final = 256  # of each kind; further ones are dropped

_Incarnation = tuple[TargetName, int]


class PartReports:
    """Crashes and answers that are to be reported."""

    def __init__(self) -> None:
        self._crashes: dict[_Incarnation, PartCrash] = {}
        self._answered: dict[PromptPart, None] = {}
        self._sent_with: dict[PartCrash | PromptPart, int] = {}

    def __bool__(self) -> bool:
        """Return whether anything is to be reported."""
        return bool(self._crashes or self._answered)

    def add_crashes(self, crashes: Iterable[PartCrash]) -> None:
        """Add crashes; those of the same target's incarnation are merged."""
        for crash in crashes:
            name = (crash.target, crash.incarnation)
            known = self._crashes.get(name)
            if known is None and len(self._crashes) >= MAX_REPORTS:
                continue
            self._crashes[name] = _merge(known, crash) if known else crash

    def add_answered(self, parts: Iterable[PromptPart]) -> None:
        """Add parts that were answered though they are suspected."""
        for part in parts:
            if len(self._answered) < MAX_REPORTS:
                self._answered[part] = None

    def crashes(self, ask: int) -> tuple[PartCrash, ...]:
        """Return the crashes to send with the request of this number."""
        crashes = tuple(self._crashes.values())
        self._record_sent(crashes, ask)
        return crashes

    def answered(self, ask: int) -> tuple[PromptPart, ...]:
        """Return the answered parts to send with the request."""
        parts = tuple(self._answered)
        self._record_sent(parts, ask)
        return parts

    def pending_parts(self) -> frozenset[PromptPart]:
        """Return the parts of crashes that have not arrived yet."""
        return frozenset(
            part for crash in self._crashes.values() for part in crash.parts
        )

    def on_reply(self, ask: int) -> None:
        """Drop what was sent with the request that was answered."""
        arrived = [one for one, sent in self._sent_with.items() if sent <= ask]
        for one in arrived:
            self._sent_with.pop(one)
        self._crashes = {
            name: crash
            for name, crash in self._crashes.items()
            if crash not in arrived
        }
        self._answered = {
            part: None for part in self._answered if part not in arrived
        }

    def _record_sent(
        self, reports: Iterable[PartCrash] | Iterable[PromptPart], ask: int
    ) -> None:
        for report in reports:
            self._sent_with.setdefault(report, ask)


def _merge(known: PartCrash, added: PartCrash) -> PartCrash:
    return known._replace(
        parts=tuple(dict.fromkeys((*known.parts, *added.parts))),
        trials=tuple(dict.fromkeys((*known.trials, *added.trials))),
    )
