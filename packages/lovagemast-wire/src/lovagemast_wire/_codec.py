"""Converts named tuples to generated messages of the same name and fields.

The codec of a class is derived once from its annotations. A union of classes
is encoded as a message with one ``oneof`` named ``kind``.
"""

import types
import typing
from collections.abc import Callable, Iterable
from enum import Enum
from functools import cache, partial
from operator import attrgetter
from typing import Any, Final, NamedTuple

from google.protobuf.message import Message
from lovagemast_core import Command, Outcome

from . import lovagemast_pb2

_UNIONS = {Command: 'AnyCommand', Outcome: 'AnyOutcome'}
# Of classes with more fields, most are at their defaults in most messages.
MAX_FIELDS_READ: Final = 12

_Convert = Callable[[Any], Any]


class WireError(ValueError):
    """A message cannot be encoded, or not be decoded by this version."""


class _Conversion(NamedTuple):
    """A field whose value differs between named tuple and message."""

    position: int
    name: str
    repeated: bool
    encode: _Convert | None  # None for scalars, which are repeated then
    decode: _Convert  # takes the value of the message's attribute


def to_wire(record: Any) -> Any:
    """Return the generated message for a named tuple.

    Raises :exc:`WireError` for a value that its field cannot hold.
    """
    codec = _codec(record.__class__)
    try:
        return codec.message_class(**codec.to_fields(record))
    except WireError:
        raise
    except (TypeError, ValueError) as exc:
        raise codec.explain(record, exc) from exc


def from_wire(record: type, message: Message) -> Any:
    """Return the named tuple for a generated message.

    Raises :exc:`WireError` for an unknown enum value or an empty union,
    which a newer version may send.
    """
    return _codec(record).decode(message)


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


class _RecordCodec:
    """Converts the named tuples of one class.

    Nested records are given to the generated class as dictionaries, and
    fields at their defaults are left out. Building a message for each nested
    record, setting each field and copying the message takes twice as long.
    """

    def __init__(self, record: Any) -> None:
        hints = typing.get_type_hints(record)
        self.message_class = _message_class(record.__name__)
        self._record = record
        # As ``record._make``, without its check of the number of values.
        self._make: _Convert = partial(tuple.__new__, record)
        self._is_plain = False  # all fields are single scalars
        self._names = tuple(hints)
        self._conversions: list[_Conversion] = []
        self._optional: dict[int, str] = {}
        for position, (name, hint) in enumerate(hints.items()):
            self._add_field(position, name, hint)
        self._is_plain = not self._conversions and not self._optional
        self._read: _Convert = _make_reader(self._names)
        self.decode: _Convert = self._choose_decoder()

    def to_fields(self, record: Any) -> dict[str, Any]:
        """Return the fields of a record's message, without defaults."""
        fields = {
            name: value
            for name, value in zip(self._names, record, strict=True)
            if value or value.__class__ is float  # keeps the sign of zero
        }
        for one in self._conversions:
            value = record[one.position]
            if one.encode and value:
                fields[one.name] = _encode(one, value)
        if self._optional or None in record:
            self._add_optional(record, fields)
        return fields

    def decode_all(self, messages: Iterable[Any]) -> tuple[Any, ...]:
        """Return the named tuples for messages."""
        if self._is_plain:
            return tuple(map(self._make, map(self._read, messages)))
        return tuple(map(self.decode, messages))

    def explain(self, record: Any, cause: Exception) -> WireError:
        """Return the error that names the field which holds a bad value."""
        name = self._record.__name__
        for position, field in enumerate(self._names):
            try:
                self._encode_field(record, position)
            except (TypeError, ValueError) as exc:
                return WireError(f'{name}.{field}: {exc}')
        return WireError(f'{name}: {cause}')

    def _add_field(self, position: int, name: str, hint: Any) -> None:
        repeated = typing.get_origin(hint) is tuple
        optional = not repeated and hint not in _UNIONS and _is_optional(hint)
        if optional:
            self._optional[position] = name
        kind = typing.get_args(hint)[0] if repeated or optional else hint
        encode, decode = _converters(kind)
        if repeated:
            self._conversions.append(
                _Conversion(
                    position, name, True, encode, _decode_all(kind, decode)
                )
            )
        elif decode:
            self._conversions.append(
                _Conversion(position, name, False, encode, decode)
            )

    def _add_optional(self, record: Any, fields: dict[str, Any]) -> None:
        """Add the optional fields, which are sent at their defaults too.

        Raises :exc:`TypeError` if another field holds ``None``.
        """
        for position, value in enumerate(record):
            if value is None and position not in self._optional:
                raise TypeError('None is no value of this field')
        for position, name in self._optional.items():
            if record[position] is not None:
                fields.setdefault(name, record[position])

    def _encode_field(self, record: Any, position: int) -> None:
        """Encode one field only."""
        value = record[position]
        if value is None and position not in self._optional:
            raise TypeError('None is no value of this field')
        for one in self._conversions:
            if one.position == position and value:
                value = _encode(one, value)
        self.message_class(**{self._names[position]: value})

    def _choose_decoder(self) -> _Convert:
        if len(self._names) > MAX_FIELDS_READ:
            return self._make_present_decoder()
        if self._is_plain:
            make, read = self._make, self._read
            return lambda message: make(read(message))
        return self._decode_each

    def _decode_each(self, message: Any) -> Any:
        values = list(self._read(message))
        for position, name in self._optional.items():
            if not message.HasField(name):
                values[position] = None
        for one in self._conversions:
            if values[one.position] is not None:
                values[one.position] = one.decode(values[one.position])
        return self._make(values)

    def _make_present_decoder(self) -> _Convert:
        """Return a decoder that reads only what a message holds."""
        empty = self.message_class()
        defaults = [getattr(empty, name) for name in self._names]
        always = []  # of unions, enums and records, sent or not
        for one in self._conversions:
            defaults[one.position] = ()
            if not one.repeated and one.position not in self._optional:
                always.append(one)
        for position in self._optional:
            defaults[position] = None
        fields = self.message_class.DESCRIPTOR.fields_by_name
        positions = {
            fields[name].number: position
            for position, name in enumerate(self._names)
        }
        decoders = {
            fields[one.name].number: one.decode for one in self._conversions
        }
        return _PresentDecoder(
            self._make, defaults, positions, decoders, always
        ).decode


