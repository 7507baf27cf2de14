"""Service measures of a policy on a workload, and their bounds."""

import random
from typing import Any, Final, NamedTuple

from lovagemast_core import (
    DEFAULT_POLICY,
    Policy,
    RandomPlacement,
    Reason,
    least_recently_used,
)

from .bounds import clairvoyant_stalls, ideal_admissions, ideal_mean_batch
from .deployment import Deployment, Outcome
from .workload import Workload, draw_arrivals, first_adapters

P95: Final = 0.95
DIGITS: Final = 4


class Measures(NamedTuple):
    """The service measures of a run, after its warm-up.

    ``load_stall_share`` is the fraction of requests that waited for a load,
    ``load_stall_p95_ms`` the 95th percentile of their waits.
    ``batch_efficiency`` is the mean batch size of busy engines.
    ``worst_account_share``, ``refused_within_rate`` and
    ``zone_change_service`` are relative to what a central token bucket per
    account admits, ``answered_once_whole`` to the responses that started.
    """

    load_stall_p95_ms: float | None
    load_stall_share: float | None
    batch_efficiency: float | None
    worst_account_share: float | None
    refused_within_rate: float | None
    zone_change_service: float | None
    answered_once_whole: float | None


def measure(workload: Workload, seed: int, policy: Policy) -> Measures:
    """Run a workload under a policy and return the measures."""
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
    measured = [outcome for _number, outcome in counted]
    return Measures(
        *_stall_measures(stalls),
        _round(deployment.mean_batch()),
        _round(_worst_account_share(workload, measured)),
        _round(_refused_within_rate(workload, measured)),
        _round(_zone_change_service(workload, measured)),
        _round(_answered_once_whole(measured)),
    )


def measure_bound(workload: Workload, seed: int) -> Measures:
    """Return the bounds of the measures with full information."""
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
        _round(ideal_mean_batch(workload, admitted)),
        1.0,
        0.0,
        1.0,
        1.0,
    )


def baseline_policy(seed: int) -> Policy:
    """Return a policy of random targets, LRU eviction and equal rate shares."""
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
    """Return the p95 of the stalls in ms and the fraction that stalled."""
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
        of_account = [one for one in outcomes if one.arrival.account == account]
        entitled = sum(_cost(workload, one) for one in of_account if one.ideal)
        served = sum(
            _cost(workload, one) for one in of_account if _is_complete(one)
        )
        shares.append(served / entitled)
    return min(1.0, *shares)


def _refused_within_rate(
    workload: Workload,
    outcomes: list[Outcome],
) -> float:
    """Return the fraction of the entitled requests that were refused.

    An account that exceeds its rate is entitled to as many tokens as a central
    bucket would admit, no matter for which requests; its shortfall is counted
    in requests of mean size.
    """
    entitled = sum(1 for one in outcomes if one.ideal)
    refused = 0.0
    for account in range(len(workload.accounts)):
        of_account = [one for one in outcomes if one.arrival.account == account]
        if account == workload.greedy:
            refused += _shortfall(workload, of_account)
        else:
            refused += sum(
                1 for one in of_account if one.ideal and _is_refused(one)
            )
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
    entitled_tokens = sum(
        one.arrival.used_tokens for one in during if one.ideal
    )
    served = sum(one.arrival.used_tokens for one in during if _is_complete(one))
    remaining_engines = workload.engines - workload.engines_in_zone(
        workload.zone_out
    )
    capacity_tokens = (
        workload.engine_tokens_s() * remaining_engines * (back_at - out_at)
    )
    return min(1.0, served / min(entitled_tokens, capacity_tokens))


def _answered_once_whole(outcomes: list[Outcome]) -> float:
    """Return the fraction of started responses that ended once and complete."""
    started = [one for one in outcomes if one.answer and one.answer.chunks]
    complete = [
        one for one in started if _is_complete(one) and _end_count(one) == 1
    ]
    return len(complete) / len(started)


def _is_complete(outcome: Outcome) -> bool:
    return outcome.answer is not None and outcome.answer.complete


def _end_count(outcome: Outcome) -> int:
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
