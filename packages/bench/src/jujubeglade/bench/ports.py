"""Free ports on loopback, for processes that must know each other's beforehand."""

import socket

_HOST = "127.0.0.1"


def free(count):
    """Find ports that are free now.

    All are held until the last is found, so that none is found twice.

    Args:
      count: An integer.

    Returns:
      A list of integers.
    """
    held = [socket.socket() for _ in range(count)]
    for each in held:
        each.bind((_HOST, 0))
    ports = [each.getsockname()[1] for each in held]
    for each in held:
        each.close()
    return ports
