"""Formats results as text for the terminal."""

import datetime
from typing import Any


def table(headings: list[str], rows: list[list[Any]]) -> str:
    """Return rows in aligned columns under their headings."""
    cells = [headings, *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
    return '\n'.join(lines)


def format_status(status: dict[str, Any]) -> str:
    """Return the fleet's status as two tables, of VMs and of targets."""
    header = (
        f'revision {status["revision"]} at {status["vm"]}, '
        f'leader {status["leader"] or "unknown"}, confirmed by the quorum '
        f'{status["quorum_age_s"]:.1f} s ago'
    )
    vms = table(
        ['VM', 'ZONE', 'CONTROL', 'STATE', 'REVISION'],
        [
            [
                vm['vm'],
                vm['zone'],
                'yes' if vm['control'] else '',
                _vm_state(vm),
                _revision_cell(vm, status['revision']),
            ]
            for vm in status['vms']
        ],
    )
    targets = table(
        ['TARGET', 'ZONE', 'POOL', 'OWNER', 'STATE', 'RUNNING', 'ADAPTERS'],
        [
            [
                target['target'],
                target['zone'],
                target['pool'],
                target['owner'],
                _target_state(target),
                f'{target["in_flight"]}/{target["limit"]}',
                target['adapters'],
            ]
            for target in status['targets']
        ],
    )
    return f'{header}\n\n{vms}\n\n{targets}'


def format_parts(parts: list[dict[str, Any]]) -> str:
    """Return suspected and quarantined prompt parts as a table."""
    if not parts:
        return 'no part is suspected or quarantined'
    return table(
        ['PART', 'STATUS', 'CRASHES', 'TRIALS', 'TARGETS'],
        [
            [
                part['part'],
                part['status'],
                len(part['crashes']),
                part['trials'],
                ' '.join(part['crashes']),
            ]
            for part in parts
        ],
    )


def format_limits(limits: list[dict[str, Any]]) -> str:
    """Return the limits that targets name, or have named, as a table."""
    if not limits:
        return 'no target names a limit'
    return table(
        ['TARGET', 'REQUESTS/S', 'CHANGED'],
        [
            [
                limit['target'],
                'ended' if limit['per_s'] is None else limit['per_s'],
                f'{limit["age_s"]:.1f} s ago',
            ]
            for limit in limits
        ],
    )


def format_software(versions: list[dict[str, Any]]) -> str:
    """Return the software versions of each pool's targets as a table."""
    if not versions:
        return 'no target has registered'
    return table(
        ['POOL', 'VERSION', 'TARGETS', 'KNOWN FOR'],
        [
            [
                one['pool'],
                one['version'],
                one['targets'] or 'left',
                f'{one["known_s"]:.0f} s',
            ]
            for one in versions
        ],
    )


def format_event(event: dict[str, Any]) -> str:
    """Return a timeline event as one line."""
    at = datetime.datetime.fromtimestamp(event['at'], datetime.UTC)
    subjects = ' '.join(
        event[name] for name in ('request', 'account', 'target') if event[name]
    )
    time = at.strftime('%H:%M:%S.%f')[:-3]
    header = f'{time} {event["vm"]:8} {event["kind"]:16}'
    return f'{header} {subjects} {event["detail"]}'


def _vm_state(vm: dict[str, Any]) -> str:
    if not vm['alive']:
        return 'silent'
    return 'draining' if vm['draining'] else 'alive'


def _revision_cell(vm: dict[str, Any], current: int) -> str:
    lag_note = '' if vm['revision'] >= current else ' (late)'
    return f'{vm["revision"]}{lag_note}'


def _target_state(target: dict[str, Any]) -> str:
    if target['leaving']:
        return 'leaving'
    return 'ready' if target['ready'] else 'not ready'
