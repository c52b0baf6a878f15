"""Steps for the archive of an entry, with a store that may fail."""

import asyncio
import dataclasses
import random
import string

from behave import given, then, when
from result import Err, Ok

from jujubeglade.core import clock, journal, problem
from jujubeglade.entry import archive

_NOON_MS = 1_767_268_800_000
_KEY = b"the cluster key"
_JOURNAL_CAPACITY = 100
#: Records are written at the latest after this time.
_LONGEST_WAIT_MS = 10_000
_INCARNATIONS = {"agent-1": "aa", "agent-2": "bb"}


@dataclasses.dataclass
class StoredEntry:
    """A key as the store holds it."""

    key: str
    value: bytes
    mod_revision: int


@dataclasses.dataclass
class StoredLease:
    """A lease that the store granted."""

    lease_id: int


class FakeStore:
    """A store in memory that can be down or lose answers."""

    def __init__(self):
        """Create a store that is empty and up."""
        self.values = {}
        self.down = False
        self.lost_answers = 0
        self.writes = []
        self.reads = 0
        self.leases = []
        self.lease_of = {}

    def _problem(self, kind=problem.Kind.STORE):
        return Err(problem.Problem(kind, "the store failed", "wait"))

    async def get(self, key):
        """Read one key."""
        if self.down:
            return self._problem()
        return Ok(StoredEntry(key, self.values.get(key, b""), 1))

    async def get_prefix(self, prefix):
        """Read the entries whose keys begin with a prefix."""
        self.reads += 1
        if self.down:
            return self._problem()
        keys = sorted(key for key in self.values if key.startswith(prefix))
        return Ok(tuple(StoredEntry(key, self.values[key], 1) for key in keys))

    async def grant(self, ttl_ms):
        """Grant a lease."""
        if self.down:
            return self._problem()
        self.leases.append(ttl_ms)
        return Ok(StoredLease(len(self.leases)))

    async def compare_and_swap(self, key, value, mod_revision, lease_id=0):
        """Create a key."""
        self.lease_of[key] = lease_id
        assert len(value) < 1_000_000
        if self.down:
            return self._problem()
        if key in self.values:
            return self._problem(problem.Kind.CONFLICT)
        self.values[key] = value
        self.writes.append(key)
        if self.lost_answers:
            self.lost_answers -= 1
            return self._problem()
        return Ok(1)


class Sender:
    """An agent that sends its records to one or more archives, as over a link."""

    def __init__(self, name, manual, archives):
        """Open the agent's journal."""
        self.journal = journal.open_journal(
            name, _INCARNATIONS[name], manual, _JOURNAL_CAPACITY, _KEY
        )
        self.archives = archives
        self.batch_bytes = 2000

    def send(self):
        """Offer the pending records to each archive."""
        batch = self.journal.pending(50, self.batch_bytes)
        for entry_archive in self.archives:
            if batch:
                entry_archive.offer(batch)

    def on_stored(self, process, incarnation, sequence):
        """Acknowledge the records that an archive reports as stored."""
        if process == self.journal.process:
            self.journal.acknowledge(sequence)


def make_archive(context, name, **bounds):
    own_journal = journal.open_journal(
        name, "ee", context.clock, _JOURNAL_CAPACITY, _KEY
    )
    return archive.open_archive(own_journal, context.store, context.clock, **bounds)


def connect(context):
    context.senders = {
        name: Sender(name, context.clock, context.archives) for name in _INCARNATIONS
    }
    for entry_archive in context.archives:
        for sender in context.senders.values():
            entry_archive.subscribe_stored(sender.on_stored)


def run_archives(context, seconds, each_second=None):
    """Run every sender and archive once a second."""

    async def run_seconds():
        for second in range(seconds):
            context.clock.advance(1000)
            if each_second:
                each_second(second)
            for sender in context.senders.values():
                sender.journal.mark_when_idle()
                sender.send()
            for entry_archive in context.archives:
                await entry_archive.step()

    asyncio.run(run_seconds())


def record_job(context, name, job):
    records = context.senders[name].journal
    records.record(
        journal.Kind.ACCEPTED, job, candidates=f"{name}/{_INCARNATIONS[name]}"
    )
    records.record(journal.Kind.ANSWERED, job, state="complete")


def read_all(context):
    return asyncio.run(context.archives[0].read_all()).ok_value


@given("the archive of entry-1 with an empty store")
def step_archive(context):
    context.clock = clock.ManualClock(_NOON_MS)
    context.store = FakeStore()
    context.archives = [make_archive(context, "entry-1")]
    context.issued_ms = {}


@given("agent-1 and agent-2 send it their records")
def step_senders(context):
    connect(context)


@given("the archive buffers at most {size:d} bytes")
def step_bound(context, size):
    context.archives = [make_archive(context, "entry-1", max_bytes=size)]
    connect(context)


@given("the archive keeps records for {days:d} days")
def step_retention(context, days):
    retention_ms = days * 24 * 3600 * 1000
    context.archives = [
        make_archive(context, "entry-1", max_bytes=10000, retention_ms=retention_ms)
    ]
    connect(context)


@when("{hours:d} hours pass without records")
def step_hours(context, hours):
    context.clock.advance(hours * 3600 * 1000)


@then("the segments are attached to leases {leases} of {hours:d} hours")
def step_leases(context, leases, hours):
    actual = [context.store.lease_of[key] for key in context.store.writes]
    assert " ".join(map(str, actual)) == leases, actual
    assert set(context.store.leases) == {hours * 3600 * 1000}, context.store.leases


@given("entry-2 got the records of agent-1 too, after its link to entry-1 broke")
def step_second_entry(context):
    context.archives.append(make_archive(context, "entry-2"))
    connect(context)
    context.senders["agent-2"].archives = []


