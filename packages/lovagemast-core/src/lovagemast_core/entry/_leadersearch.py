"""Which control VM an entry VM asks next while it looks for the leader.

Answers the loss of a leader that is frozen or cut off: the other control VMs
name it as the leader until they have elected another one, and each question
to it costs a timeout.
"""

from typing import Final, NamedTuple

from .._types import VmName

SUSPECT_S: Final = 2.0  # in which a VM that did not answer is left alone
NEVER: Final = float('-inf')


class _Failure(NamedTuple):
    at: float  # s
    term: int  # the newest that was known then


class LeaderSearch:
    """Remembers hints at the leader and the VMs that did not answer."""

    def __init__(self) -> None:
        self._hint: VmName = ''
        self._term = 0
        self._turn = 0
        self._failed: dict[VmName, _Failure] = {}

    def record_hint(self, vm: VmName, term: int) -> None:
        """Take a control VM's word of who leads; empty if it knows none.

        A VM that did not answer before it was elected is asked again.
        """
        self._term = max(self._term, term)
        failure = self._failed.get(vm)
        if failure and term > failure.term:
            self._failed.pop(vm)
        self._hint = vm

    def record_failure(self, vm: VmName, now: float) -> None:
        """Note that a control VM did not answer."""
        self._failed[vm] = _Failure(now, self._term)

    def record_answer(self, vm: VmName) -> None:
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
            return min(vms, key=self._failed_at)
        self._turn += 1
        return sound[self._turn % len(sound)]

    def _is_suspect(self, vm: VmName, now: float) -> bool:
        return now - self._failed_at(vm) < SUSPECT_S

    def _failed_at(self, vm: VmName) -> float:
        failure = self._failed.get(vm)
        return failure.at if failure else NEVER
