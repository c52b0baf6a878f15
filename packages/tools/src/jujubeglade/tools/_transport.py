"""HTTP to one of several entries.

Every request of the interface is idempotent: submissions and commands carry
their id. So a request whose answer was lost is sent again, unchanged, to the
next entry. Only what is left after the last attempt is told to the caller.

| seen                                 | next                                     |
|--------------------------------------|------------------------------------------|
| connection refused                   | the next entry; this one started nothing |
| connection lost, no answer in time   | the next entry; the outcome is unknown   |
| refusal `shutting_down`, or no JSON  | the next entry                           |
| any other answer or refusal          | returned                                 |
"""

import asyncio
import dataclasses

import aiohttp
import result

from jujubeglade.core import clock, problem
from jujubeglade.tools import _answers

_CONNECT_MS = 2_000
_ANSWER_MS = 10_000
_PAUSE_MS = 200
_ROUNDS = 3
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
    """What an entry answered.

    Attributes:
      body: Bytes.
      headers: A mapping from names to strings, in any case.
    """

    body: bytes
    headers: object


class Transport:
    """Sends requests to the first of its entries that answers."""

    __slots__ = ("_entries", "_first", "_session")

    def __init__(self, session, entries):
        """Take the entries in the order given.

        Args:
          session: An aiohttp.ClientSession that sends the token.
          entries: A sequence of strings, base URLs.
        """
        self._session = session
        self._entries = tuple(entry.rstrip("/") for entry in entries)
        self._first = 0

    async def send(self, request):
        """Send a request until an entry answers it.

        Args:
          request: A Request.

        Returns:
          A Result of a Response, or of a Problem.
        """
        unknown = False
        for attempt in range(_ROUNDS * len(self._entries)):
            if attempt and attempt % len(self._entries) == 0:
                await asyncio.sleep(clock.seconds(_PAUSE_MS))
            answer = await self._send_once(request)
            if answer.is_ok():
                return answer
            found = answer.err()
            unknown |= found.outcome is problem.Outcome.UNKNOWN
            if not _is_worth_another(found):
                break
            self._first = (self._first + 1) % len(self._entries)
        return result.Err(_in_sum(found, unknown))

    async def _send_once(self, request):
        """Send a request to the entry that answered last."""
        entry = self._entries[self._first]
        total_ms = _CONNECT_MS + _ANSWER_MS + request.wait_ms
        timeout = aiohttp.ClientTimeout(
            total=clock.seconds(total_ms), sock_connect=clock.seconds(_CONNECT_MS)
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
            return _lost(entry, error, problem.Outcome.REQUEST_NOT_RUN)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return _lost(entry, error, problem.Outcome.UNKNOWN)
        if response.status >= _FIRST_ERROR_STATUS:
            return result.Err(_answers.read_refusal(response.status, body))
        return result.Ok(Response(body, response.headers))


def _lost(entry, error, outcome):
    """Describe an attempt without an answer."""
    return result.Err(
        problem.Problem(
            problem.Kind.UNREACHABLE,
            str(error) or type(error).__name__,
            "check --entry, or name another entry",
            entry,
            outcome,
        )
    )


def _is_worth_another(found):
    """Tell whether another entry may do better."""
    kinds = (
        problem.Kind.UNREACHABLE,
        problem.Kind.SHUTTING_DOWN,
        problem.Kind.INTERNAL,
    )
    return found.kind in kinds


def _in_sum(last, unknown):
    """Say what the last refusal and the attempts before it show together.

    A refusal that says `request_not_run` speaks of its own attempt only; an earlier
    one whose answer was lost may have done what was asked.
    """
    if not unknown or last.outcome is problem.Outcome.NOT_RUN:
        return last
    return dataclasses.replace(
        last,
        remedy=f"{last.remedy}; the same id again tells what became of it",
        outcome=problem.Outcome.UNKNOWN,
    )
