"""Registration: an entry's address in the store, under a lease.

Agents find the entries there. The store deletes the key when the lease expires; an
entry whose lease expired while the store was unavailable registers again.
"""

import asyncio

import result

from jujubeglade.core import clock, log, settings

PREFIX = "jujubeglade/entries/"
#: How long an entry stays listed after it has failed.
_LEASE_MS = 6000
_RENEW_INTERVAL_MS = 2000
_RETRY_INTERVAL_MS = 500

_log = log.get(__name__)


class AddressReader:
    """Reads the registered addresses; each key once, until it changes.

    A key may come from another writer; one whose value is no address is skipped.
    """

    __slots__ = ("_read",)

    def __init__(self):
        """Start without keys."""
        # Pairs of a revision and an address, None for an unreadable one, by key.
        self._read = {}

    def read(self, entries):
        """List the registered addresses.

        Args:
          entries: A dict from key to store.Entry.

        Returns:
          A tuple of strings, HOST:PORT, sorted.
        """
        former = self._read
        self._read = {}
        for key, entry in entries.items():
            known = former.get(key)
            if known is None or known[0] != entry.mod_revision:
                known = (entry.mod_revision, _address(key, entry.value))
            self._read[key] = known
        addresses = (address for _, address in self._read.values())
        return tuple(sorted(filter(None, addresses)))


def _address(key, value):
    """Return the address in the value of a key; None if there is none."""
    read = settings.read_address(value.decode(errors="replace"), key)
    if read.is_ok():
        return str(read.ok_value)
    _log.warning("registration unreadable", cause=read.err_value[0])
    return None


class Registration:
    """The registration of one entry."""

    __slots__ = ("_address", "_key", "_missing", "_store")

    def __init__(self, store, name, address):
        """Prepare the registration; nothing runs yet.

        Args:
          store: A Store.
          name: A string, the entry's name.
          address: A string, HOST:PORT of its stream.
        """
        self._store = store
        self._key = PREFIX + name
        self._address = address
        # Set when a view of the store lacks the key.
        self._missing = asyncio.Event()

    def check(self, addresses):
        """Register again if the latest view of the store lacks the key.

        A store may lose a key without notice to its owner.

        Args:
          addresses: The registered addresses according to the latest view.
        """
        if self._address not in addresses:
            self._missing.set()

    async def run(self):
        """Keep the key registered until cancelled."""
        while True:
            registered = await self._register()
            if registered.is_err():
                await asyncio.sleep(clock.seconds(_RETRY_INTERVAL_MS))
                continue
            await self._renew(registered.ok_value)

    async def _register(self):
        """Write the key under a new lease.

        Returns:
          A Result of the lease's id, or of a Problem.
        """
        current = await self._store.get(self._key)
        if current.is_err():
            return current
        granted = await self._store.grant(_LEASE_MS)
        if granted.is_err():
            return granted
        lease_id = granted.ok_value.lease_id
        value = self._address.encode()
        written = await self._store.compare_and_swap(
            self._key, value, current.ok_value.mod_revision, lease_id
        )
        if written.is_err():
            return written
        _log.info("registered", key=self._key, revision=written.ok_value)
        return result.Ok(lease_id)

    async def _renew(self, lease_id):
        """Renew the lease until it has expired or a view lacks the key.

        A renewal without an answer may have been carried out; only an answer shows
        whether the lease is still valid.
        """
        pause_ms = _RENEW_INTERVAL_MS
        self._missing.clear()
        while True:
            if await self._is_missing(pause_ms):
                _log.warning("registration missing in the store", key=self._key)
                return
            renewed = await self._store.keepalive(lease_id)
            if renewed.is_ok():
                pause_ms = _RENEW_INTERVAL_MS
                continue
            if renewed.err_value.kind == "conflict":
                _log.warning("registration lease expired", key=self._key)
                return
            pause_ms = _RETRY_INTERVAL_MS

    async def _is_missing(self, pause_ms):
        """Wait for the pause; return early, with True, when a view lacks the key."""
        try:
            async with asyncio.timeout(clock.seconds(pause_ms)):
                await self._missing.wait()
        except TimeoutError:
            return False
        return True
