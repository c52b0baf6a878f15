"""The command `show jobs`, answered by the homes of the jobs."""

import heapq

import result

from jujubeglade.core import routing, table
from jujubeglade.entry import _command_fleet as fleet
from jujubeglade.entry import _command_registry as registry
from jujubeglade.query import commands

_MAX_ROWS = 100
_HEADER = ("job", "tenant", "state", "tasks", "done")


@registry.handles(commands.ShowJobs)
async def show_jobs(entry, invocation):
    """List the newest jobs of all homes."""
    command = invocation.command
    request = routing.ListJobs(command.tenant, command.state, _MAX_ROWS)
    answers = await fleet.ask(entry.membership, request)
    rows = [row for body in answers.bodies for row in body.rows]
    total = sum(body.total for body in answers.bodies)
    newest = heapq.nlargest(_MAX_ROWS, rows, key=_issued_ms)
    cells = [(row.key, row.tenant, row.state, row.tasks, row.done) for row in newest]
    lines = table.render(_HEADER, cells)
    if total > len(newest):
        lines.append(f"{total - len(newest)} older jobs are not shown")
    lines.extend(
        f"no answer from {name}: its jobs are missing" for name in answers.unanswered
    )
    status = registry.UNKNOWN if answers.unanswered else registry.DONE
    return result.Ok(registry.Reply(tuple(lines), status, entry.latest.revision))


def _issued_ms(row):
    """Parse the issue time in a job key; keys of one millisecond have no order."""
    return int(row.key.partition("-")[0], 16)
