"""Checks the promises by what callers, workers and operators saw."""

from collections import defaultdict
from itertools import pairwise
from typing import Final, NamedTuple

NOT_RUN: Final = frozenset((408, 421, 429, 503))
KEY_LIMIT_S: Final = 5.0  # a withdrawn key may be honoured this long
APPLY_S: Final = 2.0  # until a configuration is in force everywhere
LEASE_S: Final = 3.0  # between orders of two holders to one worker
OK: Final = 200


class Call(NamedTuple):
    """A request as its caller saw it; times in s."""

    request_id: str
    path: str
    key: str
    model: str  # empty at the plain service
    repeatable: bool
    sent_at: float
    ended_at: float
    status: int  # 0 if no status came
    body: bytes
    whole: bool  # the answer came to its end
    entry: str


class Run(NamedTuple):
    """A request as a worker ran it."""

    at: float  # s
    worker: str
    request_id: str
    path: str
    account: str
    model: str
    has_key: bool  # the caller's key was passed on


class Ordered(NamedTuple):
    """An order as a worker got it."""

    at: float  # s
    worker: str
    holder: str
    fence: int


class ConfigSeen(NamedTuple):
    """An operator's acknowledged change, or an answered read."""

    sent_at: float  # s
    ended_at: float
    version: int
    is_read: bool
    withdraws: str = ''  # a key


class Record(NamedTuple):
    """All that was seen in a soak."""

    calls: list[Call]
    runs: list[Run]
    orders: list[Ordered]
    configs: list[ConfigSeen]
    disturbed: list[tuple[float, float]]  # spans in which answers may be cut


def find_violations(record: Record, events: int) -> list[str]:
    """Return each broken promise; ``events`` are those of a whole stream."""
    return [
        *_answers(record, events),
        *_executions(record),
        *_accounts(record),
        *_keys(record),
        *_configurations(record),
        *_holders(record),
        *_cut_short(record),
    ]


def _answers(record: Record, events: int) -> list[str]:
    found = []
    ids = list(range(1, events + 1))
    for call in record.calls:
        if call.status != OK or not call.whole:
            continue
        if call.model:
            good = event_ids(call.body) == ids
        else:
            good = call.body == call.path.encode()
        if not good:
            found.append(f'not the whole answer: {call}')
    return found


def event_ids(body: bytes) -> list[int]:
    """Return the ids of a stream's events."""
    lines = body.decode('latin-1').splitlines()
    return [int(line[3:]) for line in lines if line.startswith('id:')]


def _executions(record: Record) -> list[str]:
    found = []
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in record.runs:
        runs[run.request_id].append(run)
    for call in record.calls:
        mine = runs[call.request_id]
        if call.repeatable:
            continue
        if len(mine) > 1:
            found.append(f'ran more than once: {call} {mine}')
        if mine and call.status in NOT_RUN:
            found.append(f'ran, but was called not run: {call}')
    return found


def _accounts(record: Record) -> list[str]:
    calls = {call.request_id: call for call in record.calls}
    found = []
    for run in record.runs:
        call = calls.get(run.request_id)
        if call is None or run.has_key or run.account != 't1':
            found.append(f'not what a caller asked for: {run}')
        elif (run.path, run.model) != (call.path, call.model):
            found.append(f'another path or adapter: {run} {call}')
    return found


def _keys(record: Record) -> list[str]:
    withdrawn = {
        one.withdraws: one.ended_at for one in record.configs if one.withdraws
    }
    ran = {run.request_id for run in record.runs}
    return [
        f'withdrawn key honoured: {call}'
        for call in record.calls
        if call.request_id in ran
        and call.sent_at > withdrawn.get(call.key, call.sent_at) + KEY_LIMIT_S
    ]


def _configurations(record: Record) -> list[str]:
    reads = [one for one in record.configs if one.is_read]
    changes = [one for one in record.configs if not one.is_read]
    return [
        f'older than an acknowledged change: {read}'
        for read in reads
        if read.version < _newest_due(changes, read.sent_at)
    ]


def _newest_due(changes: list[ConfigSeen], at: float) -> int:
    """Return the version that has to be in force at a time."""
    due = [one.version for one in changes if one.ended_at + APPLY_S < at]
    return max(due, default=0)


def _holders(record: Record) -> list[str]:
    by_worker: dict[str, list[Ordered]] = defaultdict(list)
    for order in record.orders:
        by_worker[order.worker].append(order)
    pairs = [pair for one in by_worker.values() for pair in pairwise(one)]
    found = [_fault_of(former, later) for former, later in pairs]
    return [line for line in found if line]


def _fault_of(former: Ordered, later: Ordered) -> str:
    """Return what is wrong with two orders in a row, empty for nothing."""
    if later.fence < former.fence:
        return f'lower fencing token: {former} {later}'
    if later.holder != former.holder and later.at - former.at < LEASE_S:
        return f'two holders: {former} {later}'
    return ''


def _cut_short(record: Record) -> list[str]:
    """Find answers that were cut though only planned work went on.

    A request that crossed the end of its connection ran nowhere and does not
    count.
    """
    ran = {run.request_id for run in record.runs}
    return [
        f'cut short: {call}'
        for call in record.calls
        if call.status in {0, OK}
        and not call.whole
        and call.request_id in ran
        and not any(
            start <= call.ended_at and call.sent_at <= end
            for start, end in record.disturbed
        )
    ]
