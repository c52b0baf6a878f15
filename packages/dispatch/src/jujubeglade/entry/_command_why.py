"""The commands that tell what happened, from the audit records.

The story is told from what the store holds, and from what it does not hold yet: the
journals of this entry, of the other entries and of the agents are asked for records
of the subject. Whoever does not answer is named, so that no silence looks like
nothing having happened.
"""

import asyncio

import result

from jujubeglade.core import audit, journal, problem, ticket
from jujubeglade.entry import _command_fleet as fleet
from jujubeglade.entry import _command_registry as registry
from jujubeglade.entry import _times
from jujubeglade.query import commands

_WHOLE = "recorded"


@registry.serves(commands.WhyJob)
async def why_job(entry, order):
    """Tell the story of a job."""
    return await _tell(entry, _key(entry, order.command.job))


@registry.serves(commands.WhyTask)
async def why_task(entry, order):
    """Tell the story of one task of a job."""
    key = _key(entry, order.command.job)
    return await _tell(entry, key, order.command.index)


@registry.serves(commands.WhyRefusal)
async def why_refusal(entry, order):
    """Tell why a request was refused."""
    return await _tell(entry, order.command.refusal)


@registry.serves(commands.WhyCommand)
async def why_command(entry, order):
    """Tell what became of a command."""
    command_id = order.command.command
    for outcome in entry.latest.document.outcomes:
        if outcome.command_id == command_id:
            line = f"{outcome.status} at revision {outcome.revision}: {outcome.text}"
            return await _tell(
                entry, command_id, issued_ms=outcome.wall_ms, lines=(line,)
            )
    return await _tell(entry, command_id)


def _key(entry, named):
    """Accept a job's id as well as its short key."""
    held = ticket.parse(entry.cluster_key, named)
    return held.ok_value.key if held.is_ok() else named


async def _tell(entry, subject, index=None, issued_ms=None, lines=()):
    """Answer with the story of a subject."""
    if issued_ms is None:
        issued_ms = _times.issued_ms(subject)
    if issued_ms is None:
        return result.Err(_without_time(subject))
    found, doubts = await _stored(entry, subject, issued_ms)
    fresh, silent = await _not_stored(entry, subject)
    records = _in_order(found + fresh)
    story = await asyncio.to_thread(
        journal.explain, records, subject, entry.cluster_key, index
    )
    doubts.extend(f"not recorded; no answer from {name}" for name in silent)
    if doubts:
        # What is in doubt can't be called recorded, nor absent.
        story = [line for line in story if not line.startswith(_WHOLE)]
    told = (*lines, *story, *doubts)
    return result.Ok(registry.Reply(told, revision=entry.latest.revision))


async def _stored(entry, subject, issued_ms):
    """Read the records in the store; return them and what is in doubt."""
    match await entry.archive.find(subject, issued_ms):
        case result.Err(trouble):
            return [], [f"not recorded; the store can't be read: {trouble.message}"]
        case result.Ok(found):
            damaged = [f"not recorded; {trouble}" for trouble in found.damaged]
            return list(found.records), damaged


async def _not_stored(entry, subject):
    """Gather records that the store may lack; return them and who was silent."""
    asked = audit.Ask(subject)
    answers, others = await asyncio.gather(
        fleet.ask(entry.membership, asked), entry.peers.ask_records(asked)
    )
    batches, silent = others
    records = []
    for batch in (audit.answer(asked, entry.journal), *answers.bodies, *batches):
        unpacked = journal.unpack(batch.records) if batch.records else result.Ok(())
        records.extend(unpacked.unwrap_or(()))
    return records, [*answers.silent, *silent]


def _in_order(records):
    """List records once each, those of one process in their order."""
    once = {(record.source, record.sequence, record.hash): record for record in records}
    return sorted(once.values(), key=lambda record: (record.source, record.sequence))


def _without_time(subject):
    return problem.Problem(
        kind=problem.Kind.BAD_REQUEST,
        message=f"{subject} holds no time to look at",
        remedy="give an id that begins with the ms since 1970 in hexadecimal",
        place="id",
        outcome=problem.Outcome.NOT_RUN,
    )
