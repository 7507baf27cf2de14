"""Runs the fleet state machine on fixed seeds."""

import pytest

from .fuzz import run_fleet_machine

EXAMPLES = 6


class TestSeeds:
    """The guarantees hold under faults."""

    @pytest.mark.parametrize('seed', range(1, 7))
    def test_promises_hold(self, seed: int) -> None:
        """No guarantee is violated on this seed."""
        run_fleet_machine(seed, EXAMPLES)
