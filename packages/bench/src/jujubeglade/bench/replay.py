"""Real runs, replayed against the rules of the model.

The audit records of all processes, and the logs of the upstreams, become the events
that `jujubeglade.model.trace` checks:

    replay.check(records, replay.Logs(starts, ends))    # a tuple of Violations

| event                              | taken from                                      |
|------------------------------------|-------------------------------------------------|
| `accepted`, `answered`             | the owner's records                             |
| `claim_sent`, `claimed`            | the records `claimed` of owners, `fenced`       |
| `rejected`, `closed`, `revision`   | records of the same meaning                     |
| `started`                          | each start that an upstream saw; the executor's |
|                                    | record says when among its other acts           |
| `permit`                           | the executor's record of its starts             |
| `placed`                           | a start, and who accepted its generation        |
| `finished`                         | what the upstreams answered                     |
| `refused`                          | an entry's record that names a job              |
| `drained`, `in_force`, `restored`  | the records of commands                         |

A start that no record tells of, since its process died, has a life of its own: the
rules on the order of one life's acts can't be checked of it. Whether records and logs
agree at all is asked by `jujubeglade.bench.truth`.
"""

import collections
import dataclasses

from jujubeglade import query
from jujubeglade.agent import owned_job
from jujubeglade.bench import truth
from jujubeglade.core import journal
from jujubeglade.model import trace
from jujubeglade.query import commands

_IN_STORE = frozenset(("recorded", "accepted", "in_force"))
_SETTLED = _IN_STORE | {"lost"}
_NO_TASK = -1
_READERS = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Logs:
    """What the upstreams wrote down.

    Attributes:
      starts: A sequence of upstream.Started.
      ends: A sequence of upstream.Started, those that were answered.
    """

    starts: tuple
    ends: tuple


def check(records, logs):
    """Replay a run.

    Args:
      records: A sequence of Records of all processes.
      logs: The Logs of all upstreams.

    Returns:
      A tuple of trace.Violations.
    """
    return trace.check(events(records, logs))


def events(records, logs):
    """Turn a run into events.

    Args:
      records: A sequence of Records of all processes.
      logs: The Logs of all upstreams.

    Returns:
      A list of trace.Events, those of each process in its own order.
    """
    run = _Run(records, logs.starts)
    found = []
    for record in run.records:
        reader = _READERS.get(record.kind)
        if reader is not None:
            found.extend(reader(run, record))
    found.extend(_untold(run))
    found.extend(_finished(end) for end in logs.ends)
    return found


class _Run:
    """Records and starts, arranged for the readers."""

    def __init__(self, records, starts):
        unique = {(record.source, record.sequence): record for record in records}
        self.records = [unique[place] for place in sorted(unique)]
        # Starts that no record has told of yet, by process and attempt.
        self.unread = collections.defaultdict(list)
        for start in starts:
            name = (start.name, start.key, start.index, start.attempt)
            self.unread[name].append(start)
        self.repeatable = {}
        self.owners = {}
        self.applied_ms = {}
        self.statuses = collections.defaultdict(set)
        self._arrange()

    def is_repeatable(self, job, index):
        """Tell whether a task may be repeated; one nobody tells of may not."""
        return index in self.repeatable.get(job, ())

    def is_unsure(self, zone):
        """Tell whether a zone may have been restored without an answer."""
        return any(
            "unknown" in statuses and not statuses & _SETTLED
            for (_, command), statuses in self.statuses.items()
            if isinstance(command, commands.RestoreZone) and command.zone == zone
        )

    def applied_since_ms(self, revision):
        """Tell when the first process applied a revision; None when nobody tells."""
        return min(
            (ms for known, ms in self.applied_ms.items() if known >= revision),
            default=None,
        )

    def _arrange(self):
        for record in self.records:
            detail = record.detail
            if record.kind is journal.Kind.ACCEPTED:
                text = detail.get("repeatable", "")
                self.repeatable[record.subject] = journal.unpack_indexes(text)
                generation = detail.get("generation", 0)
                self.owners[record.subject, generation] = record
            elif record.kind is journal.Kind.CONFIGURATION:
                revision = detail["revision"]
                known_ms = self.applied_ms.get(revision, record.wall_ms)
                self.applied_ms[revision] = min(known_ms, record.wall_ms)
            elif record.kind is journal.Kind.COMMAND:
                command = _command_of(record)
                self.statuses[record.subject, command].add(detail["status"])


def _reads(kind):
    """Return a decorator for the reader of one kind of record."""

    def decorate(function):
        _READERS[kind] = function
        return function

    return decorate


def _event(record, kind, **fields):
    """Make an event of the process that wrote a record."""
    fields = {"wall_ms": record.wall_ms} | fields
    return trace.Event(
        process=record.process, incarnation=record.incarnation, kind=kind, **fields
    )


