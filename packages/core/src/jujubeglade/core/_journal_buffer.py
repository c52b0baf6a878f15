"""The bounded buffer of a process's audit records.

`Journal.record` appends an *open* record and returns. `Journal.pending` seals the
oldest open records, which means that it computes their hashes, and returns them to
be sent. Sealed records never change and stay in the buffer until acknowledged, so
that sending them twice is harmless. When the buffer is full, the oldest open records
are replaced by one gap record; as they were not sealed, the chain of hashes goes
from the last sealed record through the gap to the next one.

| acknowledged | sealed      | open              |
|--------------|-------------|-------------------|
| removed      | 41 42 43    | gap 44-60, 61, 62 |
"""

import collections
import itertools

from jujubeglade.core import _journal_record

_DEFAULT_CAPACITY = 4096
_MAX_RECORD_BYTES = 65536
_IDLE_MS = 10_000
_OVERHEAD_BYTES = _journal_record.HASH_BYTES


class Journal:
    """The audit records of one process that no entry has acknowledged yet."""

    __slots__ = (
        "_capacity",
        "_clock",
        "_gap",
        "_incarnation",
        "_key",
        "_last_hash",
        "_last_kind",
        "_last_ms",
        "_lost_count",
        "_next_sequence",
        "_open",
        "_process",
        "_sealed",
        "_sealed_ms",
    )

    def __init__(self, process, incarnation, clock, capacity, key):
        """Make an empty journal; use `open_journal` instead."""
        self._process = process
        self._incarnation = incarnation
        self._clock = clock
        self._capacity = capacity
        self._key = key
        self._next_sequence = 1
        self._last_hash = _journal_record.GENESIS_HASH
        self._sealed_ms = 0
        self._last_kind = None
        self._last_ms = 0
        self._gap = None
        self._lost_count = 0
        self._open = collections.deque()
        self._sealed = collections.deque()

    @property
    def process(self):
        """The name of the process."""
        return self._process

    @property
    def incarnation(self):
        """The incarnation of the process."""
        return self._incarnation

    @property
    def backlog(self):
        """The number of records that are not acknowledged."""
        return len(self._open) + len(self._sealed) + (self._gap is not None)

    @property
    def lost_count(self):
        """The number of records that were replaced by gaps."""
        return self._lost_count

    def record(self, kind, subject, **detail):
        """Add a record; never blocks and never fails.

        Args:
          kind: A Kind.
          subject: A string, the job or other object that the record is about.
          **detail: Strings and integers.
        """
        wall_ms = self._clock.wall_ms()
        entry = (self._next_sequence, wall_ms, kind, subject, detail)
        self._next_sequence += 1
        self._last_kind = kind
        self._last_ms = wall_ms
        self._open.append(entry)
        if len(self._open) + len(self._sealed) > self._capacity:
            self._drop_oldest()

    def pending(self, max_records, max_bytes, after=0):
        """Seal and return the oldest records that are not acknowledged.

        Args:
          max_records: An integer, the most records to return.
          max_bytes: An integer, the most bytes to return; one record is returned
            even if it is larger.
          after: An integer, the sequence of the last record already sent on this
            connection; 0 after a reconnect or a refusal, to start again from the
            oldest.

        Returns:
          A tuple of Records, oldest first; the same ones until acknowledged. At most
          half of the capacity is sealed at a time.
        """
        batch = []
        budget = max_bytes
        for record, size in itertools.islice(self._sealed_after(after), max_records):
            if batch and size > budget:
                break
            batch.append(record)
            budget -= size
        return tuple(batch)

    def acknowledge(self, sequence):
        """Remove the records that are stored.

        Args:
          sequence: An integer, the sequence of the last stored record.
        """
        while self._sealed and self._sealed[0][0].sequence <= sequence:
            self._sealed.popleft()

    def mark_when_idle(self):
        """Record one mark after an idle period; call every few seconds.

        The mark shows a reader that an idle process has lost no records.
        """
        is_marked = self._last_kind is _journal_record.Kind.MARK
        if not is_marked and self._clock.wall_ms() - self._last_ms >= _IDLE_MS:
            self.record(_journal_record.Kind.MARK, self._process)

    def close(self):
        """Record that the process closed the journal at its end."""
        self.record(_journal_record.Kind.CLOSED_JOURNAL, self._process)

    def _sealed_after(self, sequence):
        """Yield sealed records and their sizes, and seal more as needed."""
        index = 0
        while index < len(self._sealed) or self._seal_next():
            sealed = self._sealed[index]
            index += 1
            if sealed[0].sequence > sequence:
                yield sealed

    def _seal_next(self):
        """Seal the oldest open record; return whether one could be sealed."""
        if len(self._sealed) >= max(1, self._capacity // 2):
            return False
        if self._gap is not None:
            entry, self._gap = self._gap, None
        elif self._open:
            entry = self._open.popleft()
        else:
            return False
        self._sealed.append(self._seal(entry))
        return True

    def _seal(self, entry):
        """Return the Record of an open entry, and its size in bytes."""
        fields = (self._process, self._incarnation, *entry)
        predecessor = (self._sealed_ms, self._last_hash)
        try:
            digest, size = _journal_record.compute_hash(fields, *predecessor, self._key)
        except (OverflowError, TypeError, ValueError):
            fields = (*fields[:-2], *_encodable(*fields[-2:]))
            digest, size = _journal_record.compute_hash(fields, *predecessor, self._key)
        if size > _MAX_RECORD_BYTES:
            fields = (*fields[:-1], {"detail_dropped_bytes": size})
            digest, size = _journal_record.compute_hash(fields, *predecessor, self._key)
        sealed = _journal_record.Record(*fields, *predecessor, digest)
        self._last_hash = digest
        self._sealed_ms = sealed.last_ms
        return sealed, size + _OVERHEAD_BYTES

    def _drop_oldest(self):
        """Replace the oldest open record by a gap, or extend the gap that exists."""
        sequence, wall_ms, *_ = self._open.popleft()
        self._lost_count += 1
        if self._gap is None:
            detail = {"last": sequence, "last_ms": wall_ms}
            kind = _journal_record.Kind.GAP
            self._gap = (sequence, wall_ms, kind, self._process, detail)
            return
        detail = self._gap[-1]
        detail["last"] = sequence
        detail["last_ms"] = wall_ms


def _encodable(subject, detail):
    """Convert values that msgpack can't encode, such as a lone surrogate, to text."""
    return _text(subject), {name: _text(value) for name, value in detail.items()}


def _text(value):
    """Convert any value to text that can be encoded."""
    return str(value).encode("utf-8", "replace").decode("utf-8")


def open_journal(process, incarnation, clock, capacity=_DEFAULT_CAPACITY, key=b""):
    """Open the journal of this process.

    Args:
      process: A string, the name of the process in its settings.
      incarnation: A string, the incarnation of the process.
      clock: A Clock.
      capacity: An integer, the most records that may wait for acknowledgement.
      key: Bytes, the cluster key, without which no valid record can be made.

    Returns:
      A Journal whose first record is of kind OPENED.
    """
    journal = Journal(process, incarnation, clock, capacity, key)
    journal.record(_journal_record.Kind.OPENED, process)
    return journal
