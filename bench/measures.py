"""The brief's measures of a workload, a policy and a bound."""

import random
from typing import Any, Final, NamedTuple

from lovagemast_core import (
    DEFAULT_POLICY,
    Policy,
    RandomPlacement,
    Reason,
    least_recently_used,
)

from .bounds import clairvoyant_stalls, ideal_admissions, shared_batch
from .deployment import Deployment, Outcome
from .workload import Workload, draw_arrivals, first_adapters

P95: Final = 0.95
DIGITS: Final = 4


class Measures(NamedTuple):
    """The measures of the brief."""

    load_stall_p95_ms: float | None
    load_stall_share: float | None
    batch_efficiency: float | None
    worst_account_share: float | None
    refused_within_rate: float | None
    zone_change_service: float | None
    answered_once_whole: float | None


def measure(workload: Workload, seed: int, policy: Policy) -> Measures:
    """Run a policy and return its measures."""
    deployment = Deployment(workload, seed, policy)
    outcomes = deployment.run()
    counted = [
        (number, outcome)
        for number, outcome in enumerate(outcomes)
        if outcome.arrival.at >= workload.warm_up_s
    ]
    stalls = []
    for number, _outcome in counted:
        request = deployment.request_of(number)
        if request in deployment.load_waits:
            stalls.append(deployment.load_waits[request])
    kept = [outcome for _number, outcome in counted]
    return Measures(
        *_stall_measures(stalls),
        _round(deployment.mean_batch()),
        _round(_worst_account_share(workload, kept)),
        _round(_refused_within_rate(workload, kept)),
        _round(_zone_change_service(workload, kept)),
        _round(_answered_once_whole(kept)),
    )


def measure_bound(workload: Workload, seed: int) -> Measures:
    """Return what full information reaches on the same arrivals."""
    arrivals = draw_arrivals(workload, seed)
    admitted = [
        arrival
        for arrival, ideal in zip(
            arrivals,
            ideal_admissions(workload, arrivals),
            strict=True,
        )
        if ideal
    ]
    preloaded = first_adapters(workload, seed)
    stalls = [
        stall
        for arrival, stall in zip(
            admitted,
            clairvoyant_stalls(workload, admitted, preloaded),
            strict=True,
        )
        if arrival.at >= workload.warm_up_s
    ]
    return Measures(
        *_stall_measures(stalls),
        _round(shared_batch(workload, admitted)),
        1.0,
        0.0,
        1.0,
        1.0,
    )


def baseline_policy(seed: int) -> Policy:
    """Return random targets, LRU and rates split evenly."""
    rng = random.Random(seed)
    return Policy(
        RandomPlacement(rng.randrange),
        least_recently_used,
        lends_tokens=False,
    )


def measure_all(workload: Workload, seed: int) -> dict[str, Any]:
    """Return the measures of the policy, the baseline and the bound."""
    return {
        'policy': measure(workload, seed, DEFAULT_POLICY)._asdict(),
        'baseline': measure(workload, seed, baseline_policy(seed))._asdict(),
        'bound': measure_bound(workload, seed)._asdict(),
    }


def _stall_measures(stalls: list[float]) -> tuple[float | None, float]:
    """Return the p95 of the stalls in ms, and the part that stalled."""
    stalled = sorted(stall for stall in stalls if stall > 0)
    if not stalled:
        return None, 0.0
    p95 = stalled[int(P95 * (len(stalled) - 1))]
    return _round(p95 * 1000), _round(len(stalled) / len(stalls))


def _worst_account_share(
    workload: Workload,
    outcomes: list[Outcome],
) -> float:
    shares = []
    for account in range(len(workload.accounts)):
        mine = [one for one in outcomes if one.arrival.account == account]
        entitled = sum(_cost(workload, one) for one in mine if one.ideal)
        served = sum(_cost(workload, one) for one in mine if _is_whole(one))
        shares.append(served / entitled)
    return min(1.0, *shares)


def _refused_within_rate(
    workload: Workload,
    outcomes: list[Outcome],
) -> float:
    """Return the part of the entitled requests that was refused.

    An account over its rate is entitled to as many tokens as a central
    bucket would admit, whichever requests they go to; its shortfall counts
    in requests of mean size.
    """
    entitled = sum(1 for one in outcomes if one.ideal)
    refused = 0.0
    for account in range(len(workload.accounts)):
        mine = [one for one in outcomes if one.arrival.account == account]
        if account == workload.greedy:
            refused += _shortfall(workload, mine)
        else:
            refused += sum(1 for one in mine if one.ideal and _is_refused(one))
    return refused / entitled


def _shortfall(workload: Workload, outcomes: list[Outcome]) -> float:
    costs = [_cost(workload, one) for one in outcomes]
    ideal = sum(_cost(workload, one) for one in outcomes if one.ideal)
    admitted = sum(
        _cost(workload, one) for one in outcomes if not _is_over_rate(one)
    )
    return max(0, ideal - admitted) * len(costs) / sum(costs)


def _zone_change_service(
    workload: Workload,
    outcomes: list[Outcome],
) -> float:
    out_at, _gone_at, back_at = workload.zone_out_s
    during = [one for one in outcomes if out_at <= one.arrival.at <= back_at]
    wanted = sum(one.arrival.used_tokens for one in during if one.ideal)
    served = sum(one.arrival.used_tokens for one in during if _is_whole(one))
    left = workload.engines - workload.engines_in_zone(workload.zone_out)
    could = workload.engine_tokens_s() * left * (back_at - out_at)
    return min(1.0, served / min(wanted, could))


def _answered_once_whole(outcomes: list[Outcome]) -> float:
    """Return the part of started answers that came once and whole."""
    started = [one for one in outcomes if one.answer and one.answer.chunks]
    whole = [one for one in started if _is_whole(one) and _ends(one) == 1]
    return len(whole) / len(started)


def _is_whole(outcome: Outcome) -> bool:
    return outcome.answer is not None and outcome.answer.complete


def _ends(outcome: Outcome) -> int:
    return outcome.answer.end_count if outcome.answer else 0


def _is_refused(outcome: Outcome) -> bool:
    return outcome.answer is not None and outcome.answer.refusal is not None


def _is_over_rate(outcome: Outcome) -> bool:
    refusal = outcome.answer.refusal if outcome.answer else None
    return refusal is not None and refusal.reason is Reason.OVER_RATE


def _cost(workload: Workload, outcome: Outcome) -> int:
    return outcome.arrival.cost(workload.prompt_tokens)


def _round(value: float) -> float:
    return round(value, DIGITS)
