"""Tests of the relays between entry VMs and the leader, in virtual time."""

import itertools

import pytest
from lovagemast_core.adapters import AdapterLabel
from lovagemast_core.syncrelay import (
    ENTRY_SYNC,
    RELAY_SYNC,
    RelaySearch,
    SyncRelay,
    SyncTiming,
    TokenSplitter,
)
from lovagemast_core.targets import (
    AdapterWish,
    RelayInfo,
    ResidentAdapter,
    SyncAsk,
    SyncReply,
    TargetLoad,
    TargetRecord,
    TokenLot,
    TokenWish,
)

from tests.relayfleet import RelayFleet

FLEETS = [30, 100, 200, 300, 1_000]
ZONES = 7
IDLE_S = 60.0
ROUND_TRIP_S = 0.05  # between availability zones, at a busy server
NOW = 100.0


def longest_silence_s(timing: SyncTiming) -> float:
    """Return the longest time between replies on an idle stream."""
    now = 0.0
    replies = [now]
    while now < IDLE_S:
        replies.append(now + ROUND_TRIP_S)
        now += timing.min_interval_s + timing.interval_s
    gaps = itertools.pairwise(replies)
    return max(later - earlier for earlier, later in gaps)


@pytest.fixture(params=FLEETS)
def fleet(request: pytest.FixtureRequest) -> RelayFleet:
    """Return a fleet that has run for some seconds, with ten targets."""
    fleet = RelayFleet(ZONES, request.param)
    fleet.targets = {f't{number}' for number in range(10)}
    fleet.publish()
    for _second in range(5):
        fleet.send_heartbeats()
        fleet.run(1.0)
    fleet.counts.clear()
    return fleet


class TestSize:
    def test_leader_serves_relays_only(self, fleet: RelayFleet) -> None:
        """The leader's requests do not grow with the entry VMs."""
        fleet.run(2.0)
        per_second = fleet.counts['leader asks'] / 2
        assert per_second <= ZONES / RELAY_SYNC.interval_s
        assert fleet.counts['leader records'] == 0

    def test_change_is_in_force_everywhere(self, fleet: RelayFleet) -> None:
        """The last entry VM holds a new configuration within 0.2 s."""
        version = fleet.publish()
        entries = fleet.entries.values()
        took_s = fleet.run_until(
            lambda: all(
                one.view.documents.revision == version for one in entries
            ),
            limit_s=1.0,
        )
        assert took_s <= 0.2

    def test_drain_is_known_everywhere(self, fleet: RelayFleet) -> None:
        """The last entry VM knows of a leaving target within 0.2 s."""
        fleet.send_heartbeats('t3')
        entries = fleet.entries.values()
        took_s = fleet.run_until(
            lambda: all(
                one.view.targets['t3'].record.leaving for one in entries
            ),
            limit_s=1.0,
        )
        assert took_s <= 0.2

    def test_removal_is_known_everywhere(self, fleet: RelayFleet) -> None:
        """The last entry VM knows of a deregistered target within 0.2 s."""
        fleet.deregister('t3')
        entries = fleet.entries.values()
        took_s = fleet.run_until(
            lambda: not any('t3' in one.view.targets for one in entries),
            limit_s=1.0,
        )
        assert took_s <= 0.2

    def test_waiting_requests_hear_first(self, fleet: RelayFleet) -> None:
        """An adapter is announced at once where requests wait for it.

        Other entry VMs learn of it with their next reply, so the messages do
        not grow with the number of changes.
        """
        fleet.run(1.0)
        waiting = fleet.entries['e0']
        waiting.wishes = (AdapterWish('pool', 'm', 'new', 1, 1.0),)
        fleet.run(0.3)
        fleet.counts.clear()
        label = AdapterLabel('m', 'new', 1)
        fleet.targets.add('new')
        fleet.send_heartbeats()
        took_s = fleet.run_until(
            lambda: (
                label in waiting.view.targets['new'].adapters
                if 'new' in waiting.view.targets
                else False
            ),
            limit_s=1.0,
        )
        assert took_s <= 0.02
        fleet.run(0.5)
        assert all('new' in one.view.targets for one in fleet.entries.values())
        assert fleet.counts['entry records'] <= len(fleet.entries)

    def test_election_sends_no_records_again(self, fleet: RelayFleet) -> None:
        """After an election entry VMs have tokens again within 1 s.

        They keep their records, and none is sent to them again.
        """
        fleet.elect()
        fleet.send_heartbeats()
        for entry in fleet.entries.values():
            entry.request(10.0, fleet.now)
        entries = fleet.entries.values()
        took_s = fleet.run_until(
            lambda: all(one.spent == 10.0 for one in entries), limit_s=2.0
        )
        assert took_s <= 1.0
        fleet.run(1.0)
        assert all(len(one.view.targets) == 10 for one in entries)
        assert fleet.counts['entry records'] == 0

    def test_ranks_differ(self, fleet: RelayFleet) -> None:
        """Each entry VM has a rank of its own and knows how many there are."""
        ranks = {one.view.rank for one in fleet.entries.values()}
        assert len(ranks) == len(fleet.entries)
        assert {one.view.entries for one in fleet.entries.values()} == {
            len(fleet.entries)
        }


