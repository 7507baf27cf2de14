"""Other entry VMs that can send requests to targets for this one."""

import hashlib
from collections.abc import Collection, Iterable
from typing import Final

from .._types import VmName, ZoneName
from ..targets import EntryPeer

PEER_TTL_S: Final = 3.0  # without newer offers
BACKOFF_S: Final = 1.0  # after a peer could not be reached, or was full


class PeerDirectory:
    """The entry VMs that were offered, and how well they did."""

    def __init__(self, vm: VmName, zone: ZoneName) -> None:
        self._vm = vm
        self._zone = zone
        self._peers: dict[VmName, tuple[EntryPeer, float]] = {}
        self._avoided_until: dict[VmName, float] = {}
        self._running: dict[VmName, int] = {}

    def update(self, peers: Iterable[EntryPeer], now: float) -> None:
        """Replace the offers by newer ones, unless there are none."""
        offered = {
            peer.vm: (peer, now) for peer in peers if peer.vm != self._vm
        }
        self._peers = offered or self._peers

    def choose(self, tried: Collection[VmName], now: float) -> EntryPeer | None:
        """Return the peer for the next request, ``None`` if there is none.

        Requests go to the peers of the own zone, evenly, or to all others if
        there are none. Entry VMs differ in the order of equal peers.
        """
        usable = [
            peer
            for peer, heard_at in self._peers.values()
            if peer.vm not in tried
            and now - heard_at < PEER_TTL_S
            and self._avoided_until.get(peer.vm, 0.0) <= now
        ]
        near = [peer for peer in usable if peer.zone == self._zone]
        return min(near or usable, key=self._rank, default=None)

    def avoid(self, vm: VmName, now: float) -> None:
        """Leave a peer out for ``BACKOFF_S``."""
        self._avoided_until[vm] = now + BACKOFF_S

    def add_running(self, vm: VmName, change: int) -> None:
        """Change the number of requests in progress at a peer."""
        running = self._running.get(vm, 0) + change
        self._running[vm] = running
        if not running:
            self._running.pop(vm)

    def _rank(self, peer: EntryPeer) -> tuple[int, bytes]:
        name = f'{self._vm}/{peer.vm}'.encode()
        running = self._running.get(peer.vm, 0)
        return running, hashlib.blake2b(name, digest_size=8).digest()
