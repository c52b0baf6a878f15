"""Messages between the processes of this system, and their codec.

A message is an immutable record, registered under a code by `register`. Each
record is encoded as a msgpack extension of that code, whose data is the array of
its fields, so that records can contain other records. A field that is added later
comes last and has a default, so that builds before and after it can talk to each
other. A message that expects an answer is sent inside a `Request`, its answer inside a
`Reply`.

A decoded record has the types and ranges that its class states (`fields`), and is
nested no deeper than messages of this system are. Whatever else arrives is refused as
a whole, before any of it is used.
"""

import dataclasses
import operator

import msgpack
import result

from jujubeglade.core import fields as fields_
from jujubeglade.core import problem

#: The most records within each other. Decoding takes a part of the stack for each one,
#: and a process that has none left is ended by the system.
_MAX_DEPTH = 16

_classes = {}
_checks = {}
_field_counts = {}
_packers = {}


def register(code):
    """Register a record class as a message.

    Args:
      code: An integer from 0 to 127, unique among the messages.

    Returns:
      A decorator that makes the class an immutable record and returns it.
    """

    def decorate(cls):
        record = dataclasses.dataclass(frozen=True, slots=True)(cls)
        fields = dataclasses.fields(record)
        if code in _classes:
            raise ValueError(f"message code {code} is taken; choose another")
        _classes[code] = record
        _checks[code] = fields_.Checks(record)
        _field_counts[code] = len(fields)
        _packers[record] = (code, _fields_getter(fields))
        return record

    return decorate


def _fields_getter(fields):
    """Return a function from a record to the tuple of its fields to be sent.

    Trailing fields that have their default are left out, so that a build that doesn't
    know them reads the message as long as they are not used.
    """
    names = [field.name for field in fields]
    defaults = [
        field.default for field in fields if field.default is not dataclasses.MISSING
    ]
    get_all = _all_fields_getter(names)
    if not defaults:
        return get_all

    def get(record):
        values = get_all(record)
        count = len(values)
        for default in reversed(defaults):
            if values[count - 1] != default:
                break
            count -= 1
        return values[:count]

    return get


def _all_fields_getter(names):
    if not names:
        return lambda record: ()
    getter = operator.attrgetter(*names)
    if len(names) == 1:
        return lambda record: (getter(record),)
    return getter


def encode(message):
    """Encode a message for a stream.

    Args:
      message: A registered record.

    Returns:
      Bytes.
    """
    return _packers_by_depth.pack(message)


def decoder(max_bytes):
    """Make the decoder of one stream.

    Args:
      max_bytes: An integer, the size of the largest message accepted.

    Returns:
      A msgpack.Unpacker; feed it bytes and iterate over the messages.
    """
    return msgpack.Unpacker(
        ext_hook=_unpack,
        use_list=False,
        max_buffer_size=max_bytes,
        strict_map_key=False,
    )


def decode(data):
    """Decode one message.

    Args:
      data: Bytes that `encode` returned.

    Returns:
      A Result of the record, or of a Problem of kind FRAME.
    """
    try:
        record = msgpack.unpackb(data, ext_hook=_unpack, use_list=False)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return result.Err(malformed(error))
    if not is_message(record):
        return result.Err(malformed("it is no message"))
    return result.Ok(record)


def is_message(value):
    """Return whether a decoded value is a registered record.

    Args:
      value: Anything.
    """
    return type(value) in _packers


def malformed(error):
    """Make the problem of a frame that could not be decoded.

    Args:
      error: An exception, or a string that states the cause.

    Returns:
      A Problem of kind FRAME.
    """
    return problem.Problem(
        kind=problem.Kind.FRAME,
        message=f"a frame could not be read: {error}",
        remedy="run the same version of jujubeglade on both sides",
    )


def _pack(value):
    entry = _packers.get(type(value))
    if entry is None:
        raise TypeError(f"{type(value).__name__} is not a message; register it")
    code, fields = entry
    return msgpack.ExtType(code, _packers_by_depth.pack(fields(value)))


class _PackersByDepth:
    """Packers that are used again; one for each level of records within records.

    A new packer allocates a large buffer, which takes several times as long as packing
    a small message. While a packer calls `_pack`, it can't be used itself.
    """

    __slots__ = ("_depth", "_packers")

    def __init__(self):
        self._depth = 0
        self._packers = []

    def pack(self, value):
        """Encode a value as bytes."""
        if self._depth == len(self._packers):
            self._packers.append(msgpack.Packer(default=_pack))
        packer = self._packers[self._depth]
        self._depth += 1
        try:
            return packer.pack(value)
        finally:
            self._depth -= 1


_packers_by_depth = _PackersByDepth()


class _Depth:
    """How many records within each other are being decoded."""

    __slots__ = ("_count",)

    def __init__(self):
        self._count = 0

    def __enter__(self):
        if self._count == _MAX_DEPTH:
            raise ValueError(f"more than {_MAX_DEPTH} records within each other")
        self._count += 1

    def __exit__(self, *_):
        self._count -= 1


_depth = _Depth()


def _unpack(code, data):
    cls = _classes.get(code)
    if cls is None:
        raise ValueError(f"message code {code} is not known")
    with _depth:
        fields = msgpack.unpackb(data, ext_hook=_unpack, use_list=False)
    if type(fields) is not tuple:
        raise ValueError(f"the fields of a {cls.__name__} are not a list")
    # A newer build may send more trailing fields than this one knows.
    fields = fields[: _field_counts[code]]
    _checks[code].check(fields)
    return cls(*fields)


@register(0)
class Request:
    """A message that asks for an answer.

    Attributes:
      number: An integer, unique among the requests that one side sends on a stream.
      body: A message.
    """

    number: int
    body: object


@register(1)
class Reply:
    """The answer to a Request.

    Attributes:
      number: An integer, the number of the request.
      body: A message, or None when the peer failed.
    """

    number: int
    body: object


@register(7)
class Ping:
    """Ask whether the peer is alive; it answers with the same message."""


@register(2)
class Refusal:
    """A Problem, as the answer to a request.

    Attributes:
      kind: A string, a problem.Kind.
      message: A string.
      remedy: A string.
      place: A string.
      outcome: A string, a problem.Outcome.
      retry_after_ms: An integer.
    """

    kind: str
    message: str
    remedy: str
    place: str
    outcome: str
    retry_after_ms: int


def refusal_of(cause):
    """Convert a problem to a message.

    Args:
      cause: A Problem.

    Returns:
      A Refusal.
    """
    return Refusal(
        str(cause.kind),
        cause.message,
        cause.remedy,
        cause.place,
        str(cause.outcome),
        cause.retry_after_ms,
    )


def problem_of(refusal):
    """Convert a message back to a problem.

    Args:
      refusal: A Refusal.

    Returns:
      A Problem.
    """
    return problem.Problem(
        kind=problem.Kind(refusal.kind),
        message=refusal.message,
        remedy=refusal.remedy,
        place=refusal.place,
        outcome=problem.Outcome(refusal.outcome),
        retry_after_ms=refusal.retry_after_ms,
    )
