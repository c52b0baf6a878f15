"""The record that holds the bounds on what clients send to a process."""

import dataclasses

from jujubeglade.core import _settings_rules as rules

_KIB = 1024
_MIB = 1024 * 1024
#: The sentence for the settings that hold the record.
DOC = "Bounds on what clients send; each has a default."


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Inbound:
    """The bounds on the connections and the input of all clients of a process."""

    memory_mb: int = rules.integer(
        96, 1024 * 1024, "MiB of memory that the VM has for this process.", 160
    )
    max_descriptors: int = rules.integer(
        512,
        1024 * 1024,
        "File descriptors that the VM has for this process; the limit of the system "
        "applies if it is lower.",
        1_638,
    )
    max_connections: int = rules.integer(
        0,
        65_535,
        "Most connections of clients at a time; 0 for as many as `memory_mb` and "
        "`max_descriptors` allow. Beyond it the unfinished request that has kept its "
        "connection longest gives way, or else the new connection is refused.",
        0,
    )
    max_internal_connections: int = rules.integer(
        8,
        65_535,
        "Most connections at a time of each listener that isn't for clients: "
        "readiness, metrics, reports and announcements of workers.",
        64,
    )
    max_handshakes: int = rules.integer(
        0,
        65_535,
        "Most streams at a time whose handshake isn't done; 0 for a quarter of the "
        "connections of clients. Beyond it the oldest of them is closed.",
        0,
    )
    max_head_bytes: int = rules.integer(
        _KIB,
        _MIB,
        "Most bytes of the head of a request, with empty lines before it.",
        32 * _KIB,
    )
    max_unfinished_bytes: int = rules.integer(
        0,
        1024 * _MIB,
        "Bytes received of all requests that are not whole yet; 0 for a quarter of the "
        "memory that the process itself doesn't need. Beyond it the requests that have "
        "held most for longest lose their connections.",
        0,
    )
    max_accepted_bytes: int = rules.integer(
        0,
        1024 * _MIB,
        "Estimated memory of the accepted requests that are not answered yet; 0 for a "
        "quarter of the memory that the process itself doesn't need. Beyond it "
        "requests are refused.",
        0,
    )
    request_ms: int = rules.integer(
        1_000,
        600_000,
        "How long a request may take to arrive, from its first byte or, on a new "
        "connection, from its opening; then the connection is closed.",
        60_000,
    )
