"""Callers' requests at the entry VMs of a fleet whose sync is measured."""

import itertools
import random
from bisect import bisect_left

from lovagemast_core.adapters import (
    AdapterLabel,
)
from lovagemast_core.entry import TargetRequirements
from lovagemast_core.syncrelay import ENTRY_SYNC

from .syncclock import SyncClock
from .syncparts import (
    ACCOUNTS,
    ADAPTERS,
    GIVE_UP_S,
    POOL,
    REQUEST_S,
    RETRY_S,
    SKEW,
    TOKENS,
    Client,
    Engine,
    Entry,
    LoadShape,
    Meter,
    Request,
    make_index,
)


class RequestLoad(SyncClock):
    """Requests that wait for tokens, then for a target with their adapter."""

    def __init__(self, shape: LoadShape, seed: int) -> None:
        super().__init__()
        self.shape = shape
        self.meter = Meter()
        self._rng = random.Random(seed)
        self._index = make_index()
        weights = [(rank + 1) ** -SKEW for rank in range(ADAPTERS)]
        self._weights = list(itertools.accumulate(weights))
        self._engines = {
            f'e{number}': Engine(f'e{number}', number)
            for number in range(shape.engines)
        }
        self._entries = [
            Entry(
                Client(f'v{number}', f'r{number % shape.relays}'),
                f'z{number % 3}',
            )
            for number in range(shape.entries)
        ]

    def _ask_relay(self, entry: Entry) -> None:
        """Send an entry VM's sync request to its relay."""
        raise NotImplementedError

    def _arrive(self) -> None:
        entry = self._rng.choice(self._entries)
        point = self._rng.random() * self._weights[-1]
        adapter = f'ad{bisect_left(self._weights, point)}'
        account = self._index.accounts[f'a{self._rng.randrange(ACCOUNTS)}']
        wanted = TargetRequirements(POOL, 'm', adapter, None)
        entry.tokens.record_demand(account, TOKENS, self.now)
        entry.load.adapter_requested(wanted)
        self._await_tokens(Request(entry, wanted, account, self.now, False))
        self._at(self._rng.expovariate(self.shape.requests_per_s), self._arrive)

    def _await_tokens(self, req: Request) -> None:
        """Start a request once its account has tokens."""
        tokens = req.entry.tokens
        if tokens.spend(req.account, TOKENS, self.now):
            if req.is_waiting:
                tokens.add_waiting(req.account, -TOKENS, self.now)
            self._await_adapter(req._replace(is_waiting=False))
            return
        if not req.is_waiting:
            tokens.add_waiting(req.account, TOKENS, self.now)
        if self._may_wait(req):
            later = req._replace(is_waiting=True)
            self._at(RETRY_S, self._await_tokens, later)
        else:
            tokens.add_waiting(req.account, -TOKENS, self.now)

    def _await_adapter(self, req: Request) -> None:
        """Send a request once a target holds its adapter."""
        load = req.entry.load
        target = self._find(req.entry, req.wanted)
        if target:
            if req.is_waiting:
                load.adapter_awaited(req.wanted, -1)
            label = AdapterLabel('m', req.wanted.adapter, 1)
            load.request_started(target, label)
            self.meter.counts['served'] += 1
            took_s = self._rng.expovariate(1 / REQUEST_S)
            self._at(took_s, load.request_ended, target, label)
            return
        if not req.is_waiting:
            load.adapter_awaited(req.wanted, 1)
        if self._may_wait(req):
            later = req._replace(is_waiting=True)
            self._at(RETRY_S, self._await_adapter, later)
        else:
            load.adapter_awaited(req.wanted, -1)

    def _may_wait(self, req: Request) -> bool:
        """Return whether a request waits on; it asks at once at first."""
        if not req.is_waiting:
            entry = req.entry
            self._wake(entry.client, ENTRY_SYNC, self._ask_relay, entry)
        return self.now - req.arrived_at <= GIVE_UP_S

    def _find(self, entry: Entry, wanted: TargetRequirements) -> str:
        ready = [
            known.record.target
            for known in entry.view.find_targets(POOL, 'm', wanted.adapter)
        ]
        ready = [
            name
            for name in ready
            if wanted.adapter in self._engines[name].adapters
        ]
        return min(ready, key=entry.load.running_at, default='')
