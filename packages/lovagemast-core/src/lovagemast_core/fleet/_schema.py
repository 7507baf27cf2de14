"""Parses JSON documents into named tuples and reports all faults at once.

The annotations of a named tuple's fields are the schema. ``Annotated[int,
Field(...)]`` adds a description and bounds, from which the settings
reference is generated as well.
"""

import types
import typing
from collections.abc import Iterator
from enum import Enum
from typing import Any, NamedTuple, TypeVar, cast

Record = TypeVar('Record')
Path = tuple[str | int, ...]
_MISSING = object()


class Field(NamedTuple):
    """Description and inclusive bounds of a record's field."""

    text: str
    low: float | None = None
    high: float | None = None


class Fault(NamedTuple):
    """An error in a document and the path where it occurs."""

    path: Path
    problem: str

    def __str__(self) -> str:
        """Return the fault as ``path: problem``."""
        return f'{format_path(self.path)}: {self.problem}'


class FieldSummary(NamedTuple):
    """A field of a record as shown in the settings reference."""

    path: str
    kind: str
    default: str
    text: str
    bounds: str


def format_path(path: Path) -> str:
    """Format a path such as ``zones[0].name``; the root is ``$``."""
    text = ''
    for step in path:
        text += f'[{step}]' if isinstance(step, int) else f'.{step}'
    return text.lstrip('.') or '$'


def parse_record(
    record: type[Record],
    document: object,
    path: Path = (),
) -> tuple[Record | None, list[Fault]]:
    """Parse a document into a record.

    Return the record and no faults, or ``None`` and all faults. ``path`` is
    put in front of the paths of faults.
    """
    faults: list[Fault] = []
    parsed = _parse_record(record, document, path, faults)
    if faults:
        return None, faults
    return cast('Record', parsed), faults


def to_document(value: Any) -> Any:
    """Return the JSON form of a record, without fields at their default."""
    if hasattr(value, '_fields'):
        defaults = value._field_defaults
        return {
            name: to_document(member)
            for name, member in zip(value._fields, value, strict=True)
            if defaults.get(name, _MISSING) != member
        }
    if isinstance(value, Enum):
        return value.name.lower() if isinstance(value, int) else value.value
    if isinstance(value, (tuple, list)):
        return [to_document(member) for member in value]
    if isinstance(value, dict):
        return {key: to_document(member) for key, member in value.items()}
    return value


def describe_fields(record: type, prefix: str = '') -> Iterator[FieldSummary]:
    """Yield a summary of each field of a record, depth first."""
    for name, hint in _field_hints(record).items():
        field, kind = _unwrap_hint(hint)
        path = f'{prefix}{name}'
        default = getattr(record, '_field_defaults', {}).get(name, _MISSING)
        yield FieldSummary(
            path=path,
            kind=_kind_name(kind),
            default='required' if default is _MISSING else repr(default),
            text=field.text,
            bounds=_bounds_text(field),
        )
        nested, suffix = _nested_record(kind)
        if nested is not None:
            yield from describe_fields(nested, f'{path}{suffix}.')


def _field_hints(record: type) -> dict[str, Any]:
    return typing.get_type_hints(record, include_extras=True)


def _unwrap_hint(hint: Any) -> tuple[Field, Any]:
    if typing.get_origin(hint) is typing.Annotated:
        kind, *metadata = typing.get_args(hint)
        return metadata[0], kind
    return Field(''), hint


def _parse_record(
    record: type,
    document: object,
    path: Path,
    faults: list[Fault],
) -> object:
    if not isinstance(document, dict):
        faults.append(Fault(path, 'must be an object'))
        return None
    hints = _field_hints(record)
    for name in document:
        if name not in hints:
            faults.append(Fault((*path, name), 'is not a known field'))
    members: dict[str, object] = {}
    defaults: dict[str, object] = record._field_defaults  # type: ignore[attr-defined]
    for name, hint in hints.items():
        member_path = (*path, name)
        if name in document:
            members[name] = _parse_field(
                hint,
                document[name],
                member_path,
                faults,
            )
        elif name not in defaults:
            faults.append(Fault(member_path, 'is missing'))
    if any(name not in members and name not in defaults for name in hints):
        return None
    return record(**members)


