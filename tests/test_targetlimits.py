"""Tests of limits that targets name, in virtual time."""

import math

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from lovagemast_core.entry import (
    EntryShare,
    KnownTarget,
    SendLimiter,
    SendTerms,
)
from lovagemast_core.targetlimits import (
    LimitExchange,
    LimitNews,
    TargetLimits,
    is_readable,
    limit_from_number,
)
from lovagemast_core.targetlimits._known import (
    MAX_TARGETS,
    MIN_LIMIT_PER_S,
    RETENTION_S,
)
from lovagemast_core.targets import (
    LimitReport,
    SyncReply,
    TargetRecord,
    TokenLot,
)

from tests.limitfleet import LimitFleet, allowed

NONE = LimitNews((), 0)
TARGET = 't0'
NOW = 50.0


def report(
    per_s: float | None, age_s: float = 0.0, born: int = 1
) -> LimitReport:
    """Return a report of one target's limit."""
    return LimitReport(TARGET, born, per_s, age_s)


@pytest.mark.parametrize(
    ('number', 'readable', 'limit'),
    [
        (3.4, True, 3.4),
        (0.25, True, 0.25),
        (0.0, True, MIN_LIMIT_PER_S),
        (-0.0, True, MIN_LIMIT_PER_S),
        (1e9, True, None),
        (math.inf, True, None),
        (-1.0, False, None),
        (-math.inf, False, None),
        (math.nan, False, None),
    ],
)
def test_reading_of_a_number(
    number: float, readable: bool, limit: float | None
) -> None:
    """Each number has one reading."""
    assert is_readable(number) is readable
    if readable:
        assert limit_from_number(number) == limit


class TestNewestAnswer:
    @pytest.mark.parametrize(
        ('second', 'sent_ago_s', 'by_incarnation'),
        [
            (report(3.0), 0.0, {1: 3.0}),
            (report(None), 0.0, {1: None}),
            (report(None), 0.2, {1: 2.0}),  # sent before the limit was heard
            (report(5.0, born=2), 0.0, {1: None, 2: 5.0}),
            (report(None, born=2), 0.0, {1: 2.0, 2: None}),
            (report(5.0, born=0), 0.0, {0: None, 1: 2.0}),
        ],
    )
    def test_own_answers(
        self,
        second: LimitReport,
        sent_ago_s: float,
        by_incarnation: dict[int, float | None],
    ) -> None:
        """An answer counts unless its request is older than the last change."""
        limits = TargetLimits()
        limits.record_answer(report(2.0), NOW, NOW)
        now = NOW + 0.1
        limits.record_answer(second, now - sent_ago_s, now)
        for incarnation, limit in by_incarnation.items():
            assert limits.limit_of(TARGET, incarnation) == limit

    def test_late_answer_does_not_bring_a_limit_back(self) -> None:
        """A limit that has ended stays so for answers to older requests."""
        limits = TargetLimits()
        limits.record_answer(report(2.0), NOW, NOW)
        limits.record_answer(report(None), NOW + 1, NOW + 1.1)
        limits.record_answer(report(2.0), NOW + 0.9, NOW + 1.2)
        assert limits.limit_of(TARGET, 1) is None
        limits.record_answer(report(2.0), NOW + 1.2, NOW + 1.3)
        assert limits.limit_of(TARGET, 1) == 2.0

    @pytest.mark.parametrize(
        ('age_s', 'born', 'expected'),
        [(0.5, 1, 7.0), (2.0, 1, 2.0), (2.0, 2, None), (0.0, 0, 2.0)],
    )
    def test_other_vms_reports(
        self, age_s: float, born: int, expected: float | None
    ) -> None:
        """The later answer wins, whoever has heard it."""
        limits = TargetLimits()
        limits.record_answer(report(2.0), NOW, NOW)
        limits.merge([report(7.0, age_s, born)], NOW + 1)
        assert limits.limit_of(TARGET, 1) == expected

    def test_number_of_targets_is_bounded(self) -> None:
        """Further targets are not stored."""
        limits = TargetLimits()
        for number in range(MAX_TARGETS + 5):
            limits.merge([LimitReport(f't{number}', 1, 1.0, 0.0)], NOW)
        assert len(limits.current()) == MAX_TARGETS

    def test_new_server_is_told_everything(self) -> None:
        """What an earlier server was told is reported again."""
        exchange = LimitExchange()
        exchange.known.record_answer(report(2.0), NOW, NOW)
        assert exchange.reports(1, NOW)
        exchange.on_reply(SyncReply(1, True, '', 1, 0.0, epoch=5), NONE, NOW)
        assert exchange.reports(2, NOW)
        exchange.on_reply(SyncReply(2, True, '', 1, 0.0, epoch=5), NONE, NOW)
        assert not exchange.reports(3, NOW)
        exchange.on_reply(SyncReply(3, True, '', 1, 0.0, epoch=6), NONE, NOW)
        assert exchange.reports(4, NOW)


