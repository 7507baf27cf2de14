"""Writes the capacity and benchmark pages from the stored results."""

import sys
from pathlib import Path
from typing import Any, Final, NamedTuple

from .__main__ import load_results
from .slopes import Shape

DOCS: Final = Path(__file__).parent.parent / 'docs'
CAPACITY_TEMPLATE: Final = Path(__file__).parent / 'capacity.md'
BENCH_TEMPLATE: Final = Path(__file__).parent / 'bench.md'
WIDTH: Final = 360
HEIGHT: Final = 220
MARGIN: Final = 40
DAY_S: Final = 86_400
RESTARTS_PER_DAY: Final = 3_400
FAILURES_PER_DAY: Final = 110


class CostLimit(NamedTuple):
    """A cost and its limit in the capacity plan."""

    name: str
    cost: str
    unit: str
    maximum: float


class Dimension(NamedTuple):
    """A dimension of growth and its size in the plan, in units of slopes."""

    name: str
    title: str
    size: float


MEMORY: Final = CostLimit('memory', 'memory_bytes', 'bytes', 64_000_000)
COST_LIMITS: Final = (
    CostLimit('processor', 'processor_us_s', 'us/s', 29_000),
    CostLimit('bandwidth', 'bytes_s', 'bytes/s', 4_000),
    MEMORY,
)
BYTES_PER_MB: Final = 1_000_000
DIMENSIONS: Final = (
    Dimension('vms', 'VMs, one target each', 1_200),
    Dimension('targets', 'targets', 10_000),
    Dimension('adapters', 'adapters loaded at a target', 83_000 / 10_000),
    Dimension('accounts', 'client accounts', 2_000),
    Dimension('changes', 'changes in 10 s', 13_000 / DAY_S * 10),
)
ROLES: Final = ('entry', 'leader')


def cost_rows(slopes: dict[str, Any], idle_mb: float) -> list[str]:
    """Return the table of each cost, extrapolated to the plan's size.

    The memory of an idle daemon is subtracted from the memory limit, which
    leaves the limit of the node's state.
    """
    left = MEMORY.maximum - idle_mb * BYTES_PER_MB
    limits = [limit for limit in COST_LIMITS if limit is not MEMORY]
    limits.append(MEMORY._replace(maximum=left))
    lines = [
        "| cost | role | grows with | slope | residual | at the plan's "
        'size | limit | met | breaks at |',
        '|---|---|---|---|---|---|---|---|---|',
    ]
    for limit in limits:
        for role in ROLES:
            for dimension in DIMENSIONS:
                lines.append(_cost_row(slopes, limit, role, dimension))
    return lines


def _cost_row(
    slopes: dict[str, Any],
    limit: CostLimit,
    role: str,
    dimension: Dimension,
) -> str:
    name = limit.cost
    if name != 'memory_bytes':
        name = f'{role}.{name}'
    fit = slopes[dimension.name]['fits'][name]
    cost = fit['base'] + fit['slope'] * dimension.size
    met = 'yes' if cost <= limit.maximum else 'no'
    breaks = '-'
    if fit['slope'] > 0:
        breaks = f'{(limit.maximum - fit["base"]) / fit["slope"]:,.0f}'
    cells = (
        f'{limit.name}, {limit.unit}',
        role,
        dimension.title,
        f'{fit["slope"]:,.3g}',
        f'{fit["residual"]:.0%}',
        f'{cost:,.0f} at {dimension.size:,.4g}',
        f'{limit.maximum:,.0f}',
        met,
        breaks,
    )
    return f'| {" | ".join(cells)} |'


def recovery_rows(slopes: dict[str, Any]) -> list[str]:
    """Return the table of the costs of a restart by fleet size."""
    lines = [
        '| VMs | bytes a restart | processor time a restart, ms | '
        'change in force everywhere, s |',
        '|---|---|---|---|',
    ]
    for row in slopes['recovery']:
        lines.append(
            f'| {row["size"]} | {row["bytes"]:,.0f} | '
            f'{row["processor_us"] / 1000:,.1f} | {row["in_force_s"]:.3f} |',
        )
    largest = slopes['recovery'][-1]
    restarts = RESTARTS_PER_DAY + FAILURES_PER_DAY
    per_day = largest['bytes'] * restarts
    lines.append('')
    lines.append(
        f'At {restarts:,} restarts and failures a day and the cost in a '
        f'fleet of {largest["size"]} VMs, recovery sends {per_day / 1e6:,.0f} '
        f'MB a day, {per_day / DAY_S:,.0f} bytes/s over the whole fleet.',
    )
    return lines


