"""Registration: an entry's address in the store, under a lease.

Agents find the entries there. The key ends with the entry's lease; an entry whose
lease lapsed while the store was away registers again.
"""

import asyncio

import result

from jujubeglade.core import clock, log, settings

PREFIX = "jujubeglade/entries/"
#: How long an entry that is gone stays listed.
_LEASE_MS = 6000
_RENEW_MS = 2000
_RETRY_MS = 500

_log = log.get(__name__)


def addresses(entries):
    """List the addresses that are registered.

    A key may come from another writer; one that holds no address names no entry.

    Args:
      entries: A dict from key to Entry.

    Returns:
      A tuple of strings, HOST:PORT, sorted.
    """
    found = []
    for key, entry in entries.items():
        text = entry.value.decode(errors="replace")
        read = settings.read_address(text, key)
        if read.is_ok():
            found.append(str(read.ok_value))
        else:
            _log.warning("registration unreadable", cause=read.err_value[0])
    return tuple(sorted(found))


class Registration:
    """The key of one entry."""

    __slots__ = ("_address", "_key", "_missing", "_store")

    def __init__(self, held, name, address):
        """Prepare; nothing runs yet.

        Args:
          held: A Store.
          name: A string, the entry's name.
          address: A string, HOST:PORT of its stream.
        """
        self._store = held
        self._key = PREFIX + name
        self._address = address
        # Set when a view of the store lacks the key.
        self._missing = asyncio.Event()

    def check(self, addresses):
        """Register again if the store has lost the key.

        A store may drop a key without a word to its owner.

        Args:
          addresses: The addresses that are registered by the latest view.
        """
        if self._address not in addresses:
            self._missing.set()

    async def run(self):
        """Keep the key there until cancelled."""
        while True:
            registered = await self._register()
            if registered.is_err():
                await asyncio.sleep(clock.seconds(_RETRY_MS))
                continue
            await self._renew(registered.ok_value)

    async def _register(self):
        """Write the key under a new lease.

        Returns:
          A Result of the lease's id, or of a Problem.
        """
        held = await self._store.get(self._key)
        if held.is_err():
            return held
        granted = await self._store.grant(_LEASE_MS)
        if granted.is_err():
            return granted
        lease_id = granted.ok_value.lease_id
        value = self._address.encode()
        written = await self._store.compare_and_swap(
            self._key, value, held.ok_value.mod_revision, lease_id
        )
        if written.is_err():
            return written
        _log.info("registered", key=self._key, revision=written.ok_value)
        return result.Ok(lease_id)

    async def _renew(self, lease_id):
        """Renew the lease until the store says that it has ended.

        A renewal that gets no answer may have been carried out; whether the lease
        still holds is known only from an answer.
        """
        pause_ms = _RENEW_MS
        self._missing.clear()
        while True:
            if await self._is_missing(pause_ms):
                _log.warning("registration missing", key=self._key)
                return
            kept = await self._store.keepalive(lease_id)
            if kept.is_ok():
                pause_ms = _RENEW_MS
                continue
            if kept.err_value.kind == "conflict":
                _log.warning("registration lapsed", key=self._key)
                return
            pause_ms = _RETRY_MS

    async def _is_missing(self, pause_ms):
        """Wait for a pause, or until a view lacks the key."""
        try:
            async with asyncio.timeout(clock.seconds(pause_ms)):
                await self._missing.wait()
        except TimeoutError:
            return False
        return True