def _parse_field(
    hint: Any,
    value: object,
    path: Path,
    faults: list[Fault],
) -> object:
    field, kind = _unwrap_hint(hint)
    parsed = _parse_value(kind, value, path, faults)
    if field.low is not None and isinstance(parsed, (int, float)):
        high = field.high if field.high is not None else float('inf')
        if not field.low <= parsed <= high:
            faults.append(Fault(path, f'must be {_bounds_text(field)}'))
    return parsed


def _parse_value(
    kind: Any,
    value: object,
    path: Path,
    faults: list[Fault],
) -> object:
    origin = typing.get_origin(kind)
    if origin in {types.UnionType, typing.Union}:
        inner = [arg for arg in typing.get_args(kind) if arg is not type(None)]
        if value is None:
            return None
        return _parse_value(inner[0], value, path, faults)
    if origin is tuple:
        return _parse_list(typing.get_args(kind)[0], value, path, faults)
    if origin is dict:
        return _parse_map(typing.get_args(kind)[1], value, path, faults)
    if isinstance(kind, type) and issubclass(kind, Enum):
        return _parse_enum(kind, value, path, faults)
    if hasattr(kind, '_fields'):
        return _parse_record(kind, value, path, faults)
    return _parse_scalar(kind, value, path, faults)


def _parse_list(
    kind: Any,
    value: object,
    path: Path,
    faults: list[Fault],
) -> object:
    if not isinstance(value, list):
        faults.append(Fault(path, 'must be a list'))
        return ()
    return tuple(
        _parse_value(kind, member, (*path, index), faults)
        for index, member in enumerate(value)
    )


def _parse_map(
    kind: Any,
    value: object,
    path: Path,
    faults: list[Fault],
) -> object:
    if not isinstance(value, dict):
        faults.append(Fault(path, 'must be an object'))
        return {}
    return {
        name: _parse_value(kind, member, (*path, name), faults)
        for name, member in value.items()
    }


def _parse_enum(
    kind: type[Enum],
    value: object,
    path: Path,
    faults: list[Fault],
) -> object:
    names = {str(to_document(member)): member for member in kind}
    if isinstance(value, str) and value in names:
        return names[value]
    faults.append(Fault(path, f'must be one of {", ".join(names)}'))
    return None


def _parse_scalar(
    kind: Any,
    value: object,
    path: Path,
    faults: list[Fault],
) -> object:
    if kind is Any:
        return value
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if type(value) is kind:
        return value
    faults.append(Fault(path, f'must be of type {_kind_name(kind)}'))
    return None


def _kind_name(kind: Any) -> str:
    origin = typing.get_origin(kind)
    args = typing.get_args(kind)
    if origin in {types.UnionType, typing.Union}:
        return f'{_kind_name(args[0])} or null'
    if origin is tuple:
        return f'list of {_kind_name(args[0])}'
    if origin is dict:
        return f'map of {_kind_name(args[1])}'
    if isinstance(kind, type) and issubclass(kind, Enum):
        return ' | '.join(str(to_document(member)) for member in kind)
    if hasattr(kind, '_fields'):
        return 'object'
    return {str: 'string', bool: 'boolean'}.get(kind, str(kind.__name__))


def _bounds_text(field: Field) -> str:
    if field.low is None:
        return ''
    if field.high is None:
        return f'at least {field.low:g}'
    return f'from {field.low:g} to {field.high:g}'


def _nested_record(kind: Any) -> tuple[type | None, str]:
    suffix = ''
    if typing.get_origin(kind) is tuple:
        suffix = '[]'
    args = [arg for arg in typing.get_args(kind) if arg is not type(None)]
    inner = args[0] if args else kind
    return (inner, suffix) if hasattr(inner, '_fields') else (None, '')
