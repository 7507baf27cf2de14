"""Selects the control VM that an entry VM asks next to find the leader.

When a leader freezes or is partitioned, the other control VMs still name it
until they have elected a new one, and each sync request to it costs a
timeout. Hints at a VM that recently failed to answer are therefore ignored.
"""

from typing import Final, NamedTuple

from .._types import VmName

FAILURE_BACKOFF_S: Final = 2.0
NEVER: Final = float('-inf')


class _Failure(NamedTuple):
    at: float  # s
    term: int  # the newest term known at that time


class LeaderSearch:
    """Tracks hints at the leader and the VMs that did not answer."""

    def __init__(self) -> None:
        self._hint: VmName = ''
        self._term = 0
        self._next_index = 0  # for asking the VMs in turn
        self._failures: dict[VmName, _Failure] = {}

    def record_hint(self, vm: VmName, term: int) -> None:
        """Record the leader that a control VM named, empty if it named none.

        An election in a newer term clears the failure recorded for ``vm``.
        """
        self._term = max(self._term, term)
        failure = self._failures.get(vm)
        if failure and term > failure.term:
            self._failures.pop(vm)
        self._hint = vm

    def record_failure(self, vm: VmName, now: float) -> None:
        """Record that a control VM did not answer."""
        self._failures[vm] = _Failure(now, self._term)

    def record_answer(self, vm: VmName) -> None:
        """Record that a control VM answered."""
        self._failures.pop(vm, None)

    def next_vm(self, vms: tuple[VmName, ...], now: float) -> VmName:
        """Return the control VM to ask next.

        This is the VM of the last hint, which is used only once; otherwise
        the VMs that did not fail recently take turns. If all of them failed
        recently, it is the one whose failure is oldest.
        """
        hint = self._hint
        self._hint = ''
        if hint and not self._failed_recently(hint, now):
            return hint
        responsive = [vm for vm in vms if not self._failed_recently(vm, now)]
        if not responsive:
            return min(vms, key=self._failed_at)
        self._next_index += 1
        return responsive[self._next_index % len(responsive)]

    def _failed_recently(self, vm: VmName, now: float) -> bool:
        return now - self._failed_at(vm) < FAILURE_BACKOFF_S

    def _failed_at(self, vm: VmName) -> float:
        failure = self._failures.get(vm)
        return failure.at if failure else NEVER
