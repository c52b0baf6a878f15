"""Sends this agent's audit records to the granting entry.

Heartbeats carry the records, and permits report up to which record the store has
them. Records not reported as stored within `_RESEND_MS` are sent again, to the same
entry or another.
"""

from jujubeglade.core import journal

_RESEND_MS = 10_000
_BATCH_RECORDS = 500
_BATCH_BYTES = 64 * 1024


class RecordSender:
    """Sends the audit records of one agent."""

    __slots__ = (
        "_clock",
        "_journal",
        "_last_progress_ms",
        "_link",
        "_sent_sequence",
        "_stored_sequence",
    )

    def __init__(self, records, clock):
        """Create a sender that has sent nothing.

        Args:
          records: The Journal of this agent.
          clock: A Clock.
        """
        self._journal = records
        self._clock = clock
        self._link = None
        self._sent_sequence = 0
        self._stored_sequence = 0
        self._last_progress_ms = 0.0

    def next_batch(self, link):
        """Return the records that the next heartbeat carries.

        Args:
          link: The Link that will carry them.

        Returns:
          Bytes, as packed by `journal.pack`; empty when there are no new records.
        """
        self._journal.mark_when_idle()
        now_ms = self._clock.now_ms()
        is_overdue = (
            self._sent_sequence and now_ms - self._last_progress_ms > _RESEND_MS
        )
        if link is not self._link or is_overdue:
            self._link = link
            self._sent_sequence = 0
        batch = self._journal.pending(_BATCH_RECORDS, _BATCH_BYTES, self._sent_sequence)
        if not batch:
            return b""
        if self._sent_sequence == 0:
            self._last_progress_ms = now_ms
        self._sent_sequence = batch[-1].sequence
        return journal.pack(batch)

    def on_stored(self, sequence):
        """Drop records that the store has.

        Args:
          sequence: An integer, the last record of this incarnation that it has.
        """
        if sequence > self._stored_sequence:
            self._stored_sequence = sequence
            self._journal.acknowledge(sequence)
            self._last_progress_ms = self._clock.now_ms()
        if sequence >= self._sent_sequence:
            self._last_progress_ms = self._clock.now_ms()
