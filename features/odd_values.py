"""Odd values: what another writer, a faulty build or a stranger may send.

The values of each kind are at and beyond the edges of what a field may be. A seed gives
the same values each time.
"""

import json
import math
import struct

import msgpack

from jujubeglade.core import _handshake, message
from jujubeglade.direct import contract, job, report_cache, route

NAMES = ("", "x", "a\nb", "é", "x" * 300, "\ud800")
NUMBERS = (
    *(0, 1, -1, 7, 1.5, -0.0, 1 << 31, 1 << 53, (1 << 53) + 1, 1 << 63, (1 << 64) - 1),
    *(-(1 << 53), -(1 << 63), 1e300, -1e300, math.inf, -math.inf, math.nan),
)
OTHERS = (None, True, False, b"", b"\xff\xfe", (), (1,), ("x",), ((),), {}, {"x": 1})
_LARGE_NUMBERS = (10**30, -(10**30))
_CLASSES = (
    *(_handshake.Hello, _handshake.Welcome, _handshake.Proof, message.Request),
    *(message.Reply, message.Refusal, job.Resources, job.TaskName, route.Route),
    *(route.Configuration, route.Evacuations, contract.Beat, contract.Begin),
    *(contract.Halt, contract.Room, contract.Refused, contract.Ended),
    *(contract.Roster, contract.Crash, contract.Crashes, contract.Members),
    *(contract.CompressedConfiguration, report_cache.Copy),
)
_RESOURCES = job.Resources(16_000, 1 << 18, 0)
_TASK = job.TaskName("0123456789abcdef", 0, 3)
_ENDED = contract.Ended(_TASK, 1, "done", 30.5, True, False)
_CRASH = contract.Crash("w-0/1", (_TASK,), (), (_TASK,))
#: One usual message of a kind, to be damaged.
_USUAL = (
    contract.Beat(1, 2, 3, "parts", _RESOURCES, math.inf, 5.0),
    contract.Begin(_TASK, 1, "parts", "spec", _RESOURCES, "", 9, 1500.0, 4.5, False),
    contract.Room(
        *("parts", ("a", "r1"), _RESOURCES, _RESOURCES, _RESOURCES, True, 4),
        *(1, 2, 3, 17.25, False, 100),
    ),
    contract.Roster(((_TASK, 1),), (_ENDED,)),
    contract.Crashes((_CRASH,)),
    report_cache.Copy("w-0", 7, "parts", ("a",), _RESOURCES, 9, 3, (_CRASH,)),
)


def nested(depth):
    """Encode messages within each other.

    Args:
      depth: An integer.

    Returns:
      Bytes.
    """
    data = msgpack.packb(None)
    for number in range(depth):
        data = msgpack.packb(msgpack.ExtType(1, b"\x92" + msgpack.packb(number) + data))
    return data


def encoded(rng):
    """Draw the bytes of a message that may be odd.

    Args:
      rng: A random.Random.

    Returns:
      Bytes.
    """
    draw = rng.choice((_of_odd_fields, _damaged, _nested, _random_bytes))
    return draw(rng)


def _of_odd_fields(rng):
    record_class = rng.choice(_CLASSES)
    usual = rng.choice(_USUAL)
    while True:
        names = record_class.__dataclass_fields__
        values = [_value(rng, usual) for _ in names]
        try:
            return message.encode(record_class(*values))
        except (UnicodeEncodeError, OverflowError, TypeError):
            # No codec of this format can send it.
            continue


def _value(rng, usual):
    kinds = (
        lambda: rng.choice(NAMES),
        lambda: rng.choice(NUMBERS),
        lambda: rng.choice(OTHERS),
        lambda: rng.choice((_RESOURCES, _TASK, usual)),
    )
    return rng.choice(kinds)()


def _damaged(rng):
    data = bytearray(message.encode(rng.choice(_USUAL)))
    for _ in range(rng.randint(1, 4)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data[: rng.choice((len(data), rng.randrange(len(data))))])


def _nested(rng):
    return nested(rng.choice((1, 15, 16, 17, 100, 200, 400, 3000)))


def _random_bytes(rng):
    return rng.randbytes(rng.randrange(200))


def body(rng, usual):
    """Draw a JSON body: a usual one in which some values are odd.

    Args:
      rng: A random.Random.
      usual: A value that can be encoded as JSON.

    Returns:
      Bytes.
    """
    places = list(_places(usual))
    changed = json.loads(json.dumps(usual))
    for place in rng.sample(places, k=min(len(places), rng.randint(1, 3))):
        _replace(changed, place, _json_value(rng))
    return json.dumps(changed).encode()


def _places(value, path=()):
    """Yield the path of each value within a value."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, item in items:
        yield (*path, key)
        if isinstance(item, dict | list):
            yield from _places(item, (*path, key))


def _replace(value, path, odd):
    *parents, last = path
    try:
        for key in parents:
            value = value[key]
        value[last] = odd
    except (TypeError, IndexError, KeyError):
        # An outer value was replaced before.
        return


def _json_value(rng):
    others = (None, True, [], [1], ["x"], [[]], {}, {"x": 1})
    deep = json.loads("[" * 200 + "]" * 200)
    return rng.choice((*NAMES, *NUMBERS, *_LARGE_NUMBERS, *others, deep))


def handshake_frame(data):
    """Put a message into the frame of the handshake."""
    return struct.pack(">I", len(data)) + data