@given("the store is down")
def step_down(context):
    context.store.down = True


@when("the store is up again")
def step_up(context):
    context.store.down = False


@given("the store applies the next {count:d} writes but loses the answers")
def step_lose(context, count):
    context.store.lost_answers = count


@given("another writer has taken the next key of the archive")
def step_take_key(context):
    bucket = f"jujubeglade/records/{_NOON_MS:015d}/"
    context.taken_key = f"{bucket}entry-1.ee.00000001"
    context.store.values[context.taken_key] = b"not a segment"


@when("{name} records all events of {job}")
def step_record_job(context, name, job):
    context.issued_ms[job] = context.clock.wall_ms()
    record_job(context, name, job)


@when("the archive runs for {seconds:d} seconds")
def step_run_archives(context, seconds):
    run_archives(context, seconds)


@when("{name} records {count:d} jobs while the archive runs for {seconds:d} seconds")
def step_record_many(context, name, count, seconds):
    def record(second):
        for number in range(count // seconds):
            record_job(context, name, f"many-{second}-{number}")

    run_archives(context, seconds, record)


@when("the archive runs for {seconds:d} seconds, with a job of {name} every minute")
def step_pass_with_jobs(context, seconds, name):
    def record(second):
        if second % 60 == 0:
            record_job(context, name, f"minute-{second}")

    run_archives(context, seconds, record)


@when("{name} records {count:d} times {size:d} random characters")
def step_record_noise(context, name, count, size):
    noise = random.Random(1)
    alphabet = string.ascii_letters + string.digits + "-_"
    sender = context.senders[name]
    sender.batch_bytes = 10_000_000
    for number in range(count):
        text = "".join(noise.choices(alphabet, k=size))
        sender.journal.record(journal.Kind.COMMAND, f"command-{number}", text=text)


@when("the first segment is damaged")
def step_damage(context):
    context.store.values[min(context.store.values)] = b"\x00 not zlib"


@when("the archive finishes")
def step_finish(context):
    for sender in context.senders.values():
        sender.send()
    assert asyncio.run(context.archives[0].finish()).is_ok()


@then("the store received {count:d} writes")
def step_writes(context, count):
    assert len(context.store.writes) == count, context.store.writes


@then("the store received at most one write per second")
def step_write_rate(context):
    seconds = (context.clock.wall_ms() - _NOON_MS) // 1000
    assert 0 < len(context.store.writes) <= seconds


@then("no segment is larger than {size:d} bytes")
def step_largest(context, size):
    sizes = [len(value) for value in context.store.values.values()]
    assert len(sizes) > 1
    assert max(sizes) <= size, sizes


@then("the store holds {count:d} segments")
def step_segments(context, count):
    assert len(context.store.values) == count, sorted(context.store.values)


@then("agent-1 and agent-2 have nothing left to send")
def step_nothing_left(context):
    for sender in context.senders.values():
        assert sender.journal.backlog == 0, sender.journal.backlog


@then("{name} has {count:d} records left to send")
def step_left(context, name, count):
    assert context.senders[name].journal.backlog == count


@then("the audit of the store finds only open journals")
def step_only_open(context):
    findings = journal.verify(read_all(context).records, _KEY)
    kinds = {finding.kind for finding in findings}
    assert kinds == {journal.FindingKind.TAIL}, [str(f) for f in findings]


@then("every record of {name} is found once")
def step_once(context, name):
    sequences = [r.sequence for r in read_all(context).records if r.process == name]
    assert sequences == [1, 2, 3], sequences


@then("{name} dropped records instead of waiting")
def step_dropped(context, name):
    assert context.senders[name].journal.backlog <= _JOURNAL_CAPACITY + 1
    assert context.senders[name].journal.lost_count > 0


@then("the audit of the store finds a gap in {name} that adds up to {count:d} jobs")
def step_gap(context, name, count):
    records = [r for r in read_all(context).records if r.process == name]
    findings = journal.verify(records, _KEY)
    kinds = [finding.kind for finding in findings]
    gaps = [f for f in findings if f.kind is journal.FindingKind.GAP]
    assert kinds == [journal.FindingKind.GAP] * len(gaps) + [journal.FindingKind.TAIL]
    lost = sum(gap.last - gap.first + 1 for gap in gaps)
    jobs = sum(r.subject.startswith("many-") for r in records)
    assert gaps
    assert lost + jobs == 2 * count, (lost, jobs)


@then("the explanation of {job} has the line {line}")
def step_explanation(context, job, line):
    context.store.reads = 0
    answer = asyncio.run(context.archives[0].find(job, context.issued_ms[job]))
    lines = journal.explain(answer.ok_value.records, job, _KEY)
    assert line in lines, "\n".join(lines)
    assert line != "recorded" or lines[-1] == line, "\n".join(lines)
    context.most_reads = max(context.store.reads, getattr(context, "most_reads", 0))


@then("each explanation took at most {count:d} reads of the store")
def step_reads(context, count):
    assert context.most_reads <= count, context.most_reads


@then("reading the store reports {count:d} damaged segment")
def step_damaged(context, count):
    assert len(read_all(context).damaged) == count


@then("the archive kept that value and stored the records under another key")
def step_other_key(context):
    assert context.store.values[context.taken_key] == b"not a segment"
    assert f"{context.taken_key}.again" in context.store.values
    assert context.senders["agent-1"].journal.backlog == 0


@when("the archive is asked to finish while it writes them")
def step_finish_while_writing(context):
    context.clock.advance(_LONGEST_WAIT_MS)
    for sender in context.senders.values():
        sender.send()
    (entry_archive,) = context.archives

    async def write_and_finish():
        await asyncio.gather(entry_archive.step(), entry_archive.finish())

    asyncio.run(write_and_finish())
