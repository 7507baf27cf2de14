"""Tests of how soon a new leader says that it can send orders."""

import pytest
from lovagemast_core.control._fleet import FleetController
from lovagemast_core.control._relays import RELAY_HELLO_TTL_S
from lovagemast_core.targets import SyncAsk

from tests.relayfleet import QUOTA, make_heartbeat, make_index

VMS = ('c1', 'c2', 'c3')
NOW = 100.0
TAKEOVER_S = 3.0
SOON_S = 0.5


@pytest.mark.parametrize(
    ('led_s', 'is_soon'),
    [(0.0, True), (0.1, True), (RELAY_HELLO_TTL_S + 0.1, False)],
)
def test_holders_have_time_to_report(led_s: float, *, is_soon: bool) -> None:
    """Requests are not told to return in seconds while holders connect."""
    leader = FleetController('leader', takeover_s=TAKEOVER_S, quota=QUOTA)
    leader.start_term(1, VMS, NOW)
    leader.apply_published(leader._published, make_index())
    leader.on_heartbeat(make_heartbeat('t1', 1, 1), NOW)
    now = NOW + led_s
    leader.plan(0.0, now)
    reply = leader.updates_for(SyncAsk(1, 'c2', 'z', 0, 0, 0), 0.0, now)
    assert (reply.orders_in_s < SOON_S) is is_soon
