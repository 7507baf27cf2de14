"""Assignment of engines to the control VMs that send their orders.

Engines that do not check fencing tokens must not receive orders from two VMs
within the lease time. If the leader sent all orders itself, no engine could
receive orders for that time after each election. So each engine has a holder
that sends its orders. Rendezvous hashing selects it from a replicated list,
which an election does not change. When the list changes, only the engines
whose holder changes have to wait.
"""

import hashlib
from collections.abc import Callable
from functools import lru_cache
from typing import Final

from .._commands import SetHolders
from .._state import HolderState
from .._types import TargetName, VmName

HOLDER_TIMEOUT_S: Final = 0.8  # without contact, until it is replaced
# A VM becomes a holder again after this time in contact: each return makes
# some engines wait.
MIN_UPTIME_S: Final = 10.0
PROPOSAL_INTERVAL_S: Final = 0.5  # between proposals
TAKEOVER_MARGIN_S: Final = 0.2  # added to the configured takeover time
EPOCHS_PER_TERM: Final = 1 << 16  # fencing tokens reserved for a term


class HolderHealth:
    """Contact times of the control VMs, recorded by the leader."""

    def __init__(self) -> None:
        self._contacts: dict[VmName, tuple[float, float]] = {}

    def reset(self, vms: tuple[VmName, ...], now: float) -> None:
        """Start a term, counting all VMs as just contacted."""
        self._contacts = dict.fromkeys(vms, (now, now))

    def record_contact(self, vm: VmName, now: float) -> None:
        """Record that a VM has reported that it can send orders."""
        since, at = self._contacts.get(vm, (now, now))
        if now - at > HOLDER_TIMEOUT_S:
            since = now
        self._contacts[vm] = (since, now)

    def is_unresponsive(self, vm: VmName, now: float) -> bool:
        """Return whether a VM has had no contact within the timeout."""
        _since, at = self._contacts.get(vm, (now, float('-inf')))
        return now - at > HOLDER_TIMEOUT_S

    def is_stable(self, vm: VmName, now: float) -> bool:
        """Return whether contact with a VM has lasted for ``MIN_UPTIME_S``."""
        since, _at = self._contacts.get(vm, (now, now))
        return not self.is_unresponsive(vm, now) and now - since > MIN_UPTIME_S


class OrderHolders:
    """Maps engines to holders and enforces the wait after a change."""

    def __init__(self, takeover_s: float) -> None:
        self.state = HolderState()
        self._takeover_s = takeover_s + TAKEOVER_MARGIN_S
        self._changed_at = 0.0
        self._proposed_at = float('-inf')

    @property
    def replacement_s(self) -> float:
        """Return how long the replacement of a failed holder takes, in s."""
        return HOLDER_TIMEOUT_S + self._takeover_s

    def apply_state(self, state: HolderState, now: float) -> None:
        """Apply the committed list of holders."""
        if state == self.state:
            return
        if state.epoch != self.state.epoch:
            self._changed_at = now
        self.state = state

    def fencing_token(self, term: int) -> int:
        """Return the fencing token for orders of a term and list of holders."""
        return term * EPOCHS_PER_TERM + self.state.epoch % EPOCHS_PER_TERM

    def holder_of(self, target: TargetName) -> VmName:
        """Return the VM that sends an engine's orders, or an empty name."""
        return _choose_holder(self.state.vms, target)

    def can_all_send(
        self, can_send: Callable[[VmName, float], bool], now: float
    ) -> bool:
        """Return whether no engine must be kept from getting orders."""
        if self.state.former or not self.state.vms:
            return False
        return all(can_send(vm, now) for vm in self.state.vms)

    def takeover_wait_s(self, target: TargetName, now: float) -> float:
        """Return how long a former holder's orders may still arrive, in s."""
        if not self.state.former:
            return 0.0
        holder = self.holder_of(target)
        former = (
            _choose_holder(holder_set.vms, target)
            for holder_set in self.state.former
        )
        if all(vm == holder for vm in former):
            return 0.0
        return max(0.0, self._changed_at + self._takeover_s - now)

    def propose(
        self,
        voters: tuple[VmName, ...],
        health: HolderHealth,
        now: float,
    ) -> SetHolders | None:
        """Return a change that the leader should propose, if any.

        Proposing the same VMs again clears the former lists once none of
        their orders can arrive any more.
        """
        if now - self._proposed_at < PROPOSAL_INTERVAL_S:
            return None
        wanted = tuple(
            vm
            for vm in sorted(set(voters))
            if self._is_eligible(vm, health, now)
        )
        settled = now > self._changed_at + self._takeover_s
        clears = bool(self.state.former) and settled
        if not wanted or (wanted == self.state.vms and not clears):
            return None
        self._proposed_at = now
        return SetHolders(self.state.epoch, wanted)

    def _is_eligible(
        self,
        vm: VmName,
        health: HolderHealth,
        now: float,
    ) -> bool:
        if not self.state.vms or vm in self.state.vms:
            return not health.is_unresponsive(vm, now)
        return health.is_stable(vm, now)


@lru_cache(maxsize=4096)
def _choose_holder(vms: tuple[VmName, ...], target: TargetName) -> VmName:
    return max(vms, key=lambda vm: _weight(vm, target), default='')


def _weight(vm: VmName, target: TargetName) -> bytes:
    return hashlib.sha256(f'{vm}/{target}'.encode()).digest()
