"""The command `submit`: a job that an operator creates for a tenant.

The id of the command stands for one job for ever. Whichever entry is first to take
the command writes the ticket under that id into the store; every other one, and
every repetition, submits with the ticket that it finds there. The key is kept by a
lease for longer than the command may be repeated: its id begins with the time.
"""

import dataclasses
import json

import result

from jujubeglade.core import problem, ticket
from jujubeglade.entry import _command_registry as registry
from jujubeglade.entry import _times, intake
from jujubeglade.query import commands

_PREFIX = "jujubeglade/submissions/"
_ATTEMPTS = 3
# The lease outlives the last moment at which the slowest clock takes the id.
_LEASE_WINDOWS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Claim:
    """What the store holds under the id of a command."""

    ticket: str
    text: str
    by: str


@registry.serves(commands.Submit)
async def submit(entry, order):
    """Create the job, or find the one that this command created before."""
    refused = _refusal(entry, order)
    if refused is not None:
        return result.Err(refused)
    parsed = intake.parse_submission(
        _fields(order.command), order.command.tenant, entry.limits
    )
    if parsed.is_err():
        return result.Err(parsed.err_value[0])
    claimed = await _claim(entry, order)
    if claimed.is_err():
        return claimed
    held = ticket.parse(entry.cluster_key, claimed.ok_value).unwrap()
    submission, _ = parsed.ok_value
    submission = dataclasses.replace(submission, ticket=held.text)
    answered = await entry.submit(submission, held, 0)
    if answered.is_err():
        return answered
    state = answered.ok_value.state
    lines = (f"job {held.key} {state}", f"id {held.text}")
    return result.Ok(registry.Reply(lines, revision=entry.latest.revision))


def _fields(command):
    """Write a command as a client writes a submission."""
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


def _refusal(entry, order):
    """Find what is wrong with a command before anything is done."""
    if order.command.tenant not in entry.settings.caller_tokens:
        known = ", ".join(sorted(entry.settings.caller_tokens))
        return _bad("tenant", "there is no such tenant", f"name one of: {known}")
    issued_ms = _times.issued_ms(order.command_id)
    window_ms = entry.limits.window_ms
    if issued_ms is None or abs(entry.clock.wall_ms() - issued_ms) > window_ms:
        message = "the id does not begin with the time now"
        remedy = "begin it with the ms since 1970 in hexadecimal and a dash"
        return _bad("id", message, remedy)
    return None


async def _claim(entry, order):
    """Fix the ticket of a command; return a Result of its text."""
    issued = entry.issuer.issue(1)
    if issued.is_err():
        return issued
    claim = _Claim(issued.ok_value[0].text, order.text, order.by)
    value = json.dumps(dataclasses.asdict(claim)).encode()
    key = f"{_PREFIX}{order.command_id}"
    for _ in range(_ATTEMPTS):
        granted = await entry.store.grant(_LEASE_WINDOWS * entry.limits.window_ms)
        if granted.is_err():
            return granted
        lease_id = granted.ok_value.lease_id
        written = await entry.store.compare_and_swap(key, value, 0, lease_id)
        if written.is_ok():
            return result.Ok(claim.ticket)
        # Another took the id, or the answer was lost: the key tells.
        read = await entry.store.get(key)
        if read.is_ok() and read.ok_value.mod_revision:
            return _meet(read.ok_value, claim)
    return result.Err(_unclaimed(written.err_value))


def _meet(found, mine):
    """Take the ticket that the store holds, if it is of the same command."""
    held = _Claim(**json.loads(found.value))
    if (held.text, held.by) != (mine.text, mine.by):
        message = f"the id stands for: {held.text}"
        return result.Err(_bad("id", message, "use a new id for a new command"))
    return result.Ok(held.ticket)


def _unclaimed(trouble):
    """Refuse a command whose ticket could not be fixed: nothing was submitted."""
    return problem.Problem(
        kind=problem.Kind.STORE,
        message=f"the store does not hold the command: {trouble.message}",
        remedy="send the command again with the same id",
        outcome=problem.Outcome.REQUEST_NOT_RUN,
        retry_after_ms=1000,
    )


def _bad(place, message, remedy):
    return problem.Problem(
        problem.Kind.BAD_REQUEST, message, remedy, place, problem.Outcome.NOT_RUN
    )
