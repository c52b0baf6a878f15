"""Followers: keep a view of some keys of the store up to date.

A follower reads all keys under a prefix, then watches them from the revision of that
read on. When the watch fails, or the store has compacted the history, it reads again.
"""

import asyncio

from jujubeglade.core import clock, log

#: The shortest and the longest pause between two reads while the store fails.
_MIN_PAUSE_MS = 100
_MAX_PAUSE_MS = 800

_log = log.get(__name__)


class Follower:
    """Follows one prefix."""

    __slots__ = ("_is_lost", "_offer", "_prefix", "_store")

    def __init__(self, store, prefix, offer):
        """Prepare to follow; nothing runs yet.

        Args:
          store: A Store.
          prefix: A string.
          offer: A function that receives each new view: a dict from key to
            store.Entry, and the store's revision.
        """
        self._store = store
        self._prefix = prefix
        self._offer = offer
        self._is_lost = False

    async def run(self):
        """Follow the prefix until cancelled."""
        pause_ms = _MIN_PAUSE_MS
        while True:
            read = await self._store.snapshot(self._prefix)
            if read.is_err():
                self._note_lost(read.err_value)
                await asyncio.sleep(clock.seconds(pause_ms))
                pause_ms = min(2 * pause_ms, _MAX_PAUSE_MS)
                continue
            self._note_regained(read.ok_value.revision)
            pause_ms = _MIN_PAUSE_MS
            await self._watch(read.ok_value)

    async def _watch(self, snapshot):
        """Apply changes to a snapshot until the watch ends."""
        entries = {entry.key: entry for entry in snapshot.entries}
        self._offer(entries, snapshot.revision)
        async for change in self._store.watch(self._prefix, snapshot.revision + 1):
            if change.is_err():
                _log.debug("watch ended", prefix=self._prefix, cause=change.err_value)
                return
            event = change.ok_value
            entry = event.entry
            if event.deleted:
                entries.pop(entry.key, None)
            else:
                entries[entry.key] = entry
            self._offer(entries, entry.mod_revision)

    def _note_lost(self, cause):
        if not self._is_lost:
            self._is_lost = True
            _log.warning("store lost", prefix=self._prefix, cause=cause.message)

    def _note_regained(self, revision):
        if self._is_lost:
            self._is_lost = False
            _log.info("store regained", prefix=self._prefix, revision=revision)
