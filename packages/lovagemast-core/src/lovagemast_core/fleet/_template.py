"""Expands operators' templates into a fleet configuration document.

A template has a ``fixed`` part and a ``per_account`` part. The second is
repeated for each client account, with ``${name}`` replaced by that
account's parameter; a string that is one placeholder takes its type too.
"""

import re
import string
from typing import Any, NamedTuple

from ._fleet import FleetConfig, parse_fleet_config
from ._schema import Fault, Path, parse_record

_WHOLE = re.compile(r'\$\{(\w+)\}')


class Template(NamedTuple):
    """A template as operators write it."""

    template: str
    fixed: dict[str, Any]
    per_account: dict[str, Any] = {}


class Bindings(NamedTuple):
    """The client accounts' parameters, one object for each account."""

    accounts: tuple[dict[str, Any], ...]


class Expansion(NamedTuple):
    """An expanded document, its configuration, or the faults."""

    document: dict[str, Any]
    cfg: FleetConfig | None
    faults: tuple[Fault, ...]


def expand(template: object, bindings: object) -> Expansion:
    """Expand a template; each fault's path leads into the template.

    Paths that start with ``parameters`` lead into the parameters instead.
    """
    parsed, faults = parse_record(Template, template)
    bound, bound_faults = parse_record(Bindings, bindings)
    faults += _moved(bound_faults, 'parameters')
    if parsed is None or bound is None:
        return Expansion({}, None, tuple(faults))
    document, origins = _merge(parsed, bound, faults)
    if faults:
        return Expansion({}, None, tuple(faults))
    cfg, found = parse_fleet_config(document)
    return Expansion(document, cfg, _traced(found, origins))


def _moved(faults: list[Fault], part: str) -> list[Fault]:
    return [Fault((part, *path), problem) for path, problem in faults]


def _traced(
    faults: list[Fault],
    origins: dict[Path, Path],
) -> tuple[Fault, ...]:
    return tuple(
        Fault(_trace(path, origins), problem) for path, problem in faults
    )


def _merge(
    template: Template,
    bindings: Bindings,
    faults: list[Fault],
) -> tuple[dict[str, Any], dict[Path, Path]]:
    document = dict(template.fixed)
    origins: dict[Path, Path] = {}
    for section, members in template.per_account.items():
        if not isinstance(members, list):
            faults.append(Fault(('per_account', section), 'must be a list'))
            continue
        merged = list(document.get(section, ()))
        start = len(merged)
        merged += _repeat(section, members, bindings, faults)
        origins.update(_origins(section, start, len(merged), len(members)))
        document[section] = merged
    return document, origins


def _repeat(
    section: str,
    members: list[Any],
    bindings: Bindings,
    faults: list[Fault],
) -> list[Any]:
    repeated: list[Any] = []
    for bound in bindings.accounts:
        path = ('per_account', section)
        repeated += _substitute(members, bound, path, faults)
    return repeated


def _origins(
    section: str,
    start: int,
    end: int,
    count: int,
) -> dict[Path, Path]:
    return {
        (section, index): ('per_account', section, (index - start) % count)
        for index in range(start, end)
    }


def _substitute(
    value: Any,
    bound: dict[str, Any],
    path: Path,
    faults: list[Fault],
) -> Any:
    if isinstance(value, dict):
        return {
            name: _substitute(member, bound, (*path, name), faults)
            for name, member in value.items()
        }
    if isinstance(value, list):
        return [
            _substitute(member, bound, (*path, index), faults)
            for index, member in enumerate(value)
        ]
    if isinstance(value, str):
        return _fill(value, bound, path, faults)
    return value


def _fill(
    text: str,
    bound: dict[str, Any],
    path: Path,
    faults: list[Fault],
) -> Any:
    whole = _WHOLE.fullmatch(text)
    try:
        if whole:
            return bound[whole.group(1)]
        return string.Template(text).substitute(bound)
    except KeyError as exc:
        account = bound.get('account', '?')
        faults.append(Fault(path, f'{exc} is not set for {account!r}'))
    except ValueError as exc:
        faults.append(Fault(path, f'bad placeholder: {exc}'))
    return None


def _trace(path: Path, origins: dict[Path, Path]) -> Path:
    origin = origins.get(path[:2])
    if origin is None:
        return ('fixed', *path)
    return (*origin, *path[2:])
