"""From commands to named changes of the configuration.

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

# The arguments of a change are the fields of its record but this one.
_IF_REVISION = "if_revision"
# How the records of commands that only ask are named.
_READING = ("Show", "Why")

_NAMES = {
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
    return type(command) in _NAMES


def is_reading(command):
    """Tell whether a command only asks, and changes nothing anywhere.

    Args:
      command: A record of `commands`.

    Returns:
      A boolean.
    """
    return type(command).__name__.startswith(_READING)


def change_of(command):
    """Convert a command to a change.

    Args:
      command: A record of `commands` of which `is_change` holds.

    Returns:
      A pair: the name of the change, and a dict of its arguments.
    """
    arguments = dataclasses.asdict(command)
    del arguments[_IF_REVISION]
    return _NAMES[type(command)], arguments
