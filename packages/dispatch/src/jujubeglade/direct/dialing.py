"""Dialing: keeps the links of an agent to the entries that it serves.

A restarted entry can serve only once the agents have connected to it. So an agent
retries at short intervals, uses a short connection timeout (a VM without power does not
answer), and retries at once when the store shows a change of the entries.
"""

import asyncio

from jujubeglade.core import clock, log

#: The shortest and the longest pause between two attempts to connect.
_MIN_PAUSE_MS = 50
_MAX_PAUSE_MS = 150
#: The longest pause once an entry has been unreachable for long; a change of the
#: entries ends it early.
_MAX_LONG_PAUSE_MS = 1000
_LONG_UNREACHABLE_MS = 5000
#: A running VM accepts a connection within this time, whatever its processes do.
_CONNECT_TIMEOUT_MS = 200
#: An unlisted address is still dialed for this long, as an entry's lease may expire
#: while the entry runs.
_UNLISTED_DIAL_MS = 30_000

_log = log.get(__name__)


class Dialer:
    """The links of one agent."""

    __slots__ = (
        "_addresses_changed",
        "_agent",
        "_background",
        "_clock",
        "_listed",
        "_unwanted",
        "_tasks",
    )

    def __init__(self, clock, background, agent):
        """Create a dialer without addresses.

        Args:
          clock: A Clock.
          background: A Background, for the tasks that dial.
          agent: The Agent, with the coroutines `dial(address, connect_ms)`, which
            returns a Result of a Link, and `serve(link, address)`, which ends with
            the link.
        """
        self._clock = clock
        self._background = background
        self._agent = agent
        self._listed = frozenset()
        # Addresses of entries that other agents serve.
        self._unwanted = frozenset()
        # The tasks by address.
        self._tasks = {}
        # Set, and replaced by a new event, when the addresses have changed.
        self._addresses_changed = asyncio.Event()

    def follow(self, addresses, unwanted=()):
        """Keep links to these addresses from now on, and dial those without one now.

        Args:
          addresses: Strings, HOST:PORT.
          unwanted: Strings, addresses of other entries that run and are not to be
            dialed any more. The agent closes its links to them.
        """
        self._listed = frozenset(addresses)
        self._unwanted = frozenset(unwanted)
        for address in addresses:
            if address in self._tasks:
                continue
            task = self._background.spawn(self._keep_link(address))
            self._tasks[address] = task
        self._addresses_changed.set()
        self._addresses_changed = asyncio.Event()

    async def _keep_link(self, address):
        """Keep a link to one address until it is neither listed nor reachable."""
        pause_ms = _MIN_PAUSE_MS
        reached_ms = self._clock.now_ms()
        while self._is_needed(address, reached_ms):
            dialed = await self._agent.dial(address, _CONNECT_TIMEOUT_MS)
            if dialed.is_ok():
                await self._serve(dialed.ok_value, address)
                pause_ms = _MIN_PAUSE_MS
                reached_ms = self._clock.now_ms()
            await self._pause(pause_ms)
            is_long_unreachable = (
                self._unreachable_ms(reached_ms) > _LONG_UNREACHABLE_MS
            )
            max_ms = _MAX_LONG_PAUSE_MS if is_long_unreachable else _MAX_PAUSE_MS
            pause_ms = min(2 * pause_ms, max_ms)
        del self._tasks[address]

    async def _serve(self, link, address):
        """Serve a link until it ends, also if a message on it causes an error."""
        try:
            await self._agent.serve(link, address)
        except Exception as error:
            _log.error("link broke off", address=address, cause=repr(error))

    def _is_needed(self, address, reached_ms):
        if address in self._listed:
            return True
        if address in self._unwanted:
            return False
        return self._unreachable_ms(reached_ms) < _UNLISTED_DIAL_MS

    async def _pause(self, pause_ms):
        """Wait for the pause, or until the addresses have changed."""
        try:
            async with asyncio.timeout(clock.seconds(pause_ms)):
                await self._addresses_changed.wait()
        except TimeoutError:
            return

    def _unreachable_ms(self, reached_ms):
        return self._clock.now_ms() - reached_ms


def parse_address(address):
    """Split an address.

    Args:
      address: A string, HOST:PORT.

    Returns:
      A pair of a string and an integer.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
