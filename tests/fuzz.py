"""The long run of the state machine.

``python -m tests.fuzz --seed n --steps m`` prints the minimal trace of a
violation, then one line with the number of violations.
"""

import argparse
import sys
import traceback

from hypothesis import HealthCheck, Phase, Verbosity, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from .fleetmachine import FleetMachine

STEPS_PER_RUN = 40


def run_fleet_machine(
    number: int, examples: int, *, shrink: bool = True
) -> None:
    """Run the fleet state machine from a seed.

    Raises :exc:`AssertionError` for a violated guarantee.
    """
    phases = [Phase.generate]
    if shrink:
        phases.append(Phase.shrink)
    chosen = settings(
        max_examples=examples,
        stateful_step_count=STEPS_PER_RUN,
        deadline=None,
        database=None,
        phases=phases,
        verbosity=Verbosity.normal,
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(
        seed(number)(type('SeededMachine', (FleetMachine,), {})),
        settings=chosen,
    )


def main() -> int:
    """Run from the command line; return 1 if there was a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--steps', type=int, default=400)
    parser.add_argument(
        '--no-shrink',
        action='store_true',
        help='print the first trace found without minimizing it',
    )
    options = parser.parse_args()
    examples = max(1, options.steps // STEPS_PER_RUN)
    violations = 0
    try:
        run_fleet_machine(options.seed, examples, shrink=not options.no_shrink)
    except Exception:  # an exception in the core is a violation too
        traceback.print_exc()
        violations = 1
    print(f'fuzz: {options.seed} steps={options.steps} violations={violations}')
    return violations


if __name__ == '__main__':
    sys.exit(main())
