"""HTTP requests with failover among several entries.

Every request of the interface is idempotent: submissions and commands carry
their id. So a request whose answer was lost is sent again, unchanged, to the
next entry. The caller sees only the problem that remains after the last attempt.

| result of an attempt                 | what follows                             |
|--------------------------------------|------------------------------------------|
| connection refused                   | the next entry; this one started nothing |
| connection lost, no answer in time   | the next entry; the outcome is unknown   |
| refusal `shutting_down`, or no JSON  | the next entry                           |
| any other answer or refusal          | returned to the caller                   |
"""

import asyncio
import dataclasses

import aiohttp
import result

from jujubeglade.core import clock, problem
from jujubeglade.tools import _answers

_CONNECT_TIMEOUT_MS = 2_000
_ANSWER_TIMEOUT_MS = 10_000
_ROUND_PAUSE_MS = 200
_MAX_ROUNDS = 3
_FIRST_ERROR_STATUS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request, the same at each attempt.

    Attributes:
      method: A string.
      path: A string.
      body: A JSON value, or None.
      wait_ms: An integer, how long the entry may wait before it answers.
    """

    method: str
    path: str
    body: object = None
    wait_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An entry's answer to a request.

    Attributes:
      body: Bytes.
      headers: A case-insensitive mapping from names to strings.
    """

    body: bytes
    headers: object


class Transport:
    """Sends requests to one entry, and moves on to the next when that one fails."""

    __slots__ = ("_current", "_entries", "_session")

    def __init__(self, session, entries):
        """Create a transport that tries the entries in the given order.

        Args:
          session: An aiohttp.ClientSession that sends the token.
          entries: A sequence of strings, base URLs.
        """
        self._session = session
        self._entries = tuple(entry.rstrip("/") for entry in entries)
        self._current = 0

    async def send(self, request):
        """Send a request until an entry answers it.

        Args:
          request: A Request.

        Returns:
          A Result of a Response, or of a Problem.
        """
        may_have_run = False
        for attempt in range(_MAX_ROUNDS * len(self._entries)):
            if attempt and attempt % len(self._entries) == 0:
                await asyncio.sleep(clock.seconds(_ROUND_PAUSE_MS))
            answer = await self._send_once(request)
            if answer.is_ok():
                return answer
            refusal = answer.err()
            may_have_run |= refusal.outcome is problem.Outcome.UNKNOWN
            if not _is_retryable(refusal):
                break
            self._current = (self._current + 1) % len(self._entries)
        return result.Err(_combine(refusal, may_have_run))

    async def _send_once(self, request):
        """Send a request to the current entry."""
        entry = self._entries[self._current]
        total_ms = _CONNECT_TIMEOUT_MS + _ANSWER_TIMEOUT_MS + request.wait_ms
        timeout = aiohttp.ClientTimeout(
            total=clock.seconds(total_ms),
            sock_connect=clock.seconds(_CONNECT_TIMEOUT_MS),
        )
        try:
            async with self._session.request(
                request.method,
                entry + request.path,
                json=request.body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return _no_answer(entry, error, problem.Outcome.REQUEST_NOT_RUN)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _no_answer(entry, error, problem.Outcome.UNKNOWN)
        if response.status >= _FIRST_ERROR_STATUS:
            return result.Err(_answers.decode_refusal(response.status, body))
        return result.Ok(Response(body, response.headers))


def _no_answer(entry, error, outcome):
    """Return the Problem of an attempt without an answer, as a Result."""
    return result.Err(
        problem.Problem(
            problem.Kind.UNREACHABLE,
            str(error) or type(error).__name__,
            "check --entry, or name another entry",
            entry,
            outcome,
        )
    )


def _is_retryable(refusal):
    """Tell whether to send the request to the next entry."""
    kinds = (
        problem.Kind.UNREACHABLE,
        problem.Kind.SHUTTING_DOWN,
        problem.Kind.INTERNAL,
    )
    return refusal.kind in kinds


def _combine(last, may_have_run):
    """Return the last refusal, with the outcome that holds for all attempts.

    A refusal with `request_not_run` holds for its own attempt only: an earlier attempt
    whose answer was lost may have been carried out.
    """
    if not may_have_run or last.outcome is problem.Outcome.NOT_RUN:
        return last
    return dataclasses.replace(
        last,
        remedy=f"{last.remedy}; the same id again tells what became of it",
        outcome=problem.Outcome.UNKNOWN,
    )
