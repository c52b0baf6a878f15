"""Odd values: what another writer, a faulty build or a stranger may send."""

import struct

import msgpack


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


def handshake_frame(data):
    """Put a message into the frame of the handshake."""
    return struct.pack(">I", len(data)) + data
