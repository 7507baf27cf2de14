"""The command: ``python -m soak --seed N``."""

import argparse
import asyncio
import logging
import sys
import tempfile
from pathlib import Path

from ._soak import Soak


def main() -> int:
    """Run soaks; return 1 if one broke a promise."""
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1, help='seeds in turn')
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--callers', type=int, default=8)
    parser.add_argument('--engines', type=int, default=3)
    parser.add_argument('--keep', type=Path, help='folder for logs')
    args = parser.parse_args()
    # Resets are injected; the stand-ins' complaints of them tell nothing.
    logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
    broken = False
    for seed in range(args.seed, args.seed + args.count):
        broken |= _run(seed, args)
    return int(broken)


def _run(seed: int, args: argparse.Namespace) -> bool:
    """Run one seed; return whether it broke a promise."""
    parent = args.keep or Path(tempfile.gettempdir())
    parent.mkdir(parents=True, exist_ok=True)
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-', dir=parent))
    soak = Soak(
        seed,
        args.seconds,
        folder,
        callers=args.callers,
        engines=args.engines,
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
