"""Upstreams: the services beside an agent that execute tasks.

An upstream announces itself to its agent under a lease, renews it, and leaves.
The agent starts tasks on it over HTTP; docs/DESIGN.md, "Interfaces", gives the
requests. A start says until when it may begin (`Start-By-Ms`), on the wall clock
of the machine both run on, so that a start delayed past its permit is refused by
the upstream.

| answer                | verdict                    |
|-----------------------|----------------------------|
| 200                   | succeeded                  |
| 412                   | never started: too late    |
| 429                   | never started: throttled   |
| no connection         | never started: unreachable |
| another status        | failed                     |
| a connection that broke | unknown                  |
"""

import contextlib
import dataclasses

import aiohttp
import result

from jujubeglade.agent import concurrency
from jujubeglade.core import clock, contract, problem

CONNECT_TIMEOUT_MS = 1000
ORDER_TIMEOUT_MS = 1000
START_BY_HEADER = "Start-By-Ms"
DEADLINE_HEADER = "Deadline-Ms"
_STATUS_OK = 200
_STATUS_TOO_LATE = 412
_STATUS_THROTTLED = 429
_MAX_ERROR_CHARACTERS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an upstream says of itself.

    Attributes:
      service: A string, the service that its tasks name.
      address: A string, the base URL of its HTTP interface.
      slots: An integer, how many tasks it runs at once.
      connections: An integer, how many connections it takes.
      lease_ms: An integer, how long the announcement lasts unless renewed.
    """

    service: str
    address: str
    slots: int
    connections: int
    lease_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """How a call to an upstream ended.

    Attributes:
      verdict: A Verdict, or None when the attempt never started.
      body: Bytes, the result, or the error as UTF-8 text.
      reject: A Reject, or None when the attempt started.
      retry_after_ms: An integer, when to come back after a throttle.
    """

    verdict: contract.Verdict | None
    body: bytes
    reject: contract.Reject | None = None
    retry_after_ms: int = 0


class Upstream:
    """One announced upstream and the calls to it."""

    __slots__ = (
        "_expires_ms",
        "_result_bytes",
        "_session",
        "_unaccounted",
        "announcement",
        "concurrency",
        "lease",
        "leaving",
        "running",
    )

    def __init__(self, lease, announcement, expires_ms, session, result_bytes):
        """Take over an announcement.

        Args:
          lease: A string, the name of the lease.
          announcement: An Announcement.
          expires_ms: A number, the monotonic time at which the lease ends.
          session: An aiohttp.ClientSession for its calls.
          result_bytes: A function to an integer, the largest result that is read.
        """
        self.lease = lease
        self.announcement = announcement
        # The executor puts the one of the rule in force in its place.
        self.concurrency = concurrency.open_concurrency(announcement.slots)
        self.leaving = False
        self.running = 0
        self._expires_ms = expires_ms
        self._session = session
        # What the last two reports named above the agent's own count.
        self._unaccounted = (0, 0)
        self._result_bytes = result_bytes

    @property
    def has_free_slot(self):
        """Tell whether another task may start here."""
        # A report lags, so only what two of them name counts as taken.
        taken = self.running + min(self._unaccounted)
        return not self.leaving and taken < self.concurrency.limit

    def is_live(self, now_ms):
        """Tell whether the lease still holds.

        Args:
          now_ms: A number, the monotonic time.
        """
        return now_ms < self._expires_ms

    def renew(self, now_ms, running):
        """Extend the lease by its length.

        What runs beyond the agent's own count was started by an earlier life of the
        agent, or by nobody the agent knows of, and takes slots all the same.

        Args:
          now_ms: A number, the monotonic time.
          running: An integer, how many tasks run, as the upstream reports.
        """
        self._expires_ms = now_ms + self.announcement.lease_ms
        excess = max(0, running - self.running)
        self._unaccounted = (self._unaccounted[1], excess)

    async def call(self, task_id, payload, start_by_ms, deadline_ms):
        """Run one attempt.

        Args:
          task_id: A TaskId.
          payload: Bytes, a JSON text.
          start_by_ms: An integer, the wall time after which it may not begin.
          deadline_ms: An integer, the time after which its result is of no use.

        Returns:
          A CallResult.
        """
        headers = {
            START_BY_HEADER: str(start_by_ms),
            DEADLINE_HEADER: str(deadline_ms),
            "Content-Type": "application/json",
        }
        url = self._url(task_id)
        try:
            async with self._session.post(url, data=payload, headers=headers) as reply:
                body = await self._read(reply)
                return _too_long(reply) if body is None else _ended(reply, body)
        except aiohttp.ClientConnectorError as error:
            return _never(contract.Reject.UNREACHABLE, str(error).encode())
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            text = f"the connection to the upstream broke: {error!r}"
            return CallResult(contract.Verdict.UNKNOWN, text.encode())

    async def cancel(self, task_id):
        """Ask the upstream to stop an attempt.

        Args:
          task_id: A TaskId.
        """
        await self._order("DELETE", self._url(task_id))

    async def throttle(self, task_id):
        """Ask the upstream to run an attempt with less.

        Args:
          task_id: A TaskId.
        """
        await self._order("POST", f"{self._url(task_id)}/throttle")

    async def close(self):
        """Close the connections to this upstream."""
        await self._session.close()

    async def _read(self, reply):
        """Read a body within the bound; None for a longer one, which is cut off."""
        most = self._result_bytes()
        chunks = []
        size = 0
        async for chunk in reply.content.iter_any():
            size += len(chunk)
            if size > most:
                reply.close()
                return None
            chunks.append(chunk)
        return b"".join(chunks)

    async def _order(self, method, url):
        timeout = aiohttp.ClientTimeout(total=clock.seconds(ORDER_TIMEOUT_MS))
        # An upstream that does not take the order goes on; its answer still comes.
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self._session.request(method, url, timeout=timeout):
                pass

    def _url(self, task_id):
        return f"{self.announcement.address}/tasks/{task_id}"


def open_upstream(lease, announcement, now_ms, result_bytes):
    """Make the object of a fresh announcement.

    Args:
      lease: A string, the name of the lease.
      announcement: An Announcement.
      now_ms: A number, the monotonic time.
      result_bytes: A function to an integer, the largest result that is read; it is
        called for each result, as operators may change the limit.

    Returns:
      An Upstream.
    """
    connector = aiohttp.TCPConnector(limit=announcement.connections)
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=clock.seconds(CONNECT_TIMEOUT_MS)
    )
    session = aiohttp.ClientSession(connector=connector, timeout=timeout)
    expires_ms = now_ms + announcement.lease_ms
    return Upstream(lease, announcement, expires_ms, session, result_bytes)


def parse_announcement(fields):
    """Check an announcement.

    Args:
      fields: A value decoded from JSON.

    Returns:
      A Result of an Announcement, or of a Problem that names the field.
    """
    expected = {field.name: field.type for field in dataclasses.fields(Announcement)}
    if not isinstance(fields, dict) or set(fields) != set(expected):
        return _bad("body", f"the fields are not {', '.join(expected)}")
    for name, kind in expected.items():
        value = fields[name]
        if type(value) is not kind or not value or (kind is int and value < 0):
            return _bad(name, f"{name} is not a {kind.__name__} above zero")
    if not fields["address"].startswith("http://"):
        return _bad("address", "the address is not an http URL")
    return result.Ok(Announcement(**fields))


def _ended(reply, body):
    if reply.status == _STATUS_OK:
        return CallResult(contract.Verdict.SUCCEEDED, body)
    if reply.status == _STATUS_TOO_LATE:
        return _never(contract.Reject.TOO_LATE, body)
    if reply.status == _STATUS_THROTTLED:
        seconds = reply.headers.get("Retry-After", "1")
        wait_ms = int(seconds) * 1000 if seconds.isdigit() else 1000
        return _never(contract.Reject.THROTTLED, body, wait_ms)
    text = body.decode("utf-8", "replace")[:_MAX_ERROR_CHARACTERS]
    return CallResult(contract.Verdict.FAILED, f"{reply.status}: {text}".encode())


def _too_long(reply):
    """End an attempt whose answer was too long to read: it ran, and it failed."""
    if reply.status in (_STATUS_TOO_LATE, _STATUS_THROTTLED):
        return _ended(reply, b"")
    return CallResult(
        contract.Verdict.FAILED, b"the result is longer than result_bytes"
    )


def _never(reason, body, retry_after_ms=0):
    return CallResult(None, body, reason, retry_after_ms)


def _bad(place, message):
    return result.Err(
        problem.Problem(
            kind=problem.Kind.BAD_REQUEST,
            message=message,
            remedy="see docs/DESIGN.md, Interfaces, for an announcement",
            place=place,
        )
    )
