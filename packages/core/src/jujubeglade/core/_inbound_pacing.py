"""Shares the time of the event loop between the input of clients and everything else.

Parsing may cost far more than the bytes suggest: a body in chunks of one byte takes a
thousand times the processor time of a whole one. So each turn of the event loop spends
a limited time on input. What has been read beyond that waits, and its connections are
not read meanwhile. The first bytes of requests go before those of large ones.
"""

import collections

from jujubeglade.core import clock

_TURN_MS = 10


class ReadPacer:
    """The input that waits for its turn."""

    __slots__ = ("_is_turn_open", "_large", "_loop", "_small", "_spent_s")

    def __init__(self, loop):
        """Create a pacer without input.

        Args:
          loop: The event loop.
        """
        self._loop = loop
        # Connections whose input waits; the second are those of large requests.
        self._small = collections.deque()
        self._large = collections.deque()
        self._is_turn_open = False
        self._spent_s = 0.0

    def offer(self, connection):
        """Let a connection process what it has read, now or when it is its turn.

        Args:
          connection: An object with `is_large`, `pause()`, `resume()`, which processes
            its input, and `process()`.
        """
        if not self._is_turn_open:
            self._is_turn_open = True
            self._loop.call_soon(self._begin_turn)
        queue = self._large if connection.is_large else self._small
        if queue or self._is_turn_spent:
            connection.pause()
            queue.append(connection)
        else:
            self._run(connection.process)

    @property
    def _is_turn_spent(self):
        return self._spent_s >= clock.seconds(_TURN_MS)

    def _begin_turn(self):
        self._spent_s = 0.0
        for queue in (self._small, self._large):
            while queue and not self._is_turn_spent:
                self._run(queue.popleft().resume)
        if self._small or self._large:
            self._loop.call_soon(self._begin_turn)
        else:
            self._is_turn_open = False

    def _run(self, process):
        started_s = self._loop.time()
        process()
        self._spent_s += self._loop.time() - started_s
