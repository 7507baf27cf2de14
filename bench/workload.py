"""Arrivals of a deployment, drawn from a seed."""

import json
import random
from itertools import accumulate
from pathlib import Path
from typing import Any, Final, NamedTuple

from lovagemast_core import parse_record

from standins.virtual_target import STEP_GROWTH, STEP_S

FOLDER: Final = Path(__file__).parent / 'workloads'
MOVED_PART: Final = 0.1  # of the ranks, at each shift of popularity


class Workload(NamedTuple):
    """Sizes and load of a deployment; ``reasons`` says why."""

    name: str
    reasons: dict[str, str]
    zones: int
    vms: int
    engines: int
    max_in_flight: int
    adapters: int
    adapter_slots: int
    store_loads_per_s: float
    zipf: float
    shift_every_s: float
    load: float
    prompt_tokens: int
    max_tokens: tuple[int, ...]
    used_part: tuple[float, ...]
    accounts: tuple[float, ...]
    greedy: int
    greedy_factor: float
    rate_headroom: float
    burst_s: float
    vm_skew: float
    warm_up_s: float
    duration_s: float
    zone_out: int
    zone_out_s: tuple[float, ...]

    @classmethod
    def from_name(cls, name: str) -> 'Workload':
        """Return the workload in a file of the same name.

        Raises :exc:`ValueError` if the file has a fault.
        """
        document = json.loads((FOLDER / f'{name}.json').read_text())
        workload, faults = parse_record(cls, document)
        if workload is None:
            raise ValueError(str(faults[0]))
        return workload

    def engines_in_zone(self, zone: int) -> int:
        """Return how many engines a zone has."""
        engines = range(self.engines)
        return sum(1 for number in engines if number % self.zones == zone)

    def engine_tokens_s(self) -> float:
        """Return what one engine produces with a full batch, tokens/s."""
        batch = self.max_in_flight
        return batch / (STEP_S * (1 + STEP_GROWTH * (batch - 1)))

    def offered_tokens_s(self, account: int) -> float:
        """Return the output that an account's share asks for, tokens/s."""
        capacity = self.engine_tokens_s() * self.engines
        return self.accounts[account] * self.load * capacity

    def rate(self, account: int) -> float:
        """Return an account's rate: prompts and answers, tokens/s."""
        mean = _mean(self.max_tokens) * _mean(self.used_part)
        per_output = (self.prompt_tokens + mean) / mean
        offered = self.offered_tokens_s(account)
        return float(offered * per_output * self.rate_headroom)

    def burst(self, account: int) -> float:
        """Return an account's burst, tokens."""
        return self.rate(account) * self.burst_s


class Arrival(NamedTuple):
    """One request as a caller sends it."""

    at: float  # s
    account: int
    adapter: str
    vm: int
    max_tokens: int
    used_tokens: int

    def cost(self, prompt_tokens: int) -> int:
        """Return the tokens that the request really uses."""
        return prompt_tokens + self.used_tokens


def draw_arrivals(workload: Workload, seed: int) -> list[Arrival]:
    """Return all arrivals in order of time."""
    rng = random.Random(seed)
    ranks = _Popularity(workload, rng)
    arrivals: list[Arrival] = []
    for account in range(len(workload.accounts)):
        arrivals += _account_arrivals(workload, account, rng)
    arrivals.sort()
    shift_at = workload.shift_every_s
    drawn = []
    for arrival in arrivals:
        while arrival.at >= shift_at:
            ranks.shift()
            shift_at += workload.shift_every_s
        drawn.append(arrival._replace(adapter=ranks.draw(arrival.account)))
    return drawn


def first_adapters(workload: Workload, seed: int) -> list[str]:
    """Return the adapters by popularity at the start."""
    rng = random.Random(seed)
    return list(_Popularity(workload, rng).names)


def _account_arrivals(
    workload: Workload,
    account: int,
    rng: random.Random,
) -> list[Arrival]:
    mean = _mean(workload.max_tokens) * _mean(workload.used_part)
    per_s = workload.offered_tokens_s(account) / mean
    if account == workload.greedy:
        per_s *= workload.greedy_factor * workload.rate_headroom
    arrivals = []
    at = rng.expovariate(per_s)
    while at < workload.duration_s:
        limit = rng.randint(*workload.max_tokens)
        used = max(1, int(limit * rng.uniform(*workload.used_part)))
        vm = account % workload.vms
        if rng.random() > workload.vm_skew:
            vm = rng.randrange(workload.vms)
        arrivals.append(Arrival(at, account, '', vm, limit, used))
        at += rng.expovariate(per_s)
    return arrivals


class _Popularity:
    """Zipf popularity over adapters whose ranks shift."""

    def __init__(self, workload: Workload, rng: random.Random) -> None:
        self._rng = rng
        count = workload.adapters
        owners = len(workload.accounts)
        self.names = [
            f'c{number % owners}-a{number}@1' for number in range(count)
        ]
        rng.shuffle(self.names)
        self._weights = [1 / rank**workload.zipf for rank in range(1, count)]
        self._totals = list(accumulate(self._weights))

    def draw(self, account: int) -> str:
        """Return an adapter of an account by popularity."""
        while True:
            name = self._rng.choices(
                self.names[: len(self._totals)],
                cum_weights=self._totals,
            )[0]
            if name.startswith(f'c{account}-'):
                return name

    def shift(self) -> None:
        """Let a part of the adapters change places."""
        count = int(len(self.names) * MOVED_PART)
        places = self._rng.sample(range(len(self.names)), count)
        moved = [self.names[place] for place in places]
        self._rng.shuffle(moved)
        for place, name in zip(places, moved, strict=True):
            self.names[place] = name


def _mean(bounds: tuple[Any, ...]) -> float:
    return float(sum(bounds)) / len(bounds)
