"""Expands operators' templates into configuration documents of the fleet.

A template has a ``fixed`` part and a ``per_account`` part. The latter is
repeated for each client account, with each ``${name}`` replaced by that
account's parameter. A string that consists of a single placeholder becomes
the parameter itself, whatever its type.
"""

import re
import string
from typing import Any, NamedTuple

from ._fleet import FleetConfig, parse_fleet_config
from ._schema import Fault, Path, parse_record

_SINGLE_PLACEHOLDER = re.compile(r'\$\{(\w+)\}')


class Template(NamedTuple):
    """A template, as written by operators."""

    template: str
    fixed: dict[str, Any]
    per_account: dict[str, Any] = {}


class Bindings(NamedTuple):
    """Parameters of the client accounts, one object for each account."""

    accounts: tuple[dict[str, Any], ...]


class Expansion(NamedTuple):
    """An expanded document and its configuration, or all faults."""

    document: dict[str, Any]
    cfg: FleetConfig | None
    faults: tuple[Fault, ...]


def expand(template: object, bindings: object) -> Expansion:
    """Expand a template with the parameters of client accounts.

    The paths of faults refer to the template, or to the parameters if they
    start with ``parameters``.
    """
    parsed, faults = parse_record(Template, template)
    bound, binding_faults = parse_record(Bindings, bindings)
    faults += _with_prefix(binding_faults, 'parameters')
    if parsed is None or bound is None:
        return Expansion({}, None, tuple(faults))
    document, origins = _merge(parsed, bound, faults)
    if faults:
        return Expansion({}, None, tuple(faults))
    cfg, found = parse_fleet_config(document)
    return Expansion(document, cfg, _map_to_template(found, origins))


def _with_prefix(faults: list[Fault], prefix: str) -> list[Fault]:
    return [Fault((prefix, *path), problem) for path, problem in faults]


def _map_to_template(
    faults: list[Fault],
    origins: dict[Path, Path],
) -> tuple[Fault, ...]:
    return tuple(
        Fault(_template_path(path, origins), problem)
        for path, problem in faults
    )


def _merge(
    template: Template,
    bindings: Bindings,
    faults: list[Fault],
) -> tuple[dict[str, Any], dict[Path, Path]]:
    """Return the expanded document and the origins of repeated members.

    The origins map paths in the document to paths in the template.
    """
    document = dict(template.fixed)
    origins: dict[Path, Path] = {}
    for section, members in template.per_account.items():
        if not isinstance(members, list):
            faults.append(Fault(('per_account', section), 'must be a list'))
            continue
        merged = list(document.get(section, ()))
        start = len(merged)
        merged += _repeat_members(section, members, bindings, faults)
        origins.update(_find_origins(section, start, len(merged), len(members)))
        document[section] = merged
    return document, origins


def _repeat_members(
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


def _find_origins(
    section: str,
    start: int,
    end: int,
    count: int,
) -> dict[Path, Path]:
    """Map the members of a section to the template's ``count`` members."""
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
        return _fill_placeholders(value, bound, path, faults)
    return value


def _fill_placeholders(
    text: str,
    bound: dict[str, Any],
    path: Path,
    faults: list[Fault],
) -> Any:
    single = _SINGLE_PLACEHOLDER.fullmatch(text)
    try:
        if single:
            return bound[single.group(1)]
        return string.Template(text).substitute(bound)
    except KeyError as exc:
        account = bound.get('account', '?')
        faults.append(
            Fault(path, f'parameter {exc} is not set for {account!r}')
        )
    except ValueError as exc:
        faults.append(Fault(path, f'invalid placeholder: {exc}'))
    return None


def _template_path(path: Path, origins: dict[Path, Path]) -> Path:
    """Return the path in the template for a path in the document."""
    origin = origins.get(path[:2])
    if origin is None:
        return ('fixed', *path)
    return (*origin, *path[2:])
