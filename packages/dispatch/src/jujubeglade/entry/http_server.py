"""The HTTP server of an entry, and its limits.

| limit                                  | beyond it                               |
|----------------------------------------|-----------------------------------------|
| `max_connections` open connections     | an unfinished request gives way, or 503 |
| 10 s for the head of the first request | the connection is closed                |
| those of `jujubeglade.core.inbound`    | the connection is closed                |
| `max_body_bytes` in a body             | 413                                     |
| `max_jobs` requests in progress        | 429                                     |
| 64 requests of operators in progress   | 429; a separate limit, so that requests |
|                                        | of clients can't block operators        |
| the entry is shutting down             | 503 `shutting_down`, nothing is started |

All refusals are JSON, including those of the HTTP library.
"""

import json

from aiohttp import web

from jujubeglade.core import inbound, log, problem
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

    __slots__ = ("_listener",)

    def __init__(
        self,
        app,
        max_connections,
        first_request_timeout_ms=_FIRST_REQUEST_TIMEOUT_MS,
        process_inbound=None,
    ):
        """Create a server; `start` opens its port.

        Args:
          app: An aiohttp.web.Application.
          max_connections: A function without arguments that returns the limit, an
            integer that operators may change.
          first_request_timeout_ms: An integer, how long a connection may take until
            the head of its first request has arrived.
          process_inbound: The Inbound of the process; None for one of its own.
        """
        options = inbound.ListenerOptions(
            max_connections,
            refusal=_overload_response(),
            first_request_ms=first_request_timeout_ms,
        )
        process_inbound = process_inbound or inbound.default_inbound()
        self._listener = process_inbound.new_listener("http", app, options)

    @property
    def port(self):
        """Return the port on which the server listens."""
        return self._listener.port

    async def start(self, host, port):
        """Start listening.

        Args:
          host: A string.
          port: An integer; 0 lets the system choose.
        """
        await self._listener.open(host, port)

    async def close(self):
        """Stop listening and close all connections.

        The requests of connections that were just accepted get a short time to be
        answered.
        """
        await self._listener.close(_CLOSE_DELAY_MS)


def _overload_response():
    """Render the response to a connection beyond the limit, as bytes."""
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
    return head.encode() + body


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
