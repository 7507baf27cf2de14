"""Selects the relay that an entry VM syncs with.

Entry VMs prefer relays of their own zone. Where a zone has several or none,
rendezvous hashing spreads them, also those of a relay that fails.
"""

import hashlib
from functools import lru_cache
from typing import Final, NamedTuple

from .._types import VmName, ZoneName
from ..targets import SyncReply

MIN_BACKOFF_S: Final = 2.0
MAX_BACKOFF_S: Final = 16.0
# Longer than most elections, during which no relay has recent information.
MAX_RELAY_AGE_S: Final = 1.5
MIN_STAY_S: Final = 1.0  # at a relay with old information


class _Failure(NamedTuple):
    until: float  # s, end of the back-off
    backoff_s: float  # the next failure doubles it


class RelaySearch:
    """Tracks the known relays and those that failed recently.

    ``seeds`` are relays whose zones are not known.
    """

    def __init__(
        self, vm: VmName, zone: ZoneName, seeds: tuple[VmName, ...]
    ) -> None:
        self._vm = vm
        self._zone = zone
        self._zones: dict[VmName, ZoneName] = {}
        self._seeds = seeds
        self._failures: dict[VmName, _Failure] = {}

    def record_failure(self, vm: VmName, now: float) -> None:
        """Start or double the back-off of a relay that did not serve."""
        failure = self._failures.get(vm)
        backoff_s = MIN_BACKOFF_S
        if failure:
            backoff_s = min(2 * failure.backoff_s, MAX_BACKOFF_S)
        self._failures[vm] = _Failure(now + backoff_s, backoff_s)

    def next_vm(self, now: float) -> VmName:
        """Return the relay to sync with.

        If all are in back-off, it is the one whose back-off ends first.
        """
        vms = tuple(dict.fromkeys((*self._zones, *self._seeds)))
        healthy = [vm for vm in vms if not self._in_backoff(vm, now)]
        if not healthy:
            return min(vms, key=lambda vm: self._failures[vm].until)
        return max(healthy, key=self._preference)

    def check_reply(
        self,
        vm: VmName,
        reply: SyncReply,
        connected_at: float,
        now: float,
    ) -> str:
        """Record a reply; return why to leave the relay, or an empty text.

        A relay that has lost the leader is left for another, but not during
        an election, when no relay has one.
        """
        if reply.relays:
            self._zones = {relay.vm: relay.zone for relay in reply.relays}
        if not reply.serves or reply.quorum_age_s > MAX_RELAY_AGE_S:
            if now - connected_at < MIN_STAY_S:
                return ''
            self.record_failure(vm, now)
            return 'the relay has lost the leader'
        self._failures.pop(vm, None)
        preferred = self.next_vm(now)
        if self._preference(preferred)[:2] > self._preference(vm)[:2]:
            return 'a nearer relay is available'
        return ''

    def _in_backoff(self, vm: VmName, now: float) -> bool:
        failure = self._failures.get(vm)
        return failure is not None and now < failure.until

    def _preference(self, vm: VmName) -> tuple[bool, bool, bytes]:
        zone = self._zones.get(vm)
        return (zone == self._zone, zone is not None, _weight(vm, self._vm))


@lru_cache(maxsize=1024)
def _weight(relay: VmName, entry: VmName) -> bytes:
    return hashlib.sha256(f'{relay}/{entry}'.encode()).digest()
