"""A fleet in virtual time whose targets name limits and count requests."""

from collections import defaultdict
from typing import Final, NamedTuple

from lovagemast_core.entry import EntryShare, KnownTarget, SendTerms
from lovagemast_core.targets import LimitReport

from tests.relayfleet import Entry, RelayFleet

ANSWER_S: Final = 0.05
MAX_WAIT_S: Final = 0.5  # of a request, until it is given up
HEARTBEAT_S: Final = 1.0
ISOLATED_AGE_S: Final = 1.0
WINDOW_S: Final = 4.0
FIRST_S: Final = 3.0  # after a limit was named, until it must be kept
TOLD_S: Final = 0.5  # after a VM has heard a limit, until it must keep to it


class Send(NamedTuple):
    """A request that a target has received."""

    at: float
    vm: str
    is_told: bool  # the VM has heard the limit, some time before
    is_isolated: bool


class LimitFleet(RelayFleet):
    """Sends requests to targets within the limits that these name."""

    def __init__(self, zones: int, entries: int, seed: int = 1) -> None:
        self.limits: dict[str, float] = {}
        self.named_at: dict[str, float] = {}
        self.sent: dict[str, list[Send]] = defaultdict(list)
        self.given_up = 0
        self._heard_at: dict[tuple[str, str], float] = {}
        self._waiting: dict[tuple[str, str], list[float]] = defaultdict(list)
        self._answers: list[tuple[float, str, KnownTarget, float]] = []
        self._beat_at = 0.0
        super().__init__(zones, entries, seed)

    def name_limit(self, target: str, per_s: float | None) -> None:
        """Let a target name another limit, or none, from its next answer on."""
        self.named_at.pop(target, None)
        for name in list(self._heard_at):
            if name[1] == target:
                self._heard_at.pop(name)
        if per_s is None:
            self.limits.pop(target, None)
        else:
            self.limits[target] = per_s

    def request_send(self, vm: str, target: str) -> None:
        """Let a request for a target arrive at an entry VM."""
        self._waiting[vm, target].append(self.now)
        self.entries[vm].sends.add_waiting(target, 1, self.now)

    def restart_entry(self, vm: str) -> None:
        """Restart an entry VM, which then knows nothing."""
        former = self.entries[vm]
        names = tuple(self.relays)[:3]
        self.entries[vm] = Entry(vm, former.zone, names)
        if vm in self._streams:
            self._disconnect(vm)
        for name in list(self._waiting):
            if name[0] == vm:
                self._waiting.pop(name)
        for name in list(self._heard_at):
            if name[0] == vm:
                self._heard_at.pop(name)

    def limited_vms(self, target: str) -> list[str]:
        """Return the entry VMs that know of a target's limit."""
        return [
            vm
            for vm, entry in self.entries.items()
            if target in entry.sends.exchange.known.current()
        ]

    def most_sent(self, target: str, *, counts_isolated: bool) -> int:
        """Return the most requests in a window that must keep the limit."""
        named_at = self.named_at.get(target)
        if named_at is None:
            return 0
        times = [
            send.at
            for send in self.sent[target]
            if send.at > named_at + FIRST_S
            and send.is_told
            and (counts_isolated or not send.is_isolated)
        ]
        return max(
            (
                sum(at <= other < at + WINDOW_S for other in times)
                for at in times
            ),
            default=0,
        )

    def _end_step(self) -> None:
        if self.now >= self._beat_at:
            self._beat_at = self.now + HEARTBEAT_S
            self.send_heartbeats()
        due = [one for one in self._answers if one[0] <= self.now]
        self._answers = [one for one in self._answers if one[0] > self.now]
        for _at, vm, known, sent_at in due:
            self._record_answer(vm, known, sent_at)
        for (vm, target), arrivals in self._waiting.items():
            self._send_waiting(vm, target, arrivals)

    def _send_waiting(
        self, vm: str, target: str, arrivals: list[float]
    ) -> None:
        entry = self.entries[vm]
        known = entry.view.targets.get(target)
        share = EntryShare(entry.view.rank, entry.view.entries)
        is_isolated = entry.view.age(self.now) > ISOLATED_AGE_S
        terms = SendTerms(share, is_isolated)
        while arrivals:
            permit = known and entry.sends.try_send(known, terms, self.now)
            if not permit and self.now - arrivals[0] < MAX_WAIT_S:
                return
            arrivals.pop(0)
            entry.sends.add_waiting(target, -1, self.now)
            if known and permit:
                self._send_to(vm, known, is_isolated=is_isolated)
            else:
                self.given_up += 1

    def _send_to(
        self, vm: str, known: KnownTarget, *, is_isolated: bool
    ) -> None:
        target = known.record.target
        heard_at = self._heard_at.get((vm, target), self.now)
        is_told = self.now - heard_at >= TOLD_S
        self.sent[target].append(Send(self.now, vm, is_told, is_isolated))
        answer = (self.now + ANSWER_S, vm, known, self.now)
        self._answers.append(answer)

    def _record_answer(
        self, vm: str, known: KnownTarget, sent_at: float
    ) -> None:
        target = known.record.target
        limit = self.limits.get(target)
        if limit is not None:
            self.named_at.setdefault(target, self.now)
            self._heard_at.setdefault((vm, target), self.now)
        report = LimitReport(target, known.record.incarnation, limit, 0.0)
        limits = self.entries[vm].sends.exchange.known
        limits.record_answer(report, sent_at, self.now)


def allowed(per_s: float) -> float:
    """Return the requests that a target may get in a window."""
    return 1.5 * per_s * WINDOW_S + 5
