"""The state of the stand-in store: keys, revisions, leases, watchers.

It has no network code; the server in `jujubeglade.fakes.store` translates between HTTP
and these calls. As in etcd, each effective write increments a store-wide revision.
"""

import asyncio
import dataclasses

MAX_VALUE_BYTES = 1_000_000


class TooLargeError(Exception):
    """A value is longer than `MAX_VALUE_BYTES`."""


class NoLeaseError(Exception):
    """A lease does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pair:
    """One stored key, or the event of a change.

    Attributes:
      key: Bytes.
      value: Bytes; empty in the event of a deletion.
      mod_revision: An integer, the revision of the key's last change.
      lease_id: An integer, 0 for none.
      deleted: A boolean, true only in the event of a deletion.
    """

    key: bytes
    value: bytes
    mod_revision: int
    lease_id: int = 0
    deleted: bool = False


class Watcher:
    """One open watch: a range of keys and a queue of events."""

    __slots__ = ("_end", "_start", "events")

    def __init__(self, start, end):
        self._start = start
        self._end = end
        self.events = asyncio.Queue()

    def covers(self, key):
        """Tell whether a key lies in the range."""
        return in_range(key, self._start, self._end)


def in_range(key, start, end):
    """Tell whether a key lies in an etcd range.

    Args:
      key: Bytes.
      start: Bytes, the first key.
      end: Bytes, the key after the last; empty for the single key `start`.

    Returns:
      A boolean.
    """
    if not end:
        return key == start
    return start <= key < end


class Memory:
    """All keys and leases of one stand-in."""

    __slots__ = ("_clock", "_history", "_leases", "_next_lease", "_pairs", "revision")

    def __init__(self, lease_clock):
        """Create an empty store.

        Args:
          lease_clock: A Clock, by which leases expire.
        """
        self._clock = lease_clock
        self._pairs = {}
        self._history = []
        self._leases = {}
        self._next_lease = 1
        self.revision = 1

    def range(self, start, end=b""):
        """Return the pairs of a range, ordered by key."""
        keys = sorted(key for key in self._pairs if in_range(key, start, end))
        return [self._pairs[key] for key in keys]

    def mod_revision(self, key):
        """Return a key's revision; 0 if the key does not exist."""
        pair = self._pairs.get(key)
        return pair.mod_revision if pair else 0

    def history(self, start, end, first_revision):
        """List the events of a range, starting at a revision."""
        return [
            pair
            for pair in self._history
            if in_range(pair.key, start, end) and pair.mod_revision >= first_revision
        ]

    def put(self, key, value, lease_id=0):
        """Write a key.

        Returns:
          A Pair.

        Raises:
          TooLargeError: If the value is longer than `MAX_VALUE_BYTES`.
          NoLeaseError: If the lease does not exist.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise TooLargeError
        if lease_id and lease_id not in self._leases:
            raise NoLeaseError
        self.revision += 1
        pair = Pair(key, value, self.revision, lease_id)
        self._pairs[key] = pair
        self._history.append(pair)
        return pair

    def grant(self, ttl_ms):
        """Grant a lease and return its number."""
        lease_id = self._next_lease
        self._next_lease += 1
        self._leases[lease_id] = (self._clock.now_ms() + ttl_ms, ttl_ms)
        return lease_id

    def keepalive(self, lease_id):
        """Renew a lease.

        Returns:
          An integer, the time to live in milliseconds; 0 if it has expired.
        """
        if lease_id not in self._leases:
            return 0
        _, ttl_ms = self._leases[lease_id]
        self._leases[lease_id] = (self._clock.now_ms() + ttl_ms, ttl_ms)
        return ttl_ms

    def revoke(self, lease_id):
        """End a lease and delete its keys.

        Returns:
          A list of Pair records, the events of the deletions.

        Raises:
          NoLeaseError: If the lease does not exist.
        """
        if self._leases.pop(lease_id, None) is None:
            raise NoLeaseError
        keys = [key for key, pair in self._pairs.items() if pair.lease_id == lease_id]
        return [self._delete(key) for key in keys]

    def expire_leases(self, everything=False):
        """End the leases whose time to live has passed.

        Args:
          everything: A boolean; end all leases, expired or not.

        Returns:
          A list of Pair records, the events of the deletions.
        """
        now_ms = self._clock.now_ms()
        expired = [
            lease_id
            for lease_id, (end_ms, _) in self._leases.items()
            if everything or end_ms <= now_ms
        ]
        return [event for lease_id in expired for event in self.revoke(lease_id)]

    def _delete(self, key):
        """Delete a key and return the event."""
        del self._pairs[key]
        self.revision += 1
        event = Pair(key, b"", self.revision, deleted=True)
        self._history.append(event)
        return event
