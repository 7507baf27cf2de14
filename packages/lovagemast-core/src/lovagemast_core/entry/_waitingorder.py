"""Order of the requests that wait for the targets of a pool, under overload.

The load: callers ask for 1.3 to 2 times what the targets can take, one client
account sends several times its share, requests differ tenfold in size and in
how urgent they are, and refused callers return once. Each account is to get
its share, urgent requests are to be served no worse than others, and a slot
should go to a request that can still meet its latency objective.

Accounts are compared by the work that targets have taken from them over the
last seconds, relative to their weights. Those that differ little from their
share are equal; those far under it go first, those far over it last. Requests
that can no longer meet their objective come after those that can, over all
accounts.
"""

import heapq
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from ._accountshares import SHARE_TIME_CONSTANT_S, AccountShares, ShareScale
from ._decayingsums import DecayingSums
from ._slotrate import SlotRate

# Requests whose objectives end within this time of each other are ordered by
# size; shorter than the objectives by a factor of 8 and more.
OBJECTIVE_STEP_S: Final = 0.05
# A less urgent or late request of an account that has waited for this part of
# the time that it may wait goes first, while its kind has taken less than
# MIN_KIND_SHARE of what the account is due. Without it, a kind that is always
# late, as it waits for adapters first, would never be sent under overload.
OVERDUE_FRACTION: Final = 0.75
MIN_KIND_SHARE: Final = 0.1
MIN_QUEUE: Final = 4  # requests that may always wait
UNKNOWN_S: Final = 4.0  # expected wait while nothing is sent
MIN_RANK_SHARE: Final = 0.1  # of the slots, left to the less urgent ones


class WaitingRequest(NamedTuple):
    """What decides when a request is sent to a target.

    ``priority`` is lower for more urgent requests and negative for streams
    that are resumed. Times are in s; a request that is sent after
    ``in_time_until`` is expected to miss its latency objective.
    """

    account: str
    weight: float
    priority: int
    arrived_at: float
    in_time_until: float
    give_up_at: float
    work: float
    returns: bool = False  # after a refusal, at the time it was told

    @property
    def is_resumption(self) -> bool:
        """Return whether the caller already holds a part of the answer."""
        return self.priority < 0


class _Kind(NamedTuple):
    """Requests of an account that are served alike."""

    account: str
    priority: int
    is_late: bool


class _Rank(NamedTuple):
    """Sort key within an account; lower goes first."""

    is_new: bool  # not a resumption
    is_late: bool
    priority: int
    is_first_call: bool
    objective_step: int
    work: float
    number: int


class _Head(NamedTuple):
    """Sort key of an account's first request among those of others."""

    is_new: bool
    is_late: bool
    excess: int  # of the account over its share
    priority: int
    objective_step: int
    work: float
    number: int