def make_fleet(entries: int, seed: int = 1) -> LimitFleet:
    """Return a fleet that knows a target."""
    fleet = LimitFleet(4, entries, seed)
    fleet.targets = {TARGET}
    fleet.publish()
    fleet.run(2.0)
    return fleet


def press(fleet: LimitFleet, per_s: float, seconds: float) -> None:
    """Send requests at random entry VMs at a rate."""
    interval_s = 1 / per_s
    for _request in range(round(seconds * per_s)):
        vm = fleet.rng.choice(sorted(fleet.entries))
        fleet.request_send(vm, TARGET)
        fleet.run(interval_s)


@pytest.mark.parametrize(
    ('entries', 'limit'), [(7, 0.3), (7, 3.4), (63, 1.0), (193, 3.4)]
)
class TestFleet:
    def test_sum_over_the_fleet_keeps_the_limit(
        self, entries: int, limit: float
    ) -> None:
        """All entry VMs together keep a limit, and use what it allows."""
        fleet = make_fleet(entries)
        fleet.name_limit(TARGET, limit)
        press(fleet, 20.0, 12.0)
        assert fleet.most_sent(TARGET, counts_isolated=True) <= allowed(limit)
        late = [one for one in fleet.sent[TARGET] if one.at > fleet.now - 8]
        assert len(late) >= 0.8 * limit * 8 - 1

    def test_limit_is_known_everywhere(
        self, entries: int, limit: float
    ) -> None:
        """All entry VMs know of a limit, and of its end, within 0.2 s."""
        fleet = make_fleet(entries)
        for per_s in (limit, None):
            fleet.name_limit(TARGET, per_s)
            changes = (entries, 0) if per_s else (0, entries)
            while len(fleet.limited_vms(TARGET)) == changes[1]:
                fleet.request_send('e0', TARGET)
                fleet.run(0.1)
            fleet.run(0.2)
            assert len(fleet.limited_vms(TARGET)) == changes[0]


@pytest.mark.parametrize(
    'trouble', ['elect', 'relay', 'restarts', 'relay and elect']
)
@pytest.mark.parametrize('entries', [7, 63])
def test_limit_is_kept_through_losses(trouble: str, entries: int) -> None:
    """A new leader or relay, or entry VMs that know nothing, send no more."""
    fleet = make_fleet(entries)
    fleet.name_limit(TARGET, 2.0)
    press(fleet, 20.0, 5.0)
    for turn in range(4):
        if 'elect' in trouble:
            fleet.elect()
        if 'relay' in trouble:
            fleet.start_relay(f'r{turn}')
        if 'restarts' in trouble:
            fleet.restart_entry(f'e{turn}')
        press(fleet, 20.0, 1.5)
    assert fleet.most_sent(TARGET, counts_isolated=False) <= allowed(2.0)
    known = [
        one.sends.exchange.known.current() for one in fleet.entries.values()
    ]
    assert all(one == {TARGET: 2.0} for one in known)


