"""Reading records back from the store.

The same record may stand in two segments, when its sender moved to another
entry before the first one's answer; a reader gets it once. Records of one
incarnation come in the order of their sequence.
"""

import asyncio
import dataclasses

from result import Err, Ok

from jujubeglade.core import journal
from jujubeglade.entry import _archive_segment

_CLOCK_DIFFERENCE_MS = 5000
_READ_ON_MS = 30_000
_FINAL_KINDS = frozenset(
    {journal.Kind.ANSWERED, journal.Kind.REFUSED, journal.Kind.COMMAND}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """What a reader found.

    Attributes:
      records: A tuple of Records; those of one incarnation in order.
      damaged: A tuple of Problems, one for each segment that can't be read; its
        records are missing from the chains.
    """

    records: tuple
    damaged: tuple


async def find(held, subject, issued_ms, until_ms):
    """Read the records around a subject's time.

    Reads bucket after bucket from the issue time on, and stops half a minute after
    the last bucket in which the subject met its end; that is long enough for the
    marks of processes that fell quiet.

    Args:
      held: A Store.
      subject: A string: a job, a task, a command, as `journal.explain` takes it.
      issued_ms: An integer, when the subject was issued, as its ticket says.
      until_ms: An integer, the last time to read.

    Returns:
      A Result of Found, or of a Problem.
    """
    gathered = _Gathered()
    bucket_ms = _archive_segment.bucket_of(issued_ms - _CLOCK_DIFFERENCE_MS)
    while bucket_ms <= until_ms:
        prefix = _archive_segment.bucket_prefix(bucket_ms)
        match await held.get_prefix(prefix):
            case Err(_) as failed:
                return failed
            case Ok(entries):
                found = await asyncio.to_thread(gathered.add, entries)
        if any(_ends(record, subject) for record in found):
            until_ms = min(until_ms, bucket_ms + _READ_ON_MS)
        bucket_ms += _archive_segment.BUCKET_MS
    return Ok(gathered.found())


async def read_all(held, limit):
    """Read the newest records of all.

    Args:
      held: A Store.
      limit: An integer, how many records at most; 0 for all.

    Returns:
      A Result of Found, or of a Problem.
    """
    match await held.get_prefix(_archive_segment.PREFIX):
        case Err(_) as failed:
            return failed
        case Ok(entries):
            gathered = _Gathered()
            await asyncio.to_thread(gathered.add, entries)
    return Ok(gathered.found(limit))


class _Gathered:
    """Records decoded so far, once each."""

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
                case Err(trouble):
                    self._damaged.append(trouble)
        for record in added:
            self._records[record.source, record.sequence, record.hash] = record
        return added

    def found(self, limit=0):
        """List the newest records, those of one incarnation in order."""
        records = self._records.values()
        if limit:
            records = sorted(records, key=lambda record: record.wall_ms)[-limit:]
        ordered = sorted(records, key=lambda record: (record.source, record.sequence))
        return Found(tuple(ordered), tuple(self._damaged))


def _ends(record, subject):
    """Say whether a record is the end of a subject."""
    return record.kind in _FINAL_KINDS and journal.is_about(record, subject)
