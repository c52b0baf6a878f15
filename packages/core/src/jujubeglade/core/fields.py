"""Checked fields: what a record that comes from outside may contain.

A record class states the type of each field by its annotation, and a narrower range by
one of the types below. The checks are derived from that once, and made as the record is
made: by `message` for each message that is decoded, by `checked` for other classes. So
whatever is accepted can be computed with, and encoded again.

    @fields.checked
    class Report:
        name: fields.Name
        sequence: fields.Count
        labels: tuple[str, ...]
"""

import dataclasses
import math
import types
import typing

#: Whole numbers from outside up to this are exact in all JSON readers, and what is
#: computed from them can be encoded.
MAX_WHOLE = 1 << 53
#: The numbers that each decoder of messages can read.
_MAX_ENCODED = (1 << 63) - 1
_MAX_NAME_CHARACTERS = 200


class FieldError(ValueError):
    """A field of a record doesn't have the type or the range that its class states."""


def is_whole(value):
    """Return whether a value is a whole number that may come from outside."""
    return type(value) is int and -MAX_WHOLE <= value <= MAX_WHOLE


def is_input(value):
    """Return whether a value is a number that may come from outside."""
    return is_number(value) and -MAX_WHOLE <= value <= MAX_WHOLE


def is_encodable(value):
    """Return whether a value is a whole number that a message may carry.

    It is wider than what may come from outside, as sums of that are sent on.
    """
    return type(value) is int and -_MAX_ENCODED <= value <= _MAX_ENCODED


def is_number(value):
    """Return whether a value is a finite number that a message may carry."""
    return is_encodable(value) or (type(value) is float and math.isfinite(value))


def is_text(value):
    """Return whether a value is a string that can be encoded."""
    if not isinstance(value, str):
        return False
    if value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_name(value):
    """Return whether a value is a string that can be a part of a header and a key."""
    is_short = isinstance(value, str) and 0 < len(value) <= _MAX_NAME_CHARACTERS
    return is_short and value.isprintable()


def _is_amount(value):
    return 0 <= value <= MAX_WHOLE


def _is_number_or_infinite(value):
    return is_number(value) or value == math.inf


def _is_anything(value):
    return True


class _Kind:
    """The check of a type that is not a class, as the metadata of an annotation."""

    __slots__ = ("holds",)

    def __init__(self, holds):
        self.holds = holds


#: A whole number from 0 to `MAX_WHOLE`.
Count = typing.Annotated[int, _is_amount]
#: A number from 0 to `MAX_WHOLE`.
Amount = typing.Annotated[float, _is_amount]
#: A number, or positive infinity.
Limit = typing.Annotated[float, _Kind(_is_number_or_infinite)]
#: A printable string that is not empty.
Name = typing.Annotated[str, _Kind(is_name)]
#: A printable string, or an empty one.
OptionalName = typing.Annotated[str, _Kind(lambda value: value == "" or is_name(value))]

_CHECKS = {
    int: is_encodable,
    float: is_number,
    str: is_text,
    bool: lambda value: type(value) is bool,
    bytes: lambda value: type(value) is bytes,
    tuple: lambda value: type(value) is tuple,
    type(None): lambda value: value is None,
    object: _is_anything,
}


def check_of(annotation):
    """Return the check of a type.

    Args:
      annotation: A type, as in the annotation of a field.

    Returns:
      A function from a value to a boolean, whether it has that type.
    """
    origin = typing.get_origin(annotation)
    arguments = typing.get_args(annotation)
    if origin is typing.Annotated:
        return _annotated_check(*arguments)
    if origin is tuple:
        return _tuple_check(arguments)
    if origin in (typing.Union, types.UnionType):
        checks = [check_of(argument) for argument in arguments]
        return lambda value: any(check(value) for check in checks)
    if annotation in _CHECKS:
        return _CHECKS[annotation]
    # A record, which was checked as it was made.
    return lambda value: type(value) is annotation


def _annotated_check(annotation, condition):
    if isinstance(condition, _Kind):
        return condition.holds
    check = check_of(annotation)
    return lambda value: check(value) and condition(value)


def _tuple_check(arguments):
    if arguments[-1] is ...:
        check = check_of(arguments[0])
        return lambda value: type(value) is tuple and all(map(check, value))
    checks = [check_of(argument) for argument in arguments]
    return lambda value: (
        type(value) is tuple
        and len(value) == len(checks)
        and all(check(item) for check, item in zip(checks, value, strict=True))
    )


class Checks:
    """The checks of the fields of one class, in order."""

    __slots__ = ("_checks", "_class")

    def __init__(self, record_class):
        """Derive the checks.

        Args:
          record_class: A dataclass.
        """
        self._class = record_class
        hints = typing.get_type_hints(record_class, include_extras=True)
        fields = dataclasses.fields(record_class)
        self._checks = [check_of(hints[field.name]) for field in fields]

    def check(self, values):
        """Check the values of the fields.

        Args:
          values: A tuple, in the order of the fields; trailing ones may be missing.

        Raises:
          FieldError: One of them doesn't have the type of its field.
        """
        for check, value in zip(self._checks, values, strict=False):
            if not check(value):
                raise FieldError(self._describe(values))

    def _describe(self, values):
        names = [field.name for field in dataclasses.fields(self._class)]
        wrong = [
            name
            for name, check, value in zip(names, self._checks, values, strict=False)
            if not check(value)
        ]
        return f"{self._class.__name__} has unusable values: {', '.join(wrong)}"


def checked(cls):
    """Make a class an immutable record whose fields are checked as it is made.

    Args:
      cls: A class with annotations.

    Returns:
      A dataclass; creating one raises a FieldError if a value is wrong.
    """

    def check_fields(self):
        checks.check(tuple(getattr(self, name) for name in names))

    cls.__post_init__ = check_fields
    record = dataclasses.dataclass(frozen=True, slots=True)(cls)
    names = [field.name for field in dataclasses.fields(record)]
    checks = Checks(record)
    return record
