"""Which control VM an entry VM asks next while it looks for the leader.

Answers the loss of a leader that is frozen or cut off: the other control VMs
name it as the leader until they have elected another one, and each question
to it costs a timeout.
"""

from typing import Final

from .._types import VmName

SUSPECT_S: Final = 2.0  # in which a VM that did not answer is left alone
NEVER: Final = float('-inf')


class LeaderSearch:
    """Remembers hints at the leader and the VMs that did not answer."""

    def __init__(self) -> None:
        self._hint: VmName = ''
        self._turn = 0
        self._failed: dict[VmName, float] = {}

    def hint(self, vm: VmName) -> None:
        """Take a control VM's word of who leads; empty if it knows none."""
        self._hint = vm

    def failed(self, vm: VmName, now: float) -> None:
        """Note that a control VM did not answer."""
        self._failed[vm] = now

    def answered(self, vm: VmName) -> None:
        """Note that a control VM answered."""
        self._failed.pop(vm, None)

    def next_vm(self, vms: tuple[VmName, ...], now: float) -> VmName:
        """Return the control VM to ask, never the same one all the time."""
        hint = self._hint
        self._hint = ''
        if hint and not self._is_suspect(hint, now):
            return hint
        sound = [vm for vm in vms if not self._is_suspect(vm, now)]
        if not sound:
            return min(vms, key=lambda vm: self._failed.get(vm, NEVER))
        self._turn += 1
        return sound[self._turn % len(sound)]

    def _is_suspect(self, vm: VmName, now: float) -> bool:
        return now - self._failed.get(vm, NEVER) < SUSPECT_S
