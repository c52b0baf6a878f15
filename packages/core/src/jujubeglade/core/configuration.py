"""The configuration of the system: one immutable document in the store.

Operators change it by commands, one compare-and-swap each; a process never applies
a revision older than its own. This module is pure: functions take a document and
return a changed one, and `jujubeglade.entry.ledger` writes it to the store::

    command = configuration.Command("c-17", "drain zone east", "ana", wall_ms)
    match configuration.apply(document, configuration.DrainZone("east"), command):
        case result.Ok(changed): ...
        case result.Err(problem): ...

The outcome of a command stays in the document under the command's id, so that a
repetition of the command gets the same answer.

| status      | meaning                                                          |
|-------------|------------------------------------------------------------------|
| `applied`   | the command changed the document, at the outcome's revision      |
| `unchanged` | the document already had what the command asks for               |
| `lost`      | another command changed the same subject first; nothing was done |
"""

from jujubeglade.core._configuration_changes import (
    ClearLimit,
    ClearQuota,
    ClearRule,
    DrainWorker,
    DrainZone,
    RestoreWorker,
    RestoreZone,
    SetLimit,
    SetQuota,
    SetRule,
    build,
    change,
    change_names,
    describe,
)
from jujubeglade.core._configuration_commands import (
    Command,
    apply,
    conflict,
    find_outcome,
    record_loss,
)
from jujubeglade.core._configuration_document import (
    MAX_OUTCOMES,
    Document,
    Outcome,
    Quota,
    Status,
    clear_limit,
    clear_quota,
    clear_rule,
    drain_worker,
    drain_zone,
    restore_worker,
    restore_zone,
    set_limit,
    set_quota,
    set_rule,
)
from jujubeglade.core._configuration_json import dump, parse, without_outcomes

__all__ = [
    "MAX_OUTCOMES",
    "ClearLimit",
    "ClearQuota",
    "ClearRule",
    "Command",
    "Document",
    "DrainWorker",
    "DrainZone",
    "Outcome",
    "Quota",
    "RestoreWorker",
    "RestoreZone",
    "SetLimit",
    "SetQuota",
    "SetRule",
    "Status",
    "apply",
    "build",
    "change",
    "change_names",
    "clear_limit",
    "clear_quota",
    "clear_rule",
    "conflict",
    "describe",
    "drain_worker",
    "drain_zone",
    "dump",
    "find_outcome",
    "parse",
    "record_loss",
    "restore_worker",
    "restore_zone",
    "set_limit",
    "set_quota",
    "set_rule",
    "without_outcomes",
]
