"""The HTTP server of an entry, and its limits.

| limit                                  | beyond it                               |
|----------------------------------------|-----------------------------------------|
| `max_connections` open connections     | 503, and the connection is closed       |
| 10 s for the head of the first request | the connection is closed                |
| `max_body_bytes` in a body             | 413                                     |
| `max_jobs` requests in progress        | 429                                     |
| 64 requests of operators in progress   | 429; a separate limit, so that requests |
|                                        | of clients can't block operators        |
| the entry is shutting down             | 503 `shutting_down`, nothing is started |

All refusals are JSON, including those of the HTTP library.
"""

import asyncio
import contextlib
import json

from aiohttp import web

from jujubeglade.core import clock, log, problem
from jujubeglade.entry import refusals

_RETRY_AFTER_MS = 500
_FIRST_REQUEST_TIMEOUT_MS = 10_000
_CLOSE_DELAY_MS = 100
_ENTITY_TOO_LARGE = 413
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405
_REQUEST_TIMEOUT = 408
_MAX_OPERATOR_REQUESTS = 64
_OPERATOR_PATHS = ("/v1/commands", "/v1/audit")

_log = log.get(__name__)


class Server:
    """An application on one listening port."""

    __slots__ = (
        "_app",
        "_first_request_timeout_ms",
        "_max_connections",
        "_runner",
        "_server",
        "_without_request",
    )

    def __init__(
        self,
        app,
        max_connections,
        first_request_timeout_ms=_FIRST_REQUEST_TIMEOUT_MS,
    ):
        """Create a server; `start` opens its port.

        Args:
          app: An aiohttp.web.Application.
          max_connections: A function without arguments that returns the limit, an
            integer that operators may change.
          first_request_timeout_ms: An integer, how long a connection may take until
            the head of its first request has arrived.
        """
        self._app = app
        self._app.middlewares.insert(0, self._request_middleware())
        self._max_connections = max_connections
        self._first_request_timeout_ms = first_request_timeout_ms
        # The connections on which no request has arrived yet.
        self._without_request = set()
        self._runner = None
        self._server = None

    @property
    def port(self):
        """Return the port on which the server listens."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self, host, port):
        """Start listening.

        Args:
          host: A string.
          port: An integer; 0 lets the system choose.
        """
        self._runner = web.AppRunner(self._app, access_log=None)
        await self._runner.setup()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port)

    async def close(self):
        """Stop listening and close all connections.

        The requests of connections that were just accepted get a short time to be
        answered.
        """
        loop = asyncio.get_running_loop()
        for connection in self._stop_listening():
            await loop.connect_accepted_socket(self._accept, connection)
        await asyncio.sleep(clock.seconds(_CLOSE_DELAY_MS))
        await self._runner.cleanup()

    def _stop_listening(self):
        """Close the listening sockets.

        Returns:
          A list of sockets: connections that clients had opened and that the event loop
          had not accepted yet. The system would reset them.
        """
        listeners = [listening.dup() for listening in self._server.sockets]
        # They go on listening until their last copy is closed.
        self._server.close()
        connections = []
        for listener in listeners:
            with listener, contextlib.suppress(BlockingIOError):
                while True:
                    connections.append(listener.accept()[0])
        return connections

    def _accept(self):
        if len(self._runner.server.connections) >= self._max_connections():
            return _RefusedConnection()
        connection = self._runner.server()
        self._without_request.add(connection)
        delay = clock.seconds(self._first_request_timeout_ms)
        asyncio.get_running_loop().call_later(delay, self._close_unused, connection)
        return connection

    def _request_middleware(self):
        """Return the middleware that records which connections have made requests."""

        @web.middleware
        async def record_request(request, handler):
            self._without_request.discard(request.protocol)
            return await handler(request)

        return record_request

    def _close_unused(self, connection):
        """Close a connection on which no request has arrived."""
        if connection in self._without_request:
            self._without_request.discard(connection)
            if connection.transport is not None:
                connection.transport.abort()


class _RefusedConnection(asyncio.Protocol):
    """Refuses a connection beyond the limit."""

    def connection_made(self, transport):
        refusal = problem.Problem(
            kind=problem.Kind.OVERLOADED,
            message="the entry has reached its limit of open connections",
            remedy="try again later, or ask another entry",
            retry_after_ms=_RETRY_AFTER_MS,
        )
        body = json.dumps(refusals.render((refusal,))).encode()
        head = (
            "HTTP/1.1 503 Service Unavailable\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Retry-After: 1\r\n"
            "Connection: close\r\n\r\n"
        )
        transport.write(head.encode() + body)
        transport.close()


class Gate:
    """Counts the requests in progress and refuses those beyond the limits."""

    __slots__ = ("_in_progress", "_max_requests", "_refusals", "leaving")

    def __init__(self, entry_refusals, max_requests):
        """Create a gate without requests.

        Args:
          entry_refusals: The Refusals of the entry.
          max_requests: A function without arguments that returns the limit for clients,
            an integer that operators may change.
        """
        self._refusals = entry_refusals
        self._max_requests = max_requests
        # The number of requests, by whether they come from operators.
        self._in_progress = {False: 0, True: 0}
        self.leaving = False

    @property
    def in_progress(self):
        """The number of requests in progress."""
        return sum(self._in_progress.values())

    def middleware(self):
        """Return the middleware for an application.

        Returns:
          A function for the `middlewares` of aiohttp.
        """

        @web.middleware
        async def serve(request, handler):
            if not request.path.startswith("/v1/"):
                return await handler(request)
            response = await self._serve_or_refuse(request, handler)
            if self.leaving:
                # The client's next request goes to another entry, and is not on its
                # way here when the connections are closed.
                response.force_close()
            return response

        return serve

    async def _serve_or_refuse(self, request, handler):
        by_operator = request.path in _OPERATOR_PATHS
        refusal = self._refusal(by_operator)
        if refusal is not None:
            return self._refusals.refuse(refusal)
        self._in_progress[by_operator] += 1
        try:
            return await self._serve(request, handler)
        finally:
            self._in_progress[by_operator] -= 1

    async def _serve(self, request, handler):
        """Serve a request; convert an exception to a refusal."""
        try:
            return await handler(request)
        except web.HTTPException as error:
            return self._refusals.refuse(_http_problem(error))
        except Exception:
            _log.exception("request failed", method=request.method, path=request.path)
            return self._refusals.refuse(_internal_problem())

    def _refusal(self, by_operator):
        """Return the Problem to refuse a request with; None if it may be served."""
        limit = _MAX_OPERATOR_REQUESTS if by_operator else self._max_requests()
        if self.leaving:
            return problem.Problem(
                kind=problem.Kind.SHUTTING_DOWN,
                message="the entry is shutting down",
                remedy="ask another entry",
                retry_after_ms=_RETRY_AFTER_MS,
            )
        if self._in_progress[by_operator] >= limit:
            return problem.Problem(
                kind=problem.Kind.OVERLOADED,
                message="the entry has reached its limit of requests in progress",
                remedy="try again later, or ask another entry",
                retry_after_ms=_RETRY_AFTER_MS,
            )
        return None


def _http_problem(error):
    """Build the problem for an exception of the HTTP library."""
    kinds = {
        _ENTITY_TOO_LARGE: (problem.Kind.TOO_LARGE, "send a smaller body"),
        _NOT_FOUND: (problem.Kind.BAD_REQUEST, "use a path of docs/DESIGN.md"),
        _REQUEST_TIMEOUT: (problem.Kind.BAD_REQUEST, "send the body at once"),
        _METHOD_NOT_ALLOWED: (problem.Kind.BAD_REQUEST, "use another method"),
    }
    kind, remedy = kinds.get(
        error.status, (problem.Kind.BAD_REQUEST, "see the message")
    )
    return problem.Problem(kind, error.reason, remedy)


def _internal_problem():
    return problem.Problem(
        kind=problem.Kind.INTERNAL,
        message="the entry failed while it served the request",
        remedy="send the request again with the same id; see the entry's log",
        outcome=problem.Outcome.UNKNOWN,
        retry_after_ms=_RETRY_AFTER_MS,
    )
