"""Checks guarantees against what callers, workers and operators observed."""

from collections import defaultdict
from collections.abc import Sequence
from itertools import pairwise
from typing import Final, NamedTuple

# Statuses which say that the request has not been executed.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
KEY_WITHDRAWAL_LIMIT_S: Final = 5.0  # a withdrawn key may still be accepted
CONFIG_APPLY_LIMIT_S: Final = 2.0  # until in force on every VM
LEASE_S: Final = 3.0  # between orders of two holders to a worker
LIMIT_WINDOW_S: Final = 4.0
LIMIT_GRACE_S: Final = 3.0  # until a limit must be kept
LIMIT_OVERAGE: Final = 1.5
LIMIT_SLACK: Final = 5
MAX_RESUMPTIONS: Final = 2
OK: Final = 200


class Call(NamedTuple):
    """A request as observed by its caller; times in s."""

    request_id: str
    path: str
    key: str
    model: str  # empty for the plain service
    repeatable: bool
    sent_at: float
    ended_at: float
    status: int  # 0 if none was received
    body: bytes
    whole: bool  # the response was received completely
    entry: str
    resumes: str = ''  # id of the request that brought the first event
    received: bytes = b''  # events of earlier requests for the stream
    resumptions: int = 0

    @property
    def can_be_resumed(self) -> bool:
        """Return whether the caller goes on with a stream that broke off."""
        is_broken = bool(self.repeatable and not self.whole and self.body)
        return is_broken and self.resumptions < MAX_RESUMPTIONS


class Execution(NamedTuple):
    """A request as executed by a worker."""

    at: float  # s
    worker: str
    request_id: str
    path: str
    account: str
    model: str
    has_key: bool  # the caller's key was forwarded


class ReceivedOrder(NamedTuple):
    """An order as received by a worker."""

    at: float  # s
    worker: str
    holder: str
    fence: int


class ConfigObservation(NamedTuple):
    """An acknowledged configuration change or an answered read."""

    sent_at: float  # s
    ended_at: float
    version: int
    is_read: bool
    withdraws: str = ''  # key that the change withdraws


class NamedLimit(NamedTuple):
    """A limit that a worker named in its answers."""

    worker: str
    began_at: float  # s
    ended_at: float
    per_s: float


class SoakHistory(NamedTuple):
    """Everything that was observed in a soak."""

    calls: list[Call]
    executions: list[Execution]
    orders: list[ReceivedOrder]
    configs: list[ConfigObservation]
    disturbed: list[tuple[float, float]]  # spans in which responses may break
    limits: Sequence[NamedLimit] = ()


def find_violations(history: SoakHistory, events: int) -> list[str]:
    """Return a description of each violation.

    ``events`` is the number of events in a complete stream.
    """
    return [
        *_check_responses(history, events),
        *_check_versions(history),
        *_check_executions(history),
        *_check_callers(history),
        *_check_withdrawn_keys(history),
        *_check_configurations(history),
        *_check_holders(history),
        *_check_truncation(history),
        *_check_limits(history),
    ]


def _check_responses(history: SoakHistory, events: int) -> list[str]:
    violations = []
    ids = list(range(1, events + 1))
    for call in history.calls:
        if call.status != OK or not call.whole:
            continue
        if call.model:
            good = event_ids(call.received + call.body) == ids
        else:
            good = call.body == call.path.encode()
        if not good:
            violations.append(f'incomplete or wrong response: {call}')
    return violations


def complete_events(body: bytes) -> bytes:
    """Return a stream without the event that it broke off in."""
    return body[: body.rfind(b'\n\n') + 2] if b'\n\n' in body else b''


def _check_versions(history: SoakHistory) -> list[str]:
    """Check that no text is joined from two software versions."""
    return [
        f'joined from {sorted(versions)}: {call}'
        for call in history.calls
        if call.model
        and len(versions := _versions_of(call.received + call.body)) > 1
    ]


def _versions_of(body: bytes) -> set[str]:
    lines = body.decode('latin-1').splitlines()
    return {
        line.rpartition(' ')[2] for line in lines if line.startswith('data:')
    }


