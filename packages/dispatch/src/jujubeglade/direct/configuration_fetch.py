"""Configuration fetch: an entry requests the configuration from another entry.

A configuration with thousands of routes takes long on a slow connection, so it never
shares a link with heartbeats. An entry reads it from the store. When agents tell it of
a newer one that the store does not deliver in time, it requests that from one other
entry after the other, each over a connection of its own.
"""

import asyncio

from jujubeglade.core import clock, log

#: How long the store may take to deliver a configuration that another entry has.
_STORE_GRACE_MS = 100
#: The shortest and the longest pause between two requests; half of each is random, so
#: that many entries without the store do not ask the same peer at the same time.
_MIN_PAUSE_MS = 100
_MAX_PAUSE_MS = 800

_log = log.get(__name__)


class ConfigurationFetch:
    """Keeps the configuration of one entry up to date without the store."""

    __slots__ = (
        "_cluster_state",
        "_fetch",
        "_is_behind",
        "_newest_revision",
        "_own_address",
        "_rng",
    )

    def __init__(self, cluster_state, own_address, fetch, rng):
        """Prepare to fetch; nothing runs yet.

        Args:
          cluster_state: A ClusterState.
          own_address: A string, HOST:PORT of this entry's stream.
          fetch: A coroutine function from an entry's address to a Result of a
            Configuration, or of a Problem.
          rng: A random.Random.
        """
        self._cluster_state = cluster_state
        self._own_address = own_address
        self._fetch = fetch
        self._rng = rng
        self._newest_revision = 0
        self._is_behind = asyncio.Event()

    def note_revision(self, revision):
        """Record the revision of a configuration that some entry has.

        Args:
          revision: An integer.
        """
        self._newest_revision = max(self._newest_revision, revision)
        if self._lacks_newest():
            self._is_behind.set()

    async def run(self):
        """Fetch newer configurations until cancelled."""
        while True:
            await self._is_behind.wait()
            await asyncio.sleep(clock.seconds(_STORE_GRACE_MS))
            await self._catch_up()
            self._is_behind.clear()

    async def _catch_up(self):
        """Ask one entry after the other until the newest configuration is here."""
        max_pause_ms = _MIN_PAUSE_MS
        while self._lacks_newest():
            await self._ask_one()
            if not self._lacks_newest():
                return
            pause_ms = max_pause_ms * self._rng.uniform(0.5, 1.0)
            await asyncio.sleep(clock.seconds(pause_ms))
            max_pause_ms = min(2 * max_pause_ms, _MAX_PAUSE_MS)

    async def _ask_one(self):
        addresses = self._cluster_state.members.addresses
        others = [address for address in addresses if address != self._own_address]
        if not others:
            return
        address = self._rng.choice(others)
        fetched = await self._fetch(address)
        if fetched.is_ok():
            self._cluster_state.offer(fetched.ok_value, address)
        else:
            cause = fetched.err_value.message
            _log.warning("configuration not fetched", entry=address, cause=cause)

    def _lacks_newest(self):
        return self._cluster_state.configuration.revision < self._newest_revision
