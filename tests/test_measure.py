"""Tests of the service measures against the required values."""

import pytest
from lovagemast_core import DEFAULT_POLICY

from bench.measures import Measures, measure, measure_bound
from bench.workload import Workload

CASES = (
    ('skovgaard', 1),
    ('choeurlab', 1),
    ('skovgaard', 2),
    ('choeurlab', 2),
)


class MeasuredDeployment:
    """The policy's and the bound's measures of one deployment."""

    def __init__(self, name: str, seed: int) -> None:
        workload = Workload.from_name(name)
        self.policy: Measures = measure(workload, seed, DEFAULT_POLICY)
        self.bound: Measures = measure_bound(workload, seed)


@pytest.fixture(
    scope='module',
    params=CASES,
    ids=[f'{name}-{seed}' for name, seed in CASES],
)
def deployment(request: pytest.FixtureRequest) -> MeasuredDeployment:
    """Measure one deployment with one seed."""
    return MeasuredDeployment(*request.param)


class TestTargets:
    """Each required value, on fixed seeds."""

    def test_refused_within_rate(self, deployment: MeasuredDeployment) -> None:
        """At most 0.1 percent of the requests within rate are refused."""
        assert deployment.policy.refused_within_rate <= 0.001

    def test_worst_account_share(self, deployment: MeasuredDeployment) -> None:
        """Every account gets at least 95 percent of its share."""
        assert deployment.policy.worst_account_share >= 0.95

    def test_zone_change_service(self, deployment: MeasuredDeployment) -> None:
        """A zone outage costs at most 1 percent of the remaining capacity."""
        assert deployment.policy.zone_change_service >= 0.99

    def test_load_stall_p95(self, deployment: MeasuredDeployment) -> None:
        """Load stalls exceed the clairvoyant bound by at most 15 percent."""
        limit_ms = 1.15 * deployment.bound.load_stall_p95_ms
        assert deployment.policy.load_stall_p95_ms <= limit_ms

    def test_batch_efficiency(self, deployment: MeasuredDeployment) -> None:
        """Batches reach 90 percent of the size with all adapters everywhere."""
        min_batch = 0.9 * deployment.bound.batch_efficiency
        assert deployment.policy.batch_efficiency >= min_batch

    def test_answered_once_whole(self, deployment: MeasuredDeployment) -> None:
        """Every response that started ended once and complete."""
        assert deployment.policy.answered_once_whole == 1