def write_bench_page(figures: dict[str, Any]) -> None:
    """Write the page on streaming and on the core's processor time."""
    streams = figures['streams']
    page = BENCH_TEMPLATE.read_text()
    page = page.replace('{{handle}}', '\n'.join(handle_rows(figures)))
    for name in ('idle_core_percent', 'idle_resident_mb'):
        page = page.replace(f'{{{{{name}}}}}', str(streams[name]))
    for name in ('sizes', 'threads'):
        rows = '\n'.join(stream_rows(streams[name]))
        page = page.replace(f'{{{{{name}}}}}', rows)
    (DOCS / 'BENCH.md').write_text(page)


def handle_rows(figures: dict[str, Any]) -> list[str]:
    """Return the table of the core's processor time by kind of event."""
    lines = ['| event | events | median, us | p95, us |', '|---|---|---|---|']
    for kind, times in figures['handle'].items():
        cells = (kind, *times.values())
        lines.append(f'| {" | ".join(str(cell) for cell in cells)} |')
    return lines


def stream_rows(runs: list[dict[str, Any]]) -> list[str]:
    """Return the table of runs with different numbers of streams."""
    lines = [
        '| streams | whole | p95 between chunks, ms | direct, ms | first '
        'chunk p95, ms | direct, ms | processor, us a chunk | resident, MB |',
        '|---|---|---|---|---|---|---|---|',
    ]
    lines += [
        f'| {" | ".join(str(figure) for figure in run.values())} |'
        for run in runs
    ]
    return lines


def plot(slopes: dict[str, Any], dimension: Dimension, limit: CostLimit) -> str:
    """Return an SVG plot of a cost by size, with its fitted line."""
    name = f'entry.{limit.cost}'
    if limit.cost == 'memory_bytes':
        name = limit.cost
    rows = slopes[dimension.name]['rows']
    points = [(row['size'], _value(row, name)) for row in rows]
    fit = slopes[dimension.name]['fits'][name]
    max_size = max(size for size, _ in points)
    max_cost = max(1.0, *(cost for _, cost in points)) * 1.1

    def to_pixels(size: float, cost: float) -> tuple[float, float]:
        x_px = MARGIN + size / max_size * (WIDTH - 2 * MARGIN)
        y_px = HEIGHT - MARGIN - cost / max_cost * (HEIGHT - 2 * MARGIN)
        return round(x_px, 1), round(y_px, 1)

    start = to_pixels(0, fit['base'])
    end = to_pixels(max_size, fit['base'] + fit['slope'] * max_size)
    circles = ''.join(
        f'<circle cx="{position[0]}" cy="{position[1]}" r="3"/>'
        for position in (to_pixels(*point) for point in points)
    )
    baseline = HEIGHT - MARGIN
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{HEIGHT}" font-family="sans-serif" font-size="10">'
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>'
        f'<path d="M{MARGIN} {MARGIN}V{baseline}H{WIDTH - MARGIN}" '
        f'stroke="black" fill="none"/>'
        f'<path d="M{start[0]} {start[1]}L{end[0]} {end[1]}" '
        f'stroke="steelblue"/>{circles}'
        f'<text x="{MARGIN}" y="20">{limit.name}, {limit.unit}, up to '
        f'{max_cost:,.0f}</text>'
        f'<text x="{MARGIN}" y="{HEIGHT - 15}">{dimension.title}, up to '
        f'{max_size:,}</text></svg>\n'
    )


def _value(row: dict[str, Any], name: str) -> float:
    role, _, cost = name.partition('.')
    return float(row[role][cost] if cost else row[name])


def main() -> int:
    """Write both pages and the plots."""
    figures = load_results()
    slopes = figures['slopes']
    write_bench_page(figures)
    page = CAPACITY_TEMPLATE.read_text()
    idle_mb = figures['streams']['idle_resident_mb']
    page = page.replace('{{costs}}', '\n'.join(cost_rows(slopes, idle_mb)))
    page = page.replace('{{recovery}}', '\n'.join(recovery_rows(slopes)))
    page = page.replace('{{base}}', str(Shape()))
    plots = []
    for dimension in DIMENSIONS:
        for limit in COST_LIMITS:
            name = f'slope-{dimension.name}-{limit.name}.svg'
            (DOCS / name).write_text(plot(slopes, dimension, limit))
            plots.append(f'![{limit.name} against {dimension.title}]({name})')
    page = page.replace('{{plots}}', '\n'.join(plots))
    (DOCS / 'CAPACITY.md').write_text(page)
    return 0


if __name__ == '__main__':
    sys.exit(main())
