"""The leader's control of the duties at the infrastructure.

Only what is committed is sent, and nothing committed is changed, so that a
report may be repeated by any leader and holder at any time.
"""

from .._types import VmName
from ._clock import FleetClock
from ._committer import WindowCommitter
from ._config import DutyConfig
from ._dispatch import CallDispatcher
from ._holder import PROPOSAL_INTERVAL_S, DutyHolders
from ._ledger import UsageLedger
from ._records import (
    CallDone,
    CallResult,
    CallSubject,
    HandedCall,
    ScaleOrder,
    VmUsage,
    subject_of,
)
from ._state import (
    CommitUsage,
    DutyCommand,
    DutyState,
    SetDesired,
)


class DutyController:
    """Decides what to commit, and which calls to hand to the holder."""

    def __init__(self, vm: VmName, cfg: DutyConfig) -> None:
        self.state = DutyState()
        self.ledger = UsageLedger()
        self.clock = FleetClock()
        self._cfg = cfg
        self._holders = DutyHolders(vm, cfg.lease_s)
        self._committer = WindowCommitter(cfg)
        self._dispatcher = CallDispatcher(cfg)
        self._wanted: dict[CallSubject, ScaleOrder] = {}
        self._proposed: dict[DutyCommand | int, float] = {}
        self._term = 0
        self._led_since = 0.0
        self._voters = 1

    def start_term(self, term: int, now: float) -> None:
        """Forget what was learned in an earlier term."""
        self._term = term
        self._led_since = now
        self.clock.reset()
        self.ledger.clear()
        self._holders.start_term(now)
        self._dispatcher.reset()
        self._wanted.clear()
        self._proposed.clear()

    def update(self, state: DutyState, now: float) -> None:
        """Take over the committed state."""
        self.state = state
        self.ledger.set_floor(state.last_window)
        self._holders.update(state, now)
        self._dispatcher.update(state)

    @property
    def has_scaling(self) -> bool:
        """Return whether numbers of targets are to be ordered."""
        return self._cfg.has_scaling

    def set_desired(self, counts: tuple[ScaleOrder, ...]) -> None:
        """Set the numbers of targets of all pools and availability zones.

        Those that differ from what is committed are committed, and then sent.
        """
        if self._cfg.has_scaling:
            self._wanted = {subject_of(order): order for order in counts}

    def on_hello(self, vm: VmName, clock: float, now: float) -> None:
        """Record that a VM can call the infrastructure for this leader."""
        self._holders.record_hello(vm, clock, now)

    def on_usage(
        self, vm: VmName, usages: tuple[VmUsage, ...], utc_s: float, now: float
    ) -> None:
        """Merge what a relay reports; ``utc_s`` is its clock, 0 if unknown."""
        if utc_s:
            self.clock.record(vm, utc_s, now)
        if self._cfg.has_metering:
            self.ledger.add(usages)

    def utc(self, now: float) -> float | None:
        """Return the fleet's time, ``None`` if it is not known."""
        return self.clock.utc(self._voters, now)

    def commands(self, voters: int, now: float) -> list[DutyCommand]:
        """Return the commands that the leader should propose."""
        self._voters = voters
        utc_s = self.utc(now)
        if utc_s is None:
            return []
        wanted: list[DutyCommand] = []
        wanted.extend(self._dispatcher.confirmations(self.state))
        if self._cfg.has_metering:
            report = self._committer.next_report(
                self.ledger,
                self.state.last_window,
                utc_s,
                now - self._led_since,
            )
            wanted.extend([CommitUsage(report)] if report else [])
        wanted.extend(self._changed_desired())
        proposed = self._not_lately_proposed(wanted, now)
        change = self._holders.propose(self.state, utc_s, now)
        return [change, *proposed] if change else proposed

    def next_call(self, now: float) -> HandedCall | None:
        """Return the next call to hand to the holder, if one is due."""
        if self._dispatcher.expire(now):
            self._holders.record_result(
                self.state.holder, CallResult.UNREACHABLE, now
            )
        clock = self._holders.clock_for(self.state, now)
        utc_s = self.utc(now)
        if clock is None or utc_s is None:
            return None
        return self._dispatcher.next_call(
            self.state, self._term, clock, utc_s, now
        )

    def on_done(self, vm: VmName, done: CallDone, now: float) -> None:
        """Record how a call ended that a VM was to send."""
        if done.term != self._term:
            return
        if self._dispatcher.on_done(done, now):
            self._holders.record_result(vm, done.result, now)

    def _changed_desired(self) -> list[DutyCommand]:
        committed = {
            subject_of(known.order): known.desired
            for known in self.state.desired
        }
        return [
            SetDesired(*order)
            for subject, order in self._wanted.items()
            if committed.get(subject) != order.desired
        ]

    def _not_lately_proposed(
        self, wanted: list[DutyCommand], now: float
    ) -> list[DutyCommand]:
        lately = {
            command: at
            for command, at in self._proposed.items()
            if now - at < PROPOSAL_INTERVAL_S
        }
        added = {
            _proposal_key(command): command
            for command in wanted
            if _proposal_key(command) not in lately
        }
        self._proposed = lately | dict.fromkeys(added, now)
        return list(added.values())


def _proposal_key(command: DutyCommand) -> DutyCommand | int:
    """Return what names a proposal; counts of a window may have grown."""
    if isinstance(command, CommitUsage):
        return command.report.window
    return command
