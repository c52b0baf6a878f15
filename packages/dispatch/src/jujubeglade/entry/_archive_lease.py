"""How long the store keeps segments: leases that nobody renews.

Segments written within an eighth of the retention share a lease that lasts for
the retention and that eighth, so that each is kept for the retention at least.
"""

from result import Err, Ok

_SHARE = 8


class Retention:
    """The lease that segments are written under."""

    __slots__ = ("_clock", "_lease_id", "_replace_ms", "_retention_ms", "_store")

    def __init__(self, store, clock, retention_ms):
        """Begin without a lease.

        Args:
          store: A Store.
          clock: A Clock.
          retention_ms: An integer; 0 keeps segments for ever.
        """
        self._store = store
        self._clock = clock
        self._retention_ms = retention_ms
        self._lease_id = 0
        self._replace_ms = float("-inf")

    async def lease_id(self):
        """Give the lease for the next segment.

        Returns:
          Ok with an integer, 0 for no lease, or Err with the store's Problem.
        """
        now_ms = self._clock.now_ms()
        if not self._retention_ms or now_ms < self._replace_ms:
            return Ok(self._lease_id)
        share_ms = self._retention_ms // _SHARE
        match await self._store.grant(self._retention_ms + share_ms):
            case Err(_) as failed:
                return failed
            case Ok(lease):
                self._lease_id = lease.lease_id
                self._replace_ms = now_ms + share_ms
        return Ok(self._lease_id)

    def forget(self):
        """Ask for another lease next time, as a write under this one failed."""
        self._replace_ms = float("-inf")
