"""Tests of the peers that entry VMs get which reach no targets."""

from collections import Counter
from math import ceil

import pytest
from lovagemast_core.entry import PathMonitor, PeerDirectory
from lovagemast_core.targets import EntryPeer

from tests.relayfleet import Entry, RelayFleet

NOW = 100.0
OFFERED_WITHIN_S = 1.0  # well within the 3 s that the users allow
# Of an even spread, how many times as many VMs may choose the same peer.
MAX_SKEW = 4


def cut_off(fleet: RelayFleet, share: float) -> list[Entry]:
    """Cut a share of the entry VMs off from all targets; return these."""
    names = fleet.rng.sample(
        sorted(fleet.entries), round(share * len(fleet.entries))
    )
    for name in names:
        fleet.entries[name].is_cut_off = True
    return [fleet.entries[name] for name in names]


@pytest.mark.parametrize('share', [0.3, 0.6, 0.9])
@pytest.mark.parametrize(('zones', 'entries'), [(4, 7), (4, 61), (3, 193)])
def test_cut_vms_get_peers_that_reach_targets(
    zones: int, entries: int, share: float
) -> None:
    """Each of them does soon, and no peer is the choice of too many."""
    fleet = RelayFleet(zones, entries)
    fleet.run(3.0)
    cut = cut_off(fleet, share)

    def have_peers() -> bool:
        return all(one.peers.choose((), fleet.now) for one in cut)

    assert fleet.run_until(have_peers, OFFERED_WITHIN_S)
    fleet.run(1.0)
    chosen = Counter(
        peer.vm for one in cut if (peer := one.peers.choose((), fleet.now))
    )
    assert not any(fleet.entries[vm].is_cut_off for vm in chosen)
    even = len(cut) / (entries - len(cut))
    assert max(chosen.values()) <= ceil(MAX_SKEW * even) + 1


def test_cut_zone_gets_peers_of_other_zones() -> None:
    """A relay whose entry VMs are all cut off learns of others'."""
    fleet = RelayFleet(3, 9)
    fleet.run(3.0)
    cut = [one for one in fleet.entries.values() if one.zone == 'z1']
    for one in cut:
        one.is_cut_off = True
    fleet.run_until(
        lambda: all(one.peers.choose((), fleet.now) for one in cut),
        OFFERED_WITHIN_S,
    )


def test_vms_that_are_well_get_no_offers() -> None:
    """Their replies carry nothing for it."""
    fleet = RelayFleet(3, 9)
    fleet.run(2.0)
    cut_off(fleet, 0.3)
    fleet.run(2.0)
    well = [one for one in fleet.entries.values() if not one.is_cut_off]
    assert not any(one.peers.choose((), fleet.now) for one in well)


def peer(name: str, zone: str = 'z1') -> EntryPeer:
    """Return an entry VM that was offered."""
    return EntryPeer(name, zone, f'{name}.ip')


class TestDirectory:
    def make(self, *peers: EntryPeer) -> PeerDirectory:
        """Return a directory of a VM in the zone ``z1``."""
        directory = PeerDirectory('e1', 'z1')
        directory.update(peers, NOW)
        return directory

    def test_own_zone_goes_first(self) -> None:
        """Bytes between zones cost more."""
        directory = self.make(peer('e2', 'z2'), peer('e3'))
        assert directory.choose((), NOW) == peer('e3')
        assert directory.choose(('e3',), NOW) == peer('e2', 'z2')

    def test_requests_are_spread(self) -> None:
        """Each peer gets as many as the others."""
        directory = self.make(peer('e2'), peer('e3'), peer('e4'))
        sent: Counter[str] = Counter()
        for _request in range(9):
            chosen = directory.choose((), NOW)
            assert chosen
            directory.add_running(chosen.vm, 1)
            sent[chosen.vm] += 1
        assert set(sent.values()) == {3}

    def test_own_and_old_offers_are_not_used(self) -> None:
        """Neither is a peer that failed a moment ago."""
        directory = self.make(peer('e1'), peer('e2'))
        assert directory.choose((), NOW + 4.0) is None
        directory.avoid('e2', NOW)
        assert directory.choose((), NOW + 0.5) is None
        assert directory.choose((), NOW + 1.5) == peer('e2')


class TestPaths:
    @pytest.mark.parametrize(
        ('rounds', 'is_lost'),
        [
            ([()], True),
            ([('t1',)], False),
            ([(), ('t1',)], True),
            ([(), ('t1',), ('t1',)], True),
            ([(), ('t1',), (), ('t2',)], True),
            ([(), ('t1',), ('t2',)], False),
            ([(), ('t1', 't2')], False),
            ([(), ('t1', 't2'), ()], True),
        ],
    )
    def test_probes_decide(
        self, rounds: list[tuple[str, ...]], is_lost: bool
    ) -> None:
        """One target that answers does not end the state, two do."""
        paths = PathMonitor()
        for reached in rounds:
            paths.record_probes('p', reached, 4, NOW)
        assert paths.is_lost('p') is is_lost

    def test_only_target_of_a_pool_is_enough(self) -> None:
        """A pool of one is in reach again with it."""
        paths = PathMonitor()
        assert paths.record_probes('p', (), 1, NOW)
        assert paths.lost_at('p') == NOW
        assert paths.record_probes('p', ('t1',), 1, NOW)
        assert not paths.lost_pools()

    def test_pool_without_targets_is_not_lost(self) -> None:
        """There is nothing to reach."""
        paths = PathMonitor()
        assert not paths.record_probes('p', (), 0, NOW)
        assert not paths.is_lost('p')
