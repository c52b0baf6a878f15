"""Collects audit records at an entry and writes them to the store.

Agents send their records to an entry, which groups them with its own into segments and
writes these to the store. A sender may discard a record only when it is stored. Until
then the record is also in the sender's buffer, so that no record is lost if the entry
crashes. While the store does not answer, the entry accepts records up to a limit and
then refuses them. The sender's buffer then fills up, and the sender records a gap for
the records that it drops.

    an_archive = archive.open_archive(own_journal, store, clock)
    an_archive.subscribe_stored(acknowledge)   # process, incarnation, sequence
    an_archive.offer(records)                  # Err if the sender must keep them
    await an_archive.run()                     # at most one write a second

A write whose answer was lost is repeated with the same key and the same bytes: it
either creates the segment, or finds the key with its own value. See docs/RECORDS.md.
"""

import asyncio
import collections
import dataclasses

from result import Err, Ok

from jujubeglade.core import clock as clock_
from jujubeglade.core import problem
from jujubeglade.entry import (
    _archive_buffer,
    _archive_lease,
    _archive_reader,
    _archive_segment,
)
from jujubeglade.entry._archive_reader import ReadResult

__all__ = ["Archive", "ReadResult", "open_archive"]

_WRITE_INTERVAL_MS = 1000
_MAX_WAIT_MS = 2000
_MAX_WAITING_BYTES = 4_000_000
_OWN_BATCH_RECORDS = 1000
_OWN_BATCH_BYTES = 256_000
# For a job without a recorded end, all records are read from the time during which the
# job could be resubmitted.
_MAX_READ_PERIOD_MS = 2 * 3_600_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Segment:
    """A segment with an unconfirmed write; `value` is empty until it is encoded."""

    key: str
    records: tuple
    value: bytes = b""


