"""Parses the command line, runs the command and prints its result."""

import argparse
import json
import os
import sys
from collections.abc import Sequence
from typing import Final

from ._actions import Actions
from ._client import ForbiddenError, UnreachableError
from ._outcome import CommandResult, ExitStatus

DEFAULT_VM: Final = '127.0.0.1:9080'
IN_FORCE_TIMEOUT_S: Final = 10.0
MAX_EVENTS: Final = 1000


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser of ``lovagectl``."""
    parser = argparse.ArgumentParser(
        prog='lovagectl',
        description='Operates a lovagemast fleet.',
        epilog='Exit status: 0 done, 1 refused, 2 invalid input, 3 no VM '
        'answered, 4 accepted but not yet in force everywhere.',
    )
    parser.add_argument(
        '--vm',
        action='append',
        help='administration address of a VM, may be repeated '
        '(default: LOVAGECTL_VMS, separated by commas)',
    )
    parser.add_argument(
        '--json', action='store_true', help='print the result as JSON'
    )
    parser.add_argument(
        '--timeout',
        type=float,
        default=IN_FORCE_TIMEOUT_S,
        help='seconds to wait until a change is in force on every VM',
    )
    commands = parser.add_subparsers(dest='command', required=True)
    _add_template_commands(commands)
    _add_fleet_commands(commands)
    _add_timeline_command(commands)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run ``lovagectl``; return its exit status."""
    options = build_parser().parse_args(argv)
    vms = os.environ.get('LOVAGECTL_VMS', DEFAULT_VM).split(',')
    options.vm = options.vm or vms
    options.key = os.environ.get('LOVAGECTL_KEY', '')
    try:
        result = getattr(Actions(options), options.command)()
    except UnreachableError as exc:
        result = CommandResult(
            ExitStatus.UNREACHABLE,
            f'no VM answered, a change may still be applied: {exc}',
            {'outcome': 'unreachable', 'detail': str(exc)},
        )
    except ForbiddenError as exc:
        result = CommandResult(
            ExitStatus.REFUSED,
            f'{exc}; set LOVAGECTL_KEY',
            {'outcome': 'forbidden', 'detail': str(exc)},
        )
    _print(result, as_json=options.json)
    return int(result.status)


def _print(result: CommandResult, *, as_json: bool) -> None:
    if as_json:
        sys.stdout.write(json.dumps(result.document, indent=2) + '\n')
        return
    failed = result.status in {
        ExitStatus.REFUSED,
        ExitStatus.INVALID_INPUT,
        ExitStatus.UNREACHABLE,
    }
    stream = sys.stderr if failed else sys.stdout
    stream.write(f'{result.text}\n')


def _add_template_commands(
    commands: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    for name, help_text in (
        ('check', 'validate a template without contacting a fleet'),
        ('plan', 'show what applying a template would change'),
        ('apply', 'apply a template'),
    ):
        command = commands.add_parser(name, help=help_text)
        command.add_argument('template', help='template file, JSON')
        command.add_argument('parameters', help='parameters file, JSON')
        if name == 'apply':
            command.add_argument(
                '--expect',
                type=int,
                help='apply only if this is the current revision',
            )


def _add_fleet_commands(
    commands: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    commands.add_parser('get', help='show the configuration in force')
    commands.add_parser('status', help='show VMs and targets')
    drain = commands.add_parser('drain', help='drain a VM')
    drain.add_argument('name', help='VM')
    drain.add_argument('--undo', action='store_true', help='end the drain')
    remove = commands.add_parser(
        'remove', help='remove a VM that has failed for good'
    )
    remove.add_argument('name', help='VM')
    zone = commands.add_parser(
        'zone', help='take a zone out of service or put it back'
    )
    zone.add_argument('state', choices=('out', 'in'))
    zone.add_argument('zone', help='availability zone')
    quarantine = commands.add_parser(
        'quarantine',
        help='list the prompt parts that are suspected or quarantined for '
        'crashes of targets (asks control VMs on the platform)',
    )
    quarantine.add_argument('--clear', metavar='PART', help='clear a part')
    commands.add_parser(
        'limits',
        help='list the targets that name a limit for their requests (asks '
        'control VMs on the platform)',
    )
    commands.add_parser(
        'software',
        help='list the software versions of targets (asks control VMs on the '
        'platform)',
    )
    key = commands.add_parser('key', help='grant or withdraw a key')
    key.add_argument('state', choices=('grant', 'withdraw'))
    key.add_argument(
        'name',
        help='client account to grant to; key or start of its digest '
        'to withdraw',
    )


def _add_timeline_command(
    commands: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    timeline = commands.add_parser(
        'timeline',
        help='show the events of all VMs in order of time',
    )
    timeline.add_argument('--request')
    timeline.add_argument('--account')
    timeline.add_argument('--target')
    timeline.add_argument('--only-vm')
    timeline.add_argument('--since', type=float, help='seconds since the epoch')
    timeline.add_argument('--limit', type=int, default=MAX_EVENTS)
