"""Dialing: keeps the links of an agent to all entries.

An entry that restarts can serve once the agents have found it, so an agent tries often,
gives up a connection that hangs soon (a VM without power does not answer), and tries at
once when the store shows a change of the entries.
"""

import asyncio

from jujubeglade.core import clock

#: Between two tries.
_FIRST_PAUSE_MS = 50
_LAST_PAUSE_MS = 150
#: The same for an entry that has long been away; a change of the entries ends it.
_LONG_PAUSE_MS = 1000
_LONG_AWAY_MS = 5000
#: A VM that runs takes a connection within this time, whatever its processes do.
_CONNECT_MS = 200
#: A lease may lapse while the entry lives; its address is tried for this long.
_FORGET_MS = 30_000


class Dialer:
    """The links of one agent."""

    __slots__ = ("_agent", "_background", "_clock", "_listed", "_news", "_tasks")

    def __init__(self, wall, background, agent):
        """Begin with no address.

        Args:
          wall: A Clock.
          background: A Background, for the tasks that dial.
          agent: The Agent, with the coroutines `dial(address, connect_ms)`, which
            returns a Result of a Link, and `serve(link)`, which ends with it.
        """
        self._clock = wall
        self._background = background
        self._agent = agent
        self._listed = frozenset()
        # The tasks by address.
        self._tasks = {}
        # Set, and replaced, when the list has changed.
        self._news = asyncio.Event()

    def follow(self, addresses):
        """Keep links to these addresses from now on, and try them all at once.

        Args:
          addresses: Strings, HOST:PORT.
        """
        self._listed = frozenset(addresses)
        for address in self._listed - self._tasks.keys():
            task = self._background.spawn(self._keep_link(address))
            self._tasks[address] = task
        self._news.set()
        self._news = asyncio.Event()

    async def _keep_link(self, address):
        """Keep a link to one address until it is neither listed nor reached."""
        pause_ms = _FIRST_PAUSE_MS
        reached_ms = self._clock.now_ms()
        while address in self._listed or self._away_ms(reached_ms) < _FORGET_MS:
            dialed = await self._agent.dial(address, _CONNECT_MS)
            if dialed.is_ok():
                await self._agent.serve(dialed.ok_value)
                pause_ms = _FIRST_PAUSE_MS
                reached_ms = self._clock.now_ms()
            await self._pause(pause_ms)
            is_long = self._away_ms(reached_ms) > _LONG_AWAY_MS
            last_ms = _LONG_PAUSE_MS if is_long else _LAST_PAUSE_MS
            pause_ms = min(2 * pause_ms, last_ms)
        del self._tasks[address]

    async def _pause(self, pause_ms):
        """Wait for a pause, or until the list has changed."""
        try:
            async with asyncio.timeout(clock.seconds(pause_ms)):
                await self._news.wait()
        except TimeoutError:
            return

    def _away_ms(self, reached_ms):
        return self._clock.now_ms() - reached_ms


def parse(address):
    """Split an address.

    Args:
      address: A string, HOST:PORT.

    Returns:
      A pair of a string and an integer.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