def test_isolated_vms_add_their_shares_only() -> None:
    """A zone that is cut off sends no more than the limit by itself."""
    fleet = make_fleet(12)
    fleet.name_limit(TARGET, 2.0)
    press(fleet, 20.0, 4.0)
    fleet.cut = {
        ('leader', 'r0'),
        *((f'e{n}', f'r{r}') for n in (0, 4, 8) for r in (1, 2, 3)),
    }
    press(fleet, 20.0, 12.0)
    isolated = [one for one in fleet.sent[TARGET] if one.is_isolated]
    assert isolated
    assert len(isolated) <= 2.0 * 12 + 5
    assert fleet.most_sent(TARGET, counts_isolated=False) <= allowed(2.0)


STEPS = st.sampled_from(
    [
        'press',
        'press',
        'elect',
        'relay',
        'restart',
        'cut',
        'heal',
        'end',
        'name',
    ]
)


@settings(
    max_examples=12,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(
    seed=st.integers(0, 1_000),
    limit=st.sampled_from([0.3, 1.0, 2.7, 8.0]),
    steps=st.lists(STEPS, min_size=3, max_size=10),
)
def test_limit_is_kept_through_any_series_of_losses(
    seed: int, limit: float, steps: list[str]
) -> None:
    """No series of losses, cuts and changes lets a target get too much."""
    fleet = make_fleet(9, seed)
    fleet.name_limit(TARGET, limit)
    press(fleet, 15.0, 3.0)
    for step in steps:
        zone = fleet.rng.randrange(4)
        match step:
            case 'elect':
                fleet.elect()
            case 'relay':
                fleet.start_relay(f'r{zone}')
            case 'restart':
                fleet.restart_entry(f'e{zone}')
            case 'cut':
                fleet.cut.add(('leader', f'r{zone}'))
            case 'heal':
                fleet.cut.clear()
            case 'end':
                fleet.name_limit(TARGET, None)
            case 'name':
                fleet.name_limit(TARGET, limit)
        press(fleet, 15.0, 1.5)
        most = fleet.most_sent(TARGET, counts_isolated=False)
        assert most <= allowed(limit)


@pytest.mark.parametrize(
    ('limit', 'tokens', 'is_isolated', 'left'),
    [
        (2.0, 1.0, False, 1),  # the token is returned
        (2.0, 0.0, True, 0),  # an own share is not
        (None, 0.0, False, 0),  # nothing was spent
    ],
)
def test_request_that_is_not_sent_after_all(
    limit: float | None, tokens: float, is_isolated: bool, left: int
) -> None:
    """Cancelling a send returns its token, and makes no new one."""
    record = TargetRecord(TARGET, 'p', 'a:1', 'z', 1, 8, False, 0.0)
    known = KnownTarget(record, {}, NOW)
    sends = SendLimiter()
    if limit is not None:
        sends.exchange.known.record_answer(report(limit), NOW, NOW)
    sends.add(TokenLot(TARGET, tokens), NOW)
    terms = SendTerms(EntryShare(0, 1), is_isolated)
    permit = sends.try_send(known, terms, NOW)
    assert permit is not None
    sends.exchange.known.record_answer(report(2.0), NOW, NOW + 0.1)
    sends.cancel(permit, NOW + 0.1)
    in_touch = terms._replace(is_isolated=False)
    sent = [
        sends.try_send(known, in_touch, NOW + 0.2 + number / 10)
        for number in range(3)
    ]
    assert sum(one is not None for one in sent) == left


def test_limit_survives_lost_heartbeats() -> None:
    """A target that is removed and comes back at once has its limit still."""
    limits = TargetLimits()
    limits.record_answer(report(2.0), NOW, NOW)
    limits.retain((), NOW + 10)
    assert limits.limit_of(TARGET, 1) == 2.0
    limits.retain((), NOW + RETENTION_S + 1)
    assert limits.limit_of(TARGET, 1) is None


def test_wait_outlives_a_removed_target() -> None:
    """Requests that waited for a removed target leave no count behind."""
    sends = SendLimiter()
    sends.exchange.known.record_answer(report(2.0), NOW, NOW)
    sends.add_waiting(TARGET, 1, NOW)
    sends.retain((), NOW)
    sends.add_waiting(TARGET, -1, NOW)
    sends.add_waiting(TARGET, 1, NOW)
    assert [wish.tokens for wish in sends.wishes(NOW)] == [1.0]
