"""Command-line entry point: ``python -m soak --seed N``."""

import argparse
import asyncio
import logging
import sys
import tempfile
from pathlib import Path

from ._soak import Soak


def main() -> int:
    """Run a soak for each seed; return 1 if any found a violation."""
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1, help='number of seeds')
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--callers', type=int, default=8)
    parser.add_argument('--engines', type=int, default=3)
    parser.add_argument(
        '--from',
        dest='former_build',
        default='',
        metavar='COMMIT',
        help='the build that all VMs run at first',
    )
    parser.add_argument('--keep', type=Path, help='folder to write logs to')
    args = parser.parse_args()
    # Connection resets are injected, so aiohttp's errors about them are noise.
    logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
    has_violations = False
    for seed in range(args.seed, args.seed + args.count):
        has_violations |= _run(seed, args)
    return int(has_violations)


def _run(seed: int, args: argparse.Namespace) -> bool:
    """Run one seed; return whether it found a violation."""
    parent = args.keep or Path(tempfile.gettempdir())
    parent.mkdir(parents=True, exist_ok=True)
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-', dir=parent))
    soak = Soak(
        seed,
        args.seconds,
        folder,
        callers=args.callers,
        engines=args.engines,
        former_build=args.former_build,
    )
    result = asyncio.run(soak.run())
    for violation in result.violations:
        sys.stdout.write(f'{violation}\n')
    if result.violations:
        sys.stdout.write(f'logs: {folder}\n')
    sys.stdout.write(
        f'soak: {seed} requests={result.requests} faults={result.faults} '
        f'violations={len(result.violations)}\n',
    )
    sys.stdout.flush()
    return bool(result.violations)


if __name__ == '__main__':
    sys.exit(main())
