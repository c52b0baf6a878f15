"""Converts commands to named changes of the configuration.

| record        | change           | arguments                        |
|---------------|------------------|----------------------------------|
| DrainZone     | `drain_zone`     | `zone`                           |
| DrainWorker   | `drain_worker`   | `worker`                         |
| RestoreZone   | `restore_zone`   | `zone`                           |
| RestoreWorker | `restore_worker` | `worker`                         |
| SetQuota      | `set_quota`      | `tenant, starts_per_s, weight`   |
| SetLimit      | `set_limit`      | `name, value`                    |
| SetRule       | `set_rule`       | `name, value`                    |
"""

import dataclasses

from jujubeglade.query import commands

# The arguments of a change are the fields of its record except this one.
_IF_REVISION = "if_revision"
# The prefixes of the class names of commands that only read.
_READ_ONLY_PREFIXES = ("Show", "Why")

_CHANGE_NAMES = {
    commands.DrainZone: "drain_zone",
    commands.DrainWorker: "drain_worker",
    commands.RestoreZone: "restore_zone",
    commands.RestoreWorker: "restore_worker",
    commands.SetQuota: "set_quota",
    commands.SetLimit: "set_limit",
    commands.SetRule: "set_rule",
}


def is_change(command):
    """Tell whether a command changes the configuration.

    Args:
      command: A record of `commands`.

    Returns:
      A boolean.
    """
    return type(command) in _CHANGE_NAMES


def is_read_only(command):
    """Tell whether a command only reads, and changes nothing in any process.

    Args:
      command: A record of `commands`.

    Returns:
      A boolean.
    """
    return type(command).__name__.startswith(_READ_ONLY_PREFIXES)


def change_of(command):
    """Convert a command to a change.

    Args:
      command: A record of `commands` for which `is_change` is true.

    Returns:
      A pair: the name of the change, and a dict of its arguments.
    """
    arguments = dataclasses.asdict(command)
    del arguments[_IF_REVISION]
    return _CHANGE_NAMES[type(command)], arguments
