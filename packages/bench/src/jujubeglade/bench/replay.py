"""Replays real runs against the rules of the model.

The audit records of all processes and the logs of the upstreams are turned into the
events that `jujubeglade.model.trace` checks:

    replay.check(records, replay.Logs(starts, ends))    # a tuple of Violations

| event                              | taken from                                      |
|------------------------------------|-------------------------------------------------|
| `accepted`, `answered`             | the owner's records                             |
| `claim_sent`, `claimed`            | the records `claimed` of owners, `fenced`       |
| `rejected`, `closed`, `revision`   | records of the same meaning                     |
| `started`                          | each start that an upstream saw; the executor's |
|                                    | record places it among its other events         |
| `permit`                           | the executor's record of its starts             |
| `placed`                           | a start, and the owner of its generation        |
| `finished`                         | what the upstreams answered                     |
| `refused`                          | an entry's record that names a job              |
| `drained`, `in_force`, `restored`  | the records of commands                         |

A start without a record, since its process died first, is an event without an
incarnation: the rules on the order of events within one incarnation can't be checked
for it. `jujubeglade.bench.truth` checks whether records and logs agree at all.
"""

import collections
import dataclasses

from jujubeglade import query
from jujubeglade.agent import owned_job
from jujubeglade.bench import truth
from jujubeglade.core import journal
from jujubeglade.model import trace
from jujubeglade.query import commands

_STORED = frozenset(("recorded", "accepted", "in_force"))
_CERTAIN = _STORED | {"lost"}
_NO_TASK = -1
_READERS = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Logs:
    """What the upstreams logged.

    Attributes:
      starts: A sequence of upstream.Started.
      ends: A sequence of upstream.Started, one for each answered task.
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
    """Turn the records and logs of a run into events.

    Args:
      records: A sequence of Records of all processes.
      logs: The Logs of all upstreams.

    Returns:
      A list of trace.Events, ordered within each process.
    """
    run = _Run(records, logs.starts)
    trace_events = []
    for record in run.records:
        reader = _READERS.get(record.kind)
        if reader is not None:
            trace_events.extend(reader(run, record))
    trace_events.extend(_unrecorded_starts(run))
    trace_events.extend(_finished(end) for end in logs.ends)
    return trace_events


class _Run:
    """Records and starts, indexed for the readers."""

    def __init__(self, records, starts):
        unique = {(record.source, record.sequence): record for record in records}
        self.records = [unique[position] for position in sorted(unique)]
        # Starts for which no record has been read yet, by process and attempt.
        self.unrecorded = collections.defaultdict(list)
        for start in starts:
            name = (start.name, start.key, start.index, start.attempt)
            self.unrecorded[name].append(start)
        self.repeatable = {}
        self.owners = {}
        self.first_applied_ms = {}
        self.statuses = collections.defaultdict(set)
        self._index_records()

    def is_repeatable(self, job, index):
        """Return whether a task may be repeated; one without a record may not."""
        return index in self.repeatable.get(job, ())

    def may_be_restored(self, zone):
        """Return whether a zone may have been restored by an unanswered command."""
        return any(
            "unknown" in statuses and not statuses & _CERTAIN
            for (_, command), statuses in self.statuses.items()
            if isinstance(command, commands.RestoreZone) and command.zone == zone
        )

    def applied_at_ms(self, revision):
        """Return when a process first applied a revision or a later one.

        Returns:
          A number; None when no record shows it.
        """
        return min(
            (
                ms
                for applied, ms in self.first_applied_ms.items()
                if applied >= revision
            ),
            default=None,
        )

    def _index_records(self):
        for record in self.records:
            detail = record.detail
            if record.kind is journal.Kind.ACCEPTED:
                text = detail.get("repeatable", "")
                self.repeatable[record.subject] = journal.unpack_indexes(text)
                generation = detail.get("generation", 0)
                self.owners[record.subject, generation] = record
            elif record.kind is journal.Kind.CONFIGURATION:
                revision = detail["revision"]
                first_ms = self.first_applied_ms.get(revision, record.wall_ms)
                self.first_applied_ms[revision] = min(first_ms, record.wall_ms)
            elif record.kind is journal.Kind.COMMAND:
                command = _command_of(record)
                self.statuses[record.subject, command].add(detail["status"])


def _reads(kind):
    """Return a decorator that registers the reader of one kind of record."""

    def decorate(function):
        _READERS[kind] = function
        return function

    return decorate


def _event(record, kind, **fields):
    """Make an event in the process that wrote a record."""
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
    yield _generation_event(record, trace.Kind.CLAIM_SENT)


@_reads(journal.Kind.FENCED)
def _claimed(run, record):
    yield _generation_event(record, trace.Kind.CLAIMED)


@_reads(journal.Kind.CLOSED)
def _closed(run, record):
    yield _generation_event(record, trace.Kind.CLOSED)


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
        for start in run.unrecorded.pop(name, ()):
            fields = _attempt_fields(run, record.subject, index, attempt)
            yield from _placement(run, record, fields)
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
    if status not in _STORED:
        return
    fields = {"revision": record.detail["revision"]}
    if isinstance(command, commands.DrainZone) and status != "recorded":
        fields["zone"] = command.zone
        yield _event(record, trace.Kind.DRAINED, **fields)
        if status == "in_force" and not run.may_be_restored(command.zone):
            yield _event(record, trace.Kind.IN_FORCE, **fields)
    elif isinstance(command, commands.RestoreZone):
        # Agents use the zone again once they apply the change, before its answer.
        applied_ms = run.applied_at_ms(fields["revision"]) or record.wall_ms
        fields["wall_ms"] = min(applied_ms, record.wall_ms)
        yield _event(record, trace.Kind.RESTORED, zone=command.zone, **fields)


def _command_of(record):
    """Parse a recorded command; return None if that fails."""
    parsed = query.parse(record.detail["text"])
    return parsed.ok_value if parsed.is_ok() else None


def _generation_event(record, kind):
    generation = record.detail["generation"]
    return _event(record, kind, job=record.subject, generation=generation)


def _attempt_fields(run, job, index, attempt):
    """Return the fields that identify an attempt in events."""
    generation, number = owned_job.split_attempt(attempt)
    return {
        "job": job,
        "task": index,
        "generation": generation,
        "attempt": number,
        "repeatable": run.is_repeatable(job, index),
    }


def _placement(run, record, fields):
    """Yield who placed a started attempt, unless the owner had no choice."""
    owner = run.owners.get((fields["job"], fields["generation"]))
    if owner is None or owner.detail.get("group") == 1:
        return
    is_local = owner.source == record.source
    target = owner.process if is_local else record.source
    yield _event(owner, trace.Kind.PLACED, target=target, **fields)


def _unrecorded_starts(run):
    """Yield the starts whose records were lost with their process."""
    for starts in run.unrecorded.values():
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
