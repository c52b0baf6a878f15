"""The courier: brings this agent's audit records to an entry.

Records go to one entry at a time, the first that is connected. What that entry
has not reported as stored within `_RESEND_MS` is sent again, to it or another.
"""

from jujubeglade.core import audit, journal

SEND_MS = 1000
_RESEND_MS = 10_000
_BATCH_RECORDS = 500
_BATCH_BYTES = 64 * 1024


class Courier:
    """Sends the records of one agent."""

    __slots__ = ("_clock", "_journal", "_link", "_sent", "_sent_ms")

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
        self._sent_ms = 0.0

    def send(self, links):
        """Send what has not been sent.

        Args:
          links: A sequence of the open Links to entries.
        """
        if not links:
            return
        now_ms = self._clock.now_ms()
        if self._link not in links or now_ms - self._sent_ms > _RESEND_MS:
            self._link = links[0]
            self._sent = 0
        batch = self._journal.pending(_BATCH_RECORDS, _BATCH_BYTES, self._sent)
        if not batch:
            return
        self._link.send(audit.Batch(journal.pack(batch)))
        self._sent = batch[-1].sequence
        self._sent_ms = now_ms

    def on_stored(self, stored):
        """Forget records that the store holds.

        Args:
          stored: A Stored.
        """
        if stored.incarnation == self._journal.incarnation:
            self._journal.acknowledge(stored.sequence)
            self._sent_ms = self._clock.now_ms()
