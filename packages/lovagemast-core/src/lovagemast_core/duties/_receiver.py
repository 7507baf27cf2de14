"""The holder's side: validates the calls that the leader hands over."""

from typing import Final

from .._types import VmName
from ._records import (
    CallDone,
    CallResult,
    CallSubject,
    HandedCall,
    subject_of,
)

# A holder sends a call only this long after the hello that the call refers
# to, by its own clock: well before a later holder may send one.
CALL_LEASE_S: Final = 0.5

_Name = tuple[int, int]  # term and number


class CallReceiver:
    """Refuses late and outdated calls, and a second one of a subject.

    An older call that is still under way could arrive after the newer one.
    """

    def __init__(self) -> None:
        self._requesters: dict[_Name, tuple[VmName, CallSubject]] = {}
        self._highest_token = 0

    def accept(
        self, requester: VmName, handed: HandedCall, term: int, now: float
    ) -> CallDone | None:
        """Accept a call for sending, or return the outcome that refuses it.

        ``term`` is the newest term that this VM knows.
        """
        call = handed.call
        if call is None:
            return _refuse(handed, 'of an unknown kind')
        subject = subject_of(call)
        busy = {subject for _vm, subject in self._requesters.values()}
        reason = ''
        if now > send_by(handed):
            reason = 'too late to be sent'
        elif handed.term < term:
            reason = 'of an earlier term'
        elif handed.token < self._highest_token:
            reason = 'of an earlier holder'
        elif subject in busy:
            reason = 'another call of the subject is under way'
        if reason:
            return _refuse(handed, reason)
        self._highest_token = handed.token
        name = (handed.term, handed.number)
        self._requesters[name] = (requester, subject)
        return None

    def pop_requester(self, done: CallDone) -> VmName:
        """Remove and return the VM that handed a call over, if any."""
        name = (done.term, done.number)
        return self._requesters.pop(name, ('', ('', '')))[0]


def send_by(handed: HandedCall) -> float:
    """Return until when a call may be sent, by the holder's clock."""
    return handed.clock + CALL_LEASE_S


def _refuse(handed: HandedCall, reason: str) -> CallDone:
    return CallDone(handed.number, handed.term, CallResult.NOT_SENT, reason)
