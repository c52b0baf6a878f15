"""Steps for the verification of audit records and their explanations."""

import dataclasses

from behave import given, then, when
from features.steps import journal_steps

from jujubeglade.core import _journal_record, clock, journal

_NOON_MS = 1_767_268_800_000
_KEY = b"the cluster key"
_OTHER_KEY = b"a guess"


def open_source(context, source, capacity=1000):
    process, incarnation = source.split("/")
    context.journals[source] = journal.open_journal(
        process, incarnation, context.clock, capacity, _KEY
    )
    return context.journals[source]


def drain(records):
    """Yield the records of a journal and acknowledge them batch by batch."""
    while batch := records.pending(1000, 10_000_000):
        yield from batch
        records.acknowledge(batch[-1].sequence)


def collect(context):
    """Return the records of all journals, taken once; steps tamper with this list."""
    if not hasattr(context, "records"):
        names = sorted(context.journals)
        context.records = [r for name in names for r in drain(context.journals[name])]
    return context.records


def index_of(context, sequence, source):
    records = collect(context)
    return next(
        index
        for index, record in enumerate(records)
        if (record.sequence, record.source) == (sequence, source)
    )


def forge(record, **changes):
    """Change a record and give it a hash under another key."""
    record = dataclasses.replace(record, **changes)
    digest = _journal_record.expected_hash(record, _OTHER_KEY)
    return dataclasses.replace(record, hash=digest)


def advance_to(context, wall_ms):
    context.clock.advance(wall_ms - context.clock.wall_ms())


@given("audit records of these events")
def step_events(context):
    context.clock = clock.ManualClock(_NOON_MS)
    context.journals = {}
    for row in context.table:
        if row["by"] not in context.journals:
            open_source(context, row["by"])
    for row in context.table:
        advance_to(context, _NOON_MS + int(row["at ms"]))
        detail = journal_steps.parse_detail(row["detail"])
        detail = {
            name: value.replace("~", " ") if isinstance(value, str) else value
            for name, value in detail.items()
        }
        kind = journal.Kind(row["kind"])
        context.journals[row["by"]].record(kind, row["subject"], **detail)


@given("{source} recorded {count:d} jobs into a buffer of {capacity:d} records")
def step_overflow(context, source, count, capacity):
    records = open_source(context, source, capacity)
    for number in range(count):
        records.record(journal.Kind.ACCEPTED, f"other-{number}")


@given("{wait:d} ms without events, after which every process marks its journal")
def step_quiet(context, wait):
    for _ in range(2):
        context.clock.advance(wait)
        for records in context.journals.values():
            records.mark_when_idle()


@when("all journals are closed")
@given("all journals are closed")
def step_close_all(context):
    for records in context.journals.values():
        records.close()


@when("all journals but {source} are closed")
def step_close_but(context, source):
    for name, records in context.journals.items():
        if name != source:
            records.close()


@when("record {sequence:d} of {source} is removed")
def step_remove(context, sequence, source):
    del collect(context)[index_of(context, sequence, source)]


@when("record {sequence:d} of {source} is changed")
def step_change(context, sequence, source):
    index = index_of(context, sequence, source)
    record = collect(context)[index]
    collect(context)[index] = dataclasses.replace(record, subject="job-3")


@when("the detail of record {sequence:d} of {source} is made unreadable")
def step_make_unreadable(context, sequence, source):
    index = index_of(context, sequence, source)
    detail = {"ends": 7, "legend": "x", "attempts": 5, "first_ms": "x", "last_ms": 1e99}
    record = dataclasses.replace(collect(context)[index], detail=detail)
    collect(context)[index] = record


@when(
    "the {field} before record {sequence:d} of {source} is changed,"
    " record {removed:d} removed"
)
def step_change_link(context, field, sequence, source, removed):
    changes = {"time": {"previous_ms": 1}, "hash": {"previous_hash": bytes(16)}}
    index = index_of(context, sequence, source)
    record = dataclasses.replace(collect(context)[index], **changes[field])
    collect(context)[index] = record
    step_remove(context, removed, source)


@when("record {sequence:d} of {source} is moved behind record {other:d}")
def step_move(context, sequence, source, other):
    record = collect(context).pop(index_of(context, sequence, source))
    collect(context).insert(index_of(context, other, source) + 1, record)


@when("record {sequence:d} of {source} is repeated")
def step_repeat(context, sequence, source):
    collect(context).append(collect(context)[index_of(context, sequence, source)])


@when("a second record {sequence:d} of {source} is added without the key")
def step_add(context, sequence, source):
    index = index_of(context, sequence, source)
    forged = forge(collect(context)[index], subject="job-3")
    collect(context).insert(index + 1, forged)


@when("record {sequence:d} of {source} is replaced without the key")
def step_replace(context, sequence, source):
    index = index_of(context, sequence, source)
    collect(context)[index] = forge(collect(context)[index], subject="job-3")


@when("{source} is rewritten from record {sequence:d} without the key")
def step_rewrite(context, source, sequence):
    step_replace(context, sequence, source)
    first = index_of(context, sequence, source)
    for index in range(first + 1, len(collect(context))):
        record = collect(context)[index]
        if record.source != source:
            return
        previous = collect(context)[index - 1].hash
        collect(context)[index] = forge(record, previous_hash=previous)


@then("the audit finds nothing")
def step_finds_nothing(context):
    findings = journal.verify(collect(context), _KEY)
    assert findings == (), [str(finding) for finding in findings]


@then("the audit finds")
def step_finds(context):
    actual = "; ".join(map(str, journal.verify(collect(context), _KEY)))
    assert actual == "; ".join(context.text.splitlines()), actual


@then("explaining {subject} gives")
def step_explains(context, subject):
    lines = journal.explain(collect(context), subject, _KEY)
    assert lines == context.text.splitlines(), "\n".join(lines)


@then("explaining {subject} ends with")
def step_explains_end(context, subject):
    lines = journal.explain(collect(context), subject, _KEY)
    expected = context.text.splitlines()
    start = next((n for n, line in enumerate(lines) if "record " not in line), 0)
    assert lines[-len(expected) :] == expected, "\n".join(lines[start:])


@then("every journal was marked once")
def step_marked_once(context):
    marks = [r.source for r in collect(context) if r.kind is journal.Kind.MARK]
    assert marks == sorted(context.journals), marks


@given("{wait:d} ms later {source}, which had been idle, answers {job}")
def step_answer_later(context, wait, source, job):
    context.clock.advance(wait)
    context.journals[source].record(journal.Kind.ANSWERED, job, state="complete")


@when("the records of the first {span:d} ms are left out")
def step_leave_out(context, span):
    kept = [r for r in collect(context) if r.wall_ms >= _NOON_MS + span]
    context.records = kept
