"""The commands that cancel or throttle jobs."""

import collections

import result

from jujubeglade.core import job, problem, routing, ticket
from jujubeglade.entry import _command_fleet as fleet
from jujubeglade.entry import _command_registry as registry
from jujubeglade.query import commands


@registry.serves(commands.CancelJob)
async def cancel_job(entry, order):
    """Cancel a job, named by its id or by its short key."""
    reason = f"command {order.command_id} of {order.by}"
    named = order.command.job
    held = ticket.parse(entry.cluster_key, named)
    if held.is_ok():
        answered = await entry.router.cancel(held.ok_value, "", reason)
        if answered.is_err():
            return answered
        return _reply(entry, answered.ok_value)
    answers = await fleet.ask(entry.membership, routing.Cancel(named, "", reason))
    for body in answers.bodies:
        if isinstance(body, job.Answer):
            return _reply(entry, body)
    return result.Err(_not_found(named, answers.silent))


@registry.serves(commands.CancelTenant)
async def cancel_tenant(entry, order):
    """Cancel the running jobs of a tenant at all homes."""
    reason = f"command {order.command_id} of {order.by}"
    tenant = order.command.tenant
    asked = routing.CancelTenant(tenant, reason)
    answers = await fleet.ask(entry.membership, asked)
    count = sum(body.value for body in answers.bodies)
    lines = [f"{count} running jobs of {tenant} cancelled"]
    lines.extend(
        f"no answer from {name}: its jobs may run on; send the command again"
        for name in answers.silent
    )
    status = registry.UNKNOWN if answers.silent else registry.DONE
    return result.Ok(registry.Reply(tuple(lines), status, entry.latest.revision))


@registry.serves(commands.ThrottleJob)
async def throttle_job(entry, order):
    """Have what runs of a job throttled by its upstreams."""
    reason = f"command {order.command_id} of {order.by}"
    key = order.command.job.split(".")[0]
    answers = await fleet.ask(entry.membership, routing.Throttle(key, reason))
    if not answers.bodies:
        return result.Err(_not_found(key, answers.silent))
    count = sum(body.value for body in answers.bodies)
    line = f"{count} attempts of job {key} told to run with less"
    return result.Ok(registry.Reply((line,), registry.DONE, entry.latest.revision))


def _reply(entry, answer):
    """Describe the answer of a job after it was cancelled."""
    counts = collections.Counter(str(task.outcome) for task in answer.tasks)
    tasks = ", ".join(f"{count} {outcome}" for outcome, count in sorted(counts.items()))
    reason = f": {answer.reason}" if answer.reason else ""
    lines = [f"job {answer.key} {answer.state}{reason}"]
    if tasks:
        lines.append(f"tasks: {tasks}")
    running = answer.state == job.State.RUNNING
    if running:
        lines.append("it is being closed; look again with: why job")
    status = registry.UNKNOWN if running else registry.DONE
    return result.Ok(registry.Reply(tuple(lines), status, entry.latest.revision))


def _not_found(key, silent):
    remedy = "check the id; look with: why job"
    if silent:
        remedy = f"no answer from {', '.join(silent)}; send the command again"
    return problem.Problem(
        kind=problem.Kind.UNKNOWN_JOB,
        message=f"no worker heard from owns job {key}",
        remedy=remedy,
        place="job",
        outcome=problem.Outcome.UNKNOWN,
    )
