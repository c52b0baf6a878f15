"""The interface to the platform's key-value store.

Data that must survive the processes is kept in a store that the platform runs, with
compare-and-swap, leases and watches. The rest of the project uses the store only
through this module. A driver implements the interface for one product and registers
itself by name::

    client = store.connect(store.Settings("http://127.0.0.1:2379")).unwrap()
    match await client.get("jujubeglade/configuration"):
        case result.Ok(entry): ...
        case result.Err(problem): ...

Calls return problems and raise no exceptions. The outcome of a problem says whether a
write was applied:

| outcome           | meaning                                | what to do            |
|-------------------|----------------------------------------|-----------------------|
| `request_not_run` | the store did not apply this call      | retry if still needed |
| `unknown`         | the answer was lost; it may be applied | read before any retry |

A failed comparison is a problem of kind `conflict` whose outcome is `request_not_run`.
"""

from jujubeglade.core import _etcd
from jujubeglade.core._store_base import (
    MAX_VALUE_BYTES,
    Entry,
    Event,
    Lease,
    Settings,
    Snapshot,
    Store,
    conflict,
    connect,
    driver,
    drivers,
    is_unknown,
    not_applied,
    unknown,
)

__all__ = [
    "MAX_VALUE_BYTES",
    "Entry",
    "Event",
    "Lease",
    "Settings",
    "Snapshot",
    "Store",
    "conflict",
    "connect",
    "driver",
    "drivers",
    "is_unknown",
    "not_applied",
    "unknown",
]

# Importing the drivers registers them.
_BUILT_IN_DRIVERS = (_etcd,)
