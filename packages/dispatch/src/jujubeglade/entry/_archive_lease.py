"""The leases under which the store keeps segments; they are never renewed.

Segments written within one eighth of the retention time share a lease. The lease lasts
for the retention time plus that eighth, so that each segment is kept at least for the
retention time.
"""

from result import Err, Ok

_LEASES_PER_RETENTION = 8


class Retention:
    """Provides the lease for new segments."""

    __slots__ = ("_clock", "_lease_id", "_replace_at_ms", "_retention_ms", "_store")

    def __init__(self, store, clock, retention_ms):
        """Create a retention without a lease.

        Args:
          store: A Store.
          clock: A Clock.
          retention_ms: An integer, how long segments are kept; 0 for ever.
        """
        self._store = store
        self._clock = clock
        self._retention_ms = retention_ms
        self._lease_id = 0
        self._replace_at_ms = float("-inf")

    async def lease_id(self):
        """Return the lease for the next segment; grant a new one when it is due.

        Returns:
          Ok with an integer, 0 for no lease, or Err with the store's Problem.
        """
        now_ms = self._clock.now_ms()
        if not self._retention_ms or now_ms < self._replace_at_ms:
            return Ok(self._lease_id)
        period_ms = self._retention_ms // _LEASES_PER_RETENTION
        match await self._store.grant(self._retention_ms + period_ms):
            case Err(_) as failed:
                return failed
            case Ok(lease):
                self._lease_id = lease.lease_id
                self._replace_at_ms = now_ms + period_ms
        return Ok(self._lease_id)

    def discard_lease(self):
        """Make `lease_id` grant a new lease, since a write under this one failed."""
        self._replace_at_ms = float("-inf")