class WaitingOrder:
    """The waiting requests of one pool, and what decides their order."""

    def __init__(self) -> None:
        self._requests: dict[int, WaitingRequest] = {}
        self._held: set[int] = set()  # for what no free slot would help
        self._last_number = 0
        self._rate = SlotRate()
        self.shares = AccountShares()
        self._by_kind: DecayingSums[_Kind] = DecayingSums(SHARE_TIME_CONSTANT_S)
        self._by_lateness: DecayingSums[bool] = DecayingSums(
            SHARE_TIME_CONSTANT_S
        )
        self._by_priority: DecayingSums[int] = DecayingSums(
            SHARE_TIME_CONSTANT_S
        )

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._requests)

    def waiting(self) -> Counter[int]:
        """Return how many requests wait, by priority."""
        return Counter(one.priority for one in self._requests.values())

    def join(self, request: WaitingRequest, now: float) -> int:
        """Add a request; return the number by which it is known."""
        if not self._requests:
            self._rate.set_busy(now, is_busy=True)
        self._last_number += 1
        self._requests[self._last_number] = request
        return self._last_number

    def leave(self, number: int, now: float) -> None:
        """Remove a request, whether it was sent or gave up."""
        self._requests.pop(number, None)
        self._held.discard(number)
        if not self._requests:
            self._rate.set_busy(now, is_busy=False)

    def set_held(self, number: int, *, is_held: bool) -> None:
        """Record whether a request waits for more than a free slot."""
        if is_held:
            self._held.add(number)
        else:
            self._held.discard(number)

    def record_send(self, request: WaitingRequest, now: float) -> None:
        """Count a request that a target takes, whether or not it waited."""
        kind = _Kind(request.account, request.priority, _is_late(request, now))
        self.shares.record_send(
            request.account, request.weight, request.work, now
        )
        self._by_kind.add(kind, request.work, now)
        self._by_lateness.add(kind.is_late, request.work, now)
        self._by_priority.add(request.priority, request.work, now)
        self._rate.record_send(request.work, now)

    def in_order(self, now: float) -> Iterator[int]:
        """Yield the waiting requests, the one to be sent next first.

        Requests that are passed over because they can't be sent do not
        change the place of others of their account.
        """
        return _Merge(self, self._requests, now).run(is_sent=False)

    def is_overdue(self, number: int, now: float) -> bool:
        """Return whether a request has been kept behind for too long."""
        request = self._requests.get(number)
        return request is not None and self._is_overdue(
            request, self._scale(now)
        )

    def expected_wait_s(
        self, request: WaitingRequest, now: float, *, is_held: bool = False
    ) -> float:
        """Return how long one more request would wait for a slot.

        ``is_held`` tells that it waits for more than a free slot.
        """
        requests = {
            number: one
            for number, one in self._requests.items()
            if is_held or number not in self._held
        }
        ahead = self._ahead_of(request, requests, now)
        if len(ahead) < MIN_QUEUE:
            return 0.0
        rate = self._rate.per_s(now)
        if rate is None:
            return 0.0
        if rate <= 0:
            return UNKNOWN_S
        wait_s = max(
            self._wait_of_rank(request, ahead, now) / rate,
            self._wait_of_account(request, ahead, now) / rate,
        )
        will_be_late = now + wait_s > request.in_time_until
        if will_be_late and not request.is_resumption:
            wait_s = max(wait_s, self._late_wait_s(request, rate, now))
        return min(wait_s, self._overdue_after_s(request, rate, now))

    def rank(
        self, number: int, one: WaitingRequest, scale: ShareScale
    ) -> _Rank:
        """Return a request's place among those of its account."""
        is_overdue = self._is_overdue(one, scale)
        return _Rank(
            is_new=not one.is_resumption,
            is_late=not is_overdue and _is_late(one, scale.now),
            priority=0 if is_overdue else one.priority,
            is_first_call=not one.returns,
            objective_step=math.floor(one.in_time_until / OBJECTIVE_STEP_S),
            work=one.work,
            number=number,
        )

    def _is_overdue(self, one: WaitingRequest, scale: ShareScale) -> bool:
        now = scale.now
        max_wait_s = one.give_up_at - one.arrived_at
        if now - one.arrived_at < OVERDUE_FRACTION * max_wait_s:
            return False
        kind = _Kind(one.account, one.priority, _is_late(one, now))
        limit = MIN_KIND_SHARE * self.shares.due(one.account, scale)
        return self._by_kind.get(kind, now) <= limit

    def _scale(self, now: float) -> ShareScale:
        accounts = {one.account for one in self._requests.values()}
        return self.shares.scale(accounts, now)

    def _ahead_of(
        self,
        request: WaitingRequest,
        requests: dict[int, WaitingRequest],
        now: float,
    ) -> list[WaitingRequest]:
        """Return the requests that would be sent before one more."""
        number = self._last_number + 1
        with_it = {**requests, number: request}
        ahead = []
        for other in _Merge(self, with_it, now).run(is_sent=True):
            if other == number:
                break
            ahead.append(requests[other])
        return ahead

    def _wait_of_rank(
        self, request: WaitingRequest, ahead: list[WaitingRequest], now: float
    ) -> float:
        """Return the work before a request, with more urgent arrivals.

        Those take the part of the slots that they have taken lately.
        """
        urgent = sum(
            self._by_priority.get(priority, now)
            for priority in self._by_priority
            if priority < request.priority
        )
        total = self._by_priority.total(now)
        share = 1 - urgent / total if total else 1.0
        work = 0.0
        for other in ahead:
            is_urgent = other.priority < request.priority
            left = 1.0 if is_urgent else max(MIN_RANK_SHARE, share)
            work += other.work / left
        return work

    def _wait_of_account(
        self, request: WaitingRequest, ahead: list[WaitingRequest], now: float
    ) -> float:
        """Return the work before a request of an account over its share.

        Requests of others that arrive later will be ahead of it.
        """
        if not self._is_over_share(request.account, now):
            return 0.0
        share = self.shares.fraction_of(request.account, now)
        return _work(ahead, request.account) / max(MIN_RANK_SHARE, share)

    def _late_wait_s(
        self, request: WaitingRequest, rate: float, now: float
    ) -> float:
        """Return the wait of a request that will be late before it is sent.

        Late requests get the slots that those in time have left lately.
        """
        total = self._by_lateness.total(now)
        late = self._by_lateness.get(True, now) / total if total else 1.0
        work = sum(
            one.work
            for one in self._requests.values()
            if one.priority <= request.priority
            and one.in_time_until <= request.in_time_until
        )
        left_s = max(0.0, request.in_time_until - now)
        return left_s + work / (rate * max(MIN_RANK_SHARE, late))

    def _overdue_after_s(
        self, request: WaitingRequest, rate: float, now: float
    ) -> float:
        """Return when a request would be overdue and sent for that reason."""
        if self._is_over_share(request.account, now):
            return math.inf
        share = self.shares.fraction_of(request.account, now)
        work = sum(
            one.work
            for one in self._requests.values()
            if (one.account, one.priority)
            == (request.account, request.priority)
        )
        per_s = rate * MIN_KIND_SHARE * max(share, MIN_KIND_SHARE)
        return OVERDUE_FRACTION * (request.give_up_at - now) + work / per_s

    def _is_over_share(self, account: str, now: float) -> bool:
        scale = self.shares.scale((account,), now)
        return self.shares.excess(account, 0.0, scale) > 0


