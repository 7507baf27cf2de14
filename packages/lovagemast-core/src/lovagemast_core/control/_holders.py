"""Which control VM sends the orders to which engine.

Engines that do not check fencing tokens must not hear two VMs within the
lease time. If the leader sent all orders itself, no engine could be ordered
anything for that time after each election. So orders go through a fixed
holder for each engine, drawn by rendezvous hashing from a list that the
control VMs agree on; an election leaves it as it is. Where the list changes,
only the engines with another holder than before have to wait.
"""

import hashlib
from functools import lru_cache
from typing import Final

from .._commands import SetHolders
from .._state import HolderState
from .._types import TargetName, VmName

SILENT_S: Final = 0.8  # after which a holder is replaced
# A VM holds again once it has been alive for this long: each return makes
# some engines wait.
RETURN_S: Final = 10.0
PROPOSAL_S: Final = 0.5  # between proposals
MARGIN_S: Final = 0.2
EPOCHS: Final = 1 << 16  # in one term


class HolderHealth:
    """When each control VM was heard, by the VM that leads."""

    def __init__(self) -> None:
        self._heard: dict[VmName, tuple[float, float]] = {}

    def restart(self, vms: tuple[VmName, ...], now: float) -> None:
        """Begin a term, with the benefit of the doubt for all."""
        self._heard = dict.fromkeys(vms, (now, now))

    def heard(self, vm: VmName, now: float) -> None:
        """Note that a VM can send orders."""
        since, at = self._heard.get(vm, (now, now))
        if now - at > SILENT_S:
            since = now
        self._heard[vm] = (since, now)

    def is_silent(self, vm: VmName, now: float) -> bool:
        """Return whether a VM has not been heard lately."""
        _since, at = self._heard.get(vm, (now, float('-inf')))
        return now - at > SILENT_S

    def is_steady(self, vm: VmName, now: float) -> bool:
        """Return whether a VM has been heard without a break for long."""
        since, _at = self._heard.get(vm, (now, now))
        return not self.is_silent(vm, now) and now - since > RETURN_S


class OrderHolders:
    """Knows each engine's holder, and until when it has to wait."""

    def __init__(self, takeover_s: float) -> None:
        self.state = HolderState()
        self._takeover_s = takeover_s + MARGIN_S
        self._changed_at = 0.0
        self._proposed_at = float('-inf')

    @property
    def replacement_s(self) -> float:
        """Return how long it takes to replace a holder that is lost."""
        return SILENT_S + self._takeover_s

    def follow(self, state: HolderState, now: float) -> None:
        """Use the list that was agreed on."""
        if state == self.state:
            return
        if state.epoch != self.state.epoch:
            self._changed_at = now
        self.state = state

    def fence(self, term: int) -> int:
        """Return the fencing token of orders of a term."""
        return term * EPOCHS + self.state.epoch % EPOCHS

    def holder(self, target: TargetName) -> VmName:
        """Return the VM that sends orders to an engine, empty for none."""
        return _draw(self.state.vms, target)

    def wait_s(self, target: TargetName, now: float) -> float:
        """Return how long an engine may still hear its former holder."""
        holder = self.holder(target)
        former = (_draw(one.vms, target) for one in self.state.former)
        if all(vm == holder for vm in former):
            return 0.0
        return max(0.0, self._changed_at + self._takeover_s - now)

    def propose(
        self,
        voters: tuple[VmName, ...],
        health: HolderHealth,
        now: float,
    ) -> SetHolders | None:
        """Return a change of the list that the leader should propose."""
        if now - self._proposed_at < PROPOSAL_S:
            return None
        wanted = tuple(
            vm for vm in sorted(set(voters)) if self._may_hold(vm, health, now)
        )
        settled = now > self._changed_at + self._takeover_s
        clears = bool(self.state.former) and settled
        if not wanted or (wanted == self.state.vms and not clears):
            return None
        self._proposed_at = now
        return SetHolders(self.state.epoch, wanted)

    def _may_hold(
        self,
        vm: VmName,
        health: HolderHealth,
        now: float,
    ) -> bool:
        if not self.state.vms or vm in self.state.vms:
            return not health.is_silent(vm, now)
        return health.is_steady(vm, now)


@lru_cache(maxsize=4096)
def _draw(vms: tuple[VmName, ...], target: TargetName) -> VmName:
    return max(vms, key=lambda vm: _weight(vm, target), default='')


def _weight(vm: VmName, target: TargetName) -> bytes:
    return hashlib.sha256(f'{vm}/{target}'.encode()).digest()
