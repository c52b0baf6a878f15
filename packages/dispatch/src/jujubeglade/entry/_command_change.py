"""The commands that change the configuration."""

import result

from jujubeglade import query
from jujubeglade.core import configuration
from jujubeglade.entry import _command_registry as registry
from jujubeglade.query import commands


@registry.handles(
    commands.DrainZone,
    commands.DrainWorker,
    commands.RestoreZone,
    commands.RestoreWorker,
    commands.SetQuota,
    commands.SetLimit,
    commands.SetRule,
)
async def change(entry, invocation):
    """Change the configuration, and wait for a limited time until it is in force."""
    name, arguments = query.change_of(invocation.command)
    built = configuration.build(name, arguments)
    if built.is_err():
        return built
    command = configuration.Command(
        invocation.command_id,
        invocation.text,
        invocation.by,
        entry.clock.wall_ms(),
        invocation.command.if_revision,
    )
    changed = await entry.change(built.ok_value, command)
    if changed.is_err():
        return changed
    outcome, stage = changed.ok_value
    lines = (f"{outcome.status}: {outcome.text}",)
    return result.Ok(registry.Reply(lines, str(stage), outcome.revision))
