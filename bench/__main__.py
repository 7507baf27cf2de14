"""Runs the benchmarks and stores their results for the generated pages."""

import argparse
import json
import sys
from pathlib import Path
from typing import Any, Final

from .handle import run_handle
from .slopes import run_slopes
from .streams import run_bench

RESULTS_PATH: Final = Path(__file__).parent / 'results.json'
STREAM_COUNTS: Final = [100, 300, 600]
TOKENS_PER_STREAM: Final = 200


def load_results() -> dict[str, Any]:
    """Return the results of the last run of each benchmark."""
    if not RESULTS_PATH.exists():
        return {}
    figures: dict[str, Any] = json.loads(RESULTS_PATH.read_text())
    return figures


def report(text: str) -> None:
    """Print progress to standard error."""
    sys.stderr.write(f'bench: {text}\n')


def main() -> int:
    """Run the selected benchmarks, print their results and store them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', choices=('handle', 'slopes', 'streams'))
    only = parser.parse_args().only
    figures = load_results()
    if only in {None, 'handle'}:
        figures['handle'] = run_handle()
    if only in {None, 'slopes'}:
        figures['slopes'] = run_slopes(report)
    if only in {None, 'streams'}:
        figures['streams'] = run_bench(STREAM_COUNTS, TOKENS_PER_STREAM)
    text = json.dumps(figures, indent=2)
    RESULTS_PATH.write_text(f'{text}\n')
    sys.stdout.write(f'{text}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
