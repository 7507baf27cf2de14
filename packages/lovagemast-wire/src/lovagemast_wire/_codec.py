"""Converts named tuples to generated messages of the same name and fields.

The field codecs of a class are derived once from its annotations. A union
of classes is encoded as a message with one ``oneof`` named ``kind``.
"""

import types
import typing
from collections.abc import Callable
from enum import Enum
from functools import cache
from typing import Any, NamedTuple

from google.protobuf.message import Message
from lovagemast_core import Command, Outcome

from . import lovagemast_pb2

_UNIONS = {Command: 'AnyCommand', Outcome: 'AnyOutcome'}


class WireError(ValueError):
    """A message cannot be encoded, or not be decoded by this version."""


class _FieldCodec(NamedTuple):
    name: str
    repeated: bool
    optional: bool
    encode: Callable[[Any], Any] | None  # None for scalars
    decode: Callable[[Any], Any] | None


def to_wire(record: Any) -> Any:
    """Return the generated message for a named tuple.

    Raises :exc:`WireError` for a value that its field cannot hold.
    """
    name = type(record).__name__
    message = _message_class(name)()
    for codec in _field_codecs(record.__class__):
        try:
            _encode_field(message, codec, getattr(record, codec.name))
        except (TypeError, ValueError) as exc:
            raise WireError(f'{name}.{codec.name}: {exc}') from exc
    return message


def from_wire(record: type, message: Message) -> Any:
    """Return the named tuple for a generated message.

    Raises :exc:`WireError` for an unknown enum value or an empty union,
    which a newer version may send.
    """
    members = [_decode_field(message, codec) for codec in _field_codecs(record)]
    return record(*members)


def to_union(union: str, record: Any) -> Any:
    """Return a union's generated message that holds a record."""
    message = _message_class(union)()
    kind = _to_snake_case(type(record).__name__)
    getattr(message, kind).CopyFrom(to_wire(record))
    return message


def from_union(
    kinds: dict[str, type],
    message: Message,
    oneof: str = 'kind',
) -> Any:
    """Return the record in a union's generated message.

    Raises :exc:`WireError` for a record of an unknown class.
    """
    kind = message.WhichOneof(oneof)
    if kind is None or kind not in kinds:
        raise WireError(f'unknown or missing kind in {message.DESCRIPTOR.name}')
    return from_wire(kinds[kind], getattr(message, kind))


@cache
def union_kinds(union: Any) -> dict[str, type]:
    """Return the classes of a union by their ``oneof`` field name."""
    return {
        _to_snake_case(kind.__name__): kind for kind in typing.get_args(union)
    }


def _encode_field(message: Any, codec: _FieldCodec, value: Any) -> None:
    if codec.optional and value is None:
        return
    encode = codec.encode
    if codec.repeated:
        members = map(encode, value) if encode else value
        getattr(message, codec.name).extend(members)
    elif encode is None:
        setattr(message, codec.name, value)
    else:
        encoded = encode(value)
        if isinstance(encoded, Message):
            getattr(message, codec.name).CopyFrom(encoded)
        else:
            setattr(message, codec.name, encoded)


def _decode_field(message: Any, codec: _FieldCodec) -> Any:
    if codec.optional and not message.HasField(codec.name):
        return None
    value = getattr(message, codec.name)
    if codec.repeated:
        return tuple(map(codec.decode, value)) if codec.decode else tuple(value)
    return codec.decode(value) if codec.decode else value


@cache
def _field_codecs(record: type) -> tuple[_FieldCodec, ...]:
    hints = typing.get_type_hints(record)
    return tuple(_field_codec(name, hint) for name, hint in hints.items())


def _field_codec(name: str, hint: Any) -> _FieldCodec:
    if typing.get_origin(hint) is tuple:
        encode, decode = _converters(typing.get_args(hint)[0])
        return _FieldCodec(name, True, False, encode, decode)
    if hint not in _UNIONS and _is_optional(hint):
        encode, decode = _converters(typing.get_args(hint)[0])
        return _FieldCodec(name, False, True, encode, decode)
    encode, decode = _converters(hint)
    return _FieldCodec(name, False, False, encode, decode)


def _is_optional(hint: Any) -> bool:
    return typing.get_origin(hint) in {types.UnionType, typing.Union}


def _converters(
    kind: Any,
) -> tuple[Callable[[Any], Any] | None, Callable[[Any], Any] | None]:
    if kind in _UNIONS:
        union = _UNIONS[kind]
        kinds = union_kinds(kind)
        return (
            lambda record: to_union(union, record),
            lambda message: from_union(kinds, message),
        )
    if hasattr(kind, '_fields'):
        return to_wire, lambda message: from_wire(kind, message)
    if isinstance(kind, type) and issubclass(kind, Enum):
        return _enum_value, lambda value: _decode_enum(kind, value)
    return None, None


def _enum_value(member: Enum) -> Any:
    return member.value


def _decode_enum(kind: type[Enum], value: Any) -> Enum:
    try:
        return kind(value)
    except ValueError as exc:
        raise WireError(str(exc)) from exc


@cache
def _message_class(name: str) -> Any:
    return getattr(lovagemast_pb2, name)


@cache
def _to_snake_case(name: str) -> str:
    pieces = [
        f'_{letter.lower()}' if letter.isupper() else letter for letter in name
    ]
    return ''.join(pieces).lstrip('_')
