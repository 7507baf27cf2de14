"""Model of an entry VM in front of one pool of few slots, without a network.

It plays callers against either order of waiting requests and counts what they
get. Time is simulated; the order and the refusals are the product's own code.
"""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from lovagemast_core.entry import WaitingOrder, WaitingRequest, WaitQueue

POOL = 'p'
POLL_S = 0.05
FIRST_EVENT_S = 0.1  # from the send
WARM_UP_S = 5.0
MAX_RETRY_AFTER_S = 4.0
FIXED_RETRY_AFTER_S = 0.2  # of a request that waited in vain


class Load(NamedTuple):
    """What callers ask for."""

    demand: float  # in multiples of what the slots can take
    slots: int = 12
    accounts: int = 16
    greedy: float = 5.0  # rate of the first account, relative to the others
    seconds: float = 120.0
    mean_s: float = 0.3  # that a request holds a slot
    kinds_by_account: bool = False  # each account sends one priority only
    recognised: float = 1.0  # part of the returning callers at the same VM


# Objective and time limit in s of each priority, and its part of the requests.
KINDS = {0: (0.5, 12.0, 0.5), 1: (0.8, 6.0, 0.3), 2: (1.0, 12.0, 0.2)}
# Work relative to each other, and the part of the requests.
SIZES = {1: 0.6, 3: 0.3, 10: 0.1}
MEAN_SIZE = sum(size * part for size, part in SIZES.items())


class Caller:
    """A caller's request, which may be sent twice."""

    def __init__(
        self, account: str, at: float, priority: int, size: int
    ) -> None:
        self.account = account
        self.began_at = at
        self.priority = priority
        self.size = size
        self.objective_s, self.timeout_s, _part = KINDS[self.priority]
        self.calls = 0
        self.arrived_at = at  # of the present call
        self.served_at: float | None = None

    @property
    def in_time(self) -> bool:
        """Return whether the first event came within the objective."""
        if self.served_at is None:
            return False
        first_s = self.served_at + FIRST_EVENT_S - self.began_at
        return first_s <= self.objective_s

    @property
    def give_up_at(self) -> float:
        """Return when the entry VM gives the present call up."""
        left_s = self.began_at + self.timeout_s - self.arrived_at
        return self.arrived_at + min(0.3 * left_s, 2 * self.objective_s)


class Deck:
    """Priorities and sizes in the same mix for each account.

    Drawn one by one, the mix would differ between accounts by chance.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._left: list[tuple[int, int]] = []

    def draw(self) -> tuple[int, int]:
        """Return the priority and the size of the next request."""
        if not self._left:
            kinds = itertools.product(KINDS, SIZES)
            copies = [[kind] * _copies(*kind) for kind in kinds]
            self._left = list(itertools.chain.from_iterable(copies))
            self._rng.shuffle(self._left)
        return self._left.pop()


def _copies(priority: int, size: int) -> int:
    return round(100 * KINDS[priority][2] * SIZES[size])


class Policy(Protocol):
    """Decides which waiting request takes a free slot, and when."""

    refused_early: int
    held: int

    def arrive(self, caller: Caller, now: float) -> None:
        """Take a call."""

    def on_free(self, now: float) -> None:
        """Take a slot that a request has left."""

    def on_update(self, now: float) -> None:
        """Take what wakes all requests at once."""


class Vm:
    """The slots, the clock and the callers' behaviour."""

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.free = load.slots
        self.callers: list[Caller] = []
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._count = 0

    def at(self, when: float, action: Callable[[float], None]) -> None:
        """Do something at a time."""
        self._count += 1
        heapq.heappush(self._events, (when, self._count, action))

    def start(self, policy: Policy, caller: Caller, now: float) -> None:
        """Send a request to a slot."""
        assert self.free > 0
        self.free -= 1
        caller.served_at = now
        took_s = self.load.mean_s * caller.size / MEAN_SIZE

        def end(ended_at: float) -> None:
            self.free += 1
            policy.on_free(ended_at)

        self.at(now + min(FIRST_EVENT_S, took_s / 2), policy.on_update)
        self.at(now + took_s, end)

    def refuse(
        self, policy: Policy, caller: Caller, retry_s: float, now: float
    ) -> None:
        """Let a refused caller return once, as it was told to."""
        left_s = caller.began_at + caller.timeout_s - now
        if caller.calls > 1 or left_s <= 0:
            return
        wait_s = min(retry_s, left_s / 3)

        def again(at: float) -> None:
            caller.arrived_at = at
            caller.calls += 1
            policy.arrive(caller, at)

        self.at(now + wait_s, again)

    def play(self, policy: Policy) -> None:
        """Let all callers come and go."""
        load = self.load
        per_s = load.demand * load.slots / load.mean_s
        weights = [load.greedy, *([1.0] * (load.accounts - 1))]
        total = sum(weights)
        for number, weight in enumerate(weights):
            deck = Deck(self.rng)
            now = 0.0
            while now < load.seconds:
                now += self.rng.expovariate(per_s * weight / total)
                priority, size = deck.draw()
                if load.kinds_by_account:
                    priority = number % len(KINDS)
                caller = Caller(f'a{number}', now, priority, size)
                caller.calls = 1
                self.callers.append(caller)
                self.at(now, lambda at, one=caller: policy.arrive(one, at))
        while self._events:
            at, _count, action = heapq.heappop(self._events)
            action(at)


