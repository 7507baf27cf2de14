"""Entry VMs that a relay offers to those that reach no target."""

import hashlib
from collections.abc import Iterable, Iterator
from itertools import cycle, islice
from typing import Final

from .._types import VmName, ZoneName
from ..targets import EntryPeer

MAX_OFFERS: Final = 8  # to the leader with one request, or to an entry VM
MAX_FORWARDED: Final = 32  # by the leader, with one reply
OFFER_TTL_S: Final = 0.5


class PeerOffers:
    """The entry VMs that other VMs have offered lately."""

    def __init__(self) -> None:
        self._offers: dict[VmName, tuple[EntryPeer, float]] = {}

    def add(self, peers: Iterable[EntryPeer], now: float) -> None:
        """Store offers, and forget old ones."""
        for peer in peers:
            self._offers[peer.vm] = (peer, now)
        self._offers = {
            vm: offer
            for vm, offer in self._offers.items()
            if now - offer[1] < OFFER_TTL_S
        }

    def newest(self) -> tuple[EntryPeer, ...]:
        """Return the newest offers, a bounded number of them."""
        offers = sorted(self._offers.values(), key=lambda one: -one[1])
        return tuple(peer for peer, _at in offers[:MAX_FORWARDED])


def rotate(peers: tuple[EntryPeer, ...], number: int) -> tuple[EntryPeer, ...]:
    """Return the offers of a request; each one has others in turn."""
    if len(peers) <= MAX_OFFERS:
        return peers
    start = number * MAX_OFFERS % len(peers)
    return tuple(islice(cycle(peers), start, start + MAX_OFFERS))


def peers_for(
    vm: VmName, zone: ZoneName, known: Iterator[EntryPeer]
) -> tuple[EntryPeer, ...]:
    """Return the peers for an entry VM, those of its zone first.

    Entry VMs get different ones, so that none of these is used by all.
    """
    ranked = sorted(
        {peer for peer in known if peer.vm != vm},
        key=lambda peer: (peer.zone != zone, _rank(vm, peer.vm)),
    )
    return tuple(ranked[:MAX_OFFERS])


def _rank(vm: VmName, peer: VmName) -> bytes:
    return hashlib.blake2b(f'{vm}/{peer}'.encode(), digest_size=8).digest()
