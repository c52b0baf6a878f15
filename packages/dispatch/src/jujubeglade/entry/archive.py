"""An entry's collector of audit records.

Agents send their records to an entry, which groups them with its own into
segments of the store. A sender may forget a record when the store holds it,
never before: until then it is in the sender's buffer too, and an entry that
dies loses nothing. While the store does not answer, the entry takes records up
to a bound and then refuses them; the sender's buffer fills and names a gap.

    held = archive.open_archive(own_journal, store, clock)
    held.subscribe_stored(send_acknowledgement)   # process, incarnation, sequence
    held.offer(records)                    # Err when the sender must keep them
    await held.run()                       # at most one write a second

A write whose answer was lost is repeated under the same key with the same bytes:
either it creates the segment or it meets itself there. See docs/RECORDS.md.
"""

import asyncio
import collections
import dataclasses

from result import Err, Ok

from jujubeglade.core import clock as clock_
from jujubeglade.core import problem
from jujubeglade.entry import (
    _archive_intake,
    _archive_lease,
    _archive_reader,
    _archive_segment,
)
from jujubeglade.entry._archive_reader import Found

__all__ = ["Archive", "Found", "open_archive"]

_WRITE_INTERVAL_MS = 1000
_FLUSH_MS = 2000
_MAX_WAITING_BYTES = 4_000_000
_OWN_BATCH_RECORDS = 1000
_OWN_BATCH_BYTES = 256_000
# A job whose end was never recorded is looked for as long as it could be resubmitted.
_LONGEST_STORY_MS = 2 * 3_600_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Segment:
    """A segment whose write has not been confirmed; without a value not encoded."""

    key: str
    records: tuple
    value: bytes = b""


