"""The HTTP server of an entry, and what bounds it.

| bound                                 | beyond it                            |
|---------------------------------------|--------------------------------------|
| `max_connections` open connections    | 503 at once, and closed              |
| 10 s until the first request is whole | closed                               |
| `max_body_bytes` in a body            | 413                                  |
| `max_jobs` requests in progress       | 429                                  |
| 64 requests of operators in progress  | 429; they have a bound of their own, |
|                                       | so that clients can't shut them out  |
| an entry that leaves                  | 503 `shutting_down`, nothing started |

All refusals are JSON, also those of the HTTP library.
"""

import asyncio
import json

from aiohttp import web

from jujubeglade.core import clock, log, problem
from jujubeglade.entry import refusals

_RETRY_AFTER_MS = 500
_FIRST_REQUEST_MS = 10_000
_LAST_REQUESTS_MS = 100
_ENTITY_TOO_LARGE = 413
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405
_REQUEST_TIMEOUT = 408
_MAX_OPERATORS_REQUESTS = 64
_OPERATORS_PATHS = ("/v1/commands", "/v1/audit")

_log = log.get(__name__)


class Server:
    """One listening port."""

    __slots__ = (
        "_app",
        "_first_request_ms",
        "_max_connections",
        "_runner",
        "_server",
        "_unserved",
    )

    def __init__(self, app, max_connections, first_request_ms=_FIRST_REQUEST_MS):
        """Prepare to serve an application.

        Args:
          app: An aiohttp.web.Application.
          max_connections: A function to an integer, as operators may change it.
          first_request_ms: An integer, how long a connection may take until the head
            of its first request is there.
        """
        self._app = app
        self._app.middlewares.insert(0, self._note_request())
        self._max_connections = max_connections
        self._first_request_ms = first_request_ms
        # Connections that have not made a request yet.
        self._unserved = set()
        self._runner = None
        self._server = None

    @property
    def port(self):
        """Return the port that is listened on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self, host, port):
        """Listen.

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

        A connection that was just accepted gets the time to be answered.
        """
        self._server.close()
        await asyncio.sleep(clock.seconds(_LAST_REQUESTS_MS))
        await self._runner.cleanup()

    def _accept(self):
        if len(self._runner.server.connections) >= self._max_connections():
            return _TooMany()
        opened = self._runner.server()
        self._unserved.add(opened)
        delay = clock.seconds(self._first_request_ms)
        asyncio.get_running_loop().call_later(delay, self._close_silent, opened)
        return opened

    def _note_request(self):
        """Make the middleware that notes which connections make requests."""

        @web.middleware
        async def note(request, handler):
            self._unserved.discard(request.protocol)
            return await handler(request)

        return note

    def _close_silent(self, opened):
        """Close a connection that holds a place and asks for nothing."""
        if opened in self._unserved:
            self._unserved.discard(opened)
            if opened.transport is not None:
                opened.transport.abort()


class _TooMany(asyncio.Protocol):
    """Refuses a connection beyond the bound."""

    def connection_made(self, transport):
        refused = problem.Problem(
            kind=problem.Kind.OVERLOADED,
            message="the entry has as many connections as it may",
            remedy="come back later, or ask another entry",
            retry_after_ms=_RETRY_AFTER_MS,
        )
        body = json.dumps(refusals.render((refused,))).encode()
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
    """Counts the requests in progress and refuses what is beyond the bounds."""

    __slots__ = ("_in_progress", "_max_requests", "_refusals", "leaving")

    def __init__(self, refusing, max_requests):
        """Open the gate.

        Args:
          refusing: A Refusals.
          max_requests: A function to an integer, as operators may change it.
        """
        self._refusals = refusing
        self._max_requests = max_requests
        self._in_progress = {False: 0, True: 0}
        self.leaving = False

    @property
    def in_progress(self):
        """How many requests are in progress."""
        return sum(self._in_progress.values())

    def middleware(self):
        """Make the middleware of an application.

        Returns:
          A function as aiohttp's `middlewares` takes it.
        """

        @web.middleware
        async def serve(request, handler):
            if not request.path.startswith("/v1/"):
                return await handler(request)
            by_operator = request.path in _OPERATORS_PATHS
            refused = self._refusal(by_operator)
            if refused is not None:
                return self._refusals.refuse(refused)
            self._in_progress[by_operator] += 1
            try:
                return await self._serve(request, handler)
            finally:
                self._in_progress[by_operator] -= 1

        return serve

    async def _serve(self, request, handler):
        """Serve a request; turn what the library raises into a refusal."""
        try:
            return await handler(request)
        except web.HTTPException as error:
            return self._refusals.refuse(_of_library(error))
        except Exception:
            _log.exception("request failed", method=request.method, path=request.path)
            return self._refusals.refuse(_internal())

    def _refusal(self, by_operator):
        most = _MAX_OPERATORS_REQUESTS if by_operator else self._max_requests()
        if self.leaving:
            return problem.Problem(
                kind=problem.Kind.SHUTTING_DOWN,
                message="the entry is shutting down",
                remedy="ask another entry",
                retry_after_ms=_RETRY_AFTER_MS,
            )
        if self._in_progress[by_operator] >= most:
            return problem.Problem(
                kind=problem.Kind.OVERLOADED,
                message="the entry serves as many requests as it may",
                remedy="come back later, or ask another entry",
                retry_after_ms=_RETRY_AFTER_MS,
            )
        return None


def _of_library(error):
    """Describe what the HTTP library refused."""
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


def _internal():
    return problem.Problem(
        kind=problem.Kind.INTERNAL,
        message="the entry failed while it served the request",
        remedy="send the request again with the same id; see the entry's log",
        outcome=problem.Outcome.UNKNOWN,
        retry_after_ms=_RETRY_AFTER_MS,
    )
