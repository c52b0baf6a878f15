"""Free ports on loopback, for processes whose settings name each other's ports.

They are taken from below the system's range for outgoing connections: such a connection
could otherwise take a port between the choice and the listening.
"""

import os
import random
import socket

_HOST = "127.0.0.1"
_FIRST_PORT = 23_000
_END_PORT = 32_000
#: Sets another range, as FIRST,END, so that test runs side by side don't collide.
_RANGE_VARIABLE = "JUJUBEGLADE_TEST_PORTS"


def free(count):
    """Find ports that are free now.

    All stay bound until the last is found, so that none is found twice.

    Args:
      count: An integer.

    Returns:
      A list of integers.
    """
    sockets = []
    first, last = _range()
    candidates = random.sample(range(first, last), last - first)
    while len(sockets) < count:
        bound = socket.socket()
        try:
            bound.bind((_HOST, candidates.pop()))
        except OSError:
            bound.close()
            continue
        sockets.append(bound)
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


def _range():
    """Return the first port of the range and the one after its last."""
    text = os.environ.get(_RANGE_VARIABLE, f"{_FIRST_PORT},{_END_PORT}")
    first, last = text.split(",")
    return int(first), int(last)