class TestFailures:
    def test_lost_relay(self) -> None:
        """Entry VMs of a relay that is cut off go to others and return."""
        fleet = RelayFleet(3, 30)
        fleet.run(3.0)
        fleet.cut = {('leader', 'r0')} | {
            (name, 'r0') for name in fleet.entries
        }
        fleet.run(3.0)
        ages = [one.view.age(fleet.now) for one in fleet.entries.values()]
        assert max(ages) < 1.0
        fleet.cut = set()
        fleet.run(20.0)
        homes = {
            (one.zone, fleet._streams[name].server)
            for name, one in fleet.entries.items()
        }
        assert homes == {('z0', 'r0'), ('z1', 'r1'), ('z2', 'r2')}

    def test_relay_without_leader_is_left(self) -> None:
        """A relay that cannot reach the leader is left for another."""
        fleet = RelayFleet(3, 9)
        fleet.run(3.0)
        fleet.cut = {('leader', 'r0')}
        fleet.run(4.0)
        ages = [one.view.age(fleet.now) for one in fleet.entries.values()]
        assert max(ages) < 1.0

    def test_zone_without_leader_is_served_on(self) -> None:
        """In a zone that is cut off, the relay still names the targets."""
        fleet = RelayFleet(3, 9)
        fleet.targets = {'t1'}
        fleet.send_heartbeats()
        fleet.run(3.0)
        inside = {'r0', 'e0', 'e3', 'e6'}
        names = {'leader', *fleet.relays, *fleet.entries}
        fleet.cut = {
            (min(one, other), max(one, other))
            for one in inside
            for other in names - inside
        }
        fleet.run(10.0)
        entry = fleet.entries['e0']
        assert set(entry.view.targets) == {'t1'}
        assert entry.view.age(fleet.now) > 9.0

    def test_replaced_relay_knows_nothing(self) -> None:
        """An empty relay at work serves only what the leader has sent it."""
        fleet = RelayFleet(3, 9)
        fleet.targets = {'t1', 't2'}
        fleet.publish()
        fleet.send_heartbeats()
        fleet.run(3.0)
        fleet.start_relay('r0')
        fleet.run(1.0)
        assert all(
            set(one.view.targets) == {'t1', 't2'}
            for one in fleet.entries.values()
        )
        assert (
            max(one.view.age(fleet.now) for one in fleet.entries.values()) < 0.5
        )


def make_record(target: str) -> TargetRecord:
    """Return the record of an engine that is loading an adapter."""
    record = TargetRecord(target, 'p', f'{target}:80', 'z', 1, 8, False, 0.0)
    return record._replace(adapters=(ResidentAdapter('m/a@1', 5.0),))


