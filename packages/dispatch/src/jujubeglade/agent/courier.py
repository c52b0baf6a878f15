"""The courier: hands this agent's audit records to the granting entry.

Records travel on heartbeats, and permits say how far the store holds them. What is
not reported as stored within `_RESEND_MS` is sent again, to that entry or another.
"""

from jujubeglade.core import journal

_RESEND_MS = 10_000
_BATCH_RECORDS = 500
_BATCH_BYTES = 64 * 1024


class Courier:
    """Sends the records of one agent."""

    __slots__ = (
        "_acknowledged",
        "_clock",
        "_journal",
        "_link",
        "_progress_ms",
        "_sent",
    )

    def __init__(self, records, clock):
        """Start with nothing sent.

        Args:
          records: The Journal of this agent.
          clock: A Clock.
        """
        self._journal = records
        self._clock = clock
        self._link = None
        self._sent = 0
        self._acknowledged = 0
        self._progress_ms = 0.0

    def batch(self, link):
        """Take the records that the next heartbeat carries.

        Args:
          link: The Link that will carry them.

        Returns:
          Bytes, as `journal.pack` makes them; empty when there is nothing new.
        """
        self._journal.mark_when_idle()
        now_ms = self._clock.now_ms()
        late = self._sent and now_ms - self._progress_ms > _RESEND_MS
        if link is not self._link or late:
            self._link = link
            self._sent = 0
        batch = self._journal.pending(_BATCH_RECORDS, _BATCH_BYTES, self._sent)
        if not batch:
            return b""
        if self._sent == 0:
            self._progress_ms = now_ms
        self._sent = batch[-1].sequence
        return journal.pack(batch)

    def on_stored(self, sequence):
        """Forget records that the store holds.

        Args:
          sequence: An integer, the last record of this incarnation that it holds.
        """
        if sequence > self._acknowledged:
            self._acknowledged = sequence
            self._journal.acknowledge(sequence)
            self._progress_ms = self._clock.now_ms()
        if sequence >= self._sent:
            self._progress_ms = self._clock.now_ms()
