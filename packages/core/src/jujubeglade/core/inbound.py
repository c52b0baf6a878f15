"""The connections and the input of all clients of a process, and their bounds.

All HTTP listeners of a process share one `Inbound`. It bounds what clients may hold,
whatever they send: connections, requests that are not whole, and the time that these
may take. At a bound, the request that is furthest from being whole for longest gives
way; one that is whole and being served is not touched. See docs/OPERATING.md.

    inbound = new_inbound(settings.inbound, process_metrics)
    listener = inbound.new_listener("clients", app)
    await listener.open("10.0.0.1", 8080)
"""

import asyncio
import dataclasses

from jujubeglade.core import _inbound_bounds as bounds_
from jujubeglade.core import _inbound_closures as closures_
from jujubeglade.core import _inbound_departures as departures_
from jujubeglade.core import _inbound_eviction as eviction
from jujubeglade.core import _inbound_http as http
from jujubeglade.core import _inbound_pacing as pacing
from jujubeglade.core import clock, metrics, settings

HttpListener = http.HttpListener

#: Small, as the input of each read is parsed without a pause.
_READ_BYTES = 8 * 1024
_SWEEP_INTERVAL_MS = 1000
_UNLIMITED = 1 << 30


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerOptions:
    """How one listener differs from others.

    Attributes:
      max_connections: A function without arguments that returns the most connections,
        beside the bound of the process.
      is_internal: A boolean, whether it serves other processes and not clients.
      refusal: Bytes, the response to a connection beyond the bound; empty to close it
        without one. It was not read, so what its request asks for may have been done
        for an earlier one.
      first_request_ms: An integer, how long a new connection may take until its first
        request is whole; None for as long as any request.
      server: A dict, further options of aiohttp's AppRunner.
    """

    max_connections: object = lambda: _UNLIMITED
    is_internal: bool = False
    refusal: bytes = b""
    first_request_ms: int | None = None
    server: dict = dataclasses.field(default_factory=dict)


class Inbound:
    """What the clients of one process hold."""

    __slots__ = (
        "_accepted_bytes",
        "_clock",
        "_connections",
        "_held_bytes",
        "_metrics",
        "_pacer",
        "_sweep",
        "bounds",
        "buffer",
        "closures",
        "departures",
    )

    #: See `_inbound_eviction`.
    min_missing_share = eviction.MIN_MISSING_SHARE

    def __init__(self, bounds, process_metrics, process_clock):
        """Start without connections; use `new_inbound` instead.

        Args:
          bounds: A Bounds.
          process_metrics: A Metrics.
          process_clock: A Clock.
        """
        self.bounds = bounds
        self.closures = closures_.Closures(process_metrics, process_clock)
        self.departures = departures_.Departures()
        #: What is read is copied from here before the next read.
        self.buffer = memoryview(bytearray(_READ_BYTES))
        self._metrics = process_metrics
        self._clock = process_clock
        self._connections = set()
        self._held_bytes = 0
        self._accepted_bytes = 0
        self._pacer = None
        self._sweep = None

    @property
    def pacer(self):
        """Return the ReadPacer of the event loop."""
        return self._pacer

    def now_ms(self):
        """Read the monotonic clock."""
        return self._clock.now_ms()

    def new_listener(self, name, app, options=None):
        """Create a listener.

        Args:
          name: A string, for metrics and logs.
          app: An aiohttp.web.Application.
          options: A ListenerOptions; None for the default ones.

        Returns:
          An HttpListener.
        """
        return http.HttpListener(self, name, app, options or ListenerOptions())

    def measure(self):
        """Set the gauges."""
        self._metrics.set(metrics.Gauge.CONNECTIONS, len(self._connections))
        self._metrics.set(metrics.Gauge.UNFINISHED, self._held_bytes)
        self._metrics.set(metrics.Gauge.ACCEPTED, self._accepted_bytes)

    def add(self, connection):
        """Register a connection that was accepted.

        Args:
          connection: A Connection.
        """
        self._connections.add(connection)
        if self._sweep is None:
            loop = asyncio.get_running_loop()
            self._pacer = pacing.ReadPacer(loop)
            self._sweep_later(loop)

    def remove(self, connection):
        """Forget a connection that has ended.

        Args:
          connection: A Connection.
        """
        connection.release()
        self._connections.discard(connection)
        connection.listener.remove(connection)

    def hold(self, nbytes):
        """Count bytes that were received of an unfinished request.

        Args:
          nbytes: An integer.
        """
        self._held_bytes += nbytes
        if self._held_bytes > self.bounds.unfinished_bytes:
            self._drop_input()

    def release(self, nbytes):
        """Count bytes that are no longer held.

        Args:
          nbytes: An integer.
        """
        self._held_bytes -= nbytes

    def has_room(self, nbytes):
        """Return whether a request can be accepted.

        Args:
          nbytes: An integer, the memory that it will take, as estimated.
        """
        return self._accepted_bytes + nbytes <= self.bounds.accepted_bytes

    def accept(self, nbytes):
        """Count the memory of an accepted request; a negative number when it ends.

        Args:
          nbytes: An integer.
        """
        self._accepted_bytes += nbytes

    def make_room(self, listener):
        """Close connections of a listener that has reached its bound.

        Args:
          listener: An HttpListener.
        """
        unfinished = [item for item in listener.connections if item.is_unfinished]
        chosen = eviction.for_connections(
            unfinished, self.now_ms(), listener.max_connections
        )
        for connection in chosen:
            self._close(connection, "connections")

    def note_closed(self, connection, cause):
        """Count a connection that is closed at a bound.

        Args:
          connection: A Connection.
          cause: A string.
        """
        self.closures.note(connection.listener.name, cause)

    def _drop_input(self):
        unfinished = [item for item in self._connections if item.is_unfinished]
        chosen = eviction.for_memory(
            unfinished, self.now_ms(), self._held_bytes, self.bounds.unfinished_bytes
        )
        for connection in chosen:
            self._close(connection, "memory")

    def _close(self, connection, cause):
        self.note_closed(connection, cause)
        connection.abort()
        connection.listener.remove(connection)

    def _sweep_later(self, loop):
        shortest_ms = min(
            (
                connection.listener.first_request_ms
                for connection in self._connections
                if connection.listener.first_request_ms is not None
            ),
            default=_SWEEP_INTERVAL_MS,
        )
        interval_ms = min(shortest_ms, _SWEEP_INTERVAL_MS)
        self._sweep = loop.call_later(clock.seconds(interval_ms), self._close_overdue)

    def _close_overdue(self):
        """Close the connections whose requests take too long."""
        now_ms = self.now_ms()
        for connection in list(self._connections):
            if connection.is_unfinished and now_ms >= connection.due_ms:
                self._close(connection, "timeout")
        self.closures.log()
        if self._connections:
            self._sweep_later(asyncio.get_running_loop())
        else:
            self._sweep = None


def new_inbound(inbound_settings, process_metrics, largest_body_bytes=0):
    """Create the Inbound of a process.

    Args:
      inbound_settings: An Inbound of the settings.
      process_metrics: A Metrics.
      largest_body_bytes: An integer, the largest body that a request may have; 0 if it
        is small beside the memory of any VM.

    Returns:
      An Inbound.
    """
    bounds = bounds_.of_settings(inbound_settings, largest_body_bytes)
    return Inbound(bounds, process_metrics, clock.system_clock())


def default_inbound():
    """Create an Inbound with the default settings and metrics of its own."""
    return new_inbound(settings.Inbound(), metrics.open_metrics())
