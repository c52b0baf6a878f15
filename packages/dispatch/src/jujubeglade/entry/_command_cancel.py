"""The commands that cancel or throttle jobs."""

import collections

import result

from jujubeglade.core import job, problem, routing, ticket
from jujubeglade.entry import _command_fleet as fleet
from jujubeglade.entry import _command_registry as registry
from jujubeglade.query import commands


@registry.handles(commands.CancelJob)
async def cancel_job(entry, invocation):
    """Cancel a job, given by its id or by its short key."""
    reason = f"command {invocation.command_id} of {invocation.by}"
    job_id = invocation.command.job
    job_ticket = ticket.parse(entry.cluster_key, job_id)
    if job_ticket.is_ok():
        answer = await entry.router.cancel(job_ticket.ok_value, "", reason)
        if answer.is_err():
            return answer
        return _reply(entry, answer.ok_value)
    answers = await fleet.ask(entry.membership, routing.Cancel(job_id, "", reason))
    for body in answers.bodies:
        if isinstance(body, job.Answer):
            return _reply(entry, body)
    return result.Err(_not_found(job_id, answers.unanswered))


@registry.handles(commands.CancelTenant)
async def cancel_tenant(entry, invocation):
    """Cancel the running jobs of a tenant at all homes."""
    reason = f"command {invocation.command_id} of {invocation.by}"
    tenant = invocation.command.tenant
    request = routing.CancelTenant(tenant, reason)
    answers = await fleet.ask(entry.membership, request)
    count = sum(body.value for body in answers.bodies)
    lines = [f"{count} running jobs of {tenant} cancelled"]
    lines.extend(
        f"no answer from {name}: its jobs may still run; send the command again"
        for name in answers.unanswered
    )
    status = registry.UNKNOWN if answers.unanswered else registry.DONE
    return result.Ok(registry.Reply(tuple(lines), status, entry.latest.revision))


@registry.handles(commands.ThrottleJob)
async def throttle_job(entry, invocation):
    """Ask the upstreams that run tasks of a job to throttle them."""
    reason = f"command {invocation.command_id} of {invocation.by}"
    key = invocation.command.job.split(".")[0]
    answers = await fleet.ask(entry.membership, routing.Throttle(key, reason))
    if not answers.bodies:
        return result.Err(_not_found(key, answers.unanswered))
    count = sum(body.value for body in answers.bodies)
    line = f"throttling requested for {count} attempts of job {key}"
    return result.Ok(registry.Reply((line,), registry.DONE, entry.latest.revision))


def _reply(entry, answer):
    """Describe the state of a job after it was cancelled."""
    counts = collections.Counter(str(task.outcome) for task in answer.tasks)
    tasks = ", ".join(f"{count} {outcome}" for outcome, count in sorted(counts.items()))
    reason = f": {answer.reason}" if answer.reason else ""
    lines = [f"job {answer.key} {answer.state}{reason}"]
    if tasks:
        lines.append(f"tasks: {tasks}")
    running = answer.state == job.State.RUNNING
    if running:
        lines.append("it is being cancelled; to check its state use: why job")
    status = registry.UNKNOWN if running else registry.DONE
    return result.Ok(registry.Reply(tuple(lines), status, entry.latest.revision))


def _not_found(key, unanswered):
    """Build the problem for a job that no answering agent owns."""
    remedy = "check the id, or use: why job"
    if unanswered:
        remedy = f"no answer from {', '.join(unanswered)}; send the command again"
    return problem.Problem(
        kind=problem.Kind.UNKNOWN_JOB,
        message=f"no worker that answered owns job {key}",
        remedy=remedy,
        place="job",
        outcome=problem.Outcome.UNKNOWN,
    )
