"""The buffer for records that an entry has accepted and not stored yet.

Records wait in the time bucket to which they belong. A source is one incarnation of a
process. The buffer tracks which records of each source are stored, so that a sender
discards a record only when this record and all earlier ones are stored.
"""

import collections
import itertools

from result import Err, Ok

from jujubeglade.core import journal, problem
from jujubeglade.entry import _archive_segment

_MAX_SOURCES = 10_000
_RETRY_AFTER_MS = 1000


class _Source:
    """The state of the records of one source, by their sequence numbers."""

    __slots__ = ("last_stored", "newest", "stored", "waiting")

    def __init__(self):
        self.newest = 0
        self.last_stored = 0
        self.waiting = collections.deque()
        self.stored = set()

    def advance(self, sequences):
        """Mark records as stored; return the last one that may be acknowledged."""
        self.stored.update(sequences)
        while self.waiting and self.waiting[0] in self.stored:
            self.last_stored = self.waiting.popleft()
            self.stored.discard(self.last_stored)
        return self.last_stored


class Buffer:
    """A bounded buffer between senders and the store."""

    __slots__ = (
        "_buckets",
        "_bytes",
        "_max_bytes",
        "_records",
        "_sources",
        "_taken_bytes",
    )

    def __init__(self, max_bytes):
        """Create an empty buffer.

        Args:
          max_bytes: An integer, the limit for the size of the packed records that wait.
        """
        self._max_bytes = max_bytes
        self._bytes = 0
        self._taken_bytes = 0
        self._records = 0
        self._buckets = {}
        self._sources = collections.OrderedDict()

    @property
    def waiting_bytes(self):
        """The size of the records that wait, including those being written."""
        return self._bytes

    @property
    def waiting_records(self):
        """The number of records that wait, including those being written."""
        return self._records

    def add(self, records):
        """Add all records of a batch, or refuse all of them; skip records added before.

        Args:
          records: A tuple of Records.

        Returns:
          Ok with the acknowledgements that are already due, as `mark_stored` returns
          them, or Err with a Problem if the buffer is full.
        """
        record_sizes = [(record, len(journal.pack((record,)))) for record in records]
        size = sum(record_bytes for _, record_bytes in record_sizes)
        if self._bytes and self._bytes + size > self._max_bytes:
            return Err(
                problem.Problem(
                    problem.Kind.OVERLOADED,
                    f"{self._bytes} bytes of records wait for the store",
                    "keep the records and send them again; check the store",
                    retry_after_ms=_RETRY_AFTER_MS,
                )
            )
        for record, record_bytes in record_sizes:
            self._add_record(record, record_bytes)
        return Ok(self._due_acknowledgements(records))

    def take(self, max_bytes):
        """Take records of the oldest bucket out of the buffer.

        They count as waiting until they are passed to `mark_stored`, which must be
        called before the next `take`.

        Args:
          max_bytes: An integer, a limit on their size.

        Returns:
          A pair of the bucket's start and a tuple of Records; the latter is empty
          if no records wait.
        """
        if not self._buckets:
            return 0, ()
        bucket_ms = min(self._buckets)
        bucket = self._buckets[bucket_ms]
        batch = []
        size = 0
        while bucket and (not batch or size + bucket[0][1] <= max_bytes):
            record, record_bytes = bucket.popleft()
            batch.append(record)
            size += record_bytes
        if not bucket:
            del self._buckets[bucket_ms]
        self._taken_bytes = size
        return bucket_ms, tuple(batch)

    def mark_stored(self, records):
        """Mark records that were taken as stored.

        Args:
          records: A tuple of Records.

        Returns:
          A list of acknowledgements: tuples of process, incarnation and the last
          sequence number up to which the sender may discard its records.
        """
        self._records -= len(records)
        self._bytes -= self._taken_bytes
        self._taken_bytes = 0
        by_source = {}
        for record in records:
            source_id = (record.process, record.incarnation)
            by_source.setdefault(source_id, []).append(record.sequence)
        acknowledgements = []
        for source_id, sequences in by_source.items():
            sequence = self._sources[source_id].advance(sequences)
            if sequence:
                acknowledgements.append((*source_id, sequence))
        self._trim_sources()
        return acknowledgements

    def _add_record(self, record, record_bytes):
        """Add a record to its bucket unless it was added before."""
        source_id = (record.process, record.incarnation)
        source = self._sources.setdefault(source_id, _Source())
        self._sources.move_to_end(source_id)
        if record.sequence <= source.newest:
            return
        source.newest = record.sequence
        source.waiting.append(record.sequence)
        bucket_ms = _archive_segment.bucket_of(record.wall_ms)
        bucket = self._buckets.setdefault(bucket_ms, collections.deque())
        bucket.append((record, record_bytes))
        self._bytes += record_bytes
        self._records += 1

    def _due_acknowledgements(self, records):
        """List acknowledgements for the sources that have no waiting records."""
        source_ids = {(record.process, record.incarnation) for record in records}
        return [
            (*source_id, self._sources[source_id].newest)
            for source_id in sorted(source_ids)
            if not self._sources[source_id].waiting
        ]

    def _trim_sources(self):
        """Remove the oldest idle sources; their records are stored again if resent."""
        excess = max(0, len(self._sources) - _MAX_SOURCES)
        for source_id in list(itertools.islice(self._sources, excess)):
            if not self._sources[source_id].waiting:
                del self._sources[source_id]