class _Merge:
    """Merges the requests of all accounts into one order."""

    def __init__(
        self,
        order: WaitingOrder,
        requests: dict[int, WaitingRequest],
        now: float,
    ) -> None:
        self._shares = order.shares
        accounts = {one.account for one in requests.values()}
        self._scale = order.shares.scale(accounts, now)
        self._requests = requests
        self._added: dict[str, float] = defaultdict(float)
        self._queues: dict[str, list[_Rank]] = defaultdict(list)
        for number, one in requests.items():
            rank = order.rank(number, one, self._scale)
            self._queues[one.account].append(rank)
        for queue in self._queues.values():
            heapq.heapify(queue)

    def run(self, *, is_sent: bool) -> Iterator[int]:
        """Yield the numbers in order.

        With ``is_sent`` each one counts as sent when the next is chosen.
        """
        heads = [self._pop(account) for account in self._queues]
        heapq.heapify(heads)
        while heads:
            number = heapq.heappop(heads).number
            yield number
            one = self._requests[number]
            if is_sent:
                self._added[one.account] += one.work
            if self._queues[one.account]:
                heapq.heappush(heads, self._pop(one.account))

    def _pop(self, account: str) -> _Head:
        rank = heapq.heappop(self._queues[account])
        added = self._added[account]
        excess = self._shares.excess(account, added, self._scale)
        return _Head(
            rank.is_new,
            rank.is_late,
            excess,
            rank.priority,
            rank.objective_step,
            rank.work,
            rank.number,
        )


def _is_late(request: WaitingRequest, now: float) -> bool:
    return now > request.in_time_until


def _work(requests: Iterable[WaitingRequest], account: str) -> float:
    return sum(one.work for one in requests if one.account == account)
