"""Tests of targets that fall over if they reject too many requests."""

import asyncio
import math

import pytest
from lovagemast_core.deployment import CallKind
from lovagemast_core.entry import (
    EntryShare,
    KnownTarget,
    RejectionGuard,
    TargetUse,
)
from lovagemast_core.targets import LimitReport, TargetRecord
from lovagemast_node._clock import now_s
from lovagemast_node.fleet._entrystate import EntryState
from lovagemast_node.http import ResponseHead
from lovagemast_platform._entry import PlatformEntryCodec

from tests.relayfleet import RelayFleet
from tests.test_calls import FULL, GOOD, ScriptedTarget, answer, status_of

NOW = 100.0
TOLERANCE = 3.0
SLOTS = 6


def make_target(name: str = 't1') -> KnownTarget:
    """Return a target with some slots."""
    record = TargetRecord(
        name, 'p', 'h:1', 'z1', 1, SLOTS, leaving=False, cold_s=0.0
    )
    return KnownTarget(record, {}, NOW)


def make_guard(*names: str) -> RejectionGuard:
    """Return a guard that knows some targets as brittle."""
    guard = RejectionGuard()
    for name in names or ('t1',):
        report = LimitReport(name, 1, TOLERANCE, 0.0)
        guard.exchange.known.record_answer(report, NOW, NOW)
    return guard


@pytest.mark.parametrize('entries', [1, 2, 4, 7, 61])
@pytest.mark.parametrize('target', ['t1', 't2', 't3'])
def test_entry_vms_together_fill_only_the_slots(
    entries: int, target: str
) -> None:
    """Each sends until its guard stops it, at a target that is half full."""
    known = make_target(target)
    sent = 0
    for rank in range(entries):
        guard = make_guard(target)
        share = EntryShare(rank, entries)
        running = 0
        while guard.may_send(known, TargetUse(running, 0.5), share, NOW):
            running += 1
        sent += running
    assert sent == SLOTS


def test_idle_target_is_used_by_all() -> None:
    """A VM without a part of the slots sends one request to an idle target."""
    known = make_target()
    allowed = [
        make_guard().may_send(
            known, TargetUse(0, 0.1), EntryShare(rank, 61), NOW
        )
        for rank in range(61)
    ]
    assert all(allowed)


@pytest.mark.parametrize('entries', [1, 7, 61, 193])
def test_rejections_stay_below_the_tolerance(entries: int) -> None:
    """Each VM pauses after one, the longer the more there are."""
    known = make_target()
    rejected = 0
    seconds = 130
    for rank in range(entries):
        guard = make_guard()
        share = EntryShare(rank, entries)
        for step in range(seconds * 10):
            now = NOW + step / 10
            if guard.may_send(known, TargetUse(0, 0.0), share, now):
                guard.record_rejection(known, share, now)
                rejected += 1
    assert rejected <= TOLERANCE * seconds + entries


def test_sound_target_is_not_limited() -> None:
    """Without the word, neither slots nor rejections hold requests back."""
    guard = RejectionGuard()
    known = make_target()
    share = EntryShare(0, 7)
    guard.record_rejection(known, share, NOW)
    assert guard.may_send(known, TargetUse(99, 2.0), share, NOW)


@pytest.mark.parametrize(
    ('value', 'tolerance'),
    [(None, None), (b'3', 3.0), (b'0.5', 0.5), (b'x', math.nan)],
)
def test_header_is_read(value: bytes | None, tolerance: float | None) -> None:
    """What can't be read is told apart from no word."""
    headers = () if value is None else ((b'Server-Brittle', value),)
    head = ResponseHead(200, headers, 0)
    read = PlatformEntryCodec().decode_response_head(head).tolerance
    assert read == tolerance or (read != read and tolerance != tolerance)


def test_word_in_an_answer_is_learned() -> None:
    """It is reported, and an answer without it ends it."""
    states: list[EntryState] = []
    target = ScriptedTarget(GOOD)
    said = answer(b'200 OK\r\nX-Server-Stamp: s\r\nServer-Brittle: 3')

    async def play() -> list[tuple[float | None, ...]]:
        target._script = said
        await status_of(CallKind.SAFE, [target], prepare=states.append)
        reports = states[0].rejections.exchange.reports(1, now_s())
        return [(one.per_s,) for one in reports]

    assert asyncio.run(play()) == [(3.0,)]


def test_rejection_pauses_a_brittle_target() -> None:
    """A full target is sent one request, and no repeat of it."""
    target = ScriptedTarget(FULL)

    def prepare(state: EntryState) -> None:
        report = LimitReport('t0', 1, TOLERANCE, 0.0)
        known = state.rejections.exchange.known
        known.record_answer(report, now_s(), now_s())

    status = asyncio.run(status_of(CallKind.UNSAFE, [target], prepare=prepare))
    assert status == 503
    assert target.requests == 1


@pytest.mark.parametrize('entries', [7, 61, 193])
def test_word_is_known_everywhere_soon(entries: int) -> None:
    """One entry VM hears it; all others know within 0.3 s."""
    fleet = RelayFleet(3, entries)
    fleet.targets = {'t1'}
    fleet.send_heartbeats()
    fleet.run(3.0)
    report = LimitReport('t1', 1, TOLERANCE, 0.0)
    first = fleet.entries['e1'].rejections.exchange.known
    first.record_answer(report, fleet.now, fleet.now)

    def is_known() -> bool:
        return all(
            't1' in one.rejections.exchange.known.current()
            for one in fleet.entries.values()
        )

    fleet.run_until(is_known, 0.3)
