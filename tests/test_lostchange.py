"""A change of the configuration while entry VMs move between relays."""

import random

import pytest
from lovagemast_core import PublishedState
from lovagemast_core.entry import FleetView
from lovagemast_core.syncrelay import SyncRelay
from lovagemast_core.targets import SyncAsk, SyncReply

from tests.relayfleet import RelayFleet

FAILED_SEEDS = (94, 173, 182, 295, 314, 322)
APPLY_S = 2.0  # within which a change must be in force everywhere
OLDER = PublishedState(version=1, revision=1)
NEWER = PublishedState(version=2, revision=2)
ASK = SyncAsk(1, 'e1', 'z0', 0, 0, 0)


def reply_of(published: PublishedState, *, epoch: int, ask: int) -> SyncReply:
    """Return the reply of a leader or relay that a quorum has confirmed."""
    return SyncReply(
        ask, True, 'c1', term=1, quorum_age_s=0.0, epoch=epoch
    )._replace(published=published)


def moved_view(relay: SyncRelay) -> FleetView:
    """Return a view that another relay confirmed after this one's leader."""
    relay.on_reply(reply_of(OLDER, epoch=1, ask=1), 10.0, 10.01)
    view = FleetView()
    view.apply(reply_of(OLDER, epoch=77, ask=1), 10.05, 10.06)
    push = reply_of(NEWER, epoch=1, ask=1)._replace(is_push=True)
    relay.on_reply(push, 10.0, 10.07)
    return view


class TestBehind:
    def test_change_of_a_relay_that_is_behind_is_applied(self) -> None:
        """What a quorum has committed holds, whoever passes it on."""
        relay = SyncRelay('r1', 'z1', epoch=5)
        view = moved_view(relay)
        reply = relay.on_ask(1, ASK._replace(version=1), 10.08)
        assert view.apply(reply, 10.08, 10.09)
        assert view.published == NEWER._replace(document='')
        held = view.documents
        assert (held.revision, held.document) == (2, NEWER.document)

    def test_ignored_change_is_sent_again(self) -> None:
        """A relay believes what an entry VM holds, not what it was sent."""
        relay = SyncRelay('r1', 'z1', epoch=5)
        moved_view(relay)
        first = relay.on_ask(1, ASK._replace(version=1), 10.08)
        assert first.published == NEWER
        ask = ASK._replace(ask=2, version=1, seen=first.number)
        assert relay.on_ask(1, ask, 10.28).published == NEWER

    def test_change_in_transit_is_sent_once(self) -> None:
        """A request that crosses a reply does not have it sent again."""
        relay = SyncRelay('r1', 'z1', epoch=5)
        moved_view(relay)
        first = relay.on_ask(1, ASK._replace(version=1), 10.08)
        assert first.published == NEWER
        crossing = ASK._replace(ask=2, version=1, seen=first.number - 1)
        assert relay.on_ask(1, crossing, 10.09).published is None


@pytest.mark.parametrize('seed', [*range(20), *FAILED_SEEDS])
def test_change_reaches_vms_that_lose_their_relay(seed: int) -> None:
    """The change comes within 0.2 s after the streams to a relay have ended."""
    rng = random.Random(seed)
    fleet = RelayFleet(3, 6, seed)
    fleet.publish()
    fleet.run(1.0)
    for stream in fleet.streams():
        stream.next_at += rng.random() * 0.2
    fleet.run(2.0 + rng.random() * 0.2)
    fleet.close_streams('r0')
    fleet.run(rng.random() * 0.2)
    version = fleet.publish()
    fleet.run(APPLY_S)
    held = [one.view.documents.revision for one in fleet.entries.values()]
    assert held == [version] * len(held)
