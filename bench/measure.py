"""Prints the service measures of both deployments as a JSON object."""

import argparse
import json
import sys

from .measures import measure_all
from .workload import Workload

DEPLOYMENTS = ('skovgaard', 'choeurlab')


def main() -> int:
    """Measure both deployments and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    document = {
        name: measure_all(Workload.from_name(name), options.seed)
        for name in DEPLOYMENTS
    }
    json.dump(document, sys.stdout, indent=2)
    sys.stdout.write('\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
