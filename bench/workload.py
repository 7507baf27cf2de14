"""Workloads of deployments and their arrivals, drawn from a seed."""

import json
import random
from itertools import accumulate
from pathlib import Path
from typing import Any, Final, NamedTuple

from lovagemast_core import parse_record

from standins.virtual_target import STEP_GROWTH, STEP_S

FOLDER: Final = Path(__file__).parent / 'workloads'
SHUFFLED_FRACTION: Final = 0.1  # of the ranks, at each popularity shift


class Workload(NamedTuple):
    """The sizes and load of a deployment.

    ``reasons`` explains the values by field name.
    """

    name: str
    reasons: dict[str, str]
    zones: int
    vms: int
    engines: int
    max_in_flight: int
    adapters: int
    adapter_slots: int
    store_loads_per_s: float
    zipf: float  # exponent of the popularity
    shift_every_s: float
    load: float  # fraction of the engines' capacity
    prompt_tokens: int
    max_tokens: tuple[int, ...]  # lowest and highest
    used_part: tuple[float, ...]  # of max_tokens, lowest and highest
    accounts: tuple[float, ...]  # each one's share of the load
    greedy: int  # account that exceeds its rate
    greedy_factor: float  # times its rate
    rate_headroom: float  # of the rate over the offered load
    burst_s: float
    vm_skew: float  # fraction of an account's requests to one VM
    warm_up_s: float
    duration_s: float
    zone_out: int
    zone_out_s: tuple[float, ...]  # taken out, lost, back

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
        """Return the output that an account requests, tokens/s."""
        capacity = self.engine_tokens_s() * self.engines
        return self.accounts[account] * self.load * capacity

    def rate(self, account: int) -> float:
        """Return an account's rate limit for prompt and output, tokens/s."""
        mean = _mean(self.max_tokens) * _mean(self.used_part)
        per_output = (self.prompt_tokens + mean) / mean
        offered = self.offered_tokens_s(account)
        return float(offered * per_output * self.rate_headroom)

    def burst(self, account: int) -> float:
        """Return an account's burst limit, tokens."""
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
        """Return the tokens that the request actually uses."""
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
    """Return the adapters in order of initial popularity."""
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
    """Zipf-distributed popularity of adapters, whose ranks shift."""

    def __init__(self, workload: Workload, rng: random.Random) -> None:
        self._rng = rng
        count = workload.adapters
        owners = len(workload.accounts)
        self.names = [
            f'c{number % owners}-a{number}@1' for number in range(count)
        ]
        rng.shuffle(self.names)
        self._weights = [1 / rank**workload.zipf for rank in range(1, count)]
        self._cumulative_weights = list(accumulate(self._weights))

    def draw(self, account: int) -> str:
        """Draw an adapter of an account by popularity."""
        while True:
            name = self._rng.choices(
                self.names[: len(self._cumulative_weights)],
                cum_weights=self._cumulative_weights,
            )[0]
            if name.startswith(f'c{account}-'):
                return name

    def shift(self) -> None:
        """Shuffle the ranks of a fraction of the adapters."""
        count = int(len(self.names) * SHUFFLED_FRACTION)
        places = self._rng.sample(range(len(self.names)), count)
        moved = [self.names[place] for place in places]
        self._rng.shuffle(moved)
        for place, name in zip(places, moved, strict=True):
            self.names[place] = name


def _mean(bounds: tuple[Any, ...]) -> float:
    return float(sum(bounds)) / len(bounds)