class TestRelay:
    def test_record_in_dispute_is_sent_again(self) -> None:
        """A record that an entry VM doubts is sent again though unchanged.

        The entry VM has removed the adapter from it, since the target denied
        holding it; the leader knows that it is still loading.
        """
        relay = SyncRelay('c1', 'z', 77)
        reply = make_reply()._replace(epoch=3, stamp=5, term=3)
        full = reply._replace(targets=(make_record('t1'),), is_complete=True)
        relay.on_reply(full, NOW, NOW)
        first = relay.on_ask(1, SyncAsk(1, 'e1', 'z', 0, 0, 0), NOW)
        ask = SyncAsk(2, 'e1', 'z', 0, first.stamp, first.epoch)
        doubts = ask._replace(missing=('t1 m/a@1',))
        assert relay.on_ask(1, doubts, NOW + 0.1).targets == ()
        record = make_record('t1')._replace(
            adapters=(ResidentAdapter('m/a@1', 4.8),)
        )
        again = reply._replace(targets=(record,), stamp=6)
        relay.on_reply(again, NOW + 0.2, NOW + 0.2)
        reply_to_entry = relay.on_ask(1, ask, NOW + 0.2)
        assert [one.target for one in reply_to_entry.targets] == ['t1']
        relay.on_reply(again._replace(stamp=7), NOW + 0.2, NOW + 0.2)
        assert relay.on_ask(1, ask, NOW + 0.2).targets == ()

    def test_loads_are_passed_on_once(self) -> None:
        """A load is sent to an entry VM when it has changed, not again."""
        relay = SyncRelay('c1', 'z', 77)
        reply = make_reply()._replace(epoch=3, term=3)
        ask = SyncAsk(1, 'e1', 'z', 0, 0, 0)
        changes = ((3, (3,)), (3, ()), (4, ()), (5, (5,)), (0, (0,)))
        for requests, sent in changes:
            loads = (TargetLoad('t1', requests),)
            relay.on_reply(reply._replace(loads=loads), NOW, NOW)
            received = relay.on_ask(1, ask, NOW).loads
            assert tuple(load.requests for load in received) == sent

    def test_new_stream_starts_afresh(self) -> None:
        """Grants on a stream that has ended do not reduce later wishes."""
        relay = SyncRelay('c1', 'z', 77)
        lot = TokenLot('a', 100)
        reply = make_reply()._replace(term=3)
        ask = SyncAsk(1, 'e1', 'z', 0, 0, 0, tokens=wish(100))
        relay.on_ask(1, ask, NOW)
        relay.on_reply(reply._replace(lots=(lot,)), NOW, NOW)
        assert relay.make_push('e1', NOW)
        relay.on_ask(2, ask, NOW + 0.1)
        assert relay.build_ask(1, NOW + 0.1).tokens == wish(100)


class TestTiming:
    @pytest.mark.parametrize('timing', [ENTRY_SYNC, RELAY_SYNC])
    def test_idle_stream_is_kept(self, timing: SyncTiming) -> None:
        """A stream on which each request gets a reply is kept."""
        assert longest_silence_s(timing) < timing.silence_timeout_s

    @pytest.mark.parametrize('timing', [ENTRY_SYNC, RELAY_SYNC])
    def test_dead_server_is_left(self, timing: SyncTiming) -> None:
        """A dead stream is left sooner than an election ends."""
        assert timing.silence_timeout_s <= 0.55


def make_reply(age_s: float = 0.1, serves: bool = True) -> SyncReply:
    """Return a relay's reply that names three relays in two zones."""
    relays = (
        RelayInfo('c1', 'z1'),
        RelayInfo('c2', 'z2'),
        RelayInfo('c3', 'z2'),
    )
    return SyncReply(1, serves, '', 1, age_s, relays=relays)


