"""The commands that show zones, workers, the configuration and past commands."""

import collections
import datetime

import result

from jujubeglade.core import clock, rules, settings, table
from jujubeglade.entry import _command_registry as registry
from jujubeglade.query import commands

_MAX_COMMANDS = 100
_WORKER_HEAD = (
    *("worker", "zone", "rack", "state", "services"),
    *("running", "queued", "slots", "revision"),
)
_ZONE_HEAD = ("zone", "state", "workers", "running", "queued", "slots")
_COMMAND_HEAD = ("time", "id", "by", "status", "revision", "command")


@registry.serves(commands.ShowWorkers)
async def show_workers(entry, order):
    """List the agents that this entry hears from."""
    document = entry.latest.document
    zone = order.command.zone
    sightings = [presence.sighting for presence in entry.membership.live_agents()]
    rows = [
        _worker_row(document, sighting)
        for sighting in sorted(sightings, key=lambda each: each.member.name)
        if zone in ("", sighting.member.zone)
    ]
    present = {sighting.member.name for sighting in sightings}
    lines = table.render(_WORKER_HEAD, rows)
    if not zone:
        absent = sorted(document.drained_workers - present)
        lines.extend(f"{name} is drained and not heard from" for name in absent)
    return _reply(entry, lines)


@registry.serves(commands.ShowZones)
async def show_zones(entry, order):
    """List the zones of the agents, and the drained ones."""
    document = entry.latest.document
    loads = collections.defaultdict(list)
    for presence in entry.membership.live_agents():
        sighting = presence.sighting
        loads[sighting.member.zone].append(sighting.load)
    names = sorted(loads.keys() | document.drained_zones)
    rows = [_zone_row(name, loads[name], document) for name in names]
    return _reply(entry, table.render(_ZONE_HEAD, rows))


@registry.serves(commands.ShowConfiguration)
async def show_configuration(entry, order):
    """Show the configuration that this entry holds."""
    document = entry.latest.document
    lines = [
        f"revision {document.revision}",
        f"drained zones: {_names(document.drained_zones)}",
        f"drained workers: {_names(document.drained_workers)}",
    ]
    lines.extend(
        f"quota {tenant} {quota.starts_per_s:g}/s weight {quota.weight:g}"
        for tenant, quota in sorted(document.quotas.items())
    )
    lines.extend(_limit_lines(entry, document))
    lines.extend(_rule_lines(document))
    return _reply(entry, lines)


@registry.serves(commands.ShowCommands)
async def show_commands(entry, order):
    """List the outcomes of recent changes, the newest first."""
    outcomes = entry.latest.document.outcomes[: -_MAX_COMMANDS - 1 : -1]
    rows = [
        (
            _time(outcome.wall_ms),
            outcome.command_id,
            outcome.by,
            str(outcome.status),
            outcome.revision,
            outcome.text,
        )
        for outcome in outcomes
    ]
    return _reply(entry, table.render(_COMMAND_HEAD, rows))


def _reply(entry, lines):
    """Answer with lines at the revision that they were read at."""
    reply = registry.Reply(tuple(lines), revision=entry.latest.revision)
    return result.Ok(reply)


def _worker_row(document, sighting):
    member, load = sighting.member, sighting.load
    return (
        member.name,
        member.zone,
        member.rack,
        _worker_state(document, sighting),
        ",".join(member.services) or "none",
        load.running,
        load.queued,
        load.slots,
        sighting.revision,
    )


def _worker_state(document, sighting):
    """Name the first reason why a worker takes no new work."""
    if sighting.leaving:
        return "leaving"
    if sighting.member.zone in document.drained_zones:
        return "zone drained"
    if sighting.member.name in document.drained_workers:
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
    """Show the limits that operators may set, with their origin."""
    for name in settings.live_limits():
        if name in document.limits:
            yield f"limit {name} {document.limits[name]:g}"
        else:
            yield f"limit {name} {getattr(entry.settings.limits, name)} (settings)"


def _rule_lines(document):
    for name, rule in rules.RULES.items():
        chosen = document.rules.get(name)
        yield (
            f"rule {name} {chosen}"
            if chosen
            else f"rule {name} {rule.default} (default)"
        )


def _names(names):
    return ", ".join(sorted(names)) or "none"


def _time(wall_ms):
    moment = datetime.datetime.fromtimestamp(clock.seconds(wall_ms), datetime.UTC)
    return f"{moment:%Y-%m-%d %H:%M:%S}"
