"""The commands that show zones, workers, the configuration and recent commands."""

import collections
import datetime

import result

from jujubeglade.core import clock, rules, settings, table
from jujubeglade.entry import _command_registry as registry
from jujubeglade.query import commands

_MAX_COMMANDS = 100
_WORKER_HEADER = (
    *("worker", "zone", "rack", "state", "services"),
    *("running", "queued", "slots", "revision"),
)
_ZONE_HEADER = ("zone", "state", "workers", "running", "queued", "slots")
_COMMAND_HEADER = ("time", "id", "by", "status", "revision", "command")


@registry.handles(commands.ShowWorkers)
async def show_workers(entry, invocation):
    """List the agents that are connected to this entry."""
    document = entry.latest.document
    zone = invocation.command.zone
    statuses = [agent.status for agent in entry.membership.live_agents()]
    rows = [
        _worker_row(document, status)
        for status in sorted(statuses, key=lambda status: status.member.name)
        if zone in ("", status.member.zone)
    ]
    connected_names = {status.member.name for status in statuses}
    lines = table.render(_WORKER_HEADER, rows)
    if not zone:
        absent_names = sorted(document.drained_workers - connected_names)
        lines.extend(f"{name} is drained and not connected" for name in absent_names)
    return _reply(entry, lines)


@registry.handles(commands.ShowZones)
async def show_zones(entry, invocation):
    """List the zones of the connected agents, and the drained zones."""
    document = entry.latest.document
    loads = collections.defaultdict(list)
    for agent in entry.membership.live_agents():
        status = agent.status
        loads[status.member.zone].append(status.load)
    names = sorted(loads.keys() | document.drained_zones)
    rows = [_zone_row(name, loads[name], document) for name in names]
    return _reply(entry, table.render(_ZONE_HEADER, rows))


@registry.handles(commands.ShowConfiguration)
async def show_configuration(entry, invocation):
    """Show the configuration of this entry."""
    document = entry.latest.document
    lines = [
        f"revision {document.revision}",
        f"drained zones: {_join_names(document.drained_zones)}",
        f"drained workers: {_join_names(document.drained_workers)}",
    ]
    lines.extend(
        f"quota {tenant} {quota.starts_per_s:g}/s weight {quota.weight:g}"
        for tenant, quota in sorted(document.quotas.items())
    )
    lines.extend(_limit_lines(entry, document))
    lines.extend(_rule_lines(document))
    return _reply(entry, lines)


@registry.handles(commands.ShowCommands)
async def show_commands(entry, invocation):
    """List the outcomes of recent changes, newest first."""
    outcomes = entry.latest.document.outcomes[: -_MAX_COMMANDS - 1 : -1]
    rows = [
        (
            _format_time(outcome.wall_ms),
            outcome.command_id,
            outcome.by,
            str(outcome.status),
            outcome.revision,
            outcome.text,
        )
        for outcome in outcomes
    ]
    return _reply(entry, table.render(_COMMAND_HEADER, rows))


def _reply(entry, lines):
    """Build a reply with lines and the current revision."""
    reply = registry.Reply(tuple(lines), revision=entry.latest.revision)
    return result.Ok(reply)


def _worker_row(document, status):
    member, load = status.member, status.load
    return (
        member.name,
        member.zone,
        member.rack,
        _worker_state(document, status),
        ",".join(member.services) or "none",
        load.running,
        load.queued,
        load.slots,
        status.revision,
    )


def _worker_state(document, status):
    """Return the first reason why a worker takes no new tasks, or "in service"."""
    if status.leaving:
        return "leaving"
    if status.member.zone in document.drained_zones:
        return "zone drained"
    if status.member.name in document.drained_workers:
        return "drained"
    return "in service"


def _zone_row(name, loads, document):
    return (
        name,
        "drained" if name in document.drained_zones else "in service",
        len(loads),
        sum(load.running for load in loads),
        sum(load.queued for load in loads),
        sum(load.slots for load in loads),
    )


def _limit_lines(entry, document):
    """Describe the limits that operators may set, and where their values come from."""
    for name in settings.live_limits():
        if name in document.limits:
            yield f"limit {name} {document.limits[name]:g}"
        else:
            yield f"limit {name} {getattr(entry.settings.limits, name)} (settings)"


def _rule_lines(document):
    for name, rule in rules.RULES.items():
        choice = document.rules.get(name)
        yield (
            f"rule {name} {choice}"
            if choice
            else f"rule {name} {rule.default} (default)"
        )


def _join_names(names):
    return ", ".join(sorted(names)) or "none"


def _format_time(wall_ms):
    time = datetime.datetime.fromtimestamp(clock.seconds(wall_ms), datetime.UTC)
    return f"{time:%Y-%m-%d %H:%M:%S}"