def event_ids(body: bytes) -> list[int]:
    """Return the ids of a stream's events."""
    lines = body.decode('latin-1').splitlines()
    return [int(line[3:]) for line in lines if line.startswith('id:')]


def _check_executions(history: SoakHistory) -> list[str]:
    violations = []
    by_request: dict[str, list[Execution]] = defaultdict(list)
    for execution in history.executions:
        by_request[execution.request_id].append(execution)
    for call in history.calls:
        executions = by_request[call.request_id]
        if call.repeatable:
            continue
        if len(executions) > 1:
            violations.append(f'executed more than once: {call} {executions}')
        if executions and call.status in NOT_RUN_STATUSES:
            violations.append(f'executed, but the status says not run: {call}')
    return violations


def _check_callers(history: SoakHistory) -> list[str]:
    calls = {call.request_id: call for call in history.calls}
    violations = []
    for execution in history.executions:
        call = calls.get(execution.request_id)
        if call is None or execution.has_key or execution.account != 't1':
            violations.append(
                f'unknown request, wrong account or leaked key: {execution}'
            )
        elif (execution.path, execution.model) != (call.path, call.model):
            violations.append(f'wrong path or adapter: {execution} {call}')
    return violations


def _check_withdrawn_keys(history: SoakHistory) -> list[str]:
    withdrawn = {
        one.withdraws: one.ended_at for one in history.configs if one.withdraws
    }
    ran = {execution.request_id for execution in history.executions}
    return [
        f'withdrawn key accepted: {call}'
        for call in history.calls
        if call.request_id in ran
        and call.sent_at
        > withdrawn.get(call.key, call.sent_at) + KEY_WITHDRAWAL_LIMIT_S
    ]


def _check_configurations(history: SoakHistory) -> list[str]:
    reads = [one for one in history.configs if one.is_read]
    changes = [one for one in history.configs if not one.is_read]
    return [
        f'older than an acknowledged change: {read}'
        for read in reads
        if read.version < _newest_required(changes, read.sent_at)
    ]


def _newest_required(changes: list[ConfigObservation], at: float) -> int:
    """Return the newest version that must be in force at a time."""
    due = [
        one.version
        for one in changes
        if one.ended_at + CONFIG_APPLY_LIMIT_S < at
    ]
    return max(due, default=0)


def _check_holders(history: SoakHistory) -> list[str]:
    by_worker: dict[str, list[ReceivedOrder]] = defaultdict(list)
    for order in history.orders:
        by_worker[order.worker].append(order)
    pairs = [pair for one in by_worker.values() for pair in pairwise(one)]
    violations = [
        _describe_order_fault(former, later) for former, later in pairs
    ]
    return [line for line in violations if line]


def _describe_order_fault(former: ReceivedOrder, later: ReceivedOrder) -> str:
    """Return what is wrong with two successive orders, empty if nothing."""
    if later.fence < former.fence:
        return f'lower fencing token: {former} {later}'
    if later.holder != former.holder and later.at - former.at < LEASE_S:
        return f'two holders: {former} {later}'
    return ''


def _check_truncation(history: SoakHistory) -> list[str]:
    """Find truncated responses outside the spans of disruptive faults.

    A request that was sent while its connection was being closed was executed
    nowhere and does not count.
    """
    ran = {execution.request_id for execution in history.executions}
    return [
        f'truncated response: {call}'
        for call in history.calls
        if call.status in {0, OK}
        and not call.whole
        and call.request_id in ran
        and not any(
            start <= call.ended_at and call.sent_at <= end
            for start, end in history.disturbed
        )
    ]


def _check_limits(history: SoakHistory) -> list[str]:
    violations = []
    for limit in history.limits:
        times = [
            one.at
            for one in history.executions
            if one.worker == limit.worker
            and limit.began_at + LIMIT_GRACE_S < one.at < limit.ended_at
        ]
        allowed = LIMIT_OVERAGE * LIMIT_WINDOW_S * limit.per_s + LIMIT_SLACK
        most = max(
            (
                sum(at <= other < at + LIMIT_WINDOW_S for other in times)
                for at in times
            ),
            default=0,
        )
        if most > allowed:
            violations.append(f'{most} requests, beyond a limit: {limit}')
    return violations