class _PresentDecoder(NamedTuple):
    """Decodes the fields that a message holds; the others are at defaults."""

    make: _Convert
    defaults: list[Any]
    positions: dict[int, int]  # by the number of the field
    decoders: dict[int, _Convert]
    always: list[_Conversion]

    def decode(self, message: Any) -> Any:
        """Return the named tuple for a message."""
        values = self.defaults.copy()
        for field, value in message.ListFields():
            number = field.number
            position = self.positions.get(number)
            if position is not None:
                decode = self.decoders.get(number)
                values[position] = decode(value) if decode else value
        for one in self.always:
            values[one.position] = one.decode(getattr(message, one.name))
        return self.make(values)


def _make_reader(names: tuple[str, ...]) -> _Convert:
    """Return a function that reads the attributes of an object."""
    if not names:
        return lambda _message: ()
    read: _Convert = attrgetter(*names)
    if len(names) == 1:
        return lambda message: (read(message),)
    return read


def _encode(one: _Conversion, value: Any) -> Any:
    if one.encode is None:
        return value
    return list(map(one.encode, value)) if one.repeated else one.encode(value)


@cache
def _codec(record: Any) -> _RecordCodec:
    return _RecordCodec(record)


def _decode_all(kind: Any, decode: _Convert | None) -> _Convert:
    """Return a function that decodes the values of a repeated field."""
    if decode is None:
        return tuple
    if hasattr(kind, '_fields'):
        all_of_kind: _Convert = _codec(kind).decode_all
        return all_of_kind
    return lambda values: tuple(map(decode, values))


def _is_optional(hint: Any) -> bool:
    return typing.get_origin(hint) in {types.UnionType, typing.Union}


def _converters(kind: Any) -> tuple[_Convert | None, _Convert | None]:
    if kind in _UNIONS:
        union = _UNIONS[kind]
        kinds = union_kinds(kind)
        return (
            lambda record: to_union(union, record),
            lambda message: from_union(kinds, message),
        )
    if hasattr(kind, '_fields'):
        codec = _codec(kind)
        return codec.to_fields, codec.decode
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
