"""One HTTP listener: a port, an application, and the connections of its clients."""

import asyncio
import logging

from aiohttp import http_exceptions, web

from jujubeglade.core import _inbound_acceptor as acceptor
from jujubeglade.core import _inbound_connection as connection_
from jujubeglade.core import clock, log

#: How long the rest of a request that was answered early is dropped, so that its client
#: gets the answer.
_LINGER_S = 2.0
#: Beyond all but one of this many connections, each is closed with its next answer, so
#: that waiting connections never take them all.
_SPARE_SHARE = 8
#: Received bytes that were not read are memory of the process. The system doubles it.
_RECEIVE_BUFFER_BYTES = 8 * 1024

_log = log.get(__name__)


class HttpListener:
    """An application on one listening port; `Inbound.new_listener` creates it."""

    __slots__ = (
        "_acceptor",
        "_app",
        "_connections",
        "_inbound",
        "_is_internal",
        "_max_connections",
        "_refusal",
        "_runner",
        "_server_options",
        "first_request_ms",
        "name",
    )

    def __init__(self, inbound, name, app, options):
        """Create a listener; `open` opens its port.

        Args:
          inbound: The Inbound of the process.
          name: A string, for metrics and logs.
          app: An aiohttp.web.Application.
          options: A ListenerOptions.
        """
        self._inbound = inbound
        self._app = app
        self._app.middlewares.insert(0, self._follow_requests())
        self._max_connections = options.max_connections
        self._is_internal = options.is_internal
        self._refusal = options.refusal
        self._server_options = options.server
        self._acceptor = None
        self._runner = None
        # The open connections by the protocol of the HTTP library.
        self._connections = {}
        self.first_request_ms = options.first_request_ms
        self.name = name

    @property
    def port(self):
        """Return the port on which it listens."""
        return self._acceptor.port

    @property
    def max_connections(self):
        """Return the most connections at a time."""
        bounds = self._inbound.bounds
        if self._is_internal:
            return min(bounds.internal_connections, bounds.connections)
        return min(self._max_connections(), bounds.connections)

    @property
    def connections(self):
        """Return the open connections, as a view."""
        return self._connections.values()

    async def open(self, host, port):
        """Start listening.

        Args:
          host: A string, an IP number.
          port: An integer; 0 lets the system choose.
        """
        self._runner = web.AppRunner(
            self._app,
            access_log=None,
            # A small compressed body may decompress to any size.
            auto_decompress=False,
            lingering_time=_LINGER_S,
            logger=_library_logger(self),
            **self._server_options,
        )
        await self._runner.setup()
        self._acceptor = acceptor.Acceptor(
            self._accept, self._on_exhausted, _RECEIVE_BUFFER_BYTES
        )
        self._acceptor.open(host, port)

    async def close(self, delay_ms=0):
        """Stop listening and close all connections.

        Args:
          delay_ms: A number, how long requests of connections that were just accepted
            have to be answered.
        """
        self._acceptor.close(accepts_rest=True)
        await asyncio.sleep(clock.seconds(delay_ms))
        await self._runner.cleanup()

    def caller_of(self, request):
        """Return the client of a request.

        Args:
          request: An aiohttp.web.Request.

        Returns:
          An object with `has_departed`, whether the client had closed the connection
          when departures were collected last.
        """
        return self._connections.get(request.protocol, _DROPPED)

    def remove(self, connection):
        """Forget a connection that has ended."""
        self._connections.pop(connection.protocol, None)

    def note_unreadable(self):
        """Count a request that the HTTP library could not read."""
        self._inbound.closures.note(self.name, "unreadable")

    def _accept(self):
        if len(self._connections) >= self.max_connections:
            self._inbound.make_room(self)
        if len(self._connections) >= self.max_connections:
            self._inbound.closures.note(self.name, "refused")
            return _RefusedConnection(self._refusal)
        protocol = self._runner.server()
        connection = connection_.Connection(self._inbound, self, protocol)
        self._connections[protocol] = connection
        self._inbound.add(connection)
        return connection

    def _on_exhausted(self):
        self._inbound.closures.note(self.name, "exhausted")

    def _follow_requests(self):
        """Return the middleware that tells connections of their requests."""

        @web.middleware
        async def follow_request(request, handler):
            connection = self._connections.get(request.protocol)
            if connection is None:
                return await handler(request)
            connection.on_request(request.content, request.content_length)
            try:
                response = await handler(request)
            finally:
                connection.on_answer()
            if self._is_crowded:
                response.force_close()
            return response

        return follow_request

    @property
    def _is_crowded(self):
        bound = self.max_connections
        return len(self._connections) > bound - bound // _SPARE_SHARE


class _Dropped:
    """The client of a connection that this process has closed."""

    __slots__ = ()

    has_departed = True


_DROPPED = _Dropped()


class _RefusedConnection(asyncio.Protocol):
    """Refuses a connection beyond the bound, without reading from it."""

    __slots__ = ("_refusal",)

    def __init__(self, refusal):
        self._refusal = refusal

    def connection_made(self, transport):
        transport.write(self._refusal)
        transport.close()


class _LibraryLog(logging.Handler):
    """Passes the errors of the HTTP library on to the log of the process.

    Requests that can't be read are counted as connections closed at a bound.
    """

    def __init__(self, listener):
        super().__init__()
        self._listener = listener

    def emit(self, record):
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, http_exceptions.HttpProcessingError):
            self._listener.note_unreadable()
            return
        _log.error("request failed", cause=record.getMessage(), error=repr(error))


def _library_logger(listener):
    """Make the logger of the HTTP library for one listener."""
    logger = logging.Logger(listener.name)
    logger.addHandler(_LibraryLog(listener))
    return logger
