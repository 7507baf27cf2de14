"""Probes owned targets to detect restarts and crashes."""

from typing import Final

from .._commands import CrashNoted, Outcome, ReportCrash
from .._effects import ProbeTarget
from .._messages import TicketClosed, TicketReturn
from .._outbox import Outbox
from .._timeline import EventKind
from .._types import AttemptId, TargetName, VmName
from ..agreement._proposals import ProposalController
from ._admissionqueue import TrackedTicket
from ._ownedtarget import OwnedTarget

MIN_PROBE_INTERVAL_S: Final = 0.1
CRASH_REPORT_TIMEOUT_S: Final = 1.5


class CrashDetector:
    """Determines whether calls that broke off were ended by a crash.

    Crashes are reported to the replicated state, which quarantines request
    fingerprints that crash several targets. The VM that made the call
    receives the result as a :class:`TicketClosed`.
    """

    def __init__(
        self,
        outbox: Outbox,
        proposals: ProposalController,
    ) -> None:
        self._outbox = outbox
        self._proposals = proposals
        self._broken_calls: dict[TargetName, list[TrackedTicket]] = {}
        self._unreported: set[AttemptId] = set()

    def probe(self, owned: OwnedTarget, now: float) -> None:
        """Send a probe to a target."""
        owned.probed_at = now
        facts = owned.facts
        self._outbox.emit(
            ProbeTarget(facts.target, facts.address, owned.engine, now),
        )

    def probe_if_due(self, owned: OwnedTarget, now: float) -> None:
        """Probe a target unless the last probe may still be pending."""
        if now - owned.probed_at > MIN_PROBE_INTERVAL_S:
            self.probe(owned, now)

    def suspend_admission(self, owned: OwnedTarget, now: float) -> None:
        """Stop admission until a probe shows whether the target restarted."""
        owned.ready = False
        self.probe(owned, now)

    def on_call_broken(
        self,
        owned: OwnedTarget,
        tracked: TrackedTicket,
        now: float,
    ) -> None:
        """Start to determine whether a crash ended a call."""
        if tracked.possibly_crashed_incarnation:
            self.on_call_silent(owned, tracked, now)
            return
        broken = self._broken_calls.setdefault(owned.facts.target, [])
        broken.append(tracked)
        self.suspend_admission(owned, now)

    def on_unknown_call_broken(
        self,
        vm: VmName,
        returned: TicketReturn,
    ) -> None:
        """Report no crash for a call that is not tracked at the target.

        A call that was running when a crash was detected gets its result
        when the crash report has been committed or has timed out.
        """
        if returned.attempt not in self._unreported:
            self._send_verdict(
                vm,
                returned.attempt,
                crashed=False,
                quarantined=False,
            )

    def on_target_alive(self, owned: OwnedTarget) -> None:
        """Report that a target's calls broke off without a crash."""
        for tracked in self._broken_calls.pop(owned.facts.target, []):
            attempt = tracked.ticket.attempt
            self._send_verdict(
                tracked.vm,
                attempt,
                crashed=False,
                quarantined=False,
            )

    def on_target_crashed(
        self,
        owned: OwnedTarget,
        incarnation: str,
        now: float,
    ) -> None:
        """Report a crash and the calls that were running in it."""
        target = owned.facts.target
        crashed = owned.incarnation
        lost = self._broken_calls.pop(target, [])
        lost += owned.reset_after_restart(incarnation, now)
        if lost:
            self._report(lost, target, crashed, now)

    def on_call_silent(
        self,
        owned: OwnedTarget,
        tracked: TrackedTicket,
        now: float,
    ) -> None:
        """Report a crash for a silent call that a restart may have ended."""
        if tracked.possibly_crashed_incarnation:
            self._report(
                [tracked],
                owned.facts.target,
                tracked.possibly_crashed_incarnation,
                now,
            )

    def drop_target(self, target: TargetName) -> None:
        """Discard the pending calls of a target that is no longer owned."""
        self._broken_calls.pop(target, None)

    def _report(
        self,
        lost: list[TrackedTicket],
        target: TargetName,
        crashed: str,
        now: float,
    ) -> None:
        self._unreported.update(tracked.ticket.attempt for tracked in lost)
        self._outbox.record(
            now,
            EventKind.CRASH_SEEN,
            f'{len(lost)} calls were running',
            target=target,
        )
        fingerprints = {tracked.ticket.fingerprint for tracked in lost}
        report = ReportCrash(
            tuple(sorted(fingerprints)),
            target,
            crashed,
            now,
        )
        self._proposals.propose(
            report,
            lambda outcome, _when: self._send_verdicts(lost, outcome),
            timeout_s=CRASH_REPORT_TIMEOUT_S,
            now=now,
        )

    def _send_verdicts(
        self,
        lost: list[TrackedTicket],
        outcome: Outcome,
    ) -> None:
        quarantined: tuple[str, ...] = ()
        if isinstance(outcome, CrashNoted):
            quarantined = outcome.quarantined
        for tracked in lost:
            ticket = tracked.ticket
            self._unreported.discard(ticket.attempt)
            self._send_verdict(
                tracked.vm,
                ticket.attempt,
                crashed=True,
                quarantined=ticket.fingerprint in quarantined,
            )

    def _send_verdict(
        self,
        vm: VmName,
        attempt: AttemptId,
        *,
        crashed: bool,
        quarantined: bool,
    ) -> None:
        self._outbox.send(vm, TicketClosed(attempt, crashed, quarantined))
