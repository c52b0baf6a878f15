"""Reads audit records from the store.

Two segments may contain the same record, if its sender connected to another entry
before the first one acknowledged the record. A reader gets it once. The records of one
incarnation are in the order of their sequence.
"""

import asyncio
import dataclasses

from result import Err, Ok

from jujubeglade.core import journal
from jujubeglade.entry import _archive_segment

_MAX_CLOCK_DIFFERENCE_MS = 5000
_READ_AFTER_END_MS = 30_000
_FINAL_KINDS = frozenset(
    {journal.Kind.ANSWERED, journal.Kind.REFUSED, journal.Kind.COMMAND}
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """The records that were read, and the segments that can't be read.

    Attributes:
      records: A tuple of Records; those of one incarnation are in order.
      damaged: A tuple of Problems, one for each segment that can't be read; the
        records of such a segment are missing from the hash chains.
    """

    records: tuple
    damaged: tuple


async def find(store, subject, issued_ms, until_ms):
    """Read the records from the time of a subject.

    Reads one bucket after another, starting at the issue time, and stops half a minute
    after the last bucket with a final record of the subject. This is long enough to
    include the marks that processes add to their journals after a quiet time.

    Args:
      store: A Store.
      subject: A string: a job, a task, a command, as `journal.explain` takes it.
      issued_ms: An integer, when the subject was issued, according to its ticket.
      until_ms: An integer, the time at which to stop reading.

    Returns:
      A Result of ReadResult, or of a Problem.
    """
    collector = _Collector()
    bucket_ms = _archive_segment.bucket_of(issued_ms - _MAX_CLOCK_DIFFERENCE_MS)
    while bucket_ms <= until_ms:
        prefix = _archive_segment.bucket_prefix(bucket_ms)
        match await store.get_prefix(prefix):
            case Err(_) as failed:
                return failed
            case Ok(entries):
                added_records = await asyncio.to_thread(collector.add, entries)
        if any(_is_final(record, subject) for record in added_records):
            until_ms = min(until_ms, bucket_ms + _READ_AFTER_END_MS)
        bucket_ms += _archive_segment.BUCKET_MS
    return Ok(collector.result())


async def read_all(store, limit):
    """Read the newest records of all processes.

    Args:
      store: A Store.
      limit: An integer, how many records at most; 0 for all.

    Returns:
      A Result of ReadResult, or of a Problem.
    """
    match await store.get_prefix(_archive_segment.PREFIX):
        case Err(_) as failed:
            return failed
        case Ok(entries):
            collector = _Collector()
            await asyncio.to_thread(collector.add, entries)
    return Ok(collector.result(limit))


class _Collector:
    """Collects the records of segments, without duplicates."""

    __slots__ = ("_damaged", "_records")

    def __init__(self):
        self._records = {}
        self._damaged = []

    def add(self, entries):
        """Decode segments; return the records that they hold."""
        added = []
        for entry in entries:
            match _archive_segment.decode(entry.key, entry.value):
                case Ok(records):
                    added.extend(records)
                case Err(damage):
                    self._damaged.append(damage)
        for record in added:
            self._records[record.source, record.sequence, record.hash] = record
        return added

    def result(self, limit=0):
        """Return the newest records, those of one incarnation in order."""
        records = self._records.values()
        if limit:
            records = sorted(records, key=lambda record: record.wall_ms)[-limit:]
        ordered = sorted(records, key=lambda record: (record.source, record.sequence))
        return ReadResult(tuple(ordered), tuple(self._damaged))


def _is_final(record, subject):
    """Tell whether a record reports the end of a subject."""
    return record.kind in _FINAL_KINDS and journal.is_about(record, subject)