class TestSearch:
    def test_prefers_the_zone(self) -> None:
        """An entry VM leaves a seed for a relay of its zone."""
        search = RelaySearch('e1', 'z1', ('c2',))
        assert search.next_vm(NOW) == 'c2'
        assert search.check_reply('c2', make_reply(), NOW, NOW)
        assert search.next_vm(NOW) == 'c1'
        assert not search.check_reply('c1', make_reply(), NOW, NOW)

    def test_spreads_over_a_zone(self) -> None:
        """Entry VMs of a zone with two relays use both."""
        chosen = set()
        for number in range(20):
            search = RelaySearch(f'e{number}', 'z2', ('c1',))
            search.check_reply('c1', make_reply(), NOW, NOW)
            chosen.add(search.next_vm(NOW))
        assert chosen == {'c2', 'c3'}

    def test_backoff_grows(self) -> None:
        """A relay that fails again and again is tried less and less often."""
        search = RelaySearch('e1', 'z1', ('c1',))
        search.check_reply('c1', make_reply(), NOW, NOW)
        for _failure in range(4):
            search.record_failure('c1', NOW)
        assert search.next_vm(NOW + 10.0) != 'c1'
        assert search.next_vm(NOW + 17.0) == 'c1'

    @pytest.mark.parametrize(
        ('age_s', 'serves', 'stayed_s', 'leaves'),
        [
            (1.0, True, 9.0, False),  # an election
            (2.0, True, 0.5, False),
            (2.0, True, 1.5, True),
            (0.0, False, 1.5, True),
        ],
    )
    def test_leaves_stale_relay(
        self, age_s: float, serves: bool, stayed_s: float, leaves: bool
    ) -> None:
        """A relay with old information is left after a while."""
        search = RelaySearch('e1', 'z1', ('c1',))
        search.check_reply('c1', make_reply(), NOW, NOW)
        reply = make_reply(age_s, serves)
        reason = search.check_reply('c1', reply, NOW, NOW + stayed_s)
        assert bool(reason) is leaves


def wish(tokens: float, ahead: float = 0.0) -> tuple[TokenWish, ...]:
    """Return a wish for the tokens of one account."""
    return (TokenWish('a', tokens, ahead),)


class TestTokens:
    def test_oldest_queued_request_first(self) -> None:
        """Too few tokens go to one queued request, not a part to each."""
        splitter = TokenSplitter()
        splitter.set_wishes('e2', wish(100), 0, NOW)
        splitter.set_wishes('e1', wish(100, 50), 0, NOW + 0.1)
        splitter.add((TokenLot('a', 130, short=True),), NOW + 0.2)
        lots = splitter.distribute(NOW + 0.2)
        assert lots['e2'] == [TokenLot('a', 100)]
        assert lots['e1'] == [TokenLot('a', 30, short=True)]

    def test_rest_is_split_by_demand(self) -> None:
        """What is wished ahead is split in proportion."""
        splitter = TokenSplitter()
        splitter.set_wishes('e1', wish(0, 300), 0, NOW)
        splitter.set_wishes('e2', wish(0, 100), 0, NOW)
        splitter.add((TokenLot('a', 200),), NOW)
        lots = splitter.distribute(NOW)
        assert lots['e1'] == [TokenLot('a', 150)]
        assert lots['e2'] == [TokenLot('a', 50)]

    def test_grant_on_the_way_is_not_granted_again(self) -> None:
        """A wish sent before a grant arrived is not granted twice."""
        splitter = TokenSplitter()
        splitter.set_wishes('e1', wish(100), 0, NOW)
        splitter.add((TokenLot('a', 250),), NOW)
        granted = splitter.distribute(NOW)['e1']
        splitter.record_grant('e1', granted, 7, NOW)
        splitter.set_wishes('e1', wish(100), 6, NOW)
        assert not splitter.distribute(NOW)
        assert splitter.total_wishes(NOW) == ()
        splitter.set_wishes('e1', wish(100), 7, NOW)
        assert splitter.distribute(NOW)['e1'] == [TokenLot('a', 100)]

    def test_pool_expires(self) -> None:
        """Tokens that nobody wishes any more are lost after a second."""
        splitter = TokenSplitter()
        splitter.add((TokenLot('a', 100),), NOW)
        splitter.set_wishes('e1', wish(100), 0, NOW + 1.5)
        assert not splitter.distribute(NOW + 1.5)
        assert splitter.total_wishes(NOW + 1.5) == wish(100)

    def test_lifetime_counts_in_the_pool(self) -> None:
        """The time that tokens waited in the relay counts as their age."""
        splitter = TokenSplitter()
        splitter.add((TokenLot('a', 100),), NOW)
        splitter.set_wishes('e1', wish(100), 0, NOW + 0.5)
        lot = splitter.distribute(NOW + 0.5)['e1'][0]
        assert lot.age_s == pytest.approx(0.5)