class Archive:
    """The records that pass through one entry, and those in the store."""

    __slots__ = (
        "_clock",
        "_flushed_ms",
        "_intake",
        "_listeners",
        "_number",
        "_own",
        "_problem",
        "_retention",
        "_segments",
        "_store",
        "_writer",
    )

    def __init__(self, store, clock, own, max_bytes, retention_ms):
        """Begin empty; use `open_archive`."""
        self._writer = f"{own.process}.{own.incarnation}"
        self._store = store
        self._retention = _archive_lease.Retention(store, clock, retention_ms)
        self._clock = clock
        self._own = own
        self._intake = _archive_intake.Intake(max_bytes)
        self._listeners = []
        self._number = 0
        self._segments = collections.deque()
        self._problem = None
        self._flushed_ms = clock.now_ms()

    @property
    def backlog(self):
        """How many records wait for the store."""
        return self._intake.waiting_records

    @property
    def last_problem(self):
        """The Problem of the last write; None when it succeeded."""
        return self._problem

    def subscribe_stored(self, listener):
        """Name whoever wants to know what the store holds.

        Args:
          listener: A function of process, incarnation and sequence; called when that
            other process may forget its records up to that sequence.
        """
        self._listeners.append(listener)

    def offer(self, records):
        """Take a batch of a sender's records; never waits.

        Args:
          records: A tuple of Records of one incarnation, in order.

        Returns:
          Ok with None, or Err with a Problem when the sender must keep them and
          offer them again.
        """
        match self._intake.add(records):
            case Ok(acknowledgements):
                self._announce(acknowledgements)
                return Ok(None)
            case Err(_) as failed:
                return failed

    async def step(self):
        """Take the entry's own records and make at most one write.

        Returns:
          Ok with None, also when nothing was due, or Err with the store's Problem.
        """
        self._collect_own()
        if not self._segments and self._is_due():
            self._take_segment()
        return await self._write() if self._segments else Ok(None)

    async def run(self):
        """Step once a second until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(clock_.seconds(_WRITE_INTERVAL_MS))

    async def finish(self):
        """Write what waits, for a graceful shutdown; stop at the first problem.

        Returns:
          Ok with None when the store holds everything, or Err with its Problem.
        """
        self._collect_own()
        while self._segments or self._intake.waiting_records:
            if not self._segments:
                self._take_segment()
            match await self._write():
                case Err(_) as failed:
                    return failed
            self._collect_own()
        return Ok(None)

    async def find(self, subject, issued_ms):
        """Read the records of a subject's time back; see `Found`.

        Args:
          subject: A string, as `journal.explain` takes it.
          issued_ms: An integer, when it was issued, as the job's ticket says.

        Returns:
          A Result of Found, or of a Problem.
        """
        until_ms = min(self._clock.wall_ms(), issued_ms + _LONGEST_STORY_MS)
        return await _archive_reader.find(self._store, subject, issued_ms, until_ms)

    async def read_all(self, limit=0):
        """Read the newest records of all processes back.

        Args:
          limit: An integer, how many at most; 0 for all.

        Returns:
          A Result of Found, or of a Problem.
        """
        return await _archive_reader.read_all(self._store, limit)

    def _collect_own(self):
        """Offer the records of the entry's own journal."""
        batch = self._own.pending(_OWN_BATCH_RECORDS, _OWN_BATCH_BYTES)
        if batch:
            self.offer(batch)

    def _is_due(self):
        """Say whether a segment is full, or its records have waited long enough."""
        if not self._intake.waiting_records:
            return False
        full = self._intake.waiting_bytes >= _archive_segment.MAX_PACKED_BYTES
        return full or self._clock.now_ms() - self._flushed_ms >= _FLUSH_MS

    def _take_segment(self):
        """Make a segment of the oldest records."""
        bucket_ms, records = self._intake.take(_archive_segment.MAX_PACKED_BYTES)
        self._number += 1
        key = _archive_segment.key_of(bucket_ms, self._writer, self._number)
        self._segments.append(_Segment(key, records))

    async def _encode(self):
        """Encode the next segment beside the event loop, which serves callers.

        One that is too large becomes two, which share the key up to its end.
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
        """Write the next segment, or find out that it was written before."""
        while not self._segments[0].value:
            await self._encode()
        segment = self._segments[0]
        match await self._put(segment):
            case Err(trouble) as failed:
                self._problem = trouble
                self._retention.forget()
                return failed
        self._problem = None
        self._segments.popleft()
        self._flushed_ms = self._clock.now_ms()
        self._announce(self._intake.stored(segment.records))
        return Ok(None)

    async def _put(self, segment):
        """Create the segment's key unless it is there already."""
        match await self._retention.lease_id():
            case Err(_) as failed:
                return failed
            case Ok(lease_id):
                written = await self._store.compare_and_swap(
                    segment.key, segment.value, 0, lease_id
                )
        match written:
            case Err(trouble) if trouble.kind is problem.Kind.CONFLICT:
                return await self._meet(segment)
        return written

    async def _meet(self, segment):
        """Find out whether the key's holder is this very segment."""
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
                "another writer holds the segment's key",
                "give every entry a name of its own in its settings",
                place=segment.key,
            )
        )

    def _announce(self, acknowledgements):
        """Tell the listeners and the own journal what the store holds."""
        mine = (self._own.process, self._own.incarnation)
        for process, incarnation, sequence in acknowledgements:
            if (process, incarnation) == mine:
                self._own.acknowledge(sequence)
                continue
            for listener in self._listeners:
                listener(process, incarnation, sequence)


def open_archive(own, store, clock, max_bytes=_MAX_WAITING_BYTES, retention_ms=0):
    """Make the archive of an entry.

    Args:
      own: The entry's Journal, which names the entry and its incarnation.
      store: A Store.
      clock: A Clock.
      max_bytes: An integer, how much may wait while the store does not answer.
      retention_ms: An integer, how long the store keeps records; 0 for ever.

    Returns:
      An Archive.
    """
    return Archive(store, clock, own, max_bytes, retention_ms)
