"""Records that an entry has taken and the store does not hold yet.

Records wait by the time bucket they belong to. The intake remembers for each
source, that is, each incarnation of a process, what is stored, so that a sender
may forget records only when they and all before them are.
"""

import collections
import itertools

from result import Err, Ok

from jujubeglade.core import journal, problem
from jujubeglade.entry import _archive_segment

_MAX_SOURCES = 10_000
_RETRY_AFTER_MS = 1000


class _Source:
    """What is known of one incarnation's records."""

    __slots__ = ("last_stored", "newest", "stored", "waiting")

    def __init__(self):
        self.newest = 0
        self.last_stored = 0
        self.waiting = collections.deque()
        self.stored = set()

    def advance(self, sequences):
        """Note stored records; return the last one that may be acknowledged."""
        self.stored.update(sequences)
        while self.waiting and self.waiting[0] in self.stored:
            self.last_stored = self.waiting.popleft()
            self.stored.discard(self.last_stored)
        return self.last_stored


class Intake:
    """The bounded buffer between senders and the store."""

    __slots__ = (
        "_buckets",
        "_bytes",
        "_max_bytes",
        "_records",
        "_sources",
        "_taken_bytes",
    )

    def __init__(self, max_bytes):
        """Begin empty.

        Args:
          max_bytes: An integer, the bound of the packed records that wait.
        """
        self._max_bytes = max_bytes
        self._bytes = 0
        self._taken_bytes = 0
        self._records = 0
        self._buckets = {}
        self._sources = collections.OrderedDict()

    @property
    def waiting_bytes(self):
        """The size of the records that wait, those being written included."""
        return self._bytes

    @property
    def waiting_records(self):
        """How many records wait, those being written included."""
        return self._records

    def add(self, records):
        """Take a batch whole, or refuse it whole; known records are skipped.

        Args:
          records: A tuple of Records.

        Returns:
          Ok with the acknowledgements due at once, as `stored` gives them, or Err
          with a Problem when the buffer is full.
        """
        fresh = [(record, len(journal.pack((record,)))) for record in records]
        size = sum(bytes_ for _, bytes_ in fresh)
        if self._bytes and self._bytes + size > self._max_bytes:
            return Err(
                problem.Problem(
                    problem.Kind.OVERLOADED,
                    f"{self._bytes} bytes of records wait for the store",
                    "keep the records and send them again; look at the store",
                    retry_after_ms=_RETRY_AFTER_MS,
                )
            )
        for record, bytes_ in fresh:
            self._add_record(record, bytes_)
        return Ok(self._settled(records))

    def take(self, max_bytes):
        """Take the records of the oldest bucket out of the buffer.

        They count as waiting until `stored` names them, which must come before the
        next call.

        Args:
          max_bytes: An integer, a bound on their size.

        Returns:
          A pair of the bucket's start and a tuple of Records; the latter is empty
          when nothing waits.
        """
        if not self._buckets:
            return 0, ()
        bucket_ms = min(self._buckets)
        bucket = self._buckets[bucket_ms]
        taken = []
        size = 0
        while bucket and (not taken or size + bucket[0][1] <= max_bytes):
            record, bytes_ = bucket.popleft()
            taken.append(record)
            size += bytes_
        if not bucket:
            del self._buckets[bucket_ms]
        self._taken_bytes = size
        return bucket_ms, tuple(taken)

    def stored(self, records):
        """Note that the store holds records that were taken.

        Args:
          records: A tuple of Records.

        Returns:
          A list of acknowledgements: tuples of process, incarnation and the last
          sequence that its sender may forget.
        """
        self._records -= len(records)
        self._bytes -= self._taken_bytes
        self._taken_bytes = 0
        by_source = {}
        for record in records:
            place = (record.process, record.incarnation)
            by_source.setdefault(place, []).append(record.sequence)
        acknowledgements = []
        for place, sequences in by_source.items():
            sequence = self._sources[place].advance(sequences)
            if sequence:
                acknowledgements.append((*place, sequence))
        self._forget_sources()
        return acknowledgements

    def _add_record(self, record, bytes_):
        """Put a record into its bucket unless it is known."""
        place = (record.process, record.incarnation)
        source = self._sources.setdefault(place, _Source())
        self._sources.move_to_end(place)
        if record.sequence <= source.newest:
            return
        source.newest = record.sequence
        source.waiting.append(record.sequence)
        bucket_ms = _archive_segment.bucket_of(record.wall_ms)
        bucket = self._buckets.setdefault(bucket_ms, collections.deque())
        bucket.append((record, bytes_))
        self._bytes += bytes_
        self._records += 1

    def _settled(self, records):
        """List acknowledgements for sources that have nothing waiting any more."""
        places = {(record.process, record.incarnation) for record in records}
        return [
            (*place, self._sources[place].newest)
            for place in sorted(places)
            if not self._sources[place].waiting
        ]

    def _forget_sources(self):
        """Keep the table of sources bounded; a forgotten one is read twice."""
        excess = max(0, len(self._sources) - _MAX_SOURCES)
        for place in list(itertools.islice(self._sources, excess)):
            if not self._sources[place].waiting:
                del self._sources[place]