@_reads(journal.Kind.ACCEPTED)
def _accepted(run, record):
    yield _event(
        record,
        trace.Kind.ACCEPTED,
        job=record.subject,
        generation=record.detail.get("generation", 0),
        tasks=record.detail["tasks"],
    )


@_reads(journal.Kind.ANSWERED)
def _answered(run, record):
    ends = journal.unpack_ends(record.detail)
    outcomes = enumerate(end.outcome for end in ends) if ends else [(_NO_TASK, "")]
    for index, outcome in outcomes:
        yield _event(
            record,
            trace.Kind.ANSWERED,
            job=record.subject,
            task=index,
            outcome=outcome,
        )


@_reads(journal.Kind.CLAIMED)
def _claim_sent(run, record):
    yield _of_generation(record, trace.Kind.CLAIM_SENT)


@_reads(journal.Kind.FENCED)
def _claimed(run, record):
    yield _of_generation(record, trace.Kind.CLAIMED)


@_reads(journal.Kind.CLOSED)
def _closed(run, record):
    yield _of_generation(record, trace.Kind.CLOSED)


@_reads(journal.Kind.CONFIGURATION)
def _revision(run, record):
    yield _event(record, trace.Kind.REVISION, revision=record.detail["revision"])


@_reads(journal.Kind.REJECTED)
def _rejected(run, record):
    for index, attempt in truth.attempts(record):
        fields = _attempt_fields(run, record.subject, index, attempt)
        yield _event(record, trace.Kind.REJECTED, **fields)


@_reads(journal.Kind.STARTED)
def _started(run, record):
    yield _event(
        record,
        trace.Kind.PERMIT,
        revision=record.detail.get("permit_revision", 0),
        until_ms=record.detail.get("permit_until_ms", 0),
    )
    for index, attempt in truth.attempts(record):
        name = (record.process, record.subject, index, attempt)
        for start in run.unread.pop(name, ()):
            fields = _attempt_fields(run, record.subject, index, attempt)
            yield from _placed(run, record, fields)
            yield _event(
                record,
                trace.Kind.STARTED,
                wall_ms=start.wall_ms,
                zone=start.zone,
                **fields,
            )


@_reads(journal.Kind.REFUSED)
def _refused(run, record):
    job = record.detail.get("job")
    outcome = record.detail.get("outcome")
    if job and outcome:
        yield _event(record, trace.Kind.REFUSED, job=job, outcome=outcome)


@_reads(journal.Kind.COMMAND)
def _command(run, record):
    command = _command_of(record)
    status = record.detail["status"]
    if status not in _IN_STORE:
        return
    fields = {"revision": record.detail["revision"]}
    if isinstance(command, commands.DrainZone) and status != "recorded":
        fields["zone"] = command.zone
        yield _event(record, trace.Kind.DRAINED, **fields)
        if status == "in_force" and not run.is_unsure(command.zone):
            yield _event(record, trace.Kind.IN_FORCE, **fields)
    elif isinstance(command, commands.RestoreZone):
        # Agents serve the zone from the moment of the change, not of its answer.
        applied_ms = run.applied_since_ms(fields["revision"]) or record.wall_ms
        fields["wall_ms"] = min(applied_ms, record.wall_ms)
        yield _event(record, trace.Kind.RESTORED, zone=command.zone, **fields)


def _command_of(record):
    """Read a recorded command again; None for one that can't be read."""
    parsed = query.parse(record.detail["text"])
    return parsed.ok_value if parsed.is_ok() else None


def _of_generation(record, kind):
    generation = record.detail["generation"]
    return _event(record, kind, job=record.subject, generation=generation)


def _attempt_fields(run, job, index, attempt):
    """Name an attempt as events do."""
    generation, number = owned_job.split_attempt(attempt)
    return {
        "job": job,
        "task": index,
        "generation": generation,
        "attempt": number,
        "repeatable": run.is_repeatable(job, index),
    }


def _placed(run, record, fields):
    """Tell who placed an attempt that was started, unless it had no choice."""
    owner = run.owners.get((fields["job"], fields["generation"]))
    if owner is None or owner.detail.get("group") == 1:
        return
    itself = owner.source == record.source
    target = owner.process if itself else record.source
    yield _event(owner, trace.Kind.PLACED, target=target, **fields)


def _untold(run):
    """Yield the starts of processes whose records were lost with them."""
    for starts in run.unread.values():
        for start in starts:
            fields = _attempt_fields(run, start.key, start.index, start.attempt)
            permit = {"kind": trace.Kind.PERMIT, "until_ms": start.start_by_ms}
            yield trace.Event(start.wall_ms, start.name, **permit)
            yield trace.Event(
                start.wall_ms, start.name, trace.Kind.STARTED, zone=start.zone, **fields
            )


def _finished(end):
    generation, number = owned_job.split_attempt(end.attempt)
    return trace.Event(
        end.wall_ms,
        end.name,
        trace.Kind.FINISHED,
        job=end.key,
        task=end.index,
        generation=generation,
        attempt=number,
    )
