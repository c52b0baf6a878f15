"""The bounds in force on what clients send, computed from the settings.

The memory of the VM beyond what the process itself needs is divided into quarters: for
connections, for requests that are not whole, for accepted requests, and a reserve. A
quarter of the descriptors stays for the connections that the process itself needs.
"""

import dataclasses
import resource

_MIB = 1024 * 1024
#: What a process uses without clients, with its links and its configuration.
_OWN_BYTES = 72 * _MIB
#: The objects of a connection, one read of input, and the system's receive buffer.
_CONNECTION_BYTES = 24 * 1024
#: Descriptors that are not available to sockets.
_FILE_DESCRIPTORS = 200
_SHARES = 4
#: Enough for the largest body, also in chunks of one byte, which are sent as six.
_BODY_FACTOR = 8
#: Several of the largest requests are served side by side.
_ACCEPTED_FACTOR = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of one process.

    Attributes:
      connections: An integer, the most connections of clients.
      internal_connections: An integer, the most of each listener for other processes.
      handshakes: An integer, the most streams whose handshake is not done.
      head_bytes: An integer, the longest head of a request.
      unfinished_bytes: An integer, for all requests that are not whole.
      accepted_bytes: An integer, for all accepted requests that are not answered.
      request_ms: An integer, how long a request may take to arrive.
    """

    connections: int
    internal_connections: int
    handshakes: int
    head_bytes: int
    unfinished_bytes: int
    accepted_bytes: int
    request_ms: int


def of_settings(settings, largest_body_bytes=0):
    """Compute the bounds.

    Args:
      settings: An Inbound of the settings.
      largest_body_bytes: An integer, the largest body that a request may have; 0 if it
        is small beside the memory of any VM.

    Returns:
      A Bounds.
    """
    memory_bytes = settings.memory_mb * _MIB
    share = max(memory_bytes - _OWN_BYTES, memory_bytes // _SHARES) // _SHARES
    descriptors = min(settings.max_descriptors, _available_descriptors())
    # A process with very few descriptors serves a few clients nevertheless.
    sockets = max(descriptors - _FILE_DESCRIPTORS, descriptors // 2)
    connections = min(
        settings.max_connections or share // _CONNECTION_BYTES,
        sockets - sockets // _SHARES,
    )
    return Bounds(
        connections,
        settings.max_internal_connections,
        settings.max_handshakes or connections // _SHARES,
        settings.max_head_bytes,
        settings.max_unfinished_bytes or max(share, _BODY_FACTOR * largest_body_bytes),
        settings.max_accepted_bytes
        or max(share, _ACCEPTED_FACTOR * largest_body_bytes),
        settings.request_ms,
    )


def _available_descriptors():
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft if soft != resource.RLIM_INFINITY else 1 << 20