class Archive:
    """Writes the records that one entry collects, and reads those in the store."""

    __slots__ = (
        "_buffer",
        "_clock",
        "_last_number",
        "_last_problem",
        "_last_write_ms",
        "_listeners",
        "_own_journal",
        "_retention",
        "_segments",
        "_store",
        "_write_lock",
        "_writer",
    )

    def __init__(self, store, clock, own_journal, max_bytes, retention_ms):
        """Create an empty archive; use `open_archive` instead."""
        self._writer = f"{own_journal.process}.{own_journal.incarnation}"
        self._store = store
        self._retention = _archive_lease.Retention(store, clock, retention_ms)
        self._clock = clock
        self._own_journal = own_journal
        self._buffer = _archive_buffer.Buffer(max_bytes)
        self._listeners = []
        self._last_number = 0
        self._segments = collections.deque()
        # `finish` may be called while `run` is in a write; only one may use a segment.
        self._write_lock = asyncio.Lock()
        self._last_problem = None
        self._last_write_ms = clock.now_ms()

    @property
    def backlog(self):
        """The number of records that are not stored yet."""
        return self._buffer.waiting_records

    @property
    def last_problem(self):
        """The Problem of the last write; None when it succeeded."""
        return self._last_problem

    def subscribe_stored(self, listener):
        """Register a listener for records of other processes that were stored.

        Args:
          listener: A function of process, incarnation and sequence; called when that
            process may discard its records up to that sequence number.
        """
        self._listeners.append(listener)

    def offer(self, records):
        """Accept a batch of a sender's records, or refuse it; never wait.

        Args:
          records: A tuple of Records of one incarnation, in order.

        Returns:
          Ok with None, or Err with a Problem if the sender must keep the records and
          offer them again.
        """
        match self._buffer.add(records):
            case Ok(acknowledgements):
                self._send_acknowledgements(acknowledgements)
                return Ok(None)
            case Err(_) as failed:
                return failed

    async def step(self):
        """Collect the entry's own records and make at most one write.

        Returns:
          Ok with None, even if no write was due, or Err with the store's Problem.
        """
        async with self._write_lock:
            self._collect_own_records()
            if not self._segments and self._is_due():
                self._take_segment()
            return await self._write() if self._segments else Ok(None)

    async def run(self):
        """Call `step` once a second until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(clock_.seconds(_WRITE_INTERVAL_MS))

    async def finish(self):
        """Write all waiting records for a graceful shutdown; stop at the first problem.

        Returns:
          Ok with None if all records are stored, or Err with the store's Problem.
        """
        async with self._write_lock:
            self._collect_own_records()
            while self._segments or self._buffer.waiting_records:
                if not self._segments:
                    self._take_segment()
                match await self._write():
                    case Err(_) as failed:
                        return failed
                self._collect_own_records()
            return Ok(None)

    async def find(self, subject, issued_ms):
        """Read the records from the time of a subject.

        Args:
          subject: A string, as `journal.explain` takes it.
          issued_ms: An integer, when it was issued, according to the job's ticket.

        Returns:
          A Result of ReadResult, or of a Problem.
        """
        until_ms = min(self._clock.wall_ms(), issued_ms + _MAX_READ_PERIOD_MS)
        return await _archive_reader.find(self._store, subject, issued_ms, until_ms)

    async def read_all(self, limit=0):
        """Read the newest records of all processes.

        Args:
          limit: An integer, how many at most; 0 for all.

        Returns:
          A Result of ReadResult, or of a Problem.
        """
        return await _archive_reader.read_all(self._store, limit)

    def _collect_own_records(self):
        """Offer the records of the entry's own journal."""
        batch = self._own_journal.pending(_OWN_BATCH_RECORDS, _OWN_BATCH_BYTES)
        if batch:
            self.offer(batch)

    def _is_due(self):
        """Tell whether a segment is full, or the last write is `_MAX_WAIT_MS` ago."""
        if not self._buffer.waiting_records:
            return False
        is_full = self._buffer.waiting_bytes >= _archive_segment.MAX_PACKED_BYTES
        return is_full or self._clock.now_ms() - self._last_write_ms >= _MAX_WAIT_MS

    def _take_segment(self):
        """Create a segment from the oldest records."""
        bucket_ms, records = self._buffer.take(_archive_segment.MAX_PACKED_BYTES)
        self._last_number += 1
        key = _archive_segment.key_of(bucket_ms, self._writer, self._last_number)
        self._segments.append(_Segment(key, records))

    async def _encode(self):
        """Encode the next segment in a thread, so as not to block the event loop.

        A segment that is too large becomes two, whose keys differ in their suffix.
        """
        segment = self._segments[0]
        value = await asyncio.to_thread(_archive_segment.encode, segment.records)
        self._segments.popleft()
        if len(value) <= _archive_segment.MAX_VALUE_BYTES or len(segment.records) == 1:
            self._segments.appendleft(dataclasses.replace(segment, value=value))
            return
        middle = len(segment.records) // 2
        second = _Segment(f"{segment.key}.2", segment.records[middle:])
        first = _Segment(f"{segment.key}.1", segment.records[:middle])
        self._segments.extendleft((second, first))

    async def _write(self):
        """Write the next segment, or confirm that an earlier attempt has written it."""
        while not self._segments[0].value:
            await self._encode()
        segment = self._segments[0]
        match await self._put(segment):
            case Err(write_problem) as failed:
                self._last_problem = write_problem
                self._retention.discard_lease()
                return failed
        self._last_problem = None
        self._segments.popleft()
        self._last_write_ms = self._clock.now_ms()
        self._send_acknowledgements(self._buffer.mark_stored(segment.records))
        return Ok(None)

    async def _put(self, segment):
        """Create the key of a segment unless it exists."""
        match await self._retention.lease_id():
            case Err(_) as failed:
                return failed
            case Ok(lease_id):
                written = await self._store.compare_and_swap(
                    segment.key, segment.value, 0, lease_id
                )
        match written:
            case Err(cause) if cause.kind is problem.Kind.CONFLICT:
                return await self._check_existing(segment)
        return written

    async def _check_existing(self, segment):
        """Check whether the existing key contains this segment; if not, rename it."""
        match await self._store.get(segment.key):
            case Err(_) as failed:
                return failed
            case Ok(entry):
                if entry.value == segment.value:
                    return Ok(entry.mod_revision)
        key = f"{segment.key}.again"
        self._segments[0] = dataclasses.replace(segment, key=key)
        return Err(
            problem.Problem(
                problem.Kind.CONFLICT,
                "another writer has used the segment's key",
                "give each entry a unique name in its settings",
                place=segment.key,
            )
        )

    def _send_acknowledgements(self, acknowledgements):
        """Notify the listeners and the entry's own journal of stored records."""
        own_source = (self._own_journal.process, self._own_journal.incarnation)
        for process, incarnation, sequence in acknowledgements:
            if (process, incarnation) == own_source:
                self._own_journal.acknowledge(sequence)
                continue
            for listener in self._listeners:
                listener(process, incarnation, sequence)


def open_archive(
    own_journal, store, clock, max_bytes=_MAX_WAITING_BYTES, retention_ms=0
):
    """Create the archive of an entry.

    Args:
      own_journal: The entry's Journal, which names the entry and its incarnation.
      store: A Store.
      clock: A Clock.
      max_bytes: An integer, the size of the records that may wait while the store does
        not answer.
      retention_ms: An integer, how long the store keeps records; 0 for ever.

    Returns:
      An Archive.
    """
    return Archive(store, clock, own_journal, max_bytes, retention_ms)
