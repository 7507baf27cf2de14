"""Finds out by probes whether owned targets live, restarted or crashed."""

from typing import Final

from .._commands import CrashNoted, Outcome, ReportCrash
from .._effects import ProbeTarget
from .._messages import TicketClosed, TicketReturn
from .._outbox import Outbox
from .._timeline import EventKind
from .._types import AttemptId, TargetName, VmName
from ..agreement._proposals import ProposalController
from ._ownedtarget import OwnedTarget
from ._turnqueue import HeldTicket

PROBE_AGAIN_S: Final = 0.1
CRASH_REPORT_S: Final = 1.5


class CrashDetector:
    """Tells VMs whether their broken calls went down with a target."""

    def __init__(
        self,
        outbox: Outbox,
        proposals: ProposalController,
    ) -> None:
        self._outbox = outbox
        self._proposals = proposals
        self._broken: dict[TargetName, list[HeldTicket]] = {}
        self._untold: set[AttemptId] = set()

    def probe(self, owned: OwnedTarget, now: float) -> None:
        """Ask a target for its state."""
        owned.probed_at = now
        facts = owned.facts
        self._outbox.emit(
            ProbeTarget(facts.target, facts.address, owned.engine, now),
        )

    def probe_soon(self, owned: OwnedTarget, now: float) -> None:
        """Probe unless an answer is still to come."""
        if now - owned.probed_at > PROBE_AGAIN_S:
            self.probe(owned, now)

    def distrust(self, owned: OwnedTarget, now: float) -> None:
        """Admit nothing until a probe shows whether the target restarted."""
        owned.ready = False
        self.probe(owned, now)

    def call_broke(
        self,
        owned: OwnedTarget,
        held: HeldTicket,
        now: float,
    ) -> None:
        """Find out whether a call broke off because of a crash."""
        if held.doubtful:
            self.call_fell_silent(owned, held, now)
            return
        broken = self._broken.setdefault(owned.facts.target, [])
        broken.append(held)
        self.distrust(owned, now)

    def unknown_call_broke(self, vm: VmName, back: TicketReturn) -> None:
        """Answer for a call that is no longer counted at the target."""
        if back.attempt not in self._untold:
            self._tell(vm, back.attempt, crashed=False, quarantined=False)

    def target_lives(self, owned: OwnedTarget) -> None:
        """Tell that calls broke off without a crash."""
        for held in self._broken.pop(owned.facts.target, []):
            attempt = held.ticket.attempt
            self._tell(held.vm, attempt, crashed=False, quarantined=False)

    def target_crashed(
        self,
        owned: OwnedTarget,
        incarnation: str,
        now: float,
    ) -> None:
        """Report the calls that a target ran when it crashed."""
        target = owned.facts.target
        crashed = owned.incarnation
        lost = self._broken.pop(target, [])
        lost += owned.restarted(incarnation, now)
        if lost:
            self._report(lost, target, crashed, now)

    def call_fell_silent(
        self,
        owned: OwnedTarget,
        held: HeldTicket,
        now: float,
    ) -> None:
        """Report a call that a restart has most likely ended."""
        if held.doubtful:
            self._report([held], owned.facts.target, held.doubtful, now)

    def forget_target(self, target: TargetName) -> None:
        """Drop what is known of a target that is no longer owned."""
        self._broken.pop(target, None)

    def _report(
        self,
        lost: list[HeldTicket],
        target: TargetName,
        crashed: str,
        now: float,
    ) -> None:
        self._untold.update(held.ticket.attempt for held in lost)
        self._outbox.record(
            now,
            EventKind.CRASH_SEEN,
            f'{len(lost)} calls were running',
            target=target,
        )
        fingerprints = {held.ticket.fingerprint for held in lost}
        report = ReportCrash(
            tuple(sorted(fingerprints)),
            target,
            crashed,
            now,
        )
        self._proposals.propose(
            report,
            lambda outcome, _when: self._tell_all(lost, outcome),
            timeout_s=CRASH_REPORT_S,
            now=now,
        )

    def _tell_all(self, lost: list[HeldTicket], outcome: Outcome) -> None:
        quarantined: tuple[str, ...] = ()
        if isinstance(outcome, CrashNoted):
            quarantined = outcome.quarantined
        for held in lost:
            ticket = held.ticket
            self._untold.discard(ticket.attempt)
            self._tell(
                held.vm,
                ticket.attempt,
                crashed=True,
                quarantined=ticket.fingerprint in quarantined,
            )

    def _tell(
        self,
        vm: VmName,
        attempt: AttemptId,
        *,
        crashed: bool,
        quarantined: bool,
    ) -> None:
        self._outbox.send(vm, TicketClosed(attempt, crashed, quarantined))
