"""The command `submit`, by which an operator creates a job for a tenant.

The id of a command belongs to one job only. The first entry that receives the command
writes a ticket for the job to the store, under the command's id. Every other entry, and
every repetition, submits with the ticket in the store. The id begins with the time, so
that a command can be repeated for a limited time only; the lease of the key is longer.
"""

import dataclasses
import json

import result

from jujubeglade.core import problem, ticket
from jujubeglade.entry import _command_registry as registry
from jujubeglade.entry import _times, intake
from jujubeglade.query import commands

_PREFIX = "jujubeglade/submissions/"
_MAX_ATTEMPTS = 3
# In resubmission windows: the lease must last until even an entry with a slow clock no
# longer accepts the id.
_LEASE_WINDOWS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Claim:
    """The value in the store for the id of a command."""

    ticket: str
    text: str
    by: str


@registry.handles(commands.Submit)
async def submit(entry, invocation):
    """Create the job, or find the one that this command has already created."""
    refusal = _refusal(entry, invocation)
    if refusal is not None:
        return result.Err(refusal)
    parsed = intake.parse_submission(
        _fields(invocation.command), invocation.command.tenant, entry.limits
    )
    if parsed.is_err():
        return result.Err(parsed.err_value[0])
    claimed = await _claim_ticket(entry, invocation)
    if claimed.is_err():
        return claimed
    job_ticket = ticket.parse(entry.cluster_key, claimed.ok_value).unwrap()
    submission, _ = parsed.ok_value
    submission = dataclasses.replace(submission, ticket=job_ticket.text)
    answer = await entry.submit(submission, job_ticket, 0)
    if answer.is_err():
        return answer
    state = answer.ok_value.state
    lines = (f"job {job_ticket.key} {state}", f"id {job_ticket.text}")
    return result.Ok(registry.Reply(lines, revision=entry.latest.revision))


def _fields(command):
    """Convert a command to the fields of a client's submission."""
    task = {
        "service": command.service,
        "payload": command.payload,
        "repeatable": command.repeatable,
    }
    fields = {"tasks": [task] * command.count}
    if command.task_class:
        fields["class"] = command.task_class
    if command.deadline_ms:
        fields["deadline_ms"] = command.deadline_ms
    return fields


def _refusal(entry, invocation):
    """Return the Problem of a command that can't be executed; None if it can."""
    if invocation.command.tenant not in entry.settings.caller_tokens:
        tenants = ", ".join(sorted(entry.settings.caller_tokens))
        return _bad_request(
            "tenant", "there is no such tenant", f"name one of: {tenants}"
        )
    issued_ms = _times.issued_ms(invocation.command_id)
    window_ms = entry.limits.window_ms
    if issued_ms is None or abs(entry.clock.wall_ms() - issued_ms) > window_ms:
        message = "the id does not begin with the current time"
        remedy = "begin it with the ms since 1970 in hexadecimal and a dash"
        return _bad_request("id", message, remedy)
    return None


async def _claim_ticket(entry, invocation):
    """Write a ticket for a command to the store, unless it has one.

    Returns:
      A Result of the text of the ticket in the store, or of a Problem.
    """
    issued = entry.issuer.issue(1)
    if issued.is_err():
        return issued
    claim = _Claim(issued.ok_value[0].text, invocation.text, invocation.by)
    value = json.dumps(dataclasses.asdict(claim)).encode()
    key = f"{_PREFIX}{invocation.command_id}"
    for _ in range(_MAX_ATTEMPTS):
        granted = await entry.store.grant(_LEASE_WINDOWS * entry.limits.window_ms)
        if granted.is_err():
            return granted
        lease_id = granted.ok_value.lease_id
        written = await entry.store.compare_and_swap(key, value, 0, lease_id)
        if written.is_ok():
            return result.Ok(claim.ticket)
        # Another entry may have written the key, or the answer to this write was lost:
        # the value of the key shows which.
        stored = await entry.store.get(key)
        if stored.is_ok() and stored.ok_value.mod_revision:
            return _existing_ticket(stored.ok_value, claim)
    return result.Err(_claim_failed(written.err_value))


def _existing_ticket(store_entry, claim):
    """Return the ticket in the store, if it belongs to the same command."""
    try:
        existing = _Claim(**json.loads(store_entry.value))
    except (ValueError, TypeError, RecursionError) as error:
        message = f"another writer's value is under the id: {error!r}"
        return result.Err(_bad_request("id", message, "use a new id for a new command"))
    if (existing.text, existing.by) != (claim.text, claim.by):
        message = f"the id stands for: {existing.text}"
        return result.Err(_bad_request("id", message, "use a new id for a new command"))
    return result.Ok(existing.ticket)


def _claim_failed(cause):
    """Build the problem for a command without a ticket; nothing was submitted."""
    return problem.Problem(
        kind=problem.Kind.STORE,
        message=f"the command could not be written to the store: {cause.message}",
        remedy="send the command again with the same id",
        outcome=problem.Outcome.REQUEST_NOT_RUN,
        retry_after_ms=1000,
    )


def _bad_request(place, message, remedy):
    return problem.Problem(
        problem.Kind.BAD_REQUEST, message, remedy, place, problem.Outcome.NOT_RUN
    )
