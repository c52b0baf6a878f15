"""Steps for the audit records of one process."""

from behave import given, then, when

from jujubeglade.core import clock, journal

_MAX_RECORDS = 1000
_MAX_BYTES = 1_000_000


def parse_detail(text):
    """Parse `name=value` words; a number becomes an integer."""
    pairs = (word.split("=", 1) for word in text.split())
    return {name: int(v) if v.isdigit() else v for name, v in pairs}


def pending(context):
    return context.journal.pending(_MAX_RECORDS, _MAX_BYTES)


def label(record):
    if record.kind is journal.Kind.GAP:
        return f"gap-{record.sequence}-to-{record.last_sequence}"
    return f"{record.sequence}-{record.kind}"


@given("a journal of {process}/{incarnation} that holds {capacity:d} records")
def step_journal(context, process, incarnation, capacity):
    context.clock = clock.ManualClock(1_000_000)
    context.journal = journal.open_journal(
        process, incarnation, context.clock, capacity, b"cluster key"
    )
    context.attempts = journal.open_attempt_log(context.journal, context.clock)


@when("the journal records")
def step_record_rows(context):
    for row in context.table:
        kind = journal.Kind(row["kind"])
        context.journal.record(kind, row["subject"], **parse_detail(row["detail"]))


@when("the journal records {count:d} jobs")
def step_record_jobs(context, count):
    for number in range(count):
        context.journal.record(journal.Kind.ACCEPTED, f"job-{number}", tasks=1)


@when("the journal records a job whose tenant is half a surrogate pair")
def step_record_surrogate(context):
    context.journal.record(journal.Kind.ACCEPTED, "job-\ud800", tenant="\ud800")


@when("the journal records a job whose size is 2 to the 70th")
def step_record_large(context):
    context.journal.record(journal.Kind.ACCEPTED, "job-2", size=2**70)


@when("the journal's records up to {sequence:d} are acknowledged")
def step_acknowledge(context, sequence):
    context.journal.acknowledge(sequence)


@when("a batch of {count:d} records is taken from the journal")
def step_take(context, count):
    assert len(context.journal.pending(count, _MAX_BYTES)) == count


@when("an executor records {kind} {attempts} of {job}")
def step_record_attempts(context, kind, attempts, job):
    for index, attempt in journal.unpack_attempts(attempts):
        context.attempts.add(journal.Kind(kind), job, index, attempt)


@when("an executor starts a task of {job} every {step:d} ms for {total:d} ms")
def step_start_regularly(context, job, step, total):
    for index in range(total // step):
        context.attempts.add(journal.Kind.STARTED, job, index, 1)
        context.clock.advance(step)
        context.attempts.flush_due()


@when("{duration:d} ms pass for the journal")
def step_pass(context, duration):
    context.clock.advance(duration)
    context.attempts.flush_due()


@then("the journal lists {labels}")
def step_lists(context, labels):
    actual = " ".join(label(record) for record in pending(context))
    assert actual == labels, actual


@then("the journal lists, after record {sequence:d}, {labels}")
def step_lists_after(context, sequence, labels):
    batch = context.journal.pending(_MAX_RECORDS, _MAX_BYTES, after=sequence)
    actual = " ".join(label(record) for record in batch)
    assert actual == labels.removesuffix("nothing"), actual


@then("two batches of {count:d} records from the journal are equal")
def step_equal_batches(context, count):
    first = context.journal.pending(count, _MAX_BYTES)
    second = context.journal.pending(count, _MAX_BYTES)
    assert len(first) == count
    assert first == second


@then("the journal counts {count:d} lost records")
def step_lost(context, count):
    assert context.journal.lost_count == count, context.journal.lost_count


@then("the journal's last record has {name}={value}")
def step_last_detail(context, name, value):
    assert pending(context)[-1].detail[name] == value


@given("a job whose tasks ended as")
def step_ends(context):
    context.ends = tuple(
        journal.TaskEnd(row["outcome"], row["executor"], int(row["attempt"]))
        for row in context.table
    )


@then("the ends of the tasks are encoded as")
def step_encoded_ends(context):
    detail = journal.pack_ends(context.ends)
    expected = dict(line.split(None, 1) for line in context.text.splitlines())
    assert detail == expected, detail
    assert journal.unpack_ends(detail) == context.ends


@then("the journal's records are equal after packing and unpacking")
def step_round_trip(context):
    records = pending(context)
    assert records
    assert journal.unpack(journal.pack(records)).ok_value == records


@then("bytes that are no batch are refused as {kind}")
def step_bad_bytes(context, kind):
    for data in (b"\xc1", b"\x93\x01", b"\x91\x01", b""):
        assert journal.unpack(data).err_value.kind == kind
