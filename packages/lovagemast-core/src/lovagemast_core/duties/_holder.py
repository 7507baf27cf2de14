"""Chooses the control VM that calls the infrastructure.

A change costs the lease time without any call. So a holder stays until it is
unresponsive, or cannot reach the infrastructure while another VM may.
"""

from typing import Final, NamedTuple

from .._types import VmName
from ._records import CallResult
from ._state import DutyState, SetDutyHolder

HOLDER_TIMEOUT_S: Final = 0.8  # without contact, until it is replaced
# A call is handed over only to a VM whose last hello is that recent.
HELLO_TTL_S: Final = 0.3
PROPOSAL_INTERVAL_S: Final = 0.5  # until the same command is proposed again
WAIT_MARGIN_S: Final = 0.2  # added to the lease time after a change
MIN_FAILURES: Final = 3  # to connect, over at least MIN_FAILING_S
MIN_FAILING_S: Final = 1.5
# A VM that could not connect becomes the holder again after this time. While
# the infrastructure is down, each VM is tried once in it.
AVOID_S: Final = 60.0
NEVER: Final = float('-inf')


class _Contact(NamedTuple):
    clock: float  # s, of the VM
    at: float  # s
    since: float  # s


class _Failing(NamedTuple):
    since: float  # s
    attempts: int


class DutyHolders:
    """The leader's view of the VMs that may call the infrastructure."""

    def __init__(self, vm: VmName, lease_s: float) -> None:
        self._vm = vm
        self._wait_s = lease_s + WAIT_MARGIN_S
        self._term_since = 0.0
        self._epoch = 0
        self._changed_at = NEVER
        self._proposed_at = NEVER
        self._contacts: dict[VmName, _Contact] = {}
        self._failing: dict[VmName, _Failing] = {}
        self._avoided_at: dict[VmName, float] = {}

    def start_term(self, now: float) -> None:
        """Forget what was learned in an earlier term."""
        self._term_since = now
        self._proposed_at = NEVER
        self._contacts.clear()
        self._failing.clear()
        self._avoided_at.clear()

    def update(self, state: DutyState, now: float) -> None:
        """Note when the committed holder has changed."""
        if state.epoch != self._epoch:
            self._epoch = state.epoch
            self._changed_at = now

    def record_hello(self, vm: VmName, clock: float, now: float) -> None:
        """Record that a VM can call the infrastructure for this leader."""
        known = self._contacts.get(vm)
        since = now
        if known and now - known.at <= HOLDER_TIMEOUT_S:
            since = known.since
        self._contacts[vm] = _Contact(clock, now, since)

    def record_result(self, vm: VmName, result: CallResult, now: float) -> None:
        """Record whether a VM could connect to the infrastructure."""
        if result is CallResult.UNREACHABLE:
            since, count = self._failing.get(vm, (now, 0))
            self._failing[vm] = _Failing(since, count + 1)
        elif result is not CallResult.NOT_SENT:
            self._failing.pop(vm, None)

    def clock_for(self, state: DutyState, now: float) -> float | None:
        """Return the holder's clock for a call; ``None`` if none is sent.

        Until the change has settled, calls of a former holder may arrive.
        """
        contact = self._contacts.get(state.holder)
        if contact is None or now - contact.at > HELLO_TTL_S:
            return None
        is_waiting = now < self._changed_at + self._wait_s
        if is_waiting and not state.is_settled:
            return None
        return contact.clock

    def propose(
        self, state: DutyState, utc_s: float, now: float
    ) -> SetDutyHolder | None:
        """Return the change that the leader should propose, if any."""
        if now - self._proposed_at < PROPOSAL_INTERVAL_S:
            return None
        wanted = self._wanted(state, now)
        if not wanted:
            return None
        if wanted == state.holder:
            is_settled = now >= self._changed_at + self._wait_s
            if state.is_settled or not is_settled:
                return None
        self._proposed_at = now
        return SetDutyHolder(state.epoch, wanted, utc_s)

    def _wanted(self, state: DutyState, now: float) -> VmName:
        holder = state.holder
        if holder and not self._is_lost(holder, now):
            if not self._is_failing(holder, now):
                return holder
            return self._choose(holder, now) or holder
        return self._choose(holder, now)

    def _is_lost(self, vm: VmName, now: float) -> bool:
        contact = self._contacts.get(vm)
        heard_at = contact.at if contact else self._term_since
        return now - heard_at > HOLDER_TIMEOUT_S

    def _is_failing(self, vm: VmName, now: float) -> bool:
        failing = self._failing.get(vm)
        if failing is None or failing.attempts < MIN_FAILURES:
            return False
        if now - failing.since < MIN_FAILING_S:
            return False
        self._avoided_at[vm] = now
        return True

    def _choose(self, former: VmName, now: float) -> VmName:
        """Return another VM, rather not the leader: both may fail at once."""
        candidates = [
            (vm == self._vm, contact.since, vm)
            for vm, contact in self._contacts.items()
            if vm != former
            and now - contact.at <= HELLO_TTL_S
            and now - self._avoided_at.get(vm, NEVER) > AVOID_S
        ]
        # All VMs have had the time to say hello.
        if not candidates or now - self._term_since < HOLDER_TIMEOUT_S:
            return ''
        return min(candidates)[2]
