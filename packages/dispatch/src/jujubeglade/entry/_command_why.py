"""The commands that explain what happened, from the audit records.

An explanation uses the records in the store and those that are not stored yet: this
entry, the other entries and the agents are asked for records of the subject in their
journals. The reply names the processes that did not answer, so that a missing answer
doesn't look as if nothing had happened.
"""

import asyncio

import result

from jujubeglade.core import audit, journal, problem, ticket
from jujubeglade.entry import _command_fleet as fleet
from jujubeglade.entry import _command_registry as registry
from jujubeglade.entry import _times
from jujubeglade.query import commands

# The start of the last line of an explanation for which no record is missing.
_COMPLETE = "recorded"


@registry.handles(commands.WhyJob)
async def why_job(entry, invocation):
    """Explain what happened to a job."""
    return await _explain(entry, _key(entry, invocation.command.job))


@registry.handles(commands.WhyTask)
async def why_task(entry, invocation):
    """Explain what happened to one task of a job."""
    key = _key(entry, invocation.command.job)
    return await _explain(entry, key, invocation.command.index)


@registry.handles(commands.WhyRefusal)
async def why_refusal(entry, invocation):
    """Explain why a request was refused."""
    return await _explain(entry, invocation.command.refusal)


@registry.handles(commands.WhyCommand)
async def why_command(entry, invocation):
    """Explain the outcome of a command."""
    command_id = invocation.command.command
    for outcome in entry.latest.document.outcomes:
        if outcome.command_id == command_id:
            line = f"{outcome.status} at revision {outcome.revision}: {outcome.text}"
            return await _explain(
                entry, command_id, issued_ms=outcome.wall_ms, lines=(line,)
            )
    return await _explain(entry, command_id)


def _key(entry, job_id):
    """Return the short key of a job, given by its id or by its short key."""
    job_ticket = ticket.parse(entry.cluster_key, job_id)
    return job_ticket.ok_value.key if job_ticket.is_ok() else job_id


async def _explain(entry, subject, index=None, issued_ms=None, lines=()):
    """Build the reply that explains a subject."""
    if issued_ms is None:
        issued_ms = _times.issued_ms(subject)
    if issued_ms is None:
        return result.Err(_no_time_in_id(subject))
    stored, gaps = await _read_stored(entry, subject, issued_ms)
    unstored, unanswered = await _ask_unstored(entry, subject)
    records = _in_order(stored + unstored)
    explanation = await asyncio.to_thread(
        journal.explain, records, subject, entry.cluster_key, index
    )
    gaps.extend(f"not recorded; no answer from {name}" for name in unanswered)
    if gaps:
        # Records may be missing, so the explanation must not claim to be complete.
        explanation = [line for line in explanation if not line.startswith(_COMPLETE)]
    reply_lines = (*lines, *explanation, *gaps)
    return result.Ok(registry.Reply(reply_lines, revision=entry.latest.revision))


async def _read_stored(entry, subject, issued_ms):
    """Read the records in the store; return them, and a line for each gap."""
    match await entry.archive.find(subject, issued_ms):
        case result.Err(cause):
            return [], [f"not recorded; the store can't be read: {cause.message}"]
        case result.Ok(read_result):
            damaged = [f"not recorded; {damage}" for damage in read_result.damaged]
            return list(read_result.records), damaged


async def _ask_unstored(entry, subject):
    """Ask for records that may not be stored yet.

    Returns:
      A pair: a list of Records, and the names of the processes that did not answer.
    """
    request = audit.Ask(subject)
    answers, others = await asyncio.gather(
        fleet.ask(entry.membership, request), entry.peers.ask_records(request)
    )
    batches, unanswered = others
    records = []
    for batch in (audit.answer(request, entry.journal), *answers.bodies, *batches):
        unpacked = journal.unpack(batch.records) if batch.records else result.Ok(())
        records.extend(unpacked.unwrap_or(()))
    return records, [*answers.unanswered, *unanswered]


def _in_order(records):
    """Remove duplicates and sort the records of each process by their sequence."""
    unique = {
        (record.source, record.sequence, record.hash): record for record in records
    }
    return sorted(unique.values(), key=lambda record: (record.source, record.sequence))


def _no_time_in_id(subject):
    return problem.Problem(
        kind=problem.Kind.BAD_REQUEST,
        message=f"{subject} does not begin with a time",
        remedy="give an id that begins with the ms since 1970 in hexadecimal",
        place="id",
        outcome=problem.Outcome.NOT_RUN,
    )