class TaskOrder:
    """Each request polls; whichever looks first takes the slot."""

    def __init__(self, vm: Vm) -> None:
        self._vm = vm
        self._queue = WaitQueue()
        self._waiting: dict[Caller, float] = {}  # and when each has looked
        self.refused_early = 0
        self.held = 0

    def arrive(self, caller: Caller, now: float) -> None:
        """Take a call."""
        if self._vm.free:
            self._send(caller, now)
            return
        wait_s = self._queue.expected_wait_s(POOL, caller.priority, now)
        if wait_s and now + wait_s > caller.give_up_at:
            self.refused_early += 1
            self._vm.refuse(self, caller, wait_s, now)
            return
        self._queue.join(POOL, caller.priority)
        self._look_again(caller, now)

    def on_free(self, now: float) -> None:
        """Take a slot that a request has left: nothing is told of it."""

    def on_update(self, now: float) -> None:
        """Take what wakes all requests at once."""
        for caller in sorted(self._waiting, key=self._waiting.__getitem__):
            self._look(caller, now)

    def _look(self, caller: Caller, now: float) -> None:
        if self._vm.free:
            self._leave(caller)
            self._send(caller, now)
        elif now >= caller.give_up_at:
            self._leave(caller)
            self.held += 1
            self._vm.refuse(self, caller, FIXED_RETRY_AFTER_S, now)
        else:
            self._look_again(caller, now)

    def _look_again(self, caller: Caller, now: float) -> None:
        self._waiting[caller] = now

        def look(at: float) -> None:
            if self._waiting.get(caller) == now:
                self._look(caller, at)

        self._vm.at(now + POLL_S, look)

    def _leave(self, caller: Caller) -> None:
        self._waiting.pop(caller)
        self._queue.leave(POOL, caller.priority)

    def _send(self, caller: Caller, now: float) -> None:
        self._queue.record_send(POOL, now)
        self._vm.start(self, caller, now)


class FairOrder:
    """The order of ``WaitingOrder``."""

    def __init__(self, vm: Vm) -> None:
        self._vm = vm
        self.order = WaitingOrder()
        self._waiting: dict[int, Caller] = {}
        self._requests: dict[Caller, WaitingRequest] = {}
        self.refused_early = 0
        self.held = 0

    def arrive(self, caller: Caller, now: float) -> None:
        """Take a call."""
        returns = caller.calls > 1
        if returns:
            returns = self._vm.rng.random() < self._vm.load.recognised
        first_at = caller.began_at if returns else caller.arrived_at
        request = WaitingRequest(
            caller.account,
            1.0,
            caller.priority,
            caller.arrived_at,
            first_at + caller.objective_s - FIRST_EVENT_S,
            caller.give_up_at,
            caller.size,
            returns,
        )
        self._requests[caller] = request
        if self._vm.free and not self._waiting:
            self._send(caller, now)
            return
        wait_s = self.order.expected_wait_s(request, now)
        if now + wait_s > caller.give_up_at:
            self.refused_early += 1
            jitter = self._vm.rng.uniform(0.75, 1.25)
            retry_s = min(MAX_RETRY_AFTER_S, wait_s * jitter)
            self._vm.refuse(self, caller, retry_s, now)
            return
        number = self.order.join(request, now)
        self._waiting[number] = caller
        self._vm.at(caller.give_up_at, lambda at: self._give_up(number, at))
        self.on_free(now)

    def on_free(self, now: float) -> None:
        """Take a slot that a request has left."""
        while self._vm.free and self._waiting:
            number = next(self.order.in_order(now))
            self.order.leave(number, now)
            self._send(self._waiting.pop(number), now)

    def on_update(self, now: float) -> None:
        """Take what wakes all requests: none can be sent for it here."""

    def _give_up(self, number: int, now: float) -> None:
        caller = self._waiting.pop(number, None)
        if caller:
            self.order.leave(number, now)
            self.held += 1
            self._vm.refuse(self, caller, FIXED_RETRY_AFTER_S, now)

    def _send(self, caller: Caller, now: float) -> None:
        self.order.record_send(self._requests[caller], now)
        self._vm.start(self, caller, now)


class Shares(NamedTuple):
    """Parts of the callers that were served, and served in time."""

    served: float
    in_time: float


class Result(NamedTuple):
    """What callers got."""

    total: Shares
    by_account: dict[str, Shares]
    by_priority: dict[int, Shares]
    by_size: dict[int, Shares]
    callers: int
    held: int  # refused only after they had waited as long as they may
    refused_early: int

    @property
    def worst_to_mean(self) -> float:
        """Return the worst of the accounts at their own rate to their mean."""
        own = [
            shares.in_time
            for name, shares in self.by_account.items()
            if name != 'a0'
        ]
        return min(own) * len(own) / sum(own)


def play(
    make_policy: Callable[[Vm], Policy], load: Load, seed: int = 1
) -> Result:
    """Play a load and return what callers got."""
    vm = Vm(load, seed)
    policy = make_policy(vm)
    vm.play(policy)
    callers = [one for one in vm.callers if one.began_at > WARM_UP_S]
    return Result(
        _shares(callers),
        _group(callers, lambda one: one.account),
        _group(callers, lambda one: one.priority),
        _group(callers, lambda one: one.size),
        len(callers),
        policy.held,
        policy.refused_early,
    )


def _group(callers: Iterable[Caller], key: Callable[[Caller], object]) -> dict:
    groups = defaultdict(list)
    for caller in callers:
        groups[key(caller)].append(caller)
    return {name: _shares(groups[name]) for name in sorted(groups)}


def _shares(callers: list[Caller]) -> Shares:
    served = sum(one.served_at is not None for one in callers)
    in_time = sum(one.in_time for one in callers)
    return Shares(served / len(callers), in_time / len(callers))
